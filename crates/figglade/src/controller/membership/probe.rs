//! Outstanding probes of an instance, its own and those relayed for others.

use std::{collections::BTreeMap, net::SocketAddr};

use rand::Rng;
use rand::seq::SliceRandom;

use crate::Timestamp;

/// The maximum number of probes relayed for other instances at the same time.
const MAX_RELAYS: usize = 256;

/// A probe that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingProbe {
    /// The probed member.
    pub(super) key: u64,
    /// The sequence number of the ping.
    pub(super) sequence: u32,
    /// When indirect probes are requested; `None` once they were.
    pub(super) indirect_at: Option<Timestamp>,
    /// When the probe fails and the member becomes suspect.
    pub(super) fails_at: Timestamp,
}

/// A probe made on behalf of another instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedProbe {
    /// The instance that requested the probe.
    pub(super) origin: SocketAddr,
    /// The sequence number that the origin expects in the answer.
    pub(super) sequence: u32,
    /// When the relay is dropped if the probed member does not answer.
    pub(super) expires_at: Timestamp,
}

/// The outstanding probes and the order of the next ones.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeState {
    sequence: u32,
    round: Vec<u64>,
    pending: Option<PendingProbe>,
    relays: BTreeMap<u32, RelayedProbe>,
}

impl ProbeState {
    /// Returns the next sequence number; numbers repeat only after the counter wraps around.
    pub(super) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Returns the next member to probe; each round covers every candidate once in random order.
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

    /// Returns the outstanding probe of this instance, if any.
    pub(super) fn pending(&self) -> Option<PendingProbe> {
        self.pending
    }

    /// Replaces the outstanding probe of this instance.
    pub(super) fn set_pending(&mut self, pending: Option<PendingProbe>) {
        self.pending = pending;
    }

    /// Completes the probe with `sequence` and returns it if it was relayed for another instance.
    pub(super) fn complete_probe(&mut self, sequence: u32) -> Option<RelayedProbe> {
        if self.pending.is_some_and(|probe| probe.sequence == sequence) {
            self.pending = None;
            return None;
        }
        self.relays.remove(&sequence)
    }

    /// Registers a probe on behalf of another instance and returns the sequence number for its
    /// ping, or `None` if [`MAX_RELAYS`] probes are outstanding.
    pub(super) fn add_relay(&mut self, relay: RelayedProbe) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let sequence = self.next_sequence();
        self.relays.insert(sequence, relay);
        Some(sequence)
    }

    /// Drops relayed probes that were not answered in time.
    pub(super) fn drop_expired_relays(&mut self, now: Timestamp) {
        self.relays.retain(|_, relay| relay.expires_at > now);
    }
}
