//! Announces simulated targets that have no process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use figglade_testkit::TestClient;
use serde_json::{Value, json};
use tokio::{sync::Semaphore, task::JoinSet};

use crate::cluster::BenchError;

/// The maximum number of concurrent announcements.
const MAX_CONCURRENT: usize = 32;
/// The delay before a failed announcement is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The replicas of each shard.
const REPLICAS: usize = 3;

/// The announcements per second that one instance requests; determines the period.
const ANNOUNCEMENTS_PER_SECOND: f64 = 20.0;
/// The minimum period.
const MIN_PERIOD: Duration = Duration::from_secs(1);

/// Simulated targets, announced until this value is dropped.
///
/// They report the state `starting`, so that no instance opens connections to them.
#[derive(Debug)]
pub struct FakeTargets {
    tasks: JoinSet<()>,
}

impl FakeTargets {
    /// Announces `count` targets of one index, with a third as many shards, to one instance once.
    ///
    /// # Errors
    ///
    /// Fails when an announcement is refused.
    pub async fn announce_once(instance: SocketAddr, count: usize) -> Result<(), BenchError> {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT));
        let client = TestClient::new();
        let mut tasks = JoinSet::new();
        for number in 0..count {
            let (client, permits) = (client.clone(), Arc::clone(&permits));
            tasks.spawn(async move {
                let _permit = permits.acquire().await;
                client.post(instance, "/v1/announce", &announce_body(number, count)).await
            });
        }
        while let Some(task) = tasks.join_next().await {
            let reply = task.map_err(std::io::Error::other)??;
            if reply.status != 200 {
                let seen = String::from_utf8_lossy(&reply.body).into_owned();
                return Err(BenchError::Refused { seen });
            }
        }
        Ok(())
    }

    /// Announces the same targets repeatedly, each rotating through the instances. The first
    /// announcements are spread over the period that the tier will request.
    pub fn keep_announcing(instances: &[SocketAddr], count: usize) -> Self {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT));
        let client = TestClient::new();
        let seconds = count as f64 / (ANNOUNCEMENTS_PER_SECOND * instances.len() as f64);
        let period = Duration::from_secs_f64(seconds).max(MIN_PERIOD);
        let mut tasks = JoinSet::new();
        for number in 0..count {
            let body = announce_body(number, count);
            let (client, permits) = (client.clone(), Arc::clone(&permits));
            let instances = instances.to_vec();
            let wait = period.mul_f64(number as f64 / count as f64);
            tasks.spawn(async move {
                tokio::time::sleep(wait).await;
                announce_forever(client, permits, instances, number, body).await;
            });
        }
        Self { tasks }
    }

    /// Stops the announcements.
    pub async fn close(mut self) {
        self.tasks.shutdown().await;
    }
}

/// Builds the announcement of one target.
fn announce_body(number: usize, count: usize) -> Value {
    let shards = (count / REPLICAS).max(1);
    let port = 10_000 + number % 50_000;
    let host = number / 50_000 + 1;
    json!({
        "target_id": format!("target-{number:05}"), "incarnation": 1,
        "address": format!("127.1.0.{host}:{port}"),
        "availability_zone": format!("zone-{}", number % 3),
        "slots": 3, "connections": 30, "state": "starting",
        "replicas": [{
            "index": "register-portal", "shard": number % shards,
            "shard_count": shards, "partition_epoch": 1,
            "versions": [{ "version": 1, "documents": 1_000 }],
        }],
    })
}

/// Announces one target repeatedly, after the delay that each answer requests.
async fn announce_forever(
    client: TestClient,
    permits: Arc<Semaphore>,
    instances: Vec<SocketAddr>,
    number: usize,
    body: Value,
) {
    let mut next = number;
    loop {
        let Ok(permit) = permits.acquire().await else { return };
        let address = instances[next % instances.len()];
        let reply = client.post(address, "/v1/announce", &body).await;
        drop(permit);
        next += 1;
        let answer: Option<Value> = reply.ok().and_then(|reply| reply.json().ok());
        let wait = answer.and_then(|answer| answer["announce_again_ms"].as_u64());
        tokio::time::sleep(wait.map_or(RETRY_DELAY, Duration::from_millis)).await;
    }
}
