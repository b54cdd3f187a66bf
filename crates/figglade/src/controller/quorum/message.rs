//! Messages between members.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    Timestamp,
    controller::quorum::{LogEntry, LogIndex, MemberSet, StorageId, Term},
};

/// A message of one member to another; later releases may add fields.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuorumMessage {
    /// The term of the sender.
    pub term: Term,
    /// Where the sender listens for peers, so that an instance without members can answer.
    pub peer: SocketAddr,
    /// The storage of the sender.
    pub storage: StorageId,
    /// The storage that the sender has recorded for the receiver.
    #[serde(default)]
    pub expected_storage: Option<StorageId>,
    /// What is said.
    pub body: MessageBody,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether a vote would be given.
    PreVote(VoteRequest),
    /// Answers a pre-vote.
    PreVoteAnswer(VoteAnswer),
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answers a vote.
    VoteAnswer(VoteAnswer),
    /// Replicates entries; without entries a heartbeat.
    Append(AppendRequest),
    /// Answers an append, or the last chunk of a snapshot.
    AppendAnswer(AppendAnswer),
    /// Sends a part of a snapshot.
    Snapshot(SnapshotChunk),
    /// Answers a part of a snapshot that is not the last.
    SnapshotAnswer(SnapshotAnswer),
    /// Asks the receiver to start an election at once.
    TimeoutNow,
}

/// Asks for a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term the candidate wants to lead.
    pub next_term: Term,
    /// The last index of the candidate.
    pub last_index: LogIndex,
    /// The term of that index.
    pub last_term: Term,
    /// Whether the leader asked for the election, so that its being alive is no objection.
    #[serde(default)]
    pub is_transfer: bool,
}

/// Answers a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteAnswer {
    /// The term that was asked for.
    pub next_term: Term,
    /// Whether the vote is given.
    pub is_granted: bool,
}

/// Tells the rounds of one leadership apart; the receiver echoes it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RoundStamp {
    /// The number of the round.
    pub round: u64,
    /// The time at the leader when the message was made.
    pub sent_at: Timestamp,
}

/// Replicates entries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The round.
    pub stamp: RoundStamp,
    /// The index before the first entry.
    pub prev_index: LogIndex,
    /// The term of that index.
    pub prev_term: Term,
    /// The last committed index of the leader.
    pub commit: LogIndex,
    /// The entries.
    pub entries: Vec<LogEntry>,
}

/// Answers an append.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// The round of the request.
    pub stamp: RoundStamp,
    /// What became of it.
    pub outcome: AppendOutcome,
}

/// What became of an append.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The logs agree and are durable up to this index.
    Accepted {
        /// The index.
        match_index: LogIndex,
    },
    /// The log of the follower has no such previous entry.
    Rejected {
        /// The previous index of the request.
        prev_index: LogIndex,
        /// The last index at which the logs may agree.
        hint_index: LogIndex,
        /// The term of that index at the follower.
        hint_term: Term,
    },
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The round.
    pub stamp: RoundStamp,
    /// The last index covered.
    pub last_index: LogIndex,
    /// The term of that index.
    pub last_term: Term,
    /// The members at that index.
    pub members: MemberSet,
    /// The length of the whole state, in bytes.
    pub total_bytes: u64,
    /// Where the part starts, in bytes.
    pub offset: u64,
    /// The part.
    pub data: Bytes,
}

/// Answers a part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotAnswer {
    /// The round of the request.
    pub stamp: RoundStamp,
    /// The last index covered by the snapshot.
    pub last_index: LogIndex,
    /// The bytes received without a gap.
    pub received_bytes: u64,
}
