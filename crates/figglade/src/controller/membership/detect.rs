//! Failure detection: direct probes, indirect probes through other members, and suspicion.

use std::{net::SocketAddr, time::Duration};

use rand::Rng;

use super::{
    controller::MembershipController,
    digest::hash_key,
    probe::{PendingProbe, RelayedProbe},
    types::{MemberRecord, MemberState, MembershipAction, MembershipBody},
};
use crate::{InstanceId, Timestamp};

/// The number of members asked to probe a member that did not answer a direct probe.
const INDIRECT_PROBES: usize = 3;

impl MembershipController {
    /// Returns the time that a suspect has to refute the suspicion.
    ///
    /// It grows with the number of decimal digits of the fleet size.
    pub(super) fn suspicion_timeout(&self) -> Duration {
        let digits = (self.len_alive() + 1).max(2).ilog10() + 1;
        self.settings.timing.probe_period * self.settings.timing.suspicion_periods * digits
    }

    /// Declares suspects dead that did not refute the suspicion in time.
    pub(super) fn check_suspects(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let due: Vec<u64> =
            self.suspects.iter().filter(|(_, at)| **at <= now).map(|(key, _)| *key).collect();
        for key in due {
            self.suspects.remove(&key);
            self.declare(key, MemberState::Suspect, MemberState::Dead, now, actions);
        }
    }

    /// Changes the state of a member to `state`, provided that it still is `expected`.
    pub(super) fn declare(
        &mut self,
        key: u64,
        expected: MemberState,
        state: MemberState,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(entry) = self.table.entry(key) else { return };
        if entry.record.state != expected {
            return;
        }
        let record = MemberRecord { state, ..entry.record.clone() };
        self.merge_record(&record, now, actions);
    }

    /// Sends a direct probe to the next member.
    pub(super) fn start_probe(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let timing = self.settings.timing;
        self.next_probe = now + timing.probe_period;
        let candidate = self.probe.next_candidate(self.table.live_keys(), self.own_key, rng);
        let Some(key) = candidate else { return };
        let Some(entry) = self.table.entry(key) else { return };
        let (id, address) = (entry.record.id.clone(), entry.record.peer);
        if !entry.record.state.is_live() {
            return;
        }
        let sequence = self.probe.next_sequence();
        self.probe.set_pending(Some(PendingProbe {
            key,
            sequence,
            indirect_at: Some(now + timing.ack_timeout),
            fails_at: self.next_probe,
        }));
        let body = MembershipBody::Ping { sequence, to: Some(id) };
        self.send(address, Some(key), body, actions);
    }

    /// Requests indirect probes of a member that did not answer the direct probe, and suspects it
    /// if no probe is answered by the end of the probe period.
    pub(super) fn check_probe(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.probe.drop_expired_relays(now);
        let Some(mut probe) = self.probe.pending() else { return };
        if now >= probe.fails_at {
            self.probe.set_pending(None);
            self.declare(probe.key, MemberState::Alive, MemberState::Suspect, now, actions);
        } else if probe.indirect_at.is_some_and(|at| now >= at) {
            probe.indirect_at = None;
            self.probe.set_pending(Some(probe));
            self.request_indirect_probes(probe, rng, actions);
        }
    }

    /// Asks randomly chosen members to probe the member of `probe`.
    pub(super) fn request_indirect_probes(
        &mut self,
        probe: PendingProbe,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(entry) = self.table.entry(probe.key) else { return };
        let (to, address) = (entry.record.id.clone(), entry.record.peer);
        for (key, relay) in self.pick_peers(INDIRECT_PROBES, Some(probe.key), rng) {
            let body =
                MembershipBody::PingRequest { sequence: probe.sequence, to: to.clone(), address };
            self.send(relay, Some(key), body, actions);
        }
    }

    /// Probes a member on behalf of another instance.
    pub(super) fn relay_probe(
        &mut self,
        relay: RelayedProbe,
        to: InstanceId,
        address: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(sequence) = self.probe.add_relay(relay) else { return };
        let key = hash_key(to.as_str());
        self.send(address, Some(key), MembershipBody::Ping { sequence, to: Some(to) }, actions);
    }

    /// Handles the answer to a ping; until a first anti-entropy session has finished, it opens one.
    pub(super) fn handle_ack(
        &mut self,
        from: SocketAddr,
        sequence: u32,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        if let Some(relay) = self.probe.complete_probe(sequence) {
            let body = MembershipBody::Ack { sequence: relay.sequence };
            self.send(relay.origin, None, body, actions);
        }
        if !self.has_synced && self.session.is_none() {
            self.open_session(from, now, rng, actions);
        }
    }
}
