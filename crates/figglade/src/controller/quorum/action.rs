//! What the driver of a member has to do.

use std::net::SocketAddr;

use derive_more::Display;

use crate::{
    InstanceId,
    controller::quorum::{
        HardState, LogEntry, LogIndex, LogSnapshot, MemberSet, QuorumMessage, Term,
    },
};

/// Identifies one linearizable read at one member.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadTicket(u64);

impl ReadTicket {
    /// Wraps a plain number.
    pub(super) const fn new(value: u64) -> Self {
        Self(value)
    }
}

/// One step that the driver carries out.
///
/// The driver carries out the actions of one call in their order, and those of earlier calls
/// first. `SaveHardState`, `Append` and `SaveSnapshot` are durable before any later action of the
/// batch starts. When one of them fails, the driver drops the rest of the batch and the node, and
/// the process takes no further part in the group before a restart: the node counts on its own
/// disk as soon as it has returned the action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuorumAction {
    /// Makes the term and the vote durable.
    SaveHardState(HardState),
    /// Drops every entry from the first of these on and makes these durable.
    Append(Vec<LogEntry>),
    /// Makes the snapshot durable. Entries after it stay only where the entry at its last index
    /// has its last term.
    SaveSnapshot(LogSnapshot),
    /// Sends a message to another instance; it may be lost.
    Send {
        /// The receiver.
        to: InstanceId,
        /// Where the receiver listens.
        address: SocketAddr,
        /// The message.
        message: QuorumMessage,
    },
    /// Applies committed entries to the state machine.
    Apply(Vec<LogEntry>),
    /// Replaces the state machine by the snapshot.
    Restore(LogSnapshot),
    /// Answers a read from the state machine, which is at `index` or later by now.
    ReadReady {
        /// The read.
        ticket: ReadTicket,
        /// The index that the state machine has reached.
        index: LogIndex,
    },
    /// Refuses a read, because this member no longer leads.
    ReadFailed {
        /// The read.
        ticket: ReadTicket,
    },
    /// Another instance leads, or none is known to.
    LeaderChanged {
        /// The leader, if known.
        leader: Option<InstanceId>,
        /// The term of this member.
        term: Term,
    },
    /// The member set in use changed; it is in use from the moment it is in the log.
    MembersChanged(MemberSet),
}
