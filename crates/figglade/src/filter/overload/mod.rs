//! Cost-aware admission: decides whether an instance accepts a request, by how long new work waits
//! for its thread and by what the loss of the request costs its caller.
//!
//! The admission holds one number, the level: the fraction of the offered work that is admitted. It
//! falls while the wait endangers the latency goals of requests whose place others can give up, and
//! rises again otherwise. The work that exceeds the level is refused from the lowest rank upwards;
//! a floor keeps every class and every customer above a fraction of what all get.

mod classes;
mod customers;
mod decay;
mod gauge;
mod work;

use std::time::Duration;

use derive_more::Display;
use rand::{Rng, RngExt};

use self::{
    classes::{ClassKey, ClassTable},
    customers::CustomerTable,
    decay::DecayingCount,
};
pub use self::{
    classes::{LoadRank, MAX_PRIORITY},
    gauge::{LoadGauge, SAMPLE_INTERVAL},
    work::{WorkModel, min_answer_time, needs_load_admission},
};
use crate::{CustomerName, Timestamp};

/// The fraction of a latency goal that the wait may take, besides the wait behind one other request. A
/// request waits for the thread several times before it is answered.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// The factor by which a sample with the longest permitted wait lowers the level. Longer waits lower
/// it in proportion, up to [`MAX_SEVERITY`].
const LEVEL_DECREASE: f64 = 0.2;
/// The bound on the ratio of the wait to the longest permitted one.
const MAX_SEVERITY: f64 = 3.0;
/// The amount by which a sample raises the level once the wait has fallen to half of the longest
/// permitted one.
const LEVEL_INCREASE: f64 = 0.05;
/// The lowest level. It keeps the callers of a busy instance, and so of its zone, above a quarter of
/// what all others get.
const MIN_LEVEL: f64 = 0.25;
/// The fraction of the overall share that every class and customer gets at least: a quarter is
/// required, and a few refusals in a row must not undercut it.
const FLOOR_FRACTION: f64 = 0.35;
/// The period over which admitted and offered requests are counted for the floor.
const COUNT_PERIOD: Duration = Duration::from_secs(2);
/// The number of samples at the full level after which the overload has ended.
const CALM_SAMPLES: u32 = 20;
/// The minimum time after which a refused caller is asked to retry: a standing queue is not recognized
/// as gone earlier.
const MIN_RETRY_AFTER: Duration = SAMPLE_INTERVAL.saturating_mul(2);
/// The largest part of the time to a retry that is added to it at random.
const RETRY_SPREAD: f64 = 0.5;

/// A request for admission.
#[derive(Clone, Copy, Debug)]
pub struct LoadRequest<'a> {
    /// The priority of its customer, or else of its route; 0 is the highest.
    pub priority: u32,
    /// Its customer, if that is known.
    pub customer: Option<&'a CustomerName>,
    /// Whether another instance has found the customer far above its usual rate.
    pub is_above_usual: bool,
    /// The time of the instance's thread that it takes.
    pub work: Duration,
    /// The latency goal of its route.
    pub goal: Duration,
    /// The time left to its latency goal.
    pub goal_left: Duration,
    /// The time left to its deadline.
    pub deadline_left: Duration,
    /// The shortest time in which it may be answered, without the wait at this instance.
    pub min_time: Duration,
    /// The time in which it is usually answered, without the wait at this instance.
    pub typical_time: Duration,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "snake_case")]
pub enum RefusalReason {
    /// It cannot be answered by its deadline.
    DeadlineTooClose,
    /// Its place is given up for work whose loss costs more.
    Overloaded,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadDecision {
    /// It is served, with this rank.
    Admit(LoadRank),
    /// It is refused; it did not run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// The estimated time until there is room, spread at random.
        retry_after: Duration,
    },
}

/// A change of the state, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadChange {
    /// Requests may be refused from now on.
    Began {
        /// How long new work waits.
        wait: Duration,
        /// The longest wait at which nothing is refused.
        max_wait: Duration,
    },
    /// No request is refused any more.
    Ended(LoadPhase),
}

/// What happened during an overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadPhase {
    /// When it began.
    pub began_at: Timestamp,
    /// The lowest level.
    pub lowest_level: f64,
    /// The number of requests admitted.
    pub admitted: u64,
    /// The number of requests refused.
    pub refused: u64,
}

/// Decides which requests an instance accepts.
#[derive(Clone, Debug)]
pub struct LoadAdmission {
    /// The load of the instance.
    pub gauge: LoadGauge,
    level: f64,
    classes: ClassTable,
    customers: CustomerTable,
    offered: DecayingCount,
    admitted: DecayingCount,
    phase: Option<LoadPhase>,
    calm_samples: u32,
}

impl Default for LoadAdmission {
    fn default() -> Self {
        Self {
            gauge: LoadGauge::default(),
            level: 1.0,
            classes: ClassTable::default(),
            customers: CustomerTable::default(),
            offered: DecayingCount::default(),
            admitted: DecayingCount::default(),
            phase: None,
            calm_samples: 0,
        }
    }
}

impl LoadAdmission {
    /// Forgets what was observed, except for the work of the requests in progress, which leave the
    /// gauge when they end.
    pub fn restart(&mut self) {
        let gauge = std::mem::take(&mut self.gauge);
        *self = Self { gauge, ..Self::default() };
    }

    /// Returns the fraction of the offered work that is admitted.
    pub const fn level(&self) -> f64 {
        self.level
    }

    /// Records that the timer of the gauge that was due at `due` fired at `now`, and adapts the level.
    /// Returns a change for the log.
    pub fn record_sample(&mut self, due: Timestamp, now: Timestamp) -> Option<LoadChange> {
        self.gauge.record_sample(due, now);
        self.classes.remove_idle(now);
        let wait = self.gauge.wait();
        let goal = self.classes.protected_goal(now);
        let max_wait = goal.map_or(Duration::MAX, |goal| {
            goal.mul_f64(MAX_WAIT_FRACTION) + self.classes.mean_work(now)
        });
        if wait > max_wait {
            let severity = wait.as_secs_f64() / max_wait.as_secs_f64();
            let kept = 1.0 - LEVEL_DECREASE * severity.min(MAX_SEVERITY);
            self.level = (self.level * kept).max(MIN_LEVEL);
        } else if wait <= max_wait / 2 {
            self.level = (self.level + LEVEL_INCREASE).min(1.0);
        }
        self.track_phase(wait, max_wait, now)
    }

    /// Decides on a request that arrives at `now`.
    pub fn decide(
        &mut self,
        request: &LoadRequest<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> LoadDecision {
        let wait = self.gauge.wait();
        let is_above =
            request.customer.is_some_and(|name| self.customers.record_offered(name, now));
        let rank = LoadRank {
            priority: request.priority,
            is_above_usual: is_above || request.is_above_usual,
            is_late: request.goal_left < wait + request.typical_time,
        };
        let key = ClassKey::new(rank, request.work);
        self.classes.record_offered(key, request.work, request.goal, now);
        self.offered.add(1.0, COUNT_PERIOD, now);
        if request.deadline_left < wait + request.min_time {
            return self.refuse(RefusalReason::DeadlineTooClose, wait, rng);
        }
        if self.level >= 1.0 {
            return self.admit(rank, request.customer, now);
        }
        let share = self.classes.share(key, self.level, now);
        let floor = self.overall_share(now) * FLOOR_FRACTION;
        let is_starved =
            request.customer.is_some_and(|name| self.customers.is_starved(name, floor, now));
        if self.classes.take_turn(key, share.admitted.max(floor), is_starved) {
            return self.admit(rank, request.customer, now);
        }
        let samples = (share.full_level - self.level).max(0.0) / LEVEL_INCREASE;
        let recovery = SAMPLE_INTERVAL.mul_f64(samples);
        self.refuse(RefusalReason::Overloaded, wait + recovery, rng)
    }

    fn admit(
        &mut self,
        rank: LoadRank,
        customer: Option<&CustomerName>,
        now: Timestamp,
    ) -> LoadDecision {
        self.admitted.add(1.0, COUNT_PERIOD, now);
        if let Some(name) = customer {
            self.customers.record_admitted(name, now);
        }
        if let Some(phase) = &mut self.phase {
            phase.admitted += 1;
        }
        LoadDecision::Admit(rank)
    }

    fn refuse(
        &mut self,
        reason: RefusalReason,
        delay: Duration,
        rng: &mut impl Rng,
    ) -> LoadDecision {
        if let Some(phase) = &mut self.phase {
            phase.refused += 1;
        }
        let delay = delay.max(MIN_RETRY_AFTER);
        let retry_after = delay.mul_f64(1.0 + rng.random_range(0.0..RETRY_SPREAD));
        LoadDecision::Refuse { reason, retry_after }
    }

    /// Returns the fraction of the recent requests that were admitted.
    fn overall_share(&self, now: Timestamp) -> f64 {
        let offered = self.offered.get(COUNT_PERIOD, now);
        if offered <= 0.0 {
            return 1.0;
        }
        (self.admitted.get(COUNT_PERIOD, now) / offered).clamp(MIN_LEVEL, 1.0)
    }

    fn track_phase(
        &mut self,
        wait: Duration,
        max_wait: Duration,
        now: Timestamp,
    ) -> Option<LoadChange> {
        if self.level < 1.0 {
            self.calm_samples = 0;
        } else {
            self.calm_samples = self.calm_samples.saturating_add(1);
        }
        match &mut self.phase {
            Some(phase) if self.calm_samples < CALM_SAMPLES => {
                phase.lowest_level = phase.lowest_level.min(self.level);
                None
            }
            Some(_) => self.phase.take().map(LoadChange::Ended),
            None if self.level < 1.0 => {
                let (lowest_level, began_at) = (self.level, now);
                self.phase = Some(LoadPhase { began_at, lowest_level, admitted: 0, refused: 0 });
                Some(LoadChange::Began { wait, max_wait })
            }
            None => None,
        }
    }
}
