//! Choice of a replica from latency, load, zone and ejection.

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

/// The latency assumed where no replica of a shard was asked yet, in milliseconds.
const UNKNOWN_LATENCY_MS: f64 = 1.0;
/// How much worse the own zone may score before another zone is preferred.
const OWN_ZONE_FACTOR: f64 = 1.5;
/// How much worse a target that has just started scores.
const COLD_START_FACTOR: f64 = 4.0;
/// How many times the latency of the best replica makes a replica slow.
const SLOW_FACTOR: f64 = 3.0;
/// The answers before which an estimate shows nothing about a replica.
const SLOW_SAMPLES: u32 = 5;
/// The difference to the best replica below which none counts as slow, in milliseconds.
const SLOW_MARGIN_MS: f64 = 2.0;
/// How long an ejection counts against the cap after it turned half-open without a probe.
const HALF_OPEN_COUNTED: Duration = Duration::from_secs(5);

/// Picks a replica for an attempt.
#[derive(Debug)]
pub struct ReplicaPicker {
    /// The availability zone of this instance.
    pub zone: ZoneName,
    /// The time over which a new target reaches full weight.
    pub cold_start: Duration,
    /// Ejections in force, counted against the cap.
    pub ejections: Arc<EjectionCounter>,
    /// The targets that take new work now.
    pub live: LiveTargets,
}

/// The targets of an index that take new work now, which a pinned snapshot may outlive.
#[derive(Debug, Default)]
pub struct LiveTargets {
    targets: Mutex<Option<Arc<HashSet<TargetId>>>>,
}

impl LiveTargets {
    /// Replaces the targets.
    pub fn set(&self, targets: HashSet<TargetId>) {
        *lock(&self.targets) = Some(Arc::new(targets));
    }

    /// Returns the targets, or `None` before they were set.
    pub fn get(&self) -> Option<Arc<HashSet<TargetId>>> {
        lock(&self.targets).clone()
    }
}

/// Bounds how many targets may be ejected at a time.
#[derive(Debug, Default)]
pub struct EjectionCounter {
    ejected: Mutex<HashMap<TargetId, Timestamp>>,
    targets: AtomicU32,
}

impl EjectionCounter {
    /// Sets the number of targets that the cap is a share of.
    pub fn set_target_count(&self, targets: u32) {
        self.targets.store(targets, Ordering::Relaxed);
    }

    /// Returns whether `target` may be ejected until `until`, and counts it.
    pub fn try_eject(
        &self,
        target: &TargetId,
        until: Timestamp,
        now: Timestamp,
        max_share: f64,
    ) -> bool {
        let mut ejected = lock(&self.ejected);
        ejected.retain(|_, until| now < *until + HALF_OPEN_COUNTED);
        let others = ejected.keys().filter(|other| *other != target).count();
        let allowed = f64::from(self.targets.load(Ordering::Relaxed)) * max_share;
        if others as f64 + 1.0 > allowed {
            return false;
        }
        ejected.insert(target.clone(), until);
        true
    }

    /// Stops counting a target that answered again.
    pub fn release(&self, target: &TargetId) {
        lock(&self.ejected).remove(target);
    }
}

/// The replicas that an attempt may go to.
#[derive(Clone, Copy, Debug)]
pub struct PickScope<'a> {
    /// The replicas of the shard.
    pub replicas: &'a [Arc<TargetRoute>],
    /// The targets tried before.
    pub tried: &'a [TargetId],
    /// The snapshot that the attempt needs; `None` where any will do.
    pub snapshot: Option<(&'a IndexName, SnapshotKey)>,
    /// The targets that take new work; `None` where the replicas were read just now.
    pub live: Option<&'a HashSet<TargetId>>,
}

impl<'a> PickScope<'a> {
    /// Lists the replicas not tried yet that may hold the snapshot and do not drain.
    fn list_untried(
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
    /// Picks the better of two random replicas, or `None` when every replica was tried, drains or
    /// lacks the snapshot. Replicas that shed a moment ago and then ejected ones are last resorts.
    pub fn pick<'a>(
        &self,
        scope: &PickScope<'a>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<TargetRoute>> {
        let (mut fit, mut shedding, mut ejected) = (Vec::new(), Vec::new(), Vec::new());
        for (route, view) in scope.list_untried(now) {
            let list = if view.ejected {
                &mut ejected
            } else if view.shedding {
                &mut shedding
            } else {
                &mut fit
            };
            list.push((route, view));
        }
        let lists = [fit, shedding, ejected];
        let candidates = lists.into_iter().find(|list| !list.is_empty())?;
        let unknown = scope.best_latency(now).unwrap_or(UNKNOWN_LATENCY_MS);
        self.pick_better(&candidates, unknown, now, rng)
    }

    /// Returns the healthy replica to hedge on, or `None` when every other one is slow, ejected or
    /// sheds.
    pub fn pick_hedge<'a>(
        &self,
        scope: &PickScope<'a>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<TargetRoute>> {
        let picked = self.pick(scope, now, rng)?;
        let view = picked.load.view(now);
        let healthy = !view.ejected && !view.shedding && !is_slow(&view, scope.best_latency(now));
        healthy.then_some(picked)
    }

    /// Claims the probe of one replica other than `asked` that is ejected or whose estimate is
    /// slow and old. `may_spend` is asked before the probe of a slow one.
    pub fn claim_probe<'a>(
        &self,
        scope: &PickScope<'a>,
        now: Timestamp,
        may_spend: impl Fn() -> bool,
    ) -> Option<&'a Arc<TargetRoute>> {
        let best = scope.best_latency(now);
        let worth = |view: &LoadView| view.ejected || is_slow(view, best);
        scope
            .list_untried(now)
            .filter(|(_, view)| worth(view))
            .find(|(route, _)| route.load.begin_probe(now, &may_spend))
            .map(|(route, _)| route)
    }

    fn pick_better<'a>(
        &self,
        candidates: &[(&'a Arc<TargetRoute>, LoadView)],
        unknown: f64,
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
                let score = |candidate| self.score(candidate, unknown, now);
                let better = if score(a) <= score(b) { a } else { b };
                Some(better.0)
            }
        }
    }

    /// Estimates the wait at a replica, in milliseconds; lower is better.
    fn score(
        &self,
        candidate: &(&Arc<TargetRoute>, LoadView),
        unknown: f64,
        now: Timestamp,
    ) -> f64 {
        let (route, view) = candidate;
        let latency = view.latency_ms.unwrap_or(unknown).max(0.01);
        let mut score = latency * f64::from(view.in_flight + 1);
        if route.zone != self.zone {
            score *= OWN_ZONE_FACTOR;
        }
        let age = now.since(route.ready_since);
        if age < self.cold_start {
            let rest = 1.0 - age.as_secs_f64() / self.cold_start.as_secs_f64();
            score *= 1.0 + (COLD_START_FACTOR - 1.0) * rest;
        }
        score
    }
}

/// Returns whether a replica is far slower than the best one.
fn is_slow(view: &LoadView, best: Option<f64>) -> bool {
    let Some((latency, best)) = view.latency_ms.zip(best) else { return false };
    view.samples >= SLOW_SAMPLES && latency > best + SLOW_MARGIN_MS && latency > best * SLOW_FACTOR
}
