//! A bound on how many events of one kind are noted.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use figglade::Timestamp;

/// The time between two events of one kind.
const EVENT_PERIOD: Duration = Duration::from_millis(100);

/// Lets one event through in each period, so that a flood of refusals does not push everything
/// else out of the time line.
#[derive(Debug, Default)]
pub(super) struct EventThrottle {
    /// When the next event may be noted, in microseconds.
    next: AtomicU64,
}

impl EventThrottle {
    /// Returns whether an event at `now` is noted.
    pub(super) fn allow(&self, now: Timestamp) -> bool {
        let next = self.next.load(Ordering::Relaxed);
        let after = (now + EVENT_PERIOD).as_micros();
        now.as_micros() >= next
            && self.next.compare_exchange(next, after, Ordering::Relaxed, Ordering::Relaxed).is_ok()
    }
}
