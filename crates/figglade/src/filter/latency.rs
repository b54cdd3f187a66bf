//! Tracking of a high quantile of shard latency, from which the hedge delay follows.

use std::{sync::Mutex, time::Duration};

use crate::filter::budget::lock;

/// The quantile after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.995;
/// The relative step of the tracker.
const STEP: f64 = 0.02;
/// The estimate before the first answers, in milliseconds.
const INITIAL_DELAY_MS: f64 = 20.0;
/// The smallest estimate, in milliseconds.
const MIN_DELAY_MS: f64 = 0.2;

/// Follows a quantile by small steps: up after a slower sample, down after a faster one.
#[derive(Debug)]
pub struct LatencyTracker {
    delay_ms: Mutex<f64>,
}

impl Default for LatencyTracker {
    fn default() -> Self {
        Self { delay_ms: Mutex::new(INITIAL_DELAY_MS) }
    }
}

impl LatencyTracker {
    /// Takes the latency of one answered attempt.
    pub fn observe(&self, elapsed: Duration) {
        let sample = elapsed.as_secs_f64() * 1_000.0;
        let mut delay = lock(&self.delay_ms);
        if sample > *delay {
            *delay *= 1.0 + STEP * HEDGE_QUANTILE;
        } else {
            *delay *= 1.0 - STEP * (1.0 - HEDGE_QUANTILE);
        }
        *delay = delay.max(MIN_DELAY_MS);
    }

    /// Returns the wait after which a hedge is worth sending.
    pub fn hedge_delay(&self) -> Duration {
        Duration::from_secs_f64(*lock(&self.delay_ms) / 1_000.0)
    }
}
