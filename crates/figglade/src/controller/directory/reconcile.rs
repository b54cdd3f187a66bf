//! Renewals, lapses and anti-entropy of the directory.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{Rng, RngExt};

use super::{
    controller::TargetDirectory,
    types::{DirectoryAction, DirectoryMessage, DirectoryRecord, TargetKey},
    watches::{MAX_UNANSWERED, QUERY_TIMEOUT, TargetWatch, WatchPhase},
};
use crate::{
    InstanceId, Timestamp,
    controller::{
        membership::{
            PeerRef,
            sync::{
                SyncMessage, SyncSession, SyncStep, answer_exchange, answer_start, index_digests,
            },
        },
        watch::{WATCHERS_PER_TARGET, WatcherRanking},
    },
};

/// The ranks computed in one tick while new watchers are found after a change of members.
const RANKS_PER_TICK: usize = 100_000;

/// The time between sessions while much is new.
const EAGER_SYNC_PERIOD: Duration = Duration::from_millis(200);

/// The sessions beyond the rounds that reach the whole fleet when nothing is lost.
const EXTRA_SYNC_ROUNDS: u32 = 2;

impl TargetDirectory {
    /// Takes over the live instances; when they changed, the watches are gone through again and
    /// the directory is compared with an instance that was not there before.
    pub(super) fn update_peers(&mut self, peers: &[PeerRef], now: Timestamp) {
        if self.peers == peers {
            return;
        }
        let known = std::mem::take(&mut self.peer_addresses);
        let added = peers.iter().find(|peer| !known.contains_key(&peer.id));
        if let Some(added) = added {
            self.next_partner = Some(added.peer);
            self.next_sync = self.next_sync.min(now);
        }
        self.peer_addresses = peers.iter().map(|peer| (peer.id.clone(), peer.peer)).collect();
        let own = std::iter::once(self.settings.id.clone());
        self.ranking = WatcherRanking::new(self.peer_addresses.keys().cloned().chain(own));
        self.peers = peers.to_vec();
        self.unchecked = self.table.len();
        self.next_check = self.next_check.min(now);
    }

    /// Goes on checking which targets this instance watches since the members changed.
    pub(super) fn check_watches(&mut self, now: Timestamp) {
        if self.unchecked == 0 || now < self.next_check {
            return;
        }
        self.next_check = now + self.settings.timing.gossip_period;
        let count = (RANKS_PER_TICK / self.ranking.len().max(1)).max(1).min(self.unchecked);
        let cursor = self.checked_up_to;
        let keys: Vec<u64> =
            self.table.entries_after(cursor).take(count).map(|(key, _)| key).collect();
        self.unchecked -= count;
        // The walk goes round, so frequent changes of members do not starve the last targets.
        self.checked_up_to = if keys.len() < count { None } else { keys.last().copied() };
        let timeout = self.fresh_timeout();
        for key in keys {
            self.watch_if_chosen(key, timeout, now);
        }
    }

    /// Starts to watch a target that this instance is chosen for, with `timeout` to renew, and ends
    /// the watch of one that it is not chosen for or that needs none.
    ///
    /// Nothing is watched until the directory is loaded.
    pub(super) fn watch_if_chosen(&mut self, key: u64, timeout: Duration, now: Timestamp) {
        let Some(entry) = self.table.entry(key).filter(|_| self.is_synced) else { return };
        let incarnation = entry.announcement().incarnation;
        if entry.record.is_quiet() || !self.is_watcher(key) {
            self.watches.remove(key);
            return;
        }
        let watched = self.watches.watch(key);
        if watched.is_none_or(|watch| watch.incarnation != incarnation) {
            self.watches.restart(key, incarnation, now + timeout);
        }
    }

    /// Returns whether this instance watches the target with `key`.
    fn is_watcher(&self, key: u64) -> bool {
        self.ranking.is_watcher(&self.settings.id, key, WATCHERS_PER_TARGET)
    }

    /// Returns the other instances that watch the target with `key`.
    fn other_watchers(&self, key: u64) -> Vec<InstanceId> {
        let own = &self.settings.id;
        let watchers = self.ranking.top(key, WATCHERS_PER_TARGET);
        watchers.filter(|id| *id != own).cloned().collect()
    }

    /// Takes note that a target renewed its announcement, and was told to do so again after
    /// `interval`; one that had lapsed is back.
    pub(super) fn handle_renewal(
        &mut self,
        renewed: TargetKey,
        interval: Duration,
        now: Timestamp,
    ) {
        let TargetKey(key, incarnation) = renewed;
        let Some(entry) = self.table.entry(key) else { return };
        if entry.announcement().incarnation != incarnation {
            return;
        }
        if entry.record.lapses.is_lapsed() {
            self.turn_lapse(key, now);
        }
        if self.is_synced && self.is_watcher(key) {
            let deadline = now + self.lapse_timeout_after(interval);
            self.watches.restart(key, incarnation, deadline);
        }
    }

    /// Lapses a target, or brings it back, and spreads that.
    fn turn_lapse(&mut self, key: u64, now: Timestamp) {
        let Some(entry) = self.table.entry(key) else { return };
        let lapses = entry.record.lapses.next();
        let record = DirectoryRecord { lapses, quiet_ms: 0, ..entry.record.clone() };
        self.table.put(key, record);
        self.spread_lapse(key, now);
    }

    /// Queues a renewal for the watchers of the target.
    pub(super) fn forward_renewal(&mut self, renewed: TargetKey, interval: Duration) {
        let interval_ms = interval.as_millis() as u32;
        for watcher in self.other_watchers(renewed.0) {
            self.renewals.entry(watcher).or_default().insert(renewed, interval_ms);
        }
    }

    /// Sends the renewals that were gathered.
    pub(super) fn send_renewals(&mut self, now: Timestamp, actions: &mut Vec<DirectoryAction>) {
        if now < self.next_renewals || self.renewals.is_empty() {
            return;
        }
        self.next_renewals = now + self.settings.timing.renewal_period;
        for (watcher, targets) in std::mem::take(&mut self.renewals) {
            let Some(to) = self.peer_addresses.get(&watcher) else { continue };
            let targets = targets.into_iter().collect();
            let message = DirectoryMessage::Renewals { targets };
            actions.push(DirectoryAction::Send { to: *to, message });
        }
    }

    /// Asks the other watcher about targets that fell silent, and lapses those that nobody heard.
    ///
    /// A watcher that hears neither from the target nor from the other watcher may itself be cut
    /// off, so it waits longer before it believes its own silence.
    pub(super) fn lapse_due(&mut self, now: Timestamp, actions: &mut Vec<DirectoryAction>) {
        let mut queries = BTreeMap::<InstanceId, Vec<TargetKey>>::new();
        for (key, watch) in self.watches.take_due(now) {
            if !self.is_current(key, &watch) || !self.is_watcher(key) {
                self.watch_if_chosen(key, self.lapse_timeout(), now);
                continue;
            }
            let others = self.other_watchers(key);
            let sent = match watch.phase {
                _ if others.is_empty() => MAX_UNANSWERED,
                WatchPhase::Extended => MAX_UNANSWERED,
                WatchPhase::Asked { queries } if queries < MAX_UNANSWERED => {
                    let deadline = now + self.lapse_timeout();
                    let phase = WatchPhase::Unanswered { queries };
                    self.watches.set(key, TargetWatch { deadline, phase, ..watch });
                    continue;
                }
                WatchPhase::Asked { .. } => MAX_UNANSWERED,
                WatchPhase::Unanswered { queries } => queries,
                WatchPhase::Heard => 0,
            };
            if sent >= MAX_UNANSWERED {
                self.turn_lapse(key, now);
                continue;
            }
            let deadline = now + QUERY_TIMEOUT;
            let phase = WatchPhase::Asked { queries: sent + 1 };
            self.watches.set(key, TargetWatch { deadline, phase, ..watch });
            for other in others {
                queries.entry(other).or_default().push(TargetKey(key, watch.incarnation));
            }
        }
        for (watcher, targets) in queries {
            let Some(to) = self.peer_addresses.get(&watcher) else { continue };
            let message = DirectoryMessage::LapseQuery { targets };
            actions.push(DirectoryAction::Send { to: *to, message });
        }
    }

    /// Returns whether the watch is of the incarnation held, and that has not lapsed or left.
    fn is_current(&self, key: u64, watch: &TargetWatch) -> bool {
        self.table.entry(key).is_some_and(|entry| {
            entry.announcement().incarnation == watch.incarnation && !entry.record.is_quiet()
        })
    }

    /// Tells the other watcher how long targets have left here; zero for those not heard of.
    pub(super) fn answer_query(
        &self,
        from: SocketAddr,
        targets: Vec<TargetKey>,
        now: Timestamp,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let left = |target: TargetKey| {
            let watch = self.watches.watch(target.0);
            let heard = watch
                .filter(|watch| watch.incarnation == target.1 && watch.phase == WatchPhase::Heard);
            let left = heard.map_or(0, |watch| watch.deadline.since(now).as_millis() as u64);
            (target, left)
        };
        let targets = targets.into_iter().map(left).collect();
        let message = DirectoryMessage::LapseReply { targets };
        actions.push(DirectoryAction::Send { to: from, message });
    }

    /// Gives targets that the other watcher heard of the time they have there, and lapses the
    /// others.
    pub(super) fn settle_watches(&mut self, targets: &[(TargetKey, u64)], now: Timestamp) {
        let longest = self.fresh_timeout();
        for (TargetKey(key, incarnation), left_ms) in targets {
            let Some(watch) = self.watches.watch(*key) else { continue };
            let asked = matches!(watch.phase, WatchPhase::Asked { .. });
            if watch.incarnation != *incarnation || !asked || !self.is_current(*key, &watch) {
                continue;
            }
            if *left_ms == 0 {
                self.watches.remove(*key);
                self.turn_lapse(*key, now);
                continue;
            }
            let deadline = now + Duration::from_millis(*left_ms).min(longest);
            // An extension is never passed on, so two watchers cannot keep extending each other.
            self.watches.set(*key, TargetWatch { deadline, phase: WatchPhase::Extended, ..watch });
        }
    }

    /// Gives up a silent session, opens the next when it is due, and ends a cold start.
    pub(super) fn check_session(
        &mut self,
        now: Timestamp,
        peers: &[PeerRef],
        rng: &mut impl Rng,
        actions: &mut Vec<DirectoryAction>,
    ) {
        if self.session.as_ref().is_some_and(|session| now >= session.deadline()) {
            self.session = None;
            self.next_sync = now;
        }
        let cold_for = now.since(self.started_at);
        let was_patient = cold_for >= self.settings.timing.cold_start_period;
        if was_patient && (peers.is_empty() || self.has_compared) {
            self.set_synced(now);
        }
        if self.session.is_some() || now < self.next_sync {
            return;
        }
        let Some(to) = self.next_partner.take().or_else(|| self.pick_partner(rng)) else {
            self.next_sync = now + EAGER_SYNC_PERIOD;
            return;
        };
        let (session, start) = SyncSession::start(&self.table, rng.random(), to, now);
        self.session = Some(session);
        actions.push(DirectoryAction::Send { to, message: DirectoryMessage::Sync(start) });
    }

    /// Opens a few sessions in quick succession to spread many records; every instance that learns
    /// of them does the same, so their number doubles from round to round.
    pub(super) fn sync_eagerly(&mut self, now: Timestamp) {
        let rounds = self.ranking.len().max(1).ilog2() + EXTRA_SYNC_ROUNDS;
        self.eager_sessions = rounds;
        self.next_sync = self.next_sync.min(now + EAGER_SYNC_PERIOD);
    }

    /// Picks the next instance to compare with; each is picked once in a round.
    fn pick_partner(&mut self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let addresses = &self.peer_addresses;
        let all = || addresses.keys().cloned().collect();
        let picked = self.partners.take(1, rng, all, |id| addresses.contains_key(id));
        addresses.get(picked.first()?).copied()
    }

    /// Takes the directory as loaded, and begins to watch.
    fn set_synced(&mut self, now: Timestamp) {
        if !self.is_synced {
            self.is_synced = true;
            self.unchecked = self.table.len();
            self.next_check = self.next_check.min(now);
        }
    }

    /// Takes a message of anti-entropy.
    pub(super) fn handle_sync(
        &mut self,
        from: SocketAddr,
        message: SyncMessage<DirectoryRecord>,
        now: Timestamp,
        rng: &mut impl Rng,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let reply = match message {
            SyncMessage::Start { session, buckets } => {
                Some(answer_start(&self.table, session, &buckets, self.is_synced))
            }
            SyncMessage::Exchange { session, step, leaves, records } => {
                let sent = index_digests(&records);
                self.merge_records(&records, now);
                Some(answer_exchange(&self.table, session, step, &leaves, &sent))
            }
            SyncMessage::Leaves { session, settled, buckets } => {
                let Some(mut held) = self.take_session(from, session, 0) else { return };
                let step = held.handle_leaves(&self.table, settled, &buckets, now);
                self.follow_step(held, step, now, rng)
            }
            SyncMessage::Records { session, step, answered, records } => {
                let Some(mut held) = self.take_session(from, session, step) else { return };
                self.merge_records(&records, now);
                let step = held.handle_records(&self.table, answered, now);
                self.follow_step(held, step, now, rng)
            }
        };
        if let Some(reply) = reply {
            let message = DirectoryMessage::Sync(reply);
            actions.push(DirectoryAction::Send { to: from, message });
        }
    }

    /// Takes out the session that a message belongs to.
    fn take_session(&mut self, from: SocketAddr, session: u32, step: u32) -> Option<SyncSession> {
        self.session.take_if(|held| held.awaits(from, session, step))
    }

    /// Goes on with a session or ends it.
    fn follow_step(
        &mut self,
        session: SyncSession,
        step: SyncStep<DirectoryRecord>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<SyncMessage<DirectoryRecord>> {
        match step {
            SyncStep::Continue(message) => {
                self.session = Some(session);
                Some(message)
            }
            SyncStep::Finished { settled } => {
                self.has_compared = true;
                if settled {
                    self.set_synced(now);
                }
                let period = self.settings.timing.sync_period.mul_f64(rng.random_range(0.75..1.25));
                let soon = !self.is_synced || self.eager_sessions > 0;
                self.eager_sessions = self.eager_sessions.saturating_sub(1);
                self.next_sync = now + if soon { EAGER_SYNC_PERIOD } else { period };
                None
            }
        }
    }
}
