//! Replication on the side of a follower.

use rand::Rng;

use crate::{
    InstanceId, Timestamp,
    controller::quorum::{
        AppendAnswer, AppendOutcome, AppendRequest, LogIndex, MessageBody, QuorumMessage,
        QuorumNode, RoundStamp, Term,
        log::previous,
        node::{NodeRole, StorageStatus},
    },
};

impl QuorumNode {
    /// Handles a message that only the leader of a term sends.
    pub(super) fn handle_leader_message(
        &mut self,
        from: &InstanceId,
        message: &QuorumMessage,
        now: Timestamp,
        rng: &mut impl Rng,
    ) {
        if message.term < self.term {
            self.reject_leader(from, message);
            return;
        }
        if message.term > self.term {
            self.adopt_term(message.term, now, rng);
        }
        if matches!(self.role, NodeRole::Leader(_)) {
            return;
        }
        self.become_follower(Some(from.clone()), now, rng);
        self.last_leader_contact = Some(now);
        self.reset_election_deadline(now, rng);
        if message.expected_storage.is_some_and(|known| known != self.own_storage()) {
            self.storage_status = StorageStatus::Replaced;
            self.reject_leader(from, message);
            return;
        }
        self.storage_status = StorageStatus::Accepted;
        match &message.body {
            MessageBody::Append(request) => self.handle_append(from, request, now),
            MessageBody::Snapshot(chunk) => self.handle_snapshot(from, chunk, now),
            MessageBody::TimeoutNow => self.handle_timeout_now(now),
            _ => {}
        }
    }

    /// Reports a higher term or another storage to a leader.
    fn reject_leader(&mut self, from: &InstanceId, message: &QuorumMessage) {
        let stamp = match &message.body {
            MessageBody::Append(request) => request.stamp,
            MessageBody::Snapshot(chunk) => chunk.stamp,
            _ => return,
        };
        self.answer_rejected(from, stamp, LogIndex::default(), Term::default());
    }

    fn handle_append(&mut self, from: &InstanceId, request: &AppendRequest, now: Timestamp) {
        let last_new = request.entries.last().map_or(request.prev_index, |entry| entry.index);
        if !self.agrees_at(request.prev_index, request.prev_term) {
            self.answer_rejected(from, request.stamp, request.prev_index, request.prev_term);
            return;
        }
        self.append_missing(request, now);
        self.commit_to(request.commit.min(last_new));
        self.answer_accepted(from, request.stamp, last_new);
    }

    /// Returns whether the log matches the leader's up to an index.
    fn agrees_at(&self, index: LogIndex, term: Term) -> bool {
        index <= self.commit || self.log.term_at(index) == Some(term)
    }

    /// Appends the entries from the first missing or different one on; they replace the log from
    /// that index.
    fn append_missing(&mut self, request: &AppendRequest, now: Timestamp) {
        let is_missing = |index, term| index > self.commit && self.log.term_at(index) != Some(term);
        let first = request.entries.iter().position(|entry| is_missing(entry.index, entry.term));
        if let Some(first) = first {
            self.append_entries(request.entries[first..].to_vec(), now);
        }
    }

    pub(super) fn answer_accepted(
        &mut self,
        to: &InstanceId,
        stamp: RoundStamp,
        match_index: LogIndex,
    ) {
        let outcome = AppendOutcome::Accepted { match_index };
        self.send(to, MessageBody::AppendAnswer(AppendAnswer { stamp, outcome }));
    }

    fn answer_rejected(
        &mut self,
        to: &InstanceId,
        stamp: RoundStamp,
        prev_index: LogIndex,
        prev_term: Term,
    ) {
        let candidate = previous(prev_index).min(self.log.last_index());
        let hint_index = self.log.find_conflict(candidate, prev_term);
        let hint_term = self.log.term_at(hint_index).unwrap_or_default();
        let outcome = AppendOutcome::Rejected { prev_index, hint_index, hint_term };
        self.send(to, MessageBody::AppendAnswer(AppendAnswer { stamp, outcome }));
    }
}
