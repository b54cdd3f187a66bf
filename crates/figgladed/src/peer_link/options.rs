//! What a transport is started with.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use figglade::{Incarnation, InstanceId, peer::MAX_FRAME_BYTES};

use super::types::StampClock;
use crate::settings::KeySet;

/// The version of the peer protocol that this release speaks.
pub const PROTOCOL_VERSION: u16 = 1;

/// The oldest version of the peer protocol that this release still speaks.
pub const MIN_PROTOCOL_VERSION: u16 = 1;

/// The versions of the peer protocol that one side speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionRange {
    /// The oldest version.
    pub min: u16,
    /// The newest version.
    pub max: u16,
}

impl VersionRange {
    /// Returns the newest version that both sides speak.
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

/// What a transport may use at most.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerLimits {
    /// Connections accepted at a time.
    pub max_inbound_connections: usize,
    /// Accepted connections that have not proved a key yet.
    pub max_unauthenticated: usize,
    /// Links to other instances at a time; a peer has at most two.
    pub max_links: usize,
    /// Frames that wait for one link; the oldest is dropped for a new one.
    pub max_queued_frames: usize,
    /// Bytes of frames that wait for one link.
    pub max_queued_bytes: usize,
    /// Frames sent on one connection and not yet taken by the peer.
    pub max_sent_frames: usize,
    /// Bytes of frames sent on one connection and not yet taken by the peer.
    pub max_sent_bytes: usize,
    /// Calls that wait for one link or run on one connection.
    pub max_calls: usize,
    /// The time to connect and to prove a key.
    pub handshake_timeout: Duration,
    /// The time after which a peer that takes nothing is disconnected.
    pub stall_timeout: Duration,
    /// The time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// The wait after the first failed connection.
    pub first_backoff: Duration,
    /// The longest wait after failed connections.
    pub max_backoff: Duration,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            max_inbound_connections: 4_096,
            max_unauthenticated: 128,
            max_links: 4_096,
            max_queued_frames: 256,
            max_queued_bytes: 4 * MAX_FRAME_BYTES,
            max_sent_frames: 64,
            max_sent_bytes: MAX_FRAME_BYTES / 2,
            max_calls: 256,
            handshake_timeout: Duration::from_secs(1),
            stall_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            first_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// What a transport is started with.
#[derive(Clone, derive_more::Debug)]
pub struct PeerOptions {
    /// Where to listen; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Where other instances connect to; `None` when it is where the transport listens.
    pub advertise: Option<SocketAddr>,
    /// The name of this instance.
    pub id: InstanceId,
    /// The start of this instance.
    pub incarnation: Incarnation,
    /// The peer keys; `None` links only to instances that have none either.
    pub keys: Option<KeySet>,
    /// Stamps messages; `None` sends them without a stamp.
    #[debug(skip)]
    pub clock: Option<Arc<dyn StampClock>>,
    /// The protocol versions spoken.
    pub versions: VersionRange,
    /// The bounds.
    pub limits: PeerLimits,
}

impl PeerOptions {
    /// Builds options with the versions of this release and the usual bounds.
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
