//! State machine of one request over its services.

use std::{rc::Rc, time::Duration};

use derive_more::Display;
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{
    choice::{ChoicePurpose, is_any_busy},
    cutoff::{CoverageState, CutoffAction, CutoffTimes, decide_cutoff},
    load::{AttemptEnd, ReplicaState},
    profile::RouteProfile,
    service::ServiceState,
};
use crate::{ServiceName, Timestamp, controller::route_set::RepeatRule};

/// The refusals of one service after which it may still be sent another attempt. They do not count
/// towards the maximum attempts of the route, because a target that refuses does not run the request.
const MAX_REFUSALS: u32 = 2;
/// The same for a service whose loss would fail the search.
const MAX_REFUSALS_OF_REQUIRED: u32 = 8;
/// The failed connections to targets of one service after which it may still be sent another
/// attempt. They do not count towards the maximum either, because nothing was sent on them.
const MAX_UNSENT_ATTEMPTS: u32 = 8;
/// The delay before a first attempt that found every connection busy is tried again.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(5);
/// The delay before the targets of a service are tried again after all of them have refused the
/// connection.
const UNSENT_RETRY_DELAY: Duration = Duration::from_millis(25);
/// The delay before the targets of a service are tried again after they have refused the request.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The delay before an attempt that the budget did not allow is tried again.
const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(25);
/// The delay before a hedge that found no suitable target or no budget is tried again.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The rules of one request.
#[derive(Clone, Copy, Debug)]
pub struct ScatterRules {
    /// Whether the request may run more than once.
    pub repeat: RepeatRule,
    /// The maximum number of targets of each service that may run the request.
    pub max_attempts: u32,
    /// The fewest services that must have answered for the request to be answered.
    pub min_answers: usize,
    /// The latency goal and the deadline.
    pub times: CutoffTimes,
    /// Until when a first attempt may wait for a free connection.
    pub wait_until: Timestamp,
}

/// The reason an attempt is made.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum AttemptKind {
    /// The first attempt of the service.
    First,
    /// An earlier attempt is late.
    Hedge,
    /// An earlier attempt failed.
    Retry,
}

/// An instruction to the driver.
#[derive(Clone, Debug)]
pub enum ScatterAction {
    /// Send the request to a target.
    Send {
        /// The number of the attempt, counted from zero within the request.
        attempt: usize,
        /// The position of the service.
        slot: usize,
        /// The target.
        replica: Rc<ReplicaState>,
        /// The reason for the attempt.
        kind: AttemptKind,
    },
}

/// The reason a request failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
pub enum FailureReason {
    /// The request was sent to no target, or only to targets that did not run it.
    NotRun,
    /// A target ran the request and answered with a failure.
    Failed,
    /// An answer was lost; the request may have run.
    Unknown,
    /// The deadline passed; the request may have run.
    TimedOut,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScatterEnd {
    /// Enough services have answered.
    Answered {
        /// The number of services without an answer.
        missing: usize,
    },
    /// The request failed.
    Failed(FailureReason),
}

#[derive(Debug)]
struct ServiceSlot {
    service: Rc<ServiceState>,
    status: SlotStatus,
    /// The finished attempts that ran or may have run.
    runs: u32,
    refusals: u32,
    unsent: u32,
    open_attempts: u32,
    /// Whether an attempt has been made; reset when the targets are to be tried again.
    was_sent: bool,
    /// When the next attempt is due: one that waits for a connection or for the budget, or a hedge.
    /// `None` where no further attempt is scheduled, as for a request that may not be repeated.
    next_attempt_at: Option<Timestamp>,
    /// Whether an attempt that waits counts against the budget, because an earlier one reached a
    /// target.
    is_next_extra: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotStatus {
    Pending,
    /// Another instance sends the request to the service.
    Delegated,
    Answered,
    Missing(FailureReason),
}

#[derive(Debug)]
struct SlotAttempt {
    slot: usize,
    replica: Rc<ReplicaState>,
    is_open: bool,
    /// Whether nothing was sent.
    is_unsent: bool,
    /// Whether the target refused the request.
    is_refused: bool,
    /// Whether the target may be sent another attempt.
    is_retryable: bool,
}

/// One request that is sent to one target of each of its services.
#[derive(Debug)]
pub struct ScatterRun {
    rules: ScatterRules,
    profile: Rc<RouteProfile>,
    slots: Vec<ServiceSlot>,
    attempts: Vec<SlotAttempt>,
    answered: usize,
    pending: usize,
}

impl ScatterRun {
    /// Creates the state of a request to `services`; nothing is sent before [`Self::start`].
    pub fn new(
        rules: ScatterRules,
        services: impl Iterator<Item = Rc<ServiceState>>,
        profile: Rc<RouteProfile>,
    ) -> Self {
        let slots: Vec<_> = services
            .map(|service| ServiceSlot {
                service,
                status: SlotStatus::Pending,
                runs: 0,
                refusals: 0,
                unsent: 0,
                open_attempts: 0,
                was_sent: false,
                next_attempt_at: None,
                is_next_extra: false,
            })
            .collect();
        let pending = slots.len();
        let attempts = Vec::with_capacity(pending);
        Self { rules, profile, slots, attempts, answered: 0, pending }
    }

    /// Delegates the services at `positions` to another instance. This instance sends nothing to them
    /// unless [`Self::reclaim_delegated`] is called.
    pub fn delegate(&mut self, positions: &[usize]) {
        for &position in positions {
            self.slots[position].status = SlotStatus::Delegated;
        }
    }

    /// Handles the answer of the other instance, which covers all delegated services but `missing`.
    pub fn handle_delegate_answer(&mut self, missing: usize) {
        let delegated: Vec<_> = self.delegated().collect();
        let answered = delegated.len().saturating_sub(missing);
        for (number, slot) in delegated.into_iter().enumerate() {
            self.slots[slot].was_sent = true;
            let is_answered = number < answered;
            let missing = SlotStatus::Missing(FailureReason::Unknown);
            self.close_slot(slot, if is_answered { SlotStatus::Answered } else { missing });
        }
    }

    /// Sends the first attempts to the delegated services, after the other instance declined them.
    pub fn reclaim_delegated(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<ScatterAction> {
        let mut actions = Vec::new();
        let delegated: Vec<_> = self.delegated().collect();
        for slot in delegated {
            self.slots[slot].status = SlotStatus::Pending;
            self.slots[slot].service.count_first(now);
            self.send_first(slot, now, rng, &mut actions);
        }
        actions
    }

    fn delegated(&self) -> impl Iterator<Item = usize> {
        let slots = self.slots.iter().enumerate();
        slots.filter(|(_, slot)| slot.status == SlotStatus::Delegated).map(|(position, _)| position)
    }

    /// Returns the number of attempts made.
    pub const fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the services that were sent no attempt, each with whether a target is reachable.
    pub fn skipped(&self, now: Timestamp) -> impl Iterator<Item = (&ServiceName, bool)> {
        let skipped = self.slots.iter().filter(|slot| !slot.was_sent);
        skipped.map(move |slot| (&slot.service.name, slot.service.is_reachable(now)))
    }

    /// Returns the time until enough services can be sent an attempt for a request like this one to
    /// be answered: zero if they can now, `None` if too few of them have a target.
    pub fn time_to_open(&self, now: Timestamp) -> Option<Duration> {
        let mut times: Vec<_> =
            self.slots.iter().filter_map(|slot| slot.service.opens_at()).collect();
        times.sort_unstable();
        let needed = self.rules.min_answers.max(1);
        times.get(needed - 1).map(|opens_at| opens_at.since(now))
    }

    /// Sends the first attempt to each service. A service without a target is missing at once.
    pub fn start(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<ScatterAction> {
        let mut actions = Vec::with_capacity(self.slots.len());
        let reachable = self.slots.iter().filter(|slot| slot.service.is_reachable(now)).count();
        if reachable < self.rules.min_answers {
            // Too few services are reachable to answer the request. Nothing is sent, so that it is
            // correct to report it as not run.
            for slot in 0..self.slots.len() {
                self.close_slot(slot, SlotStatus::Missing(FailureReason::NotRun));
            }
            return actions;
        }
        for slot in 0..self.slots.len() {
            if self.slots[slot].status == SlotStatus::Pending {
                self.slots[slot].service.count_first(now);
                self.send_first(slot, now, rng, &mut actions);
            }
        }
        actions
    }

    /// Handles the end of an attempt. Returns whether its answer counts as the one of its service.
    pub fn handle_attempt_end(
        &mut self,
        attempt: usize,
        end: AttemptEnd,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<ScatterAction>,
    ) -> bool {
        let state = &mut self.attempts[attempt];
        if !std::mem::take(&mut state.is_open) {
            return false;
        }
        let slot = state.slot;
        self.slots[slot].open_attempts -= 1;
        if self.slots[slot].status != SlotStatus::Pending {
            return false;
        }
        if end == AttemptEnd::Answered {
            self.close_slot(slot, SlotStatus::Answered);
            return true;
        }
        self.count_end(slot, attempt, end);
        self.handle_failure(slot, end, now, rng, actions);
        false
    }

    /// Returns when [`Self::handle_timer`] is due.
    pub fn next_timer(&self, now: Timestamp) -> Timestamp {
        let times = self.rules.times;
        let end =
            if now < times.goal && self.slots.len() > 1 { times.goal } else { times.deadline };
        let pending = self.slots.iter().filter(|slot| slot.status == SlotStatus::Pending);
        let next_attempt = pending.filter_map(|slot| slot.next_attempt_at).min();
        next_attempt.map_or(end, |due| due.min(end))
    }

    /// Sends the first attempts and hedges that are due.
    pub fn handle_timer(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<ScatterAction> {
        let mut actions = Vec::new();
        if now >= self.rules.times.deadline {
            // After a suspension, what was due is not sent any more: its answer would be too late.
            return actions;
        }
        for slot in 0..self.slots.len() {
            let state = &self.slots[slot];
            let is_due = state.next_attempt_at.is_some_and(|due| due <= now);
            if state.status != SlotStatus::Pending || !is_due {
                continue;
            }
            if state.was_sent {
                self.send_hedge(slot, now, rng, &mut actions);
            } else {
                self.send_first(slot, now, rng, &mut actions);
            }
        }
        actions
    }

    /// Returns how the request ended, or `None` while it goes on.
    pub fn end(&self, now: Timestamp) -> Option<ScatterEnd> {
        let coverage = CoverageState {
            answered: self.answered,
            pending: self.pending,
            required: self.rules.min_answers,
        };
        match decide_cutoff(coverage, self.rules.times, now) {
            CutoffAction::Wait => None,
            CutoffAction::Answer => {
                Some(ScatterEnd::Answered { missing: self.slots.len() - self.answered })
            }
            CutoffAction::Abort => Some(ScatterEnd::Failed(self.failure_reason())),
        }
    }

    /// Returns the most severe failure reason of all services. A service that answered or is delegated
    /// counts as timed out, because the request may have run there.
    fn failure_reason(&self) -> FailureReason {
        let reasons = self.slots.iter().map(|slot| match slot.status {
            SlotStatus::Missing(reason) => reason,
            SlotStatus::Answered | SlotStatus::Delegated => FailureReason::TimedOut,
            SlotStatus::Pending if slot.runs + slot.open_attempts == 0 => FailureReason::NotRun,
            SlotStatus::Pending => FailureReason::TimedOut,
        });
        let severity = |reason: &FailureReason| match reason {
            FailureReason::NotRun => 0,
            FailureReason::Failed => 1,
            FailureReason::TimedOut => 2,
            FailureReason::Unknown => 3,
        };
        reasons.max_by_key(severity).unwrap_or(FailureReason::NotRun)
    }

    fn count_end(&mut self, slot: usize, attempt: usize, end: AttemptEnd) {
        let is_repeatable = self.rules.repeat == RepeatRule::Idempotent;
        let state = &mut self.slots[slot];
        match end {
            AttemptEnd::TurnedAway if is_repeatable => {
                state.unsent += 1;
                self.attempts[attempt].is_unsent = true;
            }
            AttemptEnd::NotSent => {
                state.unsent += 1;
                self.attempts[attempt].is_unsent = true;
            }
            AttemptEnd::Refused => {
                state.refusals += 1;
                self.attempts[attempt].is_refused = true;
            }
            AttemptEnd::Misdirected => state.refusals += 1,
            AttemptEnd::TurnedAway
            | AttemptEnd::Answered
            | AttemptEnd::Failed
            | AttemptEnd::Lost
            | AttemptEnd::Cancelled => state.runs += 1,
        }
    }

    /// Handles a failed attempt: sends another one, waits for one that is open, schedules a retry, or
    /// closes the service as missing.
    fn handle_failure(
        &mut self,
        slot: usize,
        end: AttemptEnd,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<ScatterAction>,
    ) {
        let may_repeat = end.is_known_not_run() || self.rules.repeat == RepeatRule::Idempotent;
        let is_unsent = matches!(end, AttemptEnd::NotSent | AttemptEnd::TurnedAway);
        if may_repeat && self.may_send(slot) && now < self.rules.times.deadline {
            // A refused connection put no load on the service, so the next attempt is not an extra one.
            let kind = if is_unsent { AttemptKind::First } else { AttemptKind::Retry };
            if self.send(slot, kind, now, rng, actions) {
                return;
            }
        }
        if self.slots[slot].open_attempts > 0 {
            return;
        }
        let is_refused = end.is_known_not_run();
        if (is_unsent || is_refused)
            && may_repeat
            && self.is_required(slot, now)
            && self.may_send(slot)
        {
            self.schedule_retry(slot, is_unsent, now);
            return;
        }
        let reason = match end {
            AttemptEnd::Failed => FailureReason::Failed,
            AttemptEnd::TurnedAway => FailureReason::Unknown,
            _ if self.slots[slot].runs == 0 => FailureReason::NotRun,
            _ => FailureReason::Unknown,
        };
        self.close_slot(slot, SlotStatus::Missing(reason));
    }

    /// Returns whether the search would fail without the service and still has time to wait for it.
    /// The search then waits, as a late answer is better than none.
    fn is_required(&self, slot: usize, now: Timestamp) -> bool {
        self.would_fail_without(slot) && now < self.rules.times.deadline
    }

    /// Returns whether the search would fail without the service.
    fn would_fail_without(&self, slot: usize) -> bool {
        let is_pending = self.slots[slot].status == SlotStatus::Pending;
        let others = self.answered + self.pending - usize::from(is_pending);
        self.slots.len() > 1 && others < self.rules.min_answers
    }

    /// Schedules another attempt, which may go to the targets that did not run the request.
    fn schedule_retry(&mut self, slot: usize, is_unsent: bool, now: Timestamp) {
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.slot == slot) {
            attempt.is_retryable = attempt.is_unsent || attempt.is_refused;
        }
        let state = &mut self.slots[slot];
        state.was_sent = false;
        state.is_next_extra |= !is_unsent;
        let delay = if is_unsent { UNSENT_RETRY_DELAY } else { REFUSED_RETRY_DELAY };
        state.next_attempt_at = Some(now + delay);
    }

    /// Sends the first attempt, or another one after all earlier ones ended without a run. Where every
    /// connection is busy, the attempt waits for a free one for a limited time. After that a refusal
    /// serves the caller better than a late answer, except in a search that would fail without this
    /// service while its other shards are in progress.
    fn send_first(
        &mut self,
        slot: usize,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<ScatterAction>,
    ) {
        let is_extra = self.slots[slot].is_next_extra;
        let kind = if is_extra { AttemptKind::Retry } else { AttemptKind::First };
        if self.send(slot, kind, now, rng, actions) {
            return;
        }
        if is_extra && self.is_required(slot, now) && self.slots[slot].service.is_reachable(now) {
            self.slots[slot].next_attempt_at = Some(now + BUDGET_RETRY_DELAY);
            return;
        }
        let is_busy = is_any_busy(&self.slots[slot].service.replicas.borrow(), now);
        if is_busy && (now < self.rules.wait_until || self.is_required(slot, now)) {
            self.slots[slot].next_attempt_at = Some(now + BUSY_RETRY_DELAY);
        } else {
            self.close_slot(slot, SlotStatus::Missing(FailureReason::NotRun));
        }
    }

    fn send_hedge(
        &mut self,
        slot: usize,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<ScatterAction>,
    ) {
        if !self.may_send(slot) {
            self.slots[slot].next_attempt_at = None;
        } else if !self.send(slot, AttemptKind::Hedge, now, rng, actions) {
            self.slots[slot].next_attempt_at = Some(now + HEDGE_RETRY_DELAY);
        }
    }

    /// Returns whether the limits on attempts allow one more.
    fn may_send(&self, slot: usize) -> bool {
        let state = &self.slots[slot];
        let may_run = state.runs + state.open_attempts < self.rules.max_attempts;
        let max_refusals =
            if self.would_fail_without(slot) { MAX_REFUSALS_OF_REQUIRED } else { MAX_REFUSALS };
        may_run && state.refusals <= max_refusals && state.unsent <= MAX_UNSENT_ATTEMPTS
    }

    fn send(
        &mut self,
        slot: usize,
        kind: AttemptKind,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<ScatterAction>,
    ) -> bool {
        let purpose = match kind {
            AttemptKind::First => ChoicePurpose::First,
            AttemptKind::Hedge => ChoicePurpose::Hedge,
            AttemptKind::Retry => ChoicePurpose::Retry,
        };
        let service = Rc::clone(&self.slots[slot].service);
        let tried = |replica: &ReplicaState| {
            let mut attempts = self.attempts.iter();
            attempts.any(|attempt| {
                attempt.slot == slot
                    && !attempt.is_retryable
                    && attempt.replica.spec.id == replica.spec.id
            })
        };
        let Some(replica) = service.choose(tried, purpose, now, rng) else { return false };
        if kind != AttemptKind::First && !service.try_spend(now) {
            return false;
        }
        let attempt = self.attempts.len();
        self.attempts.push(SlotAttempt {
            slot,
            replica: Rc::clone(&replica),
            is_open: true,
            is_unsent: false,
            is_refused: false,
            is_retryable: false,
        });
        let state = &mut self.slots[slot];
        state.open_attempts += 1;
        state.was_sent = true;
        let is_repeatable = self.rules.repeat == RepeatRule::Idempotent;
        let left = self.rules.times.goal.since(now);
        state.next_attempt_at = is_repeatable.then(|| now + self.profile.hedge_delay_within(left));
        actions.push(ScatterAction::Send { attempt, slot, replica, kind });
        true
    }

    fn close_slot(&mut self, slot: usize, status: SlotStatus) {
        self.slots[slot].status = status;
        self.pending -= 1;
        self.answered += usize::from(status == SlotStatus::Answered);
    }
}
