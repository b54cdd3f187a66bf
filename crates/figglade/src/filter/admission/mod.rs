//! Admission of requests: bounded by the slots of the targets, fair between indexes, refused early.

mod lane;

use std::{collections::BTreeMap, time::Duration};

use self::lane::{AdmissionLane, WaitingRequest};
use crate::{IndexName, Timestamp};

/// Identifies a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionTicket(u64);

/// How much of an index a request asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestBreadth {
    /// Every shard.
    Broad,
    /// The one shard that owns a key.
    Narrow,
}

/// A request that wants to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The index it asks.
    pub index: IndexName,
    /// How much of the index it asks.
    pub breadth: RequestBreadth,
    /// The shards it asks.
    pub cost: u32,
    /// When it must have ended.
    pub deadline: Timestamp,
}

/// What the targets of an index can run for this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IndexCapacity {
    /// The shards of the index.
    pub shards: u32,
    /// The slots of the shard that has the fewest, as far as they are this instance's.
    pub slots: f64,
}

/// The answer to a request that wants to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request runs at once.
    Run,
    /// The request waits for its turn.
    Wait(AdmissionTicket),
    /// The request is refused; it did not run.
    Refuse {
        /// When trying again makes sense.
        retry_after: Duration,
    },
}

/// The end of the wait of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitOutcome {
    /// The request that waited.
    pub ticket: AdmissionTicket,
    /// Whether it runs; otherwise its deadline is too close and it is refused.
    pub is_admitted: bool,
}

/// The bounds of admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// The most requests that run at a time.
    pub max_running: u32,
    /// The most requests that wait.
    pub max_queued: u32,
}

/// Admits requests: as many as the targets of their index can run, then queues for each index,
/// from which the index that was served least goes first.
#[derive(Debug)]
pub struct AdmissionController {
    limits: AdmissionLimits,
    running: u32,
    queued: u32,
    next_ticket: u64,
    lanes: BTreeMap<IndexName, AdmissionLane>,
}

/// The shortest suggested wait of a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The most lanes; those without work are dropped beyond.
const MAX_LANES: usize = 4_096;

impl AdmissionController {
    /// Starts with nothing running.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self { limits, running: 0, queued: 0, next_ticket: 0, lanes: BTreeMap::new() }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Returns how many requests run and wait.
    pub fn load(&self) -> (u32, u32) {
        (self.running, self.queued)
    }

    /// Decides about a request whose index has `capacity`.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest,
        capacity: IndexCapacity,
        now: Timestamp,
    ) -> AdmissionDecision {
        let (limits, running, queued) = (self.limits, self.running, self.queued);
        let least_served = self.least_served();
        let lane = self.lane_of(&request.index);
        lane.set_capacity(capacity);
        if !lane.is_busy() {
            // An index that was idle has no claim on turns it did not need.
            lane.raise_served(least_served);
        }
        if has_room(limits, running, request.breadth) && lane.has_turn(request) {
            lane.start(request.breadth, request.cost);
            self.running += 1;
            return AdmissionDecision::Run;
        }
        let wait = lane.estimate_wait(request);
        let left = request.deadline.since(now);
        let longest = left.mul_f64(lane.wait_share(request.breadth, now));
        let hopeless = now + wait + lane.service_time(request.breadth) > request.deadline;
        if queued >= limits.max_queued || hopeless || wait > longest {
            return AdmissionDecision::Refuse { retry_after: wait.max(MIN_RETRY_AFTER) };
        }
        self.next_ticket += 1;
        self.queued += 1;
        let ticket = AdmissionTicket(self.next_ticket);
        let waiting = WaitingRequest { ticket, cost: request.cost, deadline: request.deadline };
        self.lane_of(&request.index).enqueue(request.breadth, waiting, now);
        AdmissionDecision::Wait(ticket)
    }

    /// Ends a running request that took `elapsed` and returns the waits that end with it.
    pub fn finish(
        &mut self,
        request: &AdmissionRequest,
        elapsed: Duration,
        now: Timestamp,
    ) -> Vec<WaitOutcome> {
        self.running = self.running.saturating_sub(1);
        self.lane_of(&request.index).finish(request.breadth, request.cost, elapsed);
        self.take_turns(now)
    }

    /// Lets fewer requests of `index` run, because a target shed one.
    pub fn record_shed(&mut self, index: &IndexName, now: Timestamp) {
        self.lane_of(index).shrink(now);
    }

    /// Removes a waiting request that gave up; returns false when its wait ended before.
    pub fn cancel(&mut self, ticket: AdmissionTicket) -> bool {
        let removed = self.lanes.values_mut().any(|lane| lane.cancel(ticket));
        self.queued -= u32::from(removed);
        removed
    }

    /// Starts every waiting request that has room, the least served index first.
    fn take_turns(&mut self, now: Timestamp) -> Vec<WaitOutcome> {
        let mut turns = Vec::new();
        for breadth in [RequestBreadth::Narrow, RequestBreadth::Broad] {
            while has_room(self.limits, self.running, breadth) {
                let ready = self.lanes.values_mut().filter(|lane| lane.is_ready(breadth));
                let Some(lane) = ready.min_by(|a, b| a.served().total_cmp(&b.served())) else {
                    break;
                };
                let Some(waiting) = lane.dequeue(breadth) else { break };
                self.queued -= 1;
                let runs = now + lane.service_time(breadth) <= waiting.deadline;
                if runs {
                    lane.start(breadth, waiting.cost);
                    self.running += 1;
                }
                turns.push(WaitOutcome { ticket: waiting.ticket, is_admitted: runs });
            }
        }
        turns
    }

    /// Returns the least service of an index that has work.
    fn least_served(&self) -> f64 {
        let busy = self.lanes.values().filter(|lane| lane.is_busy());
        busy.map(AdmissionLane::served).min_by(f64::total_cmp).unwrap_or(0.0)
    }

    fn lane_of(&mut self, index: &IndexName) -> &mut AdmissionLane {
        if self.lanes.len() >= MAX_LANES && !self.lanes.contains_key(index) {
            self.lanes.retain(|_, lane| lane.is_busy());
        }
        self.lanes.entry(index.clone()).or_default()
    }
}

/// Returns whether the instance may run one more request; narrow ones have a reserve.
const fn has_room(limits: AdmissionLimits, running: u32, breadth: RequestBreadth) -> bool {
    let reserve = match breadth {
        RequestBreadth::Broad => 0,
        RequestBreadth::Narrow => limits.max_running / 4 + 1,
    };
    running < limits.max_running + reserve
}
