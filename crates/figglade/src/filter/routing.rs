//! Routing tables: the replicas that hold each snapshot of an index.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    IndexName, IndexVersion, PartitionEpoch, ShardId, TargetId, Timestamp, ZoneName,
    filter::picker::{LoadRegistry, TargetLoad},
    wire::{Announcement, TargetState},
};

/// Identifies a snapshot of an index. Keys are ordered by version first, then by partition epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SnapshotKey {
    /// The version of the index.
    pub version: IndexVersion,
    /// The partition epoch.
    pub epoch: PartitionEpoch,
}

/// The properties of a target that attempts at it use.
#[derive(Debug)]
pub struct TargetRoute {
    /// The target.
    pub target: TargetId,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The number of requests it runs concurrently.
    pub slots: u32,
    /// The number of connections it accepts from all instances together.
    pub connections: u32,
    /// When this instance observed that it became ready.
    pub ready_since: Timestamp,
    /// Its load and health.
    pub load: Arc<TargetLoad>,
}

/// The replicas and document counts of one snapshot, by shard.
#[derive(Debug)]
pub struct SnapshotRoute {
    /// The snapshot.
    pub key: SnapshotKey,
    /// The replicas of each shard that accept new work.
    pub replicas: Vec<Vec<Arc<TargetRoute>>>,
    /// The number of documents of each shard; `None` if it has never been reported.
    pub documents: Vec<Option<u64>>,
    /// The slots of the shard that has the fewest, among the shards that have a replica.
    pub min_slots: u32,
}

impl SnapshotRoute {
    /// Returns the number of shards.
    pub fn shard_count(&self) -> u32 {
        self.replicas.len() as u32
    }

    /// Returns the shard that owns `key`.
    pub fn shard_of(&self, key: &[u8]) -> ShardId {
        crate::shard_of_key(key, self.shard_count())
    }

    /// Returns whether every shard has a replica.
    pub fn is_covered(&self) -> bool {
        self.replicas.iter().all(|replicas| !replicas.is_empty())
    }

    /// Returns the number of shards that have a replica.
    fn covered_shards(&self) -> usize {
        self.replicas.iter().filter(|replicas| !replicas.is_empty()).count()
    }

    /// Returns the fraction of the shards that have a replica.
    fn covered_fraction(&self) -> f64 {
        self.covered_shards() as f64 / self.replicas.len() as f64
    }
}

/// The snapshots of one index, newest first.
#[derive(Debug, Default)]
pub struct IndexRoute {
    /// The snapshots.
    pub snapshots: Vec<Arc<SnapshotRoute>>,
}

impl IndexRoute {
    /// Returns the newest snapshot that has a replica for every shard, otherwise the one with the
    /// highest coverage. Snapshots in `excluded`, which the targets have dropped during the same
    /// request, are left out.
    pub fn pin_snapshot(&self, excluded: &[SnapshotKey]) -> Option<Arc<SnapshotRoute>> {
        let eligible = || self.snapshots.iter().filter(|route| !excluded.contains(&route.key));
        if let Some(covered) = eligible().find(|route| route.is_covered()) {
            return Some(Arc::clone(covered));
        }
        // A tie goes to the newest snapshot, which comes first.
        let mut best: Option<&Arc<SnapshotRoute>> = None;
        for route in eligible() {
            if best.is_none_or(|best| route.covered_fraction() > best.covered_fraction()) {
                best = Some(route);
            }
        }
        best.map(Arc::clone)
    }
}

/// The document counts of a snapshot as recorded in the quorum log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedManifest {
    /// The snapshot.
    pub key: SnapshotKey,
    /// The number of documents of each shard; `None` if it has not been recorded.
    pub documents: Vec<Option<u64>>,
}

/// A target and when it became ready.
#[derive(Clone, Debug)]
pub struct LiveTarget {
    /// Its latest announcement.
    pub announcement: Arc<Announcement>,
    /// When this instance observed that it became ready.
    pub ready_since: Timestamp,
}

/// Builds the route of `index` from its live targets and the recorded manifests, which also cover
/// shards without a live target.
pub fn build_route(
    index: &IndexName,
    targets: &[LiveTarget],
    manifests: &[RecordedManifest],
    registry: &LoadRegistry,
) -> IndexRoute {
    let mut builders = BTreeMap::new();
    for manifest in manifests {
        builders.insert(manifest.key, SnapshotBuilder::from_manifest(manifest));
    }
    for target in targets {
        if target.announcement.state != TargetState::Ready {
            continue;
        }
        add_target(&mut builders, index, target, registry);
    }
    let snapshots = builders.into_iter().rev().map(|(key, builder)| Arc::new(builder.finish(key)));
    IndexRoute { snapshots: snapshots.collect() }
}

/// A [`SnapshotRoute`] under construction.
struct SnapshotBuilder {
    replicas: Vec<Vec<Arc<TargetRoute>>>,
    documents: Vec<Option<u64>>,
}

impl SnapshotBuilder {
    fn from_manifest(manifest: &RecordedManifest) -> Self {
        let mut builder = Self::with_shards(manifest.documents.len());
        builder.documents.clone_from(&manifest.documents);
        builder
    }

    fn with_shards(shard_count: usize) -> Self {
        Self { replicas: vec![Vec::new(); shard_count], documents: vec![None; shard_count] }
    }

    fn finish(self, key: SnapshotKey) -> SnapshotRoute {
        let min_slots = count_min_slots(&self.replicas);
        SnapshotRoute { key, replicas: self.replicas, documents: self.documents, min_slots }
    }
}

fn count_min_slots(replicas: &[Vec<Arc<TargetRoute>>]) -> u32 {
    let covered = replicas.iter().filter(|replicas| !replicas.is_empty());
    let slots = covered.map(|replicas| replicas.iter().map(|route| route.slots).sum());
    slots.min().unwrap_or(0)
}

fn add_target(
    builders: &mut BTreeMap<SnapshotKey, SnapshotBuilder>,
    index: &IndexName,
    target: &LiveTarget,
    registry: &LoadRegistry,
) {
    let announcement = &target.announcement;
    let mut route = None;
    for replica in announcement.replicas.iter().filter(|replica| replica.index == *index) {
        let route = route.get_or_insert_with(|| build_target_route(target, registry));
        for held in &replica.versions {
            let key = SnapshotKey { version: held.version, epoch: replica.partition_epoch };
            let builder = builders
                .entry(key)
                .or_insert_with(|| SnapshotBuilder::with_shards(replica.shard_count as usize));
            // A replica that announces another shard count belongs to no shard of this snapshot.
            if builder.replicas.len() != replica.shard_count as usize {
                continue;
            }
            let shard = replica.shard.get() as usize;
            let Some(replicas) = builder.replicas.get_mut(shard) else { continue };
            replicas.push(Arc::clone(route));
            // A replica that announces more documents than the quorum log records raises the count,
            // and sets it where none is recorded.
            let documents = &mut builder.documents[shard];
            *documents = Some(documents.unwrap_or(0).max(held.documents));
        }
    }
}

fn build_target_route(target: &LiveTarget, registry: &LoadRegistry) -> Arc<TargetRoute> {
    let announcement = &target.announcement;
    Arc::new(TargetRoute {
        target: announcement.target_id.clone(),
        address: announcement.address,
        zone: announcement.availability_zone.clone(),
        slots: announcement.slots,
        connections: announcement.connections,
        ready_since: target.ready_since,
        load: registry.load_of(&announcement.target_id, announcement.incarnation),
    })
}

/// The routes of all indexes.
pub type RouteMap = HashMap<IndexName, Arc<IndexRoute>>;
