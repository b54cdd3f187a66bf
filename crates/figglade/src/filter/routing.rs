//! Routing tables: which replicas hold which snapshot of an index.

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

/// Identifies a snapshot of an index; a newer version goes before a newer partitioning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SnapshotKey {
    /// The version of the index.
    pub version: IndexVersion,
    /// The partition epoch.
    pub epoch: PartitionEpoch,
}

/// One target as the fan-out sees it.
#[derive(Debug)]
pub struct TargetRoute {
    /// The target.
    pub target: TargetId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The requests it runs at a time.
    pub slots: u32,
    /// The connections it accepts from all instances together.
    pub connections: u32,
    /// When it turned ready, as this instance saw it.
    pub ready_since: Timestamp,
    /// What attempts showed of it.
    pub load: Arc<TargetLoad>,
}

/// The replicas and documents of one snapshot, shard by shard.
#[derive(Debug)]
pub struct SnapshotRoute {
    /// The snapshot.
    pub key: SnapshotKey,
    /// The replicas of each shard that take new work.
    pub replicas: Vec<Vec<Arc<TargetRoute>>>,
    /// The documents of each shard, `None` where nobody ever told.
    pub documents: Vec<Option<u64>>,
    /// The slots of the shard that has the fewest, among those that have a replica.
    pub min_slots: u32,
}

impl SnapshotRoute {
    /// Returns the shards of the snapshot.
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

    /// Returns the shards that have a replica.
    fn covered_shards(&self) -> usize {
        self.replicas.iter().filter(|replicas| !replicas.is_empty()).count()
    }

    /// Returns the share of the shards that have a replica.
    fn covered_share(&self) -> f64 {
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
    /// Pins the newest snapshot that has a replica for every shard, otherwise the best covered
    /// one; snapshots in `excluded` vanished under the same request before.
    pub fn pin_snapshot(&self, excluded: &[SnapshotKey]) -> Option<Arc<SnapshotRoute>> {
        let eligible = || self.snapshots.iter().filter(|route| !excluded.contains(&route.key));
        if let Some(covered) = eligible().find(|route| route.is_covered()) {
            return Some(Arc::clone(covered));
        }
        // Ties go to the newest, which comes first.
        let mut best: Option<&Arc<SnapshotRoute>> = None;
        for route in eligible() {
            if best.is_none_or(|best| route.covered_share() > best.covered_share()) {
                best = Some(route);
            }
        }
        best.map(Arc::clone)
    }
}

/// The documents of a snapshot as the quorum log remembers them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownManifest {
    /// The snapshot.
    pub key: SnapshotKey,
    /// The documents of each shard.
    pub documents: Vec<Option<u64>>,
}

/// One target and when it turned ready.
#[derive(Clone, Debug)]
pub struct LiveTarget {
    /// What it announced.
    pub announcement: Arc<Announcement>,
    /// When it turned ready, as this instance saw it.
    pub ready_since: Timestamp,
}

/// Builds the route of `index` from its live targets and the manifests that outlive them.
pub fn build_route(
    index: &IndexName,
    targets: &[LiveTarget],
    manifests: &[KnownManifest],
    registry: &LoadRegistry,
) -> IndexRoute {
    let mut drafts = BTreeMap::new();
    for manifest in manifests {
        drafts.insert(manifest.key, SnapshotDraft::from_manifest(manifest));
    }
    for target in targets {
        if target.announcement.state != TargetState::Ready {
            continue;
        }
        add_target(&mut drafts, index, target, registry);
    }
    let snapshots = drafts.into_iter().rev().map(|(key, draft)| Arc::new(draft.finish(key)));
    IndexRoute { snapshots: snapshots.collect() }
}

/// A snapshot while its route is built.
struct SnapshotDraft {
    replicas: Vec<Vec<Arc<TargetRoute>>>,
    documents: Vec<Option<u64>>,
}

impl SnapshotDraft {
    fn from_manifest(manifest: &KnownManifest) -> Self {
        let mut draft = Self::with_shards(manifest.documents.len());
        draft.documents.clone_from(&manifest.documents);
        draft
    }

    fn with_shards(shard_count: usize) -> Self {
        Self { replicas: vec![Vec::new(); shard_count], documents: vec![None; shard_count] }
    }

    fn finish(self, key: SnapshotKey) -> SnapshotRoute {
        let least_slots = count_least_slots(&self.replicas);
        SnapshotRoute {
            key,
            replicas: self.replicas,
            documents: self.documents,
            min_slots: least_slots,
        }
    }
}

fn count_least_slots(replicas: &[Vec<Arc<TargetRoute>>]) -> u32 {
    let covered = replicas.iter().filter(|replicas| !replicas.is_empty());
    let slots = covered.map(|replicas| replicas.iter().map(|route| route.slots).sum());
    slots.min().unwrap_or(0)
}

fn add_target(
    drafts: &mut BTreeMap<SnapshotKey, SnapshotDraft>,
    index: &IndexName,
    target: &LiveTarget,
    registry: &LoadRegistry,
) {
    let announcement = &target.announcement;
    let mut route = None;
    for replica in announcement.replicas.iter().filter(|replica| replica.index == *index) {
        let route = route.get_or_insert_with(|| make_target(target, registry));
        for held in &replica.versions {
            let key = SnapshotKey { version: held.version, epoch: replica.partition_epoch };
            let draft = drafts
                .entry(key)
                .or_insert_with(|| SnapshotDraft::with_shards(replica.shard_count as usize));
            // A replica that disagrees on the shard count belongs to no shard of this snapshot.
            if draft.replicas.len() != replica.shard_count as usize {
                continue;
            }
            let shard = replica.shard.get() as usize;
            let Some(replicas) = draft.replicas.get_mut(shard) else { continue };
            replicas.push(Arc::clone(route));
            // The manifest of the quorum log goes first; until it knows, the largest claim counts.
            let documents = &mut draft.documents[shard];
            *documents = Some(documents.unwrap_or(0).max(held.documents));
        }
    }
}

fn make_target(target: &LiveTarget, registry: &LoadRegistry) -> Arc<TargetRoute> {
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
