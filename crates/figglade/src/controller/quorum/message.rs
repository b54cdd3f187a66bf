//! Messages between members.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    Timestamp,
    controller::quorum::{LogEntry, LogIndex, MemberSet, StorageId, Term},
};

/// Message from one member to another; later releases may add fields.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuorumMessage {
    /// The term of the sender.
    pub term: Term,
    /// The peer address of the sender, so that an instance without a member set can answer.
    pub peer: SocketAddr,
    /// The storage identity of the sender.
    pub storage: StorageId,
    /// The storage that the sender has recorded for the receiver.
    #[serde(default)]
    pub expected_storage: Option<StorageId>,
    /// The body.
    pub body: MessageBody,
}

/// Body of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would grant a vote.
    PreVote(VoteRequest),
    /// Answers a pre-vote request.
    PreVoteAnswer(VoteAnswer),
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answers a vote request.
    VoteAnswer(VoteAnswer),
    /// Replicates entries; without entries it is a heartbeat.
    Append(AppendRequest),
    /// Answers an append, or the last chunk of a snapshot.
    AppendAnswer(AppendAnswer),
    /// Sends a chunk of a snapshot.
    Snapshot(SnapshotChunk),
    /// Answers a chunk of a snapshot other than the last.
    SnapshotAnswer(SnapshotAnswer),
    /// Asks the receiver to start an election at once.
    TimeoutNow,
}

/// Request for a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term the candidate wants to lead.
    pub next_term: Term,
    /// The last index of the candidate's log.
    pub last_index: LogIndex,
    /// The term of that index.
    pub last_term: Term,
    /// Whether the leader asked for this election. Voters then may grant their votes although they
    /// are in contact with the leader.
    #[serde(default)]
    pub is_transfer: bool,
}

/// Answer to a request for a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoteAnswer {
    /// The term of the request.
    pub next_term: Term,
    /// Whether the vote is granted.
    pub is_granted: bool,
}

/// Identifies a round of messages within a leader's term; the receiver echoes it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RoundStamp {
    /// The number of the round.
    pub round: u64,
    /// The time on the leader's clock when the message was created.
    pub sent_at: Timestamp,
}

/// Request to append entries to the log of a follower.
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

/// Answer to an append request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// The round of the request.
    pub stamp: RoundStamp,
    /// The result.
    pub outcome: AppendOutcome,
}

/// Result of an append request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The follower's log matches the leader's and is durable up to an index.
    Accepted {
        /// That index.
        match_index: LogIndex,
    },
    /// The follower's log lacks the previous entry of the request.
    Rejected {
        /// The previous index of the request.
        prev_index: LogIndex,
        /// The last index at which the logs may match.
        hint_index: LogIndex,
        /// The term of that index at the follower.
        hint_term: Term,
    },
}

/// One chunk of a snapshot.
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
    /// The offset of the chunk in the state, in bytes.
    pub offset: u64,
    /// The bytes of the chunk.
    pub data: Bytes,
}

/// Answer to a chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotAnswer {
    /// The round of the request.
    pub stamp: RoundStamp,
    /// The last index covered by the snapshot.
    pub last_index: LogIndex,
    /// The number of bytes received from the start without a gap.
    pub received_bytes: u64,
}
