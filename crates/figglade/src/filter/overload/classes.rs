//! Division of the admitted work among classes of requests.

use std::{collections::BTreeMap, time::Duration};

use super::decay::DecayingCount;
use crate::Timestamp;

/// Requests with a lower priority than this are treated alike, which bounds the number of classes.
pub const MAX_PRIORITY: u32 = 9;
/// The period over which the work of a class is counted. Where a customer turns out to be far above its
/// usual rate, its earlier requests count for the class of the others for about this long.
const WORK_PERIOD: Duration = Duration::from_secs(1);
/// A class without requests for this long is removed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The latency goal of a class is protected if the refusal of it and of the classes behind it can
/// remove at least this fraction of the work. Refusing less would not shorten the queue.
const MIN_REMOVABLE: f64 = 0.5;

/// The turns of later requests of a class that requests of starved customers may take. Without a
/// bound, many small customers, each of which counts as starved, would be admitted at any level.
const MAX_BORROWED: f64 = 2.0;

/// A class with at most this fraction of the work is refused no more often than all work on average:
/// refusing all of it would shorten the queue by little.
const SMALL_FRACTION: f64 = 0.1;

/// The order in which requests are served when capacity is short; lower ranks are served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadRank {
    /// The priority of the customer or the route; 0 is the highest.
    pub priority: u32,
    /// Whether the customer is far above its usual rate.
    pub is_above_usual: bool,
    /// Whether the request will most likely miss its latency goal.
    pub is_late: bool,
}

impl LoadRank {
    /// Returns the rank of a request in time, of a customer at its usual rate.
    pub const fn of_priority(priority: u32) -> Self {
        Self { priority, is_above_usual: false, is_late: false }
    }
}

/// Requests of the same rank that cost about the same work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClassKey {
    rank: LoadRank,
    /// The number of binary digits of the work in milliseconds.
    magnitude: u32,
}

impl ClassKey {
    pub(super) fn new(rank: LoadRank, work: Duration) -> Self {
        let millis = u64::try_from(work.as_millis()).unwrap_or(u64::MAX);
        let rank = LoadRank { priority: rank.priority.min(MAX_PRIORITY), ..rank };
        Self { rank, magnitude: u64::BITS - millis.leading_zeros() }
    }
}

#[derive(Clone, Copy, Debug)]
struct ClassLoad {
    offered: DecayingCount,
    goal: Duration,
    last_at: Timestamp,
    /// The part of a request that may be admitted besides the next one.
    credit: f64,
}

/// The share of a class in the admitted work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ClassShare {
    /// The fraction of its requests that is admitted.
    pub(super) admitted: f64,
    /// The level from which on all of its requests are admitted.
    pub(super) full_level: f64,
}

/// The classes with recent requests, in the order in which they are served.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassTable {
    loads: BTreeMap<ClassKey, ClassLoad>,
    requests: DecayingCount,
}

impl ClassTable {
    /// Records a request.
    pub(super) fn record_offered(
        &mut self,
        key: ClassKey,
        work: Duration,
        goal: Duration,
        now: Timestamp,
    ) {
        let new = ClassLoad { offered: DecayingCount::default(), goal, last_at: now, credit: 0.5 };
        let load = self.loads.entry(key).or_insert(new);
        load.offered.add(work.as_secs_f64(), WORK_PERIOD, now);
        load.goal = goal;
        self.requests.add(1.0, WORK_PERIOD, now);
        load.last_at = now;
    }

    /// Returns the share of a class if the fraction `level` of all work is admitted and lower classes
    /// are refused first. No class has a larger share than one before it.
    pub(super) fn share(&self, key: ClassKey, level: f64, now: Timestamp) -> ClassShare {
        let works = self.loads.values().map(|load| load.offered.get(WORK_PERIOD, now));
        let total: f64 = works.clone().sum();
        let mut before = 0.0;
        let mut admitted: f64 = 1.0;
        for (other, own) in self.loads.keys().zip(works) {
            if own > 0.0 {
                let room = ((level * total - before) / own).clamp(0.0, 1.0);
                let is_small = own <= total * SMALL_FRACTION;
                let own_share = if is_small { room.max(level) } else { room };
                // A refused class that is late or above its usual rate takes nothing from small ones
                // behind it.
                let is_expendable = other.rank.is_above_usual || other.rank.is_late;
                if *other == key {
                    admitted = if is_small {
                        own_share.min(admitted.max(level))
                    } else {
                        own_share.min(admitted)
                    };
                } else if !is_expendable {
                    admitted = admitted.min(own_share);
                }
            }
            before += own;
            if *other == key {
                break;
            }
        }
        ClassShare { admitted, full_level: if total > 0.0 { before / total } else { 0.0 } }
    }

    /// Returns whether the next request of a class is admitted if a fraction `share` of them is. One
    /// that may borrow takes the turn of a later request of the class, up to [`MAX_BORROWED`].
    pub(super) fn take_turn(&mut self, key: ClassKey, share: f64, may_borrow: bool) -> bool {
        let Some(load) = self.loads.get_mut(&key) else { return true };
        load.credit = (load.credit + share).min(2.0);
        let least = if may_borrow { -MAX_BORROWED } else { 1.0 };
        let is_admitted = load.credit >= least;
        if is_admitted {
            load.credit -= 1.0;
        }
        is_admitted
    }

    /// Returns the mean work of recent requests.
    pub(super) fn mean_work(&self, now: Timestamp) -> Duration {
        let works = self.loads.values().map(|load| load.offered.get(WORK_PERIOD, now));
        let requests = self.requests.get(WORK_PERIOD, now);
        if requests > 0.0 {
            Duration::from_secs_f64(works.sum::<f64>() / requests)
        } else {
            Duration::ZERO
        }
    }

    /// Returns the shortest latency goal that refusals can protect.
    pub(super) fn protected_goal(&self, now: Timestamp) -> Option<Duration> {
        let works: Vec<_> = self
            .loads
            .values()
            .map(|load| (load.goal, load.offered.get(WORK_PERIOD, now)))
            .collect();
        let total: f64 = works.iter().map(|(_, work)| work).sum();
        let mut removable = total;
        let mut shortest: Option<Duration> = None;
        for (goal, work) in works {
            if removable < total * MIN_REMOVABLE {
                break;
            }
            shortest = Some(shortest.map_or(goal, |held| held.min(goal)));
            removable -= work;
        }
        shortest
    }

    /// Removes the classes without recent requests.
    pub(super) fn remove_idle(&mut self, now: Timestamp) {
        self.loads.retain(|_, load| now.since(load.last_at) < IDLE_TIMEOUT);
    }
}
