//! Member changes, one at a time.

use std::net::SocketAddr;

use rand::Rng;

use crate::{
    InstanceId, Timestamp,
    controller::quorum::{
        EntryPayload, LogIndex, MemberChangeError, MemberRole, MemberSet, MemberSpec, MessageBody,
        QuorumAction, QuorumNode, StorageId, leader::LeaderState, node::NodeRole,
        settings::MAX_MEMBERS,
    },
};

/// Change of the member set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a member that receives the log but does not vote.
    AddLearner {
        /// The instance.
        id: InstanceId,
        /// The peer address of the instance.
        peer: SocketAddr,
        /// Its storage; if not given, it is recorded with the first answer.
        storage: Option<StorageId>,
    },
    /// Promotes a learner to a voter once it has caught up.
    Promote {
        /// The instance.
        id: InstanceId,
    },
    /// Removes a member.
    Remove {
        /// The instance.
        id: InstanceId,
    },
}

impl QuorumNode {
    /// Proposes a member change, which takes effect as soon as it is in the log.
    ///
    /// # Errors
    ///
    /// Fails without a log entry when this member does not lead, when an earlier change or the
    /// first entry of the term is not committed, when a learner is not ready for promotion, and
    /// when the changed group would have no reachable quorum.
    pub fn change_members(
        &mut self,
        change: MemberChange,
        now: Timestamp,
    ) -> Result<(LogIndex, Vec<QuorumAction>), MemberChangeError> {
        let changed = self.check_change(&change, now)?;
        match &change {
            MemberChange::AddLearner { id, .. } => self.drop_address(id),
            MemberChange::Remove { id } => self.keep_address(id),
            MemberChange::Promote { .. } => {}
        }
        let index = self.log.last_index().next();
        self.append_as_leader(vec![EntryPayload::Members(changed)], now);
        Ok((index, self.take_actions()))
    }

    fn check_change(
        &self,
        change: &MemberChange,
        now: Timestamp,
    ) -> Result<MemberSet, MemberChangeError> {
        let NodeRole::Leader(state) = &self.role else {
            return Err(MemberChangeError::NotLeader { leader: self.leader.clone() });
        };
        if state.transfer.is_some() {
            return Err(MemberChangeError::Transferring);
        }
        if self.commit < state.term_start {
            return Err(MemberChangeError::TermNotCommitted);
        }
        if self.history.pending_after(self.commit).is_some() {
            return Err(MemberChangeError::ChangePending);
        }
        let changed = match change {
            MemberChange::AddLearner { id, peer, storage } => {
                add_learner(self.members(), id, *peer, *storage)
            }
            MemberChange::Promote { id } => self.promote(state, id),
            MemberChange::Remove { id } => remove(self.members(), id),
        }?;
        let timeout = self.settings.election_timeout;
        if now >= state.quorum_contact(&self.settings.id, &changed) + timeout {
            return Err(MemberChangeError::QuorumUnreachable);
        }
        Ok(changed)
    }

    fn promote(
        &self,
        state: &LeaderState,
        id: &InstanceId,
    ) -> Result<MemberSet, MemberChangeError> {
        let mut changed = self.members().clone();
        let Some(spec) = changed.members.get_mut(id) else {
            return Err(MemberChangeError::NotMember { id: id.clone() });
        };
        if spec.role == MemberRole::Voter {
            return Err(MemberChangeError::AlreadyVoter { id: id.clone() });
        }
        if spec.storage.is_none() {
            return Err(MemberChangeError::StorageUnknown { id: id.clone() });
        }
        let progress = state.progress.get(id);
        if progress.is_none_or(|progress| progress.match_index() < self.commit) {
            return Err(MemberChangeError::NotCaughtUp { id: id.clone() });
        }
        spec.role = MemberRole::Voter;
        Ok(changed)
    }

    /// Records the storage that a member reports for the first time.
    pub(super) fn record_storage(&mut self, id: &InstanceId, now: Timestamp) {
        let NodeRole::Leader(state) = &self.role else { return };
        let reported = state.progress.get(id).and_then(|progress| progress.storage());
        let is_change_allowed = self.commit >= state.term_start
            && self.history.pending_after(self.commit).is_none()
            && state.transfer.is_none();
        let mut changed = self.members().clone();
        let Some(spec) = changed.members.get_mut(id) else { return };
        if !is_change_allowed || reported.is_none() || spec.storage.is_some() {
            return;
        }
        spec.storage = reported;
        self.append_as_leader(vec![EntryPayload::Members(changed)], now);
    }

    /// Sends a last message to the members whose removal is committed, so that they learn of it,
    /// and stops tracking them.
    pub(super) fn finish_member_change(&mut self, now: Timestamp) {
        let committed = self.history.at(self.commit).clone();
        let current = self.members().clone();
        let NodeRole::Leader(state) = &self.role else { return };
        let is_removed = |id: &&InstanceId| {
            ![&committed, &current].iter().any(|set| set.members.contains_key(*id))
        };
        let removed: Vec<_> = state.progress.keys().filter(is_removed).cloned().collect();
        for id in removed {
            self.replicate_to(&id, true, now);
            self.drop_address(&id);
            if let NodeRole::Leader(state) = &mut self.role {
                state.progress.remove(&id);
            }
        }
    }

    /// Steps down once the removal of this member is committed, and asks the voter with the most of
    /// the log to campaign.
    pub(super) fn step_down_if_removed(&mut self, now: Timestamp, rng: &mut impl Rng) {
        let NodeRole::Leader(state) = &self.role else { return };
        let is_member = |set: &MemberSet| set.members.contains_key(&self.settings.id);
        if is_member(self.members()) || is_member(self.history.at(self.commit)) {
            return;
        }
        let voters = self.members().voters();
        let best = voters.max_by_key(|id| state.progress.get(*id).map(|found| found.match_index()));
        if let Some(best) = best.cloned() {
            self.send_heartbeats(now);
            self.send(&best, MessageBody::TimeoutNow);
        }
        self.become_follower(None, now, rng);
    }
}

fn add_learner(
    members: &MemberSet,
    id: &InstanceId,
    peer: SocketAddr,
    storage: Option<StorageId>,
) -> Result<MemberSet, MemberChangeError> {
    if members.members.contains_key(id) {
        return Err(MemberChangeError::AlreadyMember { id: id.clone() });
    }
    if members.members.len() >= MAX_MEMBERS {
        return Err(MemberChangeError::TooManyMembers);
    }
    let mut changed = members.clone();
    changed.members.insert(id.clone(), MemberSpec { peer, storage, role: MemberRole::Learner });
    Ok(changed)
}

fn remove(members: &MemberSet, id: &InstanceId) -> Result<MemberSet, MemberChangeError> {
    if !members.members.contains_key(id) {
        return Err(MemberChangeError::NotMember { id: id.clone() });
    }
    let mut changed = members.clone();
    changed.members.remove(id);
    if changed.voters().next().is_none() {
        return Err(MemberChangeError::LastVoter);
    }
    Ok(changed)
}
