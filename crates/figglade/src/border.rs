//! Traits that the outside world implements, and the types that cross them.

use std::{future::Future, net::SocketAddr, pin::Pin, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    InstanceId, RequestId, TargetId, WallTime,
    controller::quorum::{HardState, LogEntry, LogIndex, LogSnapshot, StorageId, StoredLog},
    peer::PeerFrame,
    wire::{ActCall, ActReply, ActionOutcome, CancelCall, SearchCall, SearchReply},
};

/// A boxed future that can move between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send + 'static>>;

/// Where a target listens and how many connections this instance may hold to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEndpoint {
    /// The target.
    pub target: TargetId,
    /// The address of the target.
    pub address: SocketAddr,
    /// The connections this instance may hold to the target at a time.
    pub connection_share: u32,
}

/// The reason an attempt brought no usable answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum AttemptError {
    /// No byte was sent: no connection could be had.
    #[display("no connection to the target")]
    NotSent,
    /// The target shed the request (429); it did not run.
    #[display("target shed the request")]
    Shed,
    /// The target is draining (503); the request did not run.
    #[display("target is draining")]
    Draining,
    /// The target does not hold the version (409).
    #[display("target does not hold the version")]
    VersionNotHeld,
    /// The answer belongs to another attempt, shard or version.
    #[display("answer does not match the attempt")]
    Mismatched,
    /// The answer could not be parsed.
    #[display("answer is malformed")]
    Malformed,
    /// The answer was larger than allowed.
    #[display("answer is too large")]
    Oversized,
    /// The target answered with another status.
    #[display("target answered with status {status}")]
    #[error(ignore)]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The connection was lost after the first byte was sent.
    #[display("connection was lost")]
    Lost,
    /// No answer came in time.
    #[display("no answer in time")]
    TimedOut,
}

impl AttemptError {
    /// Returns whether the request surely did not run at the target.
    pub const fn is_surely_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Shed | Self::Draining)
    }
}

/// Sends requests to targets.
pub trait TargetClient: Send + Sync {
    /// Sends a search and waits at most `timeout` for the answer.
    fn search(
        &self,
        endpoint: &TargetEndpoint,
        call: SearchCall,
        timeout: Duration,
    ) -> BoxFuture<Result<SearchReply, AttemptError>>;

    /// Sends an action once and waits at most `timeout` for the answer.
    fn act(
        &self,
        endpoint: &TargetEndpoint,
        call: ActCall,
        timeout: Duration,
    ) -> BoxFuture<Result<ActReply, AttemptError>>;

    /// Asks the target to stop an attempt; nothing waits for the answer.
    fn cancel(&self, endpoint: &TargetEndpoint, call: CancelCall);

    /// Keeps `connections` to the target open ahead of requests, as far as its share allows.
    fn warm(&self, endpoint: &TargetEndpoint, connections: u32) {
        // A client without connections has nothing to open.
        let _ = (endpoint, connections);
    }
}

/// Sends frames to other instances; a frame may be lost, delayed or doubled.
pub trait PeerLink: Send + Sync {
    /// Queues a frame for the peer at `address`; drops it when the queue is full.
    fn send(&self, address: SocketAddr, frame: PeerFrame);
}

/// The reason the log could not be read or written.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum LogStoreError {
    /// The operating system refused.
    #[display("{operation} {path}: {reason}")]
    Io {
        /// What was tried.
        operation: String,
        /// The file.
        path: String,
        /// What the system said.
        reason: String,
    },
    /// A checksum did not match before the torn tail.
    #[display("{path} is corrupt at byte {offset}: {reason}")]
    Corrupt {
        /// The file.
        path: String,
        /// Where the damage starts, in bytes.
        offset: u64,
        /// What did not match.
        reason: String,
    },
    /// The disk is full.
    #[display("no space left for {path}")]
    Full {
        /// The file.
        path: String,
    },
}

/// Keeps the quorum log of one member; a call returns only once its effect is synced.
pub trait LogStore: Send {
    /// Returns the identity made when the data folder was first used.
    fn storage_id(&self) -> StorageId;

    /// Reads everything that was synced.
    ///
    /// # Errors
    ///
    /// Fails when a file is damaged other than by a torn tail, or cannot be read.
    fn load(&mut self) -> Result<StoredLog, LogStoreError>;

    /// Drops every entry from the first of `entries` on, appends `entries` and syncs.
    ///
    /// # Errors
    ///
    /// Fails when the entries are not durable; the caller must then stop taking part.
    fn append(&mut self, entries: &[LogEntry]) -> Result<(), LogStoreError>;

    /// Replaces the term and the vote and syncs.
    ///
    /// # Errors
    ///
    /// Fails when the state is not durable.
    fn save_hard_state(&mut self, state: &HardState) -> Result<(), LogStoreError>;

    /// Replaces the snapshot, drops the entries it covers and syncs. Entries after the snapshot
    /// stay when they follow on from it.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot is not durable.
    fn save_snapshot(&mut self, snapshot: &LogSnapshot) -> Result<(), LogStoreError>;

    /// Returns the last index held.
    fn last_index(&self) -> LogIndex;
}

/// The digest of the body of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BodyDigest([u8; 32]);

impl BodyDigest {
    /// Digests everything that tells one action from another.
    pub fn of_action(index: &crate::IndexName, key: &str, body: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [index.as_str(), key, body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self(*hasher.finalize().as_bytes())
    }
}

/// The recorded end of an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionRecord {
    /// What became of the action.
    pub outcome: ActionOutcome,
    /// The result of the target, as JSON text.
    #[serde(default)]
    pub result: Option<Bytes>,
    /// Why the action did not run or is unknown.
    #[serde(default)]
    pub reason: Option<String>,
}

/// A claim on the right to run an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The request.
    pub request: RequestId,
    /// The digest of its body.
    pub digest: BodyDigest,
    /// The instance that wants to run it.
    pub instance: InstanceId,
    /// The incarnation of that instance, so that a restart is told from a resend.
    pub incarnation: crate::Incarnation,
    /// Tells this sending from another one at the same instance, so that its claim can be proposed
    /// again when an answer was lost; 0 stands for none.
    #[serde(default)]
    pub nonce: u64,
    /// The wall time of the claim.
    pub wall: WallTime,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimDecision {
    /// The claim is durable on a quorum; the claimant may send the action once.
    Granted,
    /// The action ended before.
    Recorded(ActionRecord),
    /// Another sending holds the claim and has not ended.
    InProgress,
    /// The identifier was used with another body.
    BodyMismatch,
    /// The identifier is older than the claim window or too far in the future.
    OutsideWindow,
}

/// The reason a claim has no decision.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ClaimError {
    /// The claim surely never reached the log and never will.
    #[display("no quorum of control members is reachable")]
    NotProposed,
    /// The claim may have been accepted.
    #[display("the claim was sent but its decision is not known")]
    Undecided,
}

/// Grants claims and records outcomes durably.
pub trait ClaimStore: Send + Sync {
    /// Claims the right to run an action.
    fn begin_claim(&self, claim: ClaimRequest) -> BoxFuture<Result<ClaimDecision, ClaimError>>;

    /// Records the end of an action whose claim was granted to this sending.
    fn finish_claim(
        &self,
        request: RequestId,
        digest: BodyDigest,
        record: ActionRecord,
    ) -> BoxFuture<Result<(), ClaimError>>;

    /// Records that an action that nobody claimed will never run. It fails while another sending
    /// holds the claim, even at this instance.
    fn refuse_claim(
        &self,
        request: RequestId,
        digest: BodyDigest,
        reason: String,
    ) -> BoxFuture<Result<(), ClaimError>>;
}
