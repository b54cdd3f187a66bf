//! Which instances of a zone scatter the searches of the others.
//!
//! An instance that asks every shard itself needs connections to all targets, sees too little of
//! each to know which are slow, and pays for every byte from other zones. Where targets accept
//! fewer connections than there are instances, a few of each zone do this work for the rest.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{CoreShare, ZoneName};

/// The fewest aggregators of a zone: one may be lost.
const MIN_AGGREGATORS: usize = 2;
/// The instances of a zone for each aggregator: with a core of the same size, a search over fifty
/// shards takes an aggregator about as long as twelve instances need to send the next one.
const INSTANCES_PER_AGGREGATOR: usize = 12;

/// An instance that scatters searches for others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AggregatorAddress {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for peers.
    pub peer: SocketAddr,
}

/// An instance that may become an aggregator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AggregatorCandidate {
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// The processor time that it has.
    pub cores: CoreShare,
}

/// What one control instance knows of the instances of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneMembers {
    /// The zone.
    pub zone: ZoneName,
    /// The instances.
    pub count: usize,
    /// The largest of them.
    pub candidates: Vec<AggregatorCandidate>,
}

/// Summarizes the instances that one control instance hears of, zone by zone.
pub fn summarize_members(
    members: impl Iterator<Item = (ZoneName, AggregatorCandidate)>,
) -> Vec<ZoneMembers> {
    let mut zones: BTreeMap<ZoneName, Vec<AggregatorCandidate>> = BTreeMap::new();
    for (zone, candidate) in members {
        zones.entry(zone).or_default().push(candidate);
    }
    let summarize = |(zone, mut candidates): (ZoneName, Vec<AggregatorCandidate>)| {
        let count = candidates.len();
        rank_candidates(&mut candidates);
        // One more than needed, as others may hear of fewer.
        candidates.truncate(count_aggregators(count) + 1);
        ZoneMembers { zone, count, candidates }
    };
    zones.into_iter().map(summarize).collect()
}

/// Returns the aggregators of all zones, from what each control instance knows: the instances with
/// the most processor time, two of each zone or more.
pub fn choose_aggregators<'a>(
    summaries: impl Iterator<Item = &'a ZoneMembers>,
) -> Vec<AggregatorAddress> {
    let mut zones: BTreeMap<&ZoneName, (usize, Vec<AggregatorCandidate>)> = BTreeMap::new();
    for summary in summaries {
        let (count, candidates) = zones.entry(&summary.zone).or_default();
        *count += summary.count;
        for candidate in &summary.candidates {
            // An instance that has just turned to another control instance is heard of twice.
            if candidates.iter().all(|held| held.peer != candidate.peer) {
                candidates.push(candidate.clone());
            }
        }
    }
    let mut chosen = Vec::new();
    for (zone, (count, mut candidates)) in zones {
        rank_candidates(&mut candidates);
        let largest = candidates.into_iter().take(count_aggregators(count));
        chosen
            .extend(largest.map(|held| AggregatorAddress { zone: zone.clone(), peer: held.peer }));
    }
    chosen.sort();
    chosen
}

/// Returns a digest by which two lists of aggregators are compared.
pub fn digest_aggregators(aggregators: &[AggregatorAddress]) -> u64 {
    aggregators.iter().fold(0, |digest, held| {
        let text = format!("{} {}", held.zone, held.peer);
        digest ^ xxhash_rust::xxh3::xxh3_64(text.as_bytes())
    })
}

fn count_aggregators(instances: usize) -> usize {
    (instances / INSTANCES_PER_AGGREGATOR).max(MIN_AGGREGATORS)
}

fn rank_candidates(candidates: &mut [AggregatorCandidate]) {
    candidates.sort_by_key(|held| (Reverse(held.cores), held.peer));
}
