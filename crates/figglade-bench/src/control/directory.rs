//! Measures the memory and time that the target directory uses, without starting processes.

use std::{str::FromStr, time::Duration};

use figglade::{
    Incarnation, IndexVersion, PartitionEpoch, ShardId, Timestamp, WallTime,
    controller::directory::{DirectorySettings, TargetDirectory},
    wire::{AnnouncedReplica, Announcement, HeldVersion, TargetState},
};
use std::time::Instant;

use super::{RowTable, fleet::machine_load};
use crate::cluster::BenchError;

/// The numbers of targets to measure.
const SIZES: [u32; 4] = [30, 300, 3_000, 34_000];

/// Fills directories of several sizes.
pub(super) fn measure_directory() -> Result<String, BenchError> {
    let mut table = RowTable::new(&[
        "targets",
        "directory bytes",
        "bytes/target",
        "µs/announcement",
        "µs/renewal",
        "load",
    ]);
    for size in SIZES {
        let settings = DirectorySettings {
            id: "i1".parse()?,
            expects_peers: false,
            timing: Default::default(),
        };
        let mut directory = TargetDirectory::new(settings, Timestamp::ZERO);
        let first = announce_all(&mut directory, size, Duration::ZERO)?;
        let renewal = announce_all(&mut directory, size, Duration::from_millis(1))?;
        let bytes = directory.approximate_bytes();
        table.push(&[
            size.to_string(),
            bytes.to_string(),
            format!("{:.0}", bytes as f64 / f64::from(size)),
            format!("{first:.1}"),
            format!("{renewal:.1}"),
            machine_load(),
        ]);
    }
    Ok(table.text)
}

/// Announces every target and returns the mean time per announcement, in microseconds.
fn announce_all(
    directory: &mut TargetDirectory,
    size: u32,
    at: Duration,
) -> Result<f64, BenchError> {
    let started = Instant::now();
    for number in 0..size {
        let announcement = make_announcement(number, size)?;
        let wall = WallTime::from_millis(1_000);
        let applied = directory.apply_announcement(announcement, Timestamp::ZERO + at, wall);
        applied.map_err(|error| BenchError::Refused { seen: error.to_string() })?;
    }
    Ok(started.elapsed().as_secs_f64() * 1e6 / f64::from(size))
}

fn make_announcement(number: u32, size: u32) -> Result<Announcement, BenchError> {
    let shards = (size / 3).max(1);
    let address = std::net::Ipv4Addr::from(0x7f01_0000 + number);
    Ok(Announcement {
        target_id: FromStr::from_str(&format!("target-{number:05}"))?,
        incarnation: Incarnation::new(1),
        address: (address, 10_000).into(),
        availability_zone: "norrhamn-a".parse()?,
        slots: 3,
        connections: 30,
        state: TargetState::Ready,
        sequence: None,
        replicas: vec![AnnouncedReplica {
            index: "register-portal".parse()?,
            shard: ShardId::new(number % shards),
            shard_count: shards,
            partition_epoch: PartitionEpoch::new(1),
            versions: vec![HeldVersion { version: IndexVersion::new(1), documents: 1_000 }],
            key_ranges: None,
        }],
    })
}
