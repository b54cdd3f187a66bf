//! The run of one request over its services.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use derive_more::Display;
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{
    budget::{BudgetRules, ExtraBudget},
    choice::{ChoicePurpose, choose_replica, is_any_busy},
    cutoff::{CoverageState, CutoffTimes, CutoffVerdict, decide_cutoff},
    load::{AttemptEnd, ReplicaState},
    profile::RouteProfile,
};
use crate::{ServiceName, Timestamp, controller::route_set::RepeatRule};

/// The attempts beyond the most of the route that may follow refusals: a target that did not run
/// the request does not count towards those it ran at.
const EXTRA_AFTER_REFUSAL: u32 = 2;
/// The connections that may fail for one shard before it is given up; nothing was sent on them.
const MAX_UNSENT: u32 = 8;
/// How long a first attempt that found every connection busy waits for another look.
const BUSY_RECHECK: Duration = Duration::from_millis(5);
/// How long a shard waits whose targets turned every connection away, before they are tried again.
const UNSENT_RECHECK: Duration = Duration::from_millis(25);
/// How long a hedge that found no target or no budget waits for another look.
const HEDGE_RECHECK: Duration = Duration::from_millis(10);

/// The targets and the budget of one service at this instance.
#[derive(Debug)]
pub struct ServiceState {
    /// The service.
    pub name: ServiceName,
    /// Its targets.
    pub replicas: RefCell<Vec<Rc<ReplicaState>>>,
    /// The bound on extra attempts.
    pub budget_rules: Cell<BudgetRules>,
    budget: RefCell<ExtraBudget>,
}

impl ServiceState {
    /// Starts without targets.
    pub fn new(name: ServiceName, rules: BudgetRules) -> Self {
        Self {
            name,
            replicas: RefCell::default(),
            budget_rules: Cell::new(rules),
            budget: RefCell::default(),
        }
    }

    fn count_first(&self, now: Timestamp) {
        self.budget.borrow_mut().count_first(&self.budget_rules.get(), now);
    }

    fn try_spend(&self, now: Timestamp) -> bool {
        self.budget.borrow_mut().try_spend(&self.budget_rules.get(), now)
    }

    /// Returns whether some target may answer now or when a connection is free.
    fn is_reached(&self, now: Timestamp) -> bool {
        let replicas = self.replicas.borrow();
        replicas.iter().any(|replica| replica.is_usable.get() && !replica.is_ejected(now))
    }

    fn choose(
        &self,
        tried: impl Fn(&ReplicaState) -> bool,
        purpose: ChoicePurpose,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<Rc<ReplicaState>> {
        let replicas = self.replicas.borrow();
        choose_replica(&replicas, tried, purpose, now, rng).cloned()
    }
}

/// The rules of one request.
#[derive(Clone, Copy, Debug)]
pub struct ScatterRules {
    /// Whether it may run more than once.
    pub repeat: RepeatRule,
    /// The most targets that it runs at, for each service.
    pub max_attempts: u32,
    /// The fewest services that make an answer.
    pub least_answers: usize,
    /// When it is answered.
    pub times: CutoffTimes,
    /// How long a first attempt may wait for a free connection.
    pub wait_until: Timestamp,
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum AttemptKind {
    /// The first of its service.
    First,
    /// Another one is late.
    Hedge,
    /// Another one failed.
    Retry,
}

/// What the driver does next.
#[derive(Clone, Debug)]
pub enum ScatterAction {
    /// Sends the request to a target.
    Send {
        /// The number of the attempt.
        attempt: usize,
        /// The position of the service.
        slot: usize,
        /// The target.
        replica: Rc<ReplicaState>,
        /// Why it is made.
        kind: AttemptKind,
    },
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
pub enum FailureReason {
    /// No target was sent the request, or all that were did not run it.
    NotRun,
    /// A target failed it.
    Failed,
    /// An answer was lost; it may have run.
    Unknown,
    /// The time ran out while it may have run.
    TimedOut,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScatterEnd {
    /// With the answers of all services but some.
    Answered {
        /// The services without an answer.
        missing: usize,
    },
    /// Without an answer.
    Failed(FailureReason),
}

#[derive(Debug)]
struct ServiceSlot {
    service: Rc<ServiceState>,
    status: SlotStatus,
    /// The attempts that ran or may have run.
    runs: u32,
    refusals: u32,
    unsent: u32,
    open_attempts: u32,
    /// Whether an attempt was made.
    was_sent: bool,
    /// When the next attempt is due: the first one where it waits for a connection, then a hedge;
    /// none where the request may not be repeated.
    hedge_at: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotStatus {
    Open,
    /// Another instance asks the service.
    Outside,
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
    /// Whether the target may be asked again.
    is_retried: bool,
}

/// One request on its way to one target of each of its services.
#[derive(Debug)]
pub struct ScatterRun {
    rules: ScatterRules,
    profile: Rc<RouteProfile>,
    slots: Vec<ServiceSlot>,
    attempts: Vec<SlotAttempt>,
    answered: usize,
    open: usize,
}

impl ScatterRun {
    /// Prepares a request to `services`.
    pub fn new(
        rules: ScatterRules,
        services: impl Iterator<Item = Rc<ServiceState>>,
        profile: Rc<RouteProfile>,
    ) -> Self {
        let slots: Vec<_> = services
            .map(|service| ServiceSlot {
                service,
                status: SlotStatus::Open,
                runs: 0,
                refusals: 0,
                unsent: 0,
                open_attempts: 0,
                was_sent: false,
                hedge_at: None,
            })
            .collect();
        let open = slots.len();
        let attempts = Vec::with_capacity(open);
        Self { rules, profile, slots, attempts, answered: 0, open }
    }

    /// Leaves services to another instance: nothing is sent to them here until it answers or
    /// [`Self::take_back`] says otherwise.
    pub fn leave_outside(&mut self, places: &[usize]) {
        for &place in places {
            self.slots[place].status = SlotStatus::Outside;
        }
    }

    /// Takes the answer of the other instance, which covers all its services but some.
    pub fn handle_outside(&mut self, missing: usize) {
        let outside: Vec<_> = self.outside().collect();
        let answered = outside.len().saturating_sub(missing);
        for (number, slot) in outside.into_iter().enumerate() {
            self.slots[slot].was_sent = true;
            let is_answered = number < answered;
            let missing = SlotStatus::Missing(FailureReason::Unknown);
            self.close_slot(slot, if is_answered { SlotStatus::Answered } else { missing });
        }
    }

    /// Sends the first attempts of the services that the other instance did not take.
    pub fn take_back(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<ScatterAction> {
        let mut actions = Vec::new();
        let outside: Vec<_> = self.outside().collect();
        for slot in outside {
            self.slots[slot].status = SlotStatus::Open;
            self.slots[slot].service.count_first(now);
            self.send_first(slot, now, rng, &mut actions);
        }
        actions
    }

    fn outside(&self) -> impl Iterator<Item = usize> {
        let slots = self.slots.iter().enumerate();
        slots.filter(|(_, slot)| slot.status == SlotStatus::Outside).map(|(place, _)| place)
    }

    /// Returns the attempts made.
    pub const fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the services that were not asked, with whether a target was in reach.
    pub fn unasked(&self, now: Timestamp) -> impl Iterator<Item = (&ServiceName, bool)> {
        let unasked = self.slots.iter().filter(|slot| !slot.was_sent);
        unasked.map(move |slot| (&slot.service.name, slot.service.is_reached(now)))
    }

    /// Sends the first attempt to each service. One without a target is missing at once.
    pub fn start(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<ScatterAction> {
        let mut actions = Vec::with_capacity(self.slots.len());
        let reached = self.slots.iter().filter(|slot| slot.service.is_reached(now)).count();
        if reached < self.rules.least_answers {
            // Nothing is sent of what cannot be served, so that the refusal is true.
            for slot in 0..self.slots.len() {
                self.close_slot(slot, SlotStatus::Missing(FailureReason::NotRun));
            }
            return actions;
        }
        for slot in 0..self.slots.len() {
            if self.slots[slot].status == SlotStatus::Open {
                self.slots[slot].service.count_first(now);
                self.send_first(slot, now, rng, &mut actions);
            }
        }
        actions
    }

    /// Takes the end of an attempt. Returns whether its answer is the one of its service.
    pub fn handle_end(
        &mut self,
        attempt: usize,
        end: AttemptEnd,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<ScatterAction>,
    ) -> bool {
        let held = &mut self.attempts[attempt];
        if !std::mem::take(&mut held.is_open) {
            return false;
        }
        let slot = held.slot;
        self.slots[slot].open_attempts -= 1;
        if self.slots[slot].status != SlotStatus::Open {
            return false;
        }
        if end == AttemptEnd::Answered {
            self.close_slot(slot, SlotStatus::Answered);
            return true;
        }
        self.count_end(slot, attempt, end);
        self.follow_failure(slot, end, now, rng, actions);
        false
    }

    /// Returns when [`Self::handle_timer`] is due.
    pub fn next_timer(&self, now: Timestamp) -> Timestamp {
        let times = self.rules.times;
        let end =
            if now < times.goal && self.slots.len() > 1 { times.goal } else { times.deadline };
        let open = self.slots.iter().filter(|slot| slot.status == SlotStatus::Open);
        let hedge = open.filter_map(|slot| slot.hedge_at).min();
        hedge.map_or(end, |hedge| hedge.min(end))
    }

    /// Sends the hedges that are due.
    pub fn handle_timer(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<ScatterAction> {
        let mut actions = Vec::new();
        for slot in 0..self.slots.len() {
            let held = &self.slots[slot];
            let is_due = held.hedge_at.is_some_and(|due| due <= now);
            if held.status != SlotStatus::Open || !is_due {
                continue;
            }
            if held.was_sent {
                self.send_hedge(slot, now, rng, &mut actions);
            } else {
                self.send_first(slot, now, rng, &mut actions);
            }
        }
        actions
    }

    /// Returns how the request ended, once it has.
    pub fn end(&self, now: Timestamp) -> Option<ScatterEnd> {
        let coverage = CoverageState {
            answered: self.answered,
            open: self.open,
            least: self.rules.least_answers,
        };
        match decide_cutoff(coverage, self.rules.times, now) {
            CutoffVerdict::Wait => None,
            CutoffVerdict::Answer => {
                Some(ScatterEnd::Answered { missing: self.slots.len() - self.answered })
            }
            CutoffVerdict::GiveUp => Some(ScatterEnd::Failed(self.failure_reason())),
        }
    }

    /// Returns why the request failed: the gravest that any service shows.
    fn failure_reason(&self) -> FailureReason {
        let reasons = self.slots.iter().map(|slot| match slot.status {
            SlotStatus::Missing(reason) => reason,
            SlotStatus::Answered | SlotStatus::Outside => FailureReason::TimedOut,
            SlotStatus::Open if slot.runs + slot.open_attempts == 0 => FailureReason::NotRun,
            SlotStatus::Open => FailureReason::TimedOut,
        });
        let gravity = |reason: &FailureReason| match reason {
            FailureReason::NotRun => 0,
            FailureReason::Failed => 1,
            FailureReason::TimedOut => 2,
            FailureReason::Unknown => 3,
        };
        reasons.max_by_key(gravity).unwrap_or(FailureReason::NotRun)
    }

    fn count_end(&mut self, slot: usize, attempt: usize, end: AttemptEnd) {
        let is_repeatable = self.rules.repeat == RepeatRule::Idempotent;
        let held = &mut self.slots[slot];
        match end {
            AttemptEnd::TurnedAway if is_repeatable => {
                held.unsent += 1;
                self.attempts[attempt].is_unsent = true;
            }
            AttemptEnd::NotSent => {
                held.unsent += 1;
                self.attempts[attempt].is_unsent = true;
            }
            AttemptEnd::Refused | AttemptEnd::Misdirected => held.refusals += 1,
            AttemptEnd::TurnedAway
            | AttemptEnd::Answered
            | AttemptEnd::Failed
            | AttemptEnd::Lost
            | AttemptEnd::Cancelled => held.runs += 1,
        }
    }

    /// Tries again after a failure, or waits for another attempt, or closes the service.
    fn follow_failure(
        &mut self,
        slot: usize,
        end: AttemptEnd,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<ScatterAction>,
    ) {
        let may_repeat = end.is_surely_not_run() || self.rules.repeat == RepeatRule::Idempotent;
        let is_free = matches!(end, AttemptEnd::NotSent | AttemptEnd::TurnedAway);
        if may_repeat && self.may_send(slot) && now < self.rules.times.deadline {
            // A connection that was not made brought nothing to the service.
            let kind = if is_free { AttemptKind::First } else { AttemptKind::Retry };
            if self.send(slot, kind, now, rng, actions) {
                return;
            }
        }
        if self.slots[slot].open_attempts > 0 {
            return;
        }
        if is_free && may_repeat && self.may_send(slot) && self.is_needed(slot, now) {
            self.retry_later(slot, now);
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

    /// Returns whether a search fails without the service, and has time left to wait for it: a late
    /// answer is better than none.
    fn is_needed(&self, slot: usize, now: Timestamp) -> bool {
        let is_open = self.slots[slot].status == SlotStatus::Open;
        let others = self.answered + self.open - usize::from(is_open);
        self.slots.len() > 1 && others < self.rules.least_answers && now < self.rules.times.deadline
    }

    /// Tries the targets of a service again that nothing was sent to.
    fn retry_later(&mut self, slot: usize, now: Timestamp) {
        for held in self.attempts.iter_mut().filter(|held| held.slot == slot) {
            held.is_retried = held.is_unsent;
        }
        self.slots[slot].was_sent = false;
        self.slots[slot].hedge_at = Some(now + UNSENT_RECHECK);
    }

    /// Sends the first attempt. Where every connection is busy it waits for one for a while; after
    /// that the caller is better served by a refusal, unless the other shards are on their way.
    fn send_first(
        &mut self,
        slot: usize,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<ScatterAction>,
    ) {
        if self.send(slot, AttemptKind::First, now, rng, actions) {
            return;
        }
        let is_busy = is_any_busy(&self.slots[slot].service.replicas.borrow(), now);
        if is_busy && (now < self.rules.wait_until || self.is_needed(slot, now)) {
            self.slots[slot].hedge_at = Some(now + BUSY_RECHECK);
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
            self.slots[slot].hedge_at = None;
        } else if !self.send(slot, AttemptKind::Hedge, now, rng, actions) {
            self.slots[slot].hedge_at = Some(now + HEDGE_RECHECK);
        }
    }

    /// Returns whether one more attempt keeps the bounds of the route.
    fn may_send(&self, slot: usize) -> bool {
        let held = &self.slots[slot];
        let may_run = held.runs + held.open_attempts < self.rules.max_attempts;
        may_run && held.refusals <= EXTRA_AFTER_REFUSAL && held.unsent <= MAX_UNSENT
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
            attempts.any(|held| {
                held.slot == slot && !held.is_retried && held.replica.spec.id == replica.spec.id
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
            is_retried: false,
        });
        let held = &mut self.slots[slot];
        held.open_attempts += 1;
        held.was_sent = true;
        let is_repeatable = self.rules.repeat == RepeatRule::Idempotent;
        held.hedge_at = is_repeatable.then(|| now + self.profile.hedge_delay());
        actions.push(ScatterAction::Send { attempt, slot, replica, kind });
        true
    }

    fn close_slot(&mut self, slot: usize, status: SlotStatus) {
        self.slots[slot].status = status;
        self.open -= 1;
        self.answered += usize::from(status == SlotStatus::Answered);
    }
}
