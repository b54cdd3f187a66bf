//! The figures of one run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    case::{BenchCase, BenchVariant},
    load::{ArrivalPlan, LoadResult},
};

/// The resources that a run used and the events counted at the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunCosts {
    /// The searches that the targets received.
    pub searches: u64,
    /// The processor time of the instances.
    pub cpu: Duration,
    /// The connections that targets refused because of their cap.
    pub refused_connections: u64,
    /// The number of target processes that were restarted.
    pub restarted: usize,
}

/// The figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunSummary {
    /// The workload.
    pub workload: &'static str,
    /// The case.
    pub case: BenchCase,
    /// The variant.
    pub variant: BenchVariant,
    /// The mean rate of arrivals, in queries per second.
    pub offered_qps: f64,
    /// The measured queries that were answered.
    pub answered: u64,
    /// The measured answers that covered every document.
    pub complete: u64,
    /// The measured queries that were refused.
    pub refused: u64,
    /// The measured queries that failed.
    pub failed: u64,
    /// The median latency of answers, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency of answers, in milliseconds.
    pub p99_ms: f64,
    /// The 99.9th percentile of the latency of answers, in milliseconds.
    pub p999_ms: f64,
    /// The 99th percentile of the latency of refusals, in milliseconds.
    pub refusal_p99_ms: f64,
    /// The mean coverage of the queries that were not refused, from 0 to 1.
    pub coverage_mean: f64,
    /// The smallest coverage of a query that was not refused, from 0 to 1.
    pub coverage_min: f64,
    /// The attempts sent to targets per required shard request, minus one.
    pub extra_load: f64,
    /// The complete answers per second.
    pub goodput_qps: f64,
    /// The shard requests that the queries required, including those of the warm-up.
    pub shard_requests: u64,
    /// The processor time of the instances over the whole run, in milliseconds.
    pub cpu_ms: u64,
    /// The processor time of the instances per required shard request, in microseconds.
    pub cpu_us_per_shard_request: f64,
    /// The connections that targets refused because of their cap.
    pub refused_connections: u64,
    /// The number of target processes that were restarted.
    pub restarted: usize,
    /// The longest delay between the planned and the actual start of a query, in milliseconds.
    pub max_lag_ms: f64,
}

impl RunSummary {
    /// Computes the figures of a run that required `needed` shard requests.
    pub fn new(
        workload: &'static str,
        case: BenchCase,
        variant: BenchVariant,
        plan: ArrivalPlan,
        result: &LoadResult,
        needed: u64,
        costs: RunCosts,
    ) -> Self {
        let divisor = needed.max(1) as f64;
        Self {
            workload,
            case,
            variant,
            offered_qps: plan.rate,
            answered: result.answered.len(),
            complete: result.complete,
            refused: result.refused.len(),
            failed: result.failed,
            p50_ms: read_quantile(&result.answered, 0.5),
            p99_ms: read_quantile(&result.answered, 0.99),
            p999_ms: read_quantile(&result.answered, 0.999),
            refusal_p99_ms: read_quantile(&result.refused, 0.99),
            coverage_mean: result.coverage_mean(),
            coverage_min: result.coverage_min,
            extra_load: costs.searches as f64 / divisor - 1.0,
            goodput_qps: result.complete as f64 / plan.measured.as_secs_f64(),
            shard_requests: needed,
            cpu_ms: costs.cpu.as_millis() as u64,
            cpu_us_per_shard_request: costs.cpu.as_micros() as f64 / divisor,
            refused_connections: costs.refused_connections,
            restarted: costs.restarted,
            max_lag_ms: result.max_lag_us as f64 / 1_000.0,
        }
    }
}

/// Returns a quantile in milliseconds.
fn read_quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
