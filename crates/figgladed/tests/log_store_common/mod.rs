//! Helpers for the tests of the log store.

use std::path::{Path, PathBuf};

use bytes::Bytes;
use figglade::{
    border::LogStore,
    controller::quorum::{EntryPayload, LogEntry, LogIndex, LogSnapshot, MemberSet, Term},
};
use figgladed::log_store::{FileLogStore, StoreLimits};

/// Builds an entry whose command contains its index and term.
pub fn command_entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index: LogIndex::new(index),
        term: Term::new(term),
        payload: EntryPayload::Command(Bytes::from(format!("command {index} of term {term}"))),
    }
}

/// Builds `count` entries of term 1 from index `first`.
pub fn entries(first: u64, count: u64) -> Vec<LogEntry> {
    (first..first + count).map(|index| command_entry(index, 1)).collect()
}

/// Builds a snapshot up to an index.
pub fn snapshot(last_index: u64, last_term: u64) -> LogSnapshot {
    LogSnapshot {
        last_index: LogIndex::new(last_index),
        last_term: Term::new(last_term),
        members: MemberSet::default(),
        state: Bytes::from(format!("state at {last_index}")),
    }
}

/// Opens a folder, which must be intact.
pub fn open(folder: &Path) -> FileLogStore {
    FileLogStore::open(folder, StoreLimits::default()).unwrap()
}

/// Loads the log of a store and returns its entries.
pub fn stored(store: &mut FileLogStore) -> Vec<LogEntry> {
    store.load().unwrap().entries
}

/// Lists the segment files in order.
pub fn segments(folder: &Path) -> Vec<PathBuf> {
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let mut segments: Vec<PathBuf> =
        files.filter(|path| path.extension().is_some_and(|extension| extension == "log")).collect();
    segments.sort();
    segments
}
