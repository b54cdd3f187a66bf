//! The fan-out of one request as a state machine: attempts, hedges, retries and the deadline.

use std::{sync::Arc, time::Duration};

use derive_more::Display;
use rand::{Rng, RngExt};

use crate::{
    AttemptId, IndexName, ShardId, TargetId, Timestamp,
    border::AttemptError,
    filter::{
        budget::AttemptBudget,
        latency::LatencyTracker,
        merge::{AskedShard, MergedAnswer, ShardResult, merge_shards},
        picker::{AttemptEnd, ReplicaPicker},
        routing::{SnapshotRoute, TargetRoute},
    },
    wire::{MissingReason, SearchReply},
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
pub struct FanoutTools {
    /// Chooses replicas.
    pub picker: ReplicaPicker,
    /// Bounds hedges.
    pub hedges: AttemptBudget,
    /// Bounds retries.
    pub retries: AttemptBudget,
    /// Follows the latency of shards.
    pub latency: LatencyTracker,
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
    /// Asks a target to stop an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The target.
        route: Arc<TargetRoute>,
    },
    /// Notes that a target was ejected.
    Ejected {
        /// The target.
        target: TargetId,
    },
}

/// What became of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyVerdict {
    /// The reply was merged.
    Merged,
    /// The attempt failed.
    Failed(AttemptError),
    /// The attempt had ended before; the reply was discarded.
    Late,
}

/// One sending to one target.
#[derive(Debug)]
struct Attempt {
    slot: usize,
    route: Arc<TargetRoute>,
    kind: AttemptKind,
    started: Timestamp,
    open: bool,
}

/// One shard of the request.
#[derive(Debug)]
struct ShardSlot {
    shard: ShardId,
    attempts: Vec<usize>,
    tried: Vec<TargetId>,
    result: Option<ShardResult>,
    last_error: Option<AttemptError>,
    hedged: bool,
}

/// The fan-out of one request over one pinned snapshot.
#[derive(Debug)]
pub struct FanoutRun {
    index: IndexName,
    snapshot: Arc<SnapshotRoute>,
    tools: Arc<FanoutTools>,
    policy: FanoutPolicy,
    deadline: Timestamp,
    first_attempt: u128,
    attempts: Vec<Attempt>,
    slots: Vec<ShardSlot>,
    open_slots: usize,
}

impl FanoutRun {
    /// Prepares a fan-out over `shards` of `snapshot` that ends at `deadline`.
    pub fn new(
        index: IndexName,
        snapshot: Arc<SnapshotRoute>,
        shards: impl Iterator<Item = ShardId>,
        tools: Arc<FanoutTools>,
        policy: FanoutPolicy,
        deadline: Timestamp,
        rng: &mut impl Rng,
    ) -> Self {
        let slots: Vec<_> = shards.map(ShardSlot::new).collect();
        let open_slots = slots.len();
        // The low half counts the attempts of this request.
        let first_attempt = u128::from(rng.random::<u64>()) << 64;
        let attempts = Vec::with_capacity(slots.len());
        Self {
            index,
            snapshot,
            tools,
            policy,
            deadline,
            first_attempt,
            attempts,
            slots,
            open_slots,
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

    /// Returns the number of attempts sent.
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether some shard failed only because its replicas no longer hold the snapshot.
    pub fn lost_snapshot(&self) -> bool {
        self.slots.iter().any(|slot| {
            matches!(slot.result, Some(ShardResult::Missing(_)))
                && slot.last_error == Some(AttemptError::VersionNotHeld)
        })
    }

    /// Sends the first attempt of every shard.
    pub fn start(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<FanoutAction> {
        let count = self.slots.len() as u32;
        self.tools.hedges.deposit(count, self.policy.hedge_budget);
        self.tools.retries.deposit(count, self.policy.retry_budget);
        let mut actions = Vec::with_capacity(self.slots.len());
        for slot in 0..self.slots.len() {
            if !self.send_attempt(slot, AttemptKind::First, now, rng, &mut actions) {
                self.close_slot(slot, ShardResult::Missing(MissingReason::NoReplica));
            }
        }
        actions
    }

    /// Takes the outcome of an attempt.
    pub fn handle_reply(
        &mut self,
        attempt: AttemptId,
        reply: Result<SearchReply, AttemptError>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> (ReplyVerdict, Vec<FanoutAction>) {
        let Some(number) = self.attempt_number(attempt) else {
            return (ReplyVerdict::Late, Vec::new());
        };
        if !self.attempts[number].open {
            return (ReplyVerdict::Late, Vec::new());
        }
        let mut actions = Vec::new();
        match reply.and_then(|reply| self.check_reply(number, attempt, reply)) {
            Ok(reply) => {
                self.accept_reply(number, reply, now, &mut actions);
                (ReplyVerdict::Merged, actions)
            }
            Err(error) => {
                self.end_attempt(number, AttemptEnd::Failed(error), now, &mut actions);
                self.handle_failure(number, error, now, rng, &mut actions);
                (ReplyVerdict::Failed(error), actions)
            }
        }
    }

    /// Returns when [`Self::handle_timer`] is due.
    pub fn next_timer(&self) -> Timestamp {
        let hedge = self.hedge_candidates().map(|(_, due)| due).min();
        hedge.map_or(self.deadline, |due| due.min(self.deadline))
    }

    /// Hedges what is due and, at the deadline, closes every open shard.
    pub fn handle_timer(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<FanoutAction> {
        let mut actions = Vec::new();
        if now >= self.deadline {
            self.close_all(now, &mut actions);
            return actions;
        }
        let due: Vec<_> =
            self.hedge_candidates().filter(|(_, due)| *due <= now).map(|(slot, _)| slot).collect();
        for slot in due {
            self.send_hedge(slot, now, rng, &mut actions);
        }
        actions
    }

    /// Cancels every open attempt because the request ended early.
    pub fn abandon(&mut self, now: Timestamp) -> Vec<FanoutAction> {
        let mut actions = Vec::new();
        for number in 0..self.attempts.len() {
            if self.attempts[number].open {
                self.cancel_attempt(number, AttemptEnd::Abandoned, now, &mut actions);
            }
        }
        actions
    }

    /// Merges the results into at most `limit` hits.
    pub fn finish(self, limit: usize) -> MergedAnswer {
        let documents = &self.snapshot.documents;
        let asked = self.slots.into_iter().map(|slot| AskedShard {
            shard: slot.shard,
            documents: documents[slot.shard.get() as usize],
            result: slot.result.unwrap_or(ShardResult::Missing(MissingReason::Deadline)),
        });
        merge_shards(asked.collect(), limit)
    }

    fn attempt_number(&self, attempt: AttemptId) -> Option<usize> {
        let number = usize::try_from(attempt.get().checked_sub(self.first_attempt)?).ok()?;
        (number < self.attempts.len()).then_some(number)
    }

    fn check_reply(
        &self,
        number: usize,
        attempt: AttemptId,
        reply: SearchReply,
    ) -> Result<SearchReply, AttemptError> {
        let slot = &self.slots[self.attempts[number].slot];
        let matches = reply.attempt_id == attempt
            && reply.index == self.index
            && reply.shard == slot.shard
            && reply.version == self.snapshot.key.version;
        if matches { Ok(reply) } else { Err(AttemptError::Mismatched) }
    }

    fn accept_reply(
        &mut self,
        number: usize,
        reply: SearchReply,
        now: Timestamp,
        actions: &mut Vec<FanoutAction>,
    ) {
        let slot = self.attempts[number].slot;
        let elapsed = now.since(self.attempts[number].started);
        self.tools.latency.observe(elapsed);
        self.end_attempt(number, AttemptEnd::Answered, now, actions);
        let result = ShardResult::Answered {
            documents_searched: reply.documents_searched,
            hits: reply.hits,
        };
        self.close_slot(slot, result);
        self.cancel_losers(slot, now, actions);
    }

    fn handle_failure(
        &mut self,
        number: usize,
        error: AttemptError,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<FanoutAction>,
    ) {
        let slot = self.attempts[number].slot;
        if self.slots[slot].result.is_some() {
            return;
        }
        self.slots[slot].last_error = Some(error);
        if error == AttemptError::Shed {
            // A target that sheds needs less extra load, not more.
            self.tools.hedges.shrink();
        }
        if self.retry_slot(slot, now, rng, actions) {
            return;
        }
        let still_open = self.slots[slot].attempts.iter().any(|&other| self.attempts[other].open);
        if !still_open {
            self.close_slot(slot, ShardResult::Missing(missing_reason(error)));
        }
    }

    fn retry_slot(
        &mut self,
        slot: usize,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        let sent = self.slots[slot].attempts.len() as u32;
        if sent >= self.policy.max_attempts || !self.has_untried(slot) {
            return false;
        }
        if !self.tools.retries.withdraw() {
            return false;
        }
        self.send_attempt(slot, AttemptKind::Retry, now, rng, actions)
    }

    fn has_untried(&self, slot: usize) -> bool {
        let slot = &self.slots[slot];
        let replicas = &self.snapshot.replicas[slot.shard.get() as usize];
        replicas.iter().any(|route| !slot.tried.contains(&route.target))
    }

    /// Lists the open shards that may be hedged and when; only the last shards qualify.
    fn hedge_candidates(&self) -> impl Iterator<Item = (usize, Timestamp)> + '_ {
        let tail = (self.slots.len() as f64 * self.policy.hedge_tail).ceil() as usize;
        let in_tail = self.open_slots <= tail.max(1);
        let delay = self.tools.latency.hedge_delay().max(self.policy.hedge_min_delay);
        let slots = if in_tail { self.slots.as_slice() } else { &[] };
        slots.iter().enumerate().filter_map(move |(number, slot)| {
            if slot.result.is_some() || slot.hedged {
                return None;
            }
            let started = self.attempts[*slot.attempts.last()?].started;
            Some((number, started + delay))
        })
    }

    fn send_hedge(
        &mut self,
        slot: usize,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<FanoutAction>,
    ) {
        // One try a shard: without a token or a healthy replica there is nothing to wait for.
        self.slots[slot].hedged = true;
        let sent = self.slots[slot].attempts.len() as u32;
        if sent >= self.policy.max_attempts || !self.has_untried(slot) {
            return;
        }
        if self.tools.hedges.withdraw() {
            self.send_attempt(slot, AttemptKind::Hedge, now, rng, actions);
        }
    }

    fn send_attempt(
        &mut self,
        slot: usize,
        kind: AttemptKind,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        let state = &self.slots[slot];
        let replicas = &self.snapshot.replicas[state.shard.get() as usize];
        let picker = &self.tools.picker;
        let picked = match kind {
            AttemptKind::Hedge => picker.pick_hedge(replicas, &state.tried, now, rng),
            AttemptKind::First | AttemptKind::Retry => {
                picker.pick(replicas, &state.tried, now, rng)
            }
        };
        let Some(route) = picked.map(Arc::clone) else { return false };
        let number = self.attempts.len();
        let attempt = AttemptId::new(self.first_attempt + number as u128);
        route.load.begin_attempt();
        let state = &mut self.slots[slot];
        state.attempts.push(number);
        state.tried.push(route.target.clone());
        let shard = state.shard;
        let started = now;
        self.attempts.push(Attempt { slot, route: Arc::clone(&route), kind, started, open: true });
        actions.push(FanoutAction::Send { attempt, shard, route, kind });
        true
    }

    fn end_attempt(
        &mut self,
        number: usize,
        end: AttemptEnd,
        now: Timestamp,
        actions: &mut Vec<FanoutAction>,
    ) {
        let attempt = &mut self.attempts[number];
        attempt.open = false;
        let elapsed = now.since(attempt.started);
        let max_ejected = self.policy.max_ejected;
        let ejections = &self.tools.picker.ejections;
        let may_eject = || ejections.try_eject(now, max_ejected);
        if attempt.route.load.end_attempt(end, elapsed, now, may_eject) {
            actions.push(FanoutAction::Ejected { target: attempt.route.target.clone() });
        }
    }

    fn cancel_losers(&mut self, slot: usize, now: Timestamp, actions: &mut Vec<FanoutAction>) {
        let numbers = self.slots[slot].attempts.clone();
        for number in numbers {
            if self.attempts[number].open {
                let end = match self.attempts[number].kind {
                    AttemptKind::First => AttemptEnd::Overtaken,
                    AttemptKind::Hedge | AttemptKind::Retry => AttemptEnd::Abandoned,
                };
                self.cancel_attempt(number, end, now, actions);
            }
        }
    }

    fn cancel_attempt(
        &mut self,
        number: usize,
        end: AttemptEnd,
        now: Timestamp,
        actions: &mut Vec<FanoutAction>,
    ) {
        self.end_attempt(number, end, now, actions);
        let attempt = AttemptId::new(self.first_attempt + number as u128);
        let route = Arc::clone(&self.attempts[number].route);
        actions.push(FanoutAction::Cancel { attempt, route });
    }

    fn close_all(&mut self, now: Timestamp, actions: &mut Vec<FanoutAction>) {
        for number in 0..self.attempts.len() {
            if self.attempts[number].open {
                let end = AttemptEnd::Failed(AttemptError::TimedOut);
                self.cancel_attempt(number, end, now, actions);
            }
        }
        for slot in 0..self.slots.len() {
            if self.slots[slot].result.is_none() {
                self.close_slot(slot, ShardResult::Missing(MissingReason::Deadline));
            }
        }
    }

    fn close_slot(&mut self, slot: usize, result: ShardResult) {
        if self.slots[slot].result.is_none() {
            self.slots[slot].result = Some(result);
            self.open_slots -= 1;
        }
    }
}

impl ShardSlot {
    fn new(shard: ShardId) -> Self {
        Self {
            shard,
            attempts: Vec::new(),
            tried: Vec::new(),
            result: None,
            last_error: None,
            hedged: false,
        }
    }
}

/// Returns what the caller is told about a shard whose last attempt failed.
fn missing_reason(error: AttemptError) -> MissingReason {
    match error {
        AttemptError::Shed => MissingReason::Shed,
        AttemptError::TimedOut => MissingReason::Deadline,
        AttemptError::VersionNotHeld | AttemptError::Draining => MissingReason::NoReplica,
        _ => MissingReason::Failed,
    }
}
