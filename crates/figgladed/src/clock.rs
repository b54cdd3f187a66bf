//! The clocks of the process; only the daemon reads them.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use figglade::{Timestamp, WallTime};

/// Reads the monotonic clock of the process and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Starts the monotonic clock at zero.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// Returns the wall time.
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime::from_millis(since_epoch.as_millis() as u64)
    }

    /// Returns the instant that `at` stands for, to sleep until it.
    pub fn instant_of(&self, at: Timestamp) -> tokio::time::Instant {
        let offset = at.since(Timestamp::ZERO);
        tokio::time::Instant::from_std(self.origin + offset)
    }
}
