//! The mapping from requests to claim groups.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

use crate::RequestId;

/// The number of virtual buckets that requests are hashed to. It must never change, because it
/// determines which bucket a request belongs to.
pub const CLAIM_BUCKETS: u16 = 4_096;

/// The number of a quorum group that stores claims, from zero.
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
pub struct ClaimGroup(u16);

impl ClaimGroup {
    /// Wraps a plain number.
    pub const fn new(value: u16) -> Self {
        Self(value)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u16 {
        self.0
    }
}

/// The number of a virtual bucket, below [`CLAIM_BUCKETS`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimBucket(u16);

impl ClaimBucket {
    /// Returns the bucket that a request hashes to.
    pub fn of_request(request: RequestId) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(request.as_bytes());
        Self((hash % u64::from(CLAIM_BUCKETS)) as u16)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u16 {
        self.0
    }
}

/// The move of one bucket to another group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketMove {
    /// The bucket.
    pub bucket: ClaimBucket,
    /// The present owner.
    pub from: ClaimGroup,
    /// The new owner.
    pub to: ClaimGroup,
}

/// The assignment of buckets to groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimBuckets {
    /// The owner of each bucket, by bucket number.
    owners: Vec<ClaimGroup>,
    /// The number of moves so far. A request carries the token it was mapped with, and a group
    /// rejects a token that is lower than one it has seen.
    fencing_token: u64,
}

impl Default for ClaimBuckets {
    fn default() -> Self {
        Self { owners: vec![ClaimGroup::default(); usize::from(CLAIM_BUCKETS)], fencing_token: 0 }
    }
}

impl ClaimBuckets {
    /// Returns the group that stores the claim of `request`.
    pub fn group_of(&self, request: RequestId) -> ClaimGroup {
        self.owner_of(ClaimBucket::of_request(request))
    }

    /// Returns the group that owns `bucket`.
    pub fn owner_of(&self, bucket: ClaimBucket) -> ClaimGroup {
        self.owners[usize::from(bucket.get())]
    }

    /// Returns the fencing token: the number of moves so far.
    pub const fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Returns a minimal list of moves after which `groups` groups own the same number of buckets,
    /// with a difference of at most one.
    ///
    /// # Panics
    ///
    /// Panics when `groups` is zero or more than [`CLAIM_BUCKETS`].
    pub fn plan_moves(&self, groups: u16) -> Vec<BucketMove> {
        assert!((1..=CLAIM_BUCKETS).contains(&groups), "groups must be from 1 to {CLAIM_BUCKETS}");
        let mut quotas = self.bucket_quotas(groups);
        let mut moves = Vec::new();
        for bucket in (0..CLAIM_BUCKETS).map(ClaimBucket) {
            let from = self.owner_of(bucket);
            if let Some(remaining) = quotas.get_mut(usize::from(from.get()))
                && *remaining > 0
            {
                *remaining -= 1;
                continue;
            }
            moves.push(BucketMove { bucket, from, to: from });
        }
        let mut new_owners = quotas.iter().enumerate().flat_map(|(group, remaining)| {
            std::iter::repeat_n(ClaimGroup(group as u16), usize::from(*remaining))
        });
        for planned in &mut moves {
            planned.to = new_owners.next().unwrap_or(planned.from);
        }
        moves
    }

    /// Returns how many buckets each of `groups` groups must own. The remainder of the division
    /// goes to the groups that own the most buckets now, which saves moves.
    fn bucket_quotas(&self, groups: u16) -> Vec<u16> {
        let mut owned = vec![0_u16; usize::from(groups)];
        for owner in &self.owners {
            if let Some(count) = owned.get_mut(usize::from(owner.get())) {
                *count += 1;
            }
        }
        let mut by_owned: Vec<usize> = (0..usize::from(groups)).collect();
        by_owned.sort_by_key(|group| std::cmp::Reverse(owned[*group]));
        let mut quotas = vec![CLAIM_BUCKETS / groups; usize::from(groups)];
        for group in by_owned.into_iter().take(usize::from(CLAIM_BUCKETS % groups)) {
            quotas[group] += 1;
        }
        quotas
    }

    /// Assigns a bucket to its new owner. Must be called only after the old owner has stopped
    /// accepting requests for the bucket and the new owner holds its claims. Returns `false`
    /// without effect if the bucket no longer belongs to the old owner.
    pub fn apply_move(&mut self, planned: BucketMove) -> bool {
        let owner = &mut self.owners[usize::from(planned.bucket.get())];
        if *owner != planned.from {
            return false;
        }
        *owner = planned.to;
        self.fencing_token += 1;
        true
    }
}
