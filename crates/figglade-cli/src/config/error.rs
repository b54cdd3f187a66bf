//! The reasons a configuration command fails.

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
        /// What the system said.
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
        /// What the parser said.
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
    /// The outcome of a change stayed open.
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
    /// The change started from a version that is not the latest.
    #[display(
        "change {change_id} is refused: it started from version {base}, and the latest is {current}; \
         look at `figglade config show` and take a new --change-id"
    )]
    Conflict {
        /// The change.
        change_id: ChangeId,
        /// The version it started from.
        base: ConfigVersion,
        /// The latest version.
        current: ConfigVersion,
    },
    /// Another operator changed what the exception replaces.
    #[display(
        "another operator changed {key} for {scope} meanwhile; look at `figglade config show`"
    )]
    Overtaken {
        /// The key.
        key: String,
        /// The scope.
        scope: FleetScope,
    },
    /// The instance asked lags behind the version that caused a conflict.
    #[display("version {version} was committed meanwhile, and the instance asked still has {seen}")]
    NotSpread {
        /// The version committed.
        version: ConfigVersion,
        /// The version at the instance.
        seen: ConfigVersion,
    },
    /// Other operators were always faster.
    #[display("gave up after {tries} conflicts with other changes")]
    TooManyConflicts {
        /// The tries.
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
    /// No instance with a history was reached.
    #[display("no control member was reached; only they keep the history")]
    NoHistory,
}
