//! The quorum log: a replicated log with a leader, kept on the instances that have a disk.
//!
//! [`QuorumNode`] is one member as a pure state machine. The driver passes it messages, proposals
//! and the current time, and carries out the returned [`QuorumAction`]s in order. The design note
//! `docs/design/quorum-log.md` explains the alternatives considered and why the protocol is safe.

mod action;
mod change;
mod election;
mod error;
mod follower;
mod leader;
mod log;
mod members;
mod message;
mod node;
mod progress;
mod read;
mod replication;
mod settings;
mod snapshot;
mod status;
mod transfer;
mod types;

pub use action::{QuorumAction, ReadTicket};
pub use change::MemberChange;
pub use error::{MemberChangeError, ProposeError, TransferError};
pub use message::{
    AppendAnswer, AppendOutcome, AppendRequest, MessageBody, QuorumMessage, RoundStamp,
    SnapshotAnswer, SnapshotChunk, VoteAnswer, VoteRequest,
};
pub use node::QuorumNode;
pub use replication::ProposeAccepted;
pub use settings::{
    MAX_COMMAND_BYTES, MAX_IN_FLIGHT, MAX_MEMBERS, MAX_PENDING_READS, MAX_SNAPSHOT_BYTES,
    MAX_UNCOMMITTED_BYTES, MAX_UNCOMMITTED_ENTRIES, QuorumSettings, SNAPSHOT_CHUNK_BYTES,
    TRAILING_BYTES, TRAILING_ENTRIES,
};
pub use status::{QuorumRole, QuorumStatus};
pub use types::{
    EntryPayload, HardState, LogEntry, LogIndex, LogSnapshot, MemberRole, MemberSet, MemberSpec,
    StorageId, StoredLog, Term,
};
