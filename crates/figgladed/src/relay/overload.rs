//! Admission by load at this instance: samples the delay of its thread, applies the decisions of
//! [`figglade::filter::overload`], and reports them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use figglade::{
    CoreShare, CustomerName,
    controller::route_set::{Destination, RouteSet, RouteSpec},
    filter::overload::{
        LoadAdmission, LoadChange, LoadDecision, LoadRank, LoadRequest, MAX_PRIORITY,
        RefusalReason, SAMPLE_INTERVAL, WorkModel, min_answer_time, needs_load_admission,
    },
};
use rand::Rng;
use slog::{Logger, info};
use tokio::time::sleep_until;

use super::{edge::EdgeState, metrics::RelayMetrics};
use crate::clock::ProcessClock;

/// The name in logs and metrics of a refusal for [`RefusalReason::DeadlineTooClose`].
const DEADLINE_TOO_CLOSE: &str = "deadline_too_close";
/// The name of a refusal for [`RefusalReason::Overloaded`].
const OVERLOADED: &str = "overloaded";

/// The time between two wake-ups while the control is not in force.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// The admission by load of one instance.
#[derive(Debug)]
pub struct OverloadControl {
    clock: ProcessClock,
    log: Logger,
    work: WorkModel,
    admission: RefCell<LoadAdmission>,
    is_in_force: Cell<bool>,
    metrics: Rc<RelayMetrics>,
}

/// What a request claims of the capacity of this instance.
pub(super) struct LoadClaim<'a> {
    pub(super) priority: u32,
    pub(super) customer: Option<&'a CustomerName>,
    pub(super) goal_left: Duration,
    pub(super) deadline_left: Duration,
}

/// A request that was admitted.
pub(super) struct AdmittedLoad {
    pub(super) rank: LoadRank,
    /// The time of the thread of this instance that it takes.
    pub(super) work: Duration,
}

/// A request that was refused.
pub(super) struct LoadRefusal {
    pub(super) text: &'static str,
    pub(super) outcome: &'static str,
    pub(super) retry_after: Duration,
}

/// Counts the work of a request in the gauge while it is served.
pub(super) struct RunningWork {
    control: Rc<OverloadControl>,
    work: Duration,
}

impl Drop for RunningWork {
    fn drop(&mut self) {
        self.control.admission.borrow_mut().gauge.finish(self.work);
    }
}

impl OverloadControl {
    /// Creates the control of an instance with this processor time; it is not in force yet.
    pub(super) fn new(
        clock: ProcessClock,
        cores: CoreShare,
        metrics: Rc<RelayMetrics>,
        log: Logger,
    ) -> Self {
        Self {
            clock,
            log,
            work: WorkModel::new(cores),
            admission: RefCell::default(),
            is_in_force: Cell::new(false),
            metrics,
        }
    }

    /// Puts the control in force if the requests of the route set need it.
    pub(super) fn apply_route_set(&self, set: &RouteSet) {
        let is_needed = needs_load_admission(set);
        if self.is_in_force.replace(is_needed) != is_needed {
            self.admission.borrow_mut().restart();
            info!(self.log, "relay: the admission by load changed"; "in_force" => is_needed);
        }
    }

    /// Returns whether requests are admitted by load, and not by their number.
    pub(super) const fn is_in_force(&self) -> bool {
        self.is_in_force.get()
    }

    /// Returns the work at this instance of a request that it sends to `shards` shards.
    pub(super) fn work_of(&self, shards: usize) -> Duration {
        self.work.work_of(shards)
    }

    /// Decides on a request, and counts the decision.
    pub(super) fn decide(&self, request: &LoadRequest<'_>, rng: &mut impl Rng) -> LoadDecision {
        let decision = self.admission.borrow_mut().decide(request, self.clock.now(), rng);
        let name = match decision {
            LoadDecision::Admit(_) => "admitted",
            LoadDecision::Refuse { reason: RefusalReason::DeadlineTooClose, .. } => {
                DEADLINE_TOO_CLOSE
            }
            LoadDecision::Refuse { reason: RefusalReason::Overloaded, .. } => OVERLOADED,
        };
        self.metrics.count_admission(name, request.priority.min(MAX_PRIORITY));
        decision
    }

    /// Counts the work of a request until the result is dropped.
    pub(super) fn start_work(self: &Rc<Self>, work: Duration) -> RunningWork {
        self.admission.borrow_mut().gauge.start(work);
        RunningWork { control: Rc::clone(self), work }
    }

    /// Samples the delay of the thread until the process ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            let interval = if self.is_in_force.get() { SAMPLE_INTERVAL } else { IDLE_INTERVAL };
            let due = self.clock.now() + interval;
            sleep_until(self.clock.instant_of(due)).await;
            if self.is_in_force.get() {
                let change = self.admission.borrow_mut().record_sample(due, self.clock.now());
                self.log_change(change);
            }
        }
    }

    /// Records the state of the admission for the metrics.
    pub(super) fn record_state(&self) {
        let admission = self.admission.borrow();
        let gauge = &admission.gauge;
        self.metrics.record_load(admission.level(), gauge.wait(), gauge.running());
    }

    fn log_change(&self, change: Option<LoadChange>) {
        match change {
            Some(LoadChange::Began { wait, max_wait }) => {
                info!(self.log, "relay: requests may be refused because the instance is busy";
                    "wait_ms" => wait.as_millis() as u64,
                    "max_wait_ms" => max_wait.as_millis() as u64);
            }
            Some(LoadChange::Ended(phase)) => {
                let length = self.clock.now().since(phase.began_at);
                info!(self.log, "relay: no request is refused for load any more";
                    "after_ms" => length.as_millis() as u64,
                    "admitted" => phase.admitted, "refused" => phase.refused,
                    "lowest_level" => format!("{:.2}", phase.lowest_level));
            }
            None => {}
        }
    }
}

impl EdgeState {
    /// Returns the admission by load.
    pub const fn overload(&self) -> &Rc<OverloadControl> {
        &self.overload
    }

    /// Decides by load whether a request on `route` is served.
    pub(super) fn admit_by_load(
        &self,
        route: &RouteSpec,
        claim: &LoadClaim<'_>,
    ) -> Result<AdmittedLoad, LoadRefusal> {
        let work = self.work_of(route);
        let request = LoadRequest {
            priority: claim.priority,
            customer: claim.customer,
            is_above_usual: false,
            work,
            goal: route.latency_goal,
            goal_left: claim.goal_left,
            deadline_left: claim.deadline_left,
            min_time: min_answer_time(route.latency_goal),
            typical_time: self.profile_of(route).typical_latency(),
        };
        let (reason, retry_after) =
            match self.overload.decide(&request, &mut *self.rng.borrow_mut()) {
                LoadDecision::Admit(rank) => return Ok(AdmittedLoad { rank, work }),
                LoadDecision::Refuse { reason, retry_after } => (reason, retry_after),
            };
        let (text, outcome) = match reason {
            RefusalReason::DeadlineTooClose => {
                ("the time left does not suffice for an answer", DEADLINE_TOO_CLOSE)
            }
            RefusalReason::Overloaded => ("the instance is busy", OVERLOADED),
        };
        Err(LoadRefusal { text, outcome, retry_after })
    }

    /// Returns the work at this instance of a request on the route.
    fn work_of(&self, route: &RouteSpec) -> Duration {
        let shards = match &route.destination {
            Destination::Shards(plan)
                if !self.should_hand_over(route, &self.coverage_of(route)) =>
            {
                plan.services.len()
            }
            _ => 0,
        };
        self.overload.work_of(shards)
    }
}
