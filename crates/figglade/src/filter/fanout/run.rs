//! State machine of one fan-out: start, replies, timers and result.

use std::sync::Arc;

use rand::{Rng, RngExt};

use super::{
    AttemptKind, ExpectedReply, FanoutAction, FanoutContext, FanoutPolicy, ReplyOutcome,
    attempts::{Attempt, ShardSlot},
};
use crate::{
    AttemptId, IndexName, ShardId, Timestamp,
    border::AttemptError,
    filter::{
        load::AttemptEnd,
        merge::{MergedAnswer, QueriedShard, ShardResult, merge_shards},
        routing::SnapshotRoute,
    },
    wire::{MissingReason, SearchReply},
};

/// The probes of slow replicas allowed per first attempt.
const PROBE_BUDGET: f64 = 0.002;

/// The fan-out of one request over one pinned snapshot.
#[derive(Debug)]
pub struct FanoutRun {
    pub(super) index: IndexName,
    pub(super) snapshot: Arc<SnapshotRoute>,
    pub(super) context: Arc<FanoutContext>,
    pub(super) policy: FanoutPolicy,
    pub(super) deadline: Timestamp,
    pub(super) first_attempt_id: u128,
    pub(super) attempts: Vec<Attempt>,
    pub(super) slots: Vec<ShardSlot>,
    pub(super) open_slots: usize,
    pub(super) probe_count: u32,
}

impl FanoutRun {
    /// Creates a fan-out over `shards` of `snapshot` that ends at `deadline`.
    pub fn new(
        index: IndexName,
        snapshot: Arc<SnapshotRoute>,
        shards: impl Iterator<Item = ShardId>,
        context: Arc<FanoutContext>,
        policy: FanoutPolicy,
        deadline: Timestamp,
        rng: &mut impl Rng,
    ) -> Self {
        let slots: Vec<_> = shards.map(ShardSlot::new).collect();
        let open_slots = slots.len();
        // The lower 64 bits number the attempts of this request.
        let first_attempt_id = u128::from(rng.random::<u64>()) << 64;
        let attempts = Vec::with_capacity(slots.len());
        Self {
            index,
            snapshot,
            context,
            policy,
            deadline,
            first_attempt_id,
            attempts,
            slots,
            open_slots,
            probe_count: 0,
        }
    }

    /// Returns the pinned snapshot.
    pub fn snapshot(&self) -> &Arc<SnapshotRoute> {
        &self.snapshot
    }

    /// Returns whether every shard has a result.
    pub fn is_done(&self) -> bool {
        self.open_slots == 0
    }

    /// Returns the number of shards queried.
    pub fn shard_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of attempts sent, including probes.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len() + self.probe_count as usize
    }

    /// Returns whether a shard is missing and its last error was that a replica does not hold the
    /// snapshot.
    pub fn lost_snapshot(&self) -> bool {
        self.slots.iter().any(|slot| {
            matches!(slot.result, Some(ShardResult::Missing(_)))
                && slot.last_error == Some(AttemptError::VersionNotHeld)
        })
    }

    /// Sends the first attempt of every shard.
    pub fn start(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<FanoutAction> {
        let count = self.slots.len() as u32;
        self.context.hedges.deposit(count, self.policy.hedge_budget);
        self.context.retries.deposit(count, self.policy.retry_budget);
        self.context.probes.deposit(count, PROBE_BUDGET);
        let mut actions = Vec::with_capacity(self.slots.len());
        for slot in 0..self.slots.len() {
            if self.send_attempt(slot, AttemptKind::First, now, rng, &mut actions) {
                self.send_probe(slot, now, &mut actions);
            } else {
                self.close_without_replica(slot, now);
            }
        }
        actions
    }

    /// Handles the outcome of an attempt.
    pub fn handle_reply(
        &mut self,
        attempt: AttemptId,
        reply: Result<SearchReply, AttemptError>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> (ReplyOutcome, Vec<FanoutAction>) {
        let number = self.attempt_number(attempt).filter(|&number| self.attempts[number].is_open);
        let Some(number) = number else {
            return (ReplyOutcome::Late, Vec::new());
        };
        let mut actions = Vec::new();
        match reply.and_then(|reply| self.check_reply(number, attempt, reply)) {
            Ok(reply) => {
                self.accept_reply(number, reply, now, rng, &mut actions);
                (ReplyOutcome::Merged, actions)
            }
            Err(error) => {
                self.finish_attempt(number, AttemptEnd::Failed(error), now, &mut actions);
                self.handle_failure(number, error, now, rng, &mut actions);
                (ReplyOutcome::Failed(error), actions)
            }
        }
    }

    /// Returns when [`Self::handle_timer`] is due.
    pub fn next_timer(&self) -> Timestamp {
        let hedge = self.hedge_candidates().map(|(_, due)| due).min();
        hedge.map_or(self.deadline, |due| due.min(self.deadline))
    }

    /// Sends the hedges that are due and, at the deadline, closes every open shard.
    pub fn handle_timer(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<FanoutAction> {
        let mut actions = Vec::new();
        if now >= self.deadline {
            self.close_all_slots(now, &mut actions);
            return actions;
        }
        let due: Vec<_> =
            self.hedge_candidates().filter(|(_, due)| *due <= now).map(|(slot, _)| slot).collect();
        for slot in due {
            self.send_hedge(slot, now, rng, &mut actions);
        }
        actions
    }

    /// Cancels every open attempt of a request that ends early.
    pub fn abort(&mut self, now: Timestamp) -> Vec<FanoutAction> {
        let mut actions = Vec::new();
        for number in 0..self.attempts.len() {
            if self.attempts[number].is_open {
                self.cancel_attempt(number, AttemptEnd::Cancelled, now, &mut actions);
            }
        }
        actions
    }

    /// Merges the results into at most `limit` hits.
    pub fn finish(self, limit: usize) -> MergedAnswer {
        let documents = &self.snapshot.documents;
        let queried = self.slots.into_iter().map(|slot| QueriedShard {
            shard: slot.shard,
            documents: documents[slot.shard.get() as usize],
            result: slot.result.unwrap_or(ShardResult::Missing(MissingReason::Deadline)),
        });
        merge_shards(queried.collect(), limit)
    }

    fn attempt_number(&self, attempt: AttemptId) -> Option<usize> {
        let number = usize::try_from(attempt.get().checked_sub(self.first_attempt_id)?).ok()?;
        (number < self.attempts.len()).then_some(number)
    }

    fn check_reply(
        &self,
        number: usize,
        attempt: AttemptId,
        reply: SearchReply,
    ) -> Result<SearchReply, AttemptError> {
        let shard = self.slots[self.attempts[number].slot].shard;
        ExpectedReply { attempt, index: &self.index, shard, key: self.snapshot.key }.check(reply)
    }

    fn accept_reply(
        &mut self,
        number: usize,
        reply: SearchReply,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<FanoutAction>,
    ) {
        let slot = self.attempts[number].slot;
        self.context.latency.observe(now.since(self.attempts[number].started_at));
        self.finish_attempt(number, AttemptEnd::Answered, now, actions);
        self.slots[slot].keep_if_fuller(reply);
        let manifest = self.snapshot.documents[self.slots[slot].shard.get() as usize];
        let is_full =
            manifest.is_none_or(|documents| self.slots[slot].best_answer_documents() >= documents);
        if is_full || !(self.has_open_attempt(slot) || self.retry_partial(slot, now, rng, actions))
        {
            self.close_slot(slot, MissingReason::Failed);
            self.cancel_open_attempts(slot, now, actions);
        }
    }

    fn handle_failure(
        &mut self,
        number: usize,
        error: AttemptError,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<FanoutAction>,
    ) {
        let attempt = &self.attempts[number];
        let slot = attempt.slot;
        match error {
            AttemptError::VersionNotHeld => {
                attempt.route.load.record_missing_snapshot(&self.index, self.snapshot.key, now);
            }
            // Extra attempts would add to the load of a target that sheds requests.
            AttemptError::Shed => {
                self.context.hedges.halve();
                self.context.retries.halve();
            }
            _ => {}
        }
        self.slots[slot].last_error = Some(error);
        if self.has_open_attempt(slot) {
            self.schedule_hedge(slot, now);
        } else if !self.retry_slot(slot, now, rng, actions) {
            self.close_slot(slot, missing_reason(error));
        }
    }

    fn close_all_slots(&mut self, now: Timestamp, actions: &mut Vec<FanoutAction>) {
        for number in 0..self.attempts.len() {
            if self.attempts[number].is_open {
                let end = AttemptEnd::Failed(AttemptError::TimedOut);
                self.cancel_attempt(number, end, now, actions);
            }
        }
        for slot in 0..self.slots.len() {
            self.close_slot(slot, MissingReason::Deadline);
        }
    }

    fn close_without_replica(&mut self, slot: usize, now: Timestamp) {
        let shard = self.slots[slot].shard.get() as usize;
        let is_missing = |load: &super::super::load::TargetLoad| {
            load.is_snapshot_missing(&self.index, self.snapshot.key, now)
        };
        if self.snapshot.replicas[shard].iter().any(|route| is_missing(&route.load)) {
            self.slots[slot].last_error = Some(AttemptError::VersionNotHeld);
        }
        self.close_slot(slot, MissingReason::NoReplica);
    }

    /// Closes a shard with its best answer, or as missing for `reason` if it has none.
    fn close_slot(&mut self, slot: usize, reason: MissingReason) {
        let slot = &mut self.slots[slot];
        if slot.result.is_none() {
            slot.result = Some(slot.best_answer.take().unwrap_or(ShardResult::Missing(reason)));
            self.open_slots -= 1;
        }
    }
}

/// Returns the reason reported to the caller for a shard whose last attempt failed.
fn missing_reason(error: AttemptError) -> MissingReason {
    match error {
        AttemptError::Shed => MissingReason::Shed,
        AttemptError::TimedOut => MissingReason::Deadline,
        AttemptError::VersionNotHeld | AttemptError::Draining => MissingReason::NoReplica,
        _ => MissingReason::Failed,
    }
}
