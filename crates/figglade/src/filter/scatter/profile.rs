//! Latency estimates for the attempts of one route.

use std::{cell::Cell, time::Duration};

use crate::filter::latency::LatencyTracker;

/// The latency quantile after which an attempt is hedged. The budget of extra attempts bounds the
/// cost of hedges.
const HEDGE_QUANTILE: f64 = 0.93;
/// The initial estimate of the median latency, as a fraction of the latency goal.
const INITIAL_ESTIMATE_FRACTION: f64 = 0.25;
/// The smallest ratio of the hedge delay to the median. With a narrow distribution, it keeps attempts
/// that are only slightly late from being hedged.
const MIN_HEDGE_FACTOR: f64 = 1.4;
/// The time that a hedge needs to be answered, as a multiple of the median. With less time left to
/// the latency goal, its answer would most likely come too late.
const HEDGE_ANSWER_FACTOR: f64 = 1.5;
/// The largest ratio of the hedge delay to the median. Where many targets are slow, they determine
/// the high quantile, and a hedge sent after that delay would be too late.
const MAX_HEDGE_FACTOR: f64 = 2.2;

/// The ratio of the latency that hardly any attempt exceeds to the high quantile.
const UPPER_FACTOR: f64 = 3.0;

/// Tracks the latency of the attempts of one route and the time budgets of its callers.
#[derive(Debug)]
pub struct RouteProfile {
    median: LatencyTracker,
    high_quantile: LatencyTracker,
    longest_budget: Cell<Duration>,
}

impl RouteProfile {
    /// Creates a profile with initial estimates derived from the latency goal of the route.
    pub fn new(latency_goal: Duration) -> Self {
        let estimate = latency_goal.mul_f64(INITIAL_ESTIMATE_FRACTION);
        Self {
            median: LatencyTracker::with_quantile(0.5, estimate),
            high_quantile: LatencyTracker::with_quantile(HEDGE_QUANTILE, estimate.mul_f64(1.5)),
            longest_budget: Cell::default(),
        }
    }

    /// Records the latency of an answered attempt.
    pub fn observe(&self, elapsed: Duration) {
        self.median.observe(elapsed);
        self.high_quantile.observe(elapsed);
    }

    /// Returns the estimated median latency of an attempt.
    pub fn typical_latency(&self) -> Duration {
        self.median.estimate()
    }

    /// Returns the age at which an attempt is hedged.
    pub fn hedge_delay(&self) -> Duration {
        let typical = self.typical_latency();
        let (min, max) = (typical.mul_f64(MIN_HEDGE_FACTOR), typical.mul_f64(MAX_HEDGE_FACTOR));
        self.high_quantile.estimate().clamp(min, max)
    }

    /// Returns a latency that hardly any attempt exceeds.
    pub fn upper_latency(&self) -> Duration {
        self.high_quantile.estimate().max(self.typical_latency()).mul_f64(UPPER_FACTOR)
    }

    /// Returns the age at which an attempt is hedged that has `left` to the latency goal: earlier than
    /// [`Self::hedge_delay`] if only then the answer of the hedge can meet the goal.
    pub fn hedge_delay_within(&self, left: Duration) -> Duration {
        let delay = self.hedge_delay();
        let typical = self.typical_latency();
        let earliest = typical.mul_f64(MIN_HEDGE_FACTOR);
        if left < earliest + typical {
            // No hedge can meet the goal any more, so that an early one would gain nothing.
            return delay;
        }
        let latest = left.saturating_sub(typical.mul_f64(HEDGE_ANSWER_FACTOR));
        delay.min(latest.max(earliest))
    }

    /// Returns an estimate of the time that a caller had already spent when it sent a request with
    /// `budget` left: the difference from the longest budget seen on the route. A caller that tries
    /// again has less time left than at its first try.
    pub fn time_spent_before(&self, budget: Duration) -> Duration {
        let longest = self.longest_budget.get().max(budget);
        self.longest_budget.set(longest);
        longest - budget
    }
}
