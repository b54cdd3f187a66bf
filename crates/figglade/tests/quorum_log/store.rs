//! An in-memory log store: everything that it has accepted counts as synced.

use figglade::{
    border::{LogStore, LogStoreError},
    controller::quorum::{
        EntryPayload, HardState, LogEntry, LogIndex, LogSnapshot, MemberSet, StorageId, StoredLog,
        Term,
    },
};

/// Creates the storage identity with this number.
pub fn storage_id(number: u64) -> StorageId {
    format!("00000000-0000-4000-8000-{number:012x}").parse().expect("a UUID")
}

/// The disk of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemoryStore {
    storage: StorageId,
    hard_state: HardState,
    snapshot: Option<LogSnapshot>,
    entries: Vec<LogEntry>,
}

impl MemoryStore {
    /// Creates an empty disk.
    pub fn new(storage: StorageId) -> Self {
        Self { storage, hard_state: HardState::default(), snapshot: None, entries: Vec::new() }
    }

    /// Returns what is on the disk.
    pub fn stored(&self) -> StoredLog {
        StoredLog {
            hard_state: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }

    /// Returns the term and the vote.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Returns the last index and the last term of the snapshot.
    pub fn base(&self) -> (LogIndex, Term) {
        let snapshot = self.snapshot.as_ref();
        snapshot.map(|found| (found.last_index, found.last_term)).unwrap_or_default()
    }

    /// Returns the last member set on the disk, committed or not.
    pub fn members(&self) -> Option<MemberSet> {
        let sets = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            EntryPayload::Members(set) => Some(set.clone()),
            _ => None,
        });
        sets.or_else(|| self.snapshot.as_ref().map(|snapshot| snapshot.members.clone()))
    }

    /// Returns the entry at an index that the snapshot does not cover.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        self.entries.iter().find(|entry| entry.index == index)
    }
}

impl LogStore for MemoryStore {
    fn storage_id(&self) -> StorageId {
        self.storage
    }

    fn load(&mut self) -> Result<StoredLog, LogStoreError> {
        Ok(self.stored())
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), LogStoreError> {
        let first = entries.first().expect("an append is never empty").index;
        assert!(first <= self.last_index().next(), "an append leaves no gap");
        assert!(first > self.base().0, "an append does not overlap the snapshot");
        self.entries.retain(|entry| entry.index < first);
        self.entries.extend_from_slice(entries);
        Ok(())
    }

    fn save_hard_state(&mut self, state: &HardState) -> Result<(), LogStoreError> {
        assert!(state.term >= self.hard_state.term, "the term never decreases");
        self.hard_state = state.clone();
        Ok(())
    }

    fn save_snapshot(&mut self, snapshot: &LogSnapshot) -> Result<(), LogStoreError> {
        assert!(snapshot.last_index > self.base().0, "a snapshot moves forward");
        let agreed = self.entry(snapshot.last_index).map(|entry| entry.term);
        let has_last_entry = agreed == Some(snapshot.last_term);
        self.entries.retain(|entry| has_last_entry && entry.index > snapshot.last_index);
        self.snapshot = Some(snapshot.clone());
        Ok(())
    }

    fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.base().0, |entry| entry.index)
    }
}
