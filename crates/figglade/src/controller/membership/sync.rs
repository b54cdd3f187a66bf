//! Anti-entropy between two tables: compares digests and exchanges only the leaves that differ.
//!
//! The initiator sends the digests of its buckets, the responder answers with the leaf digests of
//! the buckets that differ, and the initiator then exchanges the differing leaves in bounded steps.
//! Each step carries the initiator's records of some leaves; the answer carries only the records of
//! those leaves that the initiator did not send in the same version.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::digest::{DigestTree, LeafId};
use crate::Timestamp;

/// The time without an answer after which the initiator aborts a session.
pub const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of the records in one message; a single leaf may exceed it.
const MAX_PAGE_BYTES: usize = 32 * 1_024;

/// The maximum number of leaves in one step.
const MAX_PAGE_LEAVES: usize = 512;

/// A record that anti-entropy can exchange.
pub trait SyncRecord: Clone {
    /// Returns the key of the record.
    fn key(&self) -> u64;

    /// Returns the digest of this version of the record.
    fn digest(&self) -> u64;

    /// Returns the approximate encoded size of the record in a message.
    fn encoded_bytes(&self) -> usize;
}

/// A table that anti-entropy can compare with another.
pub trait SyncTable {
    /// The type of the records in the table.
    type Record: SyncRecord;

    /// Returns the digests of the table.
    fn digests(&self) -> &DigestTree;

    /// Returns the records of one leaf that are included in the digests.
    fn records_in(&self, leaf: LeafId) -> Vec<Self::Record>;
}

/// The digests of the leaves of one bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketLeaves {
    /// The bucket.
    #[serde(rename = "b")]
    pub bucket: u8,
    /// The digests of its leaves.
    #[serde(rename = "l")]
    pub leaves: Vec<u32>,
}

/// A message of anti-entropy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SyncMessage<R> {
    /// Opens a session with the digests of the initiator's buckets.
    #[serde(rename = "S")]
    Start {
        /// The session identifier, chosen by the initiator.
        #[serde(rename = "s")]
        session: u32,
        /// The digests of the buckets.
        #[serde(rename = "b")]
        buckets: Vec<u64>,
    },
    /// Answers with the leaf digests of the buckets that differ.
    #[serde(rename = "L")]
    Leaves {
        /// The session.
        #[serde(rename = "s")]
        session: u32,
        /// Whether the responder has itself loaded the table from the fleet, so that a complete
        /// session leaves the initiator with the whole table.
        #[serde(rename = "f")]
        synced: bool,
        /// The leaf digests of each bucket that differs.
        #[serde(rename = "b")]
        buckets: Vec<BucketLeaves>,
    },
    /// Sends the initiator's records of some leaves and asks for the responder's.
    #[serde(rename = "E")]
    Exchange {
        /// The session.
        #[serde(rename = "s")]
        session: u32,
        /// The step within the session, repeated in the answer.
        #[serde(rename = "t")]
        step: u32,
        /// The requested leaves.
        #[serde(rename = "l")]
        leaves: Vec<LeafId>,
        /// The initiator's records of those leaves.
        #[serde(rename = "r")]
        records: Vec<R>,
    },
    /// Answers with the records that the initiator is missing.
    #[serde(rename = "R")]
    Records {
        /// The session.
        #[serde(rename = "s")]
        session: u32,
        /// The step that is answered; the initiator ignores duplicates of earlier answers.
        #[serde(rename = "t")]
        step: u32,
        /// How many of the requested leaves this answer covers, counted from the first.
        #[serde(rename = "n")]
        answered: u32,
        /// The records.
        #[serde(rename = "r")]
        records: Vec<R>,
    },
}

/// Builds the answer to the start of a session.
pub fn answer_start<T: SyncTable>(
    table: &T,
    session: u32,
    buckets: &[u64],
    synced: bool,
) -> SyncMessage<T::Record> {
    let tree = table.digests();
    let buckets = tree
        .differing_buckets(buckets)
        .into_iter()
        .map(|bucket| BucketLeaves { bucket: bucket as u8, leaves: tree.leaves(bucket).to_vec() })
        .collect();
    SyncMessage::Leaves { session, synced, buckets }
}

/// Builds the answer to an exchange once the initiator's records are merged into `table`.
///
/// `sent` maps the key of each record that the initiator sent to its digest.
pub fn answer_exchange<T: SyncTable>(
    table: &T,
    session: u32,
    step: u32,
    leaves: &[LeafId],
    sent: &BTreeMap<u64, u64>,
) -> SyncMessage<T::Record> {
    let mut records = Vec::new();
    let mut used = 0;
    let mut answered = 0;
    for leaf in leaves.iter().take(MAX_PAGE_LEAVES) {
        let missing: Vec<_> = table
            .records_in(*leaf)
            .into_iter()
            .filter(|record| sent.get(&record.key()) != Some(&record.digest()))
            .collect();
        let size: usize = missing.iter().map(SyncRecord::encoded_bytes).sum();
        if answered > 0 && used + size > MAX_PAGE_BYTES {
            break;
        }
        used += size;
        answered += 1;
        records.extend(missing);
    }
    SyncMessage::Records { session, step, answered, records }
}

/// Returns the digests of `records` by key.
pub fn index_digests<R: SyncRecord>(records: &[R]) -> BTreeMap<u64, u64> {
    records.iter().map(|record| (record.key(), record.digest())).collect()
}

/// The next step of a session after an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum SyncStep<R> {
    /// The next message to the peer.
    Continue(SyncMessage<R>),
    /// Every differing leaf was exchanged.
    Finished {
        /// Whether the responder had itself loaded the table from the fleet.
        synced: bool,
    },
}

/// The initiator's side of one session.
#[derive(Clone, Debug)]
pub struct SyncSession {
    session: u32,
    step: u32,
    peer: SocketAddr,
    deadline: Timestamp,
    synced: bool,
    pending: VecDeque<LeafId>,
}

impl SyncSession {
    /// Starts a session with the instance at `peer` and returns its first message.
    pub fn start<T: SyncTable>(
        table: &T,
        session: u32,
        peer: SocketAddr,
        now: Timestamp,
    ) -> (Self, SyncMessage<T::Record>) {
        let buckets = table.digests().buckets().to_vec();
        let deadline = now + SYNC_TIMEOUT;
        let opened =
            Self { session, step: 0, peer, deadline, synced: false, pending: VecDeque::new() };
        (opened, SyncMessage::Start { session, buckets })
    }

    /// Returns the time at which the session is aborted unless the peer answers.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Returns whether a message from `from` answers the last message of this session.
    ///
    /// The answer to the start message has step 0.
    pub fn awaits(&self, from: SocketAddr, session: u32, step: u32) -> bool {
        self.peer == from && self.session == session && self.step == step
    }

    /// Handles the leaf digests of the peer and returns the first step.
    pub fn handle_leaves<T: SyncTable>(
        &mut self,
        table: &T,
        synced: bool,
        buckets: &[BucketLeaves],
        now: Timestamp,
    ) -> SyncStep<T::Record> {
        self.synced = synced;
        let tree = table.digests();
        self.pending = buckets
            .iter()
            .flat_map(|entry| tree.differing_leaves(usize::from(entry.bucket), &entry.leaves))
            .collect();
        self.advance(table, now)
    }

    /// Handles an answer that covered `answered` leaves, once its records are merged.
    pub fn handle_records<T: SyncTable>(
        &mut self,
        table: &T,
        answered: u32,
        now: Timestamp,
    ) -> SyncStep<T::Record> {
        let walked = (answered as usize).clamp(1, self.pending.len().max(1));
        self.pending.drain(..walked.min(self.pending.len()));
        self.advance(table, now)
    }

    /// Returns the next step over the remaining leaves.
    fn advance<T: SyncTable>(&mut self, table: &T, now: Timestamp) -> SyncStep<T::Record> {
        if self.pending.is_empty() {
            return SyncStep::Finished { synced: self.synced };
        }
        self.step += 1;
        self.deadline = now + SYNC_TIMEOUT;
        let mut leaves = Vec::new();
        let mut records = Vec::new();
        let mut used = 0;
        for leaf in self.pending.iter().take(MAX_PAGE_LEAVES) {
            let held = table.records_in(*leaf);
            let size: usize = held.iter().map(SyncRecord::encoded_bytes).sum();
            if !leaves.is_empty() && used + size > MAX_PAGE_BYTES {
                break;
            }
            used += size;
            leaves.push(*leaf);
            records.extend(held);
        }
        SyncStep::Continue(SyncMessage::Exchange {
            session: self.session,
            step: self.step,
            leaves,
            records,
        })
    }
}
