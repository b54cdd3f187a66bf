//! The time from a put configuration until it is in force at every instance.

use std::{net::SocketAddr, time::Duration};

use figglade_testkit::TestClient;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{
    RowTable,
    fleet::{ControlFleet, machine_load, quantile, show_ms},
};
use crate::cluster::BenchError;

/// The instances.
const INSTANCES: usize = 10;
/// The changes.
const CHANGES: usize = 60;
/// The time between two looks at an instance.
const LOOK_PERIOD: Duration = Duration::from_millis(5);
/// The time a change may take to be in force.
const FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Puts changes one after another, each through the next instance.
pub(super) async fn measure_changes() -> Result<String, BenchError> {
    let mut fleet = ControlFleet::start(INSTANCES).await?;
    let (mut forced, mut answered) = (Vec::new(), Vec::new());
    for change in 0..CHANGES {
        let version = fleet.next_version();
        let started = Instant::now();
        let addresses = fleet.addresses();
        let watch = tokio::spawn(watch_version(addresses, version, started));
        let defaults = json!({ "max_limit": 100 + change });
        fleet.put_defaults(change % INSTANCES, defaults).await?;
        answered.push(started.elapsed());
        forced.push(watch.await.map_err(std::io::Error::other)??);
    }
    fleet.harness.close().await;
    let mut table =
        RowTable::new(&["instances", "changes", "figure", "p50 ms", "p99 ms", "worst ms", "load"]);
    let measured = [("in force at all", forced), ("PUT answered for all", answered)];
    for (name, mut times) in measured {
        times.sort_unstable();
        table.push(&[
            INSTANCES.to_string(),
            CHANGES.to_string(),
            name.to_owned(),
            show_ms(quantile(&times, 0.5)),
            show_ms(quantile(&times, 0.99)),
            show_ms(quantile(&times, 1.0)),
            machine_load(),
        ]);
    }
    Ok(table.text)
}

/// Returns the time until the last instance shows `version`.
async fn watch_version(
    addresses: Vec<SocketAddr>,
    version: u64,
    started: Instant,
) -> Result<Duration, BenchError> {
    let mut watches = tokio::task::JoinSet::new();
    for address in addresses {
        watches.spawn(watch_instance(address, version, started));
    }
    let mut last = Duration::ZERO;
    while let Some(watch) = watches.join_next().await {
        last = last.max(watch.map_err(std::io::Error::other)??);
    }
    Ok(last)
}

async fn watch_instance(
    address: SocketAddr,
    version: u64,
    started: Instant,
) -> Result<Duration, BenchError> {
    let client = TestClient::new();
    loop {
        let status: Value = client.get(address, "/v1/operator/status").await?.json()?;
        if status["config"]["version"].as_u64() >= Some(version) {
            return Ok(started.elapsed());
        }
        if started.elapsed() > FORCE_TIMEOUT {
            return Err(BenchError::Refused { seen: status.to_string() });
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
}
