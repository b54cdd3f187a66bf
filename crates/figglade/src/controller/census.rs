//! Estimates how many instances share the bounds on connections to targets and on extra attempts.

use std::time::Duration;

use crate::Timestamp;

/// The number of instances assumed before the first count.
const DEFAULT_INSTANCES: usize = 64;
/// The minimum time for which a larger count takes precedence over smaller ones. It exceeds the time
/// for which a control instance may lose contact with the others, and the time that all instances
/// need to reconnect after a restart.
const PEAK_PERIOD: Duration = Duration::from_secs(15);

/// Tracks the number of instances as counted by the control instances.
///
/// A control instance counts only the instances that it or its peers are in contact with. While one
/// control instance is cut off, the counts are too small, and every instance would use too large a
/// share of the common bounds. Therefore the largest recent count is used.
#[derive(Clone, Debug, Default)]
pub struct InstanceCensus {
    period_start: Timestamp,
    /// The largest count of the current period.
    peak: usize,
    /// The largest count of the previous period.
    previous_peak: usize,
}

impl InstanceCensus {
    /// Records the count of a control instance.
    pub fn record_count(&mut self, count: usize, now: Timestamp) {
        let age = now.since(self.period_start);
        if age >= PEAK_PERIOD {
            self.previous_peak = if age < PEAK_PERIOD * 2 { self.peak } else { 0 };
            self.peak = 0;
            self.period_start = now;
        }
        self.peak = self.peak.max(count).max(1);
    }

    /// Returns whether a count has been recorded.
    pub const fn has_count(&self) -> bool {
        self.peak > 0
    }

    /// Returns the number of instances that share the bounds.
    pub fn instances(&self) -> usize {
        if self.has_count() { self.peak.max(self.previous_peak) } else { DEFAULT_INSTANCES }
    }
}
