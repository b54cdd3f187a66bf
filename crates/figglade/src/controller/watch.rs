//! Assignment of targets to the instances that watch them.
//!
//! Rendezvous hashing ranks all members for each target by a hash of the pair. Every instance that
//! knows the same members therefore chooses the same watchers, and a member that joins or leaves
//! only reassigns the targets that it gains or watched.

use xxhash_rust::xxh3::xxh3_64;

use crate::{InstanceId, TargetId, controller::membership::digest::hash_key};

/// The number of instances that watch each target.
pub const WATCHERS_PER_TARGET: usize = 2;

/// Returns the rank of the member with hash `member` for the target with `key`; the members with
/// the highest ranks watch the target.
pub fn rank_member(member: u64, key: u64) -> u64 {
    let mut pair = [0; 16];
    pair[..8].copy_from_slice(&member.to_le_bytes());
    pair[8..].copy_from_slice(&key.to_le_bytes());
    xxh3_64(&pair)
}

/// Returns the `count` members that watch `target`, the highest rank first.
pub fn watchers_of<'a>(
    target: &TargetId,
    members: impl IntoIterator<Item = &'a InstanceId>,
    count: usize,
) -> Vec<InstanceId> {
    let ranking = WatcherRanking::new(members.into_iter().cloned());
    ranking.top(hash_key(target.as_str()), count).cloned().collect()
}

/// The members of the fleet with their precomputed hashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatcherRanking {
    members: Vec<(u64, InstanceId)>,
}

impl WatcherRanking {
    /// Creates the ranking of `members`; their order does not matter.
    pub fn new(members: impl IntoIterator<Item = InstanceId>) -> Self {
        let mut members: Vec<_> =
            members.into_iter().map(|id| (hash_key(id.as_str()), id)).collect();
        members.sort_unstable();
        members.dedup();
        Self { members }
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the `count` members with the highest ranks for the target with `key`, in descending
    /// order.
    pub fn top(&self, key: u64, count: usize) -> impl Iterator<Item = &InstanceId> {
        let mut best: Vec<(u64, usize)> = Vec::with_capacity(count + 1);
        for (position, (hash, _)) in self.members.iter().enumerate() {
            let rank = rank_member(*hash, key);
            let place = best.partition_point(|(held, _)| *held > rank);
            if place < count {
                best.insert(place, (rank, position));
                best.truncate(count);
            }
        }
        best.into_iter().map(|(_, position)| &self.members[position].1)
    }

    /// Returns whether `member` is among the `count` highest-ranked members for the target with
    /// `key`.
    pub fn is_watcher(&self, member: &InstanceId, key: u64, count: usize) -> bool {
        self.top(key, count).any(|id| id == member)
    }
}
