//! A clock that follows wall time and never runs against the order of cause and effect.

use std::{str::FromStr, time::Duration};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::WallTime;

/// The furthest a received stamp may lie ahead of the wall clock and still be taken over.
pub const MAX_CLOCK_DRIFT: Duration = Duration::from_secs(5);

/// A point on the hybrid clocks of the fleet.
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
    /// The latest wall time known at the event.
    pub wall: WallTime,
    /// Orders the events within that wall time.
    pub logical: u32,
}

impl HybridStamp {
    /// Returns the first stamp of a wall time.
    pub const fn first_at(wall: WallTime) -> Self {
        Self { wall, logical: 0 }
    }

    /// Returns the next stamp.
    const fn next(self) -> Self {
        match self.logical.checked_add(1) {
            Some(logical) => Self { wall: self.wall, logical },
            None => Self::first_at(WallTime::from_millis(self.wall.as_millis() + 1)),
        }
    }
}

/// The text is not a stamp.
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

/// A received stamp lies too far ahead of the wall clock; it was not taken over.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("stamp {stamp} is more than {} ms ahead of the wall clock", MAX_CLOCK_DRIFT.as_millis())]
pub struct ClockDriftError {
    /// The stamp.
    pub stamp: HybridStamp,
}

/// The hybrid logical clock of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    latest: HybridStamp,
}

impl HybridClock {
    /// Builds a clock that goes on after `latest`, the last stamp known before a restart.
    pub const fn starting_after(latest: HybridStamp) -> Self {
        Self { latest }
    }

    /// Returns the last stamp given out or taken over.
    pub const fn latest(&self) -> HybridStamp {
        self.latest
    }

    /// Stamps an event at the wall time `wall`; later than every stamp before.
    pub fn tick(&mut self, wall: WallTime) -> HybridStamp {
        self.latest = self.latest.next().max(HybridStamp::first_at(wall));
        self.latest
    }

    /// Takes over a stamp received at the wall time `wall`, so that the next tick is later.
    ///
    /// # Errors
    ///
    /// Fails without effect when the stamp lies more than [`MAX_CLOCK_DRIFT`] ahead of `wall`: one
    /// wrong clock must not carry away all others.
    pub fn observe(&mut self, stamp: HybridStamp, wall: WallTime) -> Result<(), ClockDriftError> {
        if stamp.wall.since(wall) > MAX_CLOCK_DRIFT {
            return Err(ClockDriftError { stamp });
        }
        self.latest = self.latest.max(stamp);
        Ok(())
    }
}
