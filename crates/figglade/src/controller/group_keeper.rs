//! Forms the control group and repairs it without an operator.
//!
//! Exactly one instance founds the group: the first of the seeds that has a disk, and only where
//! the whole system starts for the first time. Every other instance with a disk asks to join. The
//! leader then changes the members one at a time: it adds who asks, makes voters of those that
//! caught up until the group bears the losses it must, takes out a member whose disk was replaced,
//! and replaces a silent voter only where a successor has caught up and every other voter is heard
//! from.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    InstanceId, Timestamp,
    controller::quorum::{MAX_MEMBERS, MemberChange, MemberRole, QuorumStatus, StorageId},
};

/// How long a voter may be silent before a successor takes its place: longer than a restart of a
/// process and a round of elections.
const REPLACE_SILENCE: Duration = Duration::from_millis(2_500);
/// How long a learner may be silent before it is taken out.
const LEARNER_SILENCE: Duration = Duration::from_secs(10);
/// How recently an instance must have spoken to count as heard from: several of its greetings.
const HEARD_WITHIN: Duration = Duration::from_millis(1_600);

/// What an instance with a disk says to ask for membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// The instance.
    pub id: InstanceId,
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// The identity of its storage.
    pub storage: StorageId,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

/// What a seed is known to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeedKind {
    /// Nothing was heard from it.
    Unknown,
    /// It has a disk.
    WithDisk,
    /// It has none.
    WithoutDisk,
}

/// Returns whether an instance founds the group. `earlier_seeds` are those that stand before it in
/// the list, or `None` where the instance is no seed itself.
pub fn is_founder(
    is_first_start: bool,
    has_empty_log: bool,
    earlier_seeds: Option<&[SeedKind]>,
) -> bool {
    let is_first_with_disk =
        earlier_seeds.is_some_and(|seeds| seeds.iter().all(|kind| *kind == SeedKind::WithoutDisk));
    is_first_start && has_empty_log && is_first_with_disk
}

/// Returns whether the group may acknowledge a change: each commit is then on more disks than may
/// be lost at once. The first change waits until the group is also large enough to elect a leader
/// after such a loss; later a smaller group is only a moment within a repair.
pub fn tolerates_losses(status: &QuorumStatus, tolerated_losses: usize, is_first: bool) -> bool {
    let is_durable = status.members.majority() > tolerated_losses;
    let is_grown = status.members.voters().count() > 2 * tolerated_losses;
    is_durable && (is_grown || !is_first)
}

#[derive(Clone, Debug)]
struct HeardInstance {
    request: JoinRequest,
    heard_at: Timestamp,
}

/// Decides on changes of the control group at its leader.
#[derive(Clone, Debug)]
pub struct GroupKeeper {
    own: InstanceId,
    wanted_voters: usize,
    heard: BTreeMap<InstanceId, HeardInstance>,
    /// When this instance began to lead.
    leads_since: Option<Timestamp>,
}

impl GroupKeeper {
    /// Builds the keeper of an instance in a group that must bear the loss of `tolerated_losses`
    /// members at once.
    pub fn new(own: InstanceId, tolerated_losses: usize) -> Self {
        let wanted_voters = (2 * tolerated_losses + 1).clamp(1, MAX_MEMBERS - 1);
        Self { own, wanted_voters, heard: BTreeMap::new(), leads_since: None }
    }

    /// Takes the greeting of an instance with a disk.
    pub fn handle_greeting(&mut self, request: JoinRequest, now: Timestamp) {
        self.heard.insert(request.id.clone(), HeardInstance { request, heard_at: now });
    }

    /// Returns the next change of the members; the caller proposes it and asks again later.
    pub fn next_change(&mut self, status: &QuorumStatus, now: Timestamp) -> Option<MemberChange> {
        let leads = status.leader.as_ref() == Some(&self.own);
        if !leads {
            self.leads_since = None;
            return None;
        }
        let leads_since = *self.leads_since.get_or_insert(now);
        if status.pending_change.is_some() {
            return None;
        }
        self.remove_replaced(status)
            .or_else(|| self.promote_learner(status, now))
            .or_else(|| self.replace_silent_voter(status, leads_since, now))
            .or_else(|| self.remove_silent_learner(status, leads_since, now))
            .or_else(|| self.add_learner(status, now))
    }

    /// Takes out a member whose disk was emptied: it cannot vote, and comes back as a learner.
    fn remove_replaced(&self, status: &QuorumStatus) -> Option<MemberChange> {
        let id = status.replaced_storage.first()?.clone();
        Some(MemberChange::Remove { id })
    }

    fn promote_learner(&self, status: &QuorumStatus, now: Timestamp) -> Option<MemberChange> {
        if status.members.voters().count() >= self.wanted_voters {
            return None;
        }
        let id = self.find_successor(status, now)?;
        Some(MemberChange::Promote { id })
    }

    fn replace_silent_voter(
        &self,
        status: &QuorumStatus,
        leads_since: Timestamp,
        now: Timestamp,
    ) -> Option<MemberChange> {
        self.find_successor(status, now)?;
        let others = || status.members.voters().filter(|id| **id != self.own);
        let silent: Vec<_> =
            others().filter(|id| self.is_silent(id, REPLACE_SILENCE, leads_since, now)).collect();
        let heard = others().filter(|id| self.is_heard(id, now)).count();
        let &[id] = silent.as_slice() else { return None };
        let is_rest_heard = heard + 1 == others().count();
        is_rest_heard.then(|| MemberChange::Remove { id: id.clone() })
    }

    fn remove_silent_learner(
        &self,
        status: &QuorumStatus,
        leads_since: Timestamp,
        now: Timestamp,
    ) -> Option<MemberChange> {
        let mut learners = learners_of(status);
        let silent = learners.find(|id| self.is_silent(id, LEARNER_SILENCE, leads_since, now))?;
        Some(MemberChange::Remove { id: silent.clone() })
    }

    fn add_learner(&self, status: &QuorumStatus, now: Timestamp) -> Option<MemberChange> {
        let members = &status.members.members;
        if members.len() >= MAX_MEMBERS {
            return None;
        }
        let asks = |heard: &&HeardInstance| {
            let id = &heard.request.id;
            !members.contains_key(id) && self.is_heard(id, now)
        };
        let request = &self.heard.values().find(asks)?.request;
        let storage = Some(request.storage);
        Some(MemberChange::AddLearner { id: request.id.clone(), peer: request.peer, storage })
    }

    /// Returns a learner that is heard from and holds what is committed.
    fn find_successor(&self, status: &QuorumStatus, now: Timestamp) -> Option<InstanceId> {
        let is_ready = |id: &&InstanceId| {
            let held = status.progress.get(*id);
            self.is_heard(id, now) && held.is_some_and(|index| *index >= status.commit)
        };
        learners_of(status).find(is_ready).cloned()
    }

    fn is_heard(&self, id: &InstanceId, now: Timestamp) -> bool {
        let heard = self.heard.get(id);
        heard.is_some_and(|heard| {
            !heard.request.is_leaving && now.since(heard.heard_at) < HEARD_WITHIN
        })
    }

    /// Returns whether a member was silent for `limit`, as far as this leader can know.
    fn is_silent(
        &self,
        id: &InstanceId,
        limit: Duration,
        leads_since: Timestamp,
        now: Timestamp,
    ) -> bool {
        let last = self.heard.get(id).map_or(leads_since, |heard| heard.heard_at.max(leads_since));
        *id != self.own && now.since(last) > limit
    }
}

fn learners_of(status: &QuorumStatus) -> impl Iterator<Item = &InstanceId> {
    let members = status.members.members.iter();
    members.filter(|(_, spec)| spec.role == MemberRole::Learner).map(|(id, _)| id)
}
