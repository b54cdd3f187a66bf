//! The mapping from requests to claim groups.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

use crate::RequestId;

/// The virtual buckets that requests hash to; the number is fixed for ever.
pub const CLAIM_BUCKETS: u16 = 4_096;

/// Numbers a quorum group that keeps claims, from zero.
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

/// Numbers a virtual bucket, below [`CLAIM_BUCKETS`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimBucket(u16);

impl ClaimBucket {
    /// Returns the bucket of a request.
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
    /// The group that owns it.
    pub from: ClaimGroup,
    /// The group that shall own it.
    pub to: ClaimGroup,
}

/// Which group owns each bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimBuckets {
    /// The owner of each bucket.
    owners: Vec<ClaimGroup>,
    /// Counts the moves; a request names the fence it was mapped with, and a group refuses an older
    /// one than it has seen.
    fence: u64,
}

impl Default for ClaimBuckets {
    fn default() -> Self {
        Self { owners: vec![ClaimGroup::default(); usize::from(CLAIM_BUCKETS)], fence: 0 }
    }
}

impl ClaimBuckets {
    /// Returns the group that keeps the claim of `request`.
    pub fn group_of(&self, request: RequestId) -> ClaimGroup {
        self.owner_of(ClaimBucket::of_request(request))
    }

    /// Returns the group that owns `bucket`.
    pub fn owner_of(&self, bucket: ClaimBucket) -> ClaimGroup {
        self.owners[usize::from(bucket.get())]
    }

    /// Returns the number of moves so far.
    pub const fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns the fewest moves after which `groups` groups own the same number of buckets, give or
    /// take one.
    ///
    /// # Panics
    ///
    /// Panics when `groups` is zero or more than [`CLAIM_BUCKETS`].
    pub fn plan_moves(&self, groups: u16) -> Vec<BucketMove> {
        assert!((1..=CLAIM_BUCKETS).contains(&groups), "groups must be from 1 to {CLAIM_BUCKETS}");
        let mut room = self.free_room(groups);
        let mut moves = Vec::new();
        for bucket in (0..CLAIM_BUCKETS).map(ClaimBucket) {
            let from = self.owner_of(bucket);
            if let Some(free) = room.get_mut(usize::from(from.get()))
                && *free > 0
            {
                *free -= 1;
                continue;
            }
            moves.push(BucketMove { bucket, from, to: from });
        }
        let mut targets = room.iter().enumerate().flat_map(|(group, free)| {
            std::iter::repeat_n(ClaimGroup(group as u16), usize::from(*free))
        });
        for planned in &mut moves {
            planned.to = targets.next().unwrap_or(planned.from);
        }
        moves
    }

    /// Returns how many buckets each of `groups` groups shall own. The groups that own most today
    /// take the odd ones, which saves moves.
    fn free_room(&self, groups: u16) -> Vec<u16> {
        let mut owned = vec![0_u16; usize::from(groups)];
        for owner in &self.owners {
            if let Some(count) = owned.get_mut(usize::from(owner.get())) {
                *count += 1;
            }
        }
        let mut by_owned: Vec<usize> = (0..usize::from(groups)).collect();
        by_owned.sort_by_key(|group| std::cmp::Reverse(owned[*group]));
        let mut room = vec![CLAIM_BUCKETS / groups; usize::from(groups)];
        for group in by_owned.into_iter().take(usize::from(CLAIM_BUCKETS % groups)) {
            room[group] += 1;
        }
        room
    }

    /// Hands a bucket over once its old owner refuses it and the new one holds its claims. Returns
    /// whether the old owner was still the owner.
    pub fn apply_move(&mut self, planned: BucketMove) -> bool {
        let owner = &mut self.owners[usize::from(planned.bucket.get())];
        if *owner != planned.from {
            return false;
        }
        *owner = planned.to;
        self.fence += 1;
        true
    }
}
