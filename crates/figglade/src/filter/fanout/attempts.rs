//! Attempts of one fan-out: first attempts, hedges, retries, probes and cancellation.

use std::{collections::HashSet, sync::Arc, time::Duration};

use rand::Rng;

use super::{AttemptKind, FanoutAction, run::FanoutRun};
use crate::{
    AttemptId, ShardId, TargetId, Timestamp,
    border::AttemptError,
    filter::{
        load::{AttemptEnd, TargetChange},
        merge::ShardResult,
        picker::PickScope,
        routing::TargetRoute,
    },
    wire::SearchReply,
};

/// The number of the first probe within the attempt ids of a request.
const FIRST_PROBE_NUMBER: u128 = 1 << 32;

/// The shortest delay before a hedge is due or considered again.
const MIN_TIMER_DELAY: Duration = Duration::from_micros(500);

/// One attempt at one target.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) slot: usize,
    pub(super) route: Arc<TargetRoute>,
    pub(super) kind: AttemptKind,
    pub(super) started_at: Timestamp,
    pub(super) is_open: bool,
}

/// One shard of the request with its attempts and result.
#[derive(Debug)]
pub(super) struct ShardSlot {
    pub(super) shard: ShardId,
    pub(super) attempts: Vec<usize>,
    pub(super) tried: Vec<TargetId>,
    /// The answer that covers the most documents so far, while a fuller one is awaited.
    pub(super) best_answer: Option<ShardResult>,
    pub(super) result: Option<ShardResult>,
    pub(super) last_error: Option<AttemptError>,
    /// When a hedge is due; `None` while none is scheduled.
    pub(super) hedge_at: Option<Timestamp>,
}

impl ShardSlot {
    pub(super) fn new(shard: ShardId) -> Self {
        Self {
            shard,
            attempts: Vec::new(),
            tried: Vec::new(),
            best_answer: None,
            result: None,
            last_error: None,
            hedge_at: None,
        }
    }

    /// Keeps a reply if it covers more documents than the best one so far.
    pub(super) fn keep_if_fuller(&mut self, reply: SearchReply) {
        if self.best_answer.is_some() && self.best_answer_documents() >= reply.documents_searched {
            return;
        }
        self.best_answer = Some(ShardResult::Answered {
            documents_searched: reply.documents_searched,
            hits: reply.hits,
        });
    }

    pub(super) fn best_answer_documents(&self) -> u64 {
        match &self.best_answer {
            Some(ShardResult::Answered { documents_searched, .. }) => *documents_searched,
            _ => 0,
        }
    }
}

impl FanoutRun {
    /// Returns the replicas of a shard that the picker may choose from.
    fn pick_scope<'a>(&'a self, slot: usize, live: Option<&'a HashSet<TargetId>>) -> PickScope<'a> {
        let slot = &self.slots[slot];
        PickScope {
            replicas: &self.snapshot.replicas[slot.shard.get() as usize],
            tried: &slot.tried,
            snapshot: Some((&self.index, self.snapshot.key)),
            live,
        }
    }

    pub(super) fn has_open_attempt(&self, slot: usize) -> bool {
        self.slots[slot].attempts.iter().any(|&number| self.attempts[number].is_open)
    }

    fn may_attempt_again(&self, slot: usize) -> bool {
        let sent = self.slots[slot].attempts.len();
        let shard = self.slots[slot].shard.get() as usize;
        let replicas = self.snapshot.replicas[shard].len();
        sent < replicas.min(self.policy.max_attempts as usize)
    }

    pub(super) fn retry_slot(
        &mut self,
        slot: usize,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        self.may_attempt_again(slot)
            && now < self.deadline
            && self.context.retries.try_spend()
            && self.send_attempt(slot, AttemptKind::Retry, now, rng, actions)
    }

    /// Sends the search to another replica after a partial answer. The attempt is charged to the
    /// hedge budget, so that a shard whose replicas are all incomplete leaves the retry budget to
    /// failed attempts.
    pub(super) fn retry_partial(
        &mut self,
        slot: usize,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        self.may_attempt_again(slot)
            && now < self.deadline
            && self.context.hedges.try_spend()
            && self.send_attempt(slot, AttemptKind::Retry, now, rng, actions)
    }

    /// Returns the open shards that may be hedged, each with the time when its hedge is due.
    /// Hedging starts only once the number of open shards is down to the hedge tail.
    pub(super) fn hedge_candidates(&self) -> impl Iterator<Item = (usize, Timestamp)> + '_ {
        let tail = (self.slots.len() as f64 * self.policy.hedge_tail).ceil() as usize;
        let in_tail = self.open_slots <= tail.max(1);
        let slots = if in_tail { self.slots.as_slice() } else { &[] };
        slots.iter().enumerate().filter_map(|(number, slot)| {
            let due = slot.hedge_at.filter(|_| slot.result.is_none())?;
            Some((number, due))
        })
    }

    /// Sends the hedge of a shard, or postpones it if there is no token or no healthy replica.
    pub(super) fn send_hedge(
        &mut self,
        slot: usize,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<FanoutAction>,
    ) {
        self.slots[slot].hedge_at = None;
        if !self.may_attempt_again(slot) {
            return;
        }
        let live = self.context.picker.live.get();
        let scope = self.pick_scope(slot, live.as_deref());
        let picked = self.context.picker.pick_hedge(&scope, now, rng).map(Arc::clone);
        match picked {
            Some(route) if self.context.hedges.try_spend() => {
                self.begin_attempt(slot, route, AttemptKind::Hedge, now, actions);
                self.slots[slot].hedge_at = None;
            }
            _ => self.slots[slot].hedge_at = Some(self.hedge_time(now)),
        }
    }

    /// Schedules a hedge of the remaining attempt after another one failed.
    pub(super) fn schedule_hedge(&mut self, slot: usize, now: Timestamp) {
        let due = self.hedge_time(now);
        self.slots[slot].hedge_at.get_or_insert(due);
    }

    /// Returns when an attempt that starts now may be hedged. The delay is at most half of the time
    /// until the deadline, so that a hedge has time to answer even with a high latency estimate.
    fn hedge_time(&self, now: Timestamp) -> Timestamp {
        let delay = self.context.latency.hedge_delay().max(self.policy.hedge_min_delay);
        let half = self.deadline.since(now) / 2;
        // The due time must lie in the future; otherwise the timer would fire again at once.
        now + delay.min(half).max(MIN_TIMER_DELAY)
    }

    pub(super) fn send_attempt(
        &mut self,
        slot: usize,
        kind: AttemptKind,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        // The routes of the request have just been read when a first attempt is sent, and may be
        // outdated when a later one is.
        let live = match kind {
            AttemptKind::First => None,
            _ => self.context.picker.live.get(),
        };
        let scope = self.pick_scope(slot, live.as_deref());
        let picked = self.context.picker.pick(&scope, now, rng).map(Arc::clone);
        let Some(route) = picked else { return false };
        self.begin_attempt(slot, route, kind, now, actions);
        true
    }

    fn begin_attempt(
        &mut self,
        slot: usize,
        route: Arc<TargetRoute>,
        kind: AttemptKind,
        now: Timestamp,
        actions: &mut Vec<FanoutAction>,
    ) {
        let number = self.attempts.len();
        let attempt = AttemptId::new(self.first_attempt_id + number as u128);
        route.load.begin_attempt();
        let due = self.hedge_time(now);
        let state = &mut self.slots[slot];
        state.attempts.push(number);
        state.tried.push(route.target.clone());
        state.hedge_at = Some(due);
        let shard = state.shard;
        let route_sent = Arc::clone(&route);
        self.attempts.push(Attempt { slot, route, kind, started_at: now, is_open: true });
        actions.push(FanoutAction::Send { attempt, shard, route: route_sent, kind });
    }

    /// Sends a copy of the search to a replica that may have recovered.
    pub(super) fn send_probe(
        &mut self,
        slot: usize,
        now: Timestamp,
        actions: &mut Vec<FanoutAction>,
    ) {
        let may_spend = || self.context.probes.try_spend();
        let scope = self.pick_scope(slot, None);
        let probed = self.context.picker.begin_probe(&scope, now, may_spend).map(Arc::clone);
        let Some(route) = probed else { return };
        let number = FIRST_PROBE_NUMBER + u128::from(self.probe_count);
        let attempt = AttemptId::new(self.first_attempt_id + number);
        self.probe_count += 1;
        actions.push(FanoutAction::Probe { attempt, shard: self.slots[slot].shard, route });
    }

    pub(super) fn finish_attempt(
        &mut self,
        number: usize,
        end: AttemptEnd,
        now: Timestamp,
        actions: &mut Vec<FanoutAction>,
    ) {
        let attempt = &mut self.attempts[number];
        attempt.is_open = false;
        let elapsed = now.since(attempt.started_at);
        let route = &attempt.route;
        let change = self.context.finish_attempt(route, end, elapsed, now, self.policy.max_ejected);
        if change != TargetChange::None {
            actions.push(FanoutAction::Changed { target: route.target.clone(), change });
        }
    }

    pub(super) fn cancel_open_attempts(
        &mut self,
        slot: usize,
        now: Timestamp,
        actions: &mut Vec<FanoutAction>,
    ) {
        let numbers = self.slots[slot].attempts.clone();
        for number in numbers {
            let attempt = &self.attempts[number];
            if !attempt.is_open {
                continue;
            }
            let end = match attempt.kind {
                AttemptKind::First => {
                    // The time so far is a sample too: if only faster attempts were observed, the
                    // hedge delay would only decrease.
                    self.context.latency.observe(now.since(attempt.started_at));
                    AttemptEnd::Superseded
                }
                _ => AttemptEnd::Cancelled,
            };
            self.cancel_attempt(number, end, now, actions);
        }
    }

    pub(super) fn cancel_attempt(
        &mut self,
        number: usize,
        end: AttemptEnd,
        now: Timestamp,
        actions: &mut Vec<FanoutAction>,
    ) {
        self.finish_attempt(number, end, now, actions);
        let attempt = AttemptId::new(self.first_attempt_id + number as u128);
        let route = Arc::clone(&self.attempts[number].route);
        actions.push(FanoutAction::Cancel { attempt, route });
    }
}
