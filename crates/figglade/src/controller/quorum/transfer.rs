//! Leadership transfer.

use crate::{
    InstanceId, Timestamp,
    controller::quorum::{
        MessageBody, QuorumAction, QuorumNode, TransferError,
        leader::{LeaderState, LeadershipTransfer},
        node::NodeRole,
    },
};

impl QuorumNode {
    /// Transfers the leadership to a voter, by default the reachable one with the most of the log.
    ///
    /// Proposals are refused until the transfer ends, at the latest after the shortest election
    /// timeout. The lease is released for the rest of the term once the target was asked to
    /// campaign.
    ///
    /// # Errors
    ///
    /// Fails when this member does not lead, when a transfer is in progress, when the target is not
    /// a voter, and when no target is given and no other voter is reachable.
    pub fn transfer_leadership(
        &mut self,
        to: Option<InstanceId>,
        now: Timestamp,
    ) -> Result<Vec<QuorumAction>, TransferError> {
        let NodeRole::Leader(state) = &self.role else {
            return Err(TransferError::NotLeader { leader: self.leader.clone() });
        };
        if state.transfer.is_some() {
            return Err(TransferError::Transferring);
        }
        let target = match to {
            Some(id) if !self.members().is_voter(&id) => {
                return Err(TransferError::NotVoter { id });
            }
            Some(id) => id,
            None => self.best_successor(state, now).ok_or(TransferError::NoCandidate)?,
        };
        if target == self.settings.id {
            return Ok(Vec::new());
        }
        let deadline = now + self.settings.election_timeout;
        if let NodeRole::Leader(state) = &mut self.role {
            state.transfer =
                Some(LeadershipTransfer { to: target.clone(), deadline, is_sent: false });
        }
        self.advance_transfer(&target);
        Ok(self.take_actions())
    }

    fn best_successor(&self, state: &LeaderState, now: Timestamp) -> Option<InstanceId> {
        let timeout = self.settings.election_timeout;
        let is_reachable = |id: &&InstanceId| {
            let progress = state.progress.get(*id);
            progress.is_some_and(|progress| now < progress.last_contact() + timeout)
        };
        let voters = self.members().voters().filter(is_reachable);
        let best = voters.max_by_key(|id| state.progress.get(*id).map(|found| found.match_index()));
        best.cloned()
    }

    /// Asks the target to campaign once it holds the whole log.
    pub(super) fn advance_transfer(&mut self, follower: &InstanceId) {
        let last_index = self.log.last_index();
        let NodeRole::Leader(state) = &mut self.role else { return };
        let Some(transfer) = &mut state.transfer else { return };
        let match_index = state.progress.get(follower).map(|progress| progress.match_index());
        if transfer.to != *follower || transfer.is_sent || match_index != Some(last_index) {
            return;
        }
        transfer.is_sent = true;
        state.is_lease_released = true;
        self.send(follower, MessageBody::TimeoutNow);
    }

    /// Asks the target to campaign again, in case the message was lost.
    pub(super) fn resend_timeout_now(&mut self) {
        let NodeRole::Leader(state) = &self.role else { return };
        let sent = state.transfer.as_ref().filter(|transfer| transfer.is_sent);
        if let Some(to) = sent.map(|transfer| transfer.to.clone()) {
            self.send(&to, MessageBody::TimeoutNow);
        }
    }

    /// Aborts a transfer whose deadline has passed; this member remains the leader.
    pub(super) fn expire_transfer(&mut self, now: Timestamp) {
        if let NodeRole::Leader(state) = &mut self.role {
            state.transfer = state.transfer.take().filter(|transfer| now < transfer.deadline);
        }
    }

    /// Campaigns at the request of the leader.
    pub(super) fn handle_timeout_now(&mut self, now: Timestamp) {
        if self.members().is_voter(&self.settings.id) && self.is_storage_trusted() {
            self.start_campaign(true, now);
        }
    }
}
