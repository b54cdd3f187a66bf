//! Estimates how long after its cut-off a partial answer is sent or received.

use std::time::Duration;

use crate::{CoreShare, Timestamp, filter::latency::LatencyTracker};

/// The quantile of the delays that the margin covers.
const MARGIN_QUANTILE: f64 = 0.8;
/// The time that a whole core takes from the cut-off of a search to its answer. It determines the
/// estimate before the first sample.
const ANSWER_WORK: Duration = Duration::from_micros(500);
/// The processor time of a whole core, in the unit of [`CoreShare`].
const MILLIS_PER_CORE: u32 = 1_000;
/// Longer delays are ignored: the search waited for a required shard beyond its cut-off.
const MAX_DELAY: Duration = Duration::from_millis(50);
/// The largest fraction of the time left to the latency goal that the margin takes.
const MAX_MARGIN_FRACTION: f64 = 0.3;

/// The delay between the cut-off of a search and its answer: the timer fires late on a busy core,
/// the records are merged, and the answer travels. A cut-off that is earlier by the margin lets a
/// partial answer meet the latency goal.
#[derive(Debug)]
pub struct AnswerDelay {
    tracker: LatencyTracker,
}

impl AnswerDelay {
    /// Creates an estimate for instances with this processor time.
    pub fn new(cores: CoreShare) -> Self {
        // Zero means that the processor time is not known.
        let millis = if cores.get() == 0 { MILLIS_PER_CORE } else { cores.get() };
        let initial = (ANSWER_WORK * MILLIS_PER_CORE / millis).min(MAX_DELAY);
        Self { tracker: LatencyTracker::with_quantile(MARGIN_QUANTILE, initial) }
    }

    /// Records a partial answer that was complete at `answered`, after the cut-off at `cutoff`.
    pub fn observe(&self, cutoff: Timestamp, answered: Timestamp) {
        let delay = answered.since(cutoff);
        if !delay.is_zero() && delay <= MAX_DELAY {
            self.tracker.observe(delay);
        }
    }

    /// Returns how much earlier than the goal a search is cut off that has `left` to the goal.
    pub fn margin(&self, left: Duration) -> Duration {
        self.tracker.estimate().min(left.mul_f64(MAX_MARGIN_FRACTION))
    }
}
