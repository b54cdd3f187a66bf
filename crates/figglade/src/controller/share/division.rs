//! Division of a cap among the holders of an epoch.

use std::collections::BTreeSet;

use super::types::{HolderSet, MIN_RESERVED_CAP};
use crate::{
    InstanceId, TargetId,
    controller::{membership::digest::hash_key, watch::rank_member},
};

/// Returns the share of `me` in the cap of `target` under `set`.
///
/// Each instance with a reserved connection gets that one, and the rest is divided among the
/// holders. Both together add up to at most `cap`. Small caps have no reserved connections.
pub fn total_share(cap: u32, target: &TargetId, set: &HolderSet, me: &InstanceId) -> u32 {
    let reserved = if cap >= MIN_RESERVED_CAP { set.reserved.len() as u32 } else { 0 };
    let divided = divided_share(cap.saturating_sub(reserved), target, &set.holders, me);
    divided + reserved_share(cap, set, me)
}

/// Returns the connections that `me` keeps without a lease under `set`.
pub fn reserved_share(cap: u32, set: &HolderSet, me: &InstanceId) -> u32 {
    u32::from(cap >= MIN_RESERVED_CAP && set.reserved.contains(me))
}

/// Returns the share of `me` in the cap of `target`; the shares of all holders add up to `cap`.
///
/// Each holder gets the same number of connections, and what is left over goes to the holders that
/// rendezvous hashing ranks best for the target.
pub fn divided_share(
    cap: u32,
    target: &TargetId,
    holders: &BTreeSet<InstanceId>,
    me: &InstanceId,
) -> u32 {
    if !holders.contains(me) {
        return 0;
    }
    let count = holders.len() as u64;
    let even = u64::from(cap) / count;
    let left_over = u64::from(cap) % count;
    let key = hash_key(target.as_str());
    let rank = |id: &InstanceId| rank_member(hash_key(id.as_str()), key);
    let own = (rank(me), me);
    let better = holders.iter().filter(|id| (rank(id), *id) > own).count() as u64;
    (even + u64::from(better < left_over)) as u32
}
