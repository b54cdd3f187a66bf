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

/// The limits a fan-out keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FanoutPolicy {
    /// The share of the shards still open below which hedging starts.
    pub hedge_tail: f64,
    /// The hedges earned by each first attempt.
    pub hedge_budget: f64,
    /// The shortest wait before a hedge.
    pub hedge_min_delay: Duration,
    /// The retries earned by each first attempt.
    pub retry_budget: f64,
    /// The most attempts for one shard.
    pub max_attempts: u32,
    /// The share of the targets that may be ejected at a time.
    pub max_ejected: f64,
}

/// What the requests of one index share.
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
    /// Follows the latency of shards.
    pub latency: LatencyTracker,
}

impl FanoutContext {
    /// Ends an attempt at `route` that took `elapsed`; at most `max_ejected` of the targets are
    /// ejected at a time.
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
        self.count_change(route, change)
    }

    /// Ends a probe of `route` as [`Self::finish_attempt`] ends an attempt.
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
        self.count_change(route, change)
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

    fn count_change(&self, route: &TargetRoute, change: TargetChange) -> TargetChange {
        if change == TargetChange::Returned {
            self.picker.ejections.release(&route.target);
        }
        change
    }
}

/// Why an attempt was sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum AttemptKind {
    /// The first attempt for a shard.
    First,
    /// A second attempt while the first is still open.
    Hedge,
    /// An attempt after another failed.
    Retry,
    /// A copy of a first attempt that only shows whether a replica recovered.
    Probe,
}

/// What the driver does next.
#[derive(Clone, Debug)]
pub enum FanoutAction {
    /// Sends the search of `shard` to a target.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The shard.
        shard: ShardId,
        /// The target.
        route: Arc<TargetRoute>,
        /// Why it is sent.
        kind: AttemptKind,
    },
    /// Sends a copy of the search beside the request; its answer only goes to
    /// [`FanoutContext::finish_probe`], also after the request ended.
    Probe {
        /// The attempt.
        attempt: AttemptId,
        /// The shard.
        shard: ShardId,
        /// The target.
        route: Arc<TargetRoute>,
    },
    /// Asks a target to stop an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The target.
        route: Arc<TargetRoute>,
    },
    /// Notes what an attempt changed about a target.
    Changed {
        /// The target.
        target: TargetId,
        /// The change.
        change: TargetChange,
    },
}

/// What became of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// The reply was merged, or kept until a fuller one comes.
    Merged,
    /// The attempt failed.
    Failed(AttemptError),
    /// The attempt had ended before; the reply was discarded.
    Late,
}

/// What an answer must name to belong to an attempt.
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
    /// Returns the reply when it belongs to the attempt.
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
