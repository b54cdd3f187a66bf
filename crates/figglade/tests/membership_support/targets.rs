//! Announcements of targets.

use std::net::SocketAddr;

use figglade::{
    Incarnation, IndexVersion, PartitionEpoch, ShardId, TargetId,
    wire::{AnnouncedReplica, Announcement, HeldVersion, TargetState},
};

pub fn target(number: u32) -> TargetId {
    format!("register-{number}").parse().unwrap()
}

pub fn replica(shard: u32) -> AnnouncedReplica {
    AnnouncedReplica {
        index: "register-portal".parse().unwrap(),
        shard: ShardId::new(shard),
        shard_count: 10,
        partition_epoch: PartitionEpoch::new(1),
        versions: vec![HeldVersion { version: IndexVersion::new(1), documents: 1_000 }],
        key_ranges: None,
    }
}

/// Builds the announcement of target `number` with one replica.
pub fn announcement(number: u32, incarnation: u64, state: TargetState) -> Announcement {
    let port = 10_000 + (number % 50_000) as u16;
    Announcement {
        target_id: target(number),
        incarnation: Incarnation::new(incarnation),
        address: SocketAddr::from(([127, 0, 0, 2], port)),
        availability_zone: "norrhamn-a".parse().unwrap(),
        slots: 3,
        connections: 30,
        state,
        sequence: None,
        replicas: vec![replica(number % 10)],
    }
}
