//! The messages between hubs and their followers.

use std::net::SocketAddr;

use figglade::{
    CoreShare, InstanceId, Timestamp, ZoneName,
    controller::{
        aggregators::{AggregatorAddress, ZoneMembers},
        evacuation::{EvacuationRevision, EvacuationSet},
        group_keeper::JoinRequest,
        hub_chooser::HubAddress,
        route_set::{RouteDocument, RouteSetVersion},
        service_directory::TargetRecord,
    },
    peer::{CodecError, FrameKind, PeerFrame, encode_compact, encode_payload},
};
use serde::{Deserialize, Serialize};

/// A message between hubs, or between a hub and a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HubMessage {
    /// A follower polls a hub for updates.
    Subscribe(SubscribeRequest),
    /// A hub answers a poll with its status.
    #[serde(rename = "Standing")]
    Status(HubStatus),
    /// Records of targets.
    Records(Vec<TargetRecord>),
    /// A committed route set.
    Routes(RouteDocument),
    /// A hub reports its state to another hub, periodically.
    Greeting(Box<HubGreeting>),
    /// The committed set of evacuated zones.
    Evacuations(EvacuationSet),
}

/// The poll of a follower, with the state that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubscribeRequest {
    /// The digest of its targets.
    pub digest: u64,
    /// The version of its route set.
    pub routes: Option<RouteSetVersion>,
    /// Whether the follower has just switched to this hub. A digest mismatch is then not caused by
    /// updates in transit.
    pub is_new: bool,
    /// Whether the sender only requests the hub's status and a newer route set, but does not follow
    /// the hub.
    pub is_probe: bool,
    /// Its availability zone.
    #[serde(default)]
    pub zone: Option<ZoneName>,
    /// The processor time available to it.
    #[serde(default)]
    pub cores: CoreShare,
    /// The digest of the aggregators known to it.
    #[serde(default)]
    pub aggregators: u64,
    /// When the poll was sent, on the clock of the sender.
    #[serde(default)]
    pub sent_at: Timestamp,
    /// The revision of its evacuated zones.
    #[serde(default)]
    pub evacuations: EvacuationRevision,
    /// The number of the poll, which the answer repeats.
    #[serde(default)]
    pub poll: u64,
}

/// The status of a hub.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubStatus {
    /// Whether it can reach the control group.
    pub is_current: bool,
    /// Whether it knows the targets; false directly after its start.
    pub is_synced: bool,
    /// The digest of its targets.
    pub digest: u64,
    /// All hubs known to it; left empty in most answers.
    pub hubs: Vec<HubAddress>,
    /// The number of instances that follow any hub.
    pub followers: u32,
    /// The aggregators; empty if the follower's digest of them matches.
    #[serde(default)]
    pub aggregators: Vec<AggregatorAddress>,
    /// The newest route set that it knows.
    #[serde(default)]
    pub routes: Option<RouteSetVersion>,
    /// When the poll that this answers was sent; `None` from earlier releases.
    #[serde(default)]
    pub poll_sent_at: Option<Timestamp>,
    /// The revision of the evacuated zones known to it.
    #[serde(default)]
    pub evacuations: EvacuationRevision,
    /// Whether it has not read the evacuated zones since its start; its revision then proves nothing.
    #[serde(default)]
    pub is_unconfirmed: bool,
    /// The number of the poll that this answers.
    #[serde(default)]
    pub poll: u64,
}

/// The state that a hub reports to the other hubs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubGreeting {
    /// The hub.
    pub id: InstanceId,
    /// The address on which it serves targets and operators.
    pub admin: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its request to join the control group; `None` without a usable disk.
    pub join: Option<JoinRequest>,
    /// Whether it has a disk. A hub whose disk cannot be used still sets this, but sends no join
    /// request.
    pub has_disk: bool,
    /// The number of instances that follow it.
    pub followers: u32,
    /// The digest of its targets.
    pub digest: u64,
    /// The version of its route set.
    pub routes: Option<RouteSetVersion>,
    /// Whether it knows the targets.
    pub is_synced: bool,
    /// Whether it can reach the control group.
    pub is_current: bool,
    /// The other hubs that it can reach.
    pub hubs: Vec<SocketAddr>,
    /// The instances that follow it, by zone.
    #[serde(default)]
    pub members: Vec<ZoneMembers>,
    /// The revision of its evacuated zones.
    #[serde(default)]
    pub evacuations: EvacuationRevision,
    /// Whether it has not read the evacuated zones since its start.
    #[serde(default)]
    pub is_unconfirmed: bool,
}

impl HubMessage {
    /// Encodes the message as a frame of a peer link.
    ///
    /// # Errors
    ///
    /// Fails when the message cannot be encoded.
    pub fn into_frame(self) -> Result<PeerFrame, CodecError> {
        let payload = match &self {
            // Earlier releases know fewer fields of these.
            Self::Subscribe(_) | Self::Status(_) | Self::Greeting(_) => encode_payload(&self)?,
            Self::Records(_) | Self::Routes(_) | Self::Evacuations(_) => encode_compact(&self)?,
        };
        Ok(PeerFrame { kind: FrameKind::Registry, payload })
    }
}
