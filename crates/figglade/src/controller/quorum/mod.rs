//! The quorum log: a replicated log with a leader, kept on the instances that have a disk.

mod types;

pub use types::{
    EntryPayload, HardState, LogEntry, LogIndex, LogSnapshot, MemberRole, MemberSet, MemberSpec,
    StorageId, StoredLog, Term,
};
