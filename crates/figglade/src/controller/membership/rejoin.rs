//! Joining the fleet, rejoining after a network partition, and anti-entropy.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

use super::{
    controller::MembershipController,
    sync::{SyncMessage, SyncSession, SyncStep, answer_exchange, answer_start, index_digests},
    types::{MemberRecord, MemberState, MembershipAction, MembershipBody},
};
use crate::Timestamp;

/// The number of seeds and dead members pinged at a time while joining.
const JOIN_PINGS: usize = 3;

/// The time without an answer after which an instance considers itself the first of its fleet.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of new members in one message that are passed on by gossip.
const MAX_DISSEMINATED_RECORDS: usize = 32;

impl MembershipController {
    /// Aborts a session whose peer did not answer in time, and opens the next one when it is due.
    pub(super) fn check_session(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.session.as_ref().is_some_and(|session| now >= session.deadline()) {
            self.session = None;
            self.next_sync = now;
        }
        if self.session.is_some() || now < self.next_sync {
            return;
        }
        let picked = self.pick_peers(1, None, rng);
        match picked.first() {
            Some((_, peer)) => self.open_session(*peer, now, rng, actions),
            None => self.next_sync = now + self.settings.timing.sync_period,
        }
    }

    /// Opens an anti-entropy session with the instance at `peer`.
    pub(super) fn open_session(
        &mut self,
        peer: SocketAddr,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let (session, start) = SyncSession::start(&self.table, rng.random(), peer, now);
        self.session = Some(session);
        self.send(peer, None, MembershipBody::Sync(start), actions);
    }

    /// Handles an anti-entropy message.
    pub(super) fn handle_sync(
        &mut self,
        from: SocketAddr,
        message: SyncMessage<MemberRecord>,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        match message {
            SyncMessage::Start { session, buckets } => {
                let reply = answer_start(&self.table, session, &buckets, self.has_joined());
                self.send(from, None, MembershipBody::Sync(reply), actions);
            }
            SyncMessage::Exchange { session, step, leaves, records } => {
                let sent = index_digests(&records);
                self.merge_sync_records(&records, now, actions);
                let reply = answer_exchange(&self.table, session, step, &leaves, &sent);
                self.send(from, None, MembershipBody::Sync(reply), actions);
            }
            SyncMessage::Leaves { session, synced, buckets } => {
                let Some(mut held) = self.take_session(from, session, 0) else { return };
                let step = held.handle_leaves(&self.table, synced, &buckets, now);
                self.advance_session(from, held, step, now, rng, actions);
            }
            SyncMessage::Records { session, step, answered, records } => {
                let Some(mut held) = self.take_session(from, session, step) else { return };
                self.merge_sync_records(&records, now, actions);
                let step = held.handle_records(&self.table, answered, now);
                self.advance_session(from, held, step, now, rng, actions);
            }
        }
    }

    /// Takes the open session if the message answers its last step.
    pub(super) fn take_session(
        &mut self,
        from: SocketAddr,
        session: u32,
        step: u32,
    ) -> Option<SyncSession> {
        self.session.take_if(|held| held.awaits(from, session, step))
    }

    /// Sends the next step of a session, or finishes it and schedules the next one.
    pub(super) fn advance_session(
        &mut self,
        peer: SocketAddr,
        session: SyncSession,
        step: SyncStep<MemberRecord>,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        match step {
            SyncStep::Continue(message) => {
                self.session = Some(session);
                self.send(peer, None, MembershipBody::Sync(message), actions);
            }
            SyncStep::Finished { .. } => {
                self.has_synced = true;
                let period = self.settings.timing.sync_period;
                self.next_sync = now + period.mul_f64(rng.random_range(0.75..1.25));
            }
        }
    }

    /// Merges the records of one anti-entropy message.
    ///
    /// Many new records at once mean that this instance is loading the table; the fleet already
    /// knows those records, so they are not passed on by gossip.
    fn merge_sync_records(
        &mut self,
        records: &[MemberRecord],
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let is_new = |record: &&MemberRecord| self.table.member(&record.id).is_none();
        let disseminates = records.iter().filter(is_new).count() <= MAX_DISSEMINATED_RECORDS;
        let queued = (!disseminates).then(|| self.rumors.clone());
        for record in records {
            self.merge_record(record, now, actions);
        }
        if let Some(queued) = queued {
            self.rumors = queued;
        }
    }

    /// Pings seeds and dead members, so that the sides of a network partition rejoin once it ends.
    pub(super) fn try_rejoin(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let timing = self.settings.timing;
        let timed_out = now.since(self.started_at) >= JOIN_TIMEOUT;
        self.has_synced |= timed_out && self.len_alive() == 1;
        let joining = !self.has_joined() || self.len_alive() == 1;
        let period = if joining { timing.probe_period } else { timing.rejoin_period };
        self.next_rejoin = now + period;
        if self.own.state == MemberState::Left {
            return;
        }
        let held: BTreeSet<_> = self.table.live().map(|record| record.peer).collect();
        let absent = self.seeds.iter().copied().filter(|seed| !held.contains(seed));
        let mut candidates: Vec<(Option<u64>, SocketAddr)> =
            absent.map(|seed| (None, seed)).collect();
        let is_dead = |record: &MemberRecord| record.state == MemberState::Dead;
        let dead = self.table.entries().filter(|(_, entry)| is_dead(&entry.record));
        candidates.extend(dead.map(|(key, entry)| (Some(key), entry.record.peer)));
        candidates.shuffle(rng);
        let count = if joining { JOIN_PINGS } else { 1 };
        for (key, address) in candidates.into_iter().take(count) {
            let sequence = self.probe.next_sequence();
            self.send(address, key, MembershipBody::Ping { sequence, to: None }, actions);
        }
    }
}
