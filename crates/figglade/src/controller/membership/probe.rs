//! The probes that an instance has under way.

use std::{collections::BTreeMap, net::SocketAddr};

use rand::Rng;
use rand::seq::SliceRandom;

use crate::Timestamp;

/// The most probes relayed for others at a time.
const MAX_RELAYS: usize = 256;

/// A probe that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingProbe {
    /// The member probed.
    pub(super) key: u64,
    /// The sequence of the ping.
    pub(super) sequence: u32,
    /// When others are asked to probe, unless they were asked already.
    pub(super) indirect_at: Option<Timestamp>,
    /// When the member counts as silent.
    pub(super) fails_at: Timestamp,
}

/// A probe made on behalf of another instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedProbe {
    /// Who asked.
    pub(super) origin: SocketAddr,
    /// The sequence the origin expects.
    pub(super) sequence: u32,
    /// When the relay is forgotten.
    pub(super) expires_at: Timestamp,
}

/// The probes under way and the order of the next ones.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeState {
    sequence: u32,
    round: Vec<u64>,
    pending: Option<PendingProbe>,
    relays: BTreeMap<u32, RelayedProbe>,
}

impl ProbeState {
    /// Returns a sequence that no other ping of this instance carries for long.
    pub(super) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Returns the next member to probe; each round visits every candidate once in random order.
    pub(super) fn next_candidate(
        &mut self,
        candidates: &[u64],
        own: u64,
        rng: &mut impl Rng,
    ) -> Option<u64> {
        if self.round.is_empty() {
            self.round = candidates.iter().copied().filter(|key| *key != own).collect();
            self.round.shuffle(rng);
        }
        self.round.pop()
    }

    /// Returns the probe that waits for its answer.
    pub(super) fn pending(&self) -> Option<PendingProbe> {
        self.pending
    }

    /// Replaces the probe that waits for its answer.
    pub(super) fn set_pending(&mut self, pending: Option<PendingProbe>) {
        self.pending = pending;
    }

    /// Takes note of an answer; returns the relay it belongs to, if any.
    pub(super) fn take_ack(&mut self, sequence: u32) -> Option<RelayedProbe> {
        if self.pending.is_some_and(|probe| probe.sequence == sequence) {
            self.pending = None;
            return None;
        }
        self.relays.remove(&sequence)
    }

    /// Remembers a probe made for another instance; returns its sequence, or `None` when too many
    /// are under way.
    pub(super) fn add_relay(&mut self, relay: RelayedProbe) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let sequence = self.next_sequence();
        self.relays.insert(sequence, relay);
        Some(sequence)
    }

    /// Forgets the relays that nobody waits for any more.
    pub(super) fn drop_expired_relays(&mut self, now: Timestamp) {
        self.relays.retain(|_, relay| relay.expires_at > now);
    }
}
