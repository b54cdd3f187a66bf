//! Answers of the operator interface.
//!
//! Unknown fields are ignored, so that the command works with instances of adjacent releases.

use std::{collections::BTreeMap, net::SocketAddr};

use figglade::{
    ConfigVersion, IndexName, InstanceId, ShardId, TargetId, ZoneName,
    controller::{
        event::EventRecord,
        fleet::FleetException,
        ledger::ConfigChange,
        membership::MemberState,
        quorum::{LogIndex, MemberRole, QuorumRole, StorageId, Term},
    },
    wire::{AnnouncedReplica, TargetState},
};
use serde::Deserialize;
use serde_json::{Map, Value};

/// The answer to `GET config`.
#[derive(Clone, Debug, Deserialize)]
pub struct ConfigReply {
    /// The version in force.
    pub version: ConfigVersion,
    /// The defaults of the fleet.
    pub defaults: Map<String, Value>,
    /// The exceptions.
    pub exceptions: Vec<FleetException>,
    /// Whether the instance can prove that this is the latest.
    pub current: bool,
    /// The latest changes, oldest first; only at control members.
    #[serde(default)]
    pub history: Option<Vec<ConfigChange>>,
}

/// The answer to `PUT config`.
#[derive(Clone, Debug, Deserialize)]
pub struct CommitReply {
    /// The committed version.
    pub version: ConfigVersion,
    /// The live instances that have it in force.
    pub in_force: u64,
    /// The live instances.
    pub instances: u64,
}

/// The answer to `GET members`.
#[derive(Clone, Debug, Deserialize)]
pub struct MembersReply {
    /// The known instances.
    pub members: Vec<MemberRow>,
    /// The quorum log; only at control members.
    #[serde(default)]
    pub control: Option<QuorumView>,
}

impl MembersReply {
    /// Returns the instances that count as part of the fleet.
    pub fn live(&self) -> impl Iterator<Item = &MemberRow> {
        self.members.iter().filter(|member| member.state.is_live())
    }

    /// Returns the instance with this id.
    pub fn find(&self, id: &InstanceId) -> Option<&MemberRow> {
        self.members.iter().find(|member| member.id == *id)
    }
}

/// One instance.
#[derive(Clone, Debug, Deserialize)]
pub struct MemberRow {
    /// The instance.
    pub id: InstanceId,
    /// Its state as the queried instance sees it.
    pub state: MemberState,
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// Where it listens for callers, targets and operators.
    pub http: SocketAddr,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// The configuration in force there.
    pub config_version: ConfigVersion,
    /// Whether it takes requests.
    pub ready: bool,
}

/// The quorum log as one control member sees it.
#[derive(Clone, Debug, Deserialize)]
pub struct QuorumView {
    /// The role of the member.
    pub role: QuorumRole,
    /// Its term.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<InstanceId>,
    /// The last index it knows to be committed.
    pub commit: LogIndex,
    /// The members of the group.
    pub members: BTreeMap<InstanceId, GroupMember>,
    /// The last index up to which each other member's log matches; only at the leader.
    #[serde(default)]
    pub progress: BTreeMap<InstanceId, LogIndex>,
    /// The members whose storage differs from the recorded one; only at the leader.
    #[serde(default)]
    pub replaced_storage: Vec<InstanceId>,
    /// The member change that is not committed yet.
    #[serde(default)]
    pub pending_change: Option<LogIndex>,
    /// Whether the group has recorded another storage for this instance.
    #[serde(default)]
    pub is_forgotten: bool,
    /// Whether the group has yet to elect its first leader.
    #[serde(default)]
    pub is_bootstrapping: bool,
}

/// One member of the control group.
#[derive(Clone, Debug, Deserialize)]
pub struct GroupMember {
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// The storage it was added with.
    #[serde(default)]
    pub storage: Option<StorageId>,
    /// Whether it votes or only receives the log.
    pub role: MemberRole,
}

/// The answer to `GET targets`.
#[derive(Clone, Debug, Deserialize)]
pub struct TargetsReply {
    /// The known targets.
    pub targets: Vec<TargetRow>,
}

/// One target.
#[derive(Clone, Debug, Deserialize)]
pub struct TargetRow {
    /// The target.
    pub target_id: TargetId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Its state.
    pub state: TargetState,
    /// The number of requests it runs at a time.
    pub slots: u32,
    /// The number of connections it accepts.
    pub connections: u32,
    /// The replicas it serves.
    pub replicas: Vec<AnnouncedReplica>,
}

/// The answer to `GET status`.
#[derive(Clone, Debug, Deserialize)]
pub struct StatusReply {
    /// The instance asked.
    pub instance: InstanceId,
    /// Whether it takes requests.
    pub ready: bool,
    /// Why it does not take requests.
    #[serde(default)]
    pub unready_reason: Option<String>,
    /// The configuration.
    pub config: ConfigStatus,
    /// The known indexes.
    pub indexes: Vec<IndexStatus>,
    /// The number of targets by state.
    pub targets: BTreeMap<String, u32>,
    /// The control member; only if the instance is one.
    #[serde(default)]
    pub control: Option<ControlStatus>,
}

/// How many instances have the configuration in force.
#[derive(Clone, Debug, Deserialize)]
pub struct ConfigStatus {
    /// The version at the instance asked.
    pub version: ConfigVersion,
    /// The age of the last proof that it is the latest, in milliseconds.
    #[serde(default)]
    pub proof_age_ms: Option<u64>,
    /// The live instances that have it in force.
    pub in_force: u64,
    /// The live instances.
    pub instances: u64,
}

/// One index.
#[derive(Clone, Debug, Deserialize)]
pub struct IndexStatus {
    /// The index.
    pub index: IndexName,
    /// Whether every shard of the newest usable snapshot has a live replica.
    pub covered: bool,
    /// The version that searches are pinned to.
    #[serde(default)]
    pub version: Option<figglade::IndexVersion>,
    /// The number of its shards.
    #[serde(default)]
    pub shards: Option<u32>,
    /// The shards without a live replica.
    #[serde(default)]
    pub uncovered_shards: Vec<ShardId>,
}

/// The control member of the instance asked.
#[derive(Clone, Debug, Deserialize)]
pub struct ControlStatus {
    /// The quorum log.
    #[serde(default)]
    pub quorum: Option<QuorumView>,
    /// The number of claims held.
    #[serde(default)]
    pub claims: u64,
    /// Why the member stopped participating in the group.
    #[serde(default)]
    pub failure: Option<String>,
}

/// The answer to `GET events`.
#[derive(Clone, Debug, Deserialize)]
pub struct EventsReply {
    /// The instance.
    pub instance: InstanceId,
    /// The events, oldest first.
    pub events: Vec<EventRecord>,
    /// Whether older events were left out.
    #[serde(default)]
    pub truncated: bool,
}
