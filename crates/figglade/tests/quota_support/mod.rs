//! Simulation of hubs, instances and callers in virtual time, with the quota controllers.

#![allow(dead_code, reason = "each test file uses only a part")]

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use figglade::{
    CustomerName, RequestRate, Timestamp,
    controller::{
        quota::{
            GrantAuthority, QuotaGranter, QuotaReserve, QuotaRules, QuotaTable, QuotaToken,
            REFILL_TIMEOUT, RETURN_LIFETIME, RefillAsk, RefillGrant, RefusalCache, TakeOutcome,
            TokenStamp,
        },
        route_set::{CustomerQuota, CustomerSpec},
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const RULES: QuotaRules =
    QuotaRules { window: Duration::from_secs(5), overshoot: 0.1, slack: 20.0 };
const MILLIS: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const TICK: u64 = 10 * MILLIS;
const CONFIRM: u64 = 200 * MILLIS;
/// How long a hub keeps a request waiting, and an instance waits for the first and another hub.
const HUB_WAIT: Duration = Duration::from_millis(15);
const TIMEOUTS: [u64; 2] = [25 * MILLIS, 60 * MILLIS];

pub fn customer(number: usize, rate: f64, burst: f64) -> CustomerSpec {
    CustomerSpec {
        name: format!("c{number}").parse().unwrap(),
        keys: Vec::new(),
        priority: None,
        quota: Some(CustomerQuota { rate: RequestRate::new(rate), burst }),
    }
}

/// One start of a hub.
#[derive(Default)]
struct Hub {
    run: u64,
    is_up: bool,
    frozen_until: u64,
    /// The term that it believes to lead.
    led: Option<u64>,
    authority: GrantAuthority,
    granter: QuotaGranter,
    reserve: QuotaReserve,
    routes: usize,
    waiting: Vec<(usize, u64)>,
    refill_sent: Option<u64>,
    last_refill: u64,
    has_failed: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Confirm(usize),
    Decide { hub: usize, run: u64, term: u64, asked: u64 },
    Confirmed { hub: usize, run: u64, term: u64, asked: u64, routes: usize },
    Group,
    Routes { hub: usize, version: usize },
    Request { instance: usize, customer: usize },
    Take { hub: usize, request: usize },
    Taken { request: usize, hub: usize, answer: Answer },
    Timeout { request: usize, tries: usize },
    Return { hub: usize, customer: usize, stamp: TokenStamp },
    Refill { hub: usize, from: usize, run: u64, sent: u64, asks: Vec<RefillAsk> },
    Refilled { hub: usize, run: u64, sent: u64, grants: Option<Vec<RefillGrant>> },
    Fault(Fault),
}

#[derive(Clone, Debug)]
pub enum Fault {
    Freeze { hub: usize, time: u64 },
    Kill { hub: usize },
    Start { hub: usize },
    Cut { hubs: BTreeSet<usize>, instances: usize },
    Heal,
    NewLeader,
    SetQuota { customer: usize, rate: f64, burst: f64 },
}

#[derive(Clone, Copy, Debug)]
enum Answer {
    Taken(TokenStamp),
    Exhausted(Duration),
    Unavailable,
}

struct Request {
    instance: usize,
    customer: usize,
    asked: u64,
    tried: Vec<usize>,
    is_done: bool,
}

/// What became of the requests of a customer.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub arrivals: Vec<u64>,
    pub exhausted: usize,
    pub unavailable: usize,
}

pub struct World {
    pub now: u64,
    rng: ChaCha8Rng,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    hubs: Vec<Hub>,
    refusals: Vec<RefusalCache>,
    avoided: HashMap<(usize, usize), u64>,
    requests: Vec<Request>,
    names: Vec<CustomerName>,
    /// The customers of each route set, and when it was committed.
    routes: Vec<(u64, Vec<CustomerSpec>)>,
    leader: Option<(usize, u64)>,
    term: u64,
    leaderless_until: u64,
    cut: (BTreeSet<usize>, usize),
    is_calm: bool,
    pub outcomes: Vec<Outcome>,
    pub grants_from: BTreeSet<usize>,
}

impl World {
    pub fn new(
        seed: u64,
        hubs: usize,
        instances: usize,
        customers: Vec<CustomerSpec>,
        is_calm: bool,
    ) -> Self {
        let mut world = Self {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            sequence: 0,
            hubs: (0..hubs).map(|_| Hub::default()).collect(),
            refusals: vec![RefusalCache::default(); instances],
            avoided: HashMap::new(),
            requests: Vec::new(),
            names: customers.iter().map(|held| held.name.clone()).collect(),
            outcomes: vec![Outcome::default(); customers.len()],
            routes: vec![(0, Vec::new()), (0, customers)],
            leader: None,
            term: 0,
            leaderless_until: 0,
            cut: (BTreeSet::new(), 0),
            is_calm,
            grants_from: BTreeSet::new(),
        };
        for hub in 0..hubs {
            world.start(hub);
            world.push(hub as u64 * 700, Event::Tick(hub));
            world.push(hub as u64 * 900, Event::Confirm(hub));
        }
        world.push(0, Event::Group);
        world
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at.max(self.now), self.sequence), event);
    }

    pub fn request_at(&mut self, at: u64, instance: usize, customer: usize) {
        self.push(at, Event::Request { instance, customer });
    }

    pub fn fault_at(&mut self, at: u64, fault: Fault) {
        self.push(at, Event::Fault(fault));
    }

    pub fn run(&mut self, until: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    fn start(&mut self, hub: usize) {
        let run = self.rng.random();
        self.hubs[hub] = Hub { run, is_up: true, ..Hub::default() };
        let newest = self.routes.len() - 1;
        self.apply_routes(hub, newest);
    }

    fn apply_routes(&mut self, hub: usize, version: usize) {
        let table = self.table(version);
        let held = &mut self.hubs[hub];
        if version >= held.routes {
            held.routes = version;
            held.reserve.update(&table);
        }
    }

    fn table(&self, version: usize) -> QuotaTable {
        QuotaTable::new(&self.routes[version].1, &RULES, self.hubs.len())
    }

    fn delay(&mut self) -> u64 {
        let usual = self.rng.random_range(500..4_000);
        let is_late = !self.is_calm && self.rng.random_bool(0.01);
        if is_late { usual + self.rng.random_range(0..8 * SECOND) } else { usual }
    }

    fn are_linked(&self, hub: usize, other: usize) -> bool {
        self.cut.0.contains(&hub) == self.cut.0.contains(&other)
    }

    fn reaches(&self, instance: usize, hub: usize) -> bool {
        (instance < self.cut.1) == self.cut.0.contains(&hub)
    }

    /// Returns whether a majority of the hubs confirms what this one says.
    fn is_able(&self, hub: usize) -> bool {
        let works = |other: usize| {
            self.hubs[other].is_up
                && self.hubs[other].frozen_until <= self.now
                && self.are_linked(hub, other)
        };
        works(hub)
            && (0..self.hubs.len()).filter(|other| works(*other)).count() * 2 > self.hubs.len()
    }

    fn handle(&mut self, event: Event) {
        let frozen = match &event {
            Event::Tick(hub)
            | Event::Confirm(hub)
            | Event::Confirmed { hub, .. }
            | Event::Routes { hub, .. }
            | Event::Take { hub, .. }
            | Event::Return { hub, .. }
            | Event::Refill { hub, .. }
            | Event::Refilled { hub, .. } => self.hubs[*hub].frozen_until,
            _ => 0,
        };
        if frozen > self.now {
            return self.push(frozen, event);
        }
        match event {
            Event::Tick(hub) => {
                self.push(self.now + TICK, Event::Tick(hub));
                self.serve_waiting(hub);
                self.refill(hub);
            }
            Event::Confirm(hub) => {
                self.push(self.now + CONFIRM, Event::Confirm(hub));
                if let Some(term) = self.hubs[hub].led {
                    let (run, asked) = (self.hubs[hub].run, self.now);
                    let at = self.now + self.delay().min(500 * MILLIS);
                    self.push(at, Event::Decide { hub, run, term, asked });
                }
            }
            Event::Decide { hub, run, term, asked } => {
                if self.leader == Some((hub, term)) && self.is_able(hub) {
                    let (at, routes) = (self.now + self.delay(), self.routes.len() - 1);
                    self.push(at, Event::Confirmed { hub, run, term, asked, routes });
                }
            }
            Event::Confirmed { hub, run, term, asked, routes } => {
                let table = self.table(routes);
                let now = Timestamp::from_micros(self.now);
                let held = &mut self.hubs[hub];
                if held.run == run && held.is_up && held.led == Some(term) {
                    if held.authority.confirm(term, term == 1, Timestamp::from_micros(asked), now) {
                        held.granter.restart(held.authority.starts().unwrap(), term == 1);
                    }
                    held.granter.update(&table, RULES.window, now);
                }
            }
            Event::Group => self.elect(),
            Event::Routes { hub, version } => self.apply_routes(hub, version),
            Event::Request { instance, customer } => self.begin(instance, customer),
            Event::Take { hub, request } => {
                if self.hubs[hub].is_up {
                    let since = self.now;
                    self.hubs[hub].waiting.push((request, since));
                    self.serve_waiting(hub);
                    self.refill(hub);
                }
            }
            Event::Taken { request, hub, answer } => self.answer(request, hub, answer),
            Event::Timeout { request, tries } => {
                let held = &self.requests[request];
                if !held.is_done && held.tried.len() == tries {
                    let key = (held.instance, held.tried[tries - 1]);
                    self.avoided.insert(key, self.now + SECOND);
                    self.ask_next(request);
                }
            }
            Event::Return { hub, customer, stamp } => {
                let age = Timestamp::from_micros(self.now).since(stamp.taken_at);
                let name = self.names[customer].clone();
                let held = &mut self.hubs[hub];
                if held.is_up && held.run == stamp.run && age < RETURN_LIFETIME {
                    held.reserve.give_back(&name);
                }
            }
            Event::Refill { hub, from, run, sent, asks } => {
                if !self.hubs[hub].is_up {
                    return;
                }
                let grants = self.grant(hub, from, &asks);
                if self.are_linked(hub, from) {
                    let at = self.now + self.delay();
                    self.push(at, Event::Refilled { hub: from, run, sent, grants });
                }
            }
            Event::Refilled { hub, run, sent, grants } => {
                let held = &mut self.hubs[hub];
                if held.is_up && held.run == run && held.refill_sent == Some(sent) {
                    held.refill_sent = None;
                    held.has_failed = grants.is_none();
                    let (sent, now) =
                        (Timestamp::from_micros(sent), Timestamp::from_micros(self.now));
                    held.reserve.complete_refill(sent, &grants.unwrap_or_default(), now);
                    self.serve_waiting(hub);
                    self.hubs[hub].reserve.trim();
                    self.refill(hub);
                }
            }
            Event::Fault(fault) => self.apply(fault),
        }
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Freeze { hub, time } => self.hubs[hub].frozen_until = self.now + time,
            Fault::Kill { hub } => self.hubs[hub].is_up = false,
            Fault::Start { hub } => {
                if !self.hubs[hub].is_up {
                    self.start(hub);
                }
            }
            Fault::Cut { hubs, instances } => self.cut = (hubs, instances),
            Fault::Heal => self.cut = (BTreeSet::new(), 0),
            Fault::NewLeader => {
                self.leader = None;
                self.leaderless_until = self.now + 20 * MILLIS;
            }
            Fault::SetQuota { customer, rate, burst } => {
                let mut customers = self.routes.last().unwrap().1.clone();
                customers[customer].quota =
                    Some(CustomerQuota { rate: RequestRate::new(rate), burst });
                self.routes.push((self.now, customers));
                let version = self.routes.len() - 1;
                for hub in 0..self.hubs.len() {
                    let at = self.now + self.rng.random_range(0..400 * MILLIS);
                    self.push(at, Event::Routes { hub, version });
                }
            }
        }
    }

    fn elect(&mut self) {
        self.push(self.now + 20 * MILLIS, Event::Group);
        if let Some((hub, _)) = self.leader
            && !self.is_able(hub)
        {
            self.leader = None;
            self.leaderless_until = self.now + self.rng.random_range(SECOND..5 * SECOND / 2);
        }
        if self.leader.is_none() && self.now >= self.leaderless_until {
            let able: Vec<_> = (0..self.hubs.len()).filter(|hub| self.is_able(*hub)).collect();
            if !able.is_empty() {
                let hub = able[self.rng.random_range(0..able.len())];
                self.term += 1;
                self.leader = Some((hub, self.term));
                self.hubs[hub].led = Some(self.term);
            }
        }
        // A former leader learns of its successor as soon as it can.
        let Some((leader, _)) = self.leader else { return };
        for hub in 0..self.hubs.len() {
            if hub != leader && self.is_able(hub) && self.are_linked(hub, leader) {
                self.hubs[hub].led = None;
            }
        }
    }

    fn grant(&mut self, hub: usize, to: usize, asks: &[RefillAsk]) -> Option<Vec<RefillGrant>> {
        let now = Timestamp::from_micros(self.now);
        let held = &mut self.hubs[hub];
        if !held.authority.is_valid(now) {
            return None;
        }
        self.grants_from.insert(hub);
        let address = SocketAddr::from(([127, 0, 0, 1], to as u16 + 1));
        Some(held.granter.grant(address, asks, now))
    }

    fn refill(&mut self, hub: usize) {
        let held = &self.hubs[hub];
        if !held.is_up {
            return;
        }
        let timeout = REFILL_TIMEOUT.as_micros() as u64;
        if held.refill_sent.is_some_and(|sent| self.now - sent >= timeout) {
            self.hubs[hub].refill_sent = None;
            self.hubs[hub].has_failed = true;
        }
        let held = &self.hubs[hub];
        let (age, now) = (self.now - held.last_refill, Timestamp::from_micros(self.now));
        let delay = match (held.has_failed, held.waiting.is_empty()) {
            (true, _) => 100,
            (_, true) => 20,
            (_, false) => 5,
        };
        if held.refill_sent.is_some() || age < delay * MILLIS {
            return;
        }
        let mut waiting = HashMap::new();
        for (request, _) in &held.waiting {
            let name = self.names[self.requests[*request].customer].clone();
            *waiting.entry(name).or_default() += 1;
        }
        let asks = held.reserve.begin_refill(&waiting, now);
        if asks.is_empty() && age < SECOND {
            return;
        }
        // A hub that cannot know the leader asks the last one that it knew of.
        let target = if held.led.is_some() { Some(hub) } else { self.leader.map(|(hub, _)| hub) };
        let (run, sent) = (held.run, self.now);
        self.hubs[hub].refill_sent = Some(sent);
        self.hubs[hub].last_refill = sent;
        match target {
            Some(target) if target == hub => {
                let grants = self.grant(hub, hub, &asks);
                self.push(sent, Event::Refilled { hub, run, sent, grants });
            }
            Some(target) if self.are_linked(hub, target) => {
                let at = sent + self.delay();
                self.push(at, Event::Refill { hub: target, from: hub, run, sent, asks });
            }
            _ => self.push(sent, Event::Refilled { hub, run, sent, grants: None }),
        }
    }

    fn serve_waiting(&mut self, hub: usize) {
        let now = Timestamp::from_micros(self.now);
        let held = &self.hubs[hub];
        let is_slow = held.refill_sent.is_some_and(|sent| self.now - sent >= 60 * MILLIS);
        let may_wait = !held.has_failed && !is_slow;
        for (request, since) in std::mem::take(&mut self.hubs[hub].waiting) {
            let name = self.names[self.requests[request].customer].clone();
            let held = &mut self.hubs[hub];
            let answer = match held.reserve.take(&name, now) {
                TakeOutcome::Taken => Answer::Taken(TokenStamp { run: held.run, taken_at: now }),
                TakeOutcome::Exhausted(wait) => Answer::Exhausted(wait),
                TakeOutcome::Empty
                    if may_wait && now.since(Timestamp::from_micros(since)) < HUB_WAIT =>
                {
                    held.waiting.push((request, since));
                    continue;
                }
                TakeOutcome::Empty | TakeOutcome::Unlimited => Answer::Unavailable,
            };
            if self.reaches(self.requests[request].instance, hub) {
                let at = self.now + self.delay();
                self.push(at, Event::Taken { request, hub, answer });
            }
        }
    }

    fn begin(&mut self, instance: usize, customer: usize) {
        let now = Timestamp::from_micros(self.now);
        if self.refusals[instance].find(&self.names[customer], now).is_some() {
            self.outcomes[customer].exhausted += 1;
            return;
        }
        let tried = Vec::new();
        self.requests.push(Request { instance, customer, asked: 0, tried, is_done: false });
        self.ask_next(self.requests.len() - 1);
    }

    fn ask_next(&mut self, request: usize) {
        let Request { instance, customer, tried, .. } = &self.requests[request];
        let (instance, customer, count) = (*instance, *customer, self.hubs.len());
        let order = (0..count).map(|step| (instance + step) % count);
        let candidates: Vec<_> = order.filter(|hub| !tried.contains(hub)).collect();
        let is_avoided =
            |hub: &usize| self.avoided.get(&(instance, *hub)).is_some_and(|at| *at > self.now);
        let hub = candidates.iter().find(|hub| !is_avoided(hub)).or(candidates.first()).copied();
        let tries = tried.len() + 1;
        let Some(hub) = hub.filter(|_| tries <= TIMEOUTS.len()) else {
            self.requests[request].is_done = true;
            self.outcomes[customer].unavailable += 1;
            return;
        };
        let held = &mut self.requests[request];
        held.tried.push(hub);
        held.asked = self.now;
        if self.reaches(instance, hub) {
            let at = self.now + self.delay();
            self.push(at, Event::Take { hub, request });
        }
        self.push(self.now + TIMEOUTS[tries - 1], Event::Timeout { request, tries });
    }

    fn answer(&mut self, request: usize, hub: usize, answer: Answer) {
        let now = Timestamp::from_micros(self.now);
        let held = &self.requests[request];
        let (instance, customer) = (held.instance, held.customer);
        if held.is_done || held.tried.last() != Some(&hub) {
            return;
        }
        match answer {
            Answer::Taken(stamp) => {
                let asked = Timestamp::from_micros(held.asked);
                let token = QuotaToken { hub, stamp, asked };
                if !token.is_valid(now) {
                    return self.ask_next(request);
                }
                self.spend(customer, token);
            }
            Answer::Exhausted(wait) => {
                let name = self.names[customer].clone();
                self.refusals[instance].record(&name, wait, now);
                self.outcomes[customer].exhausted += 1;
            }
            Answer::Unavailable => return self.ask_next(request),
        }
        self.requests[request].is_done = true;
    }

    /// Sends a request to a target, or finds that none accepts it and returns the token.
    fn spend(&mut self, customer: usize, token: QuotaToken<usize>) {
        if !self.is_calm && self.rng.random_bool(0.03) {
            let QuotaToken { hub, stamp, .. } = token;
            let at = self.now + self.delay();
            return self.push(at, Event::Return { hub, customer, stamp });
        }
        let at = self.now + self.rng.random_range(0..5 * MILLIS);
        self.outcomes[customer].arrivals.push(at);
    }

    /// Returns the largest excess over the bound in any window, with its start.
    pub fn largest_excess(&self, customer: usize) -> (f64, u64) {
        let mut arrivals = self.outcomes[customer].arrivals.clone();
        arrivals.sort_unstable();
        let window = RULES.window.as_micros() as u64;
        let mut end = 0;
        let mut worst = (f64::MIN, 0);
        for (begin, start) in arrivals.iter().enumerate() {
            while arrivals.get(end).is_some_and(|at| *at < start + window) {
                end += 1;
            }
            let excess = (end - begin) as f64 - self.bound(customer, *start, start + window);
            if excess > worst.0 {
                worst = (excess, *start);
            }
        }
        worst
    }

    /// Returns the bound that holds in a window: that of the highest limit in force within it or in
    /// the window before, as a lowered limit is binding one window after it is in force.
    fn bound(&self, customer: usize, from: u64, to: u64) -> f64 {
        let window = RULES.window.as_micros() as u64;
        // The time within which a route set is in force everywhere.
        let spread = 4 * SECOND;
        let sets = self.routes.iter().enumerate().skip(1);
        let in_force = sets.filter(|(version, (committed, _))| {
            let replaced = self.routes.get(version + 1).map_or(u64::MAX, |(at, _)| *at);
            *committed <= to && replaced.saturating_add(window + spread) > from
        });
        let quotas = in_force.filter_map(|(_, (_, customers))| customers[customer].quota);
        quotas.map(|quota| RULES.bound(&quota)).fold(0.0, f64::max)
    }
}
