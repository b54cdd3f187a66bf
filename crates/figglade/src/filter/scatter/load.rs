//! Load and health of one target as observed by this instance.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

use crate::{Incarnation, TargetId, Timestamp, ZoneName, controller::evacuation::EvacuationSet};

/// The number of samples whose median is the slowness of a target. A single pause, which yields one
/// sample, does not change the median; three slow samples do.
const SLOWNESS_SAMPLES: usize = 5;
/// The shortest time between two samples. Answers that arrive sooner are merged into the previous
/// sample, which keeps the fastest of them, because a target answers all requests that waited for
/// the end of a pause at once.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// The weight of a failure in the failure rate: one failure diverts requests from the target for half
/// a second, two consecutive ones for several seconds.
const FAILURE_WEIGHT: f64 = 0.25;
/// The weight of a success in the failure rate.
const SUCCESS_WEIGHT: f64 = 0.15;
/// The slowness sample recorded for a connection that was turned away, which shows that the target is
/// at capacity.
const TURN_AWAY_SLOWNESS: f64 = 3.0;
/// The weight of the latest answer or refusal in the refusal rate: a target that sheds is recognized
/// within about ten requests.
const REFUSAL_WEIGHT: f64 = 0.2;
/// The time in which the estimates lose two thirds of their weight without new samples.
const DECAY_TIME: Duration = Duration::from_millis(4_000);
/// The first ejection of a target that could not be reached.
const MIN_EJECTION: Duration = Duration::from_millis(250);
/// The longest ejection; after it, the target is tried by one request.
const MAX_EJECTION: Duration = Duration::from_secs(2);
/// The multiple of the typical latency after which the connection of an unanswered attempt counts as
/// dead.
const OVERDUE_FACTOR: f64 = 8.0;
/// The shortest age at which an attempt counts as overdue: longer than any pause of a target.
const MIN_OVERDUE_AGE: Duration = Duration::from_millis(800);
/// How long after an attempt a target counts as in use. Targets close a connection that has been idle
/// for a few seconds.
const IN_USE_PERIOD: Duration = Duration::from_secs(4);
/// The longest back-off that a target can request; longer ones are shortened to it.
pub const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// The slowness that is expected of a cold target until its answers show another.
const WARM_UP_SLOWNESS: f64 = 1.5;
/// How long a target that has just become cold counts as returning. Within this time the answers
/// show how slow it is.
const RETURN_PERIOD: Duration = Duration::from_secs(1);
/// The lower bound of the slowness, so that a target with a few fast answers does not attract all
/// requests.
const MIN_SLOWNESS: f64 = 0.7;
/// The surcharge for a target that fails every attempt, in multiples of the typical latency.
const FAILURE_COST: f64 = 6.0;
/// The surcharge for a target that refuses every attempt, in multiples of the typical latency. It is
/// lower than that for failures, because a refusal arrives at once and leaves time for another
/// attempt.
const REFUSAL_COST: f64 = 4.0;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// The target sent a complete, valid answer.
    Answered,
    /// The target answered that it did not run the request.
    Refused,
    /// Another target that has taken over the address answered; the request did not run.
    Misdirected,
    /// No connection could be made, so no byte was sent.
    NotSent,
    /// The target ran the request and answered with a failure.
    Failed,
    /// The target closed a connection that had just been made. It accepts no more connections and
    /// most likely read nothing, but the request may have run.
    TurnedAway,
    /// The answer did not arrive or was invalid; the request may have run.
    Lost,
    /// This instance cancelled the attempt because it no longer needs the answer.
    Cancelled,
}

impl AttemptEnd {
    /// Returns whether it is certain that the request did not run.
    pub const fn is_known_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::Misdirected | Self::NotSent)
    }
}

/// Identifies an open attempt at one target.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTicket {
    id: u64,
    /// When the attempt started.
    pub started_at: Timestamp,
    typical_latency: Duration,
}

#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    ticket: AttemptTicket,
    /// The age above which the target counts as stalled while the attempt is unanswered.
    stall_timeout: Duration,
}

/// The fixed properties of a target as seen from this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSpec {
    /// The id of the target.
    pub id: TargetId,
    /// The incarnation, which changes with each start of the target.
    pub incarnation: Incarnation,
    /// The address that the target listens on.
    pub address: SocketAddr,
    /// Whether the target is in the availability zone of this instance.
    pub is_local: bool,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
}

/// One target with the state derived from the attempts at it.
#[derive(Debug)]
pub struct ReplicaState {
    /// The fixed properties.
    pub spec: ReplicaSpec,
    /// The connections that this instance may hold to the target.
    pub connection_limit: Cell<u32>,
    /// Whether the target is in the subset that this instance keeps connections to.
    pub is_in_subset: Cell<bool>,
    /// The connections to keep open ahead of requests while the target is in use.
    pub ready_connections: Cell<u32>,
    /// Whether new requests may be sent to the target.
    pub is_usable: Cell<bool>,
    /// Whether the announcements of the target have lapsed.
    pub is_lapsed: Cell<bool>,
    /// Whether the availability zone of the target is evacuated; no attempt is sent to it then.
    pub is_evacuated: Cell<bool>,
    /// The availability zone of the target, once known.
    zone: RefCell<Option<ZoneName>>,
    /// The start and the end of the last warm-up.
    warm_up: Cell<(Timestamp, Timestamp)>,
    next_id: Cell<u64>,
    open: RefCell<Vec<OpenAttempt>>,
    last_attempt: Cell<Option<Timestamp>>,
    last_reply: Cell<Timestamp>,
    /// The latencies of recent answers in multiples of the typical latency, oldest first.
    samples: Cell<[f64; SLOWNESS_SAMPLES]>,
    sampled_at: Cell<Timestamp>,
    failure_rate: Cell<f64>,
    /// The share of the recent attempts that the target refused.
    refusal_rate: Cell<f64>,
    updated_at: Cell<Timestamp>,
    /// The ejections since the last answer.
    ejections: Cell<u32>,
    ejected_until: Cell<Timestamp>,
    /// Until when the target is assumed to accept no further connections.
    at_capacity_until: Cell<Timestamp>,
    /// The connections that may be used during that time.
    connections_at_capacity: Cell<u32>,
    /// Until when the target asked to be sent nothing.
    backoff_until: Cell<Timestamp>,
}

impl ReplicaState {
    /// Creates the state of a target that has not been sent an attempt.
    pub fn new(spec: ReplicaSpec, connection_limit: u32) -> Self {
        Self {
            spec,
            connection_limit: Cell::new(connection_limit),
            is_in_subset: Cell::new(true),
            ready_connections: Cell::new(0),
            is_usable: Cell::new(true),
            is_lapsed: Cell::new(false),
            is_evacuated: Cell::new(false),
            zone: RefCell::default(),
            warm_up: Cell::default(),
            next_id: Cell::new(0),
            open: RefCell::default(),
            last_attempt: Cell::new(None),
            last_reply: Cell::default(),
            samples: Cell::new([1.0; SLOWNESS_SAMPLES]),
            sampled_at: Cell::default(),
            failure_rate: Cell::new(0.0),
            refusal_rate: Cell::new(0.0),
            updated_at: Cell::default(),
            ejections: Cell::new(0),
            ejected_until: Cell::default(),
            at_capacity_until: Cell::default(),
            connections_at_capacity: Cell::new(0),
            backoff_until: Cell::default(),
        }
    }

    /// Sets the availability zone of the target and whether it is evacuated.
    pub fn place_in(&self, zone: &ZoneName, evacuations: &EvacuationSet) {
        *self.zone.borrow_mut() = Some(zone.clone());
        self.update_evacuation(evacuations);
    }

    /// Updates whether the availability zone of the target is evacuated, and returns whether that
    /// changed.
    pub fn update_evacuation(&self, evacuations: &EvacuationSet) -> bool {
        let is_evacuated =
            self.zone.borrow().as_ref().is_some_and(|zone| evacuations.contains(zone));
        self.is_evacuated.replace(is_evacuated) != is_evacuated
    }

    /// Adopts the back-off that the same start of the target requested before its properties changed.
    pub fn inherit_backoff(&self, former: &Self) {
        if self.spec.id == former.spec.id && self.spec.incarnation == former.spec.incarnation {
            self.backoff_until.set(former.backoff_until.get());
        }
    }

    /// Records that the target is cold for `left`. If it was not cold before, the latencies of its
    /// former answers say little of those to come.
    pub fn begin_warm_up(&self, left: Duration, now: Timestamp) {
        if left.is_zero() {
            return;
        }
        let (since, until) = self.warm_up.get();
        if self.is_cold(now) {
            self.warm_up.set((since, until.max(now + left)));
            return;
        }
        let decay = self.decay(now);
        let slowed = |sample: f64| (1.0 + (sample - 1.0) * decay).max(WARM_UP_SLOWNESS);
        self.samples.set(self.samples.get().map(slowed));
        self.failure_rate.update(|rate| rate * decay);
        self.refusal_rate.update(|rate| rate * decay);
        self.updated_at.set(now);
        self.warm_up.set((now, now + left));
    }

    /// Returns whether the target warms up.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.warm_up.get().1
    }

    /// Returns whether the target has become cold so recently that its answers do not show yet how
    /// slow it is.
    pub fn is_returning(&self, now: Timestamp) -> bool {
        self.is_cold(now) && now.since(self.warm_up.get().0) < RETURN_PERIOD
    }

    /// Records that the target asked to be sent nothing for `delay`, at most [`MAX_BACKOFF`]. A
    /// later end that is already known stays. Returns whether a back-off begins.
    pub fn record_backoff(&self, delay: Duration, now: Timestamp) -> bool {
        let is_new = !self.is_backing_off(now);
        let until = now + delay.min(MAX_BACKOFF);
        self.backoff_until.set(self.backoff_until.get().max(until));
        is_new
    }

    /// Returns whether the target asked to be sent nothing at `now`.
    pub fn is_backing_off(&self, now: Timestamp) -> bool {
        now < self.backoff_until.get()
    }

    /// Returns whether an attempt may be sent to the target once a connection is free: it takes new
    /// requests, its zone is not evacuated, it is not ejected and has not asked for a back-off.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.takes_requests() && !self.is_ejected(now) && !self.is_backing_off(now)
    }

    /// Returns whether the target takes new requests and its zone is not evacuated.
    pub const fn takes_requests(&self) -> bool {
        self.is_usable.get() && !self.is_evacuated.get()
    }

    /// Returns the earliest time at which [`Self::is_open`] can hold, or `None` for a target that
    /// takes no new requests, or none until the evacuation of its zone is finished.
    pub fn opens_at(&self) -> Option<Timestamp> {
        self.takes_requests().then(|| self.backoff_until.get().max(self.ejected_until.get()))
    }

    /// Registers an attempt that is expected to take `typical_latency`. The target counts as stalled
    /// once the attempt has been unanswered for longer than `stall_timeout`.
    pub fn begin_attempt(
        &self,
        typical_latency: Duration,
        stall_timeout: Duration,
        now: Timestamp,
    ) -> AttemptTicket {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let ticket = AttemptTicket { id, started_at: now, typical_latency };
        self.open.borrow_mut().push(OpenAttempt { ticket, stall_timeout });
        self.last_attempt.set(Some(now));
        ticket
    }

    /// Records the end of an attempt. Does nothing if the end has been recorded before.
    pub fn finish_attempt(&self, ticket: AttemptTicket, end: AttemptEnd, now: Timestamp) {
        let mut open = self.open.borrow_mut();
        let Some(position) = open.iter().position(|attempt| attempt.ticket.id == ticket.id) else {
            return;
        };
        open.swap_remove(position);
        drop(open);
        match end {
            AttemptEnd::Answered => {
                self.record_reply(now);
                let ratio = now.since(ticket.started_at).as_secs_f64()
                    / ticket.typical_latency.as_secs_f64().max(f64::EPSILON);
                self.update_refusal_rate(0.0, now);
                self.update_estimates(Some(ratio), 0.0, now);
            }
            AttemptEnd::Failed => {
                self.record_reply(now);
                self.update_estimates(None, 1.0, now);
            }
            AttemptEnd::Refused => {
                self.record_reply(now);
                self.update_refusal_rate(1.0, now);
                self.update_estimates(None, 0.0, now);
            }
            AttemptEnd::TurnedAway => self.update_estimates(Some(TURN_AWAY_SLOWNESS), 0.0, now),
            AttemptEnd::Lost => self.update_estimates(None, 1.0, now),
            AttemptEnd::NotSent => self.eject(now),
            AttemptEnd::Misdirected => self.is_usable.set(false),
            AttemptEnd::Cancelled => {}
        }
    }

    /// Ejects the target, for twice as long each time until it answers.
    pub fn eject(&self, now: Timestamp) {
        let ejections = self.ejections.get();
        self.ejections.set(ejections + 1);
        let period = MIN_EJECTION.saturating_mul(1 << ejections.min(8)).min(MAX_EJECTION);
        self.ejected_until.set(now + period);
    }

    /// Records that the target closed a new connection at once: until `until`, attempts use only the
    /// `open` connections. Does nothing where none is open, because then only a new connection can
    /// show whether the target accepts one.
    pub fn record_connection_refusal(&self, open: u32, until: Timestamp) {
        if open > 0 {
            self.connections_at_capacity.set(open);
            self.at_capacity_until.set(until);
        }
    }

    /// Returns how many connections to keep open ahead of requests. To a target in another zone that
    /// is not in use there are none: they would be closed unused and opened again and again.
    pub fn wanted_connections(&self, now: Timestamp) -> u32 {
        let is_recent = |at: Timestamp| now.since(at) < IN_USE_PERIOD;
        if self.spec.is_local || self.last_attempt.get().is_some_and(is_recent) {
            self.ready_connections.get()
        } else {
            0
        }
    }

    /// Returns whether the connection limit allows another attempt.
    pub fn has_connection_capacity(&self, now: Timestamp) -> bool {
        let limit = self.connection_limit.get();
        let is_at_capacity = now < self.at_capacity_until.get();
        let limit =
            if is_at_capacity { limit.min(self.connections_at_capacity.get()) } else { limit };
        self.in_flight() < limit as usize
    }

    /// Returns whether the target is ejected at `now`.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until.get()
    }

    /// Returns whether an attempt has been open for longer than its stall timeout and the target has
    /// answered nothing since it started. The target is then paused, and a new attempt would wait as
    /// well.
    pub fn is_stalled(&self, now: Timestamp) -> bool {
        let last_reply = self.last_reply.get();
        let open = self.open.borrow();
        open.iter().any(|attempt| {
            attempt.ticket.started_at >= last_reply
                && now.since(attempt.ticket.started_at) > attempt.stall_timeout
        })
    }

    /// Returns whether the attempt has been unanswered for so long that its connection counts as dead.
    pub fn is_overdue(ticket: &AttemptTicket, now: Timestamp) -> bool {
        let limit = ticket.typical_latency.mul_f64(OVERDUE_FACTOR).max(MIN_OVERDUE_AGE);
        now.since(ticket.started_at) > limit
    }

    /// Returns the number of open attempts of this instance.
    pub fn in_flight(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns the expected latency of an attempt started at `now`, in multiples of the typical
    /// latency, with surcharges for failures and refusals.
    pub fn expected_cost(&self, now: Timestamp) -> f64 {
        let decay = self.decay(now);
        let expected = self.expected_slowness(now);
        let slowness = expected + (self.slowness() - expected) * decay;
        let queue = self.in_flight() as f64 / f64::from(self.spec.slots.max(1));
        slowness.max(MIN_SLOWNESS) * (1.0 + queue)
            + FAILURE_COST * self.failure_rate.get() * decay
            + REFUSAL_COST * self.refusal_rate.get() * decay
    }

    fn record_reply(&self, now: Timestamp) {
        self.last_reply.set(now);
        self.ejections.set(0);
        self.ejected_until.set(Timestamp::ZERO);
    }

    fn update_refusal_rate(&self, refusal: f64, now: Timestamp) {
        let rate = self.refusal_rate.get() * self.decay(now);
        self.refusal_rate.set(rate + REFUSAL_WEIGHT * (refusal - rate));
    }

    /// Updates the slowness samples with `ratio`, the latency in multiples of the typical latency,
    /// and the failure rate with `failure`.
    fn update_estimates(&self, ratio: Option<f64>, failure: f64, now: Timestamp) {
        let decay = self.decay(now);
        let expected = self.expected_slowness(now);
        let mut samples = self.samples.get().map(|sample| expected + (sample - expected) * decay);
        if let Some(ratio) = ratio {
            let last = &mut samples[SLOWNESS_SAMPLES - 1];
            if now.since(self.sampled_at.get()) < MIN_SAMPLE_INTERVAL {
                *last = last.min(ratio);
            } else {
                samples.rotate_left(1);
                samples[SLOWNESS_SAMPLES - 1] = ratio;
                self.sampled_at.set(now);
            }
        }
        self.samples.set(samples);
        let failure_rate = self.failure_rate.get() * decay;
        let weight = if failure > 0.0 { FAILURE_WEIGHT } else { SUCCESS_WEIGHT };
        self.failure_rate.set(failure_rate + weight * (failure - failure_rate));
        self.updated_at.set(now);
    }

    /// Returns the slowness that is expected without samples.
    fn expected_slowness(&self, now: Timestamp) -> f64 {
        if self.is_cold(now) { WARM_UP_SLOWNESS } else { 1.0 }
    }

    /// Returns the median of the samples.
    fn slowness(&self) -> f64 {
        let mut samples = self.samples.get();
        samples.sort_unstable_by(f64::total_cmp);
        samples[SLOWNESS_SAMPLES / 2]
    }

    /// Returns the remaining weight of the estimates, which decays with the time since the last sample.
    fn decay(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated_at.get()).as_secs_f64();
        (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
