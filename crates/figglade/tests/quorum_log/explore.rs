//! Exhaustive exploration of small groups: every order of deliveries, crashes, elections and
//! member changes up to a depth.

use std::{
    collections::{BTreeMap, HashSet, hash_map::DefaultHasher},
    fmt::Write,
    hash::{Hash, Hasher},
    time::Duration,
};

use figglade::{
    InstanceId, Timestamp,
    border::LogStore,
    controller::quorum::{
        LogIndex, MemberChange, MemberRole, MemberSet, MemberSpec, QuorumAction, QuorumMessage,
        QuorumNode, QuorumRole, QuorumSettings, Term,
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{
    group::{member_id, member_peer},
    invariants::InvariantChecker,
    store::{MemoryStore, storage_id},
};

const ELECTION_TIMEOUT: Duration = Duration::from_millis(100);

/// One member of an explored group.
#[derive(Clone)]
struct ExploredMember {
    store: MemoryStore,
    node: QuorumNode,
    digest: u64,
}

/// How many more times each kind of event may occur.
#[derive(Clone, Copy, Debug, Default, Hash)]
struct EventBudget {
    changes: u8,
    time_jumps: u8,
    crashes: u8,
    ticks: u8,
}

/// One state of a group. All clocks show the same time.
#[derive(Clone)]
struct ExploredState {
    members: BTreeMap<InstanceId, ExploredMember>,
    packets: Vec<(InstanceId, InstanceId, QuorumMessage)>,
    checker: InvariantChecker,
    initial: MemberSet,
    /// The instances that member changes apply to.
    subjects: Vec<InstanceId>,
    now: Timestamp,
    budget: EventBudget,
}

/// An event that may happen next.
#[derive(Clone, Debug)]
enum ExploredEvent {
    Deliver(usize),
    AdvanceTime,
    Tick(InstanceId),
    Crash(InstanceId),
    Change(InstanceId, MemberChange),
}

impl ExploredState {
    /// Creates a group whose first voter leads and whose messages are all delivered.
    fn with_leader(voters: u16, spares: u16, subjects: &[u16], budget: EventBudget) -> Self {
        let spec = |id: &InstanceId| MemberSpec {
            peer: member_peer(id),
            storage: None,
            role: MemberRole::Voter,
        };
        let ids: Vec<_> = (1..=voters + spares).map(member_id).collect();
        let first = ids[..usize::from(voters)].iter();
        let initial = MemberSet { members: first.map(|id| (id.clone(), spec(id))).collect() };
        let mut state = Self {
            members: BTreeMap::new(),
            packets: Vec::new(),
            checker: InvariantChecker::default(),
            initial,
            subjects: subjects.iter().copied().map(member_id).collect(),
            now: Timestamp::ZERO,
            budget,
        };
        for (number, id) in (1..).zip(&ids) {
            let store = MemoryStore::new(storage_id(number));
            let node = state.start_node(id, &store);
            state.members.insert(id.clone(), ExploredMember { store, node, digest: 0 });
        }
        state.now = state.now + 3 * ELECTION_TIMEOUT;
        state.tick(&ids[0]);
        while !state.packets.is_empty() {
            state.deliver(0);
        }
        state.now = state.now + ELECTION_TIMEOUT / 4;
        state.tick(&ids[0]);
        while !state.packets.is_empty() {
            state.deliver(0);
        }
        state
    }

    fn start_node(&self, id: &InstanceId, store: &MemoryStore) -> QuorumNode {
        let settings = QuorumSettings {
            id: id.clone(),
            peer: member_peer(id),
            storage: store.storage_id(),
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_period: ELECTION_TIMEOUT / 5,
            lease_margin: ELECTION_TIMEOUT / 10,
            max_append_entries: 8,
            max_append_bytes: 4 << 10,
        };
        QuorumNode::new(settings, self.initial.clone(), store.stored(), self.now, &mut fixed_rng())
    }

    /// Returns every event that may happen in this state.
    fn events(&self) -> Vec<ExploredEvent> {
        let mut events: Vec<_> = (0..self.packets.len()).map(ExploredEvent::Deliver).collect();
        if self.budget.time_jumps > 0 {
            events.push(ExploredEvent::AdvanceTime);
        }
        for (id, member) in &self.members {
            let is_leader = member.node.status().role == QuorumRole::Leader;
            if self.budget.crashes > 0 {
                events.push(ExploredEvent::Crash(id.clone()));
            }
            if self.budget.ticks > 0 && self.now >= member.node.next_deadline() {
                events.push(ExploredEvent::Tick(id.clone()));
            }
            if is_leader && self.budget.changes > 0 {
                let changes = self.subjects.iter().flat_map(changes_of);
                events.extend(changes.map(|change| ExploredEvent::Change(id.clone(), change)));
            }
        }
        events
    }

    /// Returns the state after an event, or `None` if the member refuses it.
    fn after(&self, event: &ExploredEvent) -> Option<Self> {
        let mut state = self.clone();
        match event {
            ExploredEvent::Deliver(at) => state.deliver(*at),
            ExploredEvent::AdvanceTime => {
                state.budget.time_jumps -= 1;
                state.now = state.now + 3 * ELECTION_TIMEOUT;
            }
            ExploredEvent::Tick(id) => {
                state.budget.ticks -= 1;
                state.tick(id);
            }
            ExploredEvent::Crash(id) => {
                state.budget.crashes -= 1;
                let node = state.start_node(id, &state.members[id].store);
                let member = state.members.get_mut(id)?;
                member.node = node;
                member.digest = 0;
            }
            ExploredEvent::Change(id, change) => {
                state.budget.changes -= 1;
                let node = &mut state.members.get_mut(id)?.node;
                let (_, actions) = node.change_members(change.clone(), state.now).ok()?;
                state.run_actions(id, actions);
            }
        }
        state.check();
        Some(state)
    }

    fn tick(&mut self, id: &InstanceId) {
        let node = &mut self.members.get_mut(id).expect("a member").node;
        let actions = node.handle_tick(self.now, &mut fixed_rng());
        self.run_actions(id, actions);
    }

    fn deliver(&mut self, at: usize) {
        let (from, to, message) = self.packets.remove(at);
        let node = &mut self.members.get_mut(&to).expect("a member").node;
        let actions = node.handle_message(&from, message, self.now, &mut fixed_rng());
        self.run_actions(&to, actions);
    }

    fn run_actions(&mut self, id: &InstanceId, actions: Vec<QuorumAction>) {
        let member = self.members.get_mut(id).expect("a member");
        let term = member.node.status().term;
        for action in actions {
            match action {
                QuorumAction::SaveHardState(hard) => {
                    member.store.save_hard_state(&hard).expect("stored");
                }
                QuorumAction::Append(entries) => member.store.append(&entries).expect("stored"),
                QuorumAction::Apply(entries) => {
                    for entry in entries {
                        member.digest = self.checker.check_apply(&entry, term, member.digest);
                    }
                }
                QuorumAction::Send { to, message, .. } => {
                    let packet = (id.clone(), to, message);
                    if !self.packets.contains(&packet) {
                        self.packets.push(packet);
                    }
                }
                _ => {}
            }
        }
    }

    fn check(&mut self) {
        let committed = self.checker.committed_members().expect("a first commitment");
        let last_commit = self.checker.last_committed_term();
        for (id, member) in &self.members {
            let status = member.node.status();
            if status.role != QuorumRole::Leader {
                continue;
            }
            self.checker.check_leader(id, status.term, &member.store);
            let is_current = status.term >= last_commit;
            let intersect = do_quorums_intersect(&status.members, &committed);
            assert!(!is_current || intersect, "{id} leads {:?}", status.members);
        }
    }

    /// Returns a digest of the state in which timestamps are relative to the current time.
    fn key(&self) -> u64 {
        let mut text = String::new();
        for member in self.members.values() {
            write!(text, "{:?}{:?}", member.node, member.store).expect("writable");
        }
        let mut packets: Vec<_> = self.packets.iter().map(|packet| format!("{packet:?}")).collect();
        packets.sort();
        text.extend(packets);
        write!(text, "{:?}", self.checker).expect("writable");
        let mut hasher = DefaultHasher::new();
        self.budget.hash(&mut hasher);
        hash_relative(&text, self.now, &mut hasher);
        hasher.finish()
    }
}

fn fixed_rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(0)
}

/// Returns the possible changes of one instance.
fn changes_of(id: &InstanceId) -> [MemberChange; 3] {
    let id = id.clone();
    [
        MemberChange::AddLearner { id: id.clone(), peer: member_peer(&id), storage: None },
        MemberChange::Promote { id: id.clone() },
        MemberChange::Remove { id },
    ]
}

/// Returns whether every majority of one set shares a member with every majority of the other.
fn do_quorums_intersect(left: &MemberSet, right: &MemberSet) -> bool {
    let shared = left.voters().filter(|id| right.is_voter(id)).count();
    let needed_of = |set: &MemberSet| {
        let exclusive = set.voters().count() - shared;
        set.majority().saturating_sub(exclusive)
    };
    needed_of(left) + needed_of(right) > shared
}

/// Hashes text with each timestamp replaced by its difference from `now`.
fn hash_relative(text: &str, now: Timestamp, hasher: &mut impl Hasher) {
    const MARK: &str = "Timestamp(";
    for part in text.split(MARK) {
        let digits = part.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(part.len());
        let (number, rest) = part.split_at(digits);
        let micros = number.parse::<i128>().ok();
        micros.map(|micros| micros - i128::from(now.as_micros())).hash(hasher);
        rest.hash(hasher);
    }
}

/// Results of an exploration.
#[derive(Debug, Default)]
struct ExploreReport {
    states: usize,
    /// Whether every reachable state was visited.
    is_complete: bool,
    last_committed: LogIndex,
    highest_term: Term,
    member_sets: HashSet<MemberSet>,
}

impl ExploreReport {
    fn record_state(&mut self, state: &ExploredState) {
        self.states += 1;
        self.last_committed = self.last_committed.max(state.checker.last_committed());
        for member in state.members.values() {
            let status = member.node.status();
            if status.role == QuorumRole::Leader {
                self.highest_term = self.highest_term.max(status.term);
            }
            self.member_sets.insert(status.members);
        }
    }
}

/// Visits every state up to a depth.
fn explore(start: ExploredState, max_depth: u32) -> ExploreReport {
    let mut report = ExploreReport::default();
    let mut visited = HashSet::from([start.key()]);
    let mut frontier = vec![start];
    for _ in 0..=max_depth {
        let mut next = Vec::new();
        for state in &frontier {
            report.record_state(state);
            let events = state.events();
            let successors = events.iter().filter_map(|event| state.after(event));
            next.extend(successors.filter(|state| visited.insert(state.key())));
        }
        frontier = next;
    }
    report.is_complete = frontier.is_empty();
    println!("{} states, complete: {}", report.states, report.is_complete);
    report
}

#[test]
fn three_voters_shrink_to_two_and_grow_again() {
    let budget = EventBudget { changes: 3, ..EventBudget::default() };
    let report = explore(ExploredState::with_leader(3, 0, &[3], budget), 26);
    assert!(report.is_complete && report.states > 4_000, "{report:?}");
    assert_eq!(report.last_committed, LogIndex::new(5), "removed, added, recorded, promoted");
    assert_eq!(report.member_sets.len(), 4, "{report:?}");
}

#[test]
fn a_learner_is_promoted_while_the_leader_changes() {
    let budget = EventBudget { changes: 2, time_jumps: 1, ticks: 1, ..EventBudget::default() };
    let report = explore(ExploredState::with_leader(2, 1, &[3], budget), 26);
    assert!(report.is_complete && report.states > 2_000, "{report:?}");
    assert_eq!(report.highest_term, Term::new(2), "the other voter is elected");
    let grown = report.member_sets.iter().filter(|set| set.voters().count() == 3);
    assert_eq!(grown.count(), 1, "{report:?}");
}

#[test]
fn a_voter_is_removed_while_the_leader_changes() {
    let budget = EventBudget { changes: 1, time_jumps: 1, ticks: 1, ..EventBudget::default() };
    let report = explore(ExploredState::with_leader(3, 0, &[3], budget), 11);
    assert!(report.states > 2_000 && report.highest_term == Term::new(2), "{report:?}");
}

#[test]
fn a_voter_is_removed_while_two_candidates_campaign_and_one_crashes() {
    let budget = EventBudget { changes: 1, time_jumps: 1, ticks: 2, crashes: 1 };
    let report = explore(ExploredState::with_leader(3, 0, &[3], budget), 7);
    assert!(report.states > 2_000 && report.highest_term == Term::new(2), "{report:?}");
}
