//! Two-level digests of a keyed table, which anti-entropy compares to find the records that differ.

use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of buckets in a digest tree.
pub const BUCKETS: usize = 64;

/// The number of leaves in one bucket.
pub const LEAVES_PER_BUCKET: usize = 64;

/// The number of high-order bits of a key that select its leaf.
const LEAF_BITS: u32 = 12;

/// Returns the hash that serves as the table key of a textual identifier.
pub fn hash_key(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Returns the digest of a record, computed from its key and the numbers that order its versions.
pub fn digest_record(key: u64, order: &[u64]) -> u64 {
    let mut bytes = Vec::with_capacity(order.len() * 8);
    for number in order {
        bytes.extend_from_slice(&number.to_le_bytes());
    }
    xxh3_64_with_seed(&bytes, key)
}

/// The number of a leaf within a digest tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeafId(u16);

impl LeafId {
    /// Returns the leaf that holds `key`.
    pub const fn of_key(key: u64) -> Self {
        Self((key >> (u64::BITS - LEAF_BITS)) as u16)
    }

    /// Returns the leaf at `position` in `bucket`, or `None` if either is out of range.
    pub const fn at(bucket: usize, position: usize) -> Option<Self> {
        if bucket >= BUCKETS || position >= LEAVES_PER_BUCKET {
            return None;
        }
        Some(Self((bucket * LEAVES_PER_BUCKET + position) as u16))
    }

    /// Returns the position of the leaf in the tree.
    ///
    /// The result is always below the number of leaves, also for an identifier that a peer sent.
    const fn position(self) -> usize {
        self.0 as usize % (BUCKETS * LEAVES_PER_BUCKET)
    }

    /// Returns the range of keys that the leaf covers.
    pub const fn keys(self) -> RangeInclusive<u64> {
        let first = (self.position() as u64) << (u64::BITS - LEAF_BITS);
        first..=first | (u64::MAX >> LEAF_BITS)
    }
}

/// The digests of a table in two levels: buckets, and the leaves within each bucket.
///
/// Record digests are combined by XOR, so [`Self::toggle`] both adds and removes a record.
#[derive(Clone, Debug)]
pub struct DigestTree {
    buckets: Vec<u64>,
    leaves: Vec<u32>,
}

impl Default for DigestTree {
    fn default() -> Self {
        Self { buckets: vec![0; BUCKETS], leaves: vec![0; BUCKETS * LEAVES_PER_BUCKET] }
    }
}

impl DigestTree {
    /// Adds the digest of a record, or removes it if it was added before.
    pub fn toggle(&mut self, key: u64, digest: u64) {
        let leaf = LeafId::of_key(key).position();
        self.buckets[leaf / LEAVES_PER_BUCKET] ^= digest;
        self.leaves[leaf] ^= (digest ^ (digest >> 32)) as u32;
    }

    /// Returns the digests of the buckets.
    pub fn buckets(&self) -> &[u64] {
        &self.buckets
    }

    /// Returns the digests of the leaves of `bucket`.
    ///
    /// # Panics
    ///
    /// Panics when `bucket` is not below [`BUCKETS`].
    pub fn leaves(&self, bucket: usize) -> &[u32] {
        let first = bucket * LEAVES_PER_BUCKET;
        &self.leaves[first..first + LEAVES_PER_BUCKET]
    }

    /// Returns the buckets whose digests differ from those of the peer.
    pub fn differing_buckets(&self, theirs: &[u64]) -> Vec<usize> {
        let differs = |bucket: &usize| theirs.get(*bucket) != Some(&self.buckets[*bucket]);
        (0..BUCKETS).filter(differs).collect()
    }

    /// Returns the leaves of `bucket` whose digests differ from those of the peer.
    pub fn differing_leaves(&self, bucket: usize, theirs: &[u32]) -> Vec<LeafId> {
        if bucket >= BUCKETS {
            return Vec::new();
        }
        let own = self.leaves(bucket);
        (0..LEAVES_PER_BUCKET)
            .filter(|position| theirs.get(*position) != Some(&own[*position]))
            .filter_map(|position| LeafId::at(bucket, position))
            .collect()
    }
}
