//! Runs one case of a workload under one variant, in newly started processes.

use std::{sync::Arc, time::Duration};

use figglade::wire::LoadReport;
use figglade_testkit::{
    StandInFaults,
    stand_in::{ServiceKind, ServiceTime},
};

use crate::{
    baseline::FanoutRunner,
    case::{BenchCase, BenchVariant},
    cluster::{BenchCluster, BenchError},
    load::{ArrivalPlan, LoadResult, run_load},
    runner::{QueryRunner, TierRunner},
    summary::{RunCosts, RunSummary},
    workload::BenchWorkload,
};

/// The factor on the service time of the slow replica.
const SLOW_FACTOR: f64 = 10.0;

/// The fraction of slow answers and the factor on their service time.
const SLOW_ANSWERS: (f64, f64) = (0.01, 20.0);

/// The factor on the measured time of a rolling restart, which takes longer than other faults.
const RESTART_TIME_FACTOR: u32 = 2;

/// The options common to all runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunOptions {
    /// The number of instances of the tier.
    pub instances: usize,
    /// The time under load before queries are measured.
    pub warm_up: Duration,
    /// The time in which queries are measured.
    pub measured: Duration,
    /// The seed of arrivals, targets and baselines.
    pub seed: u64,
}

/// Runs one case under one variant.
///
/// `hedge_delay` is the fixed delay of the hedging baseline. The second value returned is the p95
/// of the shard answer times of the fan-out; a run without hedges gives the delay to use.
///
/// # Errors
///
/// Fails when a process does not start or exits unexpectedly.
pub async fn run_case(
    workload: &BenchWorkload,
    case: BenchCase,
    variant: BenchVariant,
    hedge_delay: Duration,
    options: RunOptions,
) -> Result<(RunSummary, Duration), BenchError> {
    let service = overhead_service(case);
    let mut cluster =
        BenchCluster::start(workload, variant, service, options.instances, options.seed).await?;
    set_initial_faults(&cluster, case, workload).await?;
    let plan = build_plan(workload, case, options);
    let hedge = (variant == BenchVariant::FixedHedge).then_some(hedge_delay);
    let fanout = Arc::new(FanoutRunner::new(
        workload,
        cluster.layout(),
        cluster.shard_addresses(),
        hedge,
        options.seed,
    ));
    let runner: Arc<dyn QueryRunner> = match variant {
        BenchVariant::Tier => Arc::new(TierRunner::new(workload, cluster.instance_addresses())),
        _ => Arc::clone(&fanout) as Arc<dyn QueryRunner>,
    };

    let searches_before = cluster.count_searches().await;
    let cpu_before = cluster.instance_cpu_time();
    let fault = inject_fault_under_load(&mut cluster, case, plan);
    let (result, restarted) = tokio::join!(run_load(plan, runner), fault);
    let costs = RunCosts {
        searches: cluster.count_searches().await.saturating_sub(searches_before),
        cpu: cluster.instance_cpu_time().saturating_sub(cpu_before),
        refused_connections: cluster.count_refused_connections().await,
        restarted: restarted?,
    };
    cluster.close().await;
    let summary = summarize(workload, case, variant, plan, &result, costs);
    Ok((summary, fanout.shard_p95()))
}

/// Computes the summary of a run; each admitted query requires one request per shard.
fn summarize(
    workload: &BenchWorkload,
    case: BenchCase,
    variant: BenchVariant,
    plan: ArrivalPlan,
    result: &LoadResult,
    costs: RunCosts,
) -> RunSummary {
    let needed = result.admitted * u64::from(workload.shard_count);
    RunSummary::new(workload.name, case, variant, plan, result, needed, costs)
}

/// Returns the service time that replaces that of the workload, if the case has one.
fn overhead_service(case: BenchCase) -> Option<ServiceTime> {
    let instant = ServiceTime { kind: ServiceKind::Fixed, mean_us: 0 };
    (case == BenchCase::Overhead).then_some(instant)
}

/// Builds the arrival plan of a case.
fn build_plan(workload: &BenchWorkload, case: BenchCase, options: RunOptions) -> ArrivalPlan {
    let factor = if case == BenchCase::RollingRestart { RESTART_TIME_FACTOR } else { 1 };
    ArrivalPlan {
        rate: case.rate(workload.full_rate(), workload.fault_load),
        warm_up: options.warm_up,
        measured: options.measured * factor,
        seed: options.seed,
    }
}

/// Sets the faults that are present from the start of the run.
async fn set_initial_faults(
    cluster: &BenchCluster,
    case: BenchCase,
    workload: &BenchWorkload,
) -> Result<(), BenchError> {
    let lie = |in_flight, queue| Some(LoadReport { in_flight, slots: workload.slots, queue });
    let slow = StandInFaults { slow_factor: SLOW_FACTOR, ..Default::default() };
    match case {
        BenchCase::SlowReplica => cluster.set_first_faults(slow).await,
        BenchCase::SlowAnswers => {
            let (slow_share, slow_share_factor) = SLOW_ANSWERS;
            let faults = StandInFaults { slow_share, slow_share_factor, ..Default::default() };
            cluster.set_all_faults(faults).await
        }
        BenchCase::LyingLoad => {
            let full = StandInFaults { load_lie: lie(workload.slots, 16), ..Default::default() };
            cluster.set_all_faults(full).await?;
            cluster.set_first_faults(StandInFaults { load_lie: lie(0, 0), ..slow }).await
        }
        _ => Ok(()),
    }
}

/// Injects the faults that begin under load and returns the number of restarted processes.
async fn inject_fault_under_load(
    cluster: &mut BenchCluster,
    case: BenchCase,
    plan: ArrivalPlan,
) -> Result<usize, BenchError> {
    let begin = plan.warm_up + plan.measured / 4;
    match case {
        BenchCase::StalledReplica => {
            tokio::time::sleep(begin).await;
            let faults = StandInFaults { stall: true, ..Default::default() };
            cluster.set_first_faults(faults).await?;
        }
        BenchCase::KilledReplica => {
            tokio::time::sleep(begin).await;
            cluster.kill_first().await?;
        }
        BenchCase::RollingRestart => {
            tokio::time::sleep(plan.warm_up).await;
            return restart_all(cluster, plan.measured).await;
        }
        _ => {}
    }
    Ok(0)
}

/// Restarts the target processes one after another until all are restarted or `time` has passed.
async fn restart_all(cluster: &mut BenchCluster, time: Duration) -> Result<usize, BenchError> {
    let end = tokio::time::Instant::now() + time;
    for number in 0..cluster.stand_in_count() {
        if tokio::time::Instant::now() >= end {
            return Ok(number);
        }
        cluster.restart_stand_in(number).await?;
    }
    Ok(cluster.stand_in_count())
}
