//! Admission control: bounds running requests by the slots of the targets, queues further ones
//! fairly between indexes, and refuses early those that would miss their deadline.

mod lane;

use std::{collections::BTreeMap, time::Duration};

use self::lane::{AdmissionLane, WaitingRequest};
use crate::{IndexName, Timestamp};

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionTicket(u64);

/// The part of an index that a request queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestBreadth {
    /// Every shard.
    Broad,
    /// The one shard that owns a key.
    Narrow,
}

/// A request for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The index it queries.
    pub index: IndexName,
    /// The part of the index that it queries.
    pub breadth: RequestBreadth,
    /// The number of shards that it queries.
    pub cost: u32,
    /// The deadline of the request.
    pub deadline: Timestamp,
}

/// The capacity of the targets of an index for this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IndexCapacity {
    /// The number of shards of the index.
    pub shards: u32,
    /// This instance's part of the slots of the shard that has the fewest.
    pub slots: f64,
}

/// The decision on a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request runs at once.
    Run,
    /// The request waits in the queue of its index.
    Wait(AdmissionTicket),
    /// The request is refused; it did not run.
    Refuse {
        /// The delay after which the caller may retry.
        retry_after: Duration,
    },
}

/// How the wait of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitOutcome {
    /// The ticket of the request.
    pub ticket: AdmissionTicket,
    /// Whether the request runs; otherwise it is refused because its deadline is too close.
    pub is_admitted: bool,
}

/// The limits of admission across all indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// The maximum number of requests that run concurrently; narrow requests may exceed it by a
    /// reserve.
    pub max_running: u32,
    /// The maximum number of requests that wait.
    pub max_queued: u32,
}

/// Admits as many requests as the targets of their index can run and queues further ones per index.
/// The queue of the index that has been served least goes first.
#[derive(Debug)]
pub struct AdmissionController {
    limits: AdmissionLimits,
    running: u32,
    queued: u32,
    next_ticket: u64,
    lanes: BTreeMap<IndexName, AdmissionLane>,
}

/// The shortest retry delay suggested to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The number of lanes at which those without running or waiting requests are dropped to add one.
const MAX_LANES: usize = 4_096;

impl AdmissionController {
    /// Creates a controller without requests.
    pub fn new(limits: AdmissionLimits) -> Self {
        Self { limits, running: 0, queued: 0, next_ticket: 0, lanes: BTreeMap::new() }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running, self.queued)
    }

    /// Decides on a request whose index has `capacity`.
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
            // An idle index accumulates no credit for capacity that it did not use.
            lane.raise_served(least_served);
        }
        if has_capacity(limits, running, request.breadth) && lane.can_start(request) {
            lane.start(request.breadth, request.cost);
            self.running += 1;
            return AdmissionDecision::Run;
        }
        let wait = lane.estimate_wait(request);
        let left = request.deadline.since(now);
        let max_wait = left.mul_f64(lane.max_wait_fraction(request.breadth, now));
        let misses_deadline = now + wait + lane.service_time(request.breadth) > request.deadline;
        if queued >= limits.max_queued || misses_deadline || wait > max_wait {
            return AdmissionDecision::Refuse { retry_after: wait.max(MIN_RETRY_AFTER) };
        }
        self.next_ticket += 1;
        self.queued += 1;
        let ticket = AdmissionTicket(self.next_ticket);
        let waiting = WaitingRequest { ticket, cost: request.cost, deadline: request.deadline };
        self.lane_of(&request.index).enqueue(request.breadth, waiting, now);
        AdmissionDecision::Wait(ticket)
    }

    /// Finishes a running request that took `elapsed` and returns the waits that end as a result.
    pub fn finish(
        &mut self,
        request: &AdmissionRequest,
        elapsed: Duration,
        now: Timestamp,
    ) -> Vec<WaitOutcome> {
        self.running = self.running.saturating_sub(1);
        self.lane_of(&request.index).finish(request.breadth, request.cost, elapsed);
        self.admit_waiting(now)
    }

    /// Lowers the concurrency limit of `index` after a target shed one of its requests.
    pub fn record_shed(&mut self, index: &IndexName, now: Timestamp) {
        self.lane_of(index).decrease_limit(now);
    }

    /// Removes a waiting request that its caller cancelled; returns false if its wait has already
    /// ended.
    pub fn cancel(&mut self, ticket: AdmissionTicket) -> bool {
        let removed = self.lanes.values_mut().any(|lane| lane.cancel(ticket));
        self.queued -= u32::from(removed);
        removed
    }

    /// Ends the waits of all requests that the limits allow to run, those of the least served index
    /// first. Requests that would miss their deadline are not started.
    fn admit_waiting(&mut self, now: Timestamp) -> Vec<WaitOutcome> {
        let mut outcomes = Vec::new();
        for breadth in [RequestBreadth::Narrow, RequestBreadth::Broad] {
            while has_capacity(self.limits, self.running, breadth) {
                let ready = self.lanes.values_mut().filter(|lane| lane.can_start_next(breadth));
                let Some(lane) = ready.min_by(|a, b| a.served().total_cmp(&b.served())) else {
                    break;
                };
                let Some(waiting) = lane.dequeue(breadth) else { break };
                self.queued -= 1;
                let is_admitted = now + lane.service_time(breadth) <= waiting.deadline;
                if is_admitted {
                    lane.start(breadth, waiting.cost);
                    self.running += 1;
                }
                outcomes.push(WaitOutcome { ticket: waiting.ticket, is_admitted });
            }
        }
        outcomes
    }

    /// Returns the work served for the least served index among those with requests.
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

/// Returns whether the instance may run one more request. Narrow requests have a reserve beyond the
/// limit.
const fn has_capacity(limits: AdmissionLimits, running: u32, breadth: RequestBreadth) -> bool {
    let reserve = match breadth {
        RequestBreadth::Broad => 0,
        RequestBreadth::Narrow => limits.max_running / 4 + 1,
    };
    running < limits.max_running + reserve
}
