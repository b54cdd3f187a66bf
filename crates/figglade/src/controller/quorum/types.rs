//! Entries, terms and members of the quorum log.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

use crate::InstanceId;

/// Numbers the entries of the log, from 1; 0 stands before the first.
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

/// Numbers the leaderships; at most one leader a term.
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

/// Identifies a data folder; an emptied folder gets a new one, so that it cannot vote with amnesia.
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

/// What a member of the control group may do.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum MemberRole {
    /// Receives the log and does not vote.
    Learner,
    /// Votes and counts towards the quorum.
    Voter,
}

/// One member of the control group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberSpec {
    /// Where the member listens for peers.
    pub peer: SocketAddr,
    /// The storage the member was admitted with; `None` until it first reported one.
    pub storage: Option<StorageId>,
    /// What the member may do.
    pub role: MemberRole,
}

/// The members of the control group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberSet {
    /// The members by instance.
    pub members: BTreeMap<InstanceId, MemberSpec>,
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Nothing; a new leader commits one to learn what is committed.
    Noop,
    /// A command of the state machine, encoded.
    Command(Bytes),
    /// The members from here on.
    Members(MemberSet),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its index.
    pub index: LogIndex,
    /// The term of the leader that made it.
    pub term: Term,
    /// What it carries.
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

/// The state machine up to an index.
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

/// Everything a member finds on its disk at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredLog {
    /// The term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Option<LogSnapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
}
