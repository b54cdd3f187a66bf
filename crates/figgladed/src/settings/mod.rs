//! Settings of one instance, read from a TOML file.

mod check;
mod error;
mod keys;
mod parse;

use std::{net::SocketAddr, path::PathBuf};

use derive_more::{Display, FromStr};
use figglade::{InstanceId, ZoneName};
use serde::Deserialize;

pub use self::{
    check::MAX_CONTROL_MEMBERS,
    error::{SettingsError, SettingsProblem},
    keys::{KeySet, LoadedKeys, MAX_KEY_BYTES, MAX_KEYS_PER_FILE, MIN_KEY_BYTES},
    parse::MAX_SETTINGS_BYTES,
};

/// The part a holder of a key plays.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Role {
    /// Sends searches, lookups and actions.
    Caller,
    /// Announces itself and answers instances.
    Target,
    /// Changes the configuration and reads the state.
    Operator,
    /// Another instance.
    Peer,
}

impl Role {
    /// Every role.
    pub const ALL: [Self; 4] = [Self::Caller, Self::Target, Self::Operator, Self::Peer];
}

/// Settings of one instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Who the instance is.
    pub instance: IdentitySettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// How it finds other instances.
    #[serde(default)]
    pub peers: PeerSettings,
    /// The first control group.
    #[serde(default)]
    pub control: ControlSettings,
    /// The files with keys, one for each role.
    #[serde(default)]
    pub keys: KeySettings,
    /// How it logs.
    #[serde(default)]
    pub log: LogSettings,
    /// What it may use at most.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Who the instance is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdentitySettings {
    /// The name of the instance.
    pub id: InstanceId,
    /// The availability zone it runs in.
    pub availability_zone: ZoneName,
    /// The data folder; required for a control member.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
}

/// Where the instance listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers, targets and operators.
    pub http: SocketAddr,
    /// Other instances.
    pub peer: SocketAddr,
    /// Where other instances connect to, when it is not `peer` itself.
    #[serde(default)]
    pub advertise_peer: Option<SocketAddr>,
}

/// How the instance finds others.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// The peer addresses tried first.
    pub seeds: Vec<SocketAddr>,
}

/// The first control group; the same list on every instance.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// The members.
    pub members: Vec<ControlMember>,
}

/// One member of the first control group.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlMember {
    /// The instance.
    pub id: InstanceId,
    /// Where it listens for peers.
    pub peer: SocketAddr,
}

/// The files with keys; a role without a file is open on loopback only.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeySettings {
    /// The keys of callers.
    pub caller: Option<PathBuf>,
    /// The keys of targets.
    pub target: Option<PathBuf>,
    /// The keys of operators.
    pub operator: Option<PathBuf>,
    /// The keys of other instances.
    pub peer: Option<PathBuf>,
}

impl KeySettings {
    /// Returns the file with the keys of `role`.
    pub fn file_of(&self, role: Role) -> Option<&PathBuf> {
        match role {
            Role::Caller => self.caller.as_ref(),
            Role::Target => self.target.as_ref(),
            Role::Operator => self.operator.as_ref(),
            Role::Peer => self.peer.as_ref(),
        }
    }
}

/// How the instance logs.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The format of the lines.
    pub format: LogFormat,
    /// The least severe level written.
    pub level: LogLevel,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Json, level: LogLevel::Info }
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Plain text.
    Text,
}

/// The severity of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that need a person.
    Error,
    /// Conditions that may need a person.
    Warn,
    /// The normal course.
    Info,
    /// Details for developers.
    Debug,
}

/// What the instance may use at most.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// The largest body of a target's answer, in bytes.
    pub max_answer_bytes: usize,
    /// The threads that run requests.
    pub worker_threads: usize,
    /// The events of the time line held in memory.
    pub timeline_events: usize,
    /// The size at which a file of the time line is rotated, in bytes; two files are kept.
    pub timeline_file_bytes: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_answer_bytes: 4 << 20,
            worker_threads: 4,
            timeline_events: 4_096,
            timeline_file_bytes: 4 << 20,
        }
    }
}
