//! Announcements of targets that do not run.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use figglade_testkit::TestClient;
use serde_json::{Value, json};
use tokio::{sync::Semaphore, task::JoinSet};

/// The announcements on their way at a time.
const MAX_CONCURRENT: usize = 32;
/// The wait before an announcement that failed is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The replicas of each shard.
const REPLICAS: usize = 3;

/// Keeps announcing targets that do not run, each to one instance after another.
#[derive(Debug, Default)]
pub struct FakeTargets {
    tasks: JoinSet<()>,
    count: usize,
}

impl FakeTargets {
    /// Adds targets until there are `count` of one index with a third as many shards.
    ///
    /// A partition epoch stands for each size, so that the shards of earlier ones do not mix.
    pub fn grow(&mut self, count: usize, instances: &[SocketAddr]) {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT));
        let client = TestClient::new();
        for number in self.count..count {
            let body = announce_body(number, count);
            let (client, permits) = (client.clone(), Arc::clone(&permits));
            let instances = instances.to_vec();
            self.tasks.spawn(announce_forever(client, permits, instances, number, body));
        }
        self.count = self.count.max(count);
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
        "slots": 3, "connections": 30, "state": "ready",
        "replicas": [{
            "index": format!("register-{count}"), "shard": number % shards,
            "shard_count": shards, "partition_epoch": 1,
            "versions": [{ "version": 1, "documents": 1_000 }],
        }],
    })
}

/// Announces one target again and again, when the tier asks for it.
async fn announce_forever(
    client: TestClient,
    permits: Arc<Semaphore>,
    instances: Vec<SocketAddr>,
    number: usize,
    body: Value,
) {
    let mut turn = number;
    loop {
        let Ok(permit) = permits.acquire().await else { return };
        let address = instances[turn % instances.len()];
        let reply = client.post(address, "/v1/announce", &body).await;
        drop(permit);
        turn += 1;
        let answer: Option<Value> = reply.ok().and_then(|reply| reply.json().ok());
        let wait = answer.and_then(|answer| answer["announce_again_ms"].as_u64());
        tokio::time::sleep(wait.map_or(RETRY_PAUSE, Duration::from_millis)).await;
    }
}
