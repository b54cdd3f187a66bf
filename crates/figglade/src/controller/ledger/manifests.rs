//! Manifests of snapshots: the denominators of coverage, which outlive targets and instances.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

use crate::{IndexName, IndexVersion, PartitionEpoch, ShardId, wire::Announcement};

/// The newest versions kept of one partition epoch.
pub const KEPT_VERSIONS: usize = 8;
/// The newest partition epochs kept of one index.
pub const KEPT_EPOCHS: usize = 4;
/// The most indexes.
pub const MAX_INDEXES: usize = 256;
/// The most shards of one index.
pub const MAX_SHARDS: u32 = 8_192;
/// The most documents of one shard.
pub const MAX_SHARD_DOCUMENTS: u64 = 1 << 40;
/// The most shards of all manifests together.
pub const MAX_ALL_SHARDS: usize = 200_000;
/// The most reports in one command.
pub const MAX_REPORTS: usize = 4_096;

/// The shards and documents of one snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The shards of the partition epoch.
    pub shard_count: u32,
    /// The documents of each shard; `None` until a replica announced them.
    pub documents: Vec<Option<u64>>,
}

impl Manifest {
    /// Builds a manifest that knows no documents yet.
    pub(super) fn new(shard_count: u32) -> Self {
        Self { shard_count, documents: vec![None; shard_count as usize] }
    }

    /// Returns the documents of all shards, or `None` while those of any shard are unknown.
    pub fn total_documents(&self) -> Option<u64> {
        self.documents.iter().copied().sum()
    }

    /// Returns the documents of one shard, or `None` while they are unknown.
    pub fn shard_documents(&self, shard: ShardId) -> Option<u64> {
        self.documents.get(shard.get() as usize).copied().flatten()
    }
}

/// Names one snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SnapshotKey {
    /// The index.
    pub index: IndexName,
    /// The partition epoch.
    pub partition_epoch: PartitionEpoch,
    /// The version.
    pub version: IndexVersion,
}

/// What a replica announced of one shard of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ManifestReport {
    /// The snapshot.
    pub snapshot: SnapshotKey,
    /// The shards of the partition epoch.
    pub shard_count: u32,
    /// The shard.
    pub shard: ShardId,
    /// Its documents.
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
    /// The partition epoch has another shard count.
    #[display("the partition epoch has {recorded} shards")]
    ShardCount {
        /// The shard count recorded first.
        recorded: u32,
    },
    /// The shard, the shard count or the documents lie outside their bounds.
    #[display(
        "shard_count must be from 1 to {MAX_SHARDS}, shard below it, documents at most {MAX_SHARD_DOCUMENTS}"
    )]
    OutOfRange,
    /// The version or the partition epoch is older than those kept.
    #[display("the snapshot is older than those kept")]
    Retired,
    /// There is no room for another index or manifest.
    #[display("no room for another manifest")]
    Full,
}

/// What became of some reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestReply {
    /// The reports that changed a manifest.
    pub recorded: u32,
    /// The first refused reports, each by its position and reason.
    pub refused: Vec<(u32, ManifestRefusal)>,
}

/// Counts the changes of manifests.
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

/// The manifests that changed since some revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestNews {
    /// The revision that the receiver holds after taking the changes; when it is lower than that of
    /// the sender, there is more.
    pub revision: ManifestRevision,
    /// The changed manifests.
    pub manifests: Vec<(SnapshotKey, Manifest)>,
}
