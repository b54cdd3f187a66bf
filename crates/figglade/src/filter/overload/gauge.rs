//! Estimates how long new work waits for the thread of this instance.

use std::time::Duration;

use crate::Timestamp;

/// The time between two samples. At 20 wake-ups a second, a standing queue is recognized within a
/// quarter of a second.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The number of consecutive late samples that show a standing queue. Single late samples follow from
/// a freeze of the process, or from one long task.
const STANDING_SAMPLES: usize = 5;
/// The number of consecutive late samples that suffice if the work in progress explains the delay.
const EXPLAINED_SAMPLES: usize = 3;

/// Estimates how long new work waits at this instance, from a timer that is late by that time and
/// from the work in progress.
///
/// The delay of a standing queue is the minimum of recent samples: a queue that empties now and then
/// harms nobody, and after a freeze the first timely sample ends the estimate.
#[derive(Clone, Debug, Default)]
pub struct LoadGauge {
    /// The delays of the latest samples, the newest last.
    samples: [Duration; STANDING_SAMPLES],
    running: Duration,
}

impl LoadGauge {
    /// Records that a timer that was due at `due` fired at `now`.
    pub fn record_sample(&mut self, due: Timestamp, now: Timestamp) {
        self.samples.rotate_left(1);
        self.samples[STANDING_SAMPLES - 1] = now.since(due);
    }

    /// Records the start of a request that takes `work` of the thread's time.
    pub fn start(&mut self, work: Duration) {
        self.running = self.running.saturating_add(work);
    }

    /// Records the end of a request that takes `work` of the thread's time.
    pub fn finish(&mut self, work: Duration) {
        self.running = self.running.saturating_sub(work);
    }

    /// Returns how long new work waits: the delay of a standing queue, or a shorter-lived delay as far
    /// as the work in progress explains it.
    pub fn wait(&self) -> Duration {
        let explained = self.min_of_latest(EXPLAINED_SAMPLES).min(self.running);
        self.min_of_latest(STANDING_SAMPLES).max(explained)
    }

    /// Returns the work of the requests in progress.
    pub const fn running(&self) -> Duration {
        self.running
    }

    fn min_of_latest(&self, count: usize) -> Duration {
        self.samples[STANDING_SAMPLES - count..].iter().min().copied().unwrap_or_default()
    }
}
