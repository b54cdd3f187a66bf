//! Errors of the quorum log.

use derive_more::{Display, Error};

use crate::{
    InstanceId,
    controller::quorum::settings::{MAX_COMMAND_BYTES, MAX_MEMBERS},
};

/// The reason a proposal or a read was refused; nothing entered the log.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// This member does not lead.
    #[display("this member does not lead the quorum log")]
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// The leadership is being transferred.
    #[display("leadership is being transferred")]
    Transferring,
    /// Too many proposals or reads wait for commitment or confirmation.
    #[display("too many proposals or reads wait at the leader")]
    Overloaded,
    /// A command is larger than a frame can carry.
    #[display("a command may have at most {MAX_COMMAND_BYTES} bytes, has {length}")]
    TooLarge {
        /// The length found, in bytes.
        length: usize,
    },
    /// The batch contains no command.
    #[display("a batch needs at least one command")]
    Empty,
}

/// The reason a change of the members was refused; nothing entered the log.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum MemberChangeError {
    /// This member does not lead.
    #[display("this member does not lead the quorum log")]
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// The leadership is being transferred.
    #[display("leadership is being transferred")]
    Transferring,
    /// An earlier change is not committed yet.
    #[display("an earlier member change is not committed yet")]
    ChangePending,
    /// The leader has committed nothing in its own term yet.
    #[display("the leader has not committed an entry of its term yet")]
    TermNotCommitted,
    /// The instance is a member already.
    #[display("{id} is already a member")]
    AlreadyMember {
        /// The instance.
        #[error(not(source))]
        id: InstanceId,
    },
    /// The instance is not a member.
    #[display("{id} is not a member")]
    NotMember {
        /// The instance.
        #[error(not(source))]
        id: InstanceId,
    },
    /// The instance is a voter already.
    #[display("{id} is already a voter")]
    AlreadyVoter {
        /// The instance.
        #[error(not(source))]
        id: InstanceId,
    },
    /// The learner lacks entries that are committed.
    #[display("{id} has not caught up with the log yet")]
    NotCaughtUp {
        /// The instance.
        #[error(not(source))]
        id: InstanceId,
    },
    /// The learner has not reported the identity of its storage.
    #[display("{id} has not reported its storage yet")]
    StorageUnknown {
        /// The instance.
        #[error(not(source))]
        id: InstanceId,
    },
    /// The group would be left without a voter.
    #[display("the last voter cannot be removed")]
    LastVoter,
    /// The leader is not in contact with a majority of the changed group's voters.
    #[display("too few voters of the changed group are reachable")]
    QuorumUnreachable,
    /// The group has the maximum number of members.
    #[display("a group may have at most {MAX_MEMBERS} members")]
    TooManyMembers,
}

/// The reason a transfer of the leadership was refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TransferError {
    /// This member does not lead.
    #[display("this member does not lead the quorum log")]
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// A transfer is in progress.
    #[display("leadership is being transferred")]
    Transferring,
    /// The instance is not a voter.
    #[display("{id} is not a voter")]
    NotVoter {
        /// The instance.
        #[error(not(source))]
        id: InstanceId,
    },
    /// The leader is not in contact with any other voter.
    #[display("no other voter is reachable")]
    NoCandidate,
}
