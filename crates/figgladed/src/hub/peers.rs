//! The state that a hub keeps for each other hub and each follower.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use figglade::{
    CoreShare, InstanceId, Timestamp, ZoneName,
    controller::{group_keeper::SeedKind, hub_chooser::HubAddress},
};

use super::message::HubGreeting;

/// The maximum age of the last greeting of a reachable hub: three greeting intervals.
pub(super) const HUB_TIMEOUT: Duration = Duration::from_millis(2_100);
/// The time after which an unreachable hub that is not a seed is evicted and no longer greeted.
const HUB_RETENTION: Duration = Duration::from_secs(60);
/// The time after its last poll for which a follower is counted.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long digests may differ before all targets are sent: updates may be in transit.
const MISMATCH_TIMEOUT: Duration = Duration::from_millis(600);
/// The minimum time between two transfers of all targets to one receiver.
const MIN_TRANSFER_INTERVAL: Duration = Duration::from_millis(1_500);

/// Decides when to send all targets to a peer whose digest differs.
#[derive(Clone, Debug, Default)]
pub(super) struct DigestWatch {
    mismatch_since: Option<Timestamp>,
    sent_at: Option<Timestamp>,
}

impl DigestWatch {
    /// Compares digests and returns whether to send all targets now. `is_urgent` skips the wait for
    /// updates in transit.
    pub(super) fn compare(
        &mut self,
        own: u64,
        other: u64,
        is_urgent: bool,
        now: Timestamp,
    ) -> bool {
        if own == other {
            self.mismatch_since = None;
            return false;
        }
        let since = *self.mismatch_since.get_or_insert(now);
        let is_due = is_urgent || now.since(since) >= MISMATCH_TIMEOUT;
        let may_send = self.sent_at.is_none_or(|at| now.since(at) >= MIN_TRANSFER_INTERVAL);
        let should_send = is_due && may_send;
        if should_send {
            self.sent_at = Some(now);
        }
        should_send
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

    /// Replaces the seeds by those of the settings.
    pub(super) fn update_seeds(&mut self, seeds: &[SocketAddr], now: Timestamp) {
        for peer in self.peers.values_mut() {
            peer.is_seed = false;
        }
        for seed in seeds {
            self.add(*seed, now);
            if let Some(peer) = self.peers.get_mut(seed) {
                peer.is_seed = true;
            }
        }
    }

    /// Adds a hub by its address.
    pub(super) fn add(&mut self, address: SocketAddr, now: Timestamp) {
        if Some(address) != self.own {
            let new_peer = HubPeer { known_since: now, ..HubPeer::default() };
            self.peers.entry(address).or_insert(new_peer);
        }
    }

    /// Records a greeting and adds the hubs that it names.
    pub(super) fn handle_greeting(
        &mut self,
        from: SocketAddr,
        greeting: HubGreeting,
        now: Timestamp,
    ) {
        for hub in &greeting.hubs {
            self.add(*hub, now);
        }
        self.add(from, now);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.greeting = Some(greeting);
            peer.last_contact = Some(now);
        }
    }

    /// Evicts hubs without contact for [`HUB_RETENTION`], except seeds.
    pub(super) fn evict_unreachable(&mut self, now: Timestamp) {
        self.peers.retain(|_, peer| {
            let last_contact = peer.last_contact.unwrap_or(peer.known_since);
            peer.is_seed || now.since(last_contact) < HUB_RETENTION
        });
    }

    /// Returns the hubs that are reachable, with their last greetings.
    pub(super) fn live(&self, now: Timestamp) -> impl Iterator<Item = (SocketAddr, &HubGreeting)> {
        self.peers.iter().filter_map(move |(address, peer)| {
            let is_reachable = peer.last_contact.is_some_and(|at| now.since(at) < HUB_TIMEOUT);
            peer.greeting.as_ref().filter(|_| is_reachable).map(|greeting| (*address, greeting))
        })
    }

    /// Returns whether the hub with this identifier is reachable.
    pub(super) fn is_reachable(&self, id: &InstanceId, now: Timestamp) -> bool {
        self.live(now).any(|(_, greeting)| greeting.id == *id)
    }

    /// Returns what is known about the disk of a seed.
    pub(super) fn seed_kind(&self, seed: &SocketAddr) -> SeedKind {
        match self.peers.get(seed).and_then(|peer| peer.greeting.as_ref()) {
            None => SeedKind::Unknown,
            Some(greeting) if greeting.has_disk => SeedKind::WithDisk,
            Some(_) => SeedKind::WithoutDisk,
        }
    }

    /// Returns the address to which the targets in `zone` should report: that of a reachable hub
    /// there which knows the targets.
    pub(super) fn hub_in_zone(&self, zone: &ZoneName, now: Timestamp) -> Option<SocketAddr> {
        let mut local = self.live(now).filter(|(_, greeting)| greeting.zone == *zone);
        local.find(|(_, greeting)| greeting.is_synced).map(|(_, greeting)| greeting.admin)
    }

    /// Returns the addresses of the other hubs.
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
    /// The number of hubs with a known zone at its last poll.
    pub(super) sent_hub_count: usize,
    /// Its availability zone and processor time; `None` until it reports them.
    pub(super) member: Option<(ZoneName, CoreShare)>,
}

impl HubFollowerState {
    /// Returns whether it polled within [`FOLLOWER_TIMEOUT`].
    pub(super) fn is_present(&self, now: Timestamp) -> bool {
        now.since(self.last_contact) < FOLLOWER_TIMEOUT
    }
}
