//! Errors of commands.

use std::path::PathBuf;

use derive_more::{Display, Error, From};

use crate::{
    EXIT_FAILED, EXIT_USAGE, client::ClientError, config::ConfigError, control::ControlError,
    try_tier::TryError,
};

/// The reason a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// `figglade try` failed.
    #[display("try: {_0}")]
    Try(TryError),
    /// The tier refused or could not be reached.
    Client(ClientError),
    /// A configuration command failed.
    Config(ConfigError),
    /// A change of the control group failed.
    Control(ControlError),
    /// A file could not be written.
    #[display("{}: cannot write: {reason}", path.display())]
    #[from(ignore)]
    Write {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        reason: String,
    },
    /// A file could not be read.
    #[display("{}: cannot read: {reason}", path.display())]
    #[from(ignore)]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        reason: String,
    },
    /// An argument has a value that is not allowed.
    #[display("{name}: {value} is refused; {allowed}")]
    #[from(ignore)]
    Usage {
        /// The argument.
        name: &'static str,
        /// Its value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// The outcome of the action is not `done`.
    #[display("action {request}: {outcome}: {reason}")]
    #[from(ignore)]
    NotDone {
        /// The request.
        request: figglade::RequestId,
        /// Its outcome.
        outcome: figglade::wire::ActionOutcome,
        /// Why.
        reason: String,
    },
    /// No instance returned its events.
    #[display("no instance returned its events: {reason}")]
    #[from(ignore)]
    NoEvents {
        /// The instances tried and their errors.
        reason: String,
    },
}

impl CliError {
    /// Returns the exit code of the process.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => EXIT_USAGE,
            _ => EXIT_FAILED,
        }
    }
}
