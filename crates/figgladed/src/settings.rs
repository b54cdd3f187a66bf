//! Settings of one instance, read from a TOML file.

use std::{net::SocketAddr, path::PathBuf};

use figglade::{InstanceId, ZoneName};
use serde::Deserialize;

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
