//! A bounded buffer with the latest events of one instance.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{EventRecord, HybridStamp};
use crate::RequestId;

/// Selects events of a ring.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventQuery {
    /// Selects events at or after this stamp.
    #[serde(default)]
    pub since: HybridStamp,
    /// Selects only events of this request, if set.
    #[serde(default)]
    pub request: Option<RequestId>,
    /// The maximum number of events in the answer.
    pub max_events: usize,
    /// The maximum size of the answer, as the sum of [`EventRecord::size_bytes`].
    pub max_bytes: usize,
}

/// The events that match a query.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventPage {
    /// The events, oldest first.
    pub events: Vec<EventRecord>,
    /// Whether older matching events were left out or may have been evicted.
    pub truncated: bool,
}

/// Keeps the latest events up to a number and a total size.
#[derive(Debug)]
pub struct EventRing {
    max_events: usize,
    max_bytes: usize,
    events: VecDeque<EventRecord>,
    bytes: usize,
    /// The highest stamp among the evicted events.
    newest_evicted: Option<HybridStamp>,
}

impl EventRing {
    /// Builds an empty ring that holds at most `max_events` events and `max_bytes` bytes.
    pub const fn new(max_events: usize, max_bytes: usize) -> Self {
        Self { max_events, max_bytes, events: VecDeque::new(), bytes: 0, newest_evicted: None }
    }

    /// Adds an event and evicts the oldest ones while the ring exceeds its limits.
    pub fn push(&mut self, event: EventRecord) {
        self.bytes += event.size_bytes();
        self.events.push_back(event);
        while self.events.len() > self.max_events || self.bytes > self.max_bytes {
            let Some(oldest) = self.events.pop_front() else { return };
            self.bytes -= oldest.size_bytes();
            self.newest_evicted = self.newest_evicted.max(Some(oldest.stamp));
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
        let mut truncated = self.newest_evicted.is_some_and(|stamp| stamp >= query.since);
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
