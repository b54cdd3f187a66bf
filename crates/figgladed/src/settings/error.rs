//! Errors of reading and validating settings.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error};

/// A problem in the settings.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SettingsProblem {
    /// The file could not be read.
    #[display("cannot be read: {reason}")]
    Unreadable {
        /// The I/O error.
        reason: String,
    },
    /// The file exceeds the size limit.
    #[display("must have at most {limit} bytes")]
    TooLarge {
        /// The limit, in bytes.
        limit: u64,
    },
    /// The text is not TOML.
    #[display("line {line}: {reason}")]
    Syntax {
        /// The line number, starting at 1.
        line: usize,
        /// The message of the parser.
        reason: String,
    },
    /// The key does not exist.
    #[display("{key}: unknown key; allowed here: {allowed}")]
    UnknownKey {
        /// The full name of the key.
        key: String,
        /// The known keys of its table.
        allowed: String,
    },
    /// A required key is missing.
    #[display("{key}: missing; expected {allowed}")]
    MissingKey {
        /// The full name of the key.
        key: String,
        /// The allowed values.
        allowed: String,
    },
    /// The value of a key is not allowed.
    #[display("{key} = {value}: expected {allowed}")]
    BadValue {
        /// The full name of the key.
        key: String,
        /// The value found, as TOML.
        value: String,
        /// The allowed values.
        allowed: String,
    },
    /// A key file cannot be used; the message never contains a key.
    #[display("{key} = {file:?}: {reason}")]
    BadKeyFile {
        /// The full name of the setting.
        key: String,
        /// The key file.
        file: PathBuf,
        /// The problem and the allowed values.
        reason: String,
    },
}

/// A problem in the settings with the file they were read from.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}{problem}", file_prefix(file.as_deref()))]
pub struct SettingsError {
    /// The settings file; `None` for settings built in memory.
    pub file: Option<PathBuf>,
    /// The problem.
    #[error(not(source))]
    pub problem: SettingsProblem,
}

impl SettingsError {
    /// Builds the error for settings read from `file`.
    pub fn in_file(file: &Path, problem: SettingsProblem) -> Self {
        Self { file: Some(file.to_path_buf()), problem }
    }
}

impl From<SettingsProblem> for SettingsError {
    fn from(problem: SettingsProblem) -> Self {
        Self { file: None, problem }
    }
}

/// Returns the prefix of a message about settings read from `file`.
fn file_prefix(file: Option<&Path>) -> String {
    file.map(|file| format!("{}: ", file.display())).unwrap_or_default()
}
