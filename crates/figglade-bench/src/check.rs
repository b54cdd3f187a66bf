//! Compares the figures of a workload with the set bounds.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    case::{BenchCase, BenchVariant},
    summary::RunSummary,
};

/// The maximum p99 with a slow replica, as a multiple of the p99 without faults.
const MAX_SLOW_RATIO: f64 = 1.3;

/// The maximum extra load with a slow replica.
const MAX_SLOW_EXTRA: f64 = 0.03;

/// The maximum extra load without faults.
const MAX_FAULT_FREE_EXTRA: f64 = 0.01;

/// The minimum goodput at 130% load, as a fraction of that at 90%.
const MIN_OVERLOAD_GOODPUT: f64 = 0.95;

/// The maximum p99 of refusals, in milliseconds, that counts as immediate.
const MAX_REFUSAL_MS: f64 = 20.0;

/// The maximum latency that the tier may add at the median, in milliseconds.
const MAX_OVERHEAD_MS: f64 = 1.0;

/// The outcome of one check.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetCheck {
    /// The workload.
    pub workload: &'static str,
    /// The name of the compared figure.
    pub name: String,
    /// The measured value.
    pub value: f64,
    /// The bound, as text.
    pub bound: String,
    /// Whether the value is within the bound.
    pub met: bool,
}

/// The figures of one workload, by case and variant.
struct RunTable<'a>(BTreeMap<String, &'a RunSummary>);

impl<'a> RunTable<'a> {
    /// Collects the runs of a workload.
    fn new(runs: &'a [RunSummary], workload: &str) -> Self {
        let own = runs.iter().filter(|run| run.workload == workload);
        Self(own.map(|run| (format!("{}/{}", run.case, run.variant), run)).collect())
    }

    /// Finds the run of the tier in a case.
    fn tier(&self, case: BenchCase) -> Option<&'a RunSummary> {
        self.find(case, BenchVariant::Tier)
    }

    /// Finds the run of a variant in a case.
    fn find(&self, case: BenchCase, variant: BenchVariant) -> Option<&'a RunSummary> {
        self.0.get(&format!("{case}/{variant}")).copied()
    }
}

/// Checks one workload, leaving out the checks whose runs are missing.
pub fn check_workload(runs: &[RunSummary], workload: &'static str) -> Vec<TargetCheck> {
    let table = RunTable::new(runs, workload);
    let mut checks = Vec::new();
    let mut add_max = |name: &str, value: Option<f64>, bound: f64| {
        if let Some(value) = value {
            let bound_text = format!("<= {bound}");
            let met = value <= bound;
            checks.push(TargetCheck {
                workload,
                name: name.to_owned(),
                value,
                bound: bound_text,
                met,
            });
        }
    };
    let fault_free = table.tier(BenchCase::FaultFree);
    let slow = table.tier(BenchCase::SlowReplica);
    let slow_ratio = fault_free.zip(slow).map(|(base, slow)| slow.p99_ms / base.p99_ms);
    add_max("p99 with a slow replica / p99 fault-free", slow_ratio, MAX_SLOW_RATIO);
    add_max("extra load with a slow replica", slow.map(|run| run.extra_load), MAX_SLOW_EXTRA);
    add_max("extra load fault-free", fault_free.map(|run| run.extra_load), MAX_FAULT_FREE_EXTRA);
    add_max("added latency p50 (ms)", added_latency(&table), MAX_OVERHEAD_MS);
    let refusal = table.tier(BenchCase::Load130).map(refusal_p99_ms_or_infinity);
    add_max("p99 of refusals at 130% load (ms)", refusal, MAX_REFUSAL_MS);
    checks.extend(check_goodput(&table, workload));
    checks.extend(check_coverage(&table, workload));
    checks
}

/// Returns the difference in median latency between the tier and the random fan-out.
fn added_latency(table: &RunTable<'_>) -> Option<f64> {
    let tier = table.tier(BenchCase::Overhead)?;
    let direct = table.find(BenchCase::Overhead, BenchVariant::Random)?;
    Some(tier.p50_ms - direct.p50_ms)
}

/// Returns the p99 of refusals, which is infinite if an overloaded tier refused nothing.
const fn refusal_p99_ms_or_infinity(run: &RunSummary) -> f64 {
    if run.refused == 0 { f64::INFINITY } else { run.refusal_p99_ms }
}

/// Checks that overload does not lower the goodput.
fn check_goodput(table: &RunTable<'_>, workload: &'static str) -> Option<TargetCheck> {
    let full = table.tier(BenchCase::Load90)?;
    let over = table.tier(BenchCase::Load130)?;
    let value = over.goodput_qps / full.goodput_qps;
    Some(TargetCheck {
        workload,
        name: "goodput at 130% load / goodput at 90%".to_owned(),
        value,
        bound: format!(">= {MIN_OVERLOAD_GOODPUT}"),
        met: value >= MIN_OVERLOAD_GOODPUT,
    })
}

/// Checks that every answer is complete in the cases where each shard has a healthy replica.
fn check_coverage(table: &RunTable<'_>, workload: &'static str) -> Vec<TargetCheck> {
    let cases = BenchCase::ALL.into_iter().filter(|case| case.allows_full_coverage());
    cases
        .filter_map(|case| table.tier(case))
        .map(|run| TargetCheck {
            workload,
            name: format!("minimum coverage, {}", run.case),
            value: run.coverage_min,
            bound: "= 1".to_owned(),
            met: run.coverage_min >= 1.0,
        })
        .collect()
}

/// The processor time of the instances as a linear function of the shard requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct CpuSlope {
    /// The processor time per shard request, in microseconds.
    pub us_per_shard_request: f64,
    /// The processor time of a run without requests, in milliseconds.
    pub fixed_ms: f64,
    /// The number of runs in the fit.
    pub runs: usize,
}

/// Fits the slope to the runs of the tier without faults, of which at least two are required.
pub fn fit_cpu_slope(runs: &[RunSummary], workload: &str) -> Option<CpuSlope> {
    let fits = |run: &&RunSummary| {
        run.workload == workload
            && run.variant == BenchVariant::Tier
            && (run.case.is_load() || run.case == BenchCase::FaultFree)
    };
    let points: Vec<(f64, f64)> = runs
        .iter()
        .filter(fits)
        .map(|run| (run.shard_requests as f64, run.cpu_ms as f64 * 1_000.0))
        .collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let product: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = product / spread;
    (points.len() >= 2 && spread > 0.0).then(|| CpuSlope {
        us_per_shard_request: slope,
        fixed_ms: (mean_y - slope * mean_x) / 1_000.0,
        runs: points.len(),
    })
}
