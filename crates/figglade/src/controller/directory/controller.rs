//! The controller that runs the target directory of one instance.

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

/// The bytes of news in one message, exceeded only by a single announcement.
const NEWS_BYTES: usize = 1_100;

/// The bytes of a lapse in a message.
const LAPSE_BYTES: usize = 26;

/// The announcements that one instance should receive in a second at most.
const ANNOUNCEMENTS_PER_SECOND: u64 = 20;

/// The most new records of one message that are spread on.
const MAX_SPREAD_RECORDS: usize = 32;

/// The most news queued before anti-entropy takes over what is not urgent.
const MAX_QUEUED_NEWS: usize = 64;

/// The shortest time between two gossip rounds.
const GOSSIP_SPACING: Duration = Duration::from_millis(20);

/// The longest time between announcements of a target.
const MAX_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(30);

/// The parts of the retention after which what lapsed or left is looked through again.
const SWEEPS_PER_RETENTION: u32 = 32;

/// Runs the target directory of one instance.
#[derive(Clone, Debug)]
pub struct TargetDirectory {
    pub(super) settings: DirectorySettings,
    pub(super) started_at: Timestamp,
    pub(super) table: DirectoryTable,
    pub(super) news: RumorQueue,
    pub(super) round: GossipRound<InstanceId>,
    pub(super) partners: GossipRound<InstanceId>,
    pub(super) lapses: RumorQueue,
    pub(super) watches: WatchTable,
    pub(super) ranking: WatcherRanking,
    pub(super) peer_addresses: BTreeMap<InstanceId, SocketAddr>,
    pub(super) renewals: BTreeMap<InstanceId, BTreeMap<TargetKey, u32>>,
    pub(super) peers: Vec<PeerRef>,
    pub(super) next_partner: Option<SocketAddr>,
    pub(super) unchecked: usize,
    pub(super) checked_up_to: Option<u64>,
    pub(super) next_check: Timestamp,
    pub(super) session: Option<SyncSession>,
    pub(super) eager_sessions: u32,
    pub(super) has_compared: bool,
    pub(super) is_synced: bool,
    pub(super) last_gossip: Timestamp,
    pub(super) next_gossip: Timestamp,
    pub(super) next_renewals: Timestamp,
    pub(super) next_sync: Timestamp,
    pub(super) next_sweep: Timestamp,
}

impl TargetDirectory {
    /// Builds an empty directory.
    pub fn new(settings: DirectorySettings, now: Timestamp) -> Self {
        let timing = settings.timing;
        Self {
            started_at: now,
            table: DirectoryTable::default(),
            news: RumorQueue::default(),
            round: GossipRound::default(),
            partners: GossipRound::default(),
            lapses: RumorQueue::default(),
            watches: WatchTable::default(),
            ranking: WatcherRanking::new([settings.id.clone()]),
            peer_addresses: BTreeMap::new(),
            renewals: BTreeMap::new(),
            peers: Vec::new(),
            next_partner: None,
            unchecked: 0,
            checked_up_to: None,
            next_check: now,
            session: None,
            eager_sessions: 0,
            has_compared: false,
            is_synced: !settings.expects_peers,
            last_gossip: now,
            next_gossip: now,
            next_renewals: now + timing.renewal_period,
            next_sync: now,
            next_sweep: now + timing.retention / SWEEPS_PER_RETENTION,
            settings,
        }
    }

    /// Takes the announce period and the periods until a lapse from the fleet defaults.
    pub fn set_announce_timing(&mut self, period: Duration, lapse_periods: u32) {
        self.settings.timing.announce_period = period;
        self.settings.timing.lapse_periods = lapse_periods.max(1);
    }

    /// Returns the time after which a target should announce again.
    ///
    /// It grows with the targets for each instance, so that an instance receives a bounded number
    /// of announcements a second. An instance that has not loaded the directory cannot tell and
    /// asks for the shortest time.
    pub fn announce_interval(&self) -> Duration {
        let shortest = self.settings.timing.announce_period;
        if !self.is_synced {
            return shortest;
        }
        let members = self.ranking.len().max(1) as u64;
        let targets = self.table.len() as u64;
        let spread = Duration::from_millis(targets * 1_000 / (members * ANNOUNCEMENTS_PER_SECOND));
        spread.min(MAX_ANNOUNCE_INTERVAL).max(shortest)
    }

    /// Returns the silence after which a target lapses that announces itself again as
    /// [`Self::announce_interval`] says now.
    pub fn lapse_timeout(&self) -> Duration {
        self.lapse_timeout_after(self.announce_interval())
    }

    /// Returns the silence after which a target lapses that was told to announce itself again
    /// after `interval`.
    pub(super) fn lapse_timeout_after(&self, interval: Duration) -> Duration {
        let timing = self.settings.timing;
        interval * timing.lapse_periods + timing.renewal_period
    }

    /// Returns the silence after which a target lapses that was told an interval by an instance
    /// which may have known another fleet.
    pub(super) fn fresh_timeout(&self) -> Duration {
        MAX_ANNOUNCE_INTERVAL.max(self.settings.timing.announce_period) + self.lapse_timeout()
    }

    /// Takes the announcement of a target; [`Self::handle_tick`] should follow at once.
    ///
    /// `wall` is the wall time of its arrival; it orders changes within one incarnation.
    ///
    /// # Errors
    ///
    /// Fails when a field is out of bounds, when a later start of the target announced itself
    /// before, or when the directory is full.
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
            self.put_announced(key, announcement, wall, LapseCount::default(), now);
            return Ok(AnnounceEffect::Added);
        };
        let held = entry.announcement();
        if held.target_id != announcement.target_id {
            let reason = format!("collides with {}", held.target_id);
            return Err(DirectoryError::Invalid { field: "target_id".to_owned(), reason });
        }
        if announcement.incarnation < held.incarnation {
            return Err(DirectoryError::StaleIncarnation { current: held.incarnation });
        }
        if announcement.incarnation > held.incarnation {
            self.put_announced(key, announcement, wall, LapseCount::default(), now);
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
        self.put_announced(key, announcement, wall, lapses, now);
        Ok(if was_lapsed { AnnounceEffect::Revived } else { AnnounceEffect::Updated })
    }

    /// Returns whether the directory of the fleet is loaded.
    ///
    /// That is so once a full exchange with a loaded instance ended, when no other instance is
    /// named, or, after the cold start period, when no loaded instance is there to ask.
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

    /// Returns the targets that take new work for `index`.
    pub fn live_records_for(&self, index: &IndexName) -> impl Iterator<Item = &TargetEntry> {
        self.table.targets_of(index).filter(|entry| entry.is_live())
    }

    /// Returns the indexes that some target announced.
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

    /// Returns about how many bytes the directory takes.
    pub fn approximate_bytes(&self) -> usize {
        self.table.approximate_bytes()
    }

    /// Returns the point at which [`Self::handle_tick`] has something to do.
    pub fn next_deadline(&self) -> Timestamp {
        if self.table.has_change() {
            return self.last_gossip;
        }
        let mut deadline = self.next_sweep;
        if !self.news.is_empty() || !self.lapses.is_empty() {
            deadline = deadline.min(self.next_gossip);
        }
        if !self.renewals.is_empty() {
            deadline = deadline.min(self.next_renewals);
        }
        if self.unchecked > 0 {
            deadline = deadline.min(self.next_check);
        }
        if let Some(lapse) = self.watches.earliest() {
            deadline = deadline.min(lapse);
        }
        deadline.min(self.session.as_ref().map_or(self.next_sync, SyncSession::deadline))
    }

    /// Does what is due; `peers` are the live instances but this one.
    pub fn handle_tick(
        &mut self,
        now: Timestamp,
        peers: &[PeerRef],
        rng: &mut impl Rng,
    ) -> Vec<DirectoryAction> {
        let mut actions = Vec::new();
        self.table.set_now(now);
        self.update_peers(peers, now);
        self.check_watches(now);
        self.lapse_due(now, &mut actions);
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

    /// Takes a message; `from` is the address that the sender listens at.
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
            DirectoryMessage::News { records, lapses } => {
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
                self.answer_query(from, targets, now, &mut actions);
            }
            DirectoryMessage::LapseReply { targets } => self.settle_watches(&targets, now),
            DirectoryMessage::Sync(sync) => self.handle_sync(from, sync, now, rng, &mut actions),
        }
        self.report_change(&mut actions);
        actions
    }

    /// Merges records of other instances and spreads what is new.
    ///
    /// Many new records at once mean that tables are being loaded; anti-entropy spreads those at
    /// less cost than rumors.
    pub(super) fn merge_records(&mut self, records: &[DirectoryRecord], now: Timestamp) {
        let valid =
            records.iter().filter(|record| check_announcement(&record.announcement).is_ok());
        let merged = valid.filter(|record| self.table.merge(record));
        let new: Vec<u64> = merged.map(SyncRecord::key).collect();
        let timeout = self.lapse_timeout();
        let is_page = new.len() > MAX_SPREAD_RECORDS;
        for key in new {
            self.watch_if_chosen(key, timeout, now);
            if !is_page || self.is_leaving(key) {
                self.spread_record(key, now);
            }
        }
        if is_page {
            self.sync_eagerly(now);
        }
    }

    /// Returns whether the target with `key` drains or has left.
    fn is_leaving(&self, key: u64) -> bool {
        let state = self.table.entry(key).map(|entry| entry.announcement().state);
        state.is_some_and(|state| state >= TargetState::Draining)
    }

    /// Merges the lapse or return of a target and spreads it when it is new.
    fn merge_lapse(&mut self, rumor: &LapseRumor, now: Timestamp) {
        if self.table.merge_lapse(rumor) {
            self.spread_lapse(rumor.key, now);
            self.watch_if_chosen(rumor.key, self.lapse_timeout(), now);
        }
    }

    /// Puts an announcement in place and spreads it.
    fn put_announced(
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
        self.table.put(key, DirectoryRecord { announcement, stamp, lapses, quiet_ms: 0 });
        self.spread_record(key, now);
        self.watch_if_chosen(key, self.lapse_timeout(), now);
    }

    /// Queues the record with `key` as news; a drain or a departure goes first.
    ///
    /// Where much is queued, anti-entropy takes over what is not urgent.
    fn spread_record(&mut self, key: u64, now: Timestamp) {
        let leaving = self.is_leaving(key);
        let urgency = if leaving { RumorUrgency::Urgent } else { RumorUrgency::Normal };
        self.news.push(key, urgency);
        if self.news.len() > MAX_QUEUED_NEWS {
            self.news.drop_normal();
            self.sync_eagerly(now);
        }
        self.schedule_gossip(now);
    }

    /// Queues the lapse or return of a target as news.
    pub(super) fn spread_lapse(&mut self, key: u64, now: Timestamp) {
        self.lapses.push(key, RumorUrgency::Urgent);
        self.schedule_gossip(now);
    }

    /// Lets the next gossip round go out soon.
    fn schedule_gossip(&mut self, now: Timestamp) {
        let soonest = self.last_gossip + GOSSIP_SPACING;
        self.next_gossip = self.next_gossip.min(now.max(soonest));
    }

    /// Sends news to a few random instances.
    fn gossip(&mut self, now: Timestamp, rng: &mut impl Rng, actions: &mut Vec<DirectoryAction>) {
        let idle = self.news.is_empty() && self.lapses.is_empty();
        if idle || now < self.next_gossip {
            return;
        }
        let timing = self.settings.timing;
        self.last_gossip = now;
        self.next_gossip = now + timing.gossip_period;
        if self.peers.is_empty() {
            self.news = RumorQueue::default();
            self.lapses = RumorQueue::default();
        }
        let limit = send_limit(self.ranking.len());
        let addresses = &self.peer_addresses;
        let all = || addresses.keys().cloned().collect();
        let is_present = |id: &InstanceId| addresses.contains_key(id);
        let picked = self.round.take(timing.gossip_fanout, rng, all, is_present);
        for id in picked {
            let Some(to) = self.peer_addresses.get(&id).copied() else { continue };
            if let Some(message) = self.take_news(limit) {
                actions.push(DirectoryAction::Send { to, message });
            }
        }
    }

    /// Takes the news for one message.
    fn take_news(&mut self, limit: u32) -> Option<DirectoryMessage> {
        let table = &self.table;
        let lapse_size = |key| table.entry(key).map(|_| LAPSE_BYTES);
        let lapse_keys = self.lapses.take(NEWS_BYTES, limit, lapse_size);
        let record_size = |key| table.entry(key).map(|entry| entry.record.encoded_bytes());
        let room = NEWS_BYTES.saturating_sub(lapse_keys.len() * LAPSE_BYTES);
        let record_keys = self.news.take(room, limit, record_size);
        if lapse_keys.is_empty() && record_keys.is_empty() {
            return None;
        }
        let records = record_keys.into_iter().filter_map(|key| table.record_to_send(key)).collect();
        let lapses = lapse_keys.into_iter().filter_map(|key| lapse_rumor(table, key)).collect();
        Some(DirectoryMessage::News { records, lapses })
    }

    /// Reports what changed.
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

/// Returns whether `heard` is a late copy of something older than `held`.
fn is_outdated(held: &Announcement, heard: &Announcement) -> bool {
    if heard.state != held.state {
        return heard.state < held.state;
    }
    heard.sequence.unwrap_or(0) < held.sequence.unwrap_or(0)
}

/// Returns whether two announcements differ in nothing but their sequence.
fn has_same_content(held: &Announcement, heard: &Announcement) -> bool {
    held.state == heard.state
        && held.address == heard.address
        && held.slots == heard.slots
        && held.connections == heard.connections
        && held.availability_zone == heard.availability_zone
        && held.replicas == heard.replicas
}
