//! The work that a request causes at an instance, and the route sets whose requests need admission by
//! it.

use std::{collections::HashSet, time::Duration};

use crate::{CoreShare, controller::route_set::RouteSet};

/// The time that a whole core takes for a request besides its shards.
const REQUEST_WORK: Duration = Duration::from_micros(200);
/// The time that a whole core takes for one shard of a search: with 36 shards, a search takes about
/// 2 ms.
const SHARD_WORK: Duration = Duration::from_micros(50);
/// The processor time of a whole core, in the unit of [`CoreShare`].
const MILLIS_PER_CORE: u32 = 1_000;
/// The latency goal below which callers notice the delays of a busy instance.
const SHORT_GOAL: Duration = Duration::from_millis(50);

/// Estimates the work of requests at an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkModel {
    millis: u32,
}

impl WorkModel {
    /// Creates the model of an instance with this processor time; zero means that it is not known.
    pub const fn new(cores: CoreShare) -> Self {
        Self { millis: if cores.get() == 0 { MILLIS_PER_CORE } else { cores.get() } }
    }

    /// Returns the time of the instance's thread that a request takes which the instance sends to
    /// `shards` shards.
    pub fn work_of(&self, shards: usize) -> Duration {
        let shards = u32::try_from(shards).unwrap_or(u32::MAX);
        let work = REQUEST_WORK.saturating_add(SHARD_WORK.saturating_mul(shards));
        work.saturating_mul(MILLIS_PER_CORE) / self.millis
    }
}

/// The fraction of a latency goal within which certainly no target answers.
const MIN_ANSWER_FRACTION: f64 = 0.02;

/// Returns the shortest time in which a request with this latency goal may be answered. Less time left
/// than that certainly does not suffice.
pub fn min_answer_time(goal: Duration) -> Duration {
    goal.mul_f64(MIN_ANSWER_FRACTION)
}

/// Returns whether the requests of a route set need admission by load: it has customers, or its routes
/// differ in priority and one of them has a latency goal below 50 ms.
pub fn needs_load_admission(set: &RouteSet) -> bool {
    let priorities: HashSet<_> = set.routes.iter().map(|route| route.priority).collect();
    let has_short_goal = set.routes.iter().any(|route| route.latency_goal < SHORT_GOAL);
    set.customers.is_some() || priorities.len() > 1 && has_short_goal
}
