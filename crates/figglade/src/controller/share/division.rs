//! Division of a cap among the holders of an epoch.

use std::collections::BTreeSet;

use crate::{
    InstanceId, TargetId,
    controller::{membership::digest::hash_key, watch::rank_member},
};

/// Returns the share of `me` in the cap of `target`; the shares of all holders add up to `cap`.
///
/// Each holder gets the same number of connections, and what is left over goes to the holders that
/// rendezvous hashing ranks best for the target.
pub fn share_of(
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
