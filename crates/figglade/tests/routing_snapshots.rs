//! Tests of snapshot pinning during rolling version changes, repartitioning and loss of replicas.

mod filter_support;

use std::sync::Arc;

use figglade::{
    Incarnation, IndexVersion, PartitionEpoch, ShardId, Timestamp,
    filter::{
        picker::LoadRegistry,
        routing::{LiveTarget, RecordedManifest, SnapshotKey, build_route},
    },
    wire::{AnnouncedReplica, Announcement, HeldVersion, TargetState},
};
use filter_support::index;

/// Builds a target that holds `versions` of a shard in the partition epoch `epoch`.
fn target(shard: u32, shard_count: u32, epoch: u64, versions: &[u64]) -> LiveTarget {
    let held = |version: &u64| HeldVersion { version: IndexVersion::new(*version), documents: 10 };
    let replica = AnnouncedReplica {
        index: index(),
        shard: ShardId::new(shard),
        shard_count,
        partition_epoch: PartitionEpoch::new(epoch),
        versions: versions.iter().map(held).collect(),
        key_ranges: None,
    };
    let announcement = Announcement {
        target_id: format!("e{epoch}-s{shard}-{versions:?}")
            .replace(['[', ']', ',', ' '], "-")
            .parse()
            .expect("a valid name"),
        incarnation: Incarnation::new(1),
        sequence: Default::default(),
        address: ([127, 0, 0, 1], 1).into(),
        availability_zone: "svealand-a".parse().expect("a valid name"),
        slots: 3,
        connections: 30,
        state: TargetState::Ready,
        replicas: vec![replica],
    };
    LiveTarget { announcement: Arc::new(announcement), ready_since: Timestamp::ZERO }
}

fn pin(targets: &[LiveTarget], excluded: &[SnapshotKey]) -> Option<(u64, u64, u32)> {
    let route = build_route(&index(), targets, &[], &LoadRegistry::default());
    let pinned = route.pin_snapshot(excluded)?;
    Some((pinned.key.version.get(), pinned.key.epoch.get(), pinned.shard_count()))
}

#[test]
fn test_new_version_is_pinned_once_every_shard_holds_it() {
    let mut targets: Vec<_> = (0..3).map(|shard| target(shard, 3, 1, &[1])).collect();
    for shard in 0..3 {
        assert_eq!(pin(&targets, &[]), Some((1, 1, 3)), "after {shard} of 3 shards changed");
        targets.push(target(shard, 3, 1, &[1, 2]));
    }
    assert_eq!(pin(&targets, &[]), Some((2, 1, 3)));
    let newest = SnapshotKey { version: IndexVersion::new(2), epoch: PartitionEpoch::new(1) };
    assert_eq!(pin(&targets, &[newest]), Some((1, 1, 3)));
}

#[test]
fn test_new_partitioning_is_a_separate_snapshot() {
    let mut targets: Vec<_> = (0..2).map(|shard| target(shard, 2, 1, &[5])).collect();
    targets.extend((0..3).map(|shard| target(shard, 4, 2, &[5])));
    assert_eq!(pin(&targets, &[]), Some((5, 1, 2)));
    targets.push(target(3, 4, 2, &[5]));
    assert_eq!(pin(&targets, &[]), Some((5, 2, 4)));
}

#[test]
fn test_version_with_the_highest_coverage_is_pinned_if_none_is_complete() {
    let targets = [target(0, 3, 1, &[1]), target(1, 3, 1, &[1]), target(2, 3, 1, &[2])];
    assert_eq!(pin(&targets, &[]), Some((1, 1, 3)));
    assert_eq!(pin(&[], &[]), None);
}

#[test]
fn test_replica_with_another_shard_count_is_ignored() {
    let targets = [target(0, 2, 1, &[1]), target(1, 2, 1, &[1]), target(2, 7, 1, &[1])];
    let route = build_route(&index(), &targets, &[], &LoadRegistry::default());
    let pinned = route.pin_snapshot(&[]).expect("a snapshot");
    assert_eq!(pinned.replicas.iter().map(Vec::len).sum::<usize>(), 2);
    assert_eq!(pinned.min_slots, 3);
}

#[test]
fn test_recorded_manifests_cover_shards_without_targets() {
    let key = SnapshotKey { version: IndexVersion::new(1), epoch: PartitionEpoch::new(1) };
    let manifest = RecordedManifest { key, documents: vec![Some(10), Some(20), Some(30)] };
    let targets = [target(0, 3, 1, &[1]), target(1, 3, 1, &[1])];
    let route = build_route(&index(), &targets, &[manifest], &LoadRegistry::default());
    let pinned = route.pin_snapshot(&[]).expect("a snapshot");
    assert_eq!(pinned.documents, [Some(10), Some(20), Some(30)]);
    assert!(!pinned.is_covered());
}
