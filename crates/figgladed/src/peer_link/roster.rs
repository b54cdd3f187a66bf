//! The accepted connections of each peer: a peer that connects again and again takes the place of
//! its own older connections, never that of another peer.

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
    /// Builds an empty roster of at most `max_per_peer` connections for each peer.
    pub(super) fn new(max_per_peer: usize) -> Self {
        Self { max_per_peer, peers: Mutex::default() }
    }

    /// Enters a connection of `peer`, which hears on `replaced` when it has to be closed, and has
    /// the oldest connection of the same peer closed when there are too many.
    pub(super) fn enter(self: &Arc<Self>, peer: InstanceId, replaced: Arc<Notify>) -> RosterEntry {
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

/// The place of one connection; given up when dropped.
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
