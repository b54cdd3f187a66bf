//! A count in which older events weigh less.

use std::time::Duration;

use crate::Timestamp;

/// A count that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingCount {
    value: f64,
    updated_at: Timestamp,
}

impl DecayingCount {
    /// Adds `amount`; earlier amounts decay with the time constant `period`.
    pub(super) fn add(&mut self, amount: f64, period: Duration, now: Timestamp) {
        self.value = self.get(period, now) + amount;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the count at `now`.
    pub(super) fn get(&self, period: Duration, now: Timestamp) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.value * (-age / period.as_secs_f64()).exp()
    }
}
