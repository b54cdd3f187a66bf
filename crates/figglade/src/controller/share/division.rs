//! Divides a connection cap among the holders of an epoch.

use std::collections::BTreeSet;

use super::types::{HolderSet, MIN_RESERVED_CAP};
use crate::{
    InstanceId, TargetId,
    controller::{membership::digest::hash_key, watch::rank_member},
};

/// Returns the share of `instance` in the cap of `target` under `set`, including its reserved
/// connection.
///
/// Each reserved instance gets one connection, and the rest of the cap is divided among the
/// holders. The shares of all instances add up to at most `cap`. Caps below [`MIN_RESERVED_CAP`]
/// have no reserved connections.
pub fn total_share(cap: u32, target: &TargetId, set: &HolderSet, instance: &InstanceId) -> u32 {
    let reserved = if cap >= MIN_RESERVED_CAP { set.reserved.len() as u32 } else { 0 };
    let divided = divided_share(cap.saturating_sub(reserved), target, &set.holders, instance);
    divided + reserved_share(cap, set, instance)
}

/// Returns the number of connections that `instance` may keep without a lease under `set`.
pub fn reserved_share(cap: u32, set: &HolderSet, instance: &InstanceId) -> u32 {
    u32::from(cap >= MIN_RESERVED_CAP && set.reserved.contains(instance))
}

/// Returns the share of `instance` in the cap of `target`; the shares of all holders add up to
/// `cap`.
///
/// Each holder gets the same number of connections. The remainder goes, one connection each, to the
/// holders that rendezvous hashing ranks best for the target.
pub fn divided_share(
    cap: u32,
    target: &TargetId,
    holders: &BTreeSet<InstanceId>,
    instance: &InstanceId,
) -> u32 {
    if !holders.contains(instance) {
        return 0;
    }
    let count = holders.len() as u64;
    let quotient = u64::from(cap) / count;
    let remainder = u64::from(cap) % count;
    let key = hash_key(target.as_str());
    let rank = |id: &InstanceId| rank_member(hash_key(id.as_str()), key);
    let own = (rank(instance), instance);
    let better = holders.iter().filter(|id| (rank(id), *id) > own).count() as u64;
    (quotient + u64::from(better < remainder)) as u32
}
