//! Status of a member.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    InstanceId,
    controller::quorum::{LogIndex, MemberSet, Term},
};

/// Current role of a member.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum QuorumRole {
    /// Follows a leader or waits for one.
    Follower,
    /// Requests pre-votes to find out whether it could win an election.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the group.
    Leader,
}

/// Status of one member, from its own point of view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumStatus {
    /// The role of the member.
    pub role: QuorumRole,
    /// The term of the member.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<InstanceId>,
    /// The last committed index it knows of.
    pub commit: LogIndex,
    /// The last index of its log.
    pub last: LogIndex,
    /// The last index that its snapshot covers; 0 without a snapshot.
    pub snapshot: LogIndex,
    /// The member set in use.
    pub members: MemberSet,
    /// The index up to which each other member's log is known to match; only at the leader.
    pub progress: BTreeMap<InstanceId, LogIndex>,
    /// The members that report a storage other than the recorded one; only at the leader.
    pub replaced_storage: Vec<InstanceId>,
    /// The index of the member change that is not committed yet.
    pub pending_change: Option<LogIndex>,
    /// Whether the group has recorded another storage for this instance, so that it must be removed
    /// and added again.
    pub is_forgotten: bool,
    /// Whether the group has yet to elect its first leader, which takes every initial voter.
    pub is_bootstrapping: bool,
}
