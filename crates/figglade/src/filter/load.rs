//! Load and health of each target as observed from attempts: latency, attempts in flight, ejection,
//! draining and load shedding.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    Incarnation, IndexName, TargetId, Timestamp,
    border::AttemptError,
    filter::{budget::lock, routing::SnapshotKey},
};

/// The weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// The weight of the sample of a probe. It is higher because probes are rare.
const PROBE_WEIGHT: f64 = 0.3;
/// The number of consecutive failures after which a target is ejected.
const EJECTION_FAILURES: u32 = 3;
/// The shortest ejection.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// The time for which a target that answered that it is draining gets no attempts.
const DRAIN_COOLDOWN: Duration = Duration::from_secs(5);
/// The time for which a target that shed a request is avoided.
const SHED_COOLDOWN: Duration = Duration::from_millis(50);
/// The time for which a target that answered that it does not hold a snapshot gets no attempts for
/// it.
const MISSING_SNAPSHOT_TTL: Duration = Duration::from_secs(2);
/// The maximum number of missing snapshots recorded per target.
const MAX_MISSING_SNAPSHOTS: usize = 8;
/// The shortest time between two probes of one target, and the age at which its latency estimate is
/// old enough for a probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of requests beyond its slots that a target may be sent, so that a slot that becomes
/// free has a request to run.
const LIMIT_HEADROOM: u32 = 2;
/// The multiplier that a shed request applies to the limit of a target.
const LIMIT_DECREASE_FACTOR: f64 = 0.8;
/// The lower bound of the limit, as a fraction of the full limit.
const MIN_LIMIT_FRACTION: f64 = 0.01;
/// The fraction of the full limit that each answer restores.
const LIMIT_RECOVERY_STEP: f64 = 0.01;

/// How an attempt ended, as far as the load estimate distinguishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target sent a valid answer.
    Answered,
    /// The attempt failed.
    Failed(AttemptError),
    /// Another attempt answered first; the time spent is a lower bound of the latency.
    Superseded,
    /// The attempt was cancelled, because the request ended or another attempt answered first.
    /// Nothing is inferred from it.
    Cancelled,
}

/// The change of the ejection state of a target at the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// No change.
    None,
    /// The target was ejected.
    Ejected,
    /// The target answered again after an ejection.
    Returned,
}

/// Load and health of one target.
#[derive(Debug, Default)]
pub struct TargetLoad {
    state: Mutex<LoadState>,
}

#[derive(Debug, Default)]
struct LoadState {
    in_flight: u32,
    latency_ms: Option<f64>,
    samples: u32,
    sampled_at: Timestamp,
    failures: u32,
    ejections: u32,
    /// When the ejection becomes half-open. The ejection ends only with an answer.
    ejected_until: Option<Timestamp>,
    draining_until: Timestamp,
    shedding_until: Timestamp,
    probe_after: Timestamp,
    /// The fraction of the full limit by which shed requests have lowered the limit.
    limit_reduction: f64,
    missing_snapshots: Vec<MissingSnapshot>,
}

/// A snapshot that a target answered that it does not hold.
#[derive(Debug)]
struct MissingSnapshot {
    index: IndexName,
    key: SnapshotKey,
    until: Timestamp,
}

/// The state of a target at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadView {
    /// The number of attempts that this instance has in flight.
    pub in_flight: u32,
    /// The estimated latency, in milliseconds; `None` before the first answer.
    pub latency_ms: Option<f64>,
    /// The number of answers that the estimate is based on.
    pub samples: u32,
    /// Whether the target has been ejected and has not answered since.
    pub ejected: bool,
    /// Whether the target answered that it is draining.
    pub draining: bool,
    /// Whether the target has recently shed a request.
    pub shedding: bool,
}

impl TargetLoad {
    /// Returns the state at `now`.
    pub fn view(&self, now: Timestamp) -> LoadView {
        let state = lock(&self.state);
        LoadView {
            in_flight: state.in_flight,
            latency_ms: state.latency_ms,
            samples: state.samples,
            ejected: state.ejected_until.is_some(),
            draining: now < state.draining_until,
            shedding: now < state.shedding_until,
        }
    }

    /// Returns the maximum number of concurrent requests at a target that has `slots` for this
    /// instance. It is at least one, and lower after the target shed requests.
    pub fn limit(&self, slots: u32) -> u32 {
        let full_limit = f64::from(slots + LIMIT_HEADROOM);
        (full_limit * (1.0 - lock(&self.state).limit_reduction)).max(1.0) as u32
    }

    /// Records the start of an attempt.
    pub fn begin_attempt(&self) {
        lock(&self.state).in_flight += 1;
    }

    /// Records the end of an attempt that took `elapsed`. Before an ejection, `may_eject` is called
    /// with the time until which it would last.
    pub fn finish_attempt(
        &self,
        end: AttemptEnd,
        elapsed: Duration,
        now: Timestamp,
        may_eject: impl FnOnce(Timestamp) -> bool,
    ) -> TargetChange {
        let mut state = lock(&self.state);
        state.in_flight = state.in_flight.saturating_sub(1);
        match end {
            AttemptEnd::Answered => state.record_answer(elapsed, now, LATENCY_WEIGHT),
            AttemptEnd::Superseded => {
                state.raise_estimate(elapsed, now);
                state.count_failure(now, may_eject)
            }
            AttemptEnd::Cancelled => TargetChange::None,
            AttemptEnd::Failed(error) => state.record_failure(error, now, may_eject),
        }
    }

    /// Records the end of a probe, whose sample has a higher weight.
    pub fn finish_probe(
        &self,
        answer: Result<(), AttemptError>,
        elapsed: Duration,
        now: Timestamp,
        may_eject: impl FnOnce(Timestamp) -> bool,
    ) -> TargetChange {
        let mut state = lock(&self.state);
        state.in_flight = state.in_flight.saturating_sub(1);
        match answer {
            Ok(()) => state.record_answer(elapsed, now, PROBE_WEIGHT),
            Err(error) => state.record_failure(error, now, may_eject),
        }
    }

    /// Begins a probe of the target and returns true if one is due: at most one per interval, and
    /// none before an ejection becomes half-open. The probe of a target that is not ejected also
    /// requires that `may_spend` returns true.
    pub fn begin_probe(&self, now: Timestamp, may_spend: impl FnOnce() -> bool) -> bool {
        let mut state = lock(&self.state);
        let is_too_early = match state.ejected_until {
            Some(until) => now < until,
            None => now < state.sampled_at + PROBE_INTERVAL,
        };
        if is_too_early || now < state.probe_after {
            return false;
        }
        if state.ejected_until.is_none() && !may_spend() {
            return false;
        }
        state.probe_after = now + PROBE_INTERVAL;
        state.in_flight += 1;
        true
    }

    /// Records that the target does not hold a snapshot.
    pub fn record_missing_snapshot(&self, index: &IndexName, key: SnapshotKey, now: Timestamp) {
        let mut state = lock(&self.state);
        state
            .missing_snapshots
            .retain(|missing| now < missing.until && !missing.matches(index, key));
        if state.missing_snapshots.len() >= MAX_MISSING_SNAPSHOTS {
            state.missing_snapshots.remove(0);
        }
        state.missing_snapshots.push(MissingSnapshot {
            index: index.clone(),
            key,
            until: now + MISSING_SNAPSHOT_TTL,
        });
    }

    /// Returns whether the target has recently answered that it does not hold a snapshot.
    pub fn is_snapshot_missing(&self, index: &IndexName, key: SnapshotKey, now: Timestamp) -> bool {
        let state = lock(&self.state);
        state
            .missing_snapshots
            .iter()
            .any(|missing| now < missing.until && missing.matches(index, key))
    }
}

impl MissingSnapshot {
    fn matches(&self, index: &IndexName, key: SnapshotKey) -> bool {
        self.key == key && self.index == *index
    }
}

impl LoadState {
    fn record_answer(&mut self, elapsed: Duration, now: Timestamp, weight: f64) -> TargetChange {
        let sample = elapsed.as_secs_f64() * 1_000.0;
        let estimate = self.latency_ms.unwrap_or(sample);
        self.samples = self.samples.saturating_add(1);
        // The first samples have equal weights, so that the first one does not dominate the
        // average.
        let weight = weight.max(1.0 / f64::from(self.samples));
        self.latency_ms = Some(estimate + weight * (sample - estimate));
        self.sampled_at = now;
        self.failures = 0;
        self.limit_reduction = (self.limit_reduction - LIMIT_RECOVERY_STEP).max(0.0);
        if self.ejected_until.take().is_some() {
            return TargetChange::Returned;
        }
        // The answer that ends an ejection does not yet show that the target has recovered; the
        // next one does.
        self.ejections = 0;
        TargetChange::None
    }

    /// Updates the estimate with a lower bound of the latency. A bound below the estimate carries
    /// no information.
    fn raise_estimate(&mut self, elapsed: Duration, now: Timestamp) {
        let sample = elapsed.as_secs_f64() * 1_000.0;
        let estimate = self.latency_ms.unwrap_or(sample);
        if sample >= estimate {
            self.latency_ms = Some(estimate + LATENCY_WEIGHT * (sample - estimate));
            self.sampled_at = now;
        }
    }

    fn record_failure(
        &mut self,
        error: AttemptError,
        now: Timestamp,
        may_eject: impl FnOnce(Timestamp) -> bool,
    ) -> TargetChange {
        match error {
            AttemptError::Draining => self.draining_until = now + DRAIN_COOLDOWN,
            AttemptError::Shed => self.record_shed(now),
            AttemptError::VersionNotHeld => {}
            _ => return self.count_failure(now, may_eject),
        }
        TargetChange::None
    }

    /// Lowers the limit, unless another request was shed within the preceding cooldown.
    fn record_shed(&mut self, now: Timestamp) {
        if now >= self.shedding_until {
            let left = (1.0 - self.limit_reduction) * LIMIT_DECREASE_FACTOR;
            self.limit_reduction = 1.0 - left.max(MIN_LIMIT_FRACTION);
        }
        self.shedding_until = now + SHED_COOLDOWN;
    }

    fn count_failure(
        &mut self,
        now: Timestamp,
        may_eject: impl FnOnce(Timestamp) -> bool,
    ) -> TargetChange {
        self.failures += 1;
        let is_due = match self.ejected_until {
            // A half-open target is ejected again after a single failure.
            Some(until) => now >= until,
            None => self.failures >= EJECTION_FAILURES,
        };
        let period = MIN_EJECTION * 2_u32.saturating_pow(self.ejections.min(5));
        let until = now + period.min(MAX_EJECTION);
        if !is_due || !may_eject(until) {
            return TargetChange::None;
        }
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(until);
        TargetChange::Ejected
    }
}

/// The load of every known target, split into shards that each have their own lock.
#[derive(Debug)]
pub struct LoadRegistry {
    shards: Vec<RegistryShard>,
}

type RegistryShard = Mutex<HashMap<TargetId, (Incarnation, Arc<TargetLoad>)>>;

/// The number of shards of the registry.
const REGISTRY_SHARDS: usize = 16;

impl Default for LoadRegistry {
    fn default() -> Self {
        Self { shards: (0..REGISTRY_SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl LoadRegistry {
    /// Returns the load of `target`, which is reset for a new incarnation.
    pub fn load_of(&self, target: &TargetId, incarnation: Incarnation) -> Arc<TargetLoad> {
        let mut loads = lock(self.shard_of(target));
        let entry = loads.entry(target.clone()).or_insert_with(|| (incarnation, Arc::default()));
        if entry.0 != incarnation {
            *entry = (incarnation, Arc::default());
        }
        Arc::clone(&entry.1)
    }

    /// Removes a target that has left.
    pub fn remove(&self, target: &TargetId) {
        lock(self.shard_of(target)).remove(target);
    }

    fn shard_of(&self, target: &TargetId) -> &RegistryShard {
        let hash = xxhash_rust::xxh3::xxh3_64(target.as_str().as_bytes());
        &self.shards[(hash % REGISTRY_SHARDS as u64) as usize]
    }
}
