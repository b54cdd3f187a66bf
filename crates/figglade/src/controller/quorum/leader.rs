//! State that only a leader keeps.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    InstanceId, Timestamp,
    controller::quorum::{LogIndex, MemberSet, ReadTicket, RoundStamp, progress::FollowerProgress},
};

/// A read that waits for a quorum to confirm the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    pub(super) ticket: ReadTicket,
    pub(super) round: u64,
}

/// A leadership transfer in progress.
#[derive(Clone, Debug)]
pub(super) struct LeadershipTransfer {
    pub(super) to: InstanceId,
    pub(super) deadline: Timestamp,
    pub(super) is_sent: bool,
}

/// State that only a leader keeps.
#[derive(Clone, Debug)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<InstanceId, FollowerProgress>,
    /// The index of the first entry of the term.
    pub(super) term_start: LogIndex,
    pub(super) heartbeat_due: Timestamp,
    pub(super) round: u64,
    /// The approximate size of the uncommitted entries, in bytes.
    pub(super) uncommitted_bytes: usize,
    pub(super) reads: VecDeque<PendingRead>,
    pub(super) transfer: Option<LeadershipTransfer>,
    /// Whether a follower was asked to campaign in this term. It may do so at any later time, and
    /// voters then do not wait for the lease to expire.
    pub(super) is_lease_released: bool,
}

impl LeaderState {
    /// Creates the state of a leader whose first entry will be at `term_start`.
    pub(super) const fn new(term_start: LogIndex, heartbeat_due: Timestamp) -> Self {
        Self {
            progress: BTreeMap::new(),
            term_start,
            heartbeat_due,
            round: 1,
            uncommitted_bytes: 0,
            reads: VecDeque::new(),
            transfer: None,
            is_lease_released: false,
        }
    }

    /// Starts tracking members that were added; members that were removed stay tracked until their
    /// removal is committed.
    pub(super) fn track_members(
        &mut self,
        own_id: &InstanceId,
        members: &MemberSet,
        next_index: LogIndex,
        now: Timestamp,
    ) {
        let last_index = super::log::previous(next_index);
        for id in members.members.keys().filter(|id| *id != own_id) {
            self.progress
                .entry(id.clone())
                .or_insert_with(|| FollowerProgress::new(last_index, now));
        }
    }

    /// Returns the latest time such that a majority of `members` was in contact at or after it.
    pub(super) fn quorum_contact(&self, own_id: &InstanceId, members: &MemberSet) -> Timestamp {
        let contact = members.majority_value(|id| {
            if id == own_id {
                return Some(Timestamp::from_micros(u64::MAX));
            }
            self.progress.get(id).map(FollowerProgress::last_contact)
        });
        contact.unwrap_or_default()
    }

    /// Returns the latest round that a majority of `members` has answered; `own` is this member's.
    pub(super) fn quorum_round(
        &self,
        own_id: &InstanceId,
        members: &MemberSet,
        own: RoundStamp,
    ) -> Option<RoundStamp> {
        members.majority_value(|id| {
            if id == own_id {
                return Some(own);
            }
            self.progress.get(id).and_then(FollowerProgress::acked_round)
        })
    }
}
