//! Simulation of a fleet of targets in virtual time, with the scatter filter of one instance.

#![allow(dead_code, reason = "each test file uses only a part")]

use std::{collections::BinaryHeap, rc::Rc, time::Duration};

use figglade::{
    Incarnation, ServiceName, Timestamp,
    controller::route_set::RepeatRule,
    filter::scatter::{
        AttemptEnd, AttemptKind, AttemptTicket, BudgetRules, CutoffTimes, ReplicaSpec,
        ReplicaState, RouteProfile, ScatterAction, ScatterEnd, ScatterRules, ScatterRun,
        ServiceState,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The behaviour of a target.
#[derive(Clone, Debug)]
pub struct TargetModel {
    /// The factor by which the work of a request takes longer than usual.
    pub slowness: f64,
    /// When the target pauses, and for how long.
    pub pauses: Option<PauseModel>,
    /// From when on the target answers nothing at all.
    pub unresponsive_from: Option<Timestamp>,
    /// The number of requests that run concurrently.
    pub slots: usize,
    /// The number of requests that may wait; further ones are refused.
    pub queue: usize,
    /// The share of the requests that the target refuses although it has capacity.
    pub shed_share: f64,
}

/// Regular pauses.
#[derive(Clone, Copy, Debug)]
pub struct PauseModel {
    pub period: Duration,
    pub length: Duration,
    pub phase: Duration,
}

impl Default for TargetModel {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            pauses: None,
            unresponsive_from: None,
            slots: 3,
            queue: 18,
            shed_share: 0.0,
        }
    }
}

impl PauseModel {
    /// Returns the end of the pause that is in progress at `at`.
    fn end_at(&self, at: Timestamp) -> Option<Timestamp> {
        let offset = (at + self.phase).as_micros() % self.period.as_micros() as u64;
        let length = self.length.as_micros() as u64;
        (offset < length).then(|| at + Duration::from_micros(length - offset))
    }
}

/// The load of one run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub seed: u64,
    pub shards: usize,
    pub replicas: usize,
    pub requests_per_second: f64,
    pub duration: Duration,
    pub work: Duration,
    pub goal: Duration,
    pub timeout: Duration,
    pub min_shard_ratio: f64,
    pub max_attempts: u32,
    pub repeat: RepeatRule,
    pub extra_ratio: f64,
    pub extra_slack: f64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            shards: 10,
            replicas: 3,
            requests_per_second: 60.0,
            duration: Duration::from_secs(30),
            work: Duration::from_millis(15),
            goal: Duration::from_millis(120),
            timeout: Duration::from_millis(2_000),
            min_shard_ratio: 0.89,
            max_attempts: 2,
            repeat: RepeatRule::Idempotent,
            extra_ratio: 0.2,
            extra_slack: 10.0,
        }
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    pub requests: usize,
    pub complete_in_goal: usize,
    pub partial_in_goal: usize,
    pub late: usize,
    pub failed: usize,
    pub missing_shards: usize,
    pub firsts: usize,
    pub extras: usize,
    pub refused: usize,
    /// The number of attempts that each target of the first service received.
    pub arrivals: Vec<usize>,
    /// The largest number of runs of one request at one service.
    pub max_runs: usize,
    /// When each request ended, and whether it was answered within the latency goal.
    pub ends: Vec<(Timestamp, bool)>,
}

impl LoadReport {
    /// Returns the fraction of the requests that were answered within the latency goal, completely or
    /// partially.
    pub fn goal_share(&self) -> f64 {
        (self.complete_in_goal + self.partial_in_goal) as f64 / self.requests as f64
    }

    /// Returns the number of extra attempts per first attempt.
    pub fn extra_share(&self) -> f64 {
        self.extras as f64 / self.firsts as f64
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival,
    Answer { request: usize, attempt: usize },
    Refusal { request: usize, attempt: usize },
    Timer { request: usize },
    Change(usize),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled(std::cmp::Reverse<(Timestamp, u64)>, SimEvent);

struct OpenRequest {
    run: ScatterRun,
    arrived: Timestamp,
    tickets: Vec<(Rc<ReplicaState>, AttemptTicket, usize)>,
    runs: Vec<usize>,
    is_done: bool,
}

/// One simulated target, with the end times of the requests that run or wait at it.
struct SimTarget {
    replica: Rc<ReplicaState>,
    model: TargetModel,
    free_at: Vec<Timestamp>,
}

/// A change of the fleet that is applied at a scheduled time.
pub type FleetChange = Box<dyn Fn(&mut LoadFleet)>;

/// The simulated fleet and the instance that sends requests to it.
pub struct LoadFleet {
    plan: LoadPlan,
    rng: ChaCha8Rng,
    pub services: Vec<Rc<ServiceState>>,
    targets: Vec<Vec<SimTarget>>,
    profile: Rc<RouteProfile>,
    queue: BinaryHeap<Scheduled>,
    serial: u64,
    pub now: Timestamp,
    requests: Vec<OpenRequest>,
    pub report: LoadReport,
    changes: Vec<Option<FleetChange>>,
}

/// The network round trip to a target.
const ROUND_TRIP: Duration = Duration::from_millis(2);

impl LoadFleet {
    /// Builds a fleet. `model` returns the behaviour of a target from the numbers of its shard and
    /// replica.
    pub fn new(
        plan: LoadPlan,
        model: impl Fn(usize, usize, &mut ChaCha8Rng) -> TargetModel,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let rules = BudgetRules {
            ratio: plan.extra_ratio,
            slack: plan.extra_slack,
            window: Duration::from_secs(10),
            slack_from: Timestamp::ZERO,
        };
        let mut services = Vec::new();
        let mut targets = Vec::new();
        for shard in 0..plan.shards {
            let name: ServiceName = format!("shard-{shard}").parse().unwrap();
            let service = Rc::new(ServiceState::new(name, rules));
            let mut row = Vec::new();
            for number in 0..plan.replicas {
                let model = model(shard, number, &mut rng);
                row.push(sim_target(shard, number, model));
            }
            let replicas = row.iter().map(|target| Rc::clone(&target.replica)).collect();
            *service.replicas.borrow_mut() = replicas;
            services.push(service);
            targets.push(row);
        }
        let profile = Rc::new(RouteProfile::new(plan.goal));
        let report = LoadReport { arrivals: vec![0; plan.replicas], ..LoadReport::default() };
        Self {
            plan,
            rng,
            services,
            targets,
            profile,
            queue: BinaryHeap::new(),
            serial: 0,
            now: Timestamp::ZERO,
            requests: Vec::new(),
            report,
            changes: Vec::new(),
        }
    }

    /// Schedules a change of the fleet.
    pub fn schedule_change(&mut self, at: Timestamp, change: FleetChange) {
        self.changes.push(Some(change));
        let number = self.changes.len() - 1;
        self.schedule(at, SimEvent::Change(number));
    }

    /// Sets the behaviour of a target from now on.
    pub fn set_model(&mut self, shard: usize, number: usize, model: TargetModel) {
        self.targets[shard][number].model = model;
    }

    /// Removes a target, as an announcement that it drains would.
    pub fn drain(&mut self, shard: usize, number: usize) {
        let replica = &self.targets[shard][number].replica;
        replica.is_usable.set(false);
        let id = replica.spec.id.clone();
        self.services[shard].replicas.borrow_mut().retain(|replica| replica.spec.id != id);
    }

    /// Records that a target asks to be sent nothing for `delay` from now on.
    pub fn back_off(&mut self, shard: usize, number: usize, delay: Duration) {
        self.targets[shard][number].replica.record_backoff(delay, self.now);
    }

    /// Runs the load to its end and returns the report.
    pub fn run(mut self) -> LoadReport {
        self.schedule(Timestamp::from_millis(1), SimEvent::Arrival);
        let end = Timestamp::ZERO + self.plan.duration;
        while let Some(Scheduled(std::cmp::Reverse((at, _)), event)) = self.queue.pop() {
            if at > end + self.plan.timeout {
                break;
            }
            self.now = at;
            match event {
                SimEvent::Arrival if at < end => self.handle_arrival(),
                SimEvent::Arrival => {}
                SimEvent::Answer { request, attempt } => {
                    self.finish_attempt(request, attempt, AttemptEnd::Answered);
                }
                SimEvent::Refusal { request, attempt } => {
                    self.finish_attempt(request, attempt, AttemptEnd::Refused);
                }
                SimEvent::Timer { request } => self.handle_timer(request),
                SimEvent::Change(number) => {
                    if let Some(change) = self.changes[number].take() {
                        change(&mut self);
                    }
                }
            }
        }
        self.report
    }

    fn schedule(&mut self, at: Timestamp, event: SimEvent) {
        self.serial += 1;
        self.queue.push(Scheduled(std::cmp::Reverse((at, self.serial)), event));
    }

    fn handle_arrival(&mut self) {
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.plan.requests_per_second;
        self.schedule(self.now + Duration::from_secs_f64(gap), SimEvent::Arrival);
        let plan = &self.plan;
        let min_answers = (1..=plan.shards)
            .find(|count| *count as f64 / plan.shards as f64 >= plan.min_shard_ratio)
            .unwrap_or(plan.shards);
        let rules = ScatterRules {
            repeat: plan.repeat,
            max_attempts: plan.max_attempts,
            min_answers,
            times: CutoffTimes { goal: self.now + plan.goal, deadline: self.now + plan.timeout },
            wait_until: self.now + plan.goal,
        };
        let run = ScatterRun::new(rules, self.services.iter().cloned(), Rc::clone(&self.profile));
        let request = self.requests.len();
        self.requests.push(OpenRequest {
            run,
            arrived: self.now,
            tickets: Vec::new(),
            runs: vec![0; self.plan.shards],
            is_done: false,
        });
        self.report.requests += 1;
        self.report.firsts += self.plan.shards;
        let actions = self.requests[request].run.start(self.now, &mut self.rng);
        self.send_all(request, actions);
        self.check_end(request);
    }

    fn send_all(&mut self, request: usize, actions: Vec<ScatterAction>) {
        for action in actions {
            let ScatterAction::Send { attempt, slot, replica, kind } = action;
            if kind != AttemptKind::First {
                self.report.extras += 1;
            }
            let ticket = replica.begin_attempt(
                self.profile.typical_latency(),
                self.profile.hedge_delay(),
                self.now,
            );
            self.requests[request].tickets.push((Rc::clone(&replica), ticket, slot));
            self.dispatch(request, attempt, slot, &replica);
        }
    }

    fn dispatch(&mut self, request: usize, attempt: usize, shard: usize, replica: &ReplicaState) {
        let number = self.targets[shard]
            .iter()
            .position(|target| target.replica.spec.id == replica.spec.id)
            .unwrap();
        if shard == 0 {
            self.report.arrivals[number] += 1;
        }
        let spread = self.rng.random_range(0.6..1.4);
        let is_shed = self.rng.random_bool(self.targets[shard][number].model.shed_share);
        let target = &mut self.targets[shard][number];
        let model = &target.model;
        if model.unresponsive_from.is_some_and(|from| self.now >= from) {
            return;
        }
        let waiting = target.free_at.iter().filter(|at| **at > self.now).count();
        if is_shed || waiting >= model.slots + model.queue {
            self.report.refused += 1;
            self.schedule(self.now + ROUND_TRIP, SimEvent::Refusal { request, attempt });
            return;
        }
        target.free_at.retain(|at| *at > self.now);
        target.free_at.sort();
        let index = target.free_at.len().checked_sub(model.slots);
        let free = index.map_or(self.now, |index| target.free_at[index]);
        let mut start = free.max(self.now);
        if let Some(end) = model.pauses.and_then(|pauses| pauses.end_at(start)) {
            start = end;
        }
        let mut end = start + self.plan.work.mul_f64(model.slowness * spread);
        if let Some(pause_end) = model.pauses.and_then(|pauses| pauses.end_at(end)) {
            end = pause_end;
        }
        target.free_at.push(end);
        self.requests[request].runs[shard] += 1;
        self.schedule(end + ROUND_TRIP, SimEvent::Answer { request, attempt });
    }

    fn finish_attempt(&mut self, request: usize, attempt: usize, end: AttemptEnd) {
        let (replica, ticket, _) = self.requests[request].tickets[attempt].clone();
        replica.finish_attempt(ticket, end, self.now);
        if end == AttemptEnd::Answered {
            self.profile.observe(self.now.since(ticket.started_at));
        }
        if self.requests[request].is_done {
            return;
        }
        let mut actions = Vec::new();
        let state = &mut self.requests[request];
        state.run.handle_attempt_end(attempt, end, self.now, &mut self.rng, &mut actions);
        self.send_all(request, actions);
        self.check_end(request);
    }

    fn handle_timer(&mut self, request: usize) {
        if self.requests[request].is_done {
            return;
        }
        let actions = self.requests[request].run.handle_timer(self.now, &mut self.rng);
        self.send_all(request, actions);
        self.check_end(request);
    }

    fn check_end(&mut self, request: usize) {
        let state = &mut self.requests[request];
        let Some(end) = state.run.end(self.now) else {
            let timer = state.run.next_timer(self.now);
            self.schedule(timer, SimEvent::Timer { request });
            return;
        };
        state.is_done = true;
        let elapsed = self.now.since(state.arrived);
        let is_in_goal = elapsed <= self.plan.goal + Duration::from_millis(1);
        let report = &mut self.report;
        report.max_runs = report.max_runs.max(state.runs.iter().copied().max().unwrap_or(0));
        let is_served = matches!(end, ScatterEnd::Answered { .. }) && is_in_goal;
        report.ends.push((self.now, is_served));
        match end {
            ScatterEnd::Answered { missing } => {
                report.missing_shards += missing;
                if !is_in_goal {
                    report.late += 1;
                } else if missing == 0 {
                    report.complete_in_goal += 1;
                } else {
                    report.partial_in_goal += 1;
                }
            }
            ScatterEnd::Failed(_) => report.failed += 1,
        }
    }
}

fn sim_target(shard: usize, number: usize, model: TargetModel) -> SimTarget {
    let spec = ReplicaSpec {
        id: format!("t-{shard}-{number}").parse().unwrap(),
        incarnation: Incarnation::new(1),
        address: format!("10.0.{shard}.{}:80", number + 1).parse().unwrap(),
        is_local: number == 0,
        slots: model.slots as u32,
    };
    let replica = Rc::new(ReplicaState::new(spec, 8));
    SimTarget { replica, model, free_at: Vec::new() }
}

/// Returns a model that pauses regularly, with a random phase.
pub fn pausing(rng: &mut ChaCha8Rng, period_ms: u64, length_ms: u64) -> TargetModel {
    let phase = Duration::from_millis(rng.random_range(0..period_ms));
    let pauses = PauseModel {
        period: Duration::from_millis(period_ms),
        length: Duration::from_millis(length_ms),
        phase,
    };
    TargetModel { pauses: Some(pauses), ..TargetModel::default() }
}
