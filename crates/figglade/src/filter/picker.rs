//! Choice of a replica from latency, load, zone and ejection.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use rand::{Rng, RngExt};

use crate::{
    Incarnation, TargetId, Timestamp, ZoneName,
    border::AttemptError,
    filter::{budget::lock, routing::TargetRoute},
};

/// The weight of a new latency sample.
const LATENCY_WEIGHT: f64 = 0.2;
/// The time constant after which an old latency estimate has faded, in seconds.
const LATENCY_FADE_SECONDS: f64 = 10.0;
/// The latency assumed of a target nobody has asked yet, in milliseconds.
const UNKNOWN_LATENCY_MS: f64 = 1.0;
/// The failures in a row that eject a target.
const EJECTION_FAILURES: u32 = 3;
/// The shortest ejection.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// How much worse the own zone may score before another zone is preferred.
const OWN_ZONE_FACTOR: f64 = 1.5;
/// How much worse a target that has just started scores.
const COLD_START_FACTOR: f64 = 4.0;

/// How an attempt ended, as the load estimate sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A usable answer came.
    Answered,
    /// The attempt failed.
    Failed(AttemptError),
    /// Another attempt won; the time spent is a lower bound of the latency.
    Overtaken,
    /// The request ended before the attempt did.
    Abandoned,
}

/// What attempts showed of one target.
#[derive(Debug, Default)]
pub struct TargetLoad {
    state: Mutex<LoadState>,
}

#[derive(Debug, Default)]
struct LoadState {
    in_flight: u32,
    latency_ms: Option<f64>,
    sampled_at: Timestamp,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    draining: bool,
}

/// A moment's view of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadView {
    /// The attempts this instance has in flight.
    pub in_flight: u32,
    /// The estimated latency, in milliseconds; `None` before the first answer.
    pub latency_ms: Option<f64>,
    /// Whether the target is ejected.
    pub ejected: bool,
    /// Whether the target answered that it is draining.
    pub draining: bool,
}

impl TargetLoad {
    /// Returns the present view.
    pub fn view(&self, now: Timestamp) -> LoadView {
        let state = lock(&self.state);
        let fade = |estimate: f64| {
            let age = now.since(state.sampled_at).as_secs_f64();
            estimate * (-age / LATENCY_FADE_SECONDS).exp()
        };
        LoadView {
            in_flight: state.in_flight,
            latency_ms: state.latency_ms.map(fade),
            ejected: state.ejected_until.is_some_and(|until| now < until),
            draining: state.draining,
        }
    }

    /// Counts an attempt that starts.
    pub fn begin_attempt(&self) {
        lock(&self.state).in_flight += 1;
    }

    /// Counts an attempt that ends after `elapsed`; `may_eject` is asked before an ejection.
    pub fn end_attempt(
        &self,
        end: AttemptEnd,
        elapsed: Duration,
        now: Timestamp,
        may_eject: impl FnOnce() -> bool,
    ) -> bool {
        let mut state = lock(&self.state);
        state.in_flight = state.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Answered => {
                state.failures = 0;
                state.ejections = 0;
                state.add_sample(elapsed, now);
                false
            }
            AttemptEnd::Overtaken => {
                state.raise_sample(elapsed, now);
                state.add_failure(now, may_eject)
            }
            AttemptEnd::Abandoned => false,
            AttemptEnd::Failed(AttemptError::Draining) => {
                state.draining = true;
                false
            }
            AttemptEnd::Failed(AttemptError::Shed | AttemptError::VersionNotHeld) => false,
            AttemptEnd::Failed(_) => state.add_failure(now, may_eject),
        }
    }
}

impl LoadState {
    fn add_sample(&mut self, elapsed: Duration, now: Timestamp) {
        let sample = elapsed.as_secs_f64() * 1_000.0;
        let estimate = self.latency_ms.unwrap_or(sample);
        self.latency_ms = Some(estimate + LATENCY_WEIGHT * (sample - estimate));
        self.sampled_at = now;
    }

    /// Raises the estimate to a latency that was at least reached.
    fn raise_sample(&mut self, elapsed: Duration, now: Timestamp) {
        let sample = elapsed.as_secs_f64() * 1_000.0;
        self.latency_ms = Some(self.latency_ms.unwrap_or(0.0).max(sample));
        self.sampled_at = now;
    }

    fn add_failure(&mut self, now: Timestamp, may_eject: impl FnOnce() -> bool) -> bool {
        self.failures += 1;
        let ejected = self.ejected_until.is_some_and(|until| now < until);
        if self.failures < EJECTION_FAILURES || ejected || !may_eject() {
            return false;
        }
        let period = MIN_EJECTION * 2_u32.saturating_pow(self.ejections.min(5));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + period.min(MAX_EJECTION));
        true
    }
}

/// The load of every target known, in shards under their own locks.
#[derive(Debug)]
pub struct LoadRegistry {
    shards: Vec<RegistryShard>,
}

type RegistryShard = Mutex<HashMap<TargetId, (Incarnation, Arc<TargetLoad>)>>;

/// The shards of the load registry.
const REGISTRY_SHARDS: usize = 16;

impl Default for LoadRegistry {
    fn default() -> Self {
        Self { shards: (0..REGISTRY_SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl LoadRegistry {
    /// Returns the load of `target`; a new incarnation starts with a clean one.
    pub fn load_of(&self, target: &TargetId, incarnation: Incarnation) -> Arc<TargetLoad> {
        let mut loads = lock(self.shard_of(target));
        let entry = loads.entry(target.clone()).or_insert_with(|| (incarnation, Arc::default()));
        if entry.0 != incarnation {
            *entry = (incarnation, Arc::default());
        }
        Arc::clone(&entry.1)
    }

    /// Forgets a target that left.
    pub fn forget(&self, target: &TargetId) {
        lock(self.shard_of(target)).remove(target);
    }

    fn shard_of(&self, target: &TargetId) -> &RegistryShard {
        let hash = xxhash_rust::xxh3::xxh3_64(target.as_str().as_bytes());
        &self.shards[(hash % REGISTRY_SHARDS as u64) as usize]
    }
}

/// Picks a replica for an attempt.
#[derive(Debug)]
pub struct ReplicaPicker {
    /// The availability zone of this instance.
    pub zone: ZoneName,
    /// The time over which a new target reaches full weight.
    pub cold_start: Duration,
    /// Ejections in force, counted against the cap.
    pub ejections: Arc<EjectionCounter>,
}

/// Bounds how many targets may be ejected at a time.
#[derive(Debug, Default)]
pub struct EjectionCounter {
    recent: Mutex<Vec<Timestamp>>,
    targets: AtomicU32,
}

impl EjectionCounter {
    /// Sets the number of targets that the cap is a share of.
    pub fn set_targets(&self, targets: u32) {
        self.targets.store(targets, Ordering::Relaxed);
    }

    /// Returns whether one more target may be ejected, and counts it.
    pub fn try_eject(&self, now: Timestamp, max_share: f64) -> bool {
        let mut recent = lock(&self.recent);
        recent.retain(|until| now < *until);
        let allowed = f64::from(self.targets.load(Ordering::Relaxed)) * max_share;
        if recent.len() as f64 + 1.0 > allowed {
            return false;
        }
        recent.push(now + MAX_EJECTION);
        true
    }
}

impl ReplicaPicker {
    /// Picks the better of two random replicas that are not in `tried`, or `None` when every
    /// replica was tried. Ejected and draining replicas are the last resort and none at all.
    pub fn pick<'a>(
        &self,
        replicas: &'a [Arc<TargetRoute>],
        tried: &[TargetId],
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<TargetRoute>> {
        let mut fit = Vec::with_capacity(replicas.len());
        let mut ejected = Vec::new();
        for route in replicas.iter().filter(|route| !tried.contains(&route.target)) {
            let view = route.load.view(now);
            if view.draining {
                continue;
            }
            let list = if view.ejected { &mut ejected } else { &mut fit };
            list.push((route, view));
        }
        let candidates = if fit.is_empty() { ejected } else { fit };
        self.pick_better(&candidates, now, rng)
    }

    /// Returns the healthy replica to hedge on, or `None` when every other one is slow too.
    pub fn pick_hedge<'a>(
        &self,
        replicas: &'a [Arc<TargetRoute>],
        tried: &[TargetId],
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<TargetRoute>> {
        let picked = self.pick(replicas, tried, now, rng)?;
        let view = picked.load.view(now);
        (!view.ejected).then_some(picked)
    }

    fn pick_better<'a>(
        &self,
        candidates: &[(&'a Arc<TargetRoute>, LoadView)],
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
                let better = if self.score(a, now) <= self.score(b, now) { a } else { b };
                Some(better.0)
            }
        }
    }

    /// Estimates the wait at a replica, in milliseconds; lower is better.
    fn score(&self, candidate: &(&Arc<TargetRoute>, LoadView), now: Timestamp) -> f64 {
        let (route, view) = candidate;
        let latency = view.latency_ms.unwrap_or(UNKNOWN_LATENCY_MS).max(0.01);
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
