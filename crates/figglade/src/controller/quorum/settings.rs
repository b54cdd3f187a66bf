//! Settings and fixed limits of a member of the quorum log.

use std::{net::SocketAddr, time::Duration};

use crate::{InstanceId, controller::quorum::StorageId};

/// The largest command that may be proposed, in bytes; one entry always fits one frame.
pub const MAX_COMMAND_BYTES: usize = 512 << 10;
/// The most bytes of a snapshot that one message carries.
pub const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;
/// The largest snapshot that is made or accepted, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 256 << 20;
/// The most unanswered append messages per follower.
pub const MAX_IN_FLIGHT: usize = 8;
/// The most entries that may wait for commitment at the leader.
pub const MAX_UNCOMMITTED_ENTRIES: usize = 16_384;
/// The most bytes that may wait for commitment at the leader.
pub const MAX_UNCOMMITTED_BYTES: usize = 16 << 20;
/// The most reads that may wait for confirmation at the leader.
pub const MAX_PENDING_READS: usize = 16_384;
/// The most entries covered by the snapshot that stay in memory, so that followers slightly behind
/// need no snapshot.
pub const TRAILING_ENTRIES: usize = 1_024;
/// The most bytes that these entries may take.
pub const TRAILING_BYTES: usize = 2 << 20;
/// The most members of a group: one above the recommended seven, so that a member can be replaced
/// in a full group.
pub const MAX_MEMBERS: usize = 8;

/// Settings of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuorumSettings {
    /// The instance.
    pub id: InstanceId,
    /// The peer address of the instance.
    pub peer: SocketAddr,
    /// The identity of the data folder.
    pub storage: StorageId,
    /// The shortest time without a leader before an election; the longest is twice as long.
    pub election_timeout: Duration,
    /// The time between heartbeats of the leader.
    pub heartbeat_period: Duration,
    /// The part of the election timeout by which the lease is shortened to allow for clock drift.
    pub lease_margin: Duration,
    /// The most entries of one append message.
    pub max_append_entries: usize,
    /// The most payload bytes of one append message, at most [`MAX_COMMAND_BYTES`]; a single entry
    /// is sent whatever its size.
    pub max_append_bytes: usize,
}

impl QuorumSettings {
    /// Returns whether a leader answers reads under its lease. Without leases a majority confirms
    /// each read, and no guarantee depends on the time since the last contact with a leader.
    pub fn uses_leases(&self) -> bool {
        self.lease_margin < self.election_timeout
    }
}
