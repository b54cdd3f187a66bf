//! Linearizable reads and the lease of the leader.

use crate::{
    Timestamp,
    controller::quorum::{
        ProposeError, QuorumAction, QuorumNode, ReadTicket, RoundStamp, leader::PendingRead,
        node::NodeRole, settings::MAX_PENDING_READS,
    },
};

impl QuorumNode {
    /// Begins a read that sees everything acknowledged before it; the answer comes as an action.
    ///
    /// Under a valid lease the answer is among the returned actions. Otherwise it follows once a
    /// quorum has answered a round, or the read fails when this member no longer leads.
    ///
    /// # Errors
    ///
    /// Fails when this member does not lead or too many reads wait.
    pub fn begin_read(
        &mut self,
        now: Timestamp,
    ) -> Result<(ReadTicket, Vec<QuorumAction>), ProposeError> {
        let has_lease = self.has_lease(now);
        let NodeRole::Leader(state) = &mut self.role else {
            return Err(ProposeError::NotLeader { leader: self.leader.clone() });
        };
        if state.reads.len() >= MAX_PENDING_READS {
            return Err(ProposeError::Overloaded);
        }
        let ticket = ReadTicket::new(self.next_ticket);
        self.next_ticket += 1;
        if has_lease {
            self.push(QuorumAction::ReadReady { ticket, index: self.commit });
        } else {
            state.reads.push_back(PendingRead { ticket, round: state.round + 1 });
            self.start_read_round(now);
            self.complete_reads(now);
        }
        Ok((ticket, self.take_actions()))
    }

    /// Returns whether this member leads and no other can have been elected yet.
    ///
    /// A majority answered a round, and each of its voters refuses to vote for the shortest
    /// election timeout after that, measured by its own clock. The lease margin allows for clock
    /// drift.
    pub fn has_lease(&self, now: Timestamp) -> bool {
        let NodeRole::Leader(state) = &self.role else { return false };
        if state.is_lease_released || self.commit < state.term_start {
            return false;
        }
        let own = RoundStamp { round: state.round, sent_at: now };
        let confirmed = state.quorum_round(&self.settings.id, self.members(), own);
        let length = self.settings.election_timeout.saturating_sub(self.settings.lease_margin);
        confirmed.is_some_and(|stamp| now < stamp.sent_at + length)
    }

    /// Completes the reads whose round a majority has answered.
    pub(super) fn complete_reads(&mut self, now: Timestamp) {
        let NodeRole::Leader(state) = &mut self.role else { return };
        if self.commit < state.term_start {
            return;
        }
        let own = RoundStamp { round: state.round, sent_at: now };
        let members = self.history.current();
        let confirmed = state.quorum_round(&self.settings.id, members, own);
        let Some(confirmed) = confirmed else { return };
        let is_confirmed = |read: &&PendingRead| read.round <= confirmed.round;
        let ready_count = state.reads.iter().take_while(is_confirmed).count();
        let ready: Vec<_> = state.reads.drain(..ready_count).collect();
        for read in ready {
            self.push(QuorumAction::ReadReady { ticket: read.ticket, index: self.commit });
        }
        if ready_count > 0 {
            self.start_read_round(now);
        }
    }

    /// Starts a round for the waiting reads, unless an earlier round is still unanswered: reads
    /// that arrive in the meantime share the next one.
    fn start_read_round(&mut self, now: Timestamp) {
        let NodeRole::Leader(state) = &self.role else { return };
        let is_due = state.reads.front().is_some_and(|read| read.round > state.round);
        if is_due {
            self.send_heartbeats(now);
        }
    }
}
