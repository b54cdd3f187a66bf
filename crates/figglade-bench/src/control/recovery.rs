//! Measures the time to restart with a log of a given length.

use std::time::Duration;

use figglade_testkit::TestClient;
use serde_json::json;
use tokio::time::Instant;
use uuid::Uuid;

use super::{
    RowTable,
    fleet::{ControlFleet, machine_load, show_ms},
};
use crate::cluster::BenchError;

/// The number of instances, all of which are control members.
const INSTANCES: usize = 3;
/// The lengths of the log to measure, in entries.
const LENGTHS: [u64; 2] = [500, 50_000];
/// The number of concurrent callers that fill the log.
const CALLERS: u64 = 64;
/// The time within which a restarted instance must be ready.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(120);

/// Fills the log, then measures the restart of one follower and of all members.
pub(super) async fn measure_recoveries() -> Result<String, BenchError> {
    let mut fleet = ControlFleet::start(INSTANCES).await?;
    let mut table = RowTable::new(&[
        "log entries",
        "one follower ready after ms",
        "all three ready after ms",
        "RSS before MB",
        "RSS after MB",
        "files MB",
        "load",
    ]);
    for length in LENGTHS {
        fill_log(&fleet, length).await?;
        let entries = fleet.scrape(0).await?["figglade_log_commit_index"];
        let before = read_resident(&mut fleet)?;
        let one = restart_follower(&mut fleet).await?;
        let all = restart_all(&mut fleet).await?;
        let after = read_resident(&mut fleet)?;
        table.push(&[
            format!("{entries:.0}"),
            show_ms(one),
            show_ms(all),
            format!("{before:.1}"),
            format!("{after:.1}"),
            format!("{:.1}", total_file_size(&fleet.harness.data_dir(0))? as f64 / 1e6),
            machine_load(),
        ]);
    }
    fleet.harness.close().await;
    Ok(table.text)
}

/// Sends actions to an unknown index until the log holds `length` entries; each refusal is recorded
/// as one entry.
async fn fill_log(fleet: &ControlFleet, length: u64) -> Result<(), BenchError> {
    let held = fleet.scrape(0).await?["figglade_log_commit_index"] as u64;
    let missing = length.saturating_sub(held);
    let address = fleet.harness.http_address(0);
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        let share = missing / CALLERS + u64::from(caller < missing % CALLERS);
        tasks.spawn(async move {
            let client = TestClient::new();
            for _ in 0..share {
                let body = json!({
                    "request_id": Uuid::now_v7(), "index": "absent", "key": "a",
                    "body": 1, "deadline_ms": 5_000,
                });
                client.post(address, "/v1/action", &body).await?;
            }
            Ok::<_, BenchError>(())
        });
    }
    while let Some(task) = tasks.join_next().await {
        task.map_err(std::io::Error::other)??;
    }
    Ok(())
}

async fn restart_follower(fleet: &mut ControlFleet) -> Result<Duration, BenchError> {
    let follower = (fleet.find_leader().await? + 1) % INSTANCES;
    fleet.harness.kill(follower).await?;
    let started = Instant::now();
    fleet.harness.restart(follower, RECOVERY_TIMEOUT).await?;
    Ok(started.elapsed())
}

async fn restart_all(fleet: &mut ControlFleet) -> Result<Duration, BenchError> {
    for number in 0..INSTANCES {
        fleet.harness.kill(number).await?;
    }
    let started = Instant::now();
    for number in 0..INSTANCES {
        fleet.harness.start_instance(number)?;
    }
    for number in 0..INSTANCES {
        fleet.harness.wait_ready(number, RECOVERY_TIMEOUT).await?;
    }
    Ok(started.elapsed())
}

/// Returns the mean resident memory, in megabytes.
fn read_resident(fleet: &mut ControlFleet) -> Result<f64, BenchError> {
    let mut sum = 0;
    for number in 0..INSTANCES {
        sum += fleet.harness.process(number)?.resident_bytes().unwrap_or_default();
    }
    Ok(sum as f64 / INSTANCES as f64 / 1e6)
}

/// Returns the total size of all files below a directory, in bytes.
fn total_file_size(directory: &std::path::Path) -> Result<u64, BenchError> {
    let mut size = 0;
    for entry in std::fs::read_dir(directory)? {
        let entry = entry?;
        let metadata = entry.metadata()?;
        size += if metadata.is_dir() { total_file_size(&entry.path())? } else { metadata.len() };
    }
    Ok(size)
}
