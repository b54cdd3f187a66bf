//! The manifests of the newest snapshots of each index.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::manifests::{
    KEPT_EPOCHS, KEPT_VERSIONS, MAX_ALL_SHARDS, MAX_INDEXES, MAX_REPORTS, MAX_SHARD_DOCUMENTS,
    MAX_SHARDS, Manifest, ManifestNews, ManifestRefusal, ManifestReply, ManifestReport,
    ManifestRevision, SnapshotKey,
};
use crate::{IndexName, IndexVersion, PartitionEpoch};

/// The most refusals named in one reply.
const MAX_NAMED_REFUSALS: usize = 32;
/// The size of the changes sent at a time, in bytes.
const NEWS_BYTES: usize = 384 * 1024;
/// The most bytes of a manifest besides its documents.
const MANIFEST_OVERHEAD_BYTES: usize = 256;
/// The most bytes of the documents of one shard.
const SHARD_BYTES: usize = 9;

/// A manifest and when it last changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct VersionManifest {
    /// The manifest.
    manifest: Manifest,
    /// The revision of its last change.
    revision: ManifestRevision,
}

/// The manifests of one partition epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EpochManifests {
    /// The shards, as first announced.
    shard_count: u32,
    /// The manifests of the newest versions.
    versions: BTreeMap<IndexVersion, VersionManifest>,
}

/// The manifests of the newest snapshots of each index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestSet {
    /// The partition epochs of each index.
    indexes: BTreeMap<IndexName, BTreeMap<PartitionEpoch, EpochManifests>>,
    /// The shards of all manifests together.
    all_shards: usize,
    /// The revision of the last change.
    revision: ManifestRevision,
}

impl ManifestSet {
    /// Returns the manifest of a snapshot.
    pub fn manifest(
        &self,
        index: &IndexName,
        partition_epoch: PartitionEpoch,
        version: IndexVersion,
    ) -> Option<&Manifest> {
        let manifests = self.indexes.get(index)?.get(&partition_epoch)?;
        manifests.versions.get(&version).map(|held| &held.manifest)
    }

    /// Returns the revision of the last change.
    pub const fn revision(&self) -> ManifestRevision {
        self.revision
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
            manifests.versions.iter().map(|(version, held)| (*epoch, *version, &held.manifest))
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
        let snapshot = &report.snapshot;
        let known = self
            .manifest(&snapshot.index, snapshot.partition_epoch, snapshot.version)
            .and_then(|manifest| manifest.shard_documents(report.shard));
        known < Some(report.documents) && self.check_report(report).is_ok()
    }

    /// Refuses a report that cannot be recorded.
    fn check_report(&self, report: &ManifestReport) -> Result<(), ManifestRefusal> {
        check_range(report)?;
        self.check_snapshot(&report.snapshot, report.shard_count)?;
        self.check_room(&report.snapshot, report.shard_count)
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
        self.check_report(report)?;
        let snapshot = &report.snapshot;
        self.make_room(snapshot, report.shard_count);
        let revision = self.revision.next();
        let held = self.entry(snapshot, report.shard_count);
        let documents = &mut held.manifest.documents[report.shard.get() as usize];
        let is_larger = *documents < Some(report.documents);
        if is_larger {
            *documents = Some(report.documents);
            held.revision = revision;
            self.revision = revision;
        }
        self.drop_retired(&snapshot.index);
        Ok(is_larger)
    }

    /// Returns the manifest of a snapshot and adds it where it is missing.
    fn entry(&mut self, snapshot: &SnapshotKey, shard_count: u32) -> &mut VersionManifest {
        let epochs = self.indexes.entry(snapshot.index.clone()).or_default();
        let manifests = epochs
            .entry(snapshot.partition_epoch)
            .or_insert_with(|| EpochManifests { shard_count, versions: BTreeMap::new() });
        manifests.versions.entry(snapshot.version).or_insert_with(|| {
            self.all_shards += shard_count as usize;
            let revision = ManifestRevision::default();
            VersionManifest { manifest: Manifest::new(shard_count), revision }
        })
    }

    /// Refuses a snapshot that contradicts its epoch or is older than what is kept.
    fn check_snapshot(
        &self,
        snapshot: &SnapshotKey,
        shard_count: u32,
    ) -> Result<(), ManifestRefusal> {
        let Some(epochs) = self.indexes.get(&snapshot.index) else { return Ok(()) };
        if is_retired(epochs, &snapshot.partition_epoch, KEPT_EPOCHS) {
            return Err(ManifestRefusal::Retired);
        }
        let Some(manifests) = epochs.get(&snapshot.partition_epoch) else { return Ok(()) };
        if manifests.shard_count != shard_count {
            return Err(ManifestRefusal::ShardCount { recorded: manifests.shard_count });
        }
        if is_retired(&manifests.versions, &snapshot.version, KEPT_VERSIONS) {
            return Err(ManifestRefusal::Retired);
        }
        Ok(())
    }

    /// Refuses a new manifest for which [`Self::make_room`] would find no room.
    fn check_room(&self, snapshot: &SnapshotKey, shard_count: u32) -> Result<(), ManifestRefusal> {
        if self.manifest(&snapshot.index, snapshot.partition_epoch, snapshot.version).is_some() {
            return Ok(());
        }
        let place = (snapshot.partition_epoch, snapshot.version);
        let older = self.snapshots(&snapshot.index).filter(|held| (held.0, held.1) < place);
        let freed: usize = older.map(|(_, _, manifest)| manifest.documents.len()).sum();
        let is_index_full =
            !self.indexes.contains_key(&snapshot.index) && self.indexes.len() >= MAX_INDEXES;
        if is_index_full || self.all_shards - freed + shard_count as usize > MAX_ALL_SHARDS {
            return Err(ManifestRefusal::Full);
        }
        Ok(())
    }

    /// Drops older snapshots of the same index where space for a new manifest is short.
    fn make_room(&mut self, snapshot: &SnapshotKey, shard_count: u32) {
        if self.manifest(&snapshot.index, snapshot.partition_epoch, snapshot.version).is_some() {
            return;
        }
        while self.all_shards + shard_count as usize > MAX_ALL_SHARDS && self.drop_older(snapshot) {
        }
    }

    /// Drops the oldest snapshot of an index if it is older than `snapshot`.
    fn drop_older(&mut self, snapshot: &SnapshotKey) -> bool {
        let Some(epochs) = self.indexes.get_mut(&snapshot.index) else { return false };
        let Some(mut epoch) = epochs.first_entry() else { return false };
        let oldest = epoch.get().versions.first_key_value().map(|(version, _)| *version);
        let place = (snapshot.partition_epoch, snapshot.version);
        let Some(oldest) = oldest.filter(|oldest| (*epoch.key(), *oldest) < place) else {
            return false;
        };
        self.all_shards -= epoch.get().shard_count as usize;
        epoch.get_mut().versions.remove(&oldest);
        if epoch.get().versions.is_empty() {
            epoch.remove();
        }
        true
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

    /// Returns the manifests that changed after `revision`, first changed first, as many as fit one
    /// message.
    pub fn news_since(&self, revision: ManifestRevision) -> ManifestNews {
        let mut changed: Vec<(ManifestRevision, SnapshotKey, &Manifest)> = Vec::new();
        for (index, epochs) in &self.indexes {
            for (epoch, manifests) in epochs {
                for (version, held) in &manifests.versions {
                    if held.revision > revision {
                        let key = SnapshotKey {
                            index: index.clone(),
                            partition_epoch: *epoch,
                            version: *version,
                        };
                        changed.push((held.revision, key, &held.manifest));
                    }
                }
            }
        }
        changed.sort_by_key(|(revision, _, _)| *revision);
        self.pack_news(changed)
    }

    /// Takes as many changes as fit one message.
    fn pack_news(&self, changed: Vec<(ManifestRevision, SnapshotKey, &Manifest)>) -> ManifestNews {
        let mut news = ManifestNews { revision: self.revision, manifests: Vec::new() };
        let mut room = NEWS_BYTES;
        let mut packed = ManifestRevision::default();
        for (revision, key, manifest) in changed {
            let bytes = MANIFEST_OVERHEAD_BYTES + SHARD_BYTES * manifest.documents.len();
            if bytes > room {
                news.revision = packed;
                break;
            }
            room -= bytes;
            packed = revision;
            news.manifests.push((key, manifest.clone()));
        }
        news
    }

    /// Takes the changes that another instance sent; what is malformed or does not fit is left out.
    pub fn adopt(&mut self, news: &ManifestNews) {
        for (snapshot, manifest) in &news.manifests {
            if self.adopt_one(snapshot, manifest).is_ok() {
                self.drop_retired(&snapshot.index);
            }
        }
        self.revision = self.revision.max(news.revision);
    }

    /// Replaces one manifest.
    fn adopt_one(
        &mut self,
        snapshot: &SnapshotKey,
        manifest: &Manifest,
    ) -> Result<(), ManifestRefusal> {
        let shard_count = manifest.shard_count;
        let is_whole = (1..=MAX_SHARDS).contains(&shard_count)
            && manifest.documents.len() == shard_count as usize;
        if !is_whole {
            return Err(ManifestRefusal::OutOfRange);
        }
        self.check_snapshot(snapshot, shard_count)?;
        self.check_room(snapshot, shard_count)?;
        self.make_room(snapshot, shard_count);
        let revision = self.revision;
        let held = self.entry(snapshot, shard_count);
        held.manifest = manifest.clone();
        held.revision = revision;
        Ok(())
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
