//! How many instances share the bounds of targets and of extra attempts.

use std::time::Duration;

use crate::Timestamp;

/// The instances taken to share the bounds until one was counted.
const UNCOUNTED_INSTANCES: usize = 64;
/// How long a larger count holds against smaller ones: longer than a control instance is out of
/// touch with others, or all instances take to come back after a restart.
const PEAK_PERIOD: Duration = Duration::from_secs(15);

/// Follows the counts of instances that control instances give.
///
/// A control instance counts only those it hears of, directly or from others. While one is cut off,
/// the counts are too small, and every instance would take too large a part of a bound that all
/// share. So the largest recent count holds.
#[derive(Clone, Debug, Default)]
pub struct InstanceCensus {
    period_start: Timestamp,
    /// The largest count of the present period.
    peak: usize,
    /// The largest count of the period before.
    former_peak: usize,
}

impl InstanceCensus {
    /// Takes a count.
    pub fn take_count(&mut self, count: usize, now: Timestamp) {
        let age = now.since(self.period_start);
        if age >= PEAK_PERIOD {
            self.former_peak = if age < PEAK_PERIOD * 2 { self.peak } else { 0 };
            self.peak = 0;
            self.period_start = now;
        }
        self.peak = self.peak.max(count).max(1);
    }

    /// Returns whether a count was taken.
    pub const fn is_counted(&self) -> bool {
        self.peak > 0
    }

    /// Returns the instances that share the bounds.
    pub fn instances(&self) -> usize {
        if self.is_counted() { self.peak.max(self.former_peak) } else { UNCOUNTED_INSTANCES }
    }
}
