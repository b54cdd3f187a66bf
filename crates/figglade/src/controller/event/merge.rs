//! One order over the events of many instances.

use super::EventRecord;

/// Orders events by their stamps and drops doubles.
///
/// An event that another one caused comes after it, provided that the stamp travelled with the
/// message between their instances; events without such a link are ordered by wall time, then by
/// instance.
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
