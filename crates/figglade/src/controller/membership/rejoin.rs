//! Joining the fleet, finding lost members again, and anti-entropy.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

use super::{
    controller::MembershipController,
    sync::{SyncMessage, SyncSession, SyncStep, answer_exchange, answer_start, index_digests},
    types::{MemberRecord, MemberState, MembershipAction, MembershipBody},
};
use crate::Timestamp;

/// The seeds and dead members asked at a time when joining.
const JOIN_PINGS: usize = 3;

/// The time without an answer after which an instance counts as the first of its fleet.
const JOIN_PATIENCE: Duration = Duration::from_secs(5);

/// The most new members of one message that are spread on.
const MAX_SPREAD_RECORDS: usize = 32;

impl MembershipController {
    /// Gives up a silent session and opens the next when it is due.
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

    /// Opens an anti-entropy session.
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

    /// Takes a message of anti-entropy.
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
                self.merge_page(&records, now, actions);
                let reply = answer_exchange(&self.table, session, step, &leaves, &sent);
                self.send(from, None, MembershipBody::Sync(reply), actions);
            }
            SyncMessage::Leaves { session, settled, buckets } => {
                let Some(mut held) = self.take_session(from, session, 0) else { return };
                let step = held.handle_leaves(&self.table, settled, &buckets, now);
                self.follow_step(from, held, step, now, rng, actions);
            }
            SyncMessage::Records { session, step, answered, records } => {
                let Some(mut held) = self.take_session(from, session, step) else { return };
                self.merge_page(&records, now, actions);
                let step = held.handle_records(&self.table, answered, now);
                self.follow_step(from, held, step, now, rng, actions);
            }
        }
    }

    /// Takes out the session that a message belongs to.
    pub(super) fn take_session(
        &mut self,
        from: SocketAddr,
        session: u32,
        step: u32,
    ) -> Option<SyncSession> {
        self.session.take_if(|held| held.awaits(from, session, step))
    }

    /// Goes on with a session or ends it.
    pub(super) fn follow_step(
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
    /// Many new records at once mean a table that is being loaded; spreading those would tell the
    /// fleet what it knows.
    fn merge_page(
        &mut self,
        records: &[MemberRecord],
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let is_new = |record: &&MemberRecord| self.table.member(&record.id).is_none();
        let spreads = records.iter().filter(is_new).count() <= MAX_SPREAD_RECORDS;
        let queued = (!spreads).then(|| self.rumors.clone());
        for record in records {
            self.merge_record(record, now, actions);
        }
        if let Some(queued) = queued {
            self.rumors = queued;
        }
    }

    /// Pings seeds and dead members, so that lost halves of the fleet find each other.
    pub(super) fn try_rejoin(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let timing = self.settings.timing;
        let waited = now.since(self.started_at) >= JOIN_PATIENCE;
        self.has_synced |= waited && self.len_alive() == 1;
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
