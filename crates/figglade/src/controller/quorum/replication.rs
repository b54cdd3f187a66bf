//! Replication on the side of the leader: appends, commitment, heartbeats and answers.

use bytes::Bytes;
use rand::Rng;

use crate::{
    InstanceId, Timestamp,
    controller::quorum::{
        AppendAnswer, AppendOutcome, EntryPayload, LogEntry, LogIndex, MessageBody, ProposeError,
        QuorumAction, QuorumMessage, QuorumNode, RoundStamp, SnapshotAnswer, Term,
        log::entry_bytes,
        node::NodeRole,
        progress::FollowerProgress,
        settings::{MAX_COMMAND_BYTES, MAX_UNCOMMITTED_BYTES, MAX_UNCOMMITTED_ENTRIES},
    },
};

/// Commands that the leader has appended to its log but not committed yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProposeAccepted {
    /// The index of the first command; the others follow without a gap.
    pub first_index: LogIndex,
    /// The term of all of them. If an entry of another term appears at one of the indexes, the
    /// command was lost.
    pub term: Term,
    /// The actions that the driver carries out.
    pub actions: Vec<QuorumAction>,
}

impl QuorumNode {
    /// Appends a batch of commands at the leader, with one sync for all of them.
    ///
    /// # Errors
    ///
    /// Fails without a log entry when this member does not lead or is transferring the leadership,
    /// when too much is uncommitted, or when the batch is empty or a command is too large.
    pub fn propose(
        &mut self,
        commands: Vec<Bytes>,
        now: Timestamp,
    ) -> Result<ProposeAccepted, ProposeError> {
        self.check_proposal(&commands)?;
        let first_index = self.log.last_index().next();
        self.append_as_leader(commands.into_iter().map(EntryPayload::Command).collect(), now);
        Ok(ProposeAccepted { first_index, term: self.term, actions: self.take_actions() })
    }

    fn check_proposal(&self, commands: &[Bytes]) -> Result<(), ProposeError> {
        let NodeRole::Leader(state) = &self.role else {
            return Err(ProposeError::NotLeader { leader: self.leader.clone() });
        };
        if state.transfer.is_some() {
            return Err(ProposeError::Transferring);
        }
        if commands.is_empty() {
            return Err(ProposeError::Empty);
        }
        if let Some(command) = commands.iter().find(|command| command.len() > MAX_COMMAND_BYTES) {
            return Err(ProposeError::TooLarge { length: command.len() });
        }
        let uncommitted = (self.log.last_index().get() - self.commit.get()) as usize;
        let command_bytes: usize = commands.iter().map(Bytes::len).sum();
        let is_over_bytes = state.uncommitted_bytes > 0
            && state.uncommitted_bytes + command_bytes > MAX_UNCOMMITTED_BYTES;
        if uncommitted + commands.len() > MAX_UNCOMMITTED_ENTRIES || is_over_bytes {
            return Err(ProposeError::Overloaded);
        }
        Ok(())
    }

    /// Appends entries of the leader's own term and replicates them.
    pub(super) fn append_as_leader(&mut self, payloads: Vec<EntryPayload>, now: Timestamp) {
        let mut index = self.log.last_index();
        let mut entries = Vec::with_capacity(payloads.len());
        for payload in payloads {
            index = index.next();
            entries.push(LogEntry { index, term: self.term, payload });
        }
        if let NodeRole::Leader(state) = &mut self.role {
            state.uncommitted_bytes += entries.iter().map(entry_bytes).sum::<usize>();
        }
        self.append_entries(entries, now);
        self.advance_commit(now);
        self.replicate_to_all(false, now);
    }

    /// Appends entries to the log and puts a member set among them into use.
    pub(super) fn append_entries(&mut self, entries: Vec<LogEntry>, now: Timestamp) {
        self.log.append(&entries);
        let is_changed = self.history.record_append(&entries);
        self.push(QuorumAction::Append(entries));
        if is_changed {
            self.handle_members_changed(now);
        }
    }

    /// Reports the changed member set to the driver; a leader starts tracking added members.
    pub(super) fn handle_members_changed(&mut self, now: Timestamp) {
        let members = self.members().clone();
        let next_index = self.log.last_index().next();
        if let NodeRole::Leader(state) = &mut self.role {
            state.track_members(&self.settings.id, &members, next_index, now);
        }
        self.push(QuorumAction::MembersChanged(members));
    }

    /// Commits the entries that a majority holds if the last of them is of the current term: an
    /// entry of an earlier term may still be replaced, even when a majority holds it.
    pub(super) fn advance_commit(&mut self, now: Timestamp) {
        let NodeRole::Leader(state) = &self.role else { return };
        let last_index = self.log.last_index();
        let quorum_index = self.members().majority_value(|id| {
            if *id == self.settings.id {
                return Some(last_index);
            }
            state.progress.get(id).map(FollowerProgress::match_index)
        });
        let Some(quorum_index) = quorum_index.filter(|index| *index > self.commit) else { return };
        if self.log.term_at(quorum_index) == Some(self.term) {
            self.commit_to(quorum_index);
            self.finish_member_change(now);
        }
    }

    /// Commits and applies the entries up to an index.
    pub(super) fn commit_to(&mut self, index: LogIndex) {
        if index > self.commit {
            let entries = self.log.range(self.commit.next(), index);
            self.commit = index;
            if let NodeRole::Leader(state) = &mut self.role {
                let committed_bytes: usize = entries.iter().map(entry_bytes).sum();
                state.uncommitted_bytes = state.uncommitted_bytes.saturating_sub(committed_bytes);
            }
            self.assembly = self.assembly.take().filter(|found| !found.is_obsolete(index));
            self.push(QuorumAction::Apply(entries));
        }
    }

    /// Sends due heartbeats, aborts overdue transfers and steps down without contact to a quorum.
    pub(super) fn tick_leader(&mut self, now: Timestamp, rng: &mut impl Rng) {
        if !self.has_active_leader(now) {
            self.become_follower(None, now, rng);
            return;
        }
        self.expire_transfer(now);
        let NodeRole::Leader(state) = &self.role else { return };
        if now >= state.heartbeat_due {
            self.send_heartbeats(now);
            self.resend_timeout_now();
        }
    }

    /// Starts a round and sends its heartbeat to every follower.
    pub(super) fn send_heartbeats(&mut self, now: Timestamp) {
        let period = self.settings.heartbeat_period;
        if let NodeRole::Leader(state) = &mut self.role {
            state.round += 1;
            state.heartbeat_due = now + period;
        }
        self.replicate_to_all(true, now);
    }

    pub(super) fn replicate_to_all(&mut self, is_heartbeat: bool, now: Timestamp) {
        let NodeRole::Leader(state) = &self.role else { return };
        let followers: Vec<_> = state.progress.keys().cloned().collect();
        for id in &followers {
            self.replicate_to(id, is_heartbeat, now);
        }
    }

    /// Sends every message that the follower may receive now; a heartbeat is sent in any case.
    pub(super) fn replicate_to(&mut self, id: &InstanceId, is_heartbeat: bool, now: Timestamp) {
        let mut is_due = is_heartbeat;
        while let Some(body) = self.next_replication(id, is_due, now) {
            self.send(id, body);
            is_due = false;
        }
    }

    fn next_replication(
        &mut self,
        id: &InstanceId,
        is_heartbeat: bool,
        now: Timestamp,
    ) -> Option<MessageBody> {
        let NodeRole::Leader(state) = &mut self.role else { return None };
        let stamp = RoundStamp { round: state.round, sent_at: now };
        let progress = state.progress.get_mut(id)?;
        progress.next_message(&self.log, self.commit, &self.settings, stamp, is_heartbeat)
    }

    /// Handles an answer from a member.
    pub(super) fn handle_answer(
        &mut self,
        from: &InstanceId,
        message: &QuorumMessage,
        now: Timestamp,
        rng: &mut impl Rng,
    ) {
        if !self.is_answer_counted(from, message) {
            return;
        }
        if message.term > self.term {
            self.adopt_term(message.term, now, rng);
            return;
        }
        match &message.body {
            MessageBody::PreVoteAnswer(answer) | MessageBody::VoteAnswer(answer) => {
                self.count_vote(from, message, answer, now);
            }
            MessageBody::AppendAnswer(answer) if message.term == self.term => {
                self.record_answer(from, message, answer.stamp, now);
                self.record_append_answer(from, answer);
                self.handle_progress(from, now, rng);
            }
            MessageBody::SnapshotAnswer(answer) if message.term == self.term => {
                self.record_answer(from, message, answer.stamp, now);
                self.record_snapshot_answer(from, answer);
                self.handle_progress(from, now, rng);
            }
            _ => {}
        }
    }

    /// Returns whether the answer comes from a member with the recorded storage. A member whose
    /// disk was emptied has lost its votes and entries, so its answers do not count.
    fn is_answer_counted(&mut self, from: &InstanceId, message: &QuorumMessage) -> bool {
        let recorded = self.members().storage_of(from);
        let is_replaced = recorded.is_some_and(|known| known != message.storage);
        if is_replaced && let Some(progress) = self.progress_mut(from) {
            progress.record_replaced();
        }
        !is_replaced && self.members().members.contains_key(from)
    }

    fn progress_mut(&mut self, id: &InstanceId) -> Option<&mut FollowerProgress> {
        let NodeRole::Leader(state) = &mut self.role else { return None };
        state.progress.get_mut(id)
    }

    fn record_answer(
        &mut self,
        from: &InstanceId,
        message: &QuorumMessage,
        stamp: RoundStamp,
        now: Timestamp,
    ) {
        if let Some(progress) = self.progress_mut(from) {
            progress.record_answer(now, stamp, message.storage);
        }
    }

    fn record_append_answer(&mut self, from: &InstanceId, answer: &AppendAnswer) {
        let NodeRole::Leader(state) = &mut self.role else { return };
        let Some(progress) = state.progress.get_mut(from) else { return };
        match answer.outcome {
            AppendOutcome::Accepted { match_index } => {
                progress.record_accepted(match_index.min(self.log.last_index()));
            }
            AppendOutcome::Rejected { prev_index, hint_index, hint_term } => {
                progress.record_rejected(&self.log, prev_index, hint_index, hint_term);
            }
        }
    }

    fn record_snapshot_answer(&mut self, from: &InstanceId, answer: &SnapshotAnswer) {
        if let Some(progress) = self.progress_mut(from) {
            progress.record_snapshot_answer(answer);
        }
    }

    /// Takes the steps that the progress of a follower makes possible.
    fn handle_progress(&mut self, from: &InstanceId, now: Timestamp, rng: &mut impl Rng) {
        self.advance_commit(now);
        self.record_storage(from, now);
        self.complete_reads(now);
        self.advance_transfer(from);
        self.replicate_to(from, false, now);
        self.step_down_if_removed(now, rng);
    }
}
