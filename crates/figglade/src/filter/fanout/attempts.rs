//! Sending, hedging, retrying, probing and cancelling within one fan-out.

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

/// Where the numbers of probes start within the attempt ids of a request.
const FIRST_PROBE: u128 = 1 << 32;

/// The shortest wait before a hedge is looked at again.
const SHORTEST_WAIT: Duration = Duration::from_micros(500);

/// One sending to one target.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) slot: usize,
    pub(super) route: Arc<TargetRoute>,
    pub(super) kind: AttemptKind,
    pub(super) started: Timestamp,
    pub(super) open: bool,
}

/// One shard of the request.
#[derive(Debug)]
pub(super) struct ShardSlot {
    pub(super) shard: ShardId,
    pub(super) attempts: Vec<usize>,
    pub(super) tried: Vec<TargetId>,
    /// The fullest answer so far while a fuller one is awaited.
    pub(super) kept: Option<ShardResult>,
    pub(super) result: Option<ShardResult>,
    pub(super) last_error: Option<AttemptError>,
    /// When a hedge is due; `None` once one was sent.
    pub(super) hedge_due: Option<Timestamp>,
}

impl ShardSlot {
    pub(super) fn new(shard: ShardId) -> Self {
        Self {
            shard,
            attempts: Vec::new(),
            tried: Vec::new(),
            kept: None,
            result: None,
            last_error: None,
            hedge_due: None,
        }
    }

    /// Keeps a reply when it covers more documents than the one kept before.
    pub(super) fn keep_fuller(&mut self, reply: SearchReply) {
        if self.kept.is_some() && self.kept_documents() >= reply.documents_searched {
            return;
        }
        self.kept = Some(ShardResult::Answered {
            documents_searched: reply.documents_searched,
            hits: reply.hits,
        });
    }

    pub(super) fn kept_documents(&self) -> u64 {
        match &self.kept {
            Some(ShardResult::Answered { documents_searched, .. }) => *documents_searched,
            _ => 0,
        }
    }
}

impl FanoutRun {
    /// Returns the replicas of a shard as the picker needs them.
    fn pick_scope<'a>(&'a self, slot: usize, live: Option<&'a HashSet<TargetId>>) -> PickScope<'a> {
        let slot = &self.slots[slot];
        PickScope {
            replicas: &self.snapshot.replicas[slot.shard.get() as usize],
            tried: &slot.tried,
            snapshot: Some((&self.index, self.snapshot.key)),
            live,
        }
    }

    pub(super) fn has_open(&self, slot: usize) -> bool {
        self.slots[slot].attempts.iter().any(|&number| self.attempts[number].open)
    }

    fn may_send_more(&self, slot: usize) -> bool {
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
        self.may_send_more(slot)
            && now < self.deadline
            && self.tools.retries.try_spend()
            && self.send_attempt(slot, AttemptKind::Retry, now, rng, actions)
    }

    /// Asks another replica after a short answer. The budget of hedges pays, so that a shard that is
    /// short everywhere leaves the retries to those that failed.
    pub(super) fn retry_short(
        &mut self,
        slot: usize,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        self.may_send_more(slot)
            && now < self.deadline
            && self.tools.hedges.try_spend()
            && self.send_attempt(slot, AttemptKind::Retry, now, rng, actions)
    }

    /// Lists the open shards that may be hedged and when; only the last shards qualify.
    pub(super) fn hedge_candidates(&self) -> impl Iterator<Item = (usize, Timestamp)> + '_ {
        let tail = (self.slots.len() as f64 * self.policy.hedge_tail).ceil() as usize;
        let in_tail = self.open_slots <= tail.max(1);
        let slots = if in_tail { self.slots.as_slice() } else { &[] };
        slots.iter().enumerate().filter_map(|(number, slot)| {
            let due = slot.hedge_due.filter(|_| slot.result.is_none())?;
            Some((number, due))
        })
    }

    /// Sends the hedge of a shard, or puts it off while there is no token or no healthy replica.
    pub(super) fn send_hedge(
        &mut self,
        slot: usize,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<FanoutAction>,
    ) {
        self.slots[slot].hedge_due = None;
        if !self.may_send_more(slot) {
            return;
        }
        let live = self.tools.picker.live.get();
        let scope = self.pick_scope(slot, live.as_deref());
        let picked = self.tools.picker.pick_hedge(&scope, now, rng).map(Arc::clone);
        match picked {
            Some(route) if self.tools.hedges.try_spend() => {
                self.begin_attempt(slot, route, AttemptKind::Hedge, now, actions);
                self.slots[slot].hedge_due = None;
            }
            _ => self.slots[slot].hedge_due = Some(self.hedge_time(now)),
        }
    }

    /// Lets the attempt that is left be hedged, because another one failed.
    pub(super) fn expect_hedge(&mut self, slot: usize, now: Timestamp) {
        let due = self.hedge_time(now);
        self.slots[slot].hedge_due.get_or_insert(due);
    }

    /// Returns when an attempt that starts now may be hedged; a slow estimate leaves half of the
    /// time to the hedge.
    fn hedge_time(&self, now: Timestamp) -> Timestamp {
        let delay = self.tools.latency.hedge_delay().max(self.policy.hedge_min_delay);
        let half = self.deadline.since(now) / 2;
        // A due time must lie in the future, or the timer would never rest.
        now + delay.min(half).max(SHORTEST_WAIT)
    }

    pub(super) fn send_attempt(
        &mut self,
        slot: usize,
        kind: AttemptKind,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<FanoutAction>,
    ) -> bool {
        // First attempts follow the reading of the routes at once; later ones may come long after.
        let live = match kind {
            AttemptKind::First => None,
            _ => self.tools.picker.live.get(),
        };
        let scope = self.pick_scope(slot, live.as_deref());
        let picked = self.tools.picker.pick(&scope, now, rng).map(Arc::clone);
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
        let attempt = AttemptId::new(self.first_attempt + number as u128);
        route.load.begin_attempt();
        let due = self.hedge_time(now);
        let state = &mut self.slots[slot];
        state.attempts.push(number);
        state.tried.push(route.target.clone());
        state.hedge_due = Some(due);
        let shard = state.shard;
        let route_sent = Arc::clone(&route);
        self.attempts.push(Attempt { slot, route, kind, started: now, open: true });
        actions.push(FanoutAction::Send { attempt, shard, route: route_sent, kind });
    }

    /// Sends a copy of the search to a replica that may have recovered.
    pub(super) fn send_probe(
        &mut self,
        slot: usize,
        now: Timestamp,
        actions: &mut Vec<FanoutAction>,
    ) {
        let may_spend = || self.tools.probes.try_spend();
        let scope = self.pick_scope(slot, None);
        let claimed = self.tools.picker.claim_probe(&scope, now, may_spend).map(Arc::clone);
        let Some(route) = claimed else { return };
        let number = FIRST_PROBE + u128::from(self.probe_count);
        let attempt = AttemptId::new(self.first_attempt + number);
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
        attempt.open = false;
        let elapsed = now.since(attempt.started);
        let route = &attempt.route;
        let change = self.tools.finish_attempt(route, end, elapsed, now, self.policy.max_ejected);
        if change != TargetChange::None {
            actions.push(FanoutAction::Changed { target: route.target.clone(), change });
        }
    }

    pub(super) fn cancel_losers(
        &mut self,
        slot: usize,
        now: Timestamp,
        actions: &mut Vec<FanoutAction>,
    ) {
        let numbers = self.slots[slot].attempts.clone();
        for number in numbers {
            let attempt = &self.attempts[number];
            if !attempt.open {
                continue;
            }
            let end = match attempt.kind {
                AttemptKind::First => {
                    // Without the losers the hedge delay would only ever shrink.
                    self.tools.latency.observe(now.since(attempt.started));
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
        let attempt = AttemptId::new(self.first_attempt + number as u128);
        let route = Arc::clone(&self.attempts[number].route);
        actions.push(FanoutAction::Cancel { attempt, route });
    }
}
