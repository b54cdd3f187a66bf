//! What a member reports of itself.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    InstanceId,
    controller::quorum::{LogIndex, MemberSet, Term},
};

/// The part a member plays at present.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum QuorumRole {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// The state of one member, as it sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuorumStatus {
    /// The part it plays.
    pub role: QuorumRole,
    /// Its term.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<InstanceId>,
    /// The last committed index it knows of.
    pub commit: LogIndex,
    /// The last index of its log.
    pub last: LogIndex,
    /// The last index its snapshot covers; 0 without a snapshot.
    pub snapshot: LogIndex,
    /// The member set in use.
    pub members: MemberSet,
    /// How far the log of each other member is known to agree; only at the leader.
    pub progress: BTreeMap<InstanceId, LogIndex>,
    /// The members that report another storage than the recorded one; only at the leader.
    pub replaced_storage: Vec<InstanceId>,
    /// The index of the member change that is not committed yet.
    pub pending_change: Option<LogIndex>,
    /// Whether the group knows this instance with another storage, so that it must be removed and
    /// added again.
    pub is_forgotten: bool,
    /// Whether the group has yet to elect its first leader, for which every first member is needed.
    pub is_bootstrapping: bool,
}
