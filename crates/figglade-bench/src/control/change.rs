//! Measures the time from a `PUT` of the configuration until it is in force at every instance.

use std::{net::SocketAddr, time::Duration};

use figglade_testkit::TestClient;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{
    RowTable,
    fleet::{ControlFleet, machine_load, quantile, show_ms},
};
use crate::cluster::BenchError;

/// The number of instances.
const INSTANCES: usize = 10;
/// The number of changes.
const CHANGES: usize = 60;
/// The interval at which an instance is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The time within which a change must be in force.
const FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends the changes one after another, rotating through the instances.
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

/// Returns the time until every instance reports `version` or a later one.
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
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
