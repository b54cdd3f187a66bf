//! Traits that the embedding program implements for I/O, and the types that they use.

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

/// The address of a target and the number of connections this instance may have to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEndpoint {
    /// The target.
    pub target: TargetId,
    /// The address of the target.
    pub address: SocketAddr,
    /// The number of connections this instance may have to the target at a time.
    pub connection_share: u32,
}

/// The reason why an attempt got no usable answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum AttemptError {
    /// No byte was sent: no connection was available.
    #[display("no connection to the target")]
    NotSent,
    /// The target shed the request (429); it did not run.
    #[display("target shed the request")]
    Shed,
    /// The target is draining (503); the request did not run.
    #[display("target is draining")]
    Draining,
    /// The target does not hold the pinned version (409).
    #[display("target does not hold the version")]
    VersionNotHeld,
    /// The answer belongs to another attempt, shard or version.
    #[display("answer does not match the attempt")]
    Mismatched,
    /// The answer cannot be parsed.
    #[display("answer is malformed")]
    Malformed,
    /// The answer exceeds the size limit.
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
    /// No answer arrived in time.
    #[display("no answer in time")]
    TimedOut,
}

impl AttemptError {
    /// Returns whether it is certain that the target did not run the request.
    pub const fn is_known_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Shed | Self::Draining)
    }
}

/// Sends requests to targets.
pub trait TargetClient: Send + Sync {
    /// Sends a search and waits up to `timeout` for the answer.
    fn search(
        &self,
        endpoint: &TargetEndpoint,
        call: SearchCall,
        timeout: Duration,
    ) -> BoxFuture<Result<SearchReply, AttemptError>>;

    /// Sends an action once and waits up to `timeout` for the answer.
    fn act(
        &self,
        endpoint: &TargetEndpoint,
        call: ActCall,
        timeout: Duration,
    ) -> BoxFuture<Result<ActReply, AttemptError>>;

    /// Asks the target to stop an attempt, without waiting for an answer.
    fn cancel(&self, endpoint: &TargetEndpoint, call: CancelCall);

    /// Keeps up to `connections` connections to the target open in advance, within its share.
    fn warm(&self, endpoint: &TargetEndpoint, connections: u32) {
        // By default a client has no connections to open.
        let _ = (endpoint, connections);
    }
}

/// Sends frames to other instances; a frame may be lost, delayed or duplicated.
pub trait PeerLink: Send + Sync {
    /// Queues a frame for the peer at `address`; drops it when the queue is full.
    fn send(&self, address: SocketAddr, frame: PeerFrame);
}

/// The reason why the log could not be read or written.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum LogStoreError {
    /// The operating system returned an error.
    #[display("{operation} {path}: {reason}")]
    Io {
        /// The attempted operation.
        operation: String,
        /// The file.
        path: String,
        /// The error of the operating system.
        reason: String,
    },
    /// A checksum does not match, and the damage is not a torn write at the end of the log.
    #[display("{path} is corrupt at byte {offset}: {reason}")]
    Corrupt {
        /// The file.
        path: String,
        /// The offset at which the damage starts, in bytes.
        offset: u64,
        /// The check that failed.
        reason: String,
    },
    /// The disk is full.
    #[display("no space left for {path}")]
    Full {
        /// The file.
        path: String,
    },
}

/// Stores the quorum log of one member; a call returns only after its effect is synced to disk.
pub trait LogStore: Send {
    /// Returns the identity generated when the data folder was first used.
    fn storage_id(&self) -> StorageId;

    /// Reads all synced data.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read, or is damaged other than by a torn write at its end.
    fn load(&mut self) -> Result<StoredLog, LogStoreError>;

    /// Removes all entries from the index of the first of `entries` on, appends `entries` and
    /// syncs.
    ///
    /// # Errors
    ///
    /// Fails if the entries are not durable; the caller must then stop participating in the group.
    fn append(&mut self, entries: &[LogEntry]) -> Result<(), LogStoreError>;

    /// Replaces the term and the vote and syncs.
    ///
    /// # Errors
    ///
    /// Fails if the state is not durable.
    fn save_hard_state(&mut self, state: &HardState) -> Result<(), LogStoreError>;

    /// Replaces the snapshot, removes the entries it covers and syncs. Entries after the snapshot
    /// are kept if they directly follow it.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot is not durable.
    fn save_snapshot(&mut self, snapshot: &LogSnapshot) -> Result<(), LogStoreError>;

    /// Returns the last stored index.
    fn last_index(&self) -> LogIndex;
}

/// The digest of the body of an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BodyDigest([u8; 32]);

impl BodyDigest {
    /// Computes the digest over the index, the key and the body, which identify an action.
    pub fn of_action(index: &crate::IndexName, key: &str, body: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [index.as_str(), key, body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self(*hasher.finalize().as_bytes())
    }
}

/// The recorded outcome of an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionRecord {
    /// The outcome of the action.
    pub outcome: ActionOutcome,
    /// The result of the target, as JSON text.
    #[serde(default)]
    pub result: Option<Bytes>,
    /// Why the action did not run or its outcome is unknown.
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
    /// The incarnation of that instance, to distinguish a restart from a resent claim.
    pub incarnation: crate::Incarnation,
    /// Distinguishes a resend of this claim, after a lost reply, from the claim of another copy of
    /// the request on the same instance; 0 means none.
    #[serde(default)]
    pub nonce: u64,
    /// The wall time of the claim.
    pub wall: WallTime,
}

/// The decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimDecision {
    /// The claim is durable on a quorum; the claimant may send the action once.
    Granted,
    /// The action already has an outcome.
    Recorded(ActionRecord),
    /// Another copy of the request holds the claim and has not finished.
    InProgress,
    /// The identifier was already used with another body.
    BodyMismatch,
    /// The identifier is older than the claim window or too far in the future.
    OutsideWindow,
}

/// The reason why a claim has no decision.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ClaimError {
    /// The claim was certainly never appended to the log and never will be.
    #[display("no quorum of control members is reachable")]
    NotProposed,
    /// The claim may have been accepted.
    #[display("the claim was sent but its decision is not known")]
    Undecided,
}

/// Durably grants claims and records outcomes.
pub trait ClaimStore: Send + Sync {
    /// Claims the right to run an action.
    fn begin_claim(&self, claim: ClaimRequest) -> BoxFuture<Result<ClaimDecision, ClaimError>>;

    /// Records the outcome of an action whose claim was granted to this copy of the request.
    fn finish_claim(
        &self,
        request: RequestId,
        digest: BodyDigest,
        record: ActionRecord,
    ) -> BoxFuture<Result<(), ClaimError>>;

    /// Records that an unclaimed action will never run. Fails while another copy of the request
    /// holds the claim, even one on this instance.
    fn refuse_claim(
        &self,
        request: RequestId,
        digest: BodyDigest,
        reason: String,
    ) -> BoxFuture<Result<(), ClaimError>>;
}
