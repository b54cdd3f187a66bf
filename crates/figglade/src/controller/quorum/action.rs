//! Actions that the driver of a member carries out.

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

/// One action that the driver carries out.
///
/// The driver carries out the actions of one call in their order, and those of earlier calls
/// first. `SaveHardState`, `Append` and `SaveSnapshot` are durable before any later action of the
/// batch starts. When one of them fails, the driver drops the rest of the batch and the node, and
/// the process takes no further part in the group before a restart: the node treats the data as
/// durable as soon as it has returned the action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuorumAction {
    /// Makes the term and the vote durable.
    SaveHardState(HardState),
    /// Truncates the log at the index of the first of these entries, appends them and makes them
    /// durable.
    Append(Vec<LogEntry>),
    /// Makes the snapshot durable. Entries after it are kept only if the entry at the snapshot's
    /// last index has the snapshot's last term.
    SaveSnapshot(LogSnapshot),
    /// Sends a message to another instance; it may be lost.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The peer address of the receiver.
        address: SocketAddr,
        /// The message.
        message: QuorumMessage,
    },
    /// Applies committed entries to the state machine.
    Apply(Vec<LogEntry>),
    /// Replaces the state machine with the snapshot.
    Restore(LogSnapshot),
    /// Answers a read from the state machine, which has applied at least `index`.
    ReadReady {
        /// The read.
        ticket: ReadTicket,
        /// The index that the state machine has reached.
        index: LogIndex,
    },
    /// Fails a read because this member no longer leads.
    ReadFailed {
        /// The read.
        ticket: ReadTicket,
    },
    /// The known leader changed.
    LeaderChanged {
        /// The leader, if known.
        leader: Option<InstanceId>,
        /// The term of this member.
        term: Term,
    },
    /// The member set in use changed; a set is in use as soon as it is in the log.
    MembersChanged(MemberSet),
}
