//! Measures the tier against baselines, with real processes on loopback.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use figglade_bench::{
    case::{BenchCase, BenchVariant},
    cluster::BenchError,
    report::{BenchReport, format_run, runs_header},
    run::{RunOptions, run_case},
    workload::BenchWorkload,
};

/// Measures figglade against baselines.
///
/// Starts `figgladed` and `figglade-stand-in`, which must lie beside this program, on loopback;
/// runs every variant of each case and prints Markdown tables.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct BenchOptions {
    /// Measure only this workload; may be given again (register-portal, batch-ledger, wide)
    #[bpaf(argument("NAME"))]
    workload: Vec<String>,

    /// Measure only this case; may be given again (overhead, fault_free, slow_replica,
    /// stalled_replica, slow_answers, killed_replica, rolling_restart, lying_load, load_60, load_90,
    /// load_130)
    #[bpaf(argument("NAME"))]
    case: Vec<BenchCase>,

    /// Measure only this variant; may be given again (random, fixed_hedge, tier)
    #[bpaf(argument("NAME"))]
    variant: Vec<BenchVariant>,

    /// The instances of the tier
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    instances: usize,

    /// The measured time of a run, in seconds
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    seconds: u64,

    /// The time under load before the measurement, in seconds
    #[bpaf(argument("N"), fallback(3), display_fallback)]
    warm_up: u64,

    /// The seed of every random choice
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,

    /// Write the report as JSON
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,

    /// Write the report as Markdown
    #[bpaf(argument("FILE"))]
    markdown: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = bench_options().run();
    match measure(options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the chosen workloads and writes the reports.
async fn measure(options: BenchOptions) -> Result<(), BenchError> {
    let workloads = choose_workloads(&options.workload)?;
    eprint!("{}", runs_header());
    let mut runs = Vec::new();
    for workload in &workloads {
        runs.extend(measure_workload(workload, &options).await?);
    }
    let report = BenchReport::new(describe_command(), runs);
    let markdown = report.to_markdown();
    println!("{markdown}");
    if let Some(path) = &options.markdown {
        std::fs::write(path, &markdown)?;
    }
    if let Some(path) = &options.json {
        let json = serde_json::to_string_pretty(&report).map_err(std::io::Error::other)?;
        std::fs::write(path, json)?;
    }
    Ok(())
}

/// Runs the cases of one workload under each variant.
async fn measure_workload(
    workload: &BenchWorkload,
    options: &BenchOptions,
) -> Result<Vec<figglade_bench::summary::RunSummary>, BenchError> {
    let run_options = RunOptions {
        instances: options.instances,
        warm_up: Duration::from_secs(options.warm_up),
        measured: Duration::from_secs(options.seconds),
        seed: options.seed,
    };
    let mut runs = Vec::new();
    let mut hedge_delay = find_hedge_delay(workload, options, run_options).await?;
    for case in BenchCase::ALL.into_iter().filter(|case| is_chosen(case, &options.case)) {
        if case.is_load() && !workload.carries_full_load() {
            continue;
        }
        for variant in BenchVariant::ALL.into_iter().filter(|v| is_chosen(v, &options.variant)) {
            let (summary, shard_p95) =
                run_case(workload, case, variant, hedge_delay, run_options).await?;
            if case == BenchCase::FaultFree && variant == BenchVariant::Random {
                hedge_delay = shard_p95;
            }
            eprint!("{}", format_run(&summary));
            runs.push(summary);
        }
    }
    Ok(runs)
}

/// Measures the p95 of the shard answer times without faults, the delay of the hedging baseline.
async fn find_hedge_delay(
    workload: &BenchWorkload,
    options: &BenchOptions,
    run_options: RunOptions,
) -> Result<Duration, BenchError> {
    if !is_chosen(&BenchVariant::FixedHedge, &options.variant) {
        return Ok(Duration::ZERO);
    }
    let (case, variant) = (BenchCase::FaultFree, BenchVariant::Random);
    let (_, p95) = run_case(workload, case, variant, Duration::ZERO, run_options).await?;
    eprintln!("# {}: fixed hedge after {:.1} ms", workload.name, p95.as_secs_f64() * 1_000.0);
    Ok(p95)
}

/// Returns whether `item` is in `chosen`; an empty list selects everything.
fn is_chosen<T: PartialEq>(item: &T, chosen: &[T]) -> bool {
    chosen.is_empty() || chosen.contains(item)
}

/// Returns the workloads with these names, or all workloads if no name is given.
fn choose_workloads(names: &[String]) -> Result<Vec<BenchWorkload>, BenchError> {
    if names.is_empty() {
        return Ok(BenchWorkload::all());
    }
    names.iter().map(|name| Ok(BenchWorkload::find(name)?)).collect()
}

/// Returns the command line without the directory of the program.
fn describe_command() -> String {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    format!("figglade-bench {}", arguments.join(" "))
}
