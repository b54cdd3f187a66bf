//! Decides whether a search is handed over to an aggregator, and chooses the aggregator.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{Rng, RngExt};

use crate::{
    Timestamp, ZoneName,
    controller::aggregators::{AggregatorAddress, digest_aggregators},
};

/// The duration of the ejection of an aggregator after the first search or probe that it did not
/// accept.
const MIN_EJECTION: Duration = Duration::from_millis(250);
/// The longest ejection: a restarted instance is available again within a second or two.
const MAX_EJECTION: Duration = Duration::from_secs(2);
/// The weight of a new sample in the moving average of the round trip.
const ROUND_TRIP_WEIGHT: f64 = 0.3;
/// An aggregator whose round trip is at least this many times that of the fastest eligible one is
/// not chosen, because its machine has slowed down.
const SLOW_ROUND_TRIP_FACTOR: u32 = 4;
/// The round trip below which no aggregator counts as slow.
const MIN_SLOW_ROUND_TRIP: Duration = Duration::from_millis(10);
/// The fraction of the shards that must have a target in a zone for the aggregators of the zone to
/// serve searches.
const MIN_COVERED_FRACTION: f64 = 0.5;
/// The fewest shards without a target in the local zone that are delegated to an aggregator of a
/// remote zone. For fewer, asking the aggregator takes about as many bytes as asking the targets.
const MIN_REMOTE_SHARDS: usize = 4;
/// A remote zone is used if, of the shards without a target in the local zone, it has targets for at
/// least this fraction of the number for which the best remote zone has targets.
const MIN_REMOTE_FRACTION: f64 = 0.9;

/// The conditions that decide whether a search is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverState {
    /// Whether this instance is an aggregator.
    pub is_aggregator: bool,
    /// Whether targets accept too few connections for each instance to keep one.
    pub is_connection_limited: bool,
    /// Whether enough shards have a target in the zone of this instance.
    pub is_zone_covered: bool,
}

/// Decides whether a search is handed over to an aggregator.
///
/// | local zone covered | connections limited | this instance | decision |
/// |---|---|---|---|
/// | no | any | any | hand over to a covered zone: one merged answer crosses zones instead of one per shard |
/// | yes | yes | not an aggregator | hand over: aggregators keep connections and know the load of the targets |
/// | yes | yes | aggregator | scatter here |
/// | yes | no | any | scatter here: the connections of this instance suffice |
pub const fn should_hand_over(state: HandoverState) -> bool {
    !state.is_zone_covered || state.is_connection_limited && !state.is_aggregator
}

/// The time left to the latency goal below which shards are not delegated: about the time of a probe,
/// the search and the answer between two zones, and of the work of a small instance in between.
const MIN_DELEGATION_TIME: Duration = Duration::from_millis(32);

/// Decides whether the shards without a target in the local zone are delegated to an aggregator of
/// another zone, given the time left to the latency goal. With less time, their targets are asked
/// from here: that takes one round trip instead of two, at the cost of more bytes between zones.
pub fn should_delegate(goal_left: Duration) -> bool {
    goal_left >= MIN_DELEGATION_TIME
}

/// The zones in which the shards of a route have targets, as seen from one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneCoverage {
    /// The zones in which enough shards have a target.
    pub covered: Vec<ZoneName>,
    /// The remote zones that have targets for most of the shards without a target in the local
    /// zone, with the positions of these shards. A zone that has targets for clearly fewer of them
    /// than another zone is left out.
    pub remote: Vec<(ZoneName, Vec<usize>)>,
}

impl ZoneCoverage {
    /// Computes the coverage from the zones of the targets of each shard, as seen from `local`.
    pub fn from_shard_zones<'a>(
        local: &ZoneName,
        shards: impl Iterator<Item = Vec<&'a ZoneName>>,
    ) -> Self {
        let mut zones: BTreeMap<&ZoneName, Vec<usize>> = BTreeMap::new();
        let mut total = 0;
        let mut uncovered = Vec::new();
        for (shard, target_zones) in shards.enumerate() {
            total += 1;
            if !target_zones.contains(&local) {
                uncovered.push(shard);
            }
            for zone in target_zones {
                let positions = zones.entry(zone).or_default();
                if positions.last() != Some(&shard) {
                    positions.push(shard);
                }
            }
        }
        let min_covered = f64::from(total) * MIN_COVERED_FRACTION;
        let covered = zones.iter().filter(|(_, positions)| positions.len() as f64 >= min_covered);
        let covered = covered.map(|(zone, _)| (*zone).clone()).collect();
        let others = zones.into_iter().filter(|(zone, _)| *zone != local);
        let mut remote: Vec<_> = others
            .map(|(zone, mut positions)| {
                positions.retain(|position| uncovered.contains(position));
                (zone.clone(), positions)
            })
            .collect();
        let most = remote.iter().map(|(_, positions)| positions.len()).max().unwrap_or(0);
        let min_remote = (most as f64 * MIN_REMOTE_FRACTION).max(MIN_REMOTE_SHARDS as f64);
        remote.retain(|(_, positions)| positions.len() as f64 >= min_remote);
        Self { covered, remote }
    }

    /// Returns whether enough shards have a target in the zone. Returns true for every zone where no
    /// zone is covered, as handing over to another zone would gain nothing.
    pub fn covers(&self, zone: &ZoneName) -> bool {
        self.covered.is_empty() || self.covered.contains(zone)
    }

    /// Returns the shards without a target in the local zone for which `zone` has targets.
    pub fn remote_shards_in(&self, zone: &ZoneName) -> &[usize] {
        self.remote.iter().find(|(name, _)| name == zone).map_or(&[], |(_, positions)| positions)
    }
}

#[derive(Clone, Debug)]
struct KnownAggregator {
    address: AggregatorAddress,
    round_trip: Option<Duration>,
    /// When it last answered or was last probed.
    last_contact: Option<Timestamp>,
    failures: u32,
    ejected_until: Timestamp,
}

/// Chooses among the aggregators that this instance knows.
#[derive(Clone, Debug)]
pub struct AggregatorPicker {
    own_peer: SocketAddr,
    zone: ZoneName,
    known: Vec<KnownAggregator>,
}

impl AggregatorPicker {
    /// Creates a picker without aggregators for the instance that listens for peers at `own_peer`.
    pub const fn new(own_peer: SocketAddr, zone: ZoneName) -> Self {
        Self { own_peer, zone, known: Vec::new() }
    }

    /// Replaces the list of aggregators and keeps the state of those that are still on it. An empty
    /// list is ignored, because the control instance that sent it has only just started.
    pub fn update_list(&mut self, list: Vec<AggregatorAddress>) {
        if list.is_empty() {
            return;
        }
        let previous = std::mem::take(&mut self.known);
        let keep_state = |address: AggregatorAddress| {
            let known = previous.iter().find(|known| known.address == address).cloned();
            known.unwrap_or(KnownAggregator {
                address,
                round_trip: None,
                last_contact: None,
                failures: 0,
                ejected_until: Timestamp::ZERO,
            })
        };
        self.known = list.into_iter().map(keep_state).collect();
    }

    /// Returns the number of aggregators.
    pub const fn count(&self) -> usize {
        self.known.len()
    }

    /// Returns whether this instance is on the list.
    pub fn is_aggregator(&self) -> bool {
        self.known.iter().any(|known| known.address.peer == self.own_peer)
    }

    /// Returns a digest of the list.
    pub fn digest(&self) -> u64 {
        let list: Vec<_> = self.known.iter().map(|known| known.address.clone()).collect();
        digest_aggregators(&list)
    }

    /// Returns the aggregator to hand a search over to: one of the local zone if that is covered,
    /// otherwise, or if none of them is available, one of another covered zone.
    pub fn choose(
        &self,
        coverage: &ZoneCoverage,
        tried: &[SocketAddr],
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let is_candidate = |address: &AggregatorAddress| {
            !tried.contains(&address.peer) && coverage.covered.contains(&address.zone)
        };
        let is_local =
            |address: &AggregatorAddress| address.zone == self.zone && is_candidate(address);
        let chosen = self.choose_among(is_local, now, rng);
        let chosen = chosen.or_else(|| self.choose_among(is_candidate, now, rng));
        chosen.map(|address| address.peer)
    }

    /// Returns the aggregator to which the shards without a target in the local zone are delegated.
    pub fn choose_remote(
        &self,
        coverage: &ZoneCoverage,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<&AggregatorAddress> {
        self.choose_among(|address| !coverage.remote_shards_in(&address.zone).is_empty(), now, rng)
    }

    /// Chooses at random among the aggregators that are neither ejected nor slow, so that the load is
    /// even.
    fn choose_among(
        &self,
        is_wanted: impl Fn(&AggregatorAddress) -> bool,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<&AggregatorAddress> {
        let is_usable = |known: &&KnownAggregator| {
            known.address.peer != self.own_peer
                && now >= known.ejected_until
                && is_wanted(&known.address)
        };
        let mut eligible: Vec<_> = self.known.iter().filter(is_usable).collect();
        let fastest = eligible.iter().filter_map(|known| known.round_trip).min();
        let slow_from =
            fastest.map(|fastest| (fastest * SLOW_ROUND_TRIP_FACTOR).max(MIN_SLOW_ROUND_TRIP));
        eligible.retain(|known| {
            known.round_trip.is_none_or(|taken| slow_from.is_none_or(|limit| taken < limit))
        });
        match eligible.len() {
            0 => None,
            count => Some(&eligible[rng.random_range(0..count)].address),
        }
    }

    /// Returns the aggregators that searches may be sent to and that had no contact for `period`, and
    /// records a contact with each. The caller probes them, which keeps the links to them open.
    pub fn take_due_probes(
        &mut self,
        coverage: &ZoneCoverage,
        hands_over: bool,
        period: Duration,
        now: Timestamp,
    ) -> Vec<SocketAddr> {
        let (own_peer, zone) = (self.own_peer, &self.zone);
        let is_local_covered = coverage.covers(zone);
        let due = self.known.iter_mut().filter(|known| {
            let address = &known.address;
            let is_wanted = match (hands_over, is_local_covered) {
                (true, true) => address.zone == *zone,
                (true, false) => coverage.covered.contains(&address.zone),
                (false, _) => !coverage.remote_shards_in(&address.zone).is_empty(),
            };
            is_wanted
                && address.peer != own_peer
                && now >= known.ejected_until
                && known.last_contact.is_none_or(|at| now.since(at) >= period)
        });
        let due = due.map(|known| {
            known.last_contact = Some(now);
            known.address.peer
        });
        due.collect()
    }

    /// Records the round trip of a probe that an aggregator answered, and ends its ejection.
    pub fn record_answer(&mut self, peer: SocketAddr, round_trip: Duration, now: Timestamp) {
        let Some(known) = self.find(peer) else { return };
        let smoothed = known.round_trip.map_or(round_trip, |previous| {
            previous.mul_f64(1.0 - ROUND_TRIP_WEIGHT) + round_trip.mul_f64(ROUND_TRIP_WEIGHT)
        });
        known.round_trip = Some(smoothed);
        known.last_contact = Some(now);
        known.failures = 0;
        known.ejected_until = Timestamp::ZERO;
    }

    /// Ejects an aggregator that was unreachable or declined a search, for twice as long after each
    /// consecutive failure.
    pub fn record_failure(&mut self, peer: SocketAddr, now: Timestamp) {
        let Some(known) = self.find(peer) else { return };
        let period = MIN_EJECTION.saturating_mul(1 << known.failures.min(8)).min(MAX_EJECTION);
        known.failures += 1;
        known.ejected_until = now + period;
        known.round_trip = None;
    }

    fn find(&mut self, peer: SocketAddr) -> Option<&mut KnownAggregator> {
        self.known.iter_mut().find(|known| known.address.peer == peer)
    }
}
