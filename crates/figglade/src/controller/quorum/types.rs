//! Entries, terms and members of the quorum log.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

use crate::InstanceId;

/// Index of a log entry, counted from 1; 0 is the position before the first entry.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    FromStr,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct LogIndex(u64);

impl LogIndex {
    /// Wraps a plain number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next index.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Election term; a term has at most one leader.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    FromStr,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Term(u64);

impl Term {
    /// Wraps a plain number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Identity of a data folder. An emptied folder gets a new one, so that a member that has lost its
/// vote and its entries cannot vote again under the old identity.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    FromStr,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct StorageId(uuid::Uuid);

/// Role of a member of the control group in replication.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum MemberRole {
    /// Receives the log but does not vote.
    Learner,
    /// Votes and counts towards the quorum.
    Voter,
}

/// One member of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberSpec {
    /// The peer address of the member.
    pub peer: SocketAddr,
    /// The storage that the member was admitted with; `None` until it has reported one.
    pub storage: Option<StorageId>,
    /// The role of the member.
    pub role: MemberRole,
}

/// The members of the control group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberSet {
    /// The members, by instance.
    pub members: BTreeMap<InstanceId, MemberSpec>,
}

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Empty; a new leader commits one in its term to learn which earlier entries are committed.
    Noop,
    /// An encoded command for the state machine.
    Command(Bytes),
    /// The member set in use from this entry on.
    Members(MemberSet),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogEntry {
    /// The index of the entry.
    pub index: LogIndex,
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The payload.
    pub payload: EntryPayload,
}

/// The term and vote that must survive a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// The candidate voted for in that term.
    pub voted_for: Option<InstanceId>,
}

/// The encoded state machine and the members at an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// The last index covered.
    pub last_index: LogIndex,
    /// The term of that index.
    pub last_term: Term,
    /// The members at that index.
    pub members: MemberSet,
    /// The encoded state machine.
    pub state: Bytes,
}

/// Everything that a member loads from its disk at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredLog {
    /// The term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Option<LogSnapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
}
