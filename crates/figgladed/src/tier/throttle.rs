//! A rate limit for events of one kind.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use figglade::Timestamp;

/// The shortest time between two events of one kind.
const MIN_EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Allows one event per interval, so that a burst of refusals does not evict all other events from
/// the time line.
#[derive(Debug, Default)]
pub(super) struct EventThrottle {
    /// The earliest time of the next event, in microseconds.
    next: AtomicU64,
}

impl EventThrottle {
    /// Returns whether an event at `now` may be recorded, and if so starts a new interval.
    pub(super) fn allow(&self, now: Timestamp) -> bool {
        let next = self.next.load(Ordering::Relaxed);
        let after = (now + MIN_EVENT_INTERVAL).as_micros();
        now.as_micros() >= next
            && self.next.compare_exchange(next, after, Ordering::Relaxed, Ordering::Relaxed).is_ok()
    }
}
