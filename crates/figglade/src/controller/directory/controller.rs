//! The controller of the target directory on one instance.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::Rng;

use super::{
    check::check_announcement,
    table::{DirectoryTable, MAX_TARGETS},
    types::{
        AnnounceEffect, AnnounceStamp, DirectoryAction, DirectoryError, DirectoryMessage,
        DirectoryRecord, DirectorySettings, LapseCount, LapseRumor, TargetEntry, TargetKey,
    },
    watches::WatchTable,
};
use crate::{
    IndexName, InstanceId, TargetId, Timestamp, WallTime,
    controller::{
        membership::{
            PeerRef,
            digest::hash_key,
            rumor::{GossipRound, RumorQueue, RumorUrgency, send_limit},
            sync::{SyncRecord, SyncSession},
        },
        watch::WatcherRanking,
    },
    wire::{Announcement, TargetState},
};

/// The maximum size of the updates in one message; a single announcement may exceed it.
const MAX_UPDATE_BYTES: usize = 1_100;

/// The approximate size of a lapse in a message.
const LAPSE_BYTES: usize = 26;

/// The maximum rate of announcements that one instance should receive.
const MAX_ANNOUNCEMENTS_PER_SECOND: u64 = 20;

/// The maximum number of new records in one message that are passed on by gossip.
const MAX_DISSEMINATED_RECORDS: usize = 32;

/// The maximum number of queued record updates; beyond it anti-entropy disseminates those that are
/// not urgent.
const MAX_QUEUED_UPDATES: usize = 64;

/// The shortest time between two gossip rounds.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum time between announcements of a target, unless the fleet defaults set a longer one.
const MAX_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(30);

/// The number of sweeps of lapsed and departed targets in one retention period.
const SWEEPS_PER_RETENTION: u32 = 32;

/// The target directory of one instance.
#[derive(Clone, Debug)]
pub struct TargetDirectory {
    pub(super) settings: DirectorySettings,
    pub(super) started_at: Timestamp,
    pub(super) table: DirectoryTable,
    pub(super) record_rumors: RumorQueue,
    pub(super) gossip_round: GossipRound<InstanceId>,
    pub(super) sync_round: GossipRound<InstanceId>,
    pub(super) lapse_rumors: RumorQueue,
    pub(super) watches: WatchTable,
    pub(super) ranking: WatcherRanking,
    pub(super) peer_addresses: BTreeMap<InstanceId, SocketAddr>,
    pub(super) renewals: BTreeMap<InstanceId, BTreeMap<TargetKey, u32>>,
    pub(super) peers: Vec<PeerRef>,
    pub(super) next_sync_peer: Option<SocketAddr>,
    pub(super) pending_reassignments: usize,
    pub(super) reassignment_cursor: Option<u64>,
    pub(super) next_reassignment: Timestamp,
    pub(super) session: Option<SyncSession>,
    pub(super) eager_sessions: u32,
    pub(super) has_completed_session: bool,
    pub(super) is_synced: bool,
    pub(super) last_gossip: Timestamp,
    pub(super) next_gossip: Timestamp,
    pub(super) next_renewals: Timestamp,
    pub(super) next_sync: Timestamp,
    pub(super) next_sweep: Timestamp,
}

impl TargetDirectory {
    /// Creates an empty directory.
    pub fn new(settings: DirectorySettings, now: Timestamp) -> Self {
        let timing = settings.timing;
        Self {
            started_at: now,
            table: DirectoryTable::default(),
            record_rumors: RumorQueue::default(),
            gossip_round: GossipRound::default(),
            sync_round: GossipRound::default(),
            lapse_rumors: RumorQueue::default(),
            watches: WatchTable::default(),
            ranking: WatcherRanking::new([settings.id.clone()]),
            peer_addresses: BTreeMap::new(),
            renewals: BTreeMap::new(),
            peers: Vec::new(),
            next_sync_peer: None,
            pending_reassignments: 0,
            reassignment_cursor: None,
            next_reassignment: now,
            session: None,
            eager_sessions: 0,
            has_completed_session: false,
            is_synced: !settings.expects_peers,
            last_gossip: now,
            next_gossip: now,
            next_renewals: now + timing.renewal_period,
            next_sync: now,
            next_sweep: now + timing.retention / SWEEPS_PER_RETENTION,
            settings,
        }
    }

    /// Sets the announce period and the number of periods until a lapse, as the fleet defaults
    /// define them.
    pub fn set_announce_timing(&mut self, period: Duration, lapse_periods: u32) {
        self.settings.timing.announce_period = period;
        self.settings.timing.lapse_periods = lapse_periods.max(1);
    }

    /// Returns the time after which a target should announce itself again.
    ///
    /// It grows with the number of targets per instance, which bounds the rate of announcements
    /// that an instance receives. An instance that has not loaded the directory does not know the
    /// number of targets and returns the shortest time.
    pub fn announce_interval(&self) -> Duration {
        let shortest = self.settings.timing.announce_period;
        if !self.is_synced {
            return shortest;
        }
        let members = self.ranking.len().max(1) as u64;
        let targets = self.table.len() as u64;
        let load_interval =
            Duration::from_millis(targets * 1_000 / (members * MAX_ANNOUNCEMENTS_PER_SECOND));
        load_interval.min(MAX_ANNOUNCE_INTERVAL).max(shortest)
    }

    /// Returns the time without a renewal after which a target lapses that renews at the current
    /// [`Self::announce_interval`].
    pub fn lapse_timeout(&self) -> Duration {
        self.lapse_timeout_after(self.announce_interval())
    }

    /// Returns the time without a renewal after which a target lapses that was told to announce
    /// itself again after `interval`.
    pub(super) fn lapse_timeout_after(&self, interval: Duration) -> Duration {
        let timing = self.settings.timing;
        interval * timing.lapse_periods + timing.renewal_period
    }

    /// Returns the time without a renewal after which a target lapses whose interval is not known.
    ///
    /// The instance that told the target its interval may have known a different number of targets
    /// and instances.
    pub(super) fn max_lapse_timeout(&self) -> Duration {
        MAX_ANNOUNCE_INTERVAL.max(self.settings.timing.announce_period) + self.lapse_timeout()
    }

    /// Applies the announcement of a target; call [`Self::handle_tick`] immediately afterwards.
    ///
    /// `wall` is the wall time of its arrival, which orders changes within one incarnation.
    ///
    /// # Errors
    ///
    /// Fails if a field is out of bounds, if a later incarnation of the target announced itself
    /// before, or if the directory is full.
    pub fn apply_announcement(
        &mut self,
        announcement: Announcement,
        now: Timestamp,
        wall: WallTime,
    ) -> Result<AnnounceEffect, DirectoryError> {
        check_announcement(&announcement)?;
        self.table.set_now(now);
        let key = hash_key(announcement.target_id.as_str());
        let Some(entry) = self.table.entry(key) else {
            if !self.table.make_room() {
                return Err(DirectoryError::Full { limit: MAX_TARGETS });
            }
            self.store_announcement(key, announcement, wall, LapseCount::default(), now);
            return Ok(AnnounceEffect::Added);
        };
        let held = entry.announcement();
        if held.target_id != announcement.target_id {
            let reason = format!("hash collides with that of target {}", held.target_id);
            return Err(DirectoryError::Invalid { field: "target_id".to_owned(), reason });
        }
        if announcement.incarnation < held.incarnation {
            return Err(DirectoryError::StaleIncarnation { current: held.incarnation });
        }
        if announcement.incarnation > held.incarnation {
            self.store_announcement(key, announcement, wall, LapseCount::default(), now);
            return Ok(AnnounceEffect::Restarted);
        }
        if is_outdated(held, &announcement) {
            return Ok(AnnounceEffect::Outdated);
        }
        let lapses = entry.record.lapses;
        let was_lapsed = lapses.is_lapsed();
        if has_same_content(held, &announcement) {
            let interval = self.announce_interval();
            let renewed = TargetKey(key, announcement.incarnation);
            self.handle_renewal(renewed, interval, now);
            self.forward_renewal(renewed, interval);
            let effect = if was_lapsed { AnnounceEffect::Revived } else { AnnounceEffect::Renewed };
            return Ok(effect);
        }
        let lapses = if was_lapsed { lapses.next() } else { lapses };
        self.store_announcement(key, announcement, wall, lapses, now);
        Ok(if was_lapsed { AnnounceEffect::Revived } else { AnnounceEffect::Updated })
    }

    /// Returns whether this instance has loaded the directory of the fleet.
    ///
    /// That is so once a full exchange with a loaded instance finished, if no other instance is
    /// configured as a seed, or, after the cold start period, if there is no other instance or a
    /// full exchange with one that is not loaded finished.
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Returns every target.
    pub fn records(&self) -> impl Iterator<Item = &TargetEntry> {
        self.table.entries().map(|(_, entry)| entry)
    }

    /// Returns the target named `id`.
    pub fn record(&self, id: &TargetId) -> Option<&TargetEntry> {
        self.table.target(id)
    }

    /// Returns the targets that accept new requests for `index`.
    pub fn live_records_for(&self, index: &IndexName) -> impl Iterator<Item = &TargetEntry> {
        self.table.targets_of(index).filter(|entry| entry.is_live())
    }

    /// Returns the indexes of which some target announced replicas.
    pub fn indexes(&self) -> impl Iterator<Item = &IndexName> {
        self.table.indexes()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the number of targets that this instance watches.
    pub fn len_watched(&self) -> usize {
        self.watches.len()
    }

    /// Returns the approximate memory of the directory in bytes.
    pub fn approximate_bytes(&self) -> usize {
        self.table.approximate_bytes()
    }

    /// Returns the time at which [`Self::handle_tick`] is due.
    pub fn next_deadline(&self) -> Timestamp {
        if self.table.has_change() {
            return self.last_gossip;
        }
        let mut deadline = self.next_sweep;
        if !self.record_rumors.is_empty() || !self.lapse_rumors.is_empty() {
            deadline = deadline.min(self.next_gossip);
        }
        if !self.renewals.is_empty() {
            deadline = deadline.min(self.next_renewals);
        }
        if self.pending_reassignments > 0 {
            deadline = deadline.min(self.next_reassignment);
        }
        if let Some(lapse) = self.watches.earliest() {
            deadline = deadline.min(lapse);
        }
        deadline.min(self.session.as_ref().map_or(self.next_sync, SyncSession::deadline))
    }

    /// Performs all work whose deadline has passed; `peers` are the live instances except this one.
    pub fn handle_tick(
        &mut self,
        now: Timestamp,
        peers: &[PeerRef],
        rng: &mut impl Rng,
    ) -> Vec<DirectoryAction> {
        let mut actions = Vec::new();
        self.table.set_now(now);
        self.update_peers(peers, now);
        self.reassign_watches(now);
        self.process_due_watches(now, &mut actions);
        self.send_renewals(now, &mut actions);
        self.check_session(now, peers, rng, &mut actions);
        self.gossip(now, rng, &mut actions);
        if now >= self.next_sweep {
            let retention = self.settings.timing.retention;
            self.next_sweep = now + retention / SWEEPS_PER_RETENTION;
            self.table.sweep(retention);
        }
        self.report_change(&mut actions);
        actions
    }

    /// Handles a message; `from` is the address at which the sender listens.
    pub fn handle_message(
        &mut self,
        from: SocketAddr,
        message: DirectoryMessage,
        now: Timestamp,
        peers: &[PeerRef],
        rng: &mut impl Rng,
    ) -> Vec<DirectoryAction> {
        let mut actions = Vec::new();
        self.table.set_now(now);
        self.update_peers(peers, now);
        match message {
            DirectoryMessage::Updates { records, lapses } => {
                self.merge_records(&records, now);
                for rumor in &lapses {
                    self.merge_lapse(rumor, now);
                }
            }
            DirectoryMessage::Renewals { targets } => {
                for (renewed, interval_ms) in targets {
                    let interval = Duration::from_millis(u64::from(interval_ms));
                    self.handle_renewal(renewed, interval.min(MAX_ANNOUNCE_INTERVAL), now);
                }
            }
            DirectoryMessage::LapseQuery { targets } => {
                self.handle_lapse_query(from, targets, now, &mut actions);
            }
            DirectoryMessage::LapseReply { targets } => self.handle_lapse_reply(&targets, now),
            DirectoryMessage::Sync(sync) => self.handle_sync(from, sync, now, rng, &mut actions),
        }
        self.report_change(&mut actions);
        actions
    }

    /// Merges records received from another instance and queues new ones for gossip.
    ///
    /// Many new records at once mean that tables are being loaded; anti-entropy disseminates those
    /// at less cost than rumors.
    pub(super) fn merge_records(&mut self, records: &[DirectoryRecord], now: Timestamp) {
        let valid =
            records.iter().filter(|record| check_announcement(&record.announcement).is_ok());
        let merged = valid.filter(|record| self.table.merge(record));
        let new: Vec<u64> = merged.map(SyncRecord::key).collect();
        let timeout = self.lapse_timeout();
        let is_bulk = new.len() > MAX_DISSEMINATED_RECORDS;
        for key in new {
            self.update_watch(key, timeout, now);
            if !is_bulk || self.is_leaving(key) {
                self.disseminate_record(key, now);
            }
        }
        if is_bulk {
            self.schedule_eager_sync(now);
        }
    }

    /// Returns whether the target with `key` is draining or has left.
    fn is_leaving(&self, key: u64) -> bool {
        let state = self.table.entry(key).map(|entry| entry.announcement().state);
        state.is_some_and(|state| state >= TargetState::Draining)
    }

    /// Merges the lapse or return of a target and queues it for gossip if it is new.
    fn merge_lapse(&mut self, rumor: &LapseRumor, now: Timestamp) {
        if self.table.merge_lapse(rumor) {
            self.disseminate_lapse(rumor.key, now);
            self.update_watch(rumor.key, self.lapse_timeout(), now);
        }
    }

    /// Stores an announcement and queues it for gossip.
    ///
    /// Its wall time is raised above that of the record it replaces, so that it is ordered after
    /// that record.
    fn store_announcement(
        &mut self,
        key: u64,
        announcement: Announcement,
        wall: WallTime,
        lapses: LapseCount,
        now: Timestamp,
    ) {
        let instance = self.settings.id.clone();
        let held = self.table.entry(key).map(|entry| entry.record.stamp.wall.as_millis() + 1);
        let wall = WallTime::from_millis(wall.as_millis().max(held.unwrap_or(0)));
        let stamp = AnnounceStamp { wall, instance };
        let announcement = Arc::new(announcement);
        self.table.put(key, DirectoryRecord { announcement, stamp, lapses, inactive_ms: 0 });
        self.disseminate_record(key, now);
        self.update_watch(key, self.lapse_timeout(), now);
    }

    /// Queues the record with `key` for gossip; a drain or a departure is sent first.
    ///
    /// If more than [`MAX_QUEUED_UPDATES`] are queued, anti-entropy disseminates those that are not
    /// urgent.
    fn disseminate_record(&mut self, key: u64, now: Timestamp) {
        let leaving = self.is_leaving(key);
        let urgency = if leaving { RumorUrgency::Urgent } else { RumorUrgency::Normal };
        self.record_rumors.push(key, urgency);
        if self.record_rumors.len() > MAX_QUEUED_UPDATES {
            self.record_rumors.drop_normal();
            self.schedule_eager_sync(now);
        }
        self.schedule_gossip(now);
    }

    /// Queues the lapse or return of a target for gossip.
    pub(super) fn disseminate_lapse(&mut self, key: u64, now: Timestamp) {
        self.lapse_rumors.push(key, RumorUrgency::Urgent);
        self.schedule_gossip(now);
    }

    /// Schedules the next gossip round as soon as permitted.
    fn schedule_gossip(&mut self, now: Timestamp) {
        let soonest = self.last_gossip + MIN_GOSSIP_INTERVAL;
        self.next_gossip = self.next_gossip.min(now.max(soonest));
    }

    /// Sends queued updates to a few random instances.
    fn gossip(&mut self, now: Timestamp, rng: &mut impl Rng, actions: &mut Vec<DirectoryAction>) {
        let idle = self.record_rumors.is_empty() && self.lapse_rumors.is_empty();
        if idle || now < self.next_gossip {
            return;
        }
        let timing = self.settings.timing;
        self.last_gossip = now;
        self.next_gossip = now + timing.gossip_period;
        if self.peers.is_empty() {
            self.record_rumors = RumorQueue::default();
            self.lapse_rumors = RumorQueue::default();
        }
        let limit = send_limit(self.ranking.len());
        let addresses = &self.peer_addresses;
        let all = || addresses.keys().cloned().collect();
        let is_present = |id: &InstanceId| addresses.contains_key(id);
        let picked = self.gossip_round.take(timing.gossip_fanout, rng, all, is_present);
        for id in picked {
            let Some(to) = self.peer_addresses.get(&id).copied() else { continue };
            if let Some(message) = self.take_updates(limit) {
                actions.push(DirectoryAction::Send { to, message });
            }
        }
    }

    /// Takes the queued updates for one message.
    fn take_updates(&mut self, limit: u32) -> Option<DirectoryMessage> {
        let table = &self.table;
        let lapse_size = |key| table.entry(key).map(|_| LAPSE_BYTES);
        let lapse_keys = self.lapse_rumors.take(MAX_UPDATE_BYTES, limit, lapse_size);
        let record_size = |key| table.entry(key).map(|entry| entry.record.encoded_bytes());
        let room = MAX_UPDATE_BYTES.saturating_sub(lapse_keys.len() * LAPSE_BYTES);
        let record_keys = self.record_rumors.take(room, limit, record_size);
        if lapse_keys.is_empty() && record_keys.is_empty() {
            return None;
        }
        let records = record_keys.into_iter().filter_map(|key| table.record_to_send(key)).collect();
        let lapses = lapse_keys.into_iter().filter_map(|key| lapse_rumor(table, key)).collect();
        Some(DirectoryMessage::Updates { records, lapses })
    }

    /// Reports the targets and indexes that changed.
    fn report_change(&mut self, actions: &mut Vec<DirectoryAction>) {
        if !self.table.has_change() {
            return;
        }
        let change = self.table.take_change();
        actions.push(DirectoryAction::Changed {
            indexes: change.indexes.into_iter().collect(),
            targets: change.targets.into_iter().collect(),
        });
    }
}

/// Builds the rumor of the lapse or return of the target with `key`.
fn lapse_rumor(table: &DirectoryTable, key: u64) -> Option<LapseRumor> {
    let record = &table.entry(key)?.record;
    let incarnation = record.announcement.incarnation;
    Some(LapseRumor { key, incarnation, lapses: record.lapses })
}

/// Returns whether `received` is older than `held` and arrived late.
fn is_outdated(held: &Announcement, received: &Announcement) -> bool {
    if received.state != held.state {
        return received.state < held.state;
    }
    received.sequence.unwrap_or(0) < held.sequence.unwrap_or(0)
}

/// Returns whether two announcements differ in nothing but their sequence.
fn has_same_content(held: &Announcement, received: &Announcement) -> bool {
    held.state == received.state
        && held.address == received.address
        && held.slots == received.slots
        && held.connections == received.connections
        && held.availability_zone == received.availability_zone
        && held.replicas == received.replicas
}
