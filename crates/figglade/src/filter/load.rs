//! What attempts showed of each target: latency, work in flight, ejection, drain and shedding.

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

/// The weight of a new latency sample.
const LATENCY_WEIGHT: f64 = 0.1;
/// The weight of the sample of a probe, which is rare.
const PROBE_WEIGHT: f64 = 0.3;
/// The failures in a row that eject a target.
const EJECTION_FAILURES: u32 = 3;
/// The shortest ejection.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// How long a target that answered that it drains gets no work.
const DRAIN_PAUSE: Duration = Duration::from_secs(5);
/// How long a target that shed a request is avoided.
const SHED_PAUSE: Duration = Duration::from_millis(50);
/// How long a target that did not hold a snapshot is not asked for it.
const LACK_PAUSE: Duration = Duration::from_secs(2);
/// The most snapshots remembered as not held by one target.
const MAX_LACKS: usize = 8;
/// The time between two probes of one target, and the age of an estimate worth a probe.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// The requests that may be at a target beyond its slots, so that a slot that turns free finds work.
const LIMIT_ALLOWANCE: u32 = 2;
/// What shed requests leave of the limit.
const SHED_FACTOR: f64 = 0.8;
/// The least share of the limit that is left.
const MIN_LIMIT_SHARE: f64 = 0.01;
/// The share of the limit that each answer gives back.
const LIMIT_STEP: f64 = 0.01;

/// How an attempt ended, as the load estimate sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A usable answer came.
    Answered,
    /// The attempt failed.
    Failed(AttemptError),
    /// Another attempt won; the time spent is a lower bound of the latency.
    Superseded,
    /// The request ended before the attempt did.
    Cancelled,
}

/// What the end of an attempt changed about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// Nothing worth a note.
    None,
    /// The target was ejected.
    Ejected,
    /// The target answered again after an ejection.
    Returned,
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
    samples: u32,
    sampled_at: Timestamp,
    failures: u32,
    ejections: u32,
    /// When the ejection turns half-open; it ends only with an answer.
    ejected_until: Option<Timestamp>,
    draining_until: Timestamp,
    shedding_until: Timestamp,
    probe_after: Timestamp,
    /// The share of the limit of requests in flight that shed requests took.
    limit_cut: f64,
    lacks: Vec<LackedSnapshot>,
}

/// A snapshot that a target answered it does not hold.
#[derive(Debug)]
struct LackedSnapshot {
    index: IndexName,
    key: SnapshotKey,
    until: Timestamp,
}

/// A moment's view of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadView {
    /// The attempts this instance has in flight.
    pub in_flight: u32,
    /// The estimated latency, in milliseconds; `None` before the first answer.
    pub latency_ms: Option<f64>,
    /// The answers that the estimate rests on.
    pub samples: u32,
    /// Whether the target is ejected or has not answered since.
    pub ejected: bool,
    /// Whether the target answered that it is draining.
    pub draining: bool,
    /// Whether the target shed a request a moment ago.
    pub shedding: bool,
}

impl TargetLoad {
    /// Returns the present view.
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

    /// Returns how many requests may be at the target at a time, where it has `slots` for this
    /// instance; at least one, and fewer after it shed some.
    pub fn limit(&self, slots: u32) -> u32 {
        let most = f64::from(slots + LIMIT_ALLOWANCE);
        (most * (1.0 - lock(&self.state).limit_cut)).max(1.0) as u32
    }

    /// Counts an attempt that starts.
    pub fn begin_attempt(&self) {
        lock(&self.state).in_flight += 1;
    }

    /// Counts an attempt that ends after `elapsed`; `may_eject` is asked before an ejection that
    /// lasts until the time given to it.
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
            AttemptEnd::Answered => state.take_answer(elapsed, now, LATENCY_WEIGHT),
            AttemptEnd::Superseded => {
                state.raise_estimate(elapsed, now);
                state.add_failure(now, may_eject)
            }
            AttemptEnd::Cancelled => TargetChange::None,
            AttemptEnd::Failed(error) => state.take_failure(error, now, may_eject),
        }
    }

    /// Counts the end of a probe, whose sample weighs more.
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
            Ok(()) => state.take_answer(elapsed, now, PROBE_WEIGHT),
            Err(error) => state.take_failure(error, now, may_eject),
        }
    }

    /// Claims the right to probe the target: one probe a period, and none while an ejection has
    /// not turned half-open. The probe of a target that is not ejected must be paid for by
    /// `may_spend`.
    pub fn begin_probe(&self, now: Timestamp, may_spend: impl FnOnce() -> bool) -> bool {
        let mut state = lock(&self.state);
        let fresh = match state.ejected_until {
            Some(until) => now < until,
            None => now < state.sampled_at + PROBE_PERIOD,
        };
        if fresh || now < state.probe_after {
            return false;
        }
        if state.ejected_until.is_none() && !may_spend() {
            return false;
        }
        state.probe_after = now + PROBE_PERIOD;
        state.in_flight += 1;
        true
    }

    /// Remembers for a while that the target does not hold a snapshot.
    pub fn record_missing_snapshot(&self, index: &IndexName, key: SnapshotKey, now: Timestamp) {
        let mut state = lock(&self.state);
        state.lacks.retain(|lack| now < lack.until && !lack.is_of(index, key));
        if state.lacks.len() >= MAX_LACKS {
            state.lacks.remove(0);
        }
        state.lacks.push(LackedSnapshot { index: index.clone(), key, until: now + LACK_PAUSE });
    }

    /// Returns whether the target answered a moment ago that it does not hold a snapshot.
    pub fn is_snapshot_missing(&self, index: &IndexName, key: SnapshotKey, now: Timestamp) -> bool {
        let state = lock(&self.state);
        state.lacks.iter().any(|lack| now < lack.until && lack.is_of(index, key))
    }
}

impl LackedSnapshot {
    fn is_of(&self, index: &IndexName, key: SnapshotKey) -> bool {
        self.key == key && self.index == *index
    }
}

impl LoadState {
    fn take_answer(&mut self, elapsed: Duration, now: Timestamp, weight: f64) -> TargetChange {
        let sample = elapsed.as_secs_f64() * 1_000.0;
        let estimate = self.latency_ms.unwrap_or(sample);
        self.samples = self.samples.saturating_add(1);
        // The first samples count alike, so that the very first one does not linger.
        let weight = weight.max(1.0 / f64::from(self.samples));
        self.latency_ms = Some(estimate + weight * (sample - estimate));
        self.sampled_at = now;
        self.failures = 0;
        self.limit_cut = (self.limit_cut - LIMIT_STEP).max(0.0);
        if self.ejected_until.take().is_some() {
            return TargetChange::Returned;
        }
        // Only an answer that was not the one after an ejection shows that the target recovered.
        self.ejections = 0;
        TargetChange::None
    }

    /// Takes a latency that was at least reached; one that is below the estimate says nothing.
    fn raise_estimate(&mut self, elapsed: Duration, now: Timestamp) {
        let sample = elapsed.as_secs_f64() * 1_000.0;
        let estimate = self.latency_ms.unwrap_or(sample);
        if sample >= estimate {
            self.latency_ms = Some(estimate + LATENCY_WEIGHT * (sample - estimate));
            self.sampled_at = now;
        }
    }

    fn take_failure(
        &mut self,
        error: AttemptError,
        now: Timestamp,
        may_eject: impl FnOnce(Timestamp) -> bool,
    ) -> TargetChange {
        match error {
            AttemptError::Draining => self.draining_until = now + DRAIN_PAUSE,
            AttemptError::Shed => self.take_shed(now),
            AttemptError::VersionNotHeld => {}
            _ => return self.add_failure(now, may_eject),
        }
        TargetChange::None
    }

    /// Lowers the limit once for all that was shed in a moment.
    fn take_shed(&mut self, now: Timestamp) {
        if now >= self.shedding_until {
            let left = (1.0 - self.limit_cut) * SHED_FACTOR;
            self.limit_cut = 1.0 - left.max(MIN_LIMIT_SHARE);
        }
        self.shedding_until = now + SHED_PAUSE;
    }

    fn add_failure(
        &mut self,
        now: Timestamp,
        may_eject: impl FnOnce(Timestamp) -> bool,
    ) -> TargetChange {
        self.failures += 1;
        let enough = match self.ejected_until {
            // A half-open target has one chance.
            Some(until) => now >= until,
            None => self.failures >= EJECTION_FAILURES,
        };
        let period = MIN_EJECTION * 2_u32.saturating_pow(self.ejections.min(5));
        let until = now + period.min(MAX_EJECTION);
        if !enough || !may_eject(until) {
            return TargetChange::None;
        }
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(until);
        TargetChange::Ejected
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
