//! Measures the control plane with real processes on loopback.

use std::{process::ExitCode, time::Duration};

use bpaf::Bpaf;
use figglade_bench::{
    cluster::BenchError,
    control::{ControlCase, CostOptions, measure_case},
};

/// Measures the control plane of figglade.
///
/// Starts `figgladed` and `figglade-stand-in`, which must lie beside this program, on loopback and
/// prints Markdown tables. The load is that of the machine over the last minute.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct ControlBenchOptions {
    /// Measure only this case; may be given again (change, failover, claims, cost, recovery,
    /// directory)
    #[bpaf(argument("NAME"))]
    case: Vec<ControlCase>,

    /// A number of instances for the case cost; may be given again
    #[bpaf(argument("N"))]
    instances: Vec<usize>,

    /// A number of targets for the case cost; may be given again, rising
    #[bpaf(argument("N"))]
    targets: Vec<usize>,

    /// The time between the loading of the target directory and the measurement, in seconds
    #[bpaf(argument("N"), fallback(8), display_fallback)]
    settle: u64,

    /// The measured time of the case cost, in seconds
    #[bpaf(argument("N"), fallback(12), display_fallback)]
    seconds: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    match measure(control_bench_options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("control bench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the chosen cases and prints their tables.
async fn measure(options: ControlBenchOptions) -> Result<(), BenchError> {
    let or_all = |given: Vec<usize>, all: &[usize]| match given.is_empty() {
        true => all.to_vec(),
        false => given,
    };
    let cost = CostOptions {
        instances: or_all(options.instances, &[3, 10, 30, 60]),
        targets: or_all(options.targets, &[30, 300, 3_000]),
        settle: Duration::from_secs(options.settle),
        measured: Duration::from_secs(options.seconds),
    };
    let chosen = |case: &ControlCase| options.case.is_empty() || options.case.contains(case);
    for case in ControlCase::ALL.into_iter().filter(chosen) {
        eprintln!("# {case}");
        let table = measure_case(case, &cost).await?;
        println!("\n{case}\n\n{table}");
    }
    Ok(())
}
