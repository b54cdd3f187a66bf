//! The state machine of one member.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{Rng, RngExt};

use crate::{
    InstanceId, Timestamp,
    controller::quorum::{
        HardState, LogIndex, MemberSet, MessageBody, QuorumAction, QuorumMessage, QuorumRole,
        QuorumSettings, QuorumStatus, StorageId, StoredLog, Term, election::VoteTally,
        leader::LeaderState, log::EntryLog, members::MemberHistory, progress::FollowerProgress,
        snapshot::SnapshotAssembly,
    },
};

/// Divisor of the election timeout after which a member without leases first campaigns after its
/// start. A running leader contacts the member several times within the shortened timeout.
const FIRST_ELECTION_DIVISOR: u32 = 8;

/// The role of a member, with the state that belongs to the role.
#[derive(Clone, Debug)]
pub(super) enum NodeRole {
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    Leader(Box<LeaderState>),
}

/// What the messages of leaders have shown about the storage of this member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StorageStatus {
    /// No leader has sent a message since the start.
    Unknown,
    /// The latest leader accepts this storage.
    Accepted,
    /// The latest leader expects another storage.
    Replaced,
}

/// One member of the quorum log, as a pure state machine whose returned actions the driver carries
/// out.
///
/// The driver restores the replicated state from the stored snapshot before it creates the node;
/// the entries after the snapshot come as [`QuorumAction::Apply`] once they are known to be
/// committed. Each call takes the current time, which must be read after the event that caused the
/// call: for a message, after it was received.
#[derive(Clone, Debug)]
pub struct QuorumNode {
    pub(super) settings: QuorumSettings,
    pub(super) term: Term,
    pub(super) voted_for: Option<InstanceId>,
    is_hard_state_dirty: bool,
    pub(super) log: EntryLog,
    pub(super) history: MemberHistory,
    pub(super) commit: LogIndex,
    pub(super) role: NodeRole,
    pub(super) leader: Option<InstanceId>,
    /// The time of the last message from a leader. With leases it is initially the time of the
    /// start: a leader may have been in contact before a crash, and its lease may depend on that.
    pub(super) last_leader_contact: Option<Timestamp>,
    pub(super) election_deadline: Timestamp,
    pub(super) storage_status: StorageStatus,
    pub(super) assembly: Option<SnapshotAssembly>,
    addresses: BTreeMap<InstanceId, SocketAddr>,
    pub(super) next_ticket: u64,
    actions: Vec<QuorumAction>,
}

impl QuorumNode {
    /// Creates a member from its stored state.
    ///
    /// The initial members are used only while the log is empty, and must be the same at every
    /// instance. An instance that is not among the members stays passive until a leader adds it.
    pub fn new(
        settings: QuorumSettings,
        initial_members: MemberSet,
        stored: StoredLog,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Self {
        let base = stored.snapshot.as_ref().map(|snapshot| snapshot.members.clone());
        let hard_state = stored.hard_state.clone();
        let log = EntryLog::from_stored(stored);
        let mut history = MemberHistory::new(base.unwrap_or(initial_members));
        let entries: Vec<_> = log.iter_from(log.snapshot_index().next()).cloned().collect();
        history.record_append(&entries);
        let uses_leases = settings.uses_leases();
        let mut node = Self {
            settings,
            term: hard_state.term,
            voted_for: hard_state.voted_for,
            is_hard_state_dirty: false,
            commit: log.snapshot_index(),
            log,
            history,
            role: NodeRole::Follower,
            leader: None,
            last_leader_contact: uses_leases.then_some(now),
            election_deadline: now,
            storage_status: StorageStatus::Unknown,
            assembly: None,
            addresses: BTreeMap::new(),
            next_ticket: 0,
            actions: Vec::new(),
        };
        if uses_leases {
            node.reset_election_deadline(now, rng);
        } else {
            // All members may have restarted together, so the first campaign comes early. If a
            // leader is running, the others refuse the pre-vote.
            let timeout = node.settings.election_timeout / FIRST_ELECTION_DIVISOR;
            node.set_election_deadline(timeout, now, rng);
        }
        node
    }

    /// Handles a timer: heartbeats and deadlines of the leader, or the election timeout.
    pub fn handle_tick(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<QuorumAction> {
        if matches!(self.role, NodeRole::Leader(_)) {
            self.tick_leader(now, rng);
        } else if now >= self.election_deadline {
            self.handle_election_timeout(now, rng);
        }
        self.take_actions()
    }

    /// Returns the time at which [`Self::handle_tick`] is due next.
    pub fn next_deadline(&self) -> Timestamp {
        let NodeRole::Leader(state) = &self.role else { return self.election_deadline };
        let contact = state.quorum_contact(&self.settings.id, self.members());
        let contact_end = contact + self.settings.election_timeout;
        let transfer_end = state.transfer.as_ref().map(|transfer| transfer.deadline);
        let first = state.heartbeat_due.min(contact_end);
        transfer_end.map_or(first, |end| end.min(first))
    }

    /// Handles a message from another member.
    pub fn handle_message(
        &mut self,
        from: &InstanceId,
        message: QuorumMessage,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<QuorumAction> {
        if *from == self.settings.id {
            return Vec::new();
        }
        self.record_address(from, message.peer);
        match &message.body {
            MessageBody::PreVote(request) => self.handle_pre_vote(from, &message, request, now),
            MessageBody::Vote(request) => self.handle_vote(from, &message, request, now, rng),
            MessageBody::Append(_) | MessageBody::Snapshot(_) | MessageBody::TimeoutNow => {
                self.handle_leader_message(from, &message, now, rng);
            }
            MessageBody::PreVoteAnswer(_)
            | MessageBody::VoteAnswer(_)
            | MessageBody::AppendAnswer(_)
            | MessageBody::SnapshotAnswer(_) => self.handle_answer(from, &message, now, rng),
        }
        self.take_actions()
    }

    /// Returns whether the group has recorded another storage for this instance: its disk was
    /// emptied, and it neither votes nor campaigns until it is removed and added again.
    pub fn is_forgotten(&self) -> bool {
        match self.storage_status {
            StorageStatus::Accepted => false,
            StorageStatus::Replaced => true,
            StorageStatus::Unknown => self.has_storage_mismatch(),
        }
    }

    /// Returns whether this member considers itself the leader.
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, NodeRole::Leader(_))
    }

    /// Returns the status of the member from its own point of view.
    pub fn status(&self) -> QuorumStatus {
        let mut status = QuorumStatus {
            role: QuorumRole::Follower,
            term: self.term,
            leader: self.leader.clone(),
            commit: self.commit,
            last: self.log.last_index(),
            snapshot: self.log.snapshot_index(),
            members: self.members().clone(),
            progress: BTreeMap::new(),
            replaced_storage: Vec::new(),
            pending_change: self.history.pending_after(self.commit),
            is_forgotten: self.is_forgotten(),
            is_bootstrapping: self.log.is_empty() && self.members().is_voter(&self.settings.id),
        };
        match &self.role {
            NodeRole::Follower => {}
            NodeRole::PreCandidate(_) => status.role = QuorumRole::PreCandidate,
            NodeRole::Candidate(_) => status.role = QuorumRole::Candidate,
            NodeRole::Leader(state) => {
                status.role = QuorumRole::Leader;
                status.progress = match_indexes(&state.progress);
                status.replaced_storage = replaced_members(&state.progress);
            }
        }
        status
    }

    /// Returns the member set in use.
    pub(super) fn members(&self) -> &MemberSet {
        self.history.current()
    }

    /// Returns whether the storage of this member permits it to vote and campaign.
    pub(super) fn is_storage_trusted(&self) -> bool {
        self.storage_status != StorageStatus::Replaced && !self.has_storage_mismatch()
    }

    fn has_storage_mismatch(&self) -> bool {
        let recorded = self.members().storage_of(&self.settings.id);
        recorded.is_some_and(|known| known != self.settings.storage)
    }

    /// Returns whether a leader was in contact within the shortest election timeout. On the leader
    /// itself: whether a majority of the voters was.
    pub(super) fn has_active_leader(&self, now: Timestamp) -> bool {
        match &self.role {
            NodeRole::Leader(state) => {
                let contact = state.quorum_contact(&self.settings.id, self.members());
                now < contact + self.settings.election_timeout
            }
            _ => {
                let timeout = self.settings.election_timeout;
                self.last_leader_contact.is_some_and(|contact| now < contact + timeout)
            }
        }
    }

    pub(super) fn reset_election_deadline(&mut self, now: Timestamp, rng: &mut impl Rng) {
        self.set_election_deadline(self.settings.election_timeout, now, rng);
    }

    fn set_election_deadline(&mut self, timeout: Duration, now: Timestamp, rng: &mut impl Rng) {
        let timeout_micros = timeout.as_micros() as u64;
        let jitter = rng.random_range(0..=timeout_micros);
        self.election_deadline = now + timeout + Duration::from_micros(jitter);
    }

    /// Adopts a higher term and becomes a follower.
    pub(super) fn adopt_term(&mut self, term: Term, now: Timestamp, rng: &mut impl Rng) {
        self.term = term;
        self.voted_for = None;
        self.is_hard_state_dirty = true;
        self.become_follower(None, now, rng);
    }

    /// Starts the next term as a candidate that votes for itself.
    pub(super) fn start_candidate_term(&mut self) {
        self.term = Term::new(self.term.get() + 1);
        self.voted_for = Some(self.settings.id.clone());
        self.is_hard_state_dirty = true;
    }

    pub(super) fn record_vote(&mut self, candidate: &InstanceId) {
        if self.voted_for.as_ref() != Some(candidate) {
            self.voted_for = Some(candidate.clone());
            self.is_hard_state_dirty = true;
        }
    }

    /// Becomes a follower of `leader`, if any is known; a former leader fails its pending reads.
    pub(super) fn become_follower(
        &mut self,
        leader: Option<InstanceId>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) {
        let role = std::mem::replace(&mut self.role, NodeRole::Follower);
        if let NodeRole::Leader(state) = role {
            for read in state.reads {
                self.push(QuorumAction::ReadFailed { ticket: read.ticket });
            }
            self.reset_election_deadline(now, rng);
        }
        self.set_leader(leader);
    }

    pub(super) fn set_leader(&mut self, leader: Option<InstanceId>) {
        if self.leader != leader {
            self.leader = leader.clone();
            self.push(QuorumAction::LeaderChanged { leader, term: self.term });
        }
    }

    /// Queues an action after the hard state that it may depend on.
    pub(super) fn push(&mut self, action: QuorumAction) {
        self.flush_hard_state();
        self.actions.push(action);
    }

    pub(super) fn take_actions(&mut self) -> Vec<QuorumAction> {
        self.flush_hard_state();
        std::mem::take(&mut self.actions)
    }

    fn flush_hard_state(&mut self) {
        if self.is_hard_state_dirty {
            self.is_hard_state_dirty = false;
            let state = HardState { term: self.term, voted_for: self.voted_for.clone() };
            self.actions.push(QuorumAction::SaveHardState(state));
        }
    }

    /// Sends a message to a member, or to any other instance whose address is known from a message.
    pub(super) fn send(&mut self, to: &InstanceId, body: MessageBody) {
        let recorded = self.members().members.get(to).map(|spec| spec.peer);
        let Some(address) = self.addresses.get(to).copied().or(recorded) else { return };
        let message = QuorumMessage {
            term: self.term,
            peer: self.settings.peer,
            storage: self.settings.storage,
            expected_storage: self.members().storage_of(to),
            body,
        };
        self.push(QuorumAction::Send { to: to.clone(), address, message });
    }

    /// Records the address of the sender and drops those of instances that are neither members nor
    /// tracked followers. The sender's is kept in any case until the next message, so that it can
    /// be answered.
    fn record_address(&mut self, from: &InstanceId, peer: SocketAddr) {
        let members = self.history.current();
        let role = &self.role;
        self.addresses.retain(|id, _| {
            let is_tracked =
                matches!(role, NodeRole::Leader(state) if state.progress.contains_key(id));
            is_tracked || members.members.contains_key(id)
        });
        self.addresses.insert(from.clone(), peer);
    }

    /// Keeps the address of a member that is being removed, for the last message to it.
    pub(super) fn keep_address(&mut self, id: &InstanceId) {
        if let Some(spec) = self.history.current().members.get(id) {
            let peer = spec.peer;
            self.addresses.entry(id.clone()).or_insert(peer);
        }
    }

    pub(super) fn drop_address(&mut self, id: &InstanceId) {
        self.addresses.remove(id);
    }

    pub(super) const fn own_storage(&self) -> StorageId {
        self.settings.storage
    }
}

fn match_indexes(
    progress: &BTreeMap<InstanceId, FollowerProgress>,
) -> BTreeMap<InstanceId, LogIndex> {
    progress.iter().map(|(id, progress)| (id.clone(), progress.match_index())).collect()
}

fn replaced_members(progress: &BTreeMap<InstanceId, FollowerProgress>) -> Vec<InstanceId> {
    let replaced = progress.iter().filter(|(_, progress)| progress.is_replaced());
    replaced.map(|(id, _)| id.clone()).collect()
}
