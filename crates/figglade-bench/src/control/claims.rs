//! Measures the rate and latency of claims, as seen by the callers of actions.

use std::{net::SocketAddr, time::Duration};

use figglade::{IndexVersion, PartitionEpoch};
use figglade_testkit::{IndexLayout, StandInProcess, TestClient, harness::find_program};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::Instant;
use uuid::Uuid;

use super::{
    RowTable,
    fleet::{ControlFleet, machine_load, quantile, show_ms},
};
use crate::cluster::BenchError;

/// The number of instances; the first three are control members, callers use the others.
const INSTANCES: usize = 6;
/// The number of instances that are control members.
const CONTROL_MEMBERS: usize = 3;
/// The measured time per row.
const MEASURED: Duration = Duration::from_secs(5);
/// The time under load before the measurement.
const WARM_UP: Duration = Duration::from_secs(1);
/// The numbers of concurrent callers to measure.
const CALLERS: [usize; 3] = [1, 16, 64];
/// The index that the actions go to.
const INDEX: &str = "claims";
/// The number of targets, large enough that they are not the bottleneck.
const TARGETS: u32 = 8;
/// The number of slots of each target.
const SLOTS: u32 = 64;
/// The connection cap of each target.
const CONNECTIONS: u32 = 2_000;

/// Targets that run actions immediately.
pub(super) struct ActionTargets {
    process: StandInProcess,
    _dir: TempDir,
}

impl ActionTargets {
    /// Starts the targets and waits until every instance reports them as ready.
    pub(super) async fn start(fleet: &ControlFleet) -> Result<Self, BenchError> {
        let dir = TempDir::new()?;
        let layout = IndexLayout {
            index: INDEX.parse()?,
            shard_count: 1,
            replica_count: TARGETS,
            records: 10,
            version: IndexVersion::new(1),
            partition_epoch: PartitionEpoch::new(1),
            zones: vec!["norrhamn-a".parse()?],
        };
        let mut targets = layout.targets(&fleet.addresses())?;
        for target in &mut targets {
            target.slots = SLOTS;
            target.connections = CONNECTIONS;
        }
        let count = targets.len();
        let program = find_program("figglade-stand-in")?;
        let process = StandInProcess::start("targets", &program, targets, dir.path()).await?;
        fleet.wait_for_targets(count, "ready").await?;
        Ok(Self { process, _dir: dir })
    }

    /// Ends the targets.
    pub(super) async fn close(mut self) -> Result<(), BenchError> {
        Ok(self.process.kill().await?)
    }
}

/// Sends an action with a new request id and returns its outcome.
pub(super) async fn send_action(
    client: &TestClient,
    address: SocketAddr,
    deadline: Duration,
) -> Result<String, BenchError> {
    let body = json!({
        "request_id": Uuid::now_v7(), "index": INDEX, "key": "a", "body": { "pay": 1 },
        "deadline_ms": deadline.as_millis() as u64,
    });
    let reply = client.post(address, "/v1/action", &body).await?;
    let answer: Value = reply.json()?;
    Ok(answer["outcome"].as_str().unwrap_or("none").to_owned())
}

/// Runs a closed loop of callers through one instance and through three.
pub(super) async fn measure_claims() -> Result<String, BenchError> {
    let mut fleet = ControlFleet::start(INSTANCES).await?;
    fleet.put_defaults(0, json!({ "claim_window_ms": 60_000 })).await?;
    let targets = ActionTargets::start(&fleet).await?;
    let mut table = RowTable::new(&[
        "instances used",
        "callers",
        "done/s",
        "other outcomes",
        "p50 ms",
        "p99 ms",
        "leader CPU µs/claim",
        "follower CPU µs/claim",
        "load",
    ]);
    for used in [1, 3] {
        for callers in CALLERS {
            let addresses = fleet.addresses()[CONTROL_MEMBERS..CONTROL_MEMBERS + used].to_vec();
            run_callers(&addresses, callers, WARM_UP).await?;
            let before = fleet.read_usage().await?;
            let run = run_callers(&addresses, callers, MEASURED).await?;
            let after = fleet.read_usage().await?;
            let done = run.times.len().max(1);
            let cpu = |wanted: bool| {
                let pairs = before.iter().zip(&after).take(CONTROL_MEMBERS);
                let chosen = pairs.filter(|(_, after)| after.is_leader == wanted);
                let times: Vec<_> = chosen.map(|(before, after)| after.cpu - before.cpu).collect();
                let total: Duration = times.iter().sum();
                total.as_micros() as usize / times.len().max(1) / done
            };
            table.push(&[
                used.to_string(),
                callers.to_string(),
                format!("{:.0}", done as f64 / MEASURED.as_secs_f64()),
                run.others.to_string(),
                show_ms(quantile(&run.times, 0.5)),
                show_ms(quantile(&run.times, 0.99)),
                cpu(true).to_string(),
                cpu(false).to_string(),
                machine_load(),
            ]);
        }
    }
    targets.close().await?;
    fleet.harness.close().await;
    Ok(table.text)
}

/// The results of the callers of one row.
struct CallerRun {
    /// The sorted latencies of the actions with the outcome `done`.
    times: Vec<Duration>,
    /// The number of actions with another outcome.
    others: usize,
}

async fn run_callers(
    addresses: &[SocketAddr],
    callers: usize,
    time: Duration,
) -> Result<CallerRun, BenchError> {
    let end = Instant::now() + time;
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..callers {
        tasks.spawn(call_until(addresses[caller % addresses.len()], end));
    }
    let mut run = CallerRun { times: Vec::new(), others: 0 };
    while let Some(task) = tasks.join_next().await {
        let part = task.map_err(std::io::Error::other)??;
        run.times.extend(part.times);
        run.others += part.others;
    }
    run.times.sort_unstable();
    Ok(run)
}

async fn call_until(address: SocketAddr, end: Instant) -> Result<CallerRun, BenchError> {
    let client = TestClient::new();
    let mut run = CallerRun { times: Vec::new(), others: 0 };
    while Instant::now() < end {
        let started = Instant::now();
        match send_action(&client, address, Duration::from_secs(5)).await?.as_str() {
            "done" => run.times.push(started.elapsed()),
            _ => run.others += 1,
        }
    }
    Ok(run)
}
