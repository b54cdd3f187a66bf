//! What a hub knows of the other hubs and of its followers.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use figglade::{
    CoreShare, InstanceId, Timestamp, ZoneName,
    controller::{group_keeper::SeedKind, hub_chooser::HubAddress},
};

use super::message::HubGreeting;

/// How recently a hub must have greeted to count as heard from: three greetings.
pub(super) const HUB_TIMEOUT: Duration = Duration::from_millis(2_100);
/// How long a silent hub is still greeted, where it is no seed.
const HUB_RETENTION: Duration = Duration::from_secs(60);
/// How long a follower counts that does not ask any more.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long digests may differ before the targets are sent whole: news may be on its way.
const MISMATCH_TIMEOUT: Duration = Duration::from_millis(600);
/// The shortest time between two transfers to one receiver.
const MIN_TRANSFER_INTERVAL: Duration = Duration::from_millis(1_500);

/// Decides when the targets are sent whole.
#[derive(Clone, Debug, Default)]
pub(super) struct DigestWatch {
    differs_since: Option<Timestamp>,
    sent_at: Option<Timestamp>,
}

impl DigestWatch {
    /// Compares digests and returns whether the targets go out whole now; `is_urgent` where no
    /// news can be on its way.
    pub(super) fn compare(
        &mut self,
        own: u64,
        other: u64,
        is_urgent: bool,
        now: Timestamp,
    ) -> bool {
        if own == other {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let is_due = is_urgent || now.since(since) >= MISMATCH_TIMEOUT;
        let is_free = self.sent_at.is_none_or(|at| now.since(at) >= MIN_TRANSFER_INTERVAL);
        let is_sent = is_due && is_free;
        if is_sent {
            self.sent_at = Some(now);
        }
        is_sent
    }
}

/// Another hub.
#[derive(Clone, Debug, Default)]
pub(super) struct HubPeer {
    pub(super) greeting: Option<HubGreeting>,
    pub(super) last_contact: Option<Timestamp>,
    pub(super) watch: DigestWatch,
    known_since: Timestamp,
    is_seed: bool,
}

/// The other hubs.
#[derive(Clone, Debug, Default)]
pub(super) struct HubPeers {
    own: Option<SocketAddr>,
    pub(super) peers: BTreeMap<SocketAddr, HubPeer>,
}

impl HubPeers {
    pub(super) fn new(own: SocketAddr) -> Self {
        Self { own: Some(own), peers: BTreeMap::new() }
    }

    /// Takes the seeds of the settings.
    pub(super) fn update_seeds(&mut self, seeds: &[SocketAddr], now: Timestamp) {
        for peer in self.peers.values_mut() {
            peer.is_seed = false;
        }
        for seed in seeds {
            self.learn(*seed, now);
            if let Some(peer) = self.peers.get_mut(seed) {
                peer.is_seed = true;
            }
        }
    }

    /// Takes the address of a hub.
    pub(super) fn learn(&mut self, address: SocketAddr, now: Timestamp) {
        if Some(address) != self.own {
            let fresh = HubPeer { known_since: now, ..HubPeer::default() };
            self.peers.entry(address).or_insert(fresh);
        }
    }

    /// Takes a greeting.
    pub(super) fn handle_greeting(
        &mut self,
        from: SocketAddr,
        greeting: HubGreeting,
        now: Timestamp,
    ) {
        for hub in &greeting.hubs {
            self.learn(*hub, now);
        }
        self.learn(from, now);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.greeting = Some(greeting);
            peer.last_contact = Some(now);
        }
    }

    /// Drops hubs that are silent for long.
    pub(super) fn evict_unreachable(&mut self, now: Timestamp) {
        self.peers.retain(|_, peer| {
            let last = peer.last_contact.unwrap_or(peer.known_since);
            peer.is_seed || now.since(last) < HUB_RETENTION
        });
    }

    /// Returns the hubs that were heard from lately.
    pub(super) fn reachable(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (SocketAddr, &HubGreeting)> {
        self.peers.iter().filter_map(move |(address, peer)| {
            let is_reachable = peer.last_contact.is_some_and(|at| now.since(at) < HUB_TIMEOUT);
            peer.greeting.as_ref().filter(|_| is_reachable).map(|greeting| (*address, greeting))
        })
    }

    /// Returns whether the hub with this name was heard from lately.
    pub(super) fn is_reachable(&self, id: &InstanceId, now: Timestamp) -> bool {
        self.reachable(now).any(|(_, greeting)| greeting.id == *id)
    }

    /// Returns what a seed is known to be.
    pub(super) fn seed_kind(&self, seed: &SocketAddr) -> SeedKind {
        match self.peers.get(seed).and_then(|peer| peer.greeting.as_ref()) {
            None => SeedKind::Unknown,
            Some(greeting) if greeting.has_disk => SeedKind::WithDisk,
            Some(_) => SeedKind::WithoutDisk,
        }
    }

    /// Returns the hub in `zone` that targets there should report to.
    pub(super) fn hub_in_zone(&self, zone: &ZoneName, now: Timestamp) -> Option<SocketAddr> {
        let mut near = self.reachable(now).filter(|(_, greeting)| greeting.zone == *zone);
        near.find(|(_, greeting)| greeting.is_synced).map(|(_, greeting)| greeting.admin)
    }

    /// Returns the addresses of all hubs.
    pub(super) fn addresses(&self) -> impl Iterator<Item = HubAddress> {
        self.peers.iter().map(|(peer, held)| HubAddress {
            peer: *peer,
            zone: held.greeting.as_ref().map(|greeting| greeting.zone.clone()),
        })
    }
}

/// A follower of this hub.
#[derive(Clone, Debug, Default)]
pub(super) struct HubFollowerState {
    pub(super) last_contact: Timestamp,
    pub(super) watch: DigestWatch,
    pub(super) polls: u32,
    pub(super) routes_sent_at: Option<Timestamp>,
    /// The hubs with a known zone that it was last told.
    pub(super) sent_hub_count: usize,
    /// Its availability zone and its processor time, once it said so.
    pub(super) member: Option<(ZoneName, CoreShare)>,
}

impl HubFollowerState {
    /// Returns whether it still asks.
    pub(super) fn is_present(&self, now: Timestamp) -> bool {
        now.since(self.last_contact) < FOLLOWER_TIMEOUT
    }
}
