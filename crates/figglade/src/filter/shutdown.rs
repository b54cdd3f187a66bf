//! The course of a planned stop, and the admission of requests during it.

use std::time::Duration;

use crate::Timestamp;

/// How long new connections are still served after the request to stop: the load balancer probes
/// once a second and removes an instance after two failed probes.
const BALANCER_DELAY: Duration = Duration::from_millis(2_300);
/// The longest part of the grace period that is spent waiting for the load balancer.
const MAX_BALANCER_FRACTION: f64 = 0.5;
/// The fraction of the grace period after which idle connections are closed.
const IDLE_CLOSE_FRACTION: f64 = 0.75;
/// How much earlier than the kill at the end of the grace period the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// How much earlier than the exit the last answers are ready, so that they are still written.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// The times of a planned stop: from the request to stop to the exit of the process, before the
/// platform kills it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    started_at: Timestamp,
    grace: Duration,
}

impl ShutdownPlan {
    /// Creates the plan of a stop that was requested at `started_at`; the process is killed `grace`
    /// later.
    pub const fn new(started_at: Timestamp, grace: Duration) -> Self {
        Self { started_at, grace }
    }

    /// Returns when the load balancer has removed the instance. From then on each connection is
    /// closed after its next answer.
    pub fn drains_at(&self) -> Timestamp {
        let delay = BALANCER_DELAY.min(self.grace.mul_f64(MAX_BALANCER_FRACTION));
        (self.started_at + delay).min(self.exits_at())
    }

    /// Returns when idle connections are closed; the process exits once no request is in progress.
    pub fn closes_idle_at(&self) -> Timestamp {
        (self.started_at + self.grace.mul_f64(IDLE_CLOSE_FRACTION)).min(self.exits_at())
    }

    /// Returns when the process exits at the latest.
    pub fn exits_at(&self) -> Timestamp {
        self.started_at + self.grace.saturating_sub(EXIT_MARGIN)
    }

    /// Returns whether a request that arrives at `now` is served, which ends most likely by
    /// `likely_end` and certainly by `deadline`.
    ///
    /// Once the load balancer has removed the instance, a refused caller reaches another instance
    /// with its next connection. A request that may outlast the process is then better refused than
    /// cut off, because a cut-off request may have run.
    pub fn admits(&self, now: Timestamp, likely_end: Timestamp, deadline: Timestamp) -> bool {
        now < self.drains_at() || likely_end.min(deadline) <= self.last_answer_at()
    }

    /// Returns the time by which a request with this deadline is answered: before the process exits,
    /// so that its caller gets an answer in any case.
    pub fn limit_deadline(&self, deadline: Timestamp) -> Timestamp {
        deadline.min(self.last_answer_at())
    }

    fn last_answer_at(&self) -> Timestamp {
        self.exits_at() - LAST_ANSWER_MARGIN
    }
}
