//! The compact form of announcements that instances exchange, with short field names.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

use crate::{
    Incarnation, IndexName, PartitionEpoch, ShardId, TargetId, ZoneName,
    wire::{AnnouncedReplica, Announcement, HeldVersion, TargetState},
};

/// The approximate size of an announcement without its names and replicas.
const ANNOUNCEMENT_OVERHEAD_BYTES: usize = 72;

/// The approximate size of a replica without its names and versions.
const REPLICA_OVERHEAD_BYTES: usize = 24;

/// The approximate size of a held version.
const VERSION_BYTES: usize = 14;

/// An announcement with short field names.
#[derive(Serialize, Deserialize)]
struct CompactAnnouncement {
    #[serde(rename = "t")]
    target_id: TargetId,
    #[serde(rename = "n")]
    incarnation: Incarnation,
    #[serde(rename = "a")]
    address: SocketAddr,
    #[serde(rename = "z")]
    availability_zone: ZoneName,
    #[serde(rename = "s")]
    slots: u32,
    #[serde(rename = "c")]
    connections: u32,
    #[serde(rename = "e")]
    state: TargetState,
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    sequence: Option<u64>,
    #[serde(rename = "r")]
    replicas: Vec<CompactReplica>,
}

/// A replica with short field names.
#[derive(Serialize, Deserialize)]
struct CompactReplica {
    #[serde(rename = "i")]
    index: IndexName,
    #[serde(rename = "s")]
    shard: ShardId,
    #[serde(rename = "c")]
    shard_count: u32,
    #[serde(rename = "e")]
    partition_epoch: PartitionEpoch,
    #[serde(rename = "v")]
    versions: Vec<CompactVersion>,
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    key_ranges: Option<Value>,
}

/// A held version with short field names.
#[derive(Serialize, Deserialize)]
struct CompactVersion {
    #[serde(rename = "v")]
    version: crate::IndexVersion,
    #[serde(rename = "d")]
    documents: u64,
}

impl From<&Announcement> for CompactAnnouncement {
    fn from(announcement: &Announcement) -> Self {
        Self {
            target_id: announcement.target_id.clone(),
            incarnation: announcement.incarnation,
            address: announcement.address,
            availability_zone: announcement.availability_zone.clone(),
            slots: announcement.slots,
            connections: announcement.connections,
            state: announcement.state,
            sequence: announcement.sequence,
            replicas: announcement.replicas.iter().map(CompactReplica::from).collect(),
        }
    }
}

impl From<CompactAnnouncement> for Announcement {
    fn from(compact: CompactAnnouncement) -> Self {
        Self {
            target_id: compact.target_id,
            incarnation: compact.incarnation,
            address: compact.address,
            availability_zone: compact.availability_zone,
            slots: compact.slots,
            connections: compact.connections,
            state: compact.state,
            sequence: compact.sequence,
            replicas: compact.replicas.into_iter().map(AnnouncedReplica::from).collect(),
        }
    }
}

impl From<&AnnouncedReplica> for CompactReplica {
    fn from(replica: &AnnouncedReplica) -> Self {
        let compact_version = |held: &HeldVersion| CompactVersion {
            version: held.version,
            documents: held.documents,
        };
        Self {
            index: replica.index.clone(),
            shard: replica.shard,
            shard_count: replica.shard_count,
            partition_epoch: replica.partition_epoch,
            versions: replica.versions.iter().map(compact_version).collect(),
            key_ranges: replica.key_ranges.clone(),
        }
    }
}

impl From<CompactReplica> for AnnouncedReplica {
    fn from(compact: CompactReplica) -> Self {
        let held_version =
            |held: CompactVersion| HeldVersion { version: held.version, documents: held.documents };
        Self {
            index: compact.index,
            shard: compact.shard,
            shard_count: compact.shard_count,
            partition_epoch: compact.partition_epoch,
            versions: compact.versions.into_iter().map(held_version).collect(),
            key_ranges: compact.key_ranges,
        }
    }
}

/// Returns the approximate encoded size of an announcement in a message.
pub fn encoded_bytes(announcement: &Announcement) -> usize {
    let replicas: usize = announcement.replicas.iter().map(replica_bytes).sum();
    let names =
        announcement.target_id.as_str().len() + announcement.availability_zone.as_str().len();
    ANNOUNCEMENT_OVERHEAD_BYTES + names + replicas
}

/// Returns the approximate encoded size of a replica in a message.
fn replica_bytes(replica: &AnnouncedReplica) -> usize {
    let key_ranges = replica.key_ranges.as_ref().map_or(0, |ranges| ranges.to_string().len());
    let versions = replica.versions.len() * VERSION_BYTES;
    REPLICA_OVERHEAD_BYTES + replica.index.as_str().len() + versions + key_ranges
}

/// Serializes an announcement in its compact form.
///
/// # Errors
///
/// Fails when the serializer does.
pub fn serialize<S: Serializer>(
    announcement: &Arc<Announcement>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    CompactAnnouncement::from(announcement.as_ref()).serialize(serializer)
}

/// Deserializes an announcement from its compact form.
///
/// # Errors
///
/// Fails when the deserializer does.
pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Arc<Announcement>, D::Error> {
    CompactAnnouncement::deserialize(deserializer).map(|compact| Arc::new(compact.into()))
}
