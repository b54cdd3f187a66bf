//! A hybrid logical clock: stamps follow wall time and preserve the order of cause and effect.

use std::{str::FromStr, time::Duration};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::WallTime;

/// How far a received stamp may be ahead of the wall clock and still be accepted.
pub const MAX_CLOCK_DRIFT: Duration = Duration::from_secs(5);

/// A timestamp of the hybrid logical clocks of the fleet.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{}.{logical}", wall.as_millis())]
pub struct HybridStamp {
    /// The highest wall time that the instance had seen when the event happened.
    pub wall: WallTime,
    /// A counter that orders events with the same wall time.
    pub logical: u32,
}

impl HybridStamp {
    /// Returns the lowest stamp of a wall time.
    pub const fn first_at(wall: WallTime) -> Self {
        Self { wall, logical: 0 }
    }

    /// Returns the next higher stamp.
    const fn next(self) -> Self {
        match self.logical.checked_add(1) {
            Some(logical) => Self { wall: self.wall, logical },
            None => Self::first_at(WallTime::from_millis(self.wall.as_millis() + 1)),
        }
    }
}

/// The text is not a valid stamp.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("expected MILLISECONDS or MILLISECONDS.COUNTER")]
pub struct ParseStampError;

impl FromStr for HybridStamp {
    type Err = ParseStampError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (wall, logical) = text.split_once('.').unwrap_or((text, "0"));
        let wall = wall.parse().map_err(|_| ParseStampError)?;
        let logical = logical.parse().map_err(|_| ParseStampError)?;
        Ok(Self { wall: WallTime::from_millis(wall), logical })
    }
}

/// A received stamp was rejected because it is too far ahead of the wall clock.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("stamp {stamp} is more than {} ms ahead of the wall clock", MAX_CLOCK_DRIFT.as_millis())]
pub struct ClockDriftError {
    /// The rejected stamp.
    pub stamp: HybridStamp,
}

/// The hybrid logical clock of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    latest: HybridStamp,
}

impl HybridClock {
    /// Builds a clock that continues after `latest`, the last stamp known before a restart.
    pub const fn starting_after(latest: HybridStamp) -> Self {
        Self { latest }
    }

    /// Returns the highest stamp issued or accepted so far.
    pub const fn latest(&self) -> HybridStamp {
        self.latest
    }

    /// Issues a stamp for an event at the wall time `wall`. It is higher than every earlier one.
    pub fn tick(&mut self, wall: WallTime) -> HybridStamp {
        self.latest = self.latest.next().max(HybridStamp::first_at(wall));
        self.latest
    }

    /// Accepts a stamp received at the wall time `wall`, so that the next tick returns a higher
    /// one.
    ///
    /// # Errors
    ///
    /// Fails without effect when the stamp is more than [`MAX_CLOCK_DRIFT`] ahead of `wall`, so
    /// that one wrong clock cannot push all others forward.
    pub fn observe(&mut self, stamp: HybridStamp, wall: WallTime) -> Result<(), ClockDriftError> {
        if stamp.wall.since(wall) > MAX_CLOCK_DRIFT {
            return Err(ClockDriftError { stamp });
        }
        self.latest = self.latest.max(stamp);
        Ok(())
    }
}
