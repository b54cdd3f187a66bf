//! The manifests of the newest snapshots of each index.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::manifests::{
    MAX_EPOCHS_PER_INDEX, MAX_INDEXES, MAX_REPORTS_PER_COMMAND, MAX_SHARD_DOCUMENTS,
    MAX_SHARDS_PER_INDEX, MAX_TOTAL_SHARDS, MAX_VERSIONS_PER_EPOCH, Manifest, ManifestRefusal,
    ManifestReply, ManifestReport, ManifestRevision, ManifestUpdates, SnapshotKey,
};
use crate::{IndexName, IndexVersion, PartitionEpoch};

/// The maximum number of refusals listed in a reply.
const MAX_NAMED_REFUSALS: usize = 32;
/// The maximum estimated size of the manifests in one message, in bytes.
const MAX_UPDATES_BYTES: usize = 384 * 1024;
/// The maximum encoded size of a manifest without its document counts, in bytes.
const MANIFEST_OVERHEAD_BYTES: usize = 256;
/// The maximum encoded size of the document count of one shard, in bytes.
const MAX_SHARD_ENTRY_BYTES: usize = 9;

/// A manifest and the revision of its last change.
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
    /// The number of shards, as first reported.
    shard_count: u32,
    /// The manifests of the newest versions, at most [`MAX_VERSIONS_PER_EPOCH`].
    versions: BTreeMap<IndexVersion, VersionManifest>,
}

/// The manifests of the newest snapshots of each index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestSet {
    /// The newest partition epochs of each index, at most [`MAX_EPOCHS_PER_INDEX`].
    indexes: BTreeMap<IndexName, BTreeMap<PartitionEpoch, EpochManifests>>,
    /// The number of shards summed over all manifests, at most [`MAX_TOTAL_SHARDS`].
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

    /// Returns the reports that would change a manifest, without duplicates and at most
    /// [`MAX_REPORTS_PER_COMMAND`].
    pub fn unrecorded(&self, reports: &[ManifestReport]) -> Vec<ManifestReport> {
        let unrecorded: BTreeSet<&ManifestReport> =
            reports.iter().filter(|report| self.changes_manifest(report)).collect();
        unrecorded.into_iter().take(MAX_REPORTS_PER_COMMAND).cloned().collect()
    }

    /// Returns whether recording the report would change a manifest.
    fn changes_manifest(&self, report: &ManifestReport) -> bool {
        let snapshot = &report.snapshot;
        let known = self
            .manifest(&snapshot.index, snapshot.partition_epoch, snapshot.version)
            .and_then(|manifest| manifest.shard_documents(report.shard));
        known < Some(report.documents) && self.check_report(report).is_ok()
    }

    /// Checks whether a report can be recorded.
    fn check_report(&self, report: &ManifestReport) -> Result<(), ManifestRefusal> {
        check_range(report)?;
        self.check_snapshot(&report.snapshot, report.shard_count)?;
        self.check_room(&report.snapshot, report.shard_count)
    }

    /// Records reports in order.
    pub(super) fn record(&mut self, reports: &[ManifestReport]) -> ManifestReply {
        let mut reply = ManifestReply::default();
        for (position, report) in reports.iter().take(MAX_REPORTS_PER_COMMAND).enumerate() {
            match self.record_report(report) {
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

    /// Records one report and returns whether it changed a manifest. The document count of a shard
    /// only grows, because a replica that is announced while it still loads must not lower the
    /// denominator of coverage.
    fn record_report(&mut self, report: &ManifestReport) -> Result<bool, ManifestRefusal> {
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

    /// Returns the manifest of a snapshot, which is added if it is missing.
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

    /// Refuses a snapshot whose shard count differs from that of its epoch, or that is older than
    /// all that are kept.
    fn check_snapshot(
        &self,
        snapshot: &SnapshotKey,
        shard_count: u32,
    ) -> Result<(), ManifestRefusal> {
        let Some(epochs) = self.indexes.get(&snapshot.index) else { return Ok(()) };
        if is_retired(epochs, &snapshot.partition_epoch, MAX_EPOCHS_PER_INDEX) {
            return Err(ManifestRefusal::Retired);
        }
        let Some(manifests) = epochs.get(&snapshot.partition_epoch) else { return Ok(()) };
        if manifests.shard_count != shard_count {
            return Err(ManifestRefusal::ShardCount { recorded: manifests.shard_count });
        }
        if is_retired(&manifests.versions, &snapshot.version, MAX_VERSIONS_PER_EPOCH) {
            return Err(ManifestRefusal::Retired);
        }
        Ok(())
    }

    /// Refuses a new index beyond [`MAX_INDEXES`], and a new manifest for which [`Self::make_room`]
    /// could not make enough room.
    fn check_room(&self, snapshot: &SnapshotKey, shard_count: u32) -> Result<(), ManifestRefusal> {
        if self.manifest(&snapshot.index, snapshot.partition_epoch, snapshot.version).is_some() {
            return Ok(());
        }
        let place = (snapshot.partition_epoch, snapshot.version);
        let older = self.snapshots(&snapshot.index).filter(|held| (held.0, held.1) < place);
        let freed: usize = older.map(|(_, _, manifest)| manifest.documents.len()).sum();
        let is_index_full =
            !self.indexes.contains_key(&snapshot.index) && self.indexes.len() >= MAX_INDEXES;
        if is_index_full || self.all_shards - freed + shard_count as usize > MAX_TOTAL_SHARDS {
            return Err(ManifestRefusal::Full);
        }
        Ok(())
    }

    /// Drops older snapshots of the same index until a new manifest fits into
    /// [`MAX_TOTAL_SHARDS`].
    fn make_room(&mut self, snapshot: &SnapshotKey, shard_count: u32) {
        if self.manifest(&snapshot.index, snapshot.partition_epoch, snapshot.version).is_some() {
            return;
        }
        while self.all_shards + shard_count as usize > MAX_TOTAL_SHARDS && self.drop_older(snapshot)
        {
        }
    }

    /// Drops the oldest snapshot of an index if it is older than `snapshot`. Returns whether it
    /// did.
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

    /// Drops the oldest epochs and versions of an index beyond [`MAX_EPOCHS_PER_INDEX`] and
    /// [`MAX_VERSIONS_PER_EPOCH`].
    fn drop_retired(&mut self, index: &IndexName) {
        let Some(epochs) = self.indexes.get_mut(index) else { return };
        while epochs.len() > MAX_EPOCHS_PER_INDEX
            && let Some((_, manifests)) = epochs.pop_first()
        {
            self.all_shards -= manifests.shard_count as usize * manifests.versions.len();
        }
        for manifests in epochs.values_mut() {
            while manifests.versions.len() > MAX_VERSIONS_PER_EPOCH {
                manifests.versions.pop_first();
                self.all_shards -= manifests.shard_count as usize;
            }
        }
    }

    /// Returns the manifests that changed after `revision`, in order of change, as many as fit into
    /// one message.
    pub fn updates_since(&self, revision: ManifestRevision) -> ManifestUpdates {
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
        self.pack_updates(changed)
    }

    /// Packs as many changed manifests as fit into one message.
    fn pack_updates(
        &self,
        changed: Vec<(ManifestRevision, SnapshotKey, &Manifest)>,
    ) -> ManifestUpdates {
        let mut updates = ManifestUpdates { revision: self.revision, manifests: Vec::new() };
        let mut remaining_bytes = MAX_UPDATES_BYTES;
        let mut packed = ManifestRevision::default();
        for (revision, key, manifest) in changed {
            let bytes = MANIFEST_OVERHEAD_BYTES + MAX_SHARD_ENTRY_BYTES * manifest.documents.len();
            if bytes > remaining_bytes {
                updates.revision = packed;
                break;
            }
            remaining_bytes -= bytes;
            packed = revision;
            updates.manifests.push((key, manifest.clone()));
        }
        updates
    }

    /// Applies updates from another instance. Malformed manifests and those that do not fit are
    /// skipped.
    pub fn apply_updates(&mut self, updates: &ManifestUpdates) {
        for (snapshot, manifest) in &updates.manifests {
            if self.replace_manifest(snapshot, manifest).is_ok() {
                self.drop_retired(&snapshot.index);
            }
        }
        self.revision = self.revision.max(updates.revision);
    }

    /// Replaces one manifest.
    fn replace_manifest(
        &mut self,
        snapshot: &SnapshotKey,
        manifest: &Manifest,
    ) -> Result<(), ManifestRefusal> {
        let shard_count = manifest.shard_count;
        let is_valid = (1..=MAX_SHARDS_PER_INDEX).contains(&shard_count)
            && manifest.documents.len() == shard_count as usize;
        if !is_valid {
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

/// Returns whether `key` is older than all keys of a full map, which holds the `kept` newest ones.
fn is_retired<K: Ord, V>(newest: &BTreeMap<K, V>, key: &K, kept: usize) -> bool {
    newest.len() >= kept && newest.first_key_value().is_some_and(|(oldest, _)| key < oldest)
}

/// Checks the shard, the shard count and the documents of a report against their limits.
const fn check_range(report: &ManifestReport) -> Result<(), ManifestRefusal> {
    let in_range = report.shard_count >= 1
        && report.shard_count <= MAX_SHARDS_PER_INDEX
        && report.shard.get() < report.shard_count
        && report.documents <= MAX_SHARD_DOCUMENTS;
    if in_range { Ok(()) } else { Err(ManifestRefusal::OutOfRange) }
}
