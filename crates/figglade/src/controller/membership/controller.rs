//! The controller that runs the membership protocol of one instance.

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

/// The bytes of news that ride on one message.
const PIGGYBACK_BYTES: usize = 900;

/// The fleet size above which facts travel only with the member's own messages.
const FACTS_RUMOR_MEMBERS: usize = 128;

/// The time after the start in which an instance takes a higher incarnation of itself for a former
/// life, left by a clock that was set back, and raises its own above it.
const START_GRACE: Duration = Duration::from_secs(30);

/// The shortest time between two gossip rounds.
const GOSSIP_SPACING: Duration = Duration::from_millis(20);

/// Runs the membership protocol of one instance.
#[derive(Clone, Debug)]
pub struct MembershipController {
    pub(super) settings: MembershipSettings,
    pub(super) own_key: u64,
    pub(super) own: MemberRecord,
    pub(super) started_at: Timestamp,
    pub(super) table: MemberTable,
    pub(super) rumors: RumorQueue,
    pub(super) round: GossipRound<u64>,
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
    /// Builds the controller of an instance that knows only itself.
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
            round: GossipRound::default(),
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

    /// Takes the addresses to find other instances at; the own address is left out.
    pub fn join(&mut self, seeds: &[SocketAddr], now: Timestamp) {
        let own = self.settings.peer;
        self.seeds = seeds.iter().copied().filter(|seed| *seed != own).collect();
        self.next_rejoin = now;
    }

    /// Announces that the instance leaves; ticks must go on until [`Self::has_left`].
    pub fn begin_leave(&mut self, now: Timestamp) {
        if self.own.state == MemberState::Left {
            return;
        }
        self.own.state = MemberState::Left;
        self.spread_own(now);
    }

    /// Returns whether the instance announced that it left and the news is spread.
    pub fn has_left(&self) -> bool {
        self.own.state == MemberState::Left && self.rumors.is_empty()
    }

    /// Returns whether a full exchange with some member ended, no other instance is named, or none
    /// answered for a while.
    pub fn has_joined(&self) -> bool {
        self.has_synced || self.seeds.is_empty()
    }

    /// Tells the fleet something new about the instance; the configuration version only rises.
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
        self.spread_own(now);
    }

    /// Returns the incarnation of the instance, which a set-back clock may have made it raise.
    pub fn incarnation(&self) -> Incarnation {
        self.own.incarnation
    }

    /// Returns the highest configuration that the instance has heard of.
    pub fn highest_config(&self) -> ConfigVersion {
        self.highest_config
    }

    /// Returns the live members, the instance itself among them.
    pub fn alive(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.live()
    }

    /// Returns the number of live members, the instance itself among them.
    pub fn len_alive(&self) -> usize {
        self.table.live_keys().len()
    }

    /// Returns the live members but the instance itself.
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

    /// Returns the point at which [`Self::handle_tick`] has something to do.
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

    /// Does what is due.
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
            self.forget_old(now, &mut actions);
        }
        actions
    }

    /// Takes a message; `from` is the address that the sender listens at.
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
        self.note_config(&message, now, &mut actions);
        self.correct_sender(from, sender_key, &message, &mut actions);
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

    /// Tells a sender that is believed dead or superseded so, so that it can refute or stop.
    fn correct_sender(
        &mut self,
        from: SocketAddr,
        sender_key: u64,
        message: &MembershipMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(entry) = self.table.entry(sender_key) else { return };
        let held = &entry.record;
        let doubted = held.state > message.sender.state && held.state != MemberState::Left;
        let superseded = held.incarnation > message.sender.incarnation;
        let answered_anyway = matches!(message.body, MembershipBody::Ping { .. });
        if (doubted || superseded) && !answered_anyway {
            self.send(from, Some(sender_key), MembershipBody::Gossip, actions);
        }
    }

    /// Reports a configuration that was not heard of before.
    fn note_config(
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
        actions.push(MembershipAction::ConfigHeard { version, source });
        // Each message names the highest configuration, so any rumor carries the news on.
        self.push_rumor(self.own_key, now);
    }

    /// Merges what was heard about a member and spreads it when it is new.
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
        if event.change != MemberChange::FactsChanged || self.spreads_facts() {
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

    /// Answers a belief about the instance itself.
    fn handle_own_record(
        &mut self,
        heard: &MemberRecord,
        now: Timestamp,
        actions: &mut Vec<MembershipAction>,
    ) {
        if heard.id != self.own.id || self.own.state == MemberState::Left {
            return;
        }
        if heard.incarnation > self.own.incarnation {
            if now.since(self.started_at) > START_GRACE {
                let incarnation = heard.incarnation;
                actions.push(MembershipAction::Superseded { incarnation });
                return;
            }
            self.own.incarnation = Incarnation::new(heard.incarnation.get() + 1);
            self.own.refutation = 0;
            self.spread_own(now);
        } else if heard.order() > self.own.order() {
            self.own.refutation = heard.refutation + 1;
            self.spread_own(now);
        }
    }

    /// Puts the instance's own record in place and spreads it.
    fn spread_own(&mut self, now: Timestamp) {
        self.table.merge(&self.own, now);
        self.push_rumor(self.own_key, now);
    }

    /// Queues news and lets the next gossip round go out soon.
    fn push_rumor(&mut self, key: u64, now: Timestamp) {
        self.rumors.push(key, RumorUrgency::Normal);
        let soonest = self.last_gossip + GOSSIP_SPACING;
        self.next_gossip = self.next_gossip.min(now.max(soonest));
    }

    /// Returns whether facts of others are spread as news.
    fn spreads_facts(&self) -> bool {
        self.len_alive() <= FACTS_RUMOR_MEMBERS
    }

    /// Sends news to a few random members.
    fn gossip(&mut self, now: Timestamp, rng: &mut impl Rng, actions: &mut Vec<MembershipAction>) {
        let timing = self.settings.timing;
        self.last_gossip = now;
        self.next_gossip = now + timing.gossip_period;
        let (table, own) = (&self.table, self.own_key);
        let live = || table.live_keys().iter().copied().filter(|key| *key != own).collect();
        let is_live = |key: &u64| table.live_keys().binary_search(key).is_ok();
        let picked = self.round.take(timing.gossip_fanout, rng, live, is_live);
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

    /// Forgets the members that were dead or gone for too long.
    fn forget_old(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
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

    /// Picks random live members other than the instance itself and `except`.
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

    /// Sends a message with news; a receiver that is not believed alive learns so first.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        receiver: Option<u64>,
        body: MembershipBody,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut records = Vec::new();
        let doubted = receiver
            .and_then(|key| self.table.entry(key))
            .filter(|entry| entry.record.state != MemberState::Alive);
        records.extend(doubted.map(|entry| entry.record.clone()));
        let limit = send_limit(self.len_alive());
        let table = &self.table;
        let size_of = |key| table.entry(key).map(|entry| entry.record.encoded_bytes());
        for key in self.rumors.take(PIGGYBACK_BYTES, limit, size_of) {
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
