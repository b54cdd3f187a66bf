//! Online estimate of a high quantile of the shard latency, which is the hedge delay.

use std::{sync::Mutex, time::Duration};

use crate::filter::budget::lock;

/// The latency quantile after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.995;
/// The lower bound of the relative step.
const MIN_STEP: f64 = 0.02;
/// The relative step of the first sample.
const INITIAL_STEP: f64 = 0.2;
/// The number of samples after which the step is half of the initial one.
const STEP_HALVING_SAMPLES: f64 = 50.0;
/// The estimate before the first sample, in milliseconds.
const INITIAL_DELAY_MS: f64 = 20.0;
/// The lower bound of the estimate, in milliseconds.
const MIN_DELAY_MS: f64 = 0.2;

/// Estimates a quantile by small relative steps: up after a slower sample, down after a faster one.
/// The steps start large, so that the estimate soon moves away from its initial value.
#[derive(Debug)]
pub struct LatencyTracker {
    quantile: f64,
    state: Mutex<TrackerState>,
}

#[derive(Debug)]
struct TrackerState {
    delay_ms: f64,
    samples: f64,
}

impl Default for LatencyTracker {
    fn default() -> Self {
        Self::with_quantile(HEDGE_QUANTILE, Duration::from_secs_f64(INITIAL_DELAY_MS / 1_000.0))
    }
}

impl LatencyTracker {
    /// Creates a tracker of `quantile`, from 0 to 1, with the estimate `initial`.
    pub const fn with_quantile(quantile: f64, initial: Duration) -> Self {
        let state = TrackerState { delay_ms: initial.as_secs_f64() * 1_000.0, samples: 0.0 };
        Self { quantile, state: Mutex::new(state) }
    }

    /// Updates the estimate with the latency of one attempt.
    pub fn observe(&self, elapsed: Duration) {
        let sample = elapsed.as_secs_f64() * 1_000.0;
        let mut state = lock(&self.state);
        let step = (INITIAL_STEP / (1.0 + state.samples / STEP_HALVING_SAMPLES)).max(MIN_STEP);
        state.samples += 1.0;
        if sample > state.delay_ms {
            state.delay_ms *= 1.0 + step * self.quantile;
        } else {
            state.delay_ms *= 1.0 - step * (1.0 - self.quantile);
        }
        state.delay_ms = state.delay_ms.max(MIN_DELAY_MS);
    }

    /// Returns the age of an attempt after which a hedge is sent.
    pub fn hedge_delay(&self) -> Duration {
        self.estimate()
    }

    /// Returns the estimate of the quantile.
    pub fn estimate(&self) -> Duration {
        Duration::from_secs_f64(lock(&self.state).delay_ms / 1_000.0)
    }
}
