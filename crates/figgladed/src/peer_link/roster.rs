//! The accepted connections of each peer: a peer that connects repeatedly replaces its own older
//! connections, never those of another peer.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use figglade::InstanceId;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// The accepted connections of every peer.
#[derive(Debug)]
pub(super) struct ConnectionRoster {
    max_per_peer: usize,
    peers: Mutex<HashMap<InstanceId, VecDeque<Arc<Notify>>>>,
}

impl ConnectionRoster {
    /// Builds an empty roster with at most `max_per_peer` connections per peer.
    pub(super) fn new(max_per_peer: usize) -> Self {
        Self { max_per_peer, peers: Mutex::default() }
    }

    /// Registers a connection of `peer`. When the peer exceeds its limit, its oldest connection is
    /// notified through the `replaced` of that connection and must be closed.
    pub(super) fn register(
        self: &Arc<Self>,
        peer: InstanceId,
        replaced: Arc<Notify>,
    ) -> RosterEntry {
        let mut peers = self.peers.lock();
        let connections = peers.entry(peer.clone()).or_default();
        connections.push_back(Arc::clone(&replaced));
        if connections.len() > self.max_per_peer {
            connections.pop_front().into_iter().for_each(|oldest| oldest.notify_one());
        }
        drop(peers);
        RosterEntry { roster: Arc::clone(self), peer, replaced }
    }
}

/// The registration of one connection; dropping it removes the connection from the roster.
#[derive(Debug)]
pub(super) struct RosterEntry {
    roster: Arc<ConnectionRoster>,
    peer: InstanceId,
    replaced: Arc<Notify>,
}

impl Drop for RosterEntry {
    fn drop(&mut self) {
        let mut peers = self.roster.peers.lock();
        let Some(connections) = peers.get_mut(&self.peer) else { return };
        connections.retain(|connection| !Arc::ptr_eq(connection, &self.replaced));
        if connections.is_empty() {
            peers.remove(&self.peer);
        }
    }
}
