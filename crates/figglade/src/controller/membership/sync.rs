//! Anti-entropy between two tables: compares digests and exchanges only the leaves that differ.
//!
//! The initiator sends the digests of its buckets, the responder answers with the leaves of the
//! buckets that differ, and the initiator then walks the differing leaves in bounded steps. Each
//! step carries the records of the initiator; the answer brings only the records that the
//! initiator lacks or holds in an older version.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::digest::{DigestTree, LeafId};
use crate::Timestamp;

/// The time without an answer after which a session is given up.
pub const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// The most bytes of records in one message, exceeded only by a single leaf.
const PAGE_BYTES: usize = 32 * 1_024;

/// The most leaves in one step.
const PAGE_LEAVES: usize = 512;

/// A record that anti-entropy can exchange.
pub trait SyncRecord: Clone {
    /// Returns the key of the record.
    fn key(&self) -> u64;

    /// Returns the digest of this version of the record.
    fn digest(&self) -> u64;

    /// Returns about how many bytes the record takes in a message.
    fn encoded_bytes(&self) -> usize;
}

/// A table that anti-entropy can compare with another.
pub trait SyncTable {
    /// What the table holds.
    type Record: SyncRecord;

    /// Returns the digests of the table.
    fn digests(&self) -> &DigestTree;

    /// Returns the records of one leaf that take part in the digests.
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
        /// The session, chosen by the initiator.
        #[serde(rename = "s")]
        session: u32,
        /// The digests of the buckets.
        #[serde(rename = "b")]
        buckets: Vec<u64>,
    },
    /// Answers with the leaves of the buckets that differ.
    #[serde(rename = "L")]
    Leaves {
        /// The session.
        #[serde(rename = "s")]
        session: u32,
        /// Whether the responder has itself loaded the table from the fleet.
        #[serde(rename = "f")]
        settled: bool,
        /// The leaves of each bucket that differs.
        #[serde(rename = "b")]
        buckets: Vec<BucketLeaves>,
    },
    /// Sends the initiator's records of some leaves and asks for the responder's.
    #[serde(rename = "E")]
    Exchange {
        /// The session.
        #[serde(rename = "s")]
        session: u32,
        /// The step of the session, repeated in the answer.
        #[serde(rename = "t")]
        step: u32,
        /// The leaves asked for.
        #[serde(rename = "l")]
        leaves: Vec<LeafId>,
        /// The initiator's records of those leaves.
        #[serde(rename = "r")]
        records: Vec<R>,
    },
    /// Answers with the records that the initiator lacks.
    #[serde(rename = "R")]
    Records {
        /// The session.
        #[serde(rename = "s")]
        session: u32,
        /// The step answered; a copy of an earlier answer is ignored.
        #[serde(rename = "t")]
        step: u32,
        /// How many of the leaves asked for were answered.
        #[serde(rename = "n")]
        answered: u32,
        /// The records.
        #[serde(rename = "r")]
        records: Vec<R>,
    },
}

/// Answers the start of a session.
pub fn answer_start<T: SyncTable>(
    table: &T,
    session: u32,
    buckets: &[u64],
    settled: bool,
) -> SyncMessage<T::Record> {
    let tree = table.digests();
    let buckets = tree
        .differing_buckets(buckets)
        .into_iter()
        .map(|bucket| BucketLeaves { bucket: bucket as u8, leaves: tree.leaves(bucket).to_vec() })
        .collect();
    SyncMessage::Leaves { session, settled, buckets }
}

/// Answers an exchange, after the records of the initiator were merged into `table`.
///
/// `sent` holds the digest of each record that the initiator sent, by key.
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
    for leaf in leaves.iter().take(PAGE_LEAVES) {
        let lacking: Vec<_> = table
            .records_in(*leaf)
            .into_iter()
            .filter(|record| sent.get(&record.key()) != Some(&record.digest()))
            .collect();
        let size: usize = lacking.iter().map(SyncRecord::encoded_bytes).sum();
        if answered > 0 && used + size > PAGE_BYTES {
            break;
        }
        used += size;
        answered += 1;
        records.extend(lacking);
    }
    SyncMessage::Records { session, step, answered, records }
}

/// Returns the digests of `records` by key.
pub fn index_digests<R: SyncRecord>(records: &[R]) -> BTreeMap<u64, u64> {
    records.iter().map(|record| (record.key(), record.digest())).collect()
}

/// What a session does after an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum SyncStep<R> {
    /// The next message to the peer.
    Continue(SyncMessage<R>),
    /// Every differing leaf was walked.
    Finished {
        /// Whether the peer had itself loaded the table from the fleet.
        settled: bool,
    },
}

/// The initiator's side of one session.
#[derive(Clone, Debug)]
pub struct SyncSession {
    session: u32,
    step: u32,
    peer: SocketAddr,
    deadline: Timestamp,
    settled: bool,
    pending: VecDeque<LeafId>,
}

impl SyncSession {
    /// Opens a session with the peer at `peer`.
    pub fn start<T: SyncTable>(
        table: &T,
        session: u32,
        peer: SocketAddr,
        now: Timestamp,
    ) -> (Self, SyncMessage<T::Record>) {
        let buckets = table.digests().buckets().to_vec();
        let deadline = now + SYNC_TIMEOUT;
        let opened =
            Self { session, step: 0, peer, deadline, settled: false, pending: VecDeque::new() };
        (opened, SyncMessage::Start { session, buckets })
    }

    /// Returns the point after which the session is given up.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Returns whether a message from `from` answers the last message of this session.
    ///
    /// The first message has step 0.
    pub fn awaits(&self, from: SocketAddr, session: u32, step: u32) -> bool {
        self.peer == from && self.session == session && self.step == step
    }

    /// Takes the leaves of the peer and returns the first step.
    pub fn handle_leaves<T: SyncTable>(
        &mut self,
        table: &T,
        settled: bool,
        buckets: &[BucketLeaves],
        now: Timestamp,
    ) -> SyncStep<T::Record> {
        self.settled = settled;
        let tree = table.digests();
        self.pending = buckets
            .iter()
            .flat_map(|entry| tree.differing_leaves(usize::from(entry.bucket), &entry.leaves))
            .collect();
        self.advance(table, now)
    }

    /// Takes an answer that covered `answered` leaves, after its records were merged.
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

    /// Returns the next step over the leaves that are left.
    fn advance<T: SyncTable>(&mut self, table: &T, now: Timestamp) -> SyncStep<T::Record> {
        if self.pending.is_empty() {
            return SyncStep::Finished { settled: self.settled };
        }
        self.step += 1;
        self.deadline = now + SYNC_TIMEOUT;
        let mut leaves = Vec::new();
        let mut records = Vec::new();
        let mut used = 0;
        for leaf in self.pending.iter().take(PAGE_LEAVES) {
            let held = table.records_in(*leaf);
            let size: usize = held.iter().map(SyncRecord::encoded_bytes).sum();
            if !leaves.is_empty() && used + size > PAGE_BYTES {
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
