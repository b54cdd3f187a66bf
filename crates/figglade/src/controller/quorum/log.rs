//! The part of the log that a member keeps in memory.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::controller::quorum::{
    EntryPayload, LogEntry, LogIndex, LogSnapshot, MemberSet, StoredLog, Term,
    settings::{TRAILING_BYTES, TRAILING_ENTRIES},
};

/// The bytes an entry takes in a message besides its payload.
const ENTRY_OVERHEAD_BYTES: usize = 64;
/// The bytes allowed for one member in an entry.
const MEMBER_BYTES: usize = 256;

/// The snapshot and the entries at its end and after it.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryLog {
    snapshot: Option<LogSnapshot>,
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<LogEntry>,
}

impl EntryLog {
    /// Takes over what was on disk; entries that the snapshot covers are left out.
    pub(super) fn from_stored(stored: StoredLog) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = stored.snapshot {
            log.install(snapshot);
        }
        let base = log.base_index;
        log.entries.extend(stored.entries.into_iter().filter(|entry| entry.index > base));
        log
    }

    /// Returns whether nothing was ever written.
    pub(super) fn is_empty(&self) -> bool {
        self.last_index() == LogIndex::default()
    }

    pub(super) fn snapshot(&self) -> Option<&LogSnapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the last index the snapshot covers, 0 without a snapshot.
    pub(super) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map(|snapshot| snapshot.last_index).unwrap_or_default()
    }

    pub(super) fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base_index, |entry| entry.index)
    }

    pub(super) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of an index, or `None` where it is not known.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.position(index).map(|at| self.entries[at].term)
    }

    /// Returns the entries of an inclusive range, as far as they are held.
    pub(super) fn range(&self, from: LogIndex, to: LogIndex) -> Vec<LogEntry> {
        self.iter_from(from).take_while(|entry| entry.index <= to).cloned().collect()
    }

    /// Returns entries from `from` on within both limits, at least one where there is one.
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

    /// Drops every entry from the first of `entries` on and appends them.
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

    /// Makes a snapshot at a held index and keeps a bounded number of entries before its end.
    ///
    /// Returns `None` where the index is not held or is covered already.
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

    /// Replaces the log by a snapshot; entries after it stay where they follow on from it.
    pub(super) fn install(&mut self, snapshot: LogSnapshot) {
        let follows_on = self.term_at(snapshot.last_index) == Some(snapshot.last_term);
        if follows_on {
            let last_index = snapshot.last_index;
            self.entries.retain(|entry| entry.index > last_index);
        } else {
            self.entries.clear();
        }
        self.base_index = snapshot.last_index;
        self.base_term = snapshot.last_term;
        self.snapshot = Some(snapshot);
    }

    /// Returns how many of the first `covered` entries, counted from their end, may stay.
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

/// Returns about how many bytes an entry takes in a message.
pub(super) fn entry_bytes(entry: &LogEntry) -> usize {
    let payload_bytes = match &entry.payload {
        EntryPayload::Noop => 0,
        EntryPayload::Command(command) => command.len(),
        EntryPayload::Members(set) => set.members.len() * MEMBER_BYTES,
    };
    payload_bytes + ENTRY_OVERHEAD_BYTES
}
