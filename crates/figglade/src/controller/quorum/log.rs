//! The part of the log that a member keeps in memory.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::controller::quorum::{
    EntryPayload, LogEntry, LogIndex, LogSnapshot, MemberSet, StoredLog, Term,
    settings::{TRAILING_BYTES, TRAILING_ENTRIES},
};

/// The bytes assumed for an entry in a message besides its payload.
const ENTRY_OVERHEAD_BYTES: usize = 64;
/// The bytes assumed for one member in an entry.
const MEMBER_BYTES: usize = 256;

/// The snapshot, the last entries that it covers and the entries after it.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryLog {
    snapshot: Option<LogSnapshot>,
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<LogEntry>,
}

impl EntryLog {
    /// Creates the log from the stored state, without the entries that the snapshot covers.
    pub(super) fn from_stored(stored: StoredLog) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = stored.snapshot {
            log.install(snapshot);
        }
        let base = log.base_index;
        log.entries.extend(stored.entries.into_iter().filter(|entry| entry.index > base));
        log
    }

    /// Returns whether the log has neither a snapshot nor entries.
    pub(super) fn is_empty(&self) -> bool {
        self.last_index() == LogIndex::default()
    }

    pub(super) fn snapshot(&self) -> Option<&LogSnapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the last index that the snapshot covers, 0 without a snapshot.
    pub(super) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map(|snapshot| snapshot.last_index).unwrap_or_default()
    }

    pub(super) fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base_index, |entry| entry.index)
    }

    pub(super) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of the entry at an index, or `None` if it is not in memory.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.position(index).map(|at| self.entries[at].term)
    }

    /// Returns the entries of an inclusive range that are in memory.
    pub(super) fn range(&self, from: LogIndex, to: LogIndex) -> Vec<LogEntry> {
        self.iter_from(from).take_while(|entry| entry.index <= to).cloned().collect()
    }

    /// Returns entries from `from` on within both limits; the first is returned whatever its size.
    pub(super) fn batch(
        &self,
        from: LogIndex,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<LogEntry> {
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        for entry in self.iter_from(from).take(max_entries.max(1)) {
            batch_bytes += entry_bytes(entry);
            if !batch.is_empty() && batch_bytes > max_bytes {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Returns the entries from `from` on.
    pub(super) fn iter_from(&self, from: LogIndex) -> impl Iterator<Item = &LogEntry> {
        let at = from.get().saturating_sub(self.base_index.get() + 1) as usize;
        self.entries.iter().skip(at)
    }

    /// Truncates the log at the index of the first of `entries` and appends them.
    pub(super) fn append(&mut self, entries: &[LogEntry]) {
        let Some(first) = entries.first() else { return };
        if let Some(at) = self.position(first.index) {
            self.entries.truncate(at);
        }
        self.entries.extend(entries.iter().cloned());
    }

    /// Returns the last index up to `index` whose term is at most `term`.
    pub(super) fn find_conflict(&self, index: LogIndex, term: Term) -> LogIndex {
        let mut candidate = index;
        while candidate > self.base_index {
            match self.term_at(candidate) {
                Some(found) if found > term => candidate = previous(candidate),
                _ => break,
            }
        }
        candidate
    }

    /// Creates a snapshot at an index and keeps a bounded number of the entries that it covers.
    ///
    /// Returns `None` if the entry at the index is not in memory or the index is already covered.
    pub(super) fn compact(
        &mut self,
        upto: LogIndex,
        members: MemberSet,
        state: Bytes,
    ) -> Option<LogSnapshot> {
        if upto <= self.snapshot_index() {
            return None;
        }
        let last_term = self.term_at(upto)?;
        let snapshot = LogSnapshot { last_index: upto, last_term, members, state };
        self.snapshot = Some(snapshot.clone());
        let covered = self.position(upto).map_or(0, |at| at + 1);
        let trailing = self.trailing_count(covered);
        for entry in self.entries.drain(..covered - trailing) {
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        Some(snapshot)
    }

    /// Replaces the log with a snapshot; entries after it are kept if the log has its last entry.
    pub(super) fn install(&mut self, snapshot: LogSnapshot) {
        let has_last_entry = self.term_at(snapshot.last_index) == Some(snapshot.last_term);
        if has_last_entry {
            let last_index = snapshot.last_index;
            self.entries.retain(|entry| entry.index > last_index);
        } else {
            self.entries.clear();
        }
        self.base_index = snapshot.last_index;
        self.base_term = snapshot.last_term;
        self.snapshot = Some(snapshot);
    }

    /// Returns how many of the first `covered` entries are kept, counted back from the last one.
    fn trailing_count(&self, covered: usize) -> usize {
        let mut bytes = 0;
        let newest_first = self.entries.iter().take(covered).rev();
        let is_kept = |entry: &&LogEntry| {
            bytes += entry_bytes(entry);
            bytes <= TRAILING_BYTES
        };
        newest_first.take(TRAILING_ENTRIES).take_while(is_kept).count()
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let at = index.get().checked_sub(self.base_index.get() + 1)? as usize;
        (at < self.entries.len()).then_some(at)
    }
}

/// Returns the index before this one, 0 for 0.
pub(super) fn previous(index: LogIndex) -> LogIndex {
    LogIndex::new(index.get().saturating_sub(1))
}

/// Returns the approximate size of an entry in a message, in bytes.
pub(super) fn entry_bytes(entry: &LogEntry) -> usize {
    let payload_bytes = match &entry.payload {
        EntryPayload::Noop => 0,
        EntryPayload::Command(command) => command.len(),
        EntryPayload::Members(set) => set.members.len() * MEMBER_BYTES,
    };
    payload_bytes + ENTRY_OVERHEAD_BYTES
}
