//! Requests of instances to the control group, and the replies.

use std::net::SocketAddr;

use bytes::Bytes;
use figglade::{
    ConfigVersion, InstanceId,
    controller::{
        evacuation::EvacuationSet,
        fleet::FleetConfig,
        ledger::{LedgerReply, ManifestRevision, ManifestUpdates},
        quorum::{LogIndex, StorageId},
        route_set::RouteDocument,
        share::{ShareGrant, ShareRequest},
    },
};
use serde::{Deserialize, Serialize};

/// A request of an instance to a control member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Proposes an encoded command of the ledger.
    Propose {
        /// The command.
        command: Bytes,
    },
    /// Asks for a proof that the instance is current and for the changes since its state.
    Renew(RenewRequest),
    /// Changes the members of the control group.
    ChangeMember(MemberRequest),
    /// Asks for the route set that a majority confirms to be the newest.
    ReadRoutes,
    /// Asks for the evacuated zones that a majority confirms to be in force.
    ReadEvacuations,
}

/// The state that the requesting instance already holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The version of the configuration in force.
    pub config_version: ConfigVersion,
    /// The revision of the manifests held.
    pub manifest_revision: ManifestRevision,
    /// The request for a share of the targets' connection caps.
    pub share: ShareRequest,
}

/// A change of the control group.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case", deny_unknown_fields)]
pub enum MemberRequest {
    /// Adds an instance as a learner, which receives the log and does not vote.
    Add {
        /// The instance.
        id: InstanceId,
        /// Where it listens for peers.
        #[serde(with = "address_text")]
        peer: SocketAddr,
        /// Its storage identity, if known.
        #[serde(default)]
        storage: Option<StorageId>,
    },
    /// Makes an added instance a voter once it has caught up.
    Promote {
        /// The instance.
        id: InstanceId,
    },
    /// Removes an instance.
    Remove {
        /// The instance.
        id: InstanceId,
    },
}

/// The member that is expected to lead and its address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderAddress {
    /// The leader.
    pub id: InstanceId,
    /// Where it listens for peers.
    pub peer: SocketAddr,
}

/// The reply of a control member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlReply {
    /// The command was applied.
    Applied(LedgerReply),
    /// With these changes the caller holds the latest state as of the time it sent the request.
    Renewed(Box<RenewReply>),
    /// The member change was appended to the log.
    MemberChanged {
        /// The index of its log entry.
        index: LogIndex,
    },
    /// The newest route set.
    Routes(Option<RouteDocument>),
    /// This member does not lead; nothing entered the log.
    NotLeader {
        /// The leader, if known.
        leader: Option<LeaderAddress>,
    },
    /// The request was refused; nothing entered the log.
    Refused {
        /// The reason of the refusal.
        reason: String,
    },
    /// The command may have entered the log, and whether it will be committed is unknown.
    Undecided,
    /// The evacuated zones.
    Evacuations(EvacuationSet),
}

/// What changed since the state that the instance holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewReply {
    /// The latest configuration, if the instance holds an older one.
    pub config: Option<FleetConfig>,
    /// The manifests that changed since those the instance holds.
    pub manifests: ManifestUpdates,
    /// Whether there are more changes than fit into one message.
    pub has_more: bool,
    /// The lease on a share of the targets' connection caps.
    pub share: ShareGrant,
}

/// Serializes addresses as text. Serde buffers an internally tagged enum before it deserializes the
/// variant, and the compact form that binary codecs use for addresses cannot be read back from that
/// buffer.
mod address_text {
    use std::net::SocketAddr;

    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(
        address: &SocketAddr,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(address)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<SocketAddr, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(Error::custom)
    }
}
