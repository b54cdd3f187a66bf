//! Whether a search is handed to an aggregator, and to which.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{Rng, RngExt};

use crate::{
    Timestamp, ZoneName,
    controller::aggregators::{AggregatorAddress, digest_aggregators},
};

/// The time that an aggregator is left out after the first search or probe that it did not take.
const FIRST_EJECTION: Duration = Duration::from_millis(250);
/// The longest such time: an instance that starts again is back within a second or two.
const LONGEST_EJECTION: Duration = Duration::from_secs(2);
/// The weight of a new sample of the round trip.
const ROUND_TRIP_WEIGHT: f64 = 0.3;
/// How many times the round trip of the fastest aggregator of its zone one may take before it is
/// left out: its machine has slowed down.
const SLOW_FACTOR: u32 = 4;
/// The round trip below which no aggregator counts as slow.
const MIN_SLOW: Duration = Duration::from_millis(10);
/// The part of the shards that must have a target in a zone for its aggregators to serve them.
const MIN_COVERED: f64 = 0.5;
/// The fewest shards without a target in the own zone that are left to an aggregator of another:
/// for fewer, asking it takes about as many bytes as asking their targets.
const MIN_FAR: usize = 4;
/// How near a zone must come to the one with most of these shards.
const NEARLY_ALL: f64 = 0.9;

/// What decides whether a search is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverState {
    /// Whether this instance is an aggregator itself.
    pub is_aggregator: bool,
    /// Whether targets accept fewer connections than there are instances.
    pub is_scarce: bool,
    /// Whether enough shards have a target in the zone of this instance.
    pub is_covered: bool,
}

/// Decides whether a search is handed to an aggregator.
///
/// | targets in the own zone | connections are scarce | this instance | verdict |
/// |---|---|---|---|
/// | no | any | any | hand over, to a zone that has targets: one answer crosses instead of all parts |
/// | yes | yes | no aggregator | hand over: aggregators keep connections and know the targets |
/// | yes | yes | aggregator | keep |
/// | yes | no | any | keep: the connections of this instance suffice |
pub const fn wants_aggregator(state: HandoverState) -> bool {
    !state.is_covered || state.is_scarce && !state.is_aggregator
}

/// In which zones the shards of a route have targets, as seen from one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneCoverage {
    /// The zones in which enough shards have a target.
    pub zones: Vec<ZoneName>,
    /// The other zones with most of the shards that have no target in the own zone, and which
    /// shards these are. A zone that has far fewer than another is left out.
    pub far: Vec<(ZoneName, Vec<usize>)>,
}

impl ZoneCoverage {
    /// Counts in which zones the shards have targets: for each shard the zones of its targets.
    pub fn count<'a>(own: &ZoneName, shards: impl Iterator<Item = Vec<&'a ZoneName>>) -> Self {
        let mut zones: BTreeMap<&ZoneName, Vec<usize>> = BTreeMap::new();
        let mut total = 0;
        let mut far = Vec::new();
        for (shard, held) in shards.enumerate() {
            total += 1;
            if !held.contains(&own) {
                far.push(shard);
            }
            for zone in held {
                let places = zones.entry(zone).or_default();
                if places.last() != Some(&shard) {
                    places.push(shard);
                }
            }
        }
        let least = f64::from(total) * MIN_COVERED;
        let covered = zones.iter().filter(|(_, places)| places.len() as f64 >= least);
        let covered = covered.map(|(zone, _)| (*zone).clone()).collect();
        let others = zones.into_iter().filter(|(zone, _)| *zone != own);
        let mut reached: Vec<_> = others
            .map(|(zone, mut places)| {
                places.retain(|place| far.contains(place));
                (zone.clone(), places)
            })
            .collect();
        let most = reached.iter().map(|(_, places)| places.len()).max().unwrap_or(0);
        let enough = (most as f64 * NEARLY_ALL).max(MIN_FAR as f64);
        reached.retain(|(_, places)| places.len() as f64 >= enough);
        Self { zones: covered, far: reached }
    }

    /// Returns whether enough shards have a target in the zone. Without any target known, no zone
    /// is better than the own one.
    pub fn covers(&self, zone: &ZoneName) -> bool {
        self.zones.is_empty() || self.zones.contains(zone)
    }

    /// Returns the shards without a target in the own zone that `zone` has targets of.
    pub fn far_in(&self, zone: &ZoneName) -> &[usize] {
        self.far.iter().find(|(held, _)| held == zone).map_or(&[], |(_, places)| places)
    }
}

#[derive(Clone, Debug)]
struct HeldAggregator {
    address: AggregatorAddress,
    round_trip: Option<Duration>,
    heard_at: Option<Timestamp>,
    failures: u32,
    ejected_until: Timestamp,
}

/// Chooses among the aggregators that this instance knows.
#[derive(Clone, Debug)]
pub struct AggregatorPicker {
    own: SocketAddr,
    zone: ZoneName,
    held: Vec<HeldAggregator>,
}

impl AggregatorPicker {
    /// Starts without aggregators at the instance that listens for peers at `own`.
    pub const fn new(own: SocketAddr, zone: ZoneName) -> Self {
        Self { own, zone, held: Vec::new() }
    }

    /// Takes the list of aggregators; what is known of those that stay is kept. An empty list
    /// changes nothing: the control instance that sent it has just started.
    pub fn learn(&mut self, list: Vec<AggregatorAddress>) {
        if list.is_empty() {
            return;
        }
        let former = std::mem::take(&mut self.held);
        let hold = |address: AggregatorAddress| {
            let held = former.iter().find(|held| held.address == address).cloned();
            held.unwrap_or(HeldAggregator {
                address,
                round_trip: None,
                heard_at: None,
                failures: 0,
                ejected_until: Timestamp::ZERO,
            })
        };
        self.held = list.into_iter().map(hold).collect();
    }

    /// Returns the number of aggregators.
    pub const fn count(&self) -> usize {
        self.held.len()
    }

    /// Returns whether this instance is one.
    pub fn is_aggregator(&self) -> bool {
        self.held.iter().any(|held| held.address.peer == self.own)
    }

    /// Returns a digest of the list.
    pub fn digest(&self) -> u64 {
        let list: Vec<_> = self.held.iter().map(|held| held.address.clone()).collect();
        digest_aggregators(&list)
    }

    /// Returns the aggregator to hand a search to: one of the own zone where that has targets, or
    /// of another zone that has.
    pub fn choose(
        &self,
        coverage: &ZoneCoverage,
        tried: &[SocketAddr],
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let is_open = |address: &AggregatorAddress| {
            !tried.contains(&address.peer) && coverage.zones.contains(&address.zone)
        };
        let near = |address: &AggregatorAddress| address.zone == self.zone && is_open(address);
        let chosen = self.choose_among(near, now, rng);
        let chosen = chosen.or_else(|| self.choose_among(is_open, now, rng));
        chosen.map(|address| address.peer)
    }

    /// Returns the aggregator to leave the shards to that have no target in the own zone.
    pub fn choose_far(
        &self,
        coverage: &ZoneCoverage,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<&AggregatorAddress> {
        self.choose_among(|address| !coverage.far_in(&address.zone).is_empty(), now, rng)
    }

    /// Chooses at random among the aggregators that answer, so that the load is even.
    fn choose_among(
        &self,
        is_wanted: impl Fn(&AggregatorAddress) -> bool,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<&AggregatorAddress> {
        let usable = |held: &&HeldAggregator| {
            held.address.peer != self.own && now >= held.ejected_until && is_wanted(&held.address)
        };
        let mut eligible: Vec<_> = self.held.iter().filter(usable).collect();
        let fastest = eligible.iter().filter_map(|held| held.round_trip).min();
        let slow_from = fastest.map(|fastest| (fastest * SLOW_FACTOR).max(MIN_SLOW));
        eligible.retain(|held| {
            held.round_trip.is_none_or(|taken| slow_from.is_none_or(|limit| taken < limit))
        });
        match eligible.len() {
            0 => None,
            count => Some(&eligible[rng.random_range(0..count)].address),
        }
    }

    /// Returns the aggregators that searches may go to and that were not heard from for `period`,
    /// so that the links to them are kept ready, and marks them as asked.
    pub fn take_unheard(
        &mut self,
        coverage: &ZoneCoverage,
        hands_over: bool,
        period: Duration,
        now: Timestamp,
    ) -> Vec<SocketAddr> {
        let (own, zone) = (self.own, &self.zone);
        let is_near_covered = coverage.covers(zone);
        let due = self.held.iter_mut().filter(|held| {
            let address = &held.address;
            let is_wanted = match (hands_over, is_near_covered) {
                (true, true) => address.zone == *zone,
                (true, false) => coverage.zones.contains(&address.zone),
                (false, _) => !coverage.far_in(&address.zone).is_empty(),
            };
            is_wanted
                && address.peer != own
                && now >= held.ejected_until
                && held.heard_at.is_none_or(|at| now.since(at) >= period)
        });
        let due = due.map(|held| {
            held.heard_at = Some(now);
            held.address.peer
        });
        due.collect()
    }

    /// Takes the round trip of a probe that an aggregator answered.
    pub fn note_answer(&mut self, peer: SocketAddr, round_trip: Duration, now: Timestamp) {
        let Some(held) = self.find(peer) else { return };
        let smoothed = held.round_trip.map_or(round_trip, |former| {
            former.mul_f64(1.0 - ROUND_TRIP_WEIGHT) + round_trip.mul_f64(ROUND_TRIP_WEIGHT)
        });
        held.round_trip = Some(smoothed);
        held.heard_at = Some(now);
        held.failures = 0;
        held.ejected_until = Timestamp::ZERO;
    }

    /// Leaves an aggregator out that was not reached or takes no searches, twice as long each time.
    pub fn note_failure(&mut self, peer: SocketAddr, now: Timestamp) {
        let Some(held) = self.find(peer) else { return };
        let period = FIRST_EJECTION.saturating_mul(1 << held.failures.min(8)).min(LONGEST_EJECTION);
        held.failures += 1;
        held.ejected_until = now + period;
        held.round_trip = None;
    }

    fn find(&mut self, peer: SocketAddr) -> Option<&mut HeldAggregator> {
        self.held.iter_mut().find(|held| held.address.peer == peer)
    }
}
