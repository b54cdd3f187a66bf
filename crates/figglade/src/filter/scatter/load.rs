//! What this instance knows of the load and the health of one target.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

use crate::{Incarnation, TargetId, Timestamp};

/// The samples whose median is the slowness of a target: a pause, which is one sample, does not
/// change it, three slow ones do.
const SLOWNESS_SAMPLES: usize = 5;
/// The shortest time between two samples; answers that come sooner belong to the sample before,
/// which keeps the fastest of them. What waits for the end of a pause is answered together.
const SAMPLE_SPACING: Duration = Duration::from_millis(100);
/// The weight of a new failure: one turns away for half a second, two in a row for seconds.
const FAILURE_WEIGHT: f64 = 0.25;
/// The weight of a success in what is known of failures.
const SUCCESS_WEIGHT: f64 = 0.15;
/// The slowness that a refusal shows: the target is full.
const REFUSAL_SAMPLE: f64 = 3.0;
/// The time in which what was learned loses two thirds of its weight without new samples.
const MEMORY: Duration = Duration::from_millis(4_000);
/// The first time that a target which could not be reached is left out.
const FIRST_EJECTION: Duration = Duration::from_millis(250);
/// The longest time that it is left out; it is then tried by one request.
const LONGEST_EJECTION: Duration = Duration::from_secs(2);
/// How many times its usual latency an attempt may stay unanswered before its connection counts
/// as dead.
const OVERDUE_FACTOR: f64 = 8.0;
/// The shortest age at which an attempt counts as overdue, longer than any pause of a target.
const MIN_OVERDUE: Duration = Duration::from_millis(800);

/// How many times longer than usual a target takes that has just started, until it learned better.
const COLD_FACTOR: f64 = 1.5;
/// The least slowness believed, so that one lucky target does not draw everything.
const MIN_SLOWNESS: f64 = 0.7;
/// What a target that fails every attempt is surcharged, in usual latencies.
const FAILURE_COST: f64 = 6.0;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// With a whole answer that counts.
    Answered,
    /// With the word of the target that it did not run the request.
    Refused,
    /// With the word of another target that took over the address; nothing ran.
    Misdirected,
    /// Before a byte was sent: no connection could be made.
    NotSent,
    /// With a failure of the target; it ran.
    Failed,
    /// With the end of a connection that had just been made: the target accepts no more of them and
    /// most likely read nothing, but it may have run.
    TurnedAway,
    /// Without an answer, or with bytes that are none; it may have run.
    Lost,
    /// By this instance, which no longer needs it.
    Cancelled,
}

impl AttemptEnd {
    /// Returns whether the request surely did not run.
    pub const fn is_surely_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::Misdirected | Self::NotSent)
    }
}

/// Identifies an open attempt at one target.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTicket {
    number: u64,
    /// When it began.
    pub began: Timestamp,
    typical: Duration,
}

#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    ticket: AttemptTicket,
    /// The age from which on the target counts as stalled.
    patience: Duration,
}

/// The fixed properties of a target as seen from this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSpec {
    /// The target.
    pub id: TargetId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is in the availability zone of this instance.
    pub is_local: bool,
    /// The requests it runs at a time.
    pub slots: u32,
}

/// One target, with what its attempts showed.
#[derive(Debug)]
pub struct ReplicaState {
    /// Its properties.
    pub spec: ReplicaSpec,
    /// The connections that this instance may hold to it.
    pub connection_limit: Cell<u32>,
    /// Whether it is among the targets that this instance keeps to.
    pub is_kept: Cell<bool>,
    /// The connections kept ready to it.
    pub ready_connections: Cell<u32>,
    /// Whether new requests may be sent to it.
    pub is_usable: Cell<bool>,
    /// Whether its reports stopped.
    pub is_lapsed: Cell<bool>,
    /// Until when it is slow after its start.
    pub warm_at: Cell<Timestamp>,
    next_number: Cell<u64>,
    open: RefCell<Vec<OpenAttempt>>,
    last_reply: Cell<Timestamp>,
    /// How many times the usual latency the last answers took, the oldest first.
    samples: Cell<[f64; SLOWNESS_SAMPLES]>,
    sampled_at: Cell<Timestamp>,
    failure: Cell<f64>,
    learned_at: Cell<Timestamp>,
    unreached: Cell<u32>,
    ejected_until: Cell<Timestamp>,
    /// Until when it accepts no more connections than it has.
    full_until: Cell<Timestamp>,
    /// The connections that it has then.
    held_connections: Cell<u32>,
}

impl ReplicaState {
    /// Starts without knowledge.
    pub fn new(spec: ReplicaSpec, connection_limit: u32) -> Self {
        Self {
            spec,
            connection_limit: Cell::new(connection_limit),
            is_kept: Cell::new(true),
            ready_connections: Cell::new(0),
            is_usable: Cell::new(true),
            is_lapsed: Cell::new(false),
            warm_at: Cell::default(),
            next_number: Cell::new(0),
            open: RefCell::default(),
            last_reply: Cell::default(),
            samples: Cell::new([1.0; SLOWNESS_SAMPLES]),
            sampled_at: Cell::default(),
            failure: Cell::new(0.0),
            learned_at: Cell::default(),
            unreached: Cell::new(0),
            ejected_until: Cell::default(),
            full_until: Cell::default(),
            held_connections: Cell::new(0),
        }
    }

    /// Begins an attempt that usually takes `typical`; the target counts as stalled when it stays
    /// unanswered for `patience`.
    pub fn begin_attempt(
        &self,
        typical: Duration,
        patience: Duration,
        now: Timestamp,
    ) -> AttemptTicket {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let ticket = AttemptTicket { number, began: now, typical };
        self.open.borrow_mut().push(OpenAttempt { ticket, patience });
        ticket
    }

    /// Ends an attempt; one that ended before changes nothing.
    pub fn end_attempt(&self, ticket: AttemptTicket, end: AttemptEnd, now: Timestamp) {
        let mut open = self.open.borrow_mut();
        let Some(place) = open.iter().position(|held| held.ticket.number == ticket.number) else {
            return;
        };
        open.swap_remove(place);
        drop(open);
        match end {
            AttemptEnd::Answered => {
                self.note_reply(now);
                let ratio = now.since(ticket.began).as_secs_f64()
                    / ticket.typical.as_secs_f64().max(f64::EPSILON);
                self.learn(Some(ratio), 0.0, now);
            }
            AttemptEnd::Failed => {
                self.note_reply(now);
                self.learn(None, 1.0, now);
            }
            AttemptEnd::Refused => {
                self.note_reply(now);
                self.learn(Some(REFUSAL_SAMPLE), 0.0, now);
            }
            AttemptEnd::TurnedAway => self.learn(Some(REFUSAL_SAMPLE), 0.0, now),
            AttemptEnd::Lost => self.learn(None, 1.0, now),
            AttemptEnd::NotSent => self.eject(now),
            AttemptEnd::Misdirected => self.is_usable.set(false),
            AttemptEnd::Cancelled => {}
        }
    }

    /// Leaves the target out for a while, twice as long each time until it answers.
    pub fn eject(&self, now: Timestamp) {
        let times = self.unreached.get();
        self.unreached.set(times + 1);
        let period = FIRST_EJECTION.saturating_mul(1 << times.min(8)).min(LONGEST_EJECTION);
        self.ejected_until.set(now + period);
    }

    /// Notes that the target turned a new connection away: until `until`, attempts use the
    /// `held` connections that there are. Without any, only new ones can show whether it takes some.
    pub fn note_full(&self, held: u32, until: Timestamp) {
        if held > 0 {
            self.held_connections.set(held);
            self.full_until.set(until);
        }
    }

    /// Returns whether another attempt finds a connection.
    pub fn has_room(&self, now: Timestamp) -> bool {
        let limit = self.connection_limit.get();
        let is_full = now < self.full_until.get();
        let limit = if is_full { limit.min(self.held_connections.get()) } else { limit };
        self.in_flight() < limit as usize
    }

    /// Returns whether the target is left out for now.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until.get()
    }

    /// Returns whether an attempt has waited for longer than its patience while nothing at all came
    /// back: the target pauses, and what is sent now waits as well.
    pub fn is_stalled(&self, now: Timestamp) -> bool {
        let last_reply = self.last_reply.get();
        let open = self.open.borrow();
        open.iter().any(|held| {
            held.ticket.began >= last_reply && now.since(held.ticket.began) > held.patience
        })
    }

    /// Returns whether the attempt has waited so long that its connection counts as dead.
    pub fn is_overdue(ticket: &AttemptTicket, now: Timestamp) -> bool {
        let limit = ticket.typical.mul_f64(OVERDUE_FACTOR).max(MIN_OVERDUE);
        now.since(ticket.began) > limit
    }

    /// Returns the open attempts of this instance.
    pub fn in_flight(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns how many times the usual latency an attempt that begins now is expected to take,
    /// with a surcharge for failures.
    pub fn expected_cost(&self, now: Timestamp) -> f64 {
        let fade = self.fade(now);
        let slowness = 1.0 + (self.slowness() - 1.0) * fade;
        let cold = if now < self.warm_at.get() { COLD_FACTOR } else { 1.0 };
        let queue = self.in_flight() as f64 / f64::from(self.spec.slots.max(1));
        slowness.max(MIN_SLOWNESS) * cold * (1.0 + queue) + FAILURE_COST * self.failure.get() * fade
    }

    fn note_reply(&self, now: Timestamp) {
        self.last_reply.set(now);
        self.unreached.set(0);
        self.ejected_until.set(Timestamp::ZERO);
    }

    fn learn(&self, ratio: Option<f64>, failure: f64, now: Timestamp) {
        let fade = self.fade(now);
        let mut samples = self.samples.get().map(|sample| 1.0 + (sample - 1.0) * fade);
        if let Some(ratio) = ratio {
            let last = &mut samples[SLOWNESS_SAMPLES - 1];
            if now.since(self.sampled_at.get()) < SAMPLE_SPACING {
                *last = last.min(ratio);
            } else {
                samples.rotate_left(1);
                samples[SLOWNESS_SAMPLES - 1] = ratio;
                self.sampled_at.set(now);
            }
        }
        self.samples.set(samples);
        let failed = self.failure.get() * fade;
        let weight = if failure > 0.0 { FAILURE_WEIGHT } else { SUCCESS_WEIGHT };
        self.failure.set(failed + weight * (failure - failed));
        self.learned_at.set(now);
    }

    /// Returns the median of the last answers.
    fn slowness(&self) -> f64 {
        let mut samples = self.samples.get();
        samples.sort_unstable_by(f64::total_cmp);
        samples[SLOWNESS_SAMPLES / 2]
    }

    /// Returns the weight that what was learned still has.
    fn fade(&self, now: Timestamp) -> f64 {
        let age = now.since(self.learned_at.get()).as_secs_f64();
        (-age / MEMORY.as_secs_f64()).exp()
    }
}
