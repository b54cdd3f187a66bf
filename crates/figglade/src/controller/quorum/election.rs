//! Elections: pre-votes, votes and the start of a leader's term.

use std::collections::BTreeMap;

use rand::Rng;

use crate::{
    InstanceId, Timestamp,
    controller::quorum::{
        EntryPayload, MemberSet, MessageBody, QuorumMessage, QuorumNode, StorageId, Term,
        VoteAnswer, VoteRequest,
        leader::LeaderState,
        log::entry_bytes,
        node::{NodeRole, StorageStatus},
    },
};

/// The votes granted so far, with the storage of each voter.
#[derive(Clone, Debug)]
pub(super) struct VoteTally {
    votes: BTreeMap<InstanceId, StorageId>,
}

impl VoteTally {
    fn start(own_id: &InstanceId, storage: StorageId) -> Self {
        Self { votes: BTreeMap::from([(own_id.clone(), storage)]) }
    }

    /// Returns the members with the missing storages filled in from the votes.
    fn record_storages(&self, members: &MemberSet) -> MemberSet {
        let mut recorded = members.clone();
        for (id, spec) in &mut recorded.members {
            spec.storage = spec.storage.or_else(|| self.votes.get(id).copied());
        }
        recorded
    }
}

impl QuorumNode {
    /// Starts a pre-vote if this member may campaign.
    pub(super) fn handle_election_timeout(&mut self, now: Timestamp, rng: &mut impl Rng) {
        self.become_follower(None, now, rng);
        self.reset_election_deadline(now, rng);
        if !self.may_campaign() {
            return;
        }
        let tally = VoteTally::start(&self.settings.id, self.own_storage());
        self.role = NodeRole::PreCandidate(tally);
        let next_term = Term::new(self.term.get() + 1);
        self.request_votes(&MessageBody::PreVote(self.vote_request(next_term, false)));
        self.advance_election(now);
    }

    /// Starts an election; `is_transfer` means that the leader asked for it.
    pub(super) fn start_campaign(&mut self, is_transfer: bool, now: Timestamp) {
        self.start_candidate_term();
        self.set_leader(None);
        let tally = VoteTally::start(&self.settings.id, self.own_storage());
        self.role = NodeRole::Candidate(tally);
        self.request_votes(&MessageBody::Vote(self.vote_request(self.term, is_transfer)));
        self.advance_election(now);
    }

    /// Answers a pre-vote request without a change to the state of this member.
    pub(super) fn handle_pre_vote(
        &mut self,
        from: &InstanceId,
        message: &QuorumMessage,
        request: &VoteRequest,
        now: Timestamp,
    ) {
        let is_granted = request.next_term > self.term
            && message.term < request.next_term
            && self.is_log_up_to_date(request)
            && self.is_storage_trusted()
            && !self.has_active_leader(now);
        let answer = VoteAnswer { next_term: request.next_term, is_granted };
        self.send(from, MessageBody::PreVoteAnswer(answer));
    }

    /// Answers a vote request. Ignores a request for a higher term while a leader was in contact
    /// within the shortest election timeout, because the leader's lease depends on that, unless the
    /// leader itself asked for the election.
    pub(super) fn handle_vote(
        &mut self,
        from: &InstanceId,
        message: &QuorumMessage,
        request: &VoteRequest,
        now: Timestamp,
        rng: &mut impl Rng,
    ) {
        if message.term > self.term {
            if !request.is_transfer && self.has_active_leader(now) {
                return;
            }
            self.adopt_term(message.term, now, rng);
        }
        let is_vote_available = self.voted_for.as_ref().is_none_or(|candidate| candidate == from);
        let is_granted = request.next_term == self.term
            && is_vote_available
            && matches!(self.role, NodeRole::Follower)
            && self.is_log_up_to_date(request)
            && self.is_storage_trusted();
        if is_granted {
            self.record_vote(from);
            self.reset_election_deadline(now, rng);
        }
        let answer = VoteAnswer { next_term: request.next_term, is_granted };
        self.send(from, MessageBody::VoteAnswer(answer));
    }

    /// Counts an answer to a request for a pre-vote or a vote.
    pub(super) fn count_vote(
        &mut self,
        from: &InstanceId,
        message: &QuorumMessage,
        answer: &VoteAnswer,
        now: Timestamp,
    ) {
        if !answer.is_granted {
            return;
        }
        let requested_term = match (&self.role, &message.body) {
            (NodeRole::PreCandidate(_), MessageBody::PreVoteAnswer(_)) => self.term.get() + 1,
            (NodeRole::Candidate(_), MessageBody::VoteAnswer(_)) => self.term.get(),
            _ => return,
        };
        if answer.next_term.get() != requested_term {
            return;
        }
        if let NodeRole::PreCandidate(tally) | NodeRole::Candidate(tally) = &mut self.role {
            tally.votes.insert(from.clone(), message.storage);
        }
        self.advance_election(now);
    }

    /// Starts the election after a won pre-vote, or becomes the leader after a won election.
    fn advance_election(&mut self, now: Timestamp) {
        match &self.role {
            NodeRole::PreCandidate(tally) if self.members().is_elected_by(&tally.votes) => {
                self.start_campaign(false, now);
            }
            NodeRole::Candidate(tally) if self.members().is_elected_by(&tally.votes) => {
                let recorded = tally.record_storages(self.members());
                self.become_leader(recorded, now);
            }
            _ => {}
        }
    }

    /// Becomes the leader and appends an entry of the new term, whose commitment also commits the
    /// entries left by earlier terms.
    fn become_leader(&mut self, recorded: MemberSet, now: Timestamp) {
        let payload = if recorded == *self.members() {
            EntryPayload::Noop
        } else {
            EntryPayload::Members(recorded)
        };
        let term_start = self.log.last_index().next();
        let heartbeat_due = now + self.settings.heartbeat_period;
        let mut state = LeaderState::new(term_start, heartbeat_due);
        state.uncommitted_bytes = self.log.iter_from(self.commit.next()).map(entry_bytes).sum();
        state.track_members(&self.settings.id, self.members(), term_start, now);
        self.role = NodeRole::Leader(Box::new(state));
        self.storage_status = StorageStatus::Accepted;
        self.assembly = None;
        self.set_leader(Some(self.settings.id.clone()));
        self.append_as_leader(vec![payload], now);
    }

    /// Returns whether this member may campaign. A voter may do so even while its removal is not
    /// known to be committed, because the group may need entries that only this member holds.
    fn may_campaign(&self) -> bool {
        let own_id = &self.settings.id;
        let is_voter =
            self.members().is_voter(own_id) || self.history.at(self.commit).is_voter(own_id);
        is_voter && self.is_storage_trusted()
    }

    /// Returns whether the log of a candidate is at least as up to date as this member's, so that
    /// it holds every entry that may be committed here.
    fn is_log_up_to_date(&self, request: &VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= own
    }

    fn vote_request(&self, next_term: Term, is_transfer: bool) -> VoteRequest {
        VoteRequest {
            next_term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            is_transfer,
        }
    }

    fn request_votes(&mut self, body: &MessageBody) {
        let is_other = |id: &&InstanceId| **id != self.settings.id;
        let others: Vec<_> = self.members().voters().filter(is_other).cloned().collect();
        for id in &others {
            self.send(id, body.clone());
        }
    }
}
