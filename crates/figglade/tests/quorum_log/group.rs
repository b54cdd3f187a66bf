//! A group of members with simulated disks, clocks, network and time.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use figglade::{
    InstanceId, Timestamp,
    border::LogStore,
    controller::quorum::{
        LogIndex, MemberChange, MemberChangeError, MemberRole, MemberSet, MemberSpec, ProposeError,
        QuorumAction, QuorumMessage, QuorumNode, QuorumRole, QuorumSettings, QuorumStatus,
        ReadTicket, Term,
    },
    peer::{MAX_FRAME_BYTES, decode_payload, encode_payload},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    invariants::{InvariantChecker, check_durable, encode_digest},
    store::{MemoryStore, storage_id},
};

/// The shortest election timeout of the members, in milliseconds.
pub const ELECTION_TIMEOUT_MS: u64 = 100;
/// The most that a clock runs too fast or too slow, in parts per million.
const MAX_DRIFT_PPM: u64 = 20_000;
/// The longest simulated time to wait for a state, in milliseconds.
const MAX_WAIT_MS: u64 = 5_000;

/// Fault rates of the network and the processes; chances are per thousand.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    pub loss: u32,
    pub duplication: u32,
    pub crash: u32,
    pub max_delay_ms: u64,
}

/// One instance: its disk survives a crash, its node does not.
pub struct TestMember {
    pub store: MemoryStore,
    pub node: Option<QuorumNode>,
    pub ready_reads: BTreeMap<ReadTicket, LogIndex>,
    pub failed_reads: BTreeSet<ReadTicket>,
    pending_reads: BTreeMap<ReadTicket, LogIndex>,
    digest: u64,
    applied: LogIndex,
    started: Timestamp,
    clock_ppm: u64,
}

/// A message in transit.
struct TestPacket {
    due: Timestamp,
    from: InstanceId,
    to: InstanceId,
    payload: Bytes,
}

/// A simulated group.
pub struct TestGroup {
    pub members: BTreeMap<InstanceId, TestMember>,
    pub checker: InvariantChecker,
    pub faults: FaultRates,
    pub now: Timestamp,
    pub rng: ChaCha8Rng,
    /// The directed pairs of sender and receiver whose messages are dropped.
    pub blocked_links: BTreeSet<(InstanceId, InstanceId)>,
    pub snapshot_bytes: usize,
    max_append_entries: usize,
    pub restore_count: usize,
    pub lost_disk_count: u64,
    initial: MemberSet,
    packets: Vec<TestPacket>,
    next_storage: u64,
    next_command: u64,
}

/// Returns the name of a member.
pub fn member_id(number: u16) -> InstanceId {
    format!("m{number}").parse().expect("an identifier")
}

/// Returns the address of a member.
pub fn member_peer(id: &InstanceId) -> SocketAddr {
    let number: u16 = id.as_str()[1..].parse().expect("a number after the letter");
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

impl TestGroup {
    /// Creates a group of `voters` initial members and `spares` instances outside it, all running.
    pub fn new(voters: u16, spares: u16, seed: u64) -> Self {
        let spec = |id: InstanceId| MemberSpec {
            peer: member_peer(&id),
            storage: None,
            role: MemberRole::Voter,
        };
        let members = (1..=voters).map(member_id).map(|id| (id.clone(), spec(id))).collect();
        let mut group = Self {
            members: BTreeMap::new(),
            checker: InvariantChecker::default(),
            faults: FaultRates { max_delay_ms: 2, ..FaultRates::default() },
            now: Timestamp::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            blocked_links: BTreeSet::new(),
            snapshot_bytes: 64,
            max_append_entries: 8,
            restore_count: 0,
            lost_disk_count: 0,
            initial: MemberSet { members },
            packets: Vec::new(),
            next_storage: 1,
            next_command: 1,
        };
        for id in (1..=voters + spares).map(member_id) {
            group.add_instance(&id);
        }
        group
    }

    fn add_instance(&mut self, id: &InstanceId) {
        let member = TestMember {
            store: MemoryStore::new(storage_id(self.next_storage)),
            node: None,
            ready_reads: BTreeMap::new(),
            failed_reads: BTreeSet::new(),
            pending_reads: BTreeMap::new(),
            digest: 0,
            applied: LogIndex::default(),
            started: self.now,
            clock_ppm: 1_000_000,
        };
        self.next_storage += 1;
        self.members.insert(id.clone(), member);
        self.restart(id);
    }

    /// Stops a process and keeps its disk.
    pub fn crash(&mut self, id: &InstanceId) {
        self.member_mut(id).node = None;
    }

    /// Stops a process and replaces its disk with an empty one.
    pub fn empty_disk(&mut self, id: &InstanceId) {
        self.lost_disk_count += 1;
        self.add_instance(id);
        self.crash(id);
    }

    /// Starts a process from its disk, with a new clock that drifts at random.
    pub fn restart(&mut self, id: &InstanceId) {
        let clock_ppm = 1_000_000 - MAX_DRIFT_PPM + self.rng.random_range(0..=2 * MAX_DRIFT_PPM);
        let (now, max_append_entries) = (self.now, self.max_append_entries);
        let member = self.members.get_mut(id).expect("a member");
        let stored = member.store.load().expect("the disk is readable");
        member.started = now;
        member.clock_ppm = clock_ppm;
        member.pending_reads.clear();
        (member.digest, member.applied) = match &stored.snapshot {
            Some(snapshot) => (self.checker.check_restore(snapshot), snapshot.last_index),
            None => (0, LogIndex::default()),
        };
        let settings = QuorumSettings {
            id: id.clone(),
            peer: member_peer(id),
            storage: member.store.storage_id(),
            election_timeout: Duration::from_millis(ELECTION_TIMEOUT_MS),
            heartbeat_period: Duration::from_millis(20),
            lease_margin: Duration::from_millis(10),
            max_append_entries,
            max_append_bytes: 4 << 10,
        };
        let node =
            QuorumNode::new(settings, self.initial.clone(), stored, Timestamp::ZERO, &mut self.rng);
        member.node = Some(node);
    }

    /// Restarts every process with another limit on the entries of a message.
    pub fn restart_all(&mut self, max_append_entries: usize) {
        self.max_append_entries = max_append_entries;
        for id in self.members.keys().cloned().collect::<Vec<_>>() {
            self.restart(&id);
        }
    }

    pub fn member(&self, id: &InstanceId) -> &TestMember {
        &self.members[id]
    }

    fn member_mut(&mut self, id: &InstanceId) -> &mut TestMember {
        self.members.get_mut(id).expect("a member")
    }

    /// Returns the current time on the clock of a member.
    pub fn local_now(&self, id: &InstanceId) -> Timestamp {
        self.member(id).local(self.now)
    }

    pub fn status(&self, id: &InstanceId) -> Option<QuorumStatus> {
        self.member(id).node.as_ref().map(QuorumNode::status)
    }

    /// Returns the running leader of the highest term.
    pub fn leader(&self) -> Option<InstanceId> {
        let statuses = self.members.keys().filter_map(|id| Some((id, self.status(id)?)));
        let leading = statuses.filter(|(_, status)| status.role == QuorumRole::Leader);
        leading.max_by_key(|(_, status)| status.term).map(|(id, _)| id.clone())
    }

    /// Runs until `is_done`; fails after `MAX_WAIT_MS` of simulated time.
    pub fn run_until(&mut self, what: &str, is_done: impl Fn(&Self) -> bool) {
        let end = self.now + Duration::from_millis(MAX_WAIT_MS);
        while !is_done(self) {
            assert!(self.now < end, "{what} did not happen: {}", self.describe());
            self.step();
        }
    }

    fn describe(&self) -> String {
        let line = |id: &InstanceId| format!("\n{id} {:?}", self.status(id));
        self.members.keys().map(line).collect()
    }

    /// Runs for some simulated time.
    pub fn run_for(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.next_event().is_some_and(|due| due <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Runs until a member leads and has committed an entry of its term.
    pub fn run_until_leader_ready(&mut self) -> InstanceId {
        self.run_until("an election", |group| {
            let status = group.leader().and_then(|id| group.status(&id));
            status.is_some_and(|status| {
                status.commit == status.last && group.checker.last_committed_term() == status.term
            })
        });
        self.leader().expect("a leader")
    }

    fn next_event(&self) -> Option<Timestamp> {
        let packet_due = self.packets.iter().map(|packet| packet.due).min();
        let deadlines = self.members.values().filter_map(TestMember::deadline);
        packet_due.into_iter().chain(deadlines).min()
    }

    /// Carries out the next event and checks the invariants.
    pub fn step(&mut self) {
        let Some(due) = self.next_event() else { return };
        self.now = self.now.max(due);
        let ready = self.packets.iter().position(|packet| packet.due <= self.now);
        match ready {
            Some(at) => {
                let packet = self.packets.swap_remove(at);
                self.deliver(packet);
            }
            None => self.tick_due(),
        }
        self.check();
    }

    fn deliver(&mut self, packet: TestPacket) {
        if self.blocked_links.contains(&(packet.from.clone(), packet.to.clone())) {
            return;
        }
        let message: QuorumMessage = decode_payload(&packet.payload).expect("a decodable payload");
        self.with_node(&packet.to, |node, now, rng| {
            node.handle_message(&packet.from, message, now, rng)
        });
    }

    fn tick_due(&mut self) {
        let now = self.now;
        let is_due = |member: &TestMember| member.deadline().is_some_and(|due| due <= now);
        let due = self.members.iter().find(|(_, member)| is_due(member));
        if let Some(id) = due.map(|(id, _)| id.clone()) {
            self.with_node(&id, |node, now, rng| node.handle_tick(now, rng));
        }
    }

    fn with_node(
        &mut self,
        id: &InstanceId,
        call: impl FnOnce(&mut QuorumNode, Timestamp, &mut ChaCha8Rng) -> Vec<QuorumAction>,
    ) {
        let now = self.local_now(id);
        let member = self.members.get_mut(id).expect("a member");
        let Some(node) = &mut member.node else { return };
        let actions = call(node, now, &mut self.rng);
        self.run_actions(id, actions);
    }

    /// Carries out actions in their order; the process may crash between any two.
    pub fn run_actions(&mut self, id: &InstanceId, actions: Vec<QuorumAction>) {
        for action in actions {
            if self.draw_chance(self.faults.crash) {
                self.crash(id);
                return;
            }
            self.run_action(id, action);
        }
    }

    fn run_action(&mut self, id: &InstanceId, action: QuorumAction) {
        let member = self.members.get_mut(id).expect("a member");
        let term = member.node.as_ref().map(|node| node.status().term).unwrap_or_default();
        match action {
            QuorumAction::SaveHardState(state) => {
                member.store.save_hard_state(&state).expect("stored");
            }
            QuorumAction::Append(entries) => member.store.append(&entries).expect("stored"),
            QuorumAction::SaveSnapshot(snapshot) => {
                member.store.save_snapshot(&snapshot).expect("stored");
            }
            QuorumAction::Apply(entries) => {
                for entry in entries {
                    assert_eq!(entry.index, member.applied.next(), "entries come in order");
                    member.digest = self.checker.check_apply(&entry, term, member.digest);
                    member.applied = entry.index;
                }
            }
            QuorumAction::Restore(snapshot) => {
                self.restore_count += 1;
                member.digest = self.checker.check_restore(&snapshot);
                member.applied = snapshot.last_index;
            }
            QuorumAction::ReadReady { ticket, index } => member.finish_read(ticket, index),
            QuorumAction::ReadFailed { ticket } => {
                member.pending_reads.remove(&ticket);
                member.failed_reads.insert(ticket);
            }
            QuorumAction::Send { to, address, message } => {
                assert_eq!(address, member_peer(&to), "the address belongs to the receiver");
                check_durable(&member.store, &to, &message);
                self.send_message(id, &to, &message);
            }
            QuorumAction::LeaderChanged { .. } | QuorumAction::MembersChanged(_) => {}
        }
    }

    /// Sends a message, subject to loss, duplication and delay.
    pub fn send_message(&mut self, from: &InstanceId, to: &InstanceId, message: &QuorumMessage) {
        let payload = encode_payload(message).expect("an encodable message");
        assert!(payload.len() < MAX_FRAME_BYTES, "a message fits a frame");
        let copies = 1 + u32::from(self.draw_chance(self.faults.duplication));
        for _ in 0..copies {
            let delay_ms = self.rng.random_range(0..=self.faults.max_delay_ms);
            if self.draw_chance(self.faults.loss) {
                continue;
            }
            let due = self.now + Duration::from_millis(delay_ms);
            let (from, to, payload) = (from.clone(), to.clone(), payload.clone());
            self.packets.push(TestPacket { due, from, to, payload });
        }
    }

    pub fn draw_chance(&mut self, per_thousand: u32) -> bool {
        per_thousand > 0 && self.rng.random_range(0..1_000) < per_thousand
    }

    /// Checks the invariants that hold at all times.
    pub fn check(&mut self) {
        for (id, member) in &self.members {
            let Some(node) = &member.node else { continue };
            let status = node.status();
            if status.role == QuorumRole::Leader {
                self.checker.check_leader(id, status.term, &member.store);
            }
            if node.has_lease(member.local(self.now)) {
                self.checker.check_lease(id, status.term);
            }
        }
    }

    /// Proposes one command; returns its index and term.
    pub fn propose(&mut self, id: &InstanceId) -> Result<(LogIndex, Term), ProposeError> {
        let command = Bytes::from(format!("command {}", self.next_command));
        self.next_command += 1;
        let now = self.local_now(id);
        let node = self.member_mut(id).node.as_mut().expect("a running member");
        let accepted = node.propose(vec![command], now)?;
        self.run_actions(id, accepted.actions);
        Ok((accepted.first_index, accepted.term))
    }

    /// Proposes one command and waits for its commitment.
    pub fn commit(&mut self, id: &InstanceId) -> LogIndex {
        let (index, term) = self.propose(id).expect("the leader accepts commands");
        self.run_until("the commitment", |group| group.checker.last_committed() >= index);
        let entry = self.checker.committed_entry(index).expect("committed");
        assert_eq!(entry.term, term, "the command was replaced");
        index
    }

    pub fn change(
        &mut self,
        id: &InstanceId,
        change: MemberChange,
    ) -> Result<LogIndex, MemberChangeError> {
        let now = self.local_now(id);
        let node = self.member_mut(id).node.as_mut().expect("a running member");
        let (index, actions) = node.change_members(change, now)?;
        self.run_actions(id, actions);
        Ok(index)
    }

    /// Changes the members and waits for the commitment.
    pub fn commit_change(&mut self, id: &InstanceId, change: MemberChange) {
        let index = self.change(id, change).expect("the leader accepts the change");
        self.run_until("the change", |group| group.checker.last_committed() >= index);
    }

    /// Begins a read that must see everything committed so far.
    pub fn begin_read(&mut self, id: &InstanceId) -> Result<ReadTicket, ProposeError> {
        let floor = self.checker.last_committed();
        let now = self.local_now(id);
        let member = self.member_mut(id);
        let node = member.node.as_mut().expect("a running member");
        let (ticket, actions) = node.begin_read(now)?;
        member.pending_reads.insert(ticket, floor);
        self.run_actions(id, actions);
        Ok(ticket)
    }

    pub fn transfer(&mut self, id: &InstanceId, to: Option<InstanceId>) {
        let now = self.local_now(id);
        let node = self.member_mut(id).node.as_mut().expect("a running member");
        if let Ok(actions) = node.transfer_leadership(to, now) {
            self.run_actions(id, actions);
        }
    }

    /// Compacts the log of a member up to its last applied entry.
    pub fn compact(&mut self, id: &InstanceId) {
        let snapshot_bytes = self.snapshot_bytes;
        let member = self.member_mut(id);
        let mut state = encode_digest(member.digest).to_vec();
        state.resize(snapshot_bytes, 0);
        let applied = member.applied;
        let node = member.node.as_mut().expect("a running member");
        let actions = node.compact(applied, Bytes::from(state));
        self.run_actions(id, actions);
    }

    /// Blocks all links of a member, or restores them.
    pub fn set_isolated(&mut self, id: &InstanceId, is_isolated: bool) {
        for other in self.members.keys() {
            for pair in [(id.clone(), other.clone()), (other.clone(), id.clone())] {
                if is_isolated {
                    self.blocked_links.insert(pair);
                } else {
                    self.blocked_links.remove(&pair);
                }
            }
        }
    }
}

impl TestMember {
    /// Returns the simulated time `now` on the member's clock.
    fn local(&self, now: Timestamp) -> Timestamp {
        let elapsed = now.since(self.started).as_micros() as u64;
        Timestamp::from_micros(elapsed * self.clock_ppm / 1_000_000)
    }

    /// Returns the simulated time of the node's next deadline.
    fn deadline(&self) -> Option<Timestamp> {
        let local = self.node.as_ref()?.next_deadline().as_micros();
        let elapsed = local * 1_000_000 / self.clock_ppm + 1;
        Some(self.started + Duration::from_micros(elapsed))
    }

    fn finish_read(&mut self, ticket: ReadTicket, index: LogIndex) {
        let floor = self.pending_reads.remove(&ticket);
        assert!(index >= floor.unwrap_or_default(), "a read at {index} misses {floor:?}");
        assert!(self.applied >= index, "the state machine is behind the read");
        self.ready_reads.insert(ticket, index);
    }
}
