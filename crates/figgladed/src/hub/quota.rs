//! The quotas of customers at a hub: its reserves, and the granter while its member leads.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    fmt::Write,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, OnceLock},
    time::Duration,
};

use figglade::{
    CustomerName, InstanceId, Timestamp,
    controller::{
        quorum::QuorumRole,
        quota::{
            CONFIRM_INTERVAL, GrantAuthority, HubCensus, QuotaGranter, QuotaReserve, QuotaRules,
            QuotaTable, QuotaTally, REFILL_TIMEOUT, RETURN_LIFETIME, RefillAsk, RefillGrant,
            TakeOutcome, TokenStamp,
        },
        route_set::{CustomerSpec, RouteCodec, RouteDocument, RouteSetVersion},
    },
};
use slog::{Logger, error, info, warn};
use tokio::{
    sync::{mpsc, oneshot},
    task::spawn_local,
    time::{Instant, MissedTickBehavior, interval, sleep_until, timeout},
};

use super::{
    node::HubNode,
    quota_message::{QuotaMessage, QuotaReply, TakeRequest, TokenReturn},
};
use crate::{
    clock::boot_time,
    control::{ControlReply, MemberHandle, MemberInput},
    peer_link::{PeerHandle, PeerSender},
};

/// The time between two checks of the waiting requests and the reserves.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The time between two checks of the route set and the number of hubs.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// The time between two log lines about refusals.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// The minimum time between two refills for which no request waits.
const REFILL_INTERVAL: Duration = Duration::from_millis(20);
/// The minimum time between two refills for which a request waits.
const URGENT_REFILL_INTERVAL: Duration = Duration::from_millis(5);
/// The maximum time between two refills; without an answer the reserves expire.
const IDLE_REFILL_INTERVAL: Duration = Duration::from_secs(1);
/// The time before another refill after one that failed.
const FAILED_REFILL_DELAY: Duration = Duration::from_millis(100);
/// The time after which no request waits for a refill that has not been answered.
const SLOW_REFILL: Duration = Duration::from_millis(60);
/// The maximum time that a request waits for a refill; less than an instance waits for its answer.
const MAX_WAIT: Duration = Duration::from_millis(15);
/// The maximum number of requests that wait for a refill.
const MAX_WAITING: usize = 256;
/// The time between two checks of whether the own member leads.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The time within which a majority must confirm the leadership.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(200);

/// A message about quotas.
#[derive(Debug)]
pub struct QuotaInput {
    /// The sender.
    pub from: PeerSender,
    /// The message.
    pub message: QuotaMessage,
    /// Receives the answer; `None` if the sender does not wait for one.
    pub reply: Option<oneshot::Sender<QuotaReply>>,
}

/// The settings and dependencies of the quotas at a hub.
pub struct QuotaParts {
    /// The instance.
    pub id: InstanceId,
    /// The address on which it listens for peers.
    pub peer: SocketAddr,
    /// The number that tells this start of the hub from others.
    pub run: u64,
    /// The rules for all quotas.
    pub rules: QuotaRules,
    /// Decodes route documents.
    pub codec: Rc<dyn RouteCodec>,
    /// The links to other processes.
    pub link: PeerHandle,
    /// The control group member in this process; set once the member has started.
    pub member: Arc<OnceLock<MemberHandle>>,
    /// The log of the process.
    pub log: Logger,
}

/// A request that waits for a refill.
struct WaitingTake {
    request: TakeRequest,
    since: Timestamp,
    reply: oneshot::Sender<QuotaReply>,
}

/// The customers of one route set and their plans.
#[derive(Default)]
struct PlannedRoutes {
    version: Option<RouteSetVersion>,
    customers: Vec<CustomerSpec>,
    hubs: usize,
    table: QuotaTable,
}

#[derive(Default)]
struct QuotaState {
    authority: GrantAuthority,
    granter: QuotaGranter,
    /// The plans of the route set that the last confirmation of the authority returned.
    granted: PlannedRoutes,
    reserve: QuotaReserve,
    /// The plans of the newest known route set.
    planned: PlannedRoutes,
    census: HubCensus,
    waiting: VecDeque<WaitingTake>,
    /// When the refill was sent that is not answered yet.
    refill_sent: Option<Timestamp>,
    last_refill: Timestamp,
    /// Whether the last refill failed.
    has_failed: bool,
    /// The granter that another hub named.
    named_granter: Option<SocketAddr>,
    tally: QuotaTally,
    /// The refusals of each customer at the last log line.
    logged_refusals: HashMap<CustomerName, u64>,
    logged_at: Timestamp,
    updated_at: Timestamp,
}

/// Serves the tokens of customers; runs on the thread of the hub.
pub struct HubQuota {
    parts: QuotaParts,
    node: Rc<HubNode>,
    state: RefCell<QuotaState>,
}

impl HubQuota {
    /// Builds the service with empty reserves.
    pub fn new(parts: QuotaParts, node: Rc<HubNode>) -> Self {
        Self { parts, node, state: RefCell::default() }
    }

    /// Handles messages and fills the reserves until the process ends.
    pub async fn run(self: Rc<Self>, mut inputs: mpsc::Receiver<QuotaInput>) {
        let mut next_tick = Instant::now();
        loop {
            tokio::select! {
                Some(input) = inputs.recv() => self.handle_input(input),
                () = sleep_until(next_tick) => {
                    self.tick();
                    next_tick = Instant::now() + self.tick_interval();
                }
            }
        }
    }

    /// Confirms the leadership of the own member until the process ends.
    pub async fn confirm_authority(self: Rc<Self>) {
        let mut ticks = interval(LEADER_POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut confirmed = None;
        let mut last_attempt: Option<(u64, Timestamp)> = None;
        loop {
            ticks.tick().await;
            let Some(term) = self.led_term() else { continue };
            // Without quotas, one confirmation in each term tells who may have granted before.
            let is_needed = confirmed != Some(term) || self.has_quotas();
            let now = boot_time();
            let is_recent = last_attempt.is_some_and(|(attempted, asked)| {
                // The ticks are late by some milliseconds.
                attempted == term && now.since(asked) + LEADER_POLL_INTERVAL / 2 < CONFIRM_INTERVAL
            });
            if !is_needed || is_recent {
                continue;
            }
            last_attempt = Some((term, now));
            if self.confirm_once(term).await {
                confirmed = Some(term);
            }
        }
    }

    /// Returns the time to the next tick; it is short while requests wait, so that none is answered
    /// after its instance has given up.
    fn tick_interval(&self) -> Duration {
        if !self.has_quotas() {
            UPDATE_INTERVAL
        } else if self.state.borrow().waiting.is_empty() {
            TICK_INTERVAL
        } else {
            URGENT_REFILL_INTERVAL
        }
    }

    /// Returns whether a customer has a quota in the newest known route set.
    fn has_quotas(&self) -> bool {
        self.state.borrow().planned.table.iter().next().is_some()
    }

    /// Asks the own member to confirm its leadership in `term`; returns whether it did.
    async fn confirm_once(&self, term: u64) -> bool {
        let Some(member) = self.parts.member.get() else { return false };
        let asked = boot_time();
        let ask = member.ask(|reply| MemberInput::ReadRoutes { reply });
        let Ok(ControlReply::Routes(document)) = timeout(CONFIRM_TIMEOUT, ask).await else {
            return false;
        };
        // The answer confirms this term only if the member led it before and after.
        if self.led_term() != Some(term) {
            return false;
        }
        let now = boot_time();
        let hubs = self.count_hubs(now);
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let is_first = document.is_none();
        if state.authority.confirm(term, is_first, asked, now) {
            info!(self.parts.log, "quota: this hub begins to grant tokens"; "term" => term,
                "first" => is_first);
            state.granted = PlannedRoutes::default();
            state.granter.restart(state.authority.starts().unwrap_or(now), is_first);
        }
        if self.plan(&mut state.granted, document.as_ref(), hubs) {
            state.granter.update(&state.granted.table, self.parts.rules.window, now);
        }
        true
    }

    /// Returns the term that the own member leads.
    fn led_term(&self) -> Option<u64> {
        let status = self.parts.member.get()?.view().status?;
        (status.role == QuorumRole::Leader).then(|| status.term.get())
    }

    /// Returns the hub to ask for tokens. Without a member of its own, a hub asks one with a disk,
    /// which names the granter.
    fn granter_address(&self) -> Option<SocketAddr> {
        if self.parts.member.get().is_some() {
            return self.leader_address();
        }
        let named = self.state.borrow().named_granter;
        named.or_else(|| self.node.find_disk_hub())
    }

    /// Returns the address of the hub whose member leads, as the own member knows it.
    fn leader_address(&self) -> Option<SocketAddr> {
        let status = self.parts.member.get()?.view().status?;
        let leader = status.leader?;
        if leader == self.parts.id {
            return Some(self.parts.peer);
        }
        status.members.members.get(&leader).map(|member| member.peer)
    }

    fn count_hubs(&self, now: Timestamp) -> usize {
        let count = self.node.count_hubs();
        self.state.borrow_mut().census.record(count, now)
    }

    /// Plans the quotas of a route set and returns whether the plans changed.
    fn plan(&self, held: &mut PlannedRoutes, routes: Option<&RouteDocument>, hubs: usize) -> bool {
        let Some(routes) = routes else { return false };
        if held.version.is_none_or(|version| routes.version > version) {
            let decoded = routes.unpack().map_err(|error| error.to_string()).and_then(|text| {
                self.parts.codec.decode_routes(&text).map_err(|error| error.to_string())
            });
            match decoded {
                Ok(set) => held.customers = set.customers.unwrap_or_default(),
                Err(reason) => error!(self.parts.log, "quota: cannot decode a committed route set";
                    "version" => %routes.version, "reason" => reason),
            }
            held.version = Some(routes.version);
        } else if held.hubs == hubs {
            return false;
        }
        held.hubs = hubs;
        held.table = QuotaTable::new(&held.customers, &self.parts.rules, hubs);
        true
    }

    /// Applies the newest known route set to the reserves.
    fn update_plans(&self, now: Timestamp) {
        let routes = self.node.routes();
        let hubs = self.count_hubs(now);
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.updated_at = now;
        if !self.plan(&mut state.planned, routes.as_deref(), hubs) {
            return;
        }
        state.reserve.update(&state.planned.table);
        let table = &state.planned.table;
        state.tally.retain(|customer| table.get(customer).is_some());
        state.logged_refusals.retain(|customer, _| table.get(customer).is_some());
        let rules = &self.parts.rules;
        for (customer, plan) in table.iter().filter(|(_, plan)| !plan.keeps_bound(rules)) {
            warn!(self.parts.log, "quota: the slack is too small for a token at each hub";
                "customer" => %customer, "hubs" => plan.hubs, "bound" => rules.bound(&plan.quota));
        }
        info!(self.parts.log, "quota: the plans changed"; "hubs" => hubs,
            "version" => state.planned.version.map(|version| version.to_string()),
            "customers" => state.planned.table.iter().count());
    }

    fn tick(self: &Rc<Self>) {
        let now = boot_time();
        if now.since(self.state.borrow().updated_at) >= UPDATE_INTERVAL {
            self.update_plans(now);
        }
        if !self.has_quotas() {
            return;
        }
        self.serve_waiting(now);
        self.refill(now);
        if now.since(self.state.borrow().logged_at) >= LOG_INTERVAL {
            self.log_refusals(now);
        }
    }

    fn handle_input(self: &Rc<Self>, input: QuotaInput) {
        let QuotaInput { from, message, reply } = input;
        let now = boot_time();
        match message {
            QuotaMessage::Take(request) => {
                if let Some(reply) = reply {
                    self.handle_take(request, reply, now);
                }
            }
            QuotaMessage::Return(returned) => self.handle_return(&returned, now),
            QuotaMessage::Refill(asks) => {
                let answer = self.grant(from.address, &asks, now);
                let answer = match answer {
                    Some(grants) => QuotaReply::Refilled(grants),
                    None => QuotaReply::NotGranter { granter: self.leader_address() },
                };
                if let Some(reply) = reply {
                    // The sender may have stopped waiting; the tokens are lost.
                    let _ = reply.send(answer);
                }
            }
        }
    }

    fn handle_take(
        self: &Rc<Self>,
        request: TakeRequest,
        reply: oneshot::Sender<QuotaReply>,
        now: Timestamp,
    ) {
        if self.state.borrow().planned.version.is_none_or(|held| held < request.routes) {
            self.update_plans(now);
        }
        let since = now;
        self.state.borrow_mut().waiting.push_back(WaitingTake { request, since, reply });
        self.serve_waiting(now);
        self.refill(now);
    }

    /// Answers the waiting requests that can be answered now.
    fn serve_waiting(&self, now: Timestamp) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let is_slow = state.refill_sent.is_some_and(|sent| now.since(sent) >= SLOW_REFILL);
        let may_wait = !state.has_failed && !is_slow;
        let mut kept = VecDeque::new();
        while let Some(waiting) = state.waiting.pop_front() {
            let WaitingTake { request, since, reply } = &waiting;
            if reply.is_closed() {
                continue;
            }
            let customer = &request.customer;
            let answer = match state.reserve.take(customer, now) {
                TakeOutcome::Taken => {
                    state.tally.entry(customer).spent += 1;
                    let stamp = TokenStamp { run: self.parts.run, taken_at: now };
                    QuotaReply::Taken { stamp }
                }
                TakeOutcome::Exhausted(wait) => {
                    state.tally.entry(customer).refused += 1;
                    QuotaReply::Exhausted { wait_ms: wait.as_micros().div_ceil(1_000) as u32 }
                }
                TakeOutcome::Unlimited
                    if state.planned.version.is_some_and(|held| held >= request.routes) =>
                {
                    QuotaReply::Unlimited
                }
                TakeOutcome::Empty
                    if may_wait && now.since(*since) < MAX_WAIT && kept.len() < MAX_WAITING =>
                {
                    kept.push_back(waiting);
                    continue;
                }
                TakeOutcome::Empty | TakeOutcome::Unlimited => QuotaReply::Unavailable,
            };
            // The instance may have stopped waiting; the token is lost.
            let _ = waiting.reply.send(answer);
        }
        state.waiting = kept;
    }

    fn handle_return(&self, returned: &TokenReturn, now: Timestamp) {
        let TokenReturn { customer, stamp } = returned;
        if stamp.run == self.parts.run && now.since(stamp.taken_at) < RETURN_LIFETIME {
            self.state.borrow_mut().reserve.give_back(customer);
        }
    }

    /// Grants tokens to a hub; returns `None` without the authority to grant.
    fn grant(
        &self,
        hub: SocketAddr,
        asks: &[RefillAsk],
        now: Timestamp,
    ) -> Option<Vec<RefillGrant>> {
        let mut state = self.state.borrow_mut();
        if !state.authority.is_valid(now) {
            return None;
        }
        let grants = state.granter.grant(hub, asks, now);
        for grant in grants.iter().filter(|grant| grant.tokens > 0) {
            state.tally.entry(&grant.customer).granted += u64::from(grant.tokens);
        }
        Some(grants)
    }

    /// Asks the granter for the tokens missing from the reserves, if it is time to.
    fn refill(self: &Rc<Self>, now: Timestamp) {
        let asks = {
            let mut state = self.state.borrow_mut();
            let delay = if state.has_failed {
                FAILED_REFILL_DELAY
            } else if state.waiting.is_empty() {
                REFILL_INTERVAL
            } else {
                URGENT_REFILL_INTERVAL
            };
            let age = now.since(state.last_refill);
            if state.refill_sent.is_some() || age < delay {
                return;
            }
            let mut waiting = HashMap::new();
            for take in &state.waiting {
                *waiting.entry(take.request.customer.clone()).or_default() += 1;
            }
            let asks = state.reserve.begin_refill(&waiting, now);
            if asks.is_empty() && age < IDLE_REFILL_INTERVAL {
                return;
            }
            state.last_refill = now;
            state.refill_sent = Some(now);
            asks
        };
        match self.granter_address() {
            None => self.complete_refill(now, None),
            Some(granter) if granter == self.parts.peer => {
                self.complete_refill(now, self.grant(granter, &asks, now));
            }
            Some(granter) => {
                let quota = Rc::clone(self);
                spawn_local(async move {
                    let grants = quota.request_refill(granter, asks).await;
                    quota.complete_refill(now, grants);
                    quota.refill(boot_time());
                });
            }
        }
    }

    async fn request_refill(
        &self,
        granter: SocketAddr,
        asks: Vec<RefillAsk>,
    ) -> Option<Vec<RefillGrant>> {
        let frame = match QuotaMessage::Refill(asks).to_frame() {
            Ok(frame) => frame,
            Err(reason) => {
                warn!(self.parts.log, "quota: cannot encode a message"; "error" => %reason);
                return None;
            }
        };
        let answer = self.parts.link.call(granter, frame, REFILL_TIMEOUT).await;
        let Ok(answer) = answer else {
            self.state.borrow_mut().named_granter = None;
            return None;
        };
        match QuotaReply::from_frame(&answer) {
            Ok(QuotaReply::Refilled(grants)) => Some(grants),
            Ok(QuotaReply::NotGranter { granter }) => {
                self.state.borrow_mut().named_granter = granter;
                None
            }
            Ok(_) => None,
            Err(reason) => {
                warn!(self.parts.log, "quota: cannot decode an answer"; "hub" => %granter,
                    "error" => %reason);
                None
            }
        }
    }

    fn complete_refill(&self, sent: Timestamp, grants: Option<Vec<RefillGrant>>) {
        let now = boot_time();
        {
            let mut state = self.state.borrow_mut();
            state.refill_sent = None;
            let has_failed = grants.is_none();
            if let Some(grants) = grants {
                state.reserve.complete_refill(sent, &grants, now);
            }
            if std::mem::replace(&mut state.has_failed, has_failed) != has_failed {
                info!(self.parts.log, "quota: the granter became reachable or unreachable";
                    "reachable" => !has_failed);
            }
        }
        self.serve_waiting(now);
        self.state.borrow_mut().reserve.trim();
    }

    fn log_refusals(&self, now: Timestamp) {
        let mut state = self.state.borrow_mut();
        state.logged_at = now;
        let QuotaState { tally, logged_refusals, .. } = &mut *state;
        for (customer, counts) in tally.report() {
            let logged = logged_refusals.entry(customer.clone()).or_default();
            if counts.refused > *logged {
                info!(self.parts.log, "quota: requests of a customer exceeded its quota";
                    "customer" => %customer, "granted" => counts.granted,
                    "spent" => counts.spent, "refused" => counts.refused);
            }
            *logged = counts.refused;
        }
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        let state = self.state.borrow();
        let report = state.tally.report();
        let mut out = String::new();
        let is_granter = u64::from(state.authority.is_valid(boot_time()));
        let gauges = [
            ("granter", "Whether this hub may grant tokens.", is_granter),
            ("quota_reserve_tokens", "Tokens in the reserves.", state.reserve.total_held()),
        ];
        for (name, help, value) in gauges {
            // Writing to a string does not fail.
            let _ = writeln!(
                out,
                "# HELP figglade_hub_{name} {help}\n# TYPE figglade_hub_{name} gauge\n\
                 figglade_hub_{name} {value}"
            );
        }
        let _ = writeln!(
            out,
            "# HELP figglade_hub_quota_tokens_total Tokens and refusals of the largest customers.\n\
             # TYPE figglade_hub_quota_tokens_total counter"
        );
        for (customer, counts) in report {
            let ends =
                [("granted", counts.granted), ("spent", counts.spent), ("refused", counts.refused)];
            for (end, count) in ends {
                let name = "figglade_hub_quota_tokens_total";
                let _ = writeln!(out, "{name}{{customer=\"{customer}\",end=\"{end}\"}} {count}");
            }
        }
        out
    }
}
