//! Calls between an instance and the control group.

use std::net::SocketAddr;

use bytes::Bytes;
use figglade::{
    ConfigVersion, InstanceId,
    controller::{
        fleet::FleetConfig,
        ledger::{LedgerReply, ManifestRevision, ManifestUpdates},
        quorum::{LogIndex, StorageId},
        route_set::RouteDocument,
        share::{ShareGrant, ShareRequest},
    },
};
use serde::{Deserialize, Serialize};

/// What an instance asks of a control member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Proposes an encoded command of the ledger.
    Propose {
        /// The command.
        command: Bytes,
    },
    /// Asks for a proof of being current and for what changed.
    Renew(RenewRequest),
    /// Changes the members of the control group.
    ChangeMember(MemberRequest),
    /// Asks for the route set that a majority confirms to be the newest.
    ReadRoutes,
}

/// What the asking instance already holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The configuration in force.
    pub config_version: ConfigVersion,
    /// The revision of the manifests held.
    pub manifest_revision: ManifestRevision,
    /// Asks for a share of the caps of targets.
    pub share: ShareRequest,
}

/// A change of the control group.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case", deny_unknown_fields)]
pub enum MemberRequest {
    /// Adds an instance that receives the log and does not vote.
    Add {
        /// The instance.
        id: InstanceId,
        /// Where it listens for peers.
        #[serde(with = "address_text")]
        peer: SocketAddr,
        /// Its storage, where known.
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

/// Where the leader may be found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderAddress {
    /// The leader.
    pub id: InstanceId,
    /// Where it listens for peers.
    pub peer: SocketAddr,
}

/// The answer of a control member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlReply {
    /// The command was applied.
    Applied(LedgerReply),
    /// The caller holds the latest state as of its sending.
    Renewed(Box<RenewReply>),
    /// The change of members is in the log.
    MemberChanged {
        /// Where it stands in the log.
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
        /// Why.
        reason: String,
    },
    /// The command entered the log and its fate is open.
    Undecided,
}

/// What changed since the state that the instance holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewReply {
    /// The latest configuration, where the instance holds an older one.
    pub config: Option<FleetConfig>,
    /// The manifests that changed since those the instance holds.
    pub manifests: ManifestUpdates,
    /// Whether more changes wait than one message holds.
    pub has_more: bool,
    /// The lease on a share of the caps of targets.
    pub share: ShareGrant,
}

/// Writes addresses as text. The compact form of a binary codec is lost where a tagged enum is
/// buffered before it is read.
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
