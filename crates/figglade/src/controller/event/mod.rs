//! Events of the time line and the hybrid logical clock that orders them.
//!
//! Each instance stamps its events with a [`HybridClock`] that also advances to the stamps it
//! receives, so that an event is ordered after its cause at another instance even if their wall
//! clocks disagree. [`EventRing`] keeps the latest events of one instance in bounded memory and
//! [`merge_events`] orders the events of many instances.

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
