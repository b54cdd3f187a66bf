//! The traffic counters of the transport.

use std::sync::atomic::{AtomicU64, Ordering};

/// The traffic counters of a transport since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerTraffic {
    /// Bytes read from peers, framing included.
    pub bytes_in: u64,
    /// Bytes written to peers, framing included.
    pub bytes_out: u64,
    /// Frames and calls received from peers.
    pub frames_in: u64,
    /// Frames and calls sent to peers.
    pub frames_out: u64,
    /// Frames dropped because they were too large, a queue or the table of links was full, the
    /// transport was closed, or the peer did not acknowledge them.
    pub frames_dropped: u64,
    /// Received frames and calls of a kind that this release does not know.
    pub unknown_kinds: u64,
    /// Outgoing connections that completed the handshake.
    pub connections_made: u64,
    /// Outgoing connections that failed, during the handshake included.
    pub connections_failed: u64,
    /// Accepted connections that completed the handshake.
    pub connections_accepted: u64,
    /// Incoming connections that were refused or did not authenticate.
    pub connections_refused: u64,
    /// Connections closed because the peer did not read, acknowledge or answer in time.
    pub connections_stalled: u64,
    /// Authenticated connections currently open, in both directions.
    pub connections_open: u64,
}

/// The counters behind [`PeerTraffic`].
#[derive(Debug, Default)]
pub(super) struct TrafficCounters {
    pub(super) bytes_in: Counter,
    pub(super) bytes_out: Counter,
    pub(super) frames_in: Counter,
    pub(super) frames_out: Counter,
    pub(super) frames_dropped: Counter,
    pub(super) unknown_kinds: Counter,
    pub(super) connections_made: Counter,
    pub(super) connections_failed: Counter,
    pub(super) connections_accepted: Counter,
    pub(super) connections_refused: Counter,
    pub(super) connections_stalled: Counter,
    pub(super) connections_closed: Counter,
}

impl TrafficCounters {
    /// Returns the current values.
    pub(super) fn snapshot(&self) -> PeerTraffic {
        let connections_made = self.connections_made.get();
        let connections_accepted = self.connections_accepted.get();
        let opened = connections_made + connections_accepted;
        PeerTraffic {
            bytes_in: self.bytes_in.get(),
            bytes_out: self.bytes_out.get(),
            frames_in: self.frames_in.get(),
            frames_out: self.frames_out.get(),
            frames_dropped: self.frames_dropped.get(),
            unknown_kinds: self.unknown_kinds.get(),
            connections_made,
            connections_failed: self.connections_failed.get(),
            connections_accepted,
            connections_refused: self.connections_refused.get(),
            connections_stalled: self.connections_stalled.get(),
            connections_open: opened.saturating_sub(self.connections_closed.get()),
        }
    }
}

/// A monotonic counter.
#[derive(Debug, Default)]
pub(super) struct Counter(AtomicU64);

impl Counter {
    pub(super) fn add(&self, amount: u64) {
        self.0.fetch_add(amount, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
