//! Which control instance an instance follows for targets and route sets.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Timestamp, ZoneName};

/// The silence after which another hub is followed: two polls without an answer.
const SILENCE: Duration = Duration::from_millis(900);
/// How long a hub is followed that answers without proof of being current, before another is
/// tried.
const DOUBT: Duration = Duration::from_millis(1_500);
/// How long a hub in the own zone is left alone after a try.
const RETRY_NEAR: Duration = Duration::from_secs(15);
/// The most hubs asked beside the one that is followed.
const MAX_ASKED: usize = 3;
/// How long a hub that fell silent comes last.
const SHUN: Duration = Duration::from_secs(5);

/// Where a hub is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubAddress {
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// Its availability zone, where known.
    pub zone: Option<ZoneName>,
}

#[derive(Clone, Debug, Default)]
struct HubView {
    zone: Option<ZoneName>,
    heard_at: Option<Timestamp>,
    chosen_at: Option<Timestamp>,
    asked_at: Option<Timestamp>,
    fell_silent_at: Option<Timestamp>,
    is_trusted: bool,
}

/// Chooses the hub to follow.
#[derive(Clone, Debug)]
pub struct HubChooser {
    zone: ZoneName,
    hubs: BTreeMap<SocketAddr, HubView>,
    current: Option<SocketAddr>,
    /// The hub to turn to with the next choice.
    preferred: Option<SocketAddr>,
}

impl HubChooser {
    /// Starts without hubs.
    pub const fn new(zone: ZoneName) -> Self {
        Self { zone, hubs: BTreeMap::new(), current: None, preferred: None }
    }

    /// Takes addresses of hubs.
    pub fn update_hubs(&mut self, hubs: impl Iterator<Item = HubAddress>) {
        for hub in hubs {
            let held = self.hubs.entry(hub.peer).or_default();
            held.zone = hub.zone.or_else(|| held.zone.take());
        }
    }

    /// Takes a word of a hub; `is_trusted` tells whether it proved to be current and knows the
    /// targets. The first such hub is followed where the one followed so far is not.
    pub fn handle_reply(&mut self, from: SocketAddr, is_trusted: bool, now: Timestamp) {
        let is_lacking = !self.is_current(now);
        let held = self.hubs.entry(from).or_default();
        held.heard_at = Some(now);
        held.fell_silent_at = None;
        held.is_trusted = is_trusted;
        if is_trusted && is_lacking && self.current != Some(from) {
            // The first poll of a hub that was only asked tells it that this instance is new.
            held.chosen_at = None;
            self.preferred = Some(from);
        }
    }

    /// Returns the hubs to ask now beside the one that is followed: none while that one is
    /// trusted, otherwise those asked least recently.
    pub fn probe_others(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        if self.is_current(now) {
            return Vec::new();
        }
        let current = self.current;
        let mut others: Vec<_> =
            self.hubs.iter_mut().filter(|(address, _)| Some(**address) != current).collect();
        others.sort_by_key(|(_, held)| held.asked_at);
        let asked = others.into_iter().take(MAX_ASKED).map(|(address, held)| {
            held.asked_at = Some(now);
            *address
        });
        asked.collect()
    }

    /// Returns the hub that is followed.
    pub fn followed(&self) -> Option<SocketAddr> {
        self.preferred.or(self.current)
    }

    /// Returns whether the hub that is followed proved within the last polls to be current.
    pub fn is_current(&self, now: Timestamp) -> bool {
        let held = self.current.and_then(|current| self.hubs.get(&current));
        held.is_some_and(|held| {
            held.is_trusted && held.heard_at.is_some_and(|at| now.since(at) < DOUBT)
        })
    }

    /// Returns the hub to follow now, and whether it is another one than before.
    pub fn choose(&mut self, now: Timestamp) -> Option<(SocketAddr, bool)> {
        if let Some(preferred) = self.preferred.take().or_else(|| self.nearer_hub(now)) {
            return Some((self.follow(preferred, now), true));
        }
        if let Some(current) = self.current {
            if self.is_kept(&current, now) {
                return Some((current, false));
            }
            if let Some(held) = self.hubs.get_mut(&current)
                && held.heard_at.is_none_or(|at| now.since(at) >= SILENCE)
            {
                held.fell_silent_at = Some(now);
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

    /// Returns a hub in the own zone, where the one that is followed is elsewhere: bytes between
    /// zones are paid for. One that was tried lately is not tried again.
    fn nearer_hub(&self, now: Timestamp) -> Option<SocketAddr> {
        if !self.is_current(now) || self.is_near(&self.current?) {
            return None;
        }
        let mut near = self.hubs.iter().filter(|(address, held)| {
            let was_tried = held.chosen_at.is_some_and(|at| now.since(at) < RETRY_NEAR);
            let was_silent = held.fell_silent_at.is_some_and(|at| now.since(at) < RETRY_NEAR);
            self.is_near(address) && !was_tried && !was_silent
        });
        near.next().map(|(address, _)| *address)
    }

    fn is_near(&self, address: &SocketAddr) -> bool {
        self.hubs.get(address).is_some_and(|held| held.zone.as_ref() == Some(&self.zone))
    }

    fn is_kept(&self, current: &SocketAddr, now: Timestamp) -> bool {
        let Some(held) = self.hubs.get(current) else { return false };
        let chosen_at = held.chosen_at.unwrap_or_default();
        let last = held.heard_at.map_or(chosen_at, |heard| heard.max(chosen_at));
        let is_heard = now.since(last) < SILENCE;
        is_heard && (held.is_trusted || now.since(chosen_at) < DOUBT)
    }

    /// Returns the best other hub: one that did not fall silent, in the own zone, chosen least
    /// recently.
    fn next_hub(&self, now: Timestamp) -> Option<SocketAddr> {
        let others = self.hubs.iter().filter(|(address, _)| Some(**address) != self.current);
        let best = others.min_by_key(|(_, held)| {
            let is_shunned = held.fell_silent_at.is_some_and(|at| now.since(at) < SHUN);
            let was_tried = held.chosen_at.is_some();
            let is_remote = held.zone.as_ref() != Some(&self.zone);
            (is_shunned, was_tried && !held.is_trusted, is_remote, held.chosen_at)
        });
        best.map(|(address, _)| *address).or(self.current)
    }
}
