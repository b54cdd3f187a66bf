//! Settings of stand-in targets.

use std::{net::SocketAddr, path::PathBuf};

use derive_more::{Display, Error};
use figglade::{
    Incarnation, TargetId, ZoneName,
    wire::{AnnouncedReplica, LoadReport},
};
use serde::{Deserialize, Serialize};

/// Settings of one stand-in target.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandInSettings {
    /// The name of the target.
    pub target_id: TargetId,
    /// The start of the target; the wall time in milliseconds where none is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Where the target listens; port 0 takes a free one.
    #[serde(default = "default_listen")]
    pub listen: SocketAddr,
    /// Where the control interface listens beside `listen`, outside the connection cap.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control_listen: Option<SocketAddr>,
    /// The address to announce where it differs from the one bound, such as that of a proxy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub announced_address: Option<SocketAddr>,
    /// The availability zone of the target.
    pub availability_zone: ZoneName,
    /// The requests run at a time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// The requests that wait for a slot; more are shed.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// The connections accepted at a time; more are closed at once.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// The time before a new connection is served, in milliseconds.
    #[serde(default)]
    pub connect_cost_ms: u64,
    /// The time spent in the starting state, in milliseconds.
    #[serde(default)]
    pub starting_ms: u64,
    /// The instances announced to, in turn.
    #[serde(default)]
    pub announce_to: Vec<SocketAddr>,
    /// The file with the key for announcements.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_key_file: Option<PathBuf>,
    /// The seed of every random choice.
    #[serde(default)]
    pub seed: u64,
    /// How long a request takes.
    #[serde(default)]
    pub service_time: ServiceTime,
    /// How much slower a new target is.
    #[serde(default)]
    pub cold_start: ColdStart,
    /// The faults switched on from the start.
    #[serde(default)]
    pub faults: StandInFaults,
    /// The replicas held.
    pub replicas: Vec<AnnouncedReplica>,
}

/// Returns a free loopback port.
const fn default_listen() -> SocketAddr {
    SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0))
}

/// Returns the slots of a target of the register portal.
const fn default_slots() -> u32 {
    3
}

/// Returns the default length of the queue.
const fn default_queue() -> u32 {
    16
}

/// Returns the connection cap of a target of the register portal.
const fn default_connections() -> u32 {
    30
}

/// How long a request takes at a stand-in target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// The shape of the distribution.
    pub kind: ServiceKind,
    /// The mean, in microseconds.
    pub mean_us: u64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self { kind: ServiceKind::Fixed, mean_us: 200 }
    }
}

/// The shape of a service time distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Every request takes the mean.
    #[default]
    Fixed,
    /// Exponentially distributed around the mean.
    Exponential,
}

/// How much slower a target is right after its start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdStart {
    /// How long the cold start lasts, in milliseconds.
    pub duration_ms: u64,
    /// The factor on the service time meanwhile.
    pub factor: f64,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self { duration_ms: 0, factor: 1.0 }
    }
}

/// The faults of a stand-in target.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandInFaults {
    /// The factor on the service time of every request.
    pub slow_factor: f64,
    /// The share of requests that are slower still, from 0 to 1.
    pub slow_share: f64,
    /// The factor on the service time of that share.
    pub slow_share_factor: f64,
    /// Takes requests and never answers them.
    pub stall: bool,
    /// Sheds every request with 429.
    pub shed: bool,
    /// The answer of `GET /load`, whatever the load is.
    pub load_lie: Option<LoadReport>,
    /// What is wrong with answers to searches and actions.
    pub answer: AnswerFault,
    /// The share of answers that `answer` and `reset` apply to, from 0 to 1.
    pub answer_share: f64,
    /// Where connections are reset.
    pub reset: ResetPoint,
    /// The share of the documents that a search covers, from 0 to 1.
    pub documents_share: f64,
}

impl Default for StandInFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            slow_share: 0.0,
            slow_share_factor: 20.0,
            stall: false,
            shed: false,
            load_lie: None,
            answer: AnswerFault::None,
            answer_share: 1.0,
            reset: ResetPoint::None,
            documents_share: 1.0,
        }
    }
}

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// Nothing.
    #[default]
    None,
    /// It names another attempt.
    WrongAttempt,
    /// It names another version.
    WrongVersion,
    /// It names another shard.
    WrongShard,
    /// The whole HTTP answer is sent twice.
    Doubled,
    /// Each hit is in the answer twice.
    DoubledHits,
    /// The connection ends after half of the body.
    Truncated,
    /// The body has this many bytes more.
    Oversized {
        /// The padding, in bytes.
        bytes: u64,
    },
    /// The body is not JSON.
    Malformed,
    /// The body comes in pieces with a pause before each.
    Drip {
        /// The size of a piece, in bytes.
        piece_bytes: u32,
        /// The pause, in milliseconds.
        pause_ms: u64,
    },
}

/// Where a connection is reset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetPoint {
    /// Nowhere.
    #[default]
    None,
    /// After the request was read, before it runs.
    BeforeRun,
    /// After the request ran, before the answer.
    AfterRun,
}

/// The stand-in targets of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// The targets.
    pub targets: Vec<StandInSettings>,
}

/// The reason a settings file was refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("settings of stand-in targets: {reason}")]
pub struct SettingsError {
    /// What is wrong, with the place.
    pub reason: String,
}

impl FleetSettings {
    /// Reads either one target at the top level or a list named `targets`.
    ///
    /// # Errors
    ///
    /// Fails when the text is not TOML, a key is unknown or a value is out of range.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let refuse = |error: toml::de::Error| SettingsError { reason: error.to_string() };
        let table: toml::Table = text.parse().map_err(refuse)?;
        let fleet = if table.contains_key("targets") {
            toml::from_str(text).map_err(refuse)?
        } else {
            Self { targets: vec![toml::from_str(text).map_err(refuse)?] }
        };
        fleet.targets.iter().try_for_each(StandInSettings::check)?;
        Ok(fleet)
    }
}

impl StandInSettings {
    /// Creates the settings of a target without replicas, with a default for everything else.
    pub fn new(target_id: TargetId, availability_zone: ZoneName) -> Self {
        Self {
            target_id,
            incarnation: None,
            listen: default_listen(),
            control_listen: None,
            announced_address: None,
            availability_zone,
            slots: default_slots(),
            queue: default_queue(),
            connections: default_connections(),
            connect_cost_ms: 0,
            starting_ms: 0,
            announce_to: Vec::new(),
            target_key_file: None,
            seed: 0,
            service_time: ServiceTime::default(),
            cold_start: ColdStart::default(),
            faults: StandInFaults::default(),
            replicas: Vec::new(),
        }
    }

    /// Checks the ranges that the types do not.
    ///
    /// # Errors
    ///
    /// Fails when a value is out of range and names it.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.slots == 0 {
            return Err(SettingsError { reason: "slots must be at least 1".to_owned() });
        }
        if self.replicas.iter().any(|replica| replica.shard_count == 0) {
            return Err(SettingsError { reason: "shard_count must be at least 1".to_owned() });
        }
        self.faults.check()
    }
}

impl StandInFaults {
    /// Checks that every share and factor is in range.
    ///
    /// # Errors
    ///
    /// Fails when a value is out of range and names it.
    pub fn check(&self) -> Result<(), SettingsError> {
        let shares = [
            ("slow_share", self.slow_share),
            ("answer_share", self.answer_share),
            ("documents_share", self.documents_share),
        ];
        let factors =
            [("slow_factor", self.slow_factor), ("slow_share_factor", self.slow_share_factor)];
        if let Some((name, _)) = shares.iter().find(|(_, share)| !(0.0..=1.0).contains(share)) {
            return Err(SettingsError { reason: format!("{name} must be from 0 to 1") });
        }
        if let Some((name, _)) = factors.iter().find(|(_, f)| !(0.0..=1e6).contains(f)) {
            return Err(SettingsError { reason: format!("{name} must be from 0 to 1000000") });
        }
        Ok(())
    }
}
