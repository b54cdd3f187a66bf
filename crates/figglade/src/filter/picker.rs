//! Chooses the replica of an attempt by latency, load, zone and ejection.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use rand::{Rng, RngExt};

pub use super::load::{AttemptEnd, LoadRegistry, LoadView, TargetChange, TargetLoad};
use crate::{
    IndexName, TargetId, Timestamp, ZoneName,
    filter::{
        budget::lock,
        routing::{SnapshotKey, TargetRoute},
    },
};

/// The latency assumed while no replica of a shard has an estimate, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 1.0;
/// The multiplier of the score of a replica in a remote availability zone. A local replica is
/// preferred until its score is worse by this factor.
const REMOTE_ZONE_FACTOR: f64 = 1.5;
/// The multiplier of the score of a target that has just started.
const COLD_START_FACTOR: f64 = 4.0;
/// The multiple of the latency of the best replica above which a replica is slow.
const SLOW_FACTOR: f64 = 3.0;
/// The number of answers below which a latency estimate is too uncertain to call a replica slow.
const SLOW_SAMPLES: u32 = 5;
/// The smallest latency difference to the best replica at which a replica is slow, in milliseconds.
const SLOW_MARGIN_MS: f64 = 2.0;
/// The time for which a half-open ejection that has not been ended by an answer still counts
/// against the cap on ejected targets.
const HALF_OPEN_COUNT_PERIOD: Duration = Duration::from_secs(5);

/// Picks a replica for an attempt.
#[derive(Debug)]
pub struct ReplicaPicker {
    /// The availability zone of this instance.
    pub zone: ZoneName,
    /// The time after the start of a target over which its score falls to normal.
    pub cold_start: Duration,
    /// The ejections in force, which count against the cap.
    pub ejections: Arc<EjectionCounter>,
    /// The targets that accept new work at present.
    pub live: LiveTargets,
}

/// The targets of an index that accept new work at present. A pinned snapshot may list targets that
/// no longer do.
#[derive(Debug, Default)]
pub struct LiveTargets {
    targets: Mutex<Option<Arc<HashSet<TargetId>>>>,
}

impl LiveTargets {
    /// Replaces the targets.
    pub fn set(&self, targets: HashSet<TargetId>) {
        *lock(&self.targets) = Some(Arc::new(targets));
    }

    /// Returns the targets, or `None` if they have not been set.
    pub fn get(&self) -> Option<Arc<HashSet<TargetId>>> {
        lock(&self.targets).clone()
    }
}

/// Bounds the number of concurrently ejected targets.
#[derive(Debug, Default)]
pub struct EjectionCounter {
    ejected: Mutex<HashMap<TargetId, Timestamp>>,
    target_count: AtomicU32,
}

impl EjectionCounter {
    /// Sets the number of targets, of which the cap is a fraction.
    pub fn set_target_count(&self, targets: u32) {
        self.target_count.store(targets, Ordering::Relaxed);
    }

    /// Counts an ejection of `target` until `until` and returns true if at most `max_fraction` of
    /// the targets are then ejected, otherwise returns false.
    pub fn try_eject(
        &self,
        target: &TargetId,
        until: Timestamp,
        now: Timestamp,
        max_fraction: f64,
    ) -> bool {
        let mut ejected = lock(&self.ejected);
        ejected.retain(|_, until| now < *until + HALF_OPEN_COUNT_PERIOD);
        let others = ejected.keys().filter(|other| *other != target).count();
        let allowed = f64::from(self.target_count.load(Ordering::Relaxed)) * max_fraction;
        if others as f64 + 1.0 > allowed {
            return false;
        }
        ejected.insert(target.clone(), until);
        true
    }

    /// Removes the ejection of a target that has answered again.
    pub fn release(&self, target: &TargetId) {
        lock(&self.ejected).remove(target);
    }
}

/// The replicas that an attempt may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct PickScope<'a> {
    /// The replicas of the shard.
    pub replicas: &'a [Arc<TargetRoute>],
    /// The targets that have been tried.
    pub tried: &'a [TargetId],
    /// The snapshot that the attempt needs; `None` if any snapshot will do.
    pub snapshot: Option<(&'a IndexName, SnapshotKey)>,
    /// The targets that accept new work; `None` if the list of replicas is current.
    pub live: Option<&'a HashSet<TargetId>>,
}

impl<'a> PickScope<'a> {
    /// Returns the replicas that have not been tried, may hold the snapshot and are not draining.
    fn eligible_replicas(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&'a Arc<TargetRoute>, LoadView)> {
        let Self { replicas, tried, snapshot, live } = *self;
        replicas
            .iter()
            .filter(move |route| !tried.contains(&route.target))
            .filter(move |route| live.is_none_or(|live| live.contains(&route.target)))
            .filter(move |route| {
                !snapshot
                    .is_some_and(|(index, key)| route.load.is_snapshot_missing(index, key, now))
            })
            .map(move |route| (route, route.load.view(now)))
            .filter(|(_, view)| !view.draining)
    }

    /// Returns the lowest latency estimate of a replica that is not ejected.
    fn best_latency(&self, now: Timestamp) -> Option<f64> {
        let views = self.replicas.iter().map(|route| route.load.view(now));
        let known = views.filter(|view| !view.ejected).filter_map(|view| view.latency_ms);
        known.min_by(f64::total_cmp)
    }
}

impl ReplicaPicker {
    /// Returns the better of two random replicas, or `None` if every replica has been tried, is
    /// draining or does not hold the snapshot. Replicas that have recently shed a request are used
    /// only if there is no healthy one, and ejected replicas only if there is no other.
    pub fn pick<'a>(
        &self,
        scope: &PickScope<'a>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<TargetRoute>> {
        let (mut healthy, mut shedding, mut ejected) = (Vec::new(), Vec::new(), Vec::new());
        for (route, view) in scope.eligible_replicas(now) {
            let list = if view.ejected {
                &mut ejected
            } else if view.shedding {
                &mut shedding
            } else {
                &mut healthy
            };
            list.push((route, view));
        }
        let lists = [healthy, shedding, ejected];
        let candidates = lists.into_iter().find(|list| !list.is_empty())?;
        let default_latency = scope.best_latency(now).unwrap_or(DEFAULT_LATENCY_MS);
        self.pick_better(&candidates, default_latency, now, rng)
    }

    /// Returns a replica for a hedge, or `None` if the replica picked is slow, ejected or shedding.
    pub fn pick_hedge<'a>(
        &self,
        scope: &PickScope<'a>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<TargetRoute>> {
        let picked = self.pick(scope, now, rng)?;
        let view = picked.load.view(now);
        let is_healthy =
            !view.ejected && !view.shedding && !is_slow(&view, scope.best_latency(now));
        is_healthy.then_some(picked)
    }

    /// Begins the probe of one untried replica that is ejected, or that is slow by an old estimate,
    /// and returns the replica. The probe of a slow replica requires that `may_spend` returns true.
    pub fn begin_probe<'a>(
        &self,
        scope: &PickScope<'a>,
        now: Timestamp,
        may_spend: impl Fn() -> bool,
    ) -> Option<&'a Arc<TargetRoute>> {
        let best = scope.best_latency(now);
        let is_worth_probing = |view: &LoadView| view.ejected || is_slow(view, best);
        scope
            .eligible_replicas(now)
            .filter(|(_, view)| is_worth_probing(view))
            .find(|(route, _)| route.load.begin_probe(now, &may_spend))
            .map(|(route, _)| route)
    }

    fn pick_better<'a>(
        &self,
        candidates: &[(&'a Arc<TargetRoute>, LoadView)],
        default_latency: f64,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<TargetRoute>> {
        match candidates {
            [] => None,
            [(only, _)] => Some(only),
            _ => {
                let first = rng.random_range(0..candidates.len());
                let step = rng.random_range(1..candidates.len());
                let second = (first + step) % candidates.len();
                let (a, b) = (&candidates[first], &candidates[second]);
                let score = |candidate| self.score(candidate, default_latency, now);
                let better = if score(a) <= score(b) { a } else { b };
                Some(better.0)
            }
        }
    }

    /// Returns the expected latency of a new attempt at a replica, in milliseconds and weighted by
    /// zone and cold start. Lower is better.
    fn score(
        &self,
        candidate: &(&Arc<TargetRoute>, LoadView),
        default_latency: f64,
        now: Timestamp,
    ) -> f64 {
        let (route, view) = candidate;
        let latency = view.latency_ms.unwrap_or(default_latency).max(0.01);
        let mut score = latency * f64::from(view.in_flight + 1);
        if route.zone != self.zone {
            score *= REMOTE_ZONE_FACTOR;
        }
        let age = now.since(route.ready_since);
        if age < self.cold_start {
            let remaining = 1.0 - age.as_secs_f64() / self.cold_start.as_secs_f64();
            score *= 1.0 + (COLD_START_FACTOR - 1.0) * remaining;
        }
        score
    }
}

/// Returns whether a replica is much slower than the best one.
fn is_slow(view: &LoadView, best: Option<f64>) -> bool {
    let Some((latency, best)) = view.latency_ms.zip(best) else { return false };
    view.samples >= SLOW_SAMPLES && latency > best + SLOW_MARGIN_MS && latency > best * SLOW_FACTOR
}
