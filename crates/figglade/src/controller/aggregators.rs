//! Selects the aggregators: the instances of each zone that scatter searches for the others.
//!
//! An instance that scatters its own searches needs connections to all targets, sends too few
//! requests to each of them to tell which are slow, and causes billed traffic from other zones.
//! Where targets accept fewer connections than there are instances, a few instances of each zone
//! scatter the searches of the others.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{CoreShare, ZoneName};

/// The minimum number of aggregators in a zone, so that one may fail.
const MIN_AGGREGATORS: usize = 2;
/// The number of instances of a zone per aggregator. With equal processor time, an aggregator
/// finishes a search over fifty shards in about the time in which twelve instances together send
/// the next one.
const INSTANCES_PER_AGGREGATOR: usize = 12;

/// The processes among which a machine with a control instance divides its processor time.
const PROCESSES_PER_SHARED_MACHINE: u32 = 2;

/// An instance that scatters searches for others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AggregatorAddress {
    /// The availability zone of the instance.
    pub zone: ZoneName,
    /// The address that it listens on for peers.
    pub peer: SocketAddr,
}

/// An instance that may become an aggregator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AggregatorCandidate {
    /// The address that it listens on for peers.
    pub peer: SocketAddr,
    /// The processor time available to it.
    pub cores: CoreShare,
}

impl AggregatorCandidate {
    /// Returns the candidate with the processor time that a control instance on the same machine
    /// leaves to it.
    #[must_use]
    pub const fn beside_control(self) -> Self {
        let cores = CoreShare::new(self.cores.get() / PROCESSES_PER_SHARED_MACHINE);
        Self { cores, ..self }
    }
}

/// The instances of one zone that one control instance knows of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneMembers {
    /// The zone.
    pub zone: ZoneName,
    /// The number of instances.
    pub count: usize,
    /// The instances with the most processor time.
    pub candidates: Vec<AggregatorCandidate>,
}

/// Summarizes the instances that one control instance knows of, by zone.
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
        // Lists one more candidate than needed, because other control instances may know of fewer.
        candidates.truncate(count_aggregators(count) + 1);
        ZoneMembers { zone, count, candidates }
    };
    zones.into_iter().map(summarize).collect()
}

/// Chooses the aggregators of all zones from the summaries of all control instances: in each zone at
/// least two instances, those with the most processor time.
pub fn choose_aggregators<'a>(
    summaries: impl Iterator<Item = &'a ZoneMembers>,
) -> Vec<AggregatorAddress> {
    let mut zones: BTreeMap<&ZoneName, (usize, Vec<AggregatorCandidate>)> = BTreeMap::new();
    for summary in summaries {
        let (count, candidates) = zones.entry(&summary.zone).or_default();
        *count += summary.count;
        for candidate in &summary.candidates {
            // An instance that has just switched to another control instance is listed by both.
            if candidates.iter().all(|known| known.peer != candidate.peer) {
                candidates.push(candidate.clone());
            }
        }
    }
    let mut chosen = Vec::new();
    for (zone, (count, mut candidates)) in zones {
        rank_candidates(&mut candidates);
        let largest = candidates.into_iter().take(count_aggregators(count));
        chosen.extend(
            largest.map(|member| AggregatorAddress { zone: zone.clone(), peer: member.peer }),
        );
    }
    chosen.sort();
    chosen
}

/// Returns a digest to compare lists of aggregators by; their order does not matter.
pub fn digest_aggregators(aggregators: &[AggregatorAddress]) -> u64 {
    aggregators.iter().fold(0, |digest, aggregator| {
        let text = format!("{} {}", aggregator.zone, aggregator.peer);
        digest ^ xxhash_rust::xxh3::xxh3_64(text.as_bytes())
    })
}

fn count_aggregators(instances: usize) -> usize {
    (instances / INSTANCES_PER_AGGREGATOR).max(MIN_AGGREGATORS)
}

fn rank_candidates(candidates: &mut [AggregatorCandidate]) {
    candidates.sort_by_key(|candidate| (Reverse(candidate.cores), candidate.peer));
}
