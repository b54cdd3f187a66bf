//! The controller of the membership protocol on one instance.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{Rng, seq::IndexedRandom};

use super::{
    probe::{ProbeState, RelayedProbe},
    rumor::{GossipRound, RumorQueue, RumorUrgency, send_limit},
    sync::{SyncRecord, SyncSession},
    table::MemberTable,
    types::{
        LeaderHint, MemberChange, MemberFacts, MemberRecord, MemberState, MembershipAction,
        MembershipBody, MembershipMessage, MembershipSettings, PeerRef,
    },
};
use crate::{ConfigVersion, Incarnation, InstanceId, Timestamp};

/// The maximum size of the updates piggybacked on one message; a single update may exceed it.
const MAX_PIGGYBACK_BYTES: usize = 900;

/// The fleet size above which facts are sent only in the member's own messages and not gossiped.
const MAX_FACT_GOSSIP_MEMBERS: usize = 128;

/// The time after the start in which a higher incarnation of the instance itself is attributed to
/// its previous process.
///
/// Such an incarnation remains when the clock was set back between the two starts. The instance
/// then raises its own above it. Later, a higher incarnation means that another process runs under
/// the same identifier.
const START_GRACE_PERIOD: Duration = Duration::from_secs(30);

/// The shortest time between two gossip rounds.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(20);

/// The membership protocol of one instance.
#[derive(Clone, Debug)]
pub struct MembershipController {
    pub(super) settings: MembershipSettings,
    pub(super) own_key: u64,
    pub(super) own: MemberRecord,
    pub(super) started_at: Timestamp,
    pub(super) table: MemberTable,
    pub(super) rumors: RumorQueue,
    pub(super) gossip_round: GossipRound<u64>,
    pub(super) probe: ProbeState,
    pub(super) suspects: BTreeMap<u64, Timestamp>,
    pub(super) session: Option<SyncSession>,
    pub(super) has_synced: bool,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) highest_config: ConfigVersion,
    pub(super) last_gossip: Timestamp,
    pub(super) next_gossip: Timestamp,
    pub(super) next_probe: Timestamp,
    pub(super) next_sync: Timestamp,
    pub(super) next_rejoin: Timestamp,
    pub(super) next_sweep: Timestamp,
}

impl MembershipController {
    /// Creates the controller of an instance that knows only itself.
    pub fn new(settings: MembershipSettings, now: Timestamp) -> Self {
        let own = MemberRecord {
            id: settings.id.clone(),
            incarnation: settings.incarnation,
            refutation: 0,
            state: MemberState::Alive,
            peer: settings.peer,
            http: settings.http,
            availability_zone: settings.availability_zone.clone(),
            facts: MemberFacts::default(),
        };
        let mut table = MemberTable::default();
        table.merge(&own, now);
        let timing = settings.timing;
        Self {
            own_key: own.key(),
            own,
            started_at: now,
            table,
            rumors: RumorQueue::default(),
            gossip_round: GossipRound::default(),
            probe: ProbeState::default(),
            suspects: Default::default(),
            session: None,
            has_synced: false,
            seeds: Vec::new(),
            highest_config: ConfigVersion::default(),
            last_gossip: now,
            next_gossip: now,
            next_probe: now + timing.probe_period,
            next_sync: now + timing.sync_period,
            next_rejoin: now,
            next_sweep: now + timing.retention / 16,
            settings,
        }
    }

    /// Sets the seed addresses at which to find other instances; the own address is left out.
    pub fn join(&mut self, seeds: &[SocketAddr], now: Timestamp) {
        let own = self.settings.peer;
        self.seeds = seeds.iter().copied().filter(|seed| *seed != own).collect();
        self.next_rejoin = now;
    }

    /// Announces that the instance leaves; ticks must continue until [`Self::has_left`].
    pub fn begin_leave(&mut self, now: Timestamp) {
        if self.own.state == MemberState::Left {
            return;
        }
        self.own.state = MemberState::Left;
        self.disseminate_own(now);
    }

    /// Returns whether the instance announced that it leaves and gossip has sent the announcement.
    pub fn has_left(&self) -> bool {
        self.own.state == MemberState::Left && self.rumors.is_empty()
    }

    /// Returns whether the instance has joined its fleet.
    ///
    /// That is so once a full exchange with some member finished, if no other instance is
    /// configured as a seed, or if none answered within the join timeout.
    pub fn has_joined(&self) -> bool {
        self.has_synced || self.seeds.is_empty()
    }

    /// Publishes changed facts of the instance; the configuration version never decreases.
    pub fn set_facts(
        &mut self,
        config_version: ConfigVersion,
        leader: Option<LeaderHint>,
        ready: bool,
        now: Timestamp,
    ) {
        let config_version = config_version.max(self.own.facts.config_version);
        self.highest_config = self.highest_config.max(config_version);
        let sequence = self.own.facts.sequence;
        let facts = MemberFacts { sequence, config_version, leader, ready };
        if facts == self.own.facts {
            return;
        }
        self.own.facts = MemberFacts { sequence: sequence + 1, ..facts };
        self.disseminate_own(now);
    }

    /// Returns the incarnation of the instance, which is higher than at its start if the clock was
    /// set back since its previous process started.
    pub fn incarnation(&self) -> Incarnation {
        self.own.incarnation
    }

    /// Returns the highest configuration version that the instance knows to exist.
    pub fn highest_config(&self) -> ConfigVersion {
        self.highest_config
    }

    /// Returns the live members, including the instance itself.
    pub fn alive(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.live()
    }

    /// Returns the number of live members, including the instance itself.
    pub fn len_alive(&self) -> usize {
        self.table.live_keys().len()
    }

    /// Returns the live members except the instance itself.
    pub fn peers(&self) -> Vec<PeerRef> {
        self.table.peers(self.own_key)
    }

    /// Returns the member named `id`, live or not.
    pub fn member(&self, id: &InstanceId) -> Option<&MemberRecord> {
        self.table.member(id)
    }

    /// Returns every member, live or not.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.entries().map(|(_, entry)| &entry.record)
    }

    /// Returns the time at which [`Self::handle_tick`] is due.
    pub fn next_deadline(&self) -> Timestamp {
        let mut deadline = self.next_probe.min(self.next_rejoin).min(self.next_sweep);
        if !self.rumors.is_empty() {
            deadline = deadline.min(self.next_gossip);
        }
        if let Some(probe) = self.probe.pending() {
            deadline = deadline.min(probe.indirect_at.unwrap_or(probe.fails_at));
        }
        let session = self.session.as_ref().map_or(self.next_sync, SyncSession::deadline);
        let suspect = self.suspects.values().min().copied().unwrap_or(session);
        deadline.min(session).min(suspect)
    }

    /// Performs all work whose deadline has passed.
    pub fn handle_tick(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.check_suspects(now, &mut actions);
        self.check_probe(now, rng, &mut actions);
        if now >= self.next_probe {
            self.start_probe(now, rng, &mut actions);
        }
        if now >= self.next_rejoin {
            self.try_rejoin(now, rng, &mut actions);
        }
        self.check_session(now, rng, &mut actions);
        if !self.rumors.is_empty() && now >= self.next_gossip {
            self.gossip(now, rng, &mut actions);
        }
        if now >= self.next_sweep {
            self.forget_expired(now, &mut actions);
        }
        actions
    }

    /// Handles a message; `from` is the address at which the sender listens.
    pub fn handle_message(
        &mut self,
        from: SocketAddr,
        message: MembershipMessage,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        let sender_key = message.sender.key();
        if sender_key == self.own_key {
            self.handle_own_record(&message.sender, now, &mut actions);
            return actions;
        }
        self.merge_record(&message.sender, now, &mut actions);
        for record in &message.records {
            self.merge_record(record, now, &mut actions);
        }
        self.update_highest_config(&message, now, &mut actions);
        self.notify_sender(from, sender_key, &message, &mut actions);
        match message.body {
            MembershipBody::Ping { sequence, to } => {
                if to.is_none_or(|id| id == self.settings.id) {
                    let body = MembershipBody::Ack { sequence };
                    self.send(from, Some(sender_key), body, &mut actions);
                }
            }
            MembershipBody::Ack { sequence } => {
                self.handle_ack(from, sequence, now, rng, &mut actions)
            }
            MembershipBody::PingRequest { sequence, to, address } => {
                let relay = RelayedProbe {
                    origin: from,
                    sequence,
                    expires_at: now + self.settings.timing.probe_period,
                };
                self.relay_probe(relay, to, address, &mut actions);
            }
            MembershipBody::Gossip => {}
            MembershipBody::Sync(sync) => self.handle_sync(from, sync, now, rng, &mut actions),
        }
        actions
    }

    /// Notifies a sender that is recorded as suspect, dead or superseded, so that it can refute or
    /// stop. A ping is answered anyway and needs no separate notification.
    fn notify_sender(
        &mut self,
        from: SocketAddr,
        sender_key: u64,
        message: &MembershipMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(entry) = self.table.entry(sender_key) else { return };
        let held = &entry.record;
        let suspected = held.state > message.sender.state && held.state != MemberState::Left;
        let superseded = held.incarnation > message.sender.incarnation;
        let is_ping = matches!(message.body, MembershipBody::Ping { .. });
        if (suspected || superseded) && !is_ping {
            self.send(from, Some(sender_key), MembershipBody::Gossip, actions);
        }
    }

    /// Raises the highest known configuration version to that of a message and reports the change.
    fn update_highest_config(
        &mut self,
        message: &MembershipMessage,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let version = message.highest_config.max(message.sender.facts.config_version);
        if version <= self.highest_config {
            return;
        }
        self.highest_config = version;
        let source = PeerRef { id: message.sender.id.clone(), peer: message.sender.peer };
        actions.push(MembershipAction::NewerConfig { version, source });
        // Each message carries the highest version, so sending any rumor passes it on.
        self.push_rumor(self.own_key, now);
    }

    /// Merges a received record of a member and queues it for gossip if it changed something.
    pub(super) fn merge_record(
        &mut self,
        record: &MemberRecord,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        let key = record.key();
        if key == self.own_key {
            self.handle_own_record(record, now, actions);
            return;
        }
        let Some(event) = self.table.merge(record, now) else { return };
        if event.change != MemberChange::FactsChanged || self.disseminates_facts() {
            self.push_rumor(key, now);
        }
        match event.state {
            MemberState::Suspect => {
                let dead_at = now + self.suspicion_timeout();
                self.suspects.entry(key).or_insert(dead_at);
            }
            _ => {
                self.suspects.remove(&key);
            }
        }
        let was_dead = event.previous.is_some_and(|state| !state.is_live());
        if was_dead && event.state.is_live() {
            self.next_sync = now;
        }
        actions.push(MembershipAction::Changed(event));
    }

    /// Handles a record that another member holds of this instance.
    ///
    /// A record of the same incarnation that would prevail over its own is refuted with a higher
    /// refutation number. A higher incarnation is exceeded within [`START_GRACE_PERIOD`] of the
    /// start; later it means that another process superseded this one.
    fn handle_own_record(
        &mut self,
        received: &MemberRecord,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        if received.id != self.own.id || self.own.state == MemberState::Left {
            return;
        }
        if received.incarnation > self.own.incarnation {
            if now.since(self.started_at) > START_GRACE_PERIOD {
                let incarnation = received.incarnation;
                actions.push(MembershipAction::Superseded { incarnation });
                return;
            }
            self.own.incarnation = Incarnation::new(received.incarnation.get() + 1);
            self.own.refutation = 0;
            self.disseminate_own(now);
        } else if received.order() > self.own.order() {
            self.own.refutation = received.refutation + 1;
            self.disseminate_own(now);
        }
    }

    /// Stores the instance's own record and queues it for gossip.
    fn disseminate_own(&mut self, now: Timestamp) {
        self.table.merge(&self.own, now);
        self.push_rumor(self.own_key, now);
    }

    /// Queues a rumor and schedules the next gossip round as soon as permitted.
    fn push_rumor(&mut self, key: u64, now: Timestamp) {
        self.rumors.push(key, RumorUrgency::Normal);
        let soonest = self.last_gossip + MIN_GOSSIP_INTERVAL;
        self.next_gossip = self.next_gossip.min(now.max(soonest));
    }

    /// Returns whether changed facts of other members are passed on by gossip.
    fn disseminates_facts(&self) -> bool {
        self.len_alive() <= MAX_FACT_GOSSIP_MEMBERS
    }

    /// Sends queued rumors to a few random members.
    fn gossip(&mut self, now: Timestamp, rng: &mut impl Rng, actions: &mut Vec<MembershipAction>) {
        let timing = self.settings.timing;
        self.last_gossip = now;
        self.next_gossip = now + timing.gossip_period;
        let (table, own) = (&self.table, self.own_key);
        let live = || table.live_keys().iter().copied().filter(|key| *key != own).collect();
        let is_live = |key: &u64| table.live_keys().binary_search(key).is_ok();
        let picked = self.gossip_round.take(timing.gossip_fanout, rng, live, is_live);
        if picked.is_empty() {
            self.rumors = RumorQueue::default();
        }
        for key in picked {
            let address = self.table.entry(key).map(|entry| entry.record.peer);
            if let Some(address) = address.filter(|_| !self.rumors.is_empty()) {
                self.send(address, Some(key), MembershipBody::Gossip, actions);
            }
        }
    }

    /// Removes members that have been dead or gone for the retention period.
    fn forget_expired(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let retention = self.settings.timing.retention;
        self.next_sweep = now + retention / 16;
        let old: Vec<u64> = self
            .table
            .entries()
            .filter(|(_, entry)| !entry.record.state.is_live())
            .filter(|(_, entry)| now.since(entry.changed_at) >= retention)
            .map(|(key, _)| key)
            .collect();
        let forgotten = old.into_iter().filter_map(|key| self.table.forget(key));
        actions.extend(forgotten.map(MembershipAction::Changed));
    }

    /// Picks up to `count` random live members other than the instance itself and `except`.
    pub(super) fn pick_peers(
        &self,
        count: usize,
        except: Option<u64>,
        rng: &mut impl Rng,
    ) -> Vec<(u64, SocketAddr)> {
        let keys = self.table.live_keys();
        keys.sample(rng, count + 2)
            .filter(|key| **key != self.own_key && Some(**key) != except)
            .take(count)
            .filter_map(|key| Some((*key, self.table.entry(*key)?.record.peer)))
            .collect()
    }

    /// Sends a message with piggybacked updates; a receiver that is not recorded as alive gets its
    /// own record first.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        receiver: Option<u64>,
        body: MembershipBody,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut records = Vec::new();
        let not_alive = receiver
            .and_then(|key| self.table.entry(key))
            .filter(|entry| entry.record.state != MemberState::Alive);
        records.extend(not_alive.map(|entry| entry.record.clone()));
        let limit = send_limit(self.len_alive());
        let table = &self.table;
        let size_of = |key| table.entry(key).map(|entry| entry.record.encoded_bytes());
        for key in self.rumors.take(MAX_PIGGYBACK_BYTES, limit, size_of) {
            let entry = table.entry(key).filter(|_| key != self.own_key);
            records.extend(entry.map(|entry| entry.record.clone()));
        }
        let message = MembershipMessage {
            sender: self.own.clone(),
            highest_config: self.highest_config,
            body,
            records,
        };
        actions.push(MembershipAction::Send { to, message });
    }
}
