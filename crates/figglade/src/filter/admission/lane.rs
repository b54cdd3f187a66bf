//! Concurrency limit and queues of the requests of one index.
//!
//! The limit follows additive increase and multiplicative decrease: each finished request raises
//! it, and a target that sheds a request lowers it.

use std::{collections::VecDeque, time::Duration};

use super::{AdmissionRequest, AdmissionTicket, IndexCapacity, RequestBreadth};
use crate::Timestamp;

/// The upper bound of the limit factor, the number of broad requests that may run per slot of a
/// shard. It is greater than one because the shards of a request finish at different times.
const MAX_LIMIT_FACTOR: f64 = 5.0;
/// The lower bound of the limit factor, however often targets shed requests.
const MIN_LIMIT_FACTOR: f64 = 1.0;
/// The multiplier that a shed request applies to the limit factor.
const LIMIT_DECREASE_FACTOR: f64 = 0.9;
/// The amount that each finished request adds to the limit factor.
const LIMIT_FACTOR_STEP: f64 = 0.005;
/// The time after a decrease of the limit factor during which further shed requests do not lower
/// it.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// The capacity reserved for narrow requests beyond the limit of broad ones, as a fraction of that
/// limit.
const NARROW_RESERVE_FRACTION: f64 = 0.25;
/// The fraction of the time until the deadline that a request may wait during a burst.
const MAX_BURST_WAIT_FRACTION: f64 = 0.3;
/// The fraction of the time until the deadline that a request may wait behind a standing queue.
const MAX_STANDING_WAIT_FRACTION: f64 = 0.1;
/// The time for which a queue may be non-empty and still count as a burst. After it, the queue is a
/// standing queue.
const STANDING_QUEUE_AGE: Duration = Duration::from_millis(500);
/// The weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    pub(super) ticket: AdmissionTicket,
    pub(super) cost: u32,
    pub(super) deadline: Timestamp,
}

/// The running and queued requests of one breadth.
#[derive(Debug, Default)]
struct BreadthState {
    running_cost: u64,
    queued_cost: u64,
    queue: VecDeque<WaitingRequest>,
    /// Since when the queue has been non-empty; `None` while it is empty.
    queued_since: Option<Timestamp>,
    /// The moving average of the time that a request runs.
    service_time: Duration,
}

/// The admission state of one index.
#[derive(Debug)]
pub(super) struct AdmissionLane {
    capacity: IndexCapacity,
    limit_factor: f64,
    decreased_at: Option<Timestamp>,
    served: f64,
    broad: BreadthState,
    narrow: BreadthState,
}

impl BreadthState {
    /// Updates the totals after a request of `cost` was removed from the queue.
    fn record_removal(&mut self, cost: u32) {
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
            limit_factor: MAX_LIMIT_FACTOR,
            decreased_at: None,
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

    /// Returns whether any request runs or waits.
    pub(super) fn is_busy(&self) -> bool {
        let has_work = |state: &BreadthState| state.running_cost > 0 || !state.queue.is_empty();
        has_work(&self.broad) || has_work(&self.narrow)
    }

    /// Returns the cost of all requests started so far, in multiples of the limit of the index.
    pub(super) const fn served(&self) -> f64 {
        self.served
    }

    pub(super) const fn raise_served(&mut self, served: f64) {
        self.served = self.served.max(served);
    }

    pub(super) const fn service_time(&self, breadth: RequestBreadth) -> Duration {
        self.state(breadth).service_time
    }

    /// Returns whether a new request may run at once: none of its breadth waits and the limit
    /// allows it.
    pub(super) fn can_start(&self, request: &AdmissionRequest) -> bool {
        self.state(request.breadth).queue.is_empty()
            && self.has_capacity(request.breadth, request.cost)
    }

    /// Returns whether the first request in the queue may run.
    pub(super) fn can_start_next(&self, breadth: RequestBreadth) -> bool {
        let first = self.state(breadth).queue.front();
        first.is_some_and(|waiting| self.has_capacity(breadth, waiting.cost))
    }

    pub(super) fn start(&mut self, breadth: RequestBreadth, cost: u32) {
        self.served += f64::from(cost) / self.limit();
        self.state_mut(breadth).running_cost += u64::from(cost);
    }

    pub(super) fn finish(&mut self, breadth: RequestBreadth, cost: u32, elapsed: Duration) {
        let state = self.state_mut(breadth);
        state.running_cost = state.running_cost.saturating_sub(u64::from(cost));
        let previous = state.service_time.mul_f64(1.0 - SERVICE_TIME_WEIGHT);
        state.service_time = previous + elapsed.mul_f64(SERVICE_TIME_WEIGHT);
        self.limit_factor = (self.limit_factor + LIMIT_FACTOR_STEP).min(MAX_LIMIT_FACTOR);
    }

    pub(super) fn decrease_limit(&mut self, now: Timestamp) {
        if self.decreased_at.is_some_and(|decreased_at| now < decreased_at + MIN_DECREASE_INTERVAL)
        {
            return;
        }
        self.decreased_at = Some(now);
        self.limit_factor = (self.limit_factor * LIMIT_DECREASE_FACTOR).max(MIN_LIMIT_FACTOR);
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
        state.record_removal(waiting.cost);
        Some(waiting)
    }

    pub(super) fn cancel(&mut self, ticket: AdmissionTicket) -> bool {
        [&mut self.broad, &mut self.narrow].into_iter().any(|state| {
            let position = state.queue.iter().position(|waiting| waiting.ticket == ticket);
            let removed = position.and_then(|position| state.queue.remove(position));
            if let Some(waiting) = removed {
                state.record_removal(waiting.cost);
            }
            removed.is_some()
        })
    }

    /// Returns the fraction of the time until its deadline that a request may be expected to wait.
    /// It is greater in a burst than behind a standing queue, which only adds delay to every
    /// request.
    pub(super) fn max_wait_fraction(&self, breadth: RequestBreadth, now: Timestamp) -> f64 {
        let since = self.state(breadth).queued_since;
        let is_standing = since.is_some_and(|since| now.since(since) > STANDING_QUEUE_AGE);
        if is_standing { MAX_STANDING_WAIT_FRACTION } else { MAX_BURST_WAIT_FRACTION }
    }

    /// Estimates how long a request would wait behind the queued ones.
    pub(super) fn estimate_wait(&self, request: &AdmissionRequest) -> Duration {
        let state = self.state(request.breadth);
        let ahead = (state.queued_cost + u64::from(request.cost)) as f64;
        state.service_time.mul_f64(ahead / self.limit_of(request.breadth))
    }

    fn has_capacity(&self, breadth: RequestBreadth, cost: u32) -> bool {
        let running = self.state(breadth).running_cost;
        // One request may always run, however many shards it queries.
        running == 0 || (running + u64::from(cost)) as f64 <= self.limit_of(breadth)
    }

    /// Returns the total cost of the requests of `breadth` that may run. Narrow requests may use
    /// the capacity that broad ones leave while no broad one waits, and a reserve.
    fn limit_of(&self, breadth: RequestBreadth) -> f64 {
        let limit = self.limit();
        match breadth {
            RequestBreadth::Broad => limit,
            RequestBreadth::Narrow if self.broad.queue.is_empty() => {
                let left = limit - self.broad.running_cost as f64;
                left.max(0.0) + limit * NARROW_RESERVE_FRACTION
            }
            RequestBreadth::Narrow => limit * NARROW_RESERVE_FRACTION,
        }
    }

    /// Returns the total cost of the broad requests that may run, at least the cost of one request.
    fn limit(&self) -> f64 {
        let shards = f64::from(self.capacity.shards.max(1));
        (self.capacity.slots * self.limit_factor).max(1.0) * shards
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
