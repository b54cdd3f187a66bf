//! The reasons settings are refused.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error};

/// What is wrong with the settings.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SettingsProblem {
    /// The file could not be read.
    #[display("cannot be read: {reason}")]
    Unreadable {
        /// What the system said.
        reason: String,
    },
    /// The file is larger than allowed.
    #[display("must have at most {limit} bytes")]
    TooLarge {
        /// The limit, in bytes.
        limit: u64,
    },
    /// The text is not TOML.
    #[display("line {line}: {reason}")]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// What the parser expected.
        reason: String,
    },
    /// The key does not exist.
    #[display("{key}: unknown key; allowed here: {allowed}")]
    UnknownKey {
        /// The full name of the key.
        key: String,
        /// The keys that exist at its place.
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
    /// A file with keys cannot be used; the message never holds a key.
    #[display("{key} = {file:?}: {reason}")]
    BadKeyFile {
        /// The full name of the setting.
        key: String,
        /// The file with keys.
        file: PathBuf,
        /// What is wrong and what is allowed.
        reason: String,
    },
}

/// The reason settings were refused, with the file they came from.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}{problem}", file_prefix(file.as_deref()))]
pub struct SettingsError {
    /// The settings file; `None` for settings built in memory.
    pub file: Option<PathBuf>,
    /// What is wrong.
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

/// Returns how a message starts when the settings came from `file`.
fn file_prefix(file: Option<&Path>) -> String {
    file.map(|file| format!("{}: ", file.display())).unwrap_or_default()
}
