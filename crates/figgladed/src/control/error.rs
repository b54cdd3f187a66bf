//! Errors of the control plane.

use derive_more::{Display, Error, From};
use figglade::{
    border::{ClaimError, LogStoreError},
    controller::ledger::{CommandError, StateError},
    peer::CodecError,
};

use crate::peer_link::PeerLinkError;

/// The reason the control plane could not start.
#[derive(Debug, Display, Error, From)]
pub enum ControlError {
    /// The log on disk cannot be used.
    #[display("quorum log: {_0}")]
    Store(LogStoreError),
    /// The state in the log's snapshot cannot be used.
    #[display("quorum log: {_0}")]
    State(StateError),
    /// The peer links could not start.
    #[display("peer links: {_0}")]
    Link(PeerLinkError),
    /// A thread could not be started.
    #[display("cannot start a thread: {_0}")]
    Thread(std::io::Error),
}

/// The reason a command got no reply.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ProposeFailure {
    /// The command has certainly not entered the log.
    #[display("no control member accepted the command: {reason}")]
    NotProposed {
        /// Why it was not proposed.
        reason: String,
    },
    /// The command may have entered the log.
    #[display("the command was sent, but its outcome is not known")]
    Undecided,
}

impl ProposeFailure {
    /// Builds the failure of a command that was not proposed.
    pub(super) fn not_proposed(reason: impl Into<String>) -> Self {
        Self::NotProposed { reason: reason.into() }
    }
}

impl From<CommandError> for ProposeFailure {
    fn from(error: CommandError) -> Self {
        Self::not_proposed(error.to_string())
    }
}

impl From<CodecError> for ProposeFailure {
    fn from(error: CodecError) -> Self {
        Self::not_proposed(error.to_string())
    }
}

impl From<ProposeFailure> for ClaimError {
    fn from(failure: ProposeFailure) -> Self {
        match failure {
            ProposeFailure::NotProposed { .. } => Self::NotProposed,
            ProposeFailure::Undecided => Self::Undecided,
        }
    }
}
