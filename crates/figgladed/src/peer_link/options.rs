//! The options and limits of a transport.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use figglade::{Incarnation, InstanceId, peer::MAX_FRAME_BYTES};

use super::types::StampClock;
use crate::settings::KeySet;

/// The newest version of the peer protocol that this release supports.
pub const PROTOCOL_VERSION: u16 = 1;

/// The oldest version of the peer protocol that this release supports.
pub const MIN_PROTOCOL_VERSION: u16 = 1;

/// A range of supported versions of the peer protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionRange {
    /// The oldest version.
    pub min: u16,
    /// The newest version.
    pub max: u16,
}

impl VersionRange {
    /// Returns the newest version that both ranges contain.
    pub fn common_with(self, other: Self) -> Option<u16> {
        let newest = self.max.min(other.max);
        (newest >= self.min.max(other.min)).then_some(newest)
    }
}

impl Default for VersionRange {
    fn default() -> Self {
        Self { min: MIN_PROTOCOL_VERSION, max: PROTOCOL_VERSION }
    }
}

/// The resource limits and timeouts of a transport.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerLimits {
    /// Accepted connections open at the same time.
    pub max_inbound_connections: usize,
    /// Accepted connections of one peer; a further connection closes the oldest one.
    pub max_connections_per_peer: usize,
    /// Accepted connections that have not completed authentication.
    pub max_unauthenticated: usize,
    /// Links to other instances at the same time; each peer has at most two, one per lane.
    pub max_links: usize,
    /// Frames queued for one link; when the queue is full, the oldest frame is dropped.
    pub max_queued_frames: usize,
    /// Bytes of frames queued for one link.
    pub max_queued_bytes: usize,
    /// Frames sent on one connection and not yet acknowledged by the peer.
    pub max_sent_frames: usize,
    /// Bytes of frames sent on one connection and not yet acknowledged by the peer.
    pub max_sent_bytes: usize,
    /// Calls queued for one link, in flight on one connection, or running for one accepted
    /// connection.
    pub max_calls: usize,
    /// The time limit for the TCP connection, and again for the handshake.
    pub handshake_timeout: Duration,
    /// The time after which a connection is closed when the peer does not read or does not
    /// acknowledge a frame.
    pub stall_timeout: Duration,
    /// The time limit for the answer to a ping, which is sent after a call has timed out.
    pub ping_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// The backoff after the first failed connection.
    pub first_backoff: Duration,
    /// The maximum backoff after repeated failures.
    pub max_backoff: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            max_inbound_connections: 4_096,
            max_connections_per_peer: 8,
            max_unauthenticated: 128,
            max_links: 4_096,
            max_queued_frames: 256,
            max_queued_bytes: 4 * MAX_FRAME_BYTES,
            max_sent_frames: 64,
            max_sent_bytes: MAX_FRAME_BYTES / 2,
            max_calls: 256,
            handshake_timeout: Duration::from_secs(1),
            stall_timeout: Duration::from_secs(5),
            ping_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(60),
            first_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// The options of a transport.
#[derive(Clone, derive_more::Debug)]
pub struct PeerOptions {
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The address announced to other instances; `None` announces the listening address.
    pub advertise: Option<SocketAddr>,
    /// The id of this instance.
    pub id: InstanceId,
    /// The incarnation of this instance, one per process start.
    pub incarnation: Incarnation,
    /// The peer keys; with `None`, links exist only to instances that have no keys either.
    pub keys: Option<KeySet>,
    /// The clock that stamps messages; `None` sends messages without stamps.
    #[debug(skip)]
    pub clock: Option<Arc<dyn StampClock>>,
    /// The supported protocol versions.
    pub versions: VersionRange,
    /// The resource limits and timeouts.
    pub limits: PeerLimits,
}

impl PeerOptions {
    /// Builds options with the versions of this release and the default limits.
    pub fn new(
        listen: SocketAddr,
        id: InstanceId,
        incarnation: Incarnation,
        keys: Option<KeySet>,
    ) -> Self {
        Self {
            listen,
            advertise: None,
            id,
            incarnation,
            keys,
            clock: None,
            versions: VersionRange::default(),
            limits: PeerLimits::default(),
        }
    }
}
