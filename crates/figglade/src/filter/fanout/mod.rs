//! The fan-out of one request as a state machine: attempts, hedges, retries and the deadline.

mod attempts;
mod run;

use std::{sync::Arc, time::Duration};

use derive_more::Display;

pub use self::run::FanoutRun;
use crate::{
    AttemptId, IndexName, ShardId, TargetId, Timestamp,
    border::AttemptError,
    filter::{
        budget::AttemptBudget,
        latency::LatencyTracker,
        load::{AttemptEnd, TargetChange},
        picker::ReplicaPicker,
        routing::{SnapshotKey, TargetRoute},
    },
    wire::SearchReply,
};

/// The limits of a fan-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FanoutPolicy {
    /// The fraction of the shards that are still open at which hedging starts.
    pub hedge_tail: f64,
    /// The hedges allowed per first attempt.
    pub hedge_budget: f64,
    /// The shortest delay before a hedge.
    pub hedge_min_delay: Duration,
    /// The retries allowed per first attempt.
    pub retry_budget: f64,
    /// The maximum number of attempts for one shard.
    pub max_attempts: u32,
    /// The fraction of the targets that may be ejected concurrently.
    pub max_ejected: f64,
}

/// The state that all requests to one index share.
#[derive(Debug)]
pub struct FanoutContext {
    /// Chooses replicas.
    pub picker: ReplicaPicker,
    /// Bounds hedges.
    pub hedges: AttemptBudget,
    /// Bounds probes of slow replicas.
    pub probes: AttemptBudget,
    /// Bounds retries.
    pub retries: AttemptBudget,
    /// Tracks the latency of shards.
    pub latency: LatencyTracker,
}

impl FanoutContext {
    /// Records the end of an attempt at `route` that took `elapsed`. At most the fraction
    /// `max_ejected` of the targets is ejected concurrently.
    pub fn finish_attempt(
        &self,
        route: &TargetRoute,
        end: AttemptEnd,
        elapsed: Duration,
        now: Timestamp,
        max_ejected: f64,
    ) -> TargetChange {
        let may_eject = |until| self.may_eject(route, until, now, max_ejected);
        let change = route.load.finish_attempt(end, elapsed, now, may_eject);
        self.record_change(route, change)
    }

    /// Records the end of a probe of `route`, like [`Self::finish_attempt`] for an attempt.
    pub fn finish_probe(
        &self,
        route: &TargetRoute,
        answer: Result<(), AttemptError>,
        elapsed: Duration,
        now: Timestamp,
        max_ejected: f64,
    ) -> TargetChange {
        let may_eject = |until| self.may_eject(route, until, now, max_ejected);
        let change = route.load.finish_probe(answer, elapsed, now, may_eject);
        self.record_change(route, change)
    }

    fn may_eject(
        &self,
        route: &TargetRoute,
        until: Timestamp,
        now: Timestamp,
        max_ejected: f64,
    ) -> bool {
        self.picker.ejections.try_eject(&route.target, until, now, max_ejected)
    }

    fn record_change(&self, route: &TargetRoute, change: TargetChange) -> TargetChange {
        if change == TargetChange::Returned {
            self.picker.ejections.release(&route.target);
        }
        change
    }
}

/// The reason an attempt is sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum AttemptKind {
    /// The first attempt for a shard.
    First,
    /// An earlier attempt is late.
    Hedge,
    /// An earlier attempt failed, or its answer was partial.
    Retry,
    /// A copy of a first attempt, sent only to find out whether a replica has recovered.
    Probe,
}

/// An instruction to the driver.
#[derive(Clone, Debug)]
pub enum FanoutAction {
    /// Send the search of `shard` to a target.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The shard.
        shard: ShardId,
        /// The target.
        route: Arc<TargetRoute>,
        /// The reason for the attempt.
        kind: AttemptKind,
    },
    /// Send a copy of the search in addition to the request. Its answer is passed only to
    /// [`FanoutContext::finish_probe`], even after the request has ended.
    Probe {
        /// The attempt.
        attempt: AttemptId,
        /// The shard.
        shard: ShardId,
        /// The target.
        route: Arc<TargetRoute>,
    },
    /// Ask a target to cancel an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The target.
        route: Arc<TargetRoute>,
    },
    /// Report that the ejection state of a target has changed.
    Changed {
        /// The target.
        target: TargetId,
        /// The change.
        change: TargetChange,
    },
}

/// How a reply was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// The reply was accepted, or kept while a fuller one is awaited.
    Merged,
    /// The attempt failed.
    Failed(AttemptError),
    /// The attempt had already ended, so the reply was discarded.
    Late,
}

/// The identifiers that the answer to an attempt must carry.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedReply<'a> {
    /// The attempt.
    pub attempt: AttemptId,
    /// The index.
    pub index: &'a IndexName,
    /// The shard.
    pub shard: ShardId,
    /// The snapshot.
    pub key: SnapshotKey,
}

impl ExpectedReply<'_> {
    /// Returns the reply if it belongs to the attempt.
    ///
    /// # Errors
    ///
    /// Fails with [`AttemptError::Mismatched`] when the attempt, index, shard or version differs.
    pub fn check(&self, reply: SearchReply) -> Result<SearchReply, AttemptError> {
        let matches = reply.attempt_id == self.attempt
            && reply.index == *self.index
            && reply.shard == self.shard
            && reply.version == self.key.version;
        if matches { Ok(reply) } else { Err(AttemptError::Mismatched) }
    }
}
