//! Chooses the control instance (hub) from which an instance receives targets and route sets.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Timestamp, ZoneName};

/// The time without a reply after which another hub is followed: two polls without an answer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// The time after which another hub is followed if the followed one replies without proof that it
/// is current.
const PROOF_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The delay before a local hub that was tried or timed out is tried again.
const LOCAL_RETRY_DELAY: Duration = Duration::from_secs(15);
/// The maximum number of hubs probed at a time in addition to the followed one.
const MAX_PROBED: usize = 3;
/// The time for which a hub that timed out is chosen only as a last resort.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(5);

/// The address and zone of a hub.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubAddress {
    /// The address on which it listens for peers.
    pub peer: SocketAddr,
    /// Its availability zone, if known.
    pub zone: Option<ZoneName>,
}

#[derive(Clone, Debug, Default)]
struct HubState {
    zone: Option<ZoneName>,
    last_contact: Option<Timestamp>,
    chosen_at: Option<Timestamp>,
    probed_at: Option<Timestamp>,
    timed_out_at: Option<Timestamp>,
    is_usable: bool,
}

/// Chooses the hub to follow.
#[derive(Clone, Debug)]
pub struct HubChooser {
    zone: ZoneName,
    hubs: BTreeMap<SocketAddr, HubState>,
    current: Option<SocketAddr>,
    /// The hub to follow from the next call of [`Self::choose`] on.
    preferred: Option<SocketAddr>,
}

impl HubChooser {
    /// Creates a chooser that knows no hubs.
    pub const fn new(zone: ZoneName) -> Self {
        Self { zone, hubs: BTreeMap::new(), current: None, preferred: None }
    }

    /// Adds hubs and updates the zones of known ones.
    pub fn update_hubs(&mut self, hubs: impl Iterator<Item = HubAddress>) {
        for hub in hubs {
            let held = self.hubs.entry(hub.peer).or_default();
            held.zone = hub.zone.or_else(|| held.zone.take());
        }
    }

    /// Handles the reply of a hub; `is_usable` tells whether the hub has proven that it is current
    /// and has synced the targets. If the followed hub is not current, the first usable hub that
    /// replies is followed next.
    pub fn handle_reply(&mut self, from: SocketAddr, is_usable: bool, now: Timestamp) {
        let needs_hub = !self.is_current(now);
        let held = self.hubs.entry(from).or_default();
        held.last_contact = Some(now);
        held.timed_out_at = None;
        held.is_usable = is_usable;
        if is_usable && needs_hub && self.current != Some(from) {
            // So far the hub was only probed; its first poll must announce this instance as new.
            held.chosen_at = None;
            self.preferred = Some(from);
        }
    }

    /// Returns the hubs to probe now in addition to the followed one: none while the followed hub
    /// is current, otherwise those probed least recently.
    pub fn probe_others(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        if self.is_current(now) {
            return Vec::new();
        }
        let current = self.current;
        let mut others: Vec<_> =
            self.hubs.iter_mut().filter(|(address, _)| Some(**address) != current).collect();
        others.sort_by_key(|(_, held)| held.probed_at);
        let probed = others.into_iter().take(MAX_PROBED).map(|(address, held)| {
            held.probed_at = Some(now);
            *address
        });
        probed.collect()
    }

    /// Returns the followed hub.
    pub fn followed(&self) -> Option<SocketAddr> {
        self.preferred.or(self.current)
    }

    /// Returns the hub to call: the followed one, or another one if `is_avoided` holds for it. Local
    /// hubs come first, then those heard last.
    pub fn choose_for_call(&self, is_avoided: impl Fn(&SocketAddr) -> bool) -> Option<SocketAddr> {
        if let Some(followed) = self.followed().filter(|hub| !is_avoided(hub)) {
            return Some(followed);
        }
        let others = self.hubs.iter().filter(|(address, _)| !is_avoided(address));
        let best = others.min_by_key(|(address, held)| {
            (!self.is_local(address), Reverse(held.last_contact), **address)
        });
        best.map(|(address, _)| *address)
    }

    /// Returns whether the followed hub has proven within the last polls that it is current.
    pub fn is_current(&self, now: Timestamp) -> bool {
        let held = self.current.and_then(|current| self.hubs.get(&current));
        held.is_some_and(|held| {
            held.is_usable && held.last_contact.is_some_and(|at| now.since(at) < PROOF_TIMEOUT)
        })
    }

    /// Returns the hub to follow now and whether it was chosen anew by this call.
    pub fn choose(&mut self, now: Timestamp) -> Option<(SocketAddr, bool)> {
        if let Some(preferred) = self.preferred.take().or_else(|| self.find_local_hub(now)) {
            return Some((self.follow(preferred, now), true));
        }
        if let Some(current) = self.current {
            if self.should_keep(&current, now) {
                return Some((current, false));
            }
            if let Some(held) = self.hubs.get_mut(&current)
                && held.last_contact.is_none_or(|at| now.since(at) >= REPLY_TIMEOUT)
            {
                held.timed_out_at = Some(now);
            }
        }
        let next = self.next_hub(now)?;
        Some((self.follow(next, now), true))
    }

    fn follow(&mut self, hub: SocketAddr, now: Timestamp) -> SocketAddr {
        self.current = Some(hub);
        if let Some(held) = self.hubs.get_mut(&hub) {
            held.chosen_at = Some(now);
        }
        hub
    }

    /// Returns a hub in the local zone if the followed one is remote, because traffic between zones
    /// is billed. Hubs that were tried or timed out within [`LOCAL_RETRY_DELAY`] are skipped.
    fn find_local_hub(&self, now: Timestamp) -> Option<SocketAddr> {
        if !self.is_current(now) || self.is_local(&self.current?) {
            return None;
        }
        let mut local = self.hubs.iter().filter(|(address, held)| {
            let was_tried = held.chosen_at.is_some_and(|at| now.since(at) < LOCAL_RETRY_DELAY);
            let has_timed_out =
                held.timed_out_at.is_some_and(|at| now.since(at) < LOCAL_RETRY_DELAY);
            self.is_local(address) && !was_tried && !has_timed_out
        });
        local.next().map(|(address, _)| *address)
    }

    fn is_local(&self, address: &SocketAddr) -> bool {
        self.hubs.get(address).is_some_and(|held| held.zone.as_ref() == Some(&self.zone))
    }

    fn should_keep(&self, current: &SocketAddr, now: Timestamp) -> bool {
        let Some(held) = self.hubs.get(current) else { return false };
        let chosen_at = held.chosen_at.unwrap_or_default();
        let last = held.last_contact.map_or(chosen_at, |contact| contact.max(chosen_at));
        let is_reachable = now.since(last) < REPLY_TIMEOUT;
        is_reachable && (held.is_usable || now.since(chosen_at) < PROOF_TIMEOUT)
    }

    /// Returns the best hub other than the followed one. Hubs that timed out within
    /// [`FAILURE_COOLDOWN`] come last, then those that were tried and are not usable; among the
    /// rest, local hubs come before remote ones, then the one chosen least recently.
    fn next_hub(&self, now: Timestamp) -> Option<SocketAddr> {
        let others = self.hubs.iter().filter(|(address, _)| Some(**address) != self.current);
        let best = others.min_by_key(|(_, held)| {
            let is_cooling_down =
                held.timed_out_at.is_some_and(|at| now.since(at) < FAILURE_COOLDOWN);
            let was_tried = held.chosen_at.is_some();
            let is_remote = held.zone.as_ref() != Some(&self.zone);
            (is_cooling_down, was_tried && !held.is_usable, is_remote, held.chosen_at)
        });
        best.map(|(address, _)| *address).or(self.current)
    }
}
