//! Errors of configuration commands.

use std::path::PathBuf;

use derive_more::{Display, Error};
use figglade::{ChangeId, ConfigVersion, controller::fleet::FleetScope};

use crate::client::ClientError;

/// The reason a configuration command failed.
#[derive(Clone, Debug, Display, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[display("{}: cannot read: {reason}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        reason: String,
    },
    /// The file is neither JSON nor TOML.
    #[display("{}: line {line}: not {format}: {reason}", path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The format expected.
        format: &'static str,
        /// The error of the parser.
        reason: String,
    },
    /// A field of the file is refused.
    #[display("{}: {field}: {value} is refused; {allowed}", path.display())]
    Refused {
        /// The file.
        path: PathBuf,
        /// The field.
        field: String,
        /// Its value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// An argument of an exception is refused.
    #[display("{argument}: {value} is refused; {allowed}")]
    BadException {
        /// The argument.
        argument: String,
        /// Its value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// The outcome of a change stayed unknown.
    #[display(
        "the outcome of change {change_id} is not known ({cause}); repeat the command with \
         --change-id {change_id}"
    )]
    Undecided {
        /// The change.
        change_id: ChangeId,
        /// The last failure.
        #[error(source)]
        cause: ClientError,
    },
    /// The change was based on a version that is not the latest.
    #[display(
        "change {change_id} is refused: it started from version {base}, and the latest is {current}; \
         see `figglade config show` and use a new --change-id"
    )]
    Conflict {
        /// The change.
        change_id: ChangeId,
        /// The version it was based on.
        base: ConfigVersion,
        /// The latest version.
        current: ConfigVersion,
    },
    /// Another operator changed the same key in the same scope in the meantime.
    #[display(
        "another operator changed {key} for {scope} in the meantime; see `figglade config show`"
    )]
    ConcurrentChange {
        /// The key.
        key: String,
        /// The scope.
        scope: FleetScope,
    },
    /// The queried instance still has a version older than the one that caused a conflict.
    #[display("version {version} is committed, but the queried instance still has version {seen}")]
    NotPropagated {
        /// The version committed.
        version: ConfigVersion,
        /// The version at the instance.
        seen: ConfigVersion,
    },
    /// Every attempt conflicted with a change by another operator.
    #[display("stopped after {tries} conflicts with concurrent changes")]
    TooManyConflicts {
        /// The number of attempts.
        tries: u32,
    },
    /// The version did not come into force in time.
    #[display("version {version} is not in force at {missing} after {waited_ms} ms")]
    NotInForce {
        /// The version.
        version: ConfigVersion,
        /// The instances without it.
        missing: String,
        /// The time waited, in milliseconds.
        waited_ms: u128,
    },
    /// No instance that keeps the history was reached.
    #[display("no control member was reached; only they keep the history")]
    NoHistory,
}
