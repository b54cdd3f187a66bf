//! The bounded store of events of this instance.

use figglade::{RequestId, WallTime, controller::event::EventKind};

/// Keeps the latest events.
#[derive(Debug, Default)]
pub struct TimelineStore {}

impl TimelineStore {
    /// Adds an event.
    pub fn record(&self, _kind: EventKind, _request: Option<RequestId>, _detail: String) {}

    /// Returns the events since a wall time.
    pub fn since(
        &self,
        _since: WallTime,
        _request: Option<RequestId>,
        _limit: usize,
    ) -> Vec<String> {
        Vec::new()
    }
}
