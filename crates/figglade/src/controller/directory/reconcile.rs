//! Renewals, lapses and anti-entropy of the directory.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{Rng, RngExt};

use super::{
    controller::TargetDirectory,
    types::{DirectoryAction, DirectoryMessage, DirectoryRecord, TargetKey},
    watches::{LAPSE_QUERY_TIMEOUT, MAX_UNANSWERED_QUERIES, TargetWatch, WatchPhase},
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

/// The maximum number of ranks computed in one tick to reassign watches after members changed.
const MAX_RANKS_PER_TICK: usize = 100_000;

/// The time between anti-entropy sessions while many records are new or the directory is not
/// loaded.
const EAGER_SYNC_INTERVAL: Duration = Duration::from_millis(200);

/// The number of sessions in addition to the rounds that reach the whole fleet without losses.
const EXTRA_SYNC_ROUNDS: u32 = 2;

impl TargetDirectory {
    /// Updates the live instances; if they changed, schedules a reassignment of the watches and an
    /// anti-entropy session with an instance that was added.
    pub(super) fn update_peers(&mut self, peers: &[PeerRef], now: Timestamp) {
        if self.peers == peers {
            return;
        }
        let known = std::mem::take(&mut self.peer_addresses);
        let added = peers.iter().find(|peer| !known.contains_key(&peer.id));
        if let Some(added) = added {
            self.next_sync_peer = Some(added.peer);
            self.next_sync = self.next_sync.min(now);
        }
        self.peer_addresses = peers.iter().map(|peer| (peer.id.clone(), peer.peer)).collect();
        let own = std::iter::once(self.settings.id.clone());
        self.ranking = WatcherRanking::new(self.peer_addresses.keys().cloned().chain(own));
        self.peers = peers.to_vec();
        self.pending_reassignments = self.table.len();
        self.next_reassignment = self.next_reassignment.min(now);
    }

    /// Continues to reassign the watches of this instance after a change of members.
    pub(super) fn reassign_watches(&mut self, now: Timestamp) {
        if self.pending_reassignments == 0 || now < self.next_reassignment {
            return;
        }
        self.next_reassignment = now + self.settings.timing.gossip_period;
        let count =
            (MAX_RANKS_PER_TICK / self.ranking.len().max(1)).max(1).min(self.pending_reassignments);
        let cursor = self.reassignment_cursor;
        let keys: Vec<u64> =
            self.table.entries_after(cursor).take(count).map(|(key, _)| key).collect();
        self.pending_reassignments -= count;
        // The cursor is kept across changes of members and wraps around, so frequent changes do not
        // starve the last targets.
        self.reassignment_cursor = if keys.len() < count { None } else { keys.last().copied() };
        let timeout = self.max_lapse_timeout();
        for key in keys {
            self.update_watch(key, timeout, now);
        }
    }

    /// Starts to watch the target with `key` if it is assigned to this instance, with `timeout` as
    /// the time to renew. Ends the watch if the target is not assigned, has lapsed or has left.
    ///
    /// Nothing is watched until the directory is loaded.
    pub(super) fn update_watch(&mut self, key: u64, timeout: Duration, now: Timestamp) {
        let Some(entry) = self.table.entry(key).filter(|_| self.is_synced) else { return };
        let incarnation = entry.announcement().incarnation;
        if entry.record.is_inactive() || !self.is_watcher(key) {
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

    /// Handles the renewal of a target that was told to renew again after `interval`; a lapsed
    /// target returns.
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
            self.toggle_lapse(key, now);
        }
        if self.is_synced && self.is_watcher(key) {
            let deadline = now + self.lapse_timeout_after(interval);
            self.watches.restart(key, incarnation, deadline);
        }
    }

    /// Marks a target as lapsed, or as returned if it had lapsed, and queues the change for gossip.
    fn toggle_lapse(&mut self, key: u64, now: Timestamp) {
        let Some(entry) = self.table.entry(key) else { return };
        let lapses = entry.record.lapses.next();
        let record = DirectoryRecord { lapses, inactive_ms: 0, ..entry.record.clone() };
        self.table.put(key, record);
        self.disseminate_lapse(key, now);
    }

    /// Queues a renewal for the other watchers of the target.
    pub(super) fn forward_renewal(&mut self, renewed: TargetKey, interval: Duration) {
        let interval_ms = interval.as_millis() as u32;
        for watcher in self.other_watchers(renewed.0) {
            self.renewals.entry(watcher).or_default().insert(renewed, interval_ms);
        }
    }

    /// Sends the queued renewals, one batch per watcher.
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

    /// Handles watches whose deadline has passed: queries the other watcher about targets that did
    /// not renew here, and marks targets as lapsed that have no later renewal there.
    ///
    /// A watcher that receives neither renewals of the target nor answers from the other watcher
    /// may itself be isolated. It waits another lapse timeout after each unanswered query and marks
    /// the target as lapsed only after [`MAX_UNANSWERED_QUERIES`].
    pub(super) fn process_due_watches(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let mut queries = BTreeMap::<InstanceId, Vec<TargetKey>>::new();
        for (key, watch) in self.watches.take_due(now) {
            if !self.is_current(key, &watch) || !self.is_watcher(key) {
                self.update_watch(key, self.lapse_timeout(), now);
                continue;
            }
            let others = self.other_watchers(key);
            let sent = match watch.phase {
                _ if others.is_empty() => MAX_UNANSWERED_QUERIES,
                WatchPhase::Extended => MAX_UNANSWERED_QUERIES,
                WatchPhase::Queried { queries } if queries < MAX_UNANSWERED_QUERIES => {
                    let deadline = now + self.lapse_timeout();
                    let phase = WatchPhase::Unanswered { queries };
                    self.watches.set(key, TargetWatch { deadline, phase, ..watch });
                    continue;
                }
                WatchPhase::Queried { .. } => MAX_UNANSWERED_QUERIES,
                WatchPhase::Unanswered { queries } => queries,
                WatchPhase::Renewed => 0,
            };
            if sent >= MAX_UNANSWERED_QUERIES {
                self.toggle_lapse(key, now);
                continue;
            }
            let deadline = now + LAPSE_QUERY_TIMEOUT;
            let phase = WatchPhase::Queried { queries: sent + 1 };
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

    /// Returns whether `watch` is of the current incarnation of the target, and the target has
    /// neither lapsed nor left.
    fn is_current(&self, key: u64, watch: &TargetWatch) -> bool {
        self.table.entry(key).is_some_and(|entry| {
            entry.announcement().incarnation == watch.incarnation && !entry.record.is_inactive()
        })
    }

    /// Answers the query of the other watcher with the time until each target lapses here; zero for
    /// targets without a later renewal.
    pub(super) fn handle_lapse_query(
        &self,
        from: SocketAddr,
        targets: Vec<TargetKey>,
        now: Timestamp,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let with_time_left = |target: TargetKey| {
            let watch = self.watches.watch(target.0);
            let renewed_watch = watch.filter(|watch| {
                watch.incarnation == target.1 && watch.phase == WatchPhase::Renewed
            });
            let time_left =
                renewed_watch.map_or(0, |watch| watch.deadline.since(now).as_millis() as u64);
            (target, time_left)
        };
        let targets = targets.into_iter().map(with_time_left).collect();
        let message = DirectoryMessage::LapseReply { targets };
        actions.push(DirectoryAction::Send { to: from, message });
    }

    /// Handles the answer of the other watcher: extends the watches of targets with a later renewal
    /// there by the time they have left, and marks the others as lapsed.
    pub(super) fn handle_lapse_reply(&mut self, targets: &[(TargetKey, u64)], now: Timestamp) {
        let longest = self.max_lapse_timeout();
        for (TargetKey(key, incarnation), left_ms) in targets {
            let Some(watch) = self.watches.watch(*key) else { continue };
            let is_queried = matches!(watch.phase, WatchPhase::Queried { .. });
            if watch.incarnation != *incarnation || !is_queried || !self.is_current(*key, &watch) {
                continue;
            }
            if *left_ms == 0 {
                self.watches.remove(*key);
                self.toggle_lapse(*key, now);
                continue;
            }
            let deadline = now + Duration::from_millis(*left_ms).min(longest);
            // A watch that was extended is not reported as renewed, so two watchers cannot keep
            // extending each other's watches.
            self.watches.set(*key, TargetWatch { deadline, phase: WatchPhase::Extended, ..watch });
        }
    }

    /// Aborts a session whose peer did not answer in time, opens the next one when it is due, and
    /// ends a cold start.
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
        let uptime = now.since(self.started_at);
        let cold_start_elapsed = uptime >= self.settings.timing.cold_start_period;
        if cold_start_elapsed && (peers.is_empty() || self.has_completed_session) {
            self.set_synced(now);
        }
        if self.session.is_some() || now < self.next_sync {
            return;
        }
        let Some(to) = self.next_sync_peer.take().or_else(|| self.pick_sync_peer(rng)) else {
            self.next_sync = now + EAGER_SYNC_INTERVAL;
            return;
        };
        let (session, start) = SyncSession::start(&self.table, rng.random(), to, now);
        self.session = Some(session);
        actions.push(DirectoryAction::Send { to, message: DirectoryMessage::Sync(start) });
    }

    /// Schedules a few sessions in quick succession to disseminate many records.
    ///
    /// Every instance that receives many new records does the same, so the number of instances that
    /// hold them doubles from round to round.
    pub(super) fn schedule_eager_sync(&mut self, now: Timestamp) {
        let rounds = self.ranking.len().max(1).ilog2() + EXTRA_SYNC_ROUNDS;
        self.eager_sessions = rounds;
        self.next_sync = self.next_sync.min(now + EAGER_SYNC_INTERVAL);
    }

    /// Picks the peer of the next anti-entropy session; each instance is picked once per round.
    fn pick_sync_peer(&mut self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let addresses = &self.peer_addresses;
        let all = || addresses.keys().cloned().collect();
        let picked = self.sync_round.take(1, rng, all, |id| addresses.contains_key(id));
        addresses.get(picked.first()?).copied()
    }

    /// Marks the directory as loaded and schedules the assignment of watches.
    fn set_synced(&mut self, now: Timestamp) {
        if !self.is_synced {
            self.is_synced = true;
            self.pending_reassignments = self.table.len();
            self.next_reassignment = self.next_reassignment.min(now);
        }
    }

    /// Handles an anti-entropy message.
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
            SyncMessage::Leaves { session, synced, buckets } => {
                let Some(mut held) = self.take_session(from, session, 0) else { return };
                let step = held.handle_leaves(&self.table, synced, &buckets, now);
                self.advance_session(held, step, now, rng)
            }
            SyncMessage::Records { session, step, answered, records } => {
                let Some(mut held) = self.take_session(from, session, step) else { return };
                self.merge_records(&records, now);
                let step = held.handle_records(&self.table, answered, now);
                self.advance_session(held, step, now, rng)
            }
        };
        if let Some(reply) = reply {
            let message = DirectoryMessage::Sync(reply);
            actions.push(DirectoryAction::Send { to: from, message });
        }
    }

    /// Takes the open session if the message answers its last step.
    fn take_session(&mut self, from: SocketAddr, session: u32, step: u32) -> Option<SyncSession> {
        self.session.take_if(|held| held.awaits(from, session, step))
    }

    /// Returns the next step of a session, or finishes it and schedules the next one.
    fn advance_session(
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
            SyncStep::Finished { synced } => {
                self.has_completed_session = true;
                if synced {
                    self.set_synced(now);
                }
                let period = self.settings.timing.sync_period.mul_f64(rng.random_range(0.75..1.25));
                let soon = !self.is_synced || self.eager_sessions > 0;
                self.eager_sessions = self.eager_sessions.saturating_sub(1);
                self.next_sync = now + if soon { EAGER_SYNC_INTERVAL } else { period };
                None
            }
        }
    }
}
