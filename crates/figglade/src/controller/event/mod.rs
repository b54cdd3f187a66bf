//! Events of the time line and their hybrid logical clock.
//!
//! Each instance stamps its events with a [`HybridClock`] that also takes over the stamps it
//! receives, so that an event caused by another one at another instance is ordered after it even
//! where the wall clocks disagree. [`EventRing`] keeps the latest events of one instance within
//! bounds and [`merge_events`] orders those of many.

mod clock;
mod merge;
mod record;
mod ring;

pub use self::{
    clock::{ClockDriftError, HybridClock, HybridStamp, MAX_CLOCK_DRIFT, ParseStampError},
    merge::merge_events,
    record::{EventKind, EventRecord, EventSource, MAX_DETAIL_BYTES},
    ring::{EventPage, EventQuery, EventRing},
};
