//! Measures the time from the loss of the leader to the next accepted action.

use std::{net::SocketAddr, time::Duration};

use figglade_testkit::TestClient;
use tokio::time::Instant;

use super::{
    RowTable,
    claims::{ActionTargets, send_action},
    fleet::{ControlFleet, machine_load, show_ms},
};
use crate::cluster::BenchError;

/// The number of instances; the first three are control members.
const INSTANCES: usize = 5;
/// The instance that receives the actions; it is not a control member.
const CALLED_INSTANCE: usize = 4;
/// The number of times that a leader is killed.
const KILLS: usize = 7;
/// The interval at which actions are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(20);
/// The deadline of each action.
const DEADLINE: Duration = Duration::from_secs(10);
/// The time within which the group must accept an action again and a killed instance be ready.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);

/// Kills the leader [`KILLS`] times and measures each failover.
pub(super) async fn measure_failovers() -> Result<String, BenchError> {
    let mut fleet = ControlFleet::start(INSTANCES).await?;
    let targets = ActionTargets::start(&fleet).await?;
    let mut table = RowTable::new(&["kill", "first accepted after ms", "load"]);
    let mut times = Vec::new();
    for kill in 1..=KILLS {
        let leader = fleet.find_leader().await?;
        let address = fleet.harness.http_address(CALLED_INSTANCE);
        wait_for_action(address).await?;
        let started = Instant::now();
        fleet.harness.kill(leader).await?;
        let time = wait_for_action(address).await?.duration_since(started);
        times.push(time);
        table.push(&[kill.to_string(), show_ms(time), machine_load()]);
        fleet.harness.restart(leader, RECOVERY_TIMEOUT).await?;
    }
    times.sort_unstable();
    let median = times[times.len() / 2];
    let worst = times[times.len() - 1];
    let summary = format!("median {}, worst {}", show_ms(median), show_ms(worst));
    table.push(&["all".to_owned(), summary, machine_load()]);
    targets.close().await?;
    fleet.harness.close().await;
    Ok(table.text)
}

/// Sends an action every [`SEND_INTERVAL`] and returns the time at which the first one was done.
async fn wait_for_action(address: SocketAddr) -> Result<Instant, BenchError> {
    let client = TestClient::new().with_timeout(DEADLINE * 2);
    let mut requests = tokio::task::JoinSet::new();
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let mut period = tokio::time::interval(SEND_INTERVAL);
    loop {
        tokio::select! {
            _ = period.tick() => {
                let client = client.clone();
                requests.spawn(async move { send_action(&client, address, DEADLINE).await });
            }
            Some(request) = requests.join_next() => {
                let outcome = request.map_err(std::io::Error::other)?;
                if outcome.is_ok_and(|outcome| outcome == "done") {
                    return Ok(Instant::now());
                }
            }
        }
        if Instant::now() >= deadline {
            return Err(BenchError::Refused { seen: "no action was done".to_owned() });
        }
    }
}
