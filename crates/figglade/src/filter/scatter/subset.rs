//! Plans the subset of the targets of a service that an instance keeps connections to.
//!
//! A target bounds the connections of all instances together. Where the bound is below the number of
//! instances, each instance keeps connections to a subset of the targets: those in its zone first,
//! then those that a stable hash of instance and target ranks first. The hash spreads the connections
//! evenly without coordination between the instances.

use crate::{
    InstanceId,
    filter::scatter::{InstanceShare, ReplicaSpec},
};

/// The fraction of the connections of a target that the instances divide among themselves. The rest
/// is left for connections that have been closed on one side only, and for those opened on demand.
pub(super) const PLANNED_SHARE: f64 = 0.95;

/// The connections of an instance to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionPlan {
    /// The connections that the instance may hold.
    pub limit: u32,
    /// Whether the target is in the subset that the instance keeps connections to.
    pub is_in_subset: bool,
    /// The connections to keep open ahead of requests; others are opened on demand.
    pub ready: u32,
}

/// Plans the connections of `instance` to the targets of one service, each of which accepts `cap`
/// connections from all instances together.
pub fn plan_connections(
    instance: &InstanceId,
    targets: &[&ReplicaSpec],
    cap: u32,
    share: &InstanceShare,
) -> Vec<ConnectionPlan> {
    let planned = f64::from(cap) * PLANNED_SHARE * share.fraction();
    let limit = planned as u32;
    if limit >= 1 {
        // With a limit of one, connections to remote zones would be idle most of the time, and the
        // targets would close them; opening new ones is billed as traffic between zones.
        let (local, remote) = if limit >= 2 { (2, 1) } else { (1, 0) };
        let plan = |target: &&ReplicaSpec| {
            let ready = if target.is_local { local } else { remote };
            ConnectionPlan { limit, is_in_subset: true, ready }
        };
        return targets.iter().map(plan).collect();
    }
    // Where there are aggregators, the few searches that this instance scatters itself open their
    // connections on demand.
    let ready = u32::from(share.aggregators == 0);
    let subset_size = ((planned * targets.len() as f64) as usize).clamp(1, targets.len().max(1));
    let mut ranked: Vec<_> = (0..targets.len()).collect();
    ranked.sort_by_key(|position| rank_target(instance, targets[*position]));
    let mut plans = vec![ConnectionPlan { limit: 1, is_in_subset: false, ready: 0 }; targets.len()];
    for (rank, position) in ranked.into_iter().take(subset_size).enumerate() {
        plans[position].is_in_subset = true;
        plans[position].ready = if rank == 0 { ready } else { 0 };
    }
    plans
}

/// Returns the sort key of a target for an instance: targets in its zone first, then by hash.
fn rank_target(instance: &InstanceId, target: &ReplicaSpec) -> (bool, u64) {
    let seed = xxhash_rust::xxh3::xxh3_64(instance.as_str().as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(target.id.as_str().as_bytes(), seed);
    (!target.is_local, hash)
}
