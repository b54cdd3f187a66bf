//! What hubs and their followers say to each other.

use std::net::SocketAddr;

use figglade::{
    CoreShare, InstanceId, ZoneName,
    controller::{
        aggregators::{AggregatorAddress, ZoneMembers},
        group_keeper::JoinRequest,
        hub_chooser::HubAddress,
        route_set::{RouteDocument, RouteSetVersion},
        service_directory::TargetRecord,
    },
    peer::{CodecError, FrameKind, PeerFrame, encode_compact},
};
use serde::{Deserialize, Serialize};

/// A message of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HubMessage {
    /// A follower asks for news.
    Subscribe(SubscribeRequest),
    /// A hub says how it stands.
    #[serde(rename = "Standing")]
    Status(HubStatus),
    /// Records of targets.
    Records(Vec<TargetRecord>),
    /// A committed route set.
    Routes(RouteDocument),
    /// A hub greets another.
    Greeting(Box<HubGreeting>),
}

/// What a follower holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscribeRequest {
    /// The digest of its targets.
    pub digest: u64,
    /// The version of its route set.
    pub routes: Option<RouteSetVersion>,
    /// Whether it has just turned to this hub, so that differences are not news on their way.
    pub is_new: bool,
    /// Whether it only wants to know how the hub stands, and a newer route set.
    pub is_probe: bool,
    /// Its availability zone.
    #[serde(default)]
    pub zone: Option<ZoneName>,
    /// The processor time that it has.
    #[serde(default)]
    pub cores: CoreShare,
    /// The digest of the aggregators that it knows.
    #[serde(default)]
    pub aggregators: u64,
}

/// How a hub stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubStatus {
    /// Whether the control group is in reach of it.
    pub is_current: bool,
    /// Whether it knows the targets: not right after its start.
    pub is_synced: bool,
    /// The digest of its targets.
    pub digest: u64,
    /// All hubs that it knows, now and then.
    pub hubs: Vec<HubAddress>,
    /// The instances that follow any hub.
    pub followers: u32,
    /// The aggregators, where the follower knows others.
    #[serde(default)]
    pub aggregators: Vec<AggregatorAddress>,
}

/// What a hub tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubGreeting {
    /// The hub.
    pub id: InstanceId,
    /// Where targets and operators reach it.
    pub admin: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its wish to be a member of the control group; `None` without a disk.
    pub join: Option<JoinRequest>,
    /// Whether it has a disk. A disk that cannot be used makes no wish to join.
    pub has_disk: bool,
    /// The instances that follow it.
    pub followers: u32,
    /// The digest of its targets.
    pub digest: u64,
    /// The version of its route set.
    pub routes: Option<RouteSetVersion>,
    /// Whether it knows the targets.
    pub is_synced: bool,
    /// Whether the control group is in reach of it.
    pub is_current: bool,
    /// The other hubs that it heard from lately.
    pub hubs: Vec<SocketAddr>,
    /// The instances that follow it, by zone.
    #[serde(default)]
    pub members: Vec<ZoneMembers>,
}

impl HubMessage {
    /// Encodes the message for a link.
    ///
    /// # Errors
    ///
    /// Fails when the codec refuses a value.
    pub fn into_frame(self) -> Result<PeerFrame, CodecError> {
        let payload = encode_compact(&self)?;
        Ok(PeerFrame { kind: FrameKind::Registry, payload })
    }
}
