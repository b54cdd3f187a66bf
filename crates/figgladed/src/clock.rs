//! The clocks of the process. Only the daemon reads them; the library gets the time as an argument.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use figglade::{Timestamp, WallTime};
use rustix::time::{ClockId, clock_gettime};

/// The latest instant to sleep until, a century after the start; later timestamps are reduced to it.
const MAX_SLEEP: Duration = Duration::from_secs(100 * 365 * 24 * 3_600);

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

    /// Returns the monotonic time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    /// Returns the wall-clock time.
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime::from_millis(since_epoch.as_millis() as u64)
    }

    /// Converts `at` to an instant of the runtime, to sleep until it.
    pub fn instant_of(&self, at: Timestamp) -> tokio::time::Instant {
        let offset = at.since(Timestamp::ZERO).min(MAX_SLEEP);
        tokio::time::Instant::from_std(self.origin + offset)
    }
}

/// Returns the time since the start of the machine, including the time during which it was suspended.
/// Rights that end by themselves use it.
pub fn boot_time() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    // Neither part is negative for this clock.
    Timestamp::from_micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}
