//! The baselines: a fan-out that sends requests to the targets directly, without the tier.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use figglade::{AttemptId, IndexName, ShardId, wire::SearchReply};
use figglade_testkit::{IndexLayout, TestClient};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::sync::Mutex;
use tokio::{
    sync::{Semaphore, mpsc},
    task::JoinSet,
};
use uuid::Uuid;

use crate::{
    runner::{QUERY_LIMIT, QueryEnd, QueryRunner, build_query},
    workload::BenchWorkload,
};

/// A target and the connections that the fan-out may open to it.
#[derive(Debug)]
struct FanoutTarget {
    address: SocketAddr,
    /// Limits the connections to the cap of the target.
    connections: Semaphore,
}

/// Queries a random replica of each shard and optionally hedges after a fixed delay.
#[derive(Debug)]
pub struct FanoutRunner {
    client: TestClient,
    shards: Vec<Vec<Arc<FanoutTarget>>>,
    index: IndexName,
    documents: u64,
    deadline: Duration,
    hedge_delay: Option<Duration>,
    rng: Mutex<ChaCha8Rng>,
    shard_times: Mutex<Vec<Duration>>,
}

impl FanoutRunner {
    /// Creates a fan-out over the replicas of each shard.
    pub fn new(
        workload: &BenchWorkload,
        layout: &IndexLayout,
        shards: Vec<Vec<SocketAddr>>,
        hedge_delay: Option<Duration>,
        seed: u64,
    ) -> Self {
        let deadline = Duration::from_millis(workload.deadline_ms);
        let connections = workload.connections as usize;
        let target =
            |address| Arc::new(FanoutTarget { address, connections: Semaphore::new(connections) });
        Self {
            client: TestClient::new().with_timeout(deadline),
            shards: shards
                .into_iter()
                .map(|replicas| replicas.into_iter().map(target).collect())
                .collect(),
            index: layout.index.clone(),
            documents: layout.records,
            deadline,
            hedge_delay,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            shard_times: Mutex::default(),
        }
    }

    /// Returns the p95 of the answer times of all shards, or the deadline if no shard answered.
    pub fn shard_p95(&self) -> Duration {
        let mut times = self.lock_times().clone();
        times.sort();
        times.get(times.len() * 95 / 100).copied().unwrap_or(self.deadline)
    }

    /// Locks the shard times. Ignores poisoning, since a panic elsewhere leaves them valid.
    fn lock_times(&self) -> std::sync::MutexGuard<'_, Vec<Duration>> {
        self.shard_times.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Draws two replicas of a shard, which differ if the shard has more than one.
    fn draw_replicas(&self, shard: usize) -> [Arc<FanoutTarget>; 2] {
        let replicas = &self.shards[shard];
        let mut rng = self.rng.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let first = rng.random_range(0..replicas.len());
        let other = (first + rng.random_range(1..replicas.len().max(2))) % replicas.len();
        [Arc::clone(&replicas[first]), Arc::clone(&replicas[other])]
    }

    /// Draws a random identifier for an attempt.
    fn draw_attempt_id(&self) -> AttemptId {
        let mut rng = self.rng.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        AttemptId::new(rng.random())
    }

    /// Queries every shard and sums the documents searched before the deadline.
    async fn query_all_shards(self: Arc<Self>, number: u64) -> QueryEnd {
        let deadline = tokio::time::Instant::now() + self.deadline;
        let query = build_query(number);
        let mut shards = JoinSet::new();
        for shard in 0..self.shards.len() {
            let runner = Arc::clone(&self);
            let query = query.clone();
            shards.spawn(async move { runner.query_shard(shard, query).await });
        }
        let mut searched = 0;
        while let Ok(Some(answer)) = tokio::time::timeout_at(deadline, shards.join_next()).await {
            searched += answer.unwrap_or_default();
        }
        QueryEnd::Answered { coverage: searched as f64 / self.documents as f64 }
    }

    /// Queries one shard and returns the number of documents searched, which is 0 if every attempt
    /// failed.
    async fn query_shard(self: Arc<Self>, shard: usize, query: Value) -> u64 {
        let start = Instant::now();
        let [first, other] = self.draw_replicas(shard);
        let (sender, mut answers) = mpsc::channel(2);
        let mut attempts = vec![self.start_attempt(shard, first, query.clone(), sender.clone())];
        if let Some(delay) = self.hedge_delay {
            let early = tokio::time::timeout(delay, answers.recv()).await;
            if let Ok(Some(Some(documents))) = early {
                self.lock_times().push(start.elapsed());
                return documents;
            }
            attempts.push(self.start_attempt(shard, other, query, sender.clone()));
        }
        drop(sender);
        while let Some(answer) = answers.recv().await {
            if let Some(documents) = answer {
                self.lock_times().push(start.elapsed());
                self.cancel_attempts(&attempts);
                return documents;
            }
        }
        0
    }

    /// Sends one attempt in a separate task, so that its connection stays open if another attempt
    /// answers first.
    fn start_attempt(
        self: &Arc<Self>,
        shard: usize,
        target: Arc<FanoutTarget>,
        query: Value,
        answers: mpsc::Sender<Option<u64>>,
    ) -> (AttemptId, SocketAddr) {
        let attempt = self.draw_attempt_id();
        let address = target.address;
        let runner = Arc::clone(self);
        tokio::spawn(async move {
            let answer = runner.send_search(shard, &target, attempt, &query).await;
            let _ = answers.send(answer).await;
        });
        (attempt, address)
    }

    /// Sends one search and returns the number of documents searched, or `None` unless the answer
    /// succeeded and names this attempt and shard.
    async fn send_search(
        &self,
        shard: usize,
        target: &FanoutTarget,
        attempt: AttemptId,
        query: &Value,
    ) -> Option<u64> {
        let _connection = target.connections.acquire().await.ok()?;
        let body = json!({
            "attempt_id": Uuid::from_u128(attempt.get()), "index": self.index, "shard": shard,
            "partition_epoch": 1, "version": 1, "deadline_ms": self.deadline.as_millis() as u64,
            "limit": QUERY_LIMIT, "query": query,
        });
        let reply = self.client.post(target.address, "/search", &body).await.ok()?;
        if reply.status != 200 {
            return None;
        }
        let reply: SearchReply = reply.json().ok()?;
        let matches =
            reply.attempt_id == attempt && reply.shard == ShardId::new(u32::try_from(shard).ok()?);
        matches.then_some(reply.documents_searched)
    }

    /// Cancels all attempts of a hedged shard. The one that answered has ended and ignores it.
    fn cancel_attempts(&self, attempts: &[(AttemptId, SocketAddr)]) {
        if attempts.len() < 2 {
            return;
        }
        for (attempt, address) in attempts.iter().copied() {
            let client = self.client.clone();
            tokio::spawn(async move {
                let body = json!({ "attempt_id": Uuid::from_u128(attempt.get()) });
                let _ = client.post(address, "/cancel", &body).await;
            });
        }
    }
}

impl QueryRunner for FanoutRunner {
    fn run_query(self: Arc<Self>, number: u64) -> Pin<Box<dyn Future<Output = QueryEnd> + Send>> {
        Box::pin(self.query_all_shards(number))
    }
}
