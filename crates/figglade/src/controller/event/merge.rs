//! A total order over the events of many instances.

use super::EventRecord;

/// Merges events, ordered by stamp, and removes duplicates.
///
/// An effect follows its cause if the stamp of the cause was sent with the message between their
/// instances. Unrelated events are ordered by wall time, then by instance.
pub fn merge_events(sources: Vec<Vec<EventRecord>>) -> Vec<EventRecord> {
    let mut events: Vec<_> = sources.into_iter().flatten().collect();
    events.sort_by(|left, right| {
        left.stamp
            .cmp(&right.stamp)
            .then_with(|| left.source.cmp(&right.source))
            .then_with(|| left.sequence.cmp(&right.sequence))
    });
    events.dedup_by(|next, kept| next.source == kept.source && next.sequence == kept.sequence);
    events
}
