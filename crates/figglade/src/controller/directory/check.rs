//! Validation of announcements.

use std::fmt::Display;

use super::types::DirectoryError;
use crate::wire::{AnnouncedReplica, Announcement};

/// The maximum number of replicas in one announcement.
pub const MAX_REPLICAS: usize = 4_096;

/// The maximum number of shards of one index.
pub const MAX_SHARD_COUNT: u32 = 65_536;

/// The maximum number of versions held by one replica.
pub const MAX_VERSIONS: usize = 64;

/// The maximum number of slots of one target.
pub const MAX_SLOTS: u32 = 65_536;

/// The maximum number of connections of one target.
pub const MAX_CONNECTIONS: u32 = 1_048_576;

/// The maximum approximate size of an announcement in the form that instances exchange.
pub const MAX_ANNOUNCEMENT_BYTES: usize = 256 * 1_024;

/// Checks that every field of an announcement is within its bounds.
///
/// # Errors
///
/// Fails with the first field that is out of bounds and the allowed values.
pub fn check_announcement(announcement: &Announcement) -> Result<(), DirectoryError> {
    check_range("slots", announcement.slots, 1, MAX_SLOTS)?;
    check_range("connections", announcement.connections, 1, MAX_CONNECTIONS)?;
    if announcement.address.port() == 0 {
        return Err(invalid("address", "must name a port"));
    }
    if announcement.address.ip().is_unspecified() {
        return Err(invalid("address", "must name an IP address to connect to"));
    }
    let count = announcement.replicas.len();
    if count > MAX_REPLICAS {
        let reason = format!("must list at most {MAX_REPLICAS}, lists {count}");
        return Err(invalid("replicas", reason));
    }
    for (position, replica) in announcement.replicas.iter().enumerate() {
        check_replica(position, replica)?;
    }
    let size = super::compact::encoded_bytes(announcement);
    if size > MAX_ANNOUNCEMENT_BYTES {
        let reason = format!("must take at most {MAX_ANNOUNCEMENT_BYTES} bytes, take {size}");
        return Err(invalid("replicas", reason));
    }
    Ok(())
}

/// Checks one replica.
fn check_replica(position: usize, replica: &AnnouncedReplica) -> Result<(), DirectoryError> {
    let field = |name: &str| format!("replicas[{position}].{name}");
    check_range(&field("shard_count"), replica.shard_count, 1, MAX_SHARD_COUNT)?;
    check_range(&field("shard"), replica.shard.get(), 0, replica.shard_count - 1)?;
    let count = replica.versions.len();
    if count > MAX_VERSIONS {
        let reason = format!("must list at most {MAX_VERSIONS}, lists {count}");
        return Err(invalid(field("versions"), reason));
    }
    let mut versions: Vec<_> = replica.versions.iter().map(|held| held.version).collect();
    versions.sort_unstable();
    match versions.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(invalid(field("versions"), format!("lists version {} twice", pair[0]))),
        None => Ok(()),
    }
}

/// Checks that a number lies between `least` and `most`.
fn check_range(field: &str, found: u32, least: u32, most: u32) -> Result<(), DirectoryError> {
    if (least..=most).contains(&found) {
        return Ok(());
    }
    Err(invalid(field, format!("must be from {least} to {most}, is {found}")))
}

/// Builds the error for an invalid field.
fn invalid(field: impl Into<String>, reason: impl Display) -> DirectoryError {
    DirectoryError::Invalid { field: field.into(), reason: reason.to_string() }
}
