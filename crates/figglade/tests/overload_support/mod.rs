//! A simulated instance: one thread that runs the steps of requests in the order in which they become
//! ready, in front of targets with a fixed answer time.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use figglade::{
    CustomerName, Timestamp,
    filter::overload::{
        LoadAdmission, LoadDecision, LoadRequest, RefusalReason, SAMPLE_INTERVAL, min_answer_time,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The thread's time for reading a request and deciding on it.
const ACCEPT_WORK: Duration = Duration::from_millis(1);
/// The time over which the floor against starvation is checked.
const FLOOR_WINDOW: Duration = Duration::from_secs(4);

/// A kind of requests.
#[derive(Clone, Debug)]
pub struct LoadKind {
    pub rate: f64,
    pub priority: u32,
    pub customer: Option<CustomerName>,
    pub work: Duration,
    pub goal: Duration,
    pub timeout: Duration,
    pub target_time: Duration,
    /// Every such request takes its targets eight times as long; 0 means none.
    pub slow_every: usize,
    /// The time of a burst and the factor of the rate during it.
    pub burst: Option<(Duration, Duration, f64)>,
}

impl LoadKind {
    /// A broad search, which takes 20 ms of the thread of an aggregator.
    pub fn broad(rate: f64, priority: u32) -> Self {
        Self {
            rate,
            priority,
            customer: None,
            work: Duration::from_millis(20),
            goal: Duration::from_millis(120),
            timeout: Duration::from_millis(800),
            target_time: Duration::from_millis(20),
            slow_every: 0,
            burst: None,
        }
    }

    /// An urgent search, whose answer has few records.
    pub fn urgent(rate: f64, priority: u32) -> Self {
        Self {
            work: Duration::from_millis(12),
            goal: Duration::from_millis(40),
            timeout: Duration::from_millis(400),
            target_time: Duration::from_millis(5),
            ..Self::broad(rate, priority)
        }
    }

    /// A request to one target.
    pub fn single(rate: f64, priority: u32) -> Self {
        Self {
            work: Duration::from_millis(2),
            goal: Duration::from_millis(500),
            timeout: Duration::from_millis(2_500),
            target_time: Duration::from_millis(60),
            ..Self::broad(rate, priority)
        }
    }

    pub fn of_customer(self, name: &str) -> Self {
        Self { customer: Some(name.parse().unwrap()), ..self }
    }

    pub fn with_burst(self, from_s: u64, length_s: u64, factor: f64) -> Self {
        let burst = Some((Duration::from_secs(from_s), Duration::from_secs(length_s), factor));
        Self { burst, ..self }
    }
}

/// What became of the requests of one kind.
#[derive(Clone, Debug, Default)]
pub struct KindReport {
    pub offered: usize,
    pub admitted: usize,
    pub in_goal: usize,
    pub refused_late: usize,
    pub last_refusal: Option<Timestamp>,
    pub max_retry_after: Duration,
    /// When each request arrived, and whether it was admitted.
    pub decisions: Vec<(Timestamp, bool)>,
}

impl KindReport {
    pub fn add(&mut self, other: Self) {
        self.offered += other.offered;
        self.admitted += other.admitted;
        self.in_goal += other.in_goal;
        self.refused_late += other.refused_late;
        self.decisions.extend(other.decisions);
    }

    pub fn refused(&self) -> usize {
        self.offered - self.admitted
    }

    /// Returns the share of the requests admitted from `from_s` to `to_s`.
    pub fn admitted_between(&self, from_s: u64, to_s: u64) -> f64 {
        let range = Timestamp::from_millis(from_s * 1_000)..Timestamp::from_millis(to_s * 1_000);
        let in_range: Vec<_> = self.decisions.iter().filter(|(at, _)| range.contains(at)).collect();
        in_range.iter().filter(|(_, is_admitted)| *is_admitted).count() as f64
            / in_range.len() as f64
    }
}

enum Step {
    Arrival { kind: usize },
    Work { kind: usize, arrived: Timestamp },
    Sample,
    Freeze(Duration),
}

/// Runs a load on one instance. Without `admission`, every request is admitted.
pub fn run_load(
    kinds: &[LoadKind],
    seconds: u64,
    seed: u64,
    has_admission: bool,
    freezes: &[(Timestamp, Duration)],
) -> Vec<KindReport> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut admission = LoadAdmission::default();
    let mut steps: BTreeMap<(Timestamp, usize), Step> = BTreeMap::new();
    let mut serial = 0;
    let mut reports = vec![KindReport::default(); kinds.len()];
    // The requests that wait for their targets, with the time of their answers.
    let mut waiting: VecDeque<(Timestamp, Duration)> = VecDeque::new();
    let end = Timestamp::from_millis(seconds * 1_000);
    let mut add = |steps: &mut BTreeMap<_, _>, at: Timestamp, step: Step| {
        serial += 1;
        steps.insert((at, serial), step);
    };
    for (kind, spec) in kinds.iter().enumerate() {
        add(&mut steps, next_arrival(spec, Timestamp::ZERO, &mut rng), Step::Arrival { kind });
    }
    add(&mut steps, Timestamp::ZERO + SAMPLE_INTERVAL, Step::Sample);
    for (at, length) in freezes {
        add(&mut steps, *at, Step::Freeze(*length));
    }
    let mut now = Timestamp::ZERO;
    while let Some(((ready, _), step)) = steps.pop_first() {
        if ready > end {
            break;
        }
        now = now.max(ready);
        waiting.retain(|(answer_at, work)| {
            let is_open = *answer_at > now;
            if !is_open {
                admission.gauge.finish(*work);
            }
            is_open
        });
        match step {
            Step::Arrival { kind } => {
                let spec = &kinds[kind];
                add(&mut steps, next_arrival(spec, ready, &mut rng), Step::Arrival { kind });
                now = now + ACCEPT_WORK;
                let waited = now.since(ready);
                let request = LoadRequest {
                    priority: spec.priority,
                    customer: spec.customer.as_ref(),
                    is_above_usual: false,
                    work: spec.work,
                    goal: spec.goal,
                    goal_left: spec.goal.saturating_sub(waited),
                    deadline_left: spec.timeout.saturating_sub(waited),
                    min_time: min_answer_time(spec.goal),
                    typical_time: spec.target_time,
                };
                let report = &mut reports[kind];
                report.offered += 1;
                let decision = admission.decide(&request, now, &mut rng);
                let is_admitted = !has_admission || matches!(decision, LoadDecision::Admit(_));
                report.decisions.push((ready, is_admitted));
                if is_admitted {
                    report.admitted += 1;
                    admission.gauge.start(spec.work);
                    add(&mut steps, now, Step::Work { kind, arrived: ready });
                } else if let LoadDecision::Refuse { reason, retry_after } = decision {
                    report.last_refusal = Some(now);
                    report.max_retry_after = report.max_retry_after.max(retry_after);
                    report.refused_late += usize::from(reason == RefusalReason::DeadlineTooClose);
                }
            }
            Step::Work { kind, arrived } => {
                let spec = &kinds[kind];
                now = now + spec.work;
                let number = reports[kind].admitted;
                let is_slow = spec.slow_every > 0 && number % spec.slow_every == 0;
                let answer_at = now + spec.target_time * if is_slow { 8 } else { 1 };
                waiting.push_back((answer_at, spec.work));
                reports[kind].in_goal += usize::from(answer_at.since(arrived) <= spec.goal);
            }
            Step::Sample => {
                admission.record_sample(ready, now);
                add(&mut steps, now + SAMPLE_INTERVAL, Step::Sample);
            }
            Step::Freeze(length) => now = now + length,
        }
    }
    reports
}

fn next_arrival(kind: &LoadKind, now: Timestamp, rng: &mut ChaCha8Rng) -> Timestamp {
    let factor = match kind.burst {
        Some((from, length, factor)) => {
            let offset = now.since(Timestamp::ZERO);
            if offset >= from && offset < from + length { factor } else { 1.0 }
        }
        None => 1.0,
    };
    let gap = -rng.random_range(f64::EPSILON..1.0).ln() / (kind.rate * factor);
    // A burst also begins for a kind whose next request would come after its start.
    now + Duration::from_secs_f64(gap.min(1.0))
}

/// Checks that in any few seconds each kind gets at least a quarter of what all get.
pub fn check_floor(reports: &[KindReport], seconds: u64) {
    let window = FLOOR_WINDOW.as_secs();
    for from in 0..seconds - window {
        let shares = |report: &KindReport| {
            let range = Timestamp::from_millis(from * 1_000)
                ..Timestamp::from_millis((from + window) * 1_000);
            let decided = report.decisions.iter().filter(|(at, _)| range.contains(at));
            decided.fold((0, 0), |(admitted, all), (_, is_admitted)| {
                (admitted + usize::from(*is_admitted), all + 1)
            })
        };
        let each: Vec<_> = reports.iter().map(shares).collect();
        let (admitted, all) = each.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let overall = admitted as f64 / all as f64;
        for (kind, (own, offered)) in each.iter().enumerate() {
            // A single request more or less is within the rounding of so few.
            let least = (overall / 4.0 * *offered as f64).floor();
            assert!(*own as f64 >= least, "kind {kind} from {from} s: {own} of {offered}");
        }
    }
}
