//! Which targets of a service an instance keeps connections to.
//!
//! Targets bound the connections of all instances together. Where the bound is below the number of
//! instances, each instance keeps to a few targets: the nearest, then those that a stable hash of
//! instance and target ranks first, so that the connections spread evenly without a word between
//! the instances.

use crate::{
    InstanceId,
    filter::scatter::{InstanceShare, ReplicaSpec},
};

/// The share of the connections of a target that the instances plan with; the rest covers
/// connections that have ended on one side only, and those made on demand.
pub(super) const PLANNED_SHARE: f64 = 0.95;

/// What an instance may do with one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionPlan {
    /// The connections it may hold.
    pub limit: u32,
    /// Whether it is among the targets that the instance keeps to.
    pub is_kept: bool,
    /// The connections kept ready ahead of requests; others are made on demand.
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
    let part = f64::from(cap) * PLANNED_SHARE * share.part();
    let whole = part as u32;
    if whole >= 1 {
        // Where connections are few, those to other zones would be idle most of the time and closed
        // by the targets; new ones are paid for.
        let (near, far) = if whole >= 2 { (2, 1) } else { (1, 0) };
        let plan = |target: &&ReplicaSpec| {
            let ready = if target.is_local { near } else { far };
            ConnectionPlan { limit: whole, is_kept: true, ready }
        };
        return targets.iter().map(plan).collect();
    }
    // The few searches that an instance beside aggregators scatters make their connections.
    let ready = u32::from(share.aggregators == 0);
    let kept = ((part * targets.len() as f64) as usize).clamp(1, targets.len().max(1));
    let mut ranked: Vec<_> = (0..targets.len()).collect();
    ranked.sort_by_key(|place| rank_target(instance, targets[*place]));
    let mut plans = vec![ConnectionPlan { limit: 1, is_kept: false, ready: 0 }; targets.len()];
    for (rank, place) in ranked.into_iter().take(kept).enumerate() {
        plans[place].is_kept = true;
        plans[place].ready = if rank == 0 { ready } else { 0 };
    }
    plans
}

/// Ranks the targets of an instance: those in its zone first, the rest by hash.
fn rank_target(instance: &InstanceId, target: &ReplicaSpec) -> (bool, u64) {
    let seed = xxhash_rust::xxh3::xxh3_64(instance.as_str().as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(target.id.as_str().as_bytes(), seed);
    (!target.is_local, hash)
}
