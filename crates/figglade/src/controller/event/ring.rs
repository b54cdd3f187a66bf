//! The latest events of one instance.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{EventRecord, HybridStamp};
use crate::RequestId;

/// Which events are asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventQuery {
    /// Events at or after this stamp.
    #[serde(default)]
    pub since: HybridStamp,
    /// Events of this request only.
    #[serde(default)]
    pub request: Option<RequestId>,
    /// The most events in the answer.
    pub max_events: usize,
    /// The most bytes in the answer, by [`EventRecord::size_bytes`].
    pub max_bytes: usize,
}

/// The events asked for, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventPage {
    /// The events.
    pub events: Vec<EventRecord>,
    /// Whether older events that match were left out, or are no longer held.
    pub truncated: bool,
}

/// Keeps the latest events within a count and a size.
#[derive(Debug)]
pub struct EventRing {
    max_events: usize,
    max_bytes: usize,
    events: VecDeque<EventRecord>,
    bytes: usize,
    /// The newest stamp among the events no longer held.
    forgotten: Option<HybridStamp>,
}

impl EventRing {
    /// Builds an empty ring of at most `max_events` events and `max_bytes` bytes.
    pub const fn new(max_events: usize, max_bytes: usize) -> Self {
        Self { max_events, max_bytes, events: VecDeque::new(), bytes: 0, forgotten: None }
    }

    /// Adds an event and forgets the oldest beyond the bounds.
    pub fn push(&mut self, event: EventRecord) {
        self.bytes += event.size_bytes();
        self.events.push_back(event);
        while self.events.len() > self.max_events || self.bytes > self.max_bytes {
            let Some(oldest) = self.events.pop_front() else { return };
            self.bytes -= oldest.size_bytes();
            self.forgotten = self.forgotten.max(Some(oldest.stamp));
        }
    }

    /// Returns the number of events held.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns whether no event is held.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the newest events that match, oldest first.
    pub fn events_since(&self, query: &EventQuery) -> EventPage {
        let matches = |event: &&EventRecord| {
            event.stamp >= query.since
                && query.request.is_none_or(|request| event.request == Some(request))
        };
        let mut bytes = 0;
        let mut events = Vec::new();
        let mut truncated = self.forgotten.is_some_and(|stamp| stamp >= query.since);
        for event in self.events.iter().rev().filter(matches) {
            bytes += event.size_bytes();
            if events.len() >= query.max_events || bytes > query.max_bytes {
                truncated = true;
                break;
            }
            events.push(event.clone());
        }
        events.reverse();
        EventPage { events, truncated }
    }
}
