//! Manifests: the number of documents in each snapshot.
//!
//! They are the denominators of coverage, so they are kept in the quorum log, where they outlive
//! the targets and instances that reported them.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

use crate::{IndexName, IndexVersion, PartitionEpoch, ShardId, wire::Announcement};

/// The number of versions of a partition epoch that are kept. The oldest are dropped.
pub const MAX_VERSIONS_PER_EPOCH: usize = 8;
/// The number of partition epochs of an index that are kept. The oldest are dropped.
pub const MAX_EPOCHS_PER_INDEX: usize = 4;
/// The maximum number of indexes.
pub const MAX_INDEXES: usize = 256;
/// The maximum number of shards of an index.
pub const MAX_SHARDS_PER_INDEX: u32 = 8_192;
/// The maximum number of documents in a shard.
pub const MAX_SHARD_DOCUMENTS: u64 = 1 << 40;
/// The maximum number of shards summed over all manifests.
pub const MAX_TOTAL_SHARDS: usize = 200_000;
/// The maximum number of reports in a command.
pub const MAX_REPORTS_PER_COMMAND: usize = 4_096;

/// The number of documents in each shard of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The number of shards of the partition epoch.
    pub shard_count: u32,
    /// The number of documents in each shard; `None` until a replica announces it.
    pub documents: Vec<Option<u64>>,
}

impl Manifest {
    /// Builds a manifest in which the documents of all shards are unknown.
    pub(super) fn new(shard_count: u32) -> Self {
        Self { shard_count, documents: vec![None; shard_count as usize] }
    }

    /// Returns the number of documents in all shards, or `None` if that of any shard is unknown.
    pub fn total_documents(&self) -> Option<u64> {
        self.documents.iter().copied().sum()
    }

    /// Returns the number of documents in a shard, or `None` if it is unknown.
    pub fn shard_documents(&self, shard: ShardId) -> Option<u64> {
        self.documents.get(shard.get() as usize).copied().flatten()
    }
}

/// Identifies a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SnapshotKey {
    /// The index.
    pub index: IndexName,
    /// The partition epoch.
    pub partition_epoch: PartitionEpoch,
    /// The version.
    pub version: IndexVersion,
}

/// The number of documents that a replica announced for one shard of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ManifestReport {
    /// The snapshot.
    pub snapshot: SnapshotKey,
    /// The number of shards of the partition epoch.
    pub shard_count: u32,
    /// The shard.
    pub shard: ShardId,
    /// The number of documents in the shard.
    pub documents: u64,
}

impl ManifestReport {
    /// Returns one report for each replica and version of an announcement.
    pub fn from_announcement(announcement: &Announcement) -> Vec<Self> {
        let mut reports = Vec::new();
        for replica in &announcement.replicas {
            for held in &replica.versions {
                reports.push(Self {
                    snapshot: SnapshotKey {
                        index: replica.index.clone(),
                        partition_epoch: replica.partition_epoch,
                        version: held.version,
                    },
                    shard_count: replica.shard_count,
                    shard: replica.shard,
                    documents: held.documents,
                });
            }
        }
        reports
    }
}

/// The reason a report was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum ManifestRefusal {
    /// The partition epoch was recorded with another shard count.
    #[display("the shard count differs from the {recorded} recorded for the partition epoch")]
    ShardCount {
        /// The shard count recorded first.
        recorded: u32,
    },
    /// The shard, the shard count or the number of documents is out of range.
    #[display(
        "shard_count must be from 1 to {MAX_SHARDS_PER_INDEX}, shard below it, documents at most {MAX_SHARD_DOCUMENTS}"
    )]
    OutOfRange,
    /// The version or partition epoch is older than all that are kept.
    #[display("the snapshot is older than all that are kept")]
    Retired,
    /// The limit on indexes or on shards of all manifests is reached.
    #[display("the limit on indexes or on shards of all manifests is reached")]
    Full,
}

/// The reply to manifest reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestReply {
    /// The number of reports that changed a manifest.
    pub recorded: u32,
    /// The position and reason of each refused report, limited to the first ones.
    pub refused: Vec<(u32, ManifestRefusal)>,
}

/// A counter that is incremented with each change of a manifest.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    FromStr,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct ManifestRevision(u64);

impl ManifestRevision {
    /// Returns the next revision.
    pub(super) const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Manifests that changed after a given revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestUpdates {
    /// The revision of the receiver after it applies the updates. If it is lower than the revision
    /// of the sender, more updates follow.
    pub revision: ManifestRevision,
    /// The changed manifests.
    pub manifests: Vec<(SnapshotKey, Manifest)>,
}
