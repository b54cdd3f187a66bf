//! Manifests of snapshots: the denominators of coverage, which outlive targets and instances.

use std::collections::{BTreeMap, BTreeSet};

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
pub const MAX_ALL_SHARDS: usize = 400_000;
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
    fn new(shard_count: u32) -> Self {
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
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
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

/// The most refusals named in one reply.
const MAX_NAMED_REFUSALS: usize = 32;

/// The manifests of one partition epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EpochManifests {
    /// The shards, as first announced.
    shard_count: u32,
    /// The manifests of the newest versions.
    versions: BTreeMap<IndexVersion, Manifest>,
}

/// The manifests of the newest snapshots of each index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestSet {
    /// The partition epochs of each index.
    indexes: BTreeMap<IndexName, BTreeMap<PartitionEpoch, EpochManifests>>,
    /// The shards of all manifests together.
    all_shards: usize,
}

impl ManifestSet {
    /// Returns the manifest of a snapshot.
    pub fn manifest(
        &self,
        index: &IndexName,
        partition_epoch: PartitionEpoch,
        version: IndexVersion,
    ) -> Option<&Manifest> {
        self.indexes.get(index)?.get(&partition_epoch)?.versions.get(&version)
    }

    /// Returns the indexes that have a manifest.
    pub fn indexes(&self) -> impl Iterator<Item = &IndexName> {
        self.indexes.keys()
    }

    /// Returns the snapshots of an index, oldest first.
    pub fn snapshots(
        &self,
        index: &IndexName,
    ) -> impl DoubleEndedIterator<Item = (PartitionEpoch, IndexVersion, &Manifest)> {
        self.indexes.get(index).into_iter().flatten().flat_map(|(epoch, manifests)| {
            manifests.versions.iter().map(|(version, manifest)| (*epoch, *version, manifest))
        })
    }

    /// Returns the reports that would change a manifest, each once, at most [`MAX_REPORTS`].
    pub fn unrecorded(&self, reports: &[ManifestReport]) -> Vec<ManifestReport> {
        let news: BTreeSet<&ManifestReport> =
            reports.iter().filter(|report| self.is_news(report)).collect();
        news.into_iter().take(MAX_REPORTS).cloned().collect()
    }

    /// Returns whether recording the report would change a manifest.
    fn is_news(&self, report: &ManifestReport) -> bool {
        if check_range(report).is_err() {
            return false;
        }
        let snapshot = &report.snapshot;
        let Some(epochs) = self.indexes.get(&snapshot.index) else {
            return self.indexes.len() < MAX_INDEXES;
        };
        if is_retired(epochs, &snapshot.partition_epoch, KEPT_EPOCHS) {
            return false;
        }
        let Some(manifests) = epochs.get(&snapshot.partition_epoch) else { return true };
        if manifests.shard_count != report.shard_count
            || is_retired(&manifests.versions, &snapshot.version, KEPT_VERSIONS)
        {
            return false;
        }
        let manifest = manifests.versions.get(&snapshot.version);
        manifest.and_then(|manifest| manifest.shard_documents(report.shard))
            < Some(report.documents)
    }

    /// Records reports in their order.
    pub(super) fn record(&mut self, reports: &[ManifestReport]) -> ManifestReply {
        let mut reply = ManifestReply::default();
        for (position, report) in reports.iter().take(MAX_REPORTS).enumerate() {
            match self.record_one(report) {
                Ok(true) => reply.recorded += 1,
                Ok(false) => {}
                Err(refusal) if reply.refused.len() < MAX_NAMED_REFUSALS => {
                    reply.refused.push((position as u32, refusal));
                }
                Err(_) => {}
            }
        }
        reply
    }

    /// Records one report; returns whether it changed a manifest. The documents of a shard only
    /// grow: a replica that was announced while it still loaded must not lower the denominator.
    fn record_one(&mut self, report: &ManifestReport) -> Result<bool, ManifestRefusal> {
        check_range(report)?;
        self.make_room(report)?;
        let snapshot = &report.snapshot;
        let epochs = self.indexes.entry(snapshot.index.clone()).or_default();
        let manifests = epochs.entry(snapshot.partition_epoch).or_insert_with(|| EpochManifests {
            shard_count: report.shard_count,
            versions: BTreeMap::new(),
        });
        let manifest = manifests.versions.entry(snapshot.version).or_insert_with(|| {
            self.all_shards += report.shard_count as usize;
            Manifest::new(report.shard_count)
        });
        let documents = &mut manifest.documents[report.shard.get() as usize];
        let is_larger = *documents < Some(report.documents);
        if is_larger {
            *documents = Some(report.documents);
        }
        self.drop_retired(&snapshot.index);
        Ok(is_larger)
    }

    /// Refuses a report that contradicts its epoch, is older than what is kept or does not fit.
    fn make_room(&self, report: &ManifestReport) -> Result<(), ManifestRefusal> {
        let snapshot = &report.snapshot;
        let Some(epochs) = self.indexes.get(&snapshot.index) else {
            let fits = self.indexes.len() < MAX_INDEXES && self.fits(report.shard_count);
            return if fits { Ok(()) } else { Err(ManifestRefusal::Full) };
        };
        if is_retired(epochs, &snapshot.partition_epoch, KEPT_EPOCHS) {
            return Err(ManifestRefusal::Retired);
        }
        if let Some(manifests) = epochs.get(&snapshot.partition_epoch) {
            if manifests.shard_count != report.shard_count {
                return Err(ManifestRefusal::ShardCount { recorded: manifests.shard_count });
            }
            if is_retired(&manifests.versions, &snapshot.version, KEPT_VERSIONS) {
                return Err(ManifestRefusal::Retired);
            }
            if manifests.versions.contains_key(&snapshot.version) {
                return Ok(());
            }
        }
        if self.fits(report.shard_count) { Ok(()) } else { Err(ManifestRefusal::Full) }
    }

    /// Returns whether another manifest of `shard_count` shards fits.
    const fn fits(&self, shard_count: u32) -> bool {
        self.all_shards + shard_count as usize <= MAX_ALL_SHARDS
    }

    /// Drops the epochs and versions of an index beyond those kept.
    fn drop_retired(&mut self, index: &IndexName) {
        let Some(epochs) = self.indexes.get_mut(index) else { return };
        while epochs.len() > KEPT_EPOCHS
            && let Some((_, manifests)) = epochs.pop_first()
        {
            self.all_shards -= manifests.shard_count as usize * manifests.versions.len();
        }
        for manifests in epochs.values_mut() {
            while manifests.versions.len() > KEPT_VERSIONS {
                manifests.versions.pop_first();
                self.all_shards -= manifests.shard_count as usize;
            }
        }
    }
}

/// Returns whether `key` is missing and older than all of the `kept` newest ones.
fn is_retired<K: Ord, V>(newest: &BTreeMap<K, V>, key: &K, kept: usize) -> bool {
    newest.len() >= kept && newest.first_key_value().is_some_and(|(oldest, _)| key < oldest)
}

/// Refuses a report outside the bounds.
const fn check_range(report: &ManifestReport) -> Result<(), ManifestRefusal> {
    let in_range = report.shard_count >= 1
        && report.shard_count <= MAX_SHARDS
        && report.shard.get() < report.shard_count
        && report.documents <= MAX_SHARD_DOCUMENTS;
    if in_range { Ok(()) } else { Err(ManifestRefusal::OutOfRange) }
}
