//! Bootstraps the control group and repairs it without an operator.
//!
//! Exactly one instance bootstraps the group: the first of the seeds that has a disk, and only when
//! the whole system starts for the first time. Every other instance with a disk asks to join. The
//! leader then changes the members one at a time: it adds instances that ask as learners, promotes
//! learners that have caught up until the group tolerates the configured losses, and removes a
//! member whose disk was replaced. It replaces an unreachable voter only if a learner has caught up
//! and every other voter is reachable.
//!
//! The first acknowledged change waits until the group tolerates the configured losses. Where there
//! are too few instances with a disk for that, it waits until all of them have been voters for
//! [`SETTLED_TIME`].

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    InstanceId, Timestamp,
    controller::quorum::{
        MAX_MEMBERS, MemberChange, MemberRole, MemberSet, QuorumStatus, StorageId,
    },
};

/// The time without contact after which a voter is replaced; longer than the restart of a process
/// plus an election.
const VOTER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The time without contact after which a learner is removed.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum age of the last greeting of a reachable instance; several greeting intervals.
const GREETING_MAX_AGE: Duration = Duration::from_millis(1_600);

/// The time for which the group must be complete and unchanged before it counts as settled: several
/// times the interval at which starting instances join, and well below the 14 s that a deployment has
/// between its start and its traffic.
pub const SETTLED_TIME: Duration = Duration::from_secs(4);

/// The request of an instance with a disk to join the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// The instance.
    pub id: InstanceId,
    /// The address on which it listens for peers.
    pub peer: SocketAddr,
    /// The identity of its storage.
    pub storage: StorageId,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

/// What is known about the disk of a seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeedKind {
    /// The seed has not been contacted yet.
    Unknown,
    /// The seed has a disk.
    WithDisk,
    /// The seed has no disk.
    WithoutDisk,
}

/// Returns whether an instance bootstraps the group. `earlier_seeds` are the seeds before it in the
/// list, or `None` if the instance itself is not a seed.
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
/// be lost at once. `may_grow` holds for the first change until the group has settled; the change then
/// also waits until the group is large enough to elect a leader after such a loss. Later, a smaller
/// group occurs for a short time during a repair, or for good where there are too few instances with
/// a disk.
pub fn tolerates_losses(status: &QuorumStatus, tolerated_losses: usize, may_grow: bool) -> bool {
    let losses = borne_losses(&status.members);
    let is_durable = losses.durable >= tolerated_losses;
    let can_elect = losses.available >= tolerated_losses;
    is_durable && (can_elect || !may_grow)
}

/// The losses of voters that the group bears.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BorneLosses {
    /// The voters that may be lost for good without losing a committed change.
    pub durable: usize,
    /// The voters that may be lost with the others still able to decide.
    pub available: usize,
}

/// Returns the losses that a group bears.
pub fn borne_losses(members: &MemberSet) -> BorneLosses {
    let (voters, majority) = (members.voters().count(), members.majority());
    BorneLosses { durable: majority.saturating_sub(1), available: voters.saturating_sub(majority) }
}

#[derive(Clone, Debug)]
struct LastGreeting {
    request: JoinRequest,
    received_at: Timestamp,
}

/// Decides on membership changes of the control group; active on its leader.
#[derive(Clone, Debug)]
pub struct GroupKeeper {
    own: InstanceId,
    desired_voters: usize,
    greetings: BTreeMap<InstanceId, LastGreeting>,
    /// When this instance became leader.
    leader_since: Option<Timestamp>,
    /// The voters of the complete group, and since when it has been complete with just them.
    complete_since: Option<(BTreeSet<InstanceId>, Timestamp)>,
}

impl GroupKeeper {
    /// Builds the keeper of an instance in a group that must tolerate the simultaneous loss of
    /// `tolerated_losses` members.
    pub fn new(own: InstanceId, tolerated_losses: usize) -> Self {
        let desired_voters = (2 * tolerated_losses + 1).clamp(1, MAX_MEMBERS - 1);
        Self {
            own,
            desired_voters,
            greetings: BTreeMap::new(),
            leader_since: None,
            complete_since: None,
        }
    }

    /// Handles the greeting of an instance with a disk.
    pub fn handle_greeting(&mut self, request: JoinRequest, now: Timestamp) {
        self.greetings.insert(request.id.clone(), LastGreeting { request, received_at: now });
    }

    /// Returns the next membership change, if any; the caller proposes it and calls again later.
    pub fn next_change(&mut self, status: &QuorumStatus, now: Timestamp) -> Option<MemberChange> {
        let is_leader = status.leader.as_ref() == Some(&self.own);
        if !is_leader {
            self.leader_since = None;
            return None;
        }
        let leader_since = *self.leader_since.get_or_insert(now);
        if status.pending_change.is_some() {
            return None;
        }
        self.remove_replaced(status)
            .or_else(|| self.promote_learner(status, now))
            .or_else(|| self.replace_unreachable_voter(status, leader_since, now))
            .or_else(|| self.remove_unreachable_learner(status, leader_since, now))
            .or_else(|| self.add_learner(status, now))
    }

    /// Returns whether the group has been complete and unchanged for [`SETTLED_TIME`]: this instance
    /// leads, each reachable instance that asks to join is a voter, and each voter is reachable. The
    /// caller asks several times a second.
    pub fn is_settled(&mut self, status: &QuorumStatus, now: Timestamp) -> bool {
        if !self.is_complete(status, now) {
            self.complete_since = None;
            return false;
        }
        let voters: BTreeSet<_> = status.members.voters().cloned().collect();
        match &self.complete_since {
            Some((held, since)) if *held == voters => now.since(*since) >= SETTLED_TIME,
            _ => {
                self.complete_since = Some((voters, now));
                false
            }
        }
    }

    fn is_complete(&self, status: &QuorumStatus, now: Timestamp) -> bool {
        let members = &status.members;
        let is_voter = |id: &InstanceId| members.voters().any(|voter| voter == id);
        let mut others = members.voters().filter(|id| **id != self.own);
        let mut asking = self.greetings.keys().filter(|id| self.is_reachable(id, now));
        status.leader.as_ref() == Some(&self.own)
            && status.pending_change.is_none()
            && status.replaced_storage.is_empty()
            && learners_of(status).next().is_none()
            && others.all(|id| self.is_reachable(id, now))
            && asking.all(is_voter)
    }

    /// Removes a member whose disk was emptied: it cannot vote and rejoins as a learner.
    fn remove_replaced(&self, status: &QuorumStatus) -> Option<MemberChange> {
        let id = status.replaced_storage.first()?.clone();
        Some(MemberChange::Remove { id })
    }

    fn promote_learner(&self, status: &QuorumStatus, now: Timestamp) -> Option<MemberChange> {
        if status.members.voters().count() >= self.desired_voters {
            return None;
        }
        let id = self.find_successor(status, now)?;
        Some(MemberChange::Promote { id })
    }

    fn replace_unreachable_voter(
        &self,
        status: &QuorumStatus,
        leader_since: Timestamp,
        now: Timestamp,
    ) -> Option<MemberChange> {
        self.find_successor(status, now)?;
        let others = || status.members.voters().filter(|id| **id != self.own);
        let timed_out: Vec<_> =
            others().filter(|id| self.is_timed_out(id, VOTER_TIMEOUT, leader_since, now)).collect();
        let reachable = others().filter(|id| self.is_reachable(id, now)).count();
        let &[id] = timed_out.as_slice() else { return None };
        let is_rest_reachable = reachable + 1 == others().count();
        is_rest_reachable.then(|| MemberChange::Remove { id: id.clone() })
    }

    fn remove_unreachable_learner(
        &self,
        status: &QuorumStatus,
        leader_since: Timestamp,
        now: Timestamp,
    ) -> Option<MemberChange> {
        let mut learners = learners_of(status);
        let timed_out =
            learners.find(|id| self.is_timed_out(id, LEARNER_TIMEOUT, leader_since, now))?;
        Some(MemberChange::Remove { id: timed_out.clone() })
    }

    fn add_learner(&self, status: &QuorumStatus, now: Timestamp) -> Option<MemberChange> {
        let members = &status.members.members;
        if members.len() >= MAX_MEMBERS {
            return None;
        }
        let can_join = |greeting: &&LastGreeting| {
            let id = &greeting.request.id;
            !members.contains_key(id) && self.is_reachable(id, now)
        };
        let request = &self.greetings.values().find(can_join)?.request;
        let storage = Some(request.storage);
        Some(MemberChange::AddLearner { id: request.id.clone(), peer: request.peer, storage })
    }

    /// Returns a learner that is reachable and has replicated every committed entry.
    fn find_successor(&self, status: &QuorumStatus, now: Timestamp) -> Option<InstanceId> {
        let is_ready = |id: &&InstanceId| {
            let match_index = status.progress.get(*id);
            self.is_reachable(id, now) && match_index.is_some_and(|index| *index >= status.commit)
        };
        learners_of(status).find(is_ready).cloned()
    }

    fn is_reachable(&self, id: &InstanceId, now: Timestamp) -> bool {
        let greeting = self.greetings.get(id);
        greeting.is_some_and(|greeting| {
            !greeting.request.is_leaving && now.since(greeting.received_at) < GREETING_MAX_AGE
        })
    }

    /// Returns whether this leader has had no contact with a member for `timeout`. The time before
    /// it became leader does not count.
    fn is_timed_out(
        &self,
        id: &InstanceId,
        timeout: Duration,
        leader_since: Timestamp,
        now: Timestamp,
    ) -> bool {
        let last = self
            .greetings
            .get(id)
            .map_or(leader_since, |greeting| greeting.received_at.max(leader_since));
        *id != self.own && now.since(last) > timeout
    }
}

fn learners_of(status: &QuorumStatus) -> impl Iterator<Item = &InstanceId> {
    let members = status.members.members.iter();
    members.filter(|(_, spec)| spec.role == MemberRole::Learner).map(|(id, _)| id)
}
