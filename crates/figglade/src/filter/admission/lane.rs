//! The requests of one index: what runs, what waits, and how much may run.

use std::{collections::VecDeque, time::Duration};

use super::{AdmissionRequest, AdmissionTicket, IndexCapacity, RequestBreadth};
use crate::Timestamp;

/// The broad requests that run for each slot of a shard; more than one, because the shards of a
/// request end at different times.
const MAX_FACTOR: f64 = 5.0;
/// The requests that run for each slot however often targets shed.
const MIN_FACTOR: f64 = 1.0;
/// What a shed request leaves of the factor.
const SHED_FACTOR: f64 = 0.9;
/// What each ended request adds to the factor.
const FACTOR_STEP: f64 = 0.005;
/// The time in which targets that shed count once.
const SHED_PERIOD: Duration = Duration::from_millis(100);
/// The share of the running cost kept for narrow requests, beyond that of broad ones.
const NARROW_RESERVE: f64 = 0.25;
/// The share of the time left that a request may wait in a burst.
const BURST_SHARE: f64 = 0.3;
/// The share of the time left that a request may wait behind a standing queue.
const STANDING_SHARE: f64 = 0.1;
/// How long a queue that never empties is a burst.
const STANDING_AFTER: Duration = Duration::from_millis(500);
/// The weight of a new sample of the service time.
const SERVICE_WEIGHT: f64 = 0.1;

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    pub(super) ticket: AdmissionTicket,
    pub(super) cost: u32,
    pub(super) deadline: Timestamp,
}

/// The requests of one breadth.
#[derive(Debug, Default)]
struct BreadthState {
    running_cost: u64,
    queued_cost: u64,
    queue: VecDeque<WaitingRequest>,
    /// Since when the queue was never empty.
    queued_since: Option<Timestamp>,
    /// The mean time a request runs.
    service_time: Duration,
}

/// The requests of one index.
#[derive(Debug)]
pub(super) struct AdmissionLane {
    capacity: IndexCapacity,
    factor: f64,
    shed_at: Option<Timestamp>,
    served: f64,
    broad: BreadthState,
    narrow: BreadthState,
}

impl BreadthState {
    /// Accounts for a request that left the queue.
    fn settle_queue(&mut self, cost: u32) {
        self.queued_cost -= u64::from(cost);
        if self.queue.is_empty() {
            self.queued_since = None;
        }
    }
}

impl Default for AdmissionLane {
    fn default() -> Self {
        Self {
            capacity: IndexCapacity { shards: 1, slots: 1.0 },
            factor: MAX_FACTOR,
            shed_at: None,
            served: 0.0,
            broad: BreadthState::default(),
            narrow: BreadthState::default(),
        }
    }
}

impl AdmissionLane {
    pub(super) const fn set_capacity(&mut self, capacity: IndexCapacity) {
        self.capacity = capacity;
    }

    /// Returns whether anything runs or waits.
    pub(super) fn is_busy(&self) -> bool {
        let has_work = |state: &BreadthState| state.running_cost > 0 || !state.queue.is_empty();
        has_work(&self.broad) || has_work(&self.narrow)
    }

    /// Returns the work started so far, in shares of what the index can run at a time.
    pub(super) const fn served(&self) -> f64 {
        self.served
    }

    pub(super) const fn raise_served(&mut self, served: f64) {
        self.served = self.served.max(served);
    }

    pub(super) const fn service_time(&self, breadth: RequestBreadth) -> Duration {
        self.state(breadth).service_time
    }

    /// Returns whether a request that just came may run ahead of none that waits.
    pub(super) fn has_turn(&self, request: &AdmissionRequest) -> bool {
        self.state(request.breadth).queue.is_empty() && self.has_room(request.breadth, request.cost)
    }

    /// Returns whether the first waiting request may run.
    pub(super) fn is_ready(&self, breadth: RequestBreadth) -> bool {
        let first = self.state(breadth).queue.front();
        first.is_some_and(|waiting| self.has_room(breadth, waiting.cost))
    }

    pub(super) fn start(&mut self, breadth: RequestBreadth, cost: u32) {
        self.served += f64::from(cost) / self.limit();
        self.state_mut(breadth).running_cost += u64::from(cost);
    }

    pub(super) fn finish(&mut self, breadth: RequestBreadth, cost: u32, elapsed: Duration) {
        let state = self.state_mut(breadth);
        state.running_cost = state.running_cost.saturating_sub(u64::from(cost));
        let known = state.service_time.mul_f64(1.0 - SERVICE_WEIGHT);
        state.service_time = known + elapsed.mul_f64(SERVICE_WEIGHT);
        self.factor = (self.factor + FACTOR_STEP).min(MAX_FACTOR);
    }

    pub(super) fn shrink(&mut self, now: Timestamp) {
        if self.shed_at.is_some_and(|shed_at| now < shed_at + SHED_PERIOD) {
            return;
        }
        self.shed_at = Some(now);
        self.factor = (self.factor * SHED_FACTOR).max(MIN_FACTOR);
    }

    pub(super) fn enqueue(
        &mut self,
        breadth: RequestBreadth,
        waiting: WaitingRequest,
        now: Timestamp,
    ) {
        let state = self.state_mut(breadth);
        state.queued_since.get_or_insert(now);
        state.queued_cost += u64::from(waiting.cost);
        state.queue.push_back(waiting);
    }

    pub(super) fn dequeue(&mut self, breadth: RequestBreadth) -> Option<WaitingRequest> {
        let state = self.state_mut(breadth);
        let waiting = state.queue.pop_front()?;
        state.settle_queue(waiting.cost);
        Some(waiting)
    }

    pub(super) fn cancel(&mut self, ticket: AdmissionTicket) -> bool {
        [&mut self.broad, &mut self.narrow].into_iter().any(|state| {
            let position = state.queue.iter().position(|waiting| waiting.ticket == ticket);
            let removed = position.and_then(|position| state.queue.remove(position));
            if let Some(waiting) = removed {
                state.settle_queue(waiting.cost);
            }
            removed.is_some()
        })
    }

    /// Returns the share of the time left that a request may be expected to wait: more in a burst
    /// than behind a queue that does not empty, which only delays everything behind it.
    pub(super) fn wait_share(&self, breadth: RequestBreadth, now: Timestamp) -> f64 {
        let since = self.state(breadth).queued_since;
        let standing = since.is_some_and(|since| now.since(since) > STANDING_AFTER);
        if standing { STANDING_SHARE } else { BURST_SHARE }
    }

    /// Estimates how long a request would wait behind those that wait now.
    pub(super) fn estimate_wait(&self, request: &AdmissionRequest) -> Duration {
        let state = self.state(request.breadth);
        let ahead = (state.queued_cost + u64::from(request.cost)) as f64;
        state.service_time.mul_f64(ahead / self.limit_of(request.breadth))
    }

    fn has_room(&self, breadth: RequestBreadth, cost: u32) -> bool {
        let running = self.state(breadth).running_cost;
        // One request may always run, however many shards it asks.
        running == 0 || (running + u64::from(cost)) as f64 <= self.limit_of(breadth)
    }

    /// Returns the cost that may run; narrow requests take what broad ones leave, and a reserve.
    fn limit_of(&self, breadth: RequestBreadth) -> f64 {
        let limit = self.limit();
        match breadth {
            RequestBreadth::Broad => limit,
            RequestBreadth::Narrow if self.broad.queue.is_empty() => {
                let left = limit - self.broad.running_cost as f64;
                left.max(0.0) + limit * NARROW_RESERVE
            }
            RequestBreadth::Narrow => limit * NARROW_RESERVE,
        }
    }

    /// Returns the cost of broad requests that may run, at least that of one.
    fn limit(&self) -> f64 {
        let shards = f64::from(self.capacity.shards.max(1));
        (self.capacity.slots * self.factor).max(1.0) * shards
    }

    const fn state(&self, breadth: RequestBreadth) -> &BreadthState {
        match breadth {
            RequestBreadth::Broad => &self.broad,
            RequestBreadth::Narrow => &self.narrow,
        }
    }

    const fn state_mut(&mut self, breadth: RequestBreadth) -> &mut BreadthState {
        match breadth {
            RequestBreadth::Broad => &mut self.broad,
            RequestBreadth::Narrow => &mut self.narrow,
        }
    }
}
