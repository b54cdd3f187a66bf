//! Settings of one instance, read from a TOML file.

mod check;
mod error;
mod keys;
mod parse;

use std::{net::SocketAddr, path::PathBuf};

use derive_more::{Display, FromStr};
use figglade::{FileLimit, InstanceId, MemorySize, ZoneName};
use rustix::process::{Resource, getrlimit};
use serde::Deserialize;

use crate::api::FrontLimits;

pub use self::{
    check::MAX_CONTROL_MEMBERS,
    error::{SettingsError, SettingsProblem},
    keys::{KeySet, LoadedKeys, MAX_KEY_BYTES, MAX_KEYS_PER_FILE, MIN_KEY_BYTES},
    parse::MAX_SETTINGS_BYTES,
};

/// The role that a key authorizes.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Role {
    /// Sends queries, lookups and actions.
    Caller,
    /// Announces itself and answers requests of instances.
    Target,
    /// Changes the configuration and reads the state of the fleet.
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
    /// The identity of the instance.
    pub instance: IdentitySettings,
    /// The addresses it listens on.
    pub listen: ListenSettings,
    /// The addresses for discovery of other instances.
    #[serde(default)]
    pub peers: PeerSettings,
    /// The initial control group.
    #[serde(default)]
    pub control: ControlSettings,
    /// The key files, at most one for each role.
    #[serde(default)]
    pub keys: KeySettings,
    /// The format and level of log lines.
    #[serde(default)]
    pub log: LogSettings,
    /// The resource limits.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// The identity of an instance.
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

/// The addresses that the instance listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// The address for callers, targets and operators.
    pub http: SocketAddr,
    /// The address for other instances.
    pub peer: SocketAddr,
    /// The address that other instances connect to, if it is not `peer`.
    #[serde(default)]
    pub advertise_peer: Option<SocketAddr>,
}

/// The discovery of other instances.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// The peer addresses contacted first.
    pub seeds: Vec<SocketAddr>,
}

/// The initial control group; every instance has the same list.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// The members.
    pub members: Vec<ControlMember>,
}

/// One member of the initial control group.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlMember {
    /// The id of the instance.
    pub id: InstanceId,
    /// Its peer address.
    pub peer: SocketAddr,
}

/// The key files. A role without one needs no key, and its listener must be bound to loopback.
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
    /// Returns the key file of `role`.
    pub fn file_of(&self, role: Role) -> Option<&PathBuf> {
        match role {
            Role::Caller => self.caller.as_ref(),
            Role::Target => self.target.as_ref(),
            Role::Operator => self.operator.as_ref(),
            Role::Peer => self.peer.as_ref(),
        }
    }
}

/// The format and level of log lines.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The format.
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
    /// Failures that need an operator.
    Error,
    /// Conditions that may need an operator.
    Warn,
    /// Normal operation.
    Info,
    /// Details for developers.
    Debug,
}

/// The resource limits of the instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum length of the body of a target's answer, in bytes.
    pub max_answer_bytes: usize,
    /// The memory that the process may use, in MiB; bounds what is held for callers, targets and operators.
    pub memory_mb: u64,
    /// The number of file descriptors that the process may have open; the soft limit of the process if
    /// absent.
    pub max_files: Option<u32>,
    /// The number of threads that run requests.
    pub worker_threads: usize,
    /// The maximum number of time line events in memory.
    pub timeline_events: usize,
    /// The size at which a file of the time line is rotated, in bytes; two files are kept.
    pub timeline_file_bytes: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_answer_bytes: 4 << 20,
            memory_mb: 512,
            max_files: None,
            worker_threads: 4,
            timeline_events: 4_096,
            timeline_file_bytes: 4 << 20,
        }
    }
}

impl LimitSettings {
    /// Returns the bounds on what the HTTP interface holds.
    pub fn front_limits(&self) -> FrontLimits {
        let files = self.max_files.unwrap_or_else(soft_file_limit);
        let memory = MemorySize::new(self.memory_mb << 20);
        FrontLimits::new(memory, FileLimit::new(files), self.max_body_bytes)
    }
}

/// Returns how many descriptors the operating system allows the process.
fn soft_file_limit() -> u32 {
    let limit = getrlimit(Resource::Nofile).current;
    limit.and_then(|files| u32::try_from(files).ok()).unwrap_or(u32::MAX)
}
