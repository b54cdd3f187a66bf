//! Formats the figures as JSON and as Markdown tables.

use std::fmt::Write;

use serde::Serialize;

use crate::{
    check::{CpuSlope, TargetCheck, check_workload, fit_cpu_slope},
    summary::RunSummary,
};

/// The fitted processor time of one workload.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkloadSlope {
    /// The workload.
    pub workload: &'static str,
    /// The slope.
    pub slope: CpuSlope,
}

/// The results of one invocation of the program.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BenchReport {
    /// The command line.
    pub command: String,
    /// The figures of each run.
    pub runs: Vec<RunSummary>,
    /// The comparisons with the bounds.
    pub checks: Vec<TargetCheck>,
    /// The processor time per shard request of each workload.
    pub slopes: Vec<WorkloadSlope>,
}

impl BenchReport {
    /// Computes the checks and slopes of all runs.
    pub fn new(command: String, runs: Vec<RunSummary>) -> Self {
        let mut workloads: Vec<&'static str> = runs.iter().map(|run| run.workload).collect();
        workloads.dedup();
        let checks = workloads.iter().flat_map(|name| check_workload(&runs, name)).collect();
        let slopes = workloads
            .iter()
            .filter_map(|name| {
                let slope = fit_cpu_slope(&runs, name)?;
                Some(WorkloadSlope { workload: name, slope })
            })
            .collect();
        Self { command, runs, checks, slopes }
    }

    /// Formats the report as Markdown.
    pub fn to_markdown(&self) -> String {
        let mut text = format!("Command: `{}`\n\n", self.command);
        text.push_str(&runs_header());
        for run in &self.runs {
            text.push_str(&format_run(run));
        }
        text.push_str("\n| workload | target | figure | bound | |\n|---|---|---|---|---|\n");
        for check in &self.checks {
            text.push_str(&format_check(check));
        }
        for entry in &self.slopes {
            text.push_str(&format_slope(entry));
        }
        text
    }
}

/// Returns the header of the table of runs.
pub fn runs_header() -> String {
    let columns = [
        "workload",
        "case",
        "variant",
        "offered q/s",
        "answers",
        "refused",
        "failed",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "mean cov.",
        "min cov.",
        "extra load",
        "goodput q/s",
        "CPU us/shard req.",
    ];
    let rule = "|---".repeat(columns.len());
    format!("| {} |\n{rule}|\n", columns.join(" | "))
}

/// Formats a row of the table of runs.
pub fn format_run(run: &RunSummary) -> String {
    format!(
        "| {} | {} | {} | {:.0} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.5} | {:.4} | {:.2}% \
         | {:.1} | {:.0} |\n",
        run.workload,
        run.case,
        run.variant,
        run.offered_qps,
        run.answered,
        run.refused,
        run.failed,
        run.p50_ms,
        run.p99_ms,
        run.p999_ms,
        run.coverage_mean,
        run.coverage_min,
        run.extra_load * 100.0,
        run.goodput_qps,
        run.cpu_us_per_shard_request,
    )
}

/// Formats a row of the table of checks.
fn format_check(check: &TargetCheck) -> String {
    let verdict = if check.met { "met" } else { "missed" };
    format!(
        "| {} | {} | {:.4} | {} | {verdict} |\n",
        check.workload, check.name, check.value, check.bound
    )
}

/// Formats the slope of one workload.
fn format_slope(entry: &WorkloadSlope) -> String {
    let mut text = String::new();
    let CpuSlope { us_per_shard_request, fixed_ms, runs } = entry.slope;
    // Writing to a `String` is infallible.
    let _ = write!(
        text,
        "\n{}: CPU of the instances = {us_per_shard_request:.1} us a shard request + \
         {fixed_ms:.0} ms a run, over {runs} runs.\n",
        entry.workload
    );
    text
}
