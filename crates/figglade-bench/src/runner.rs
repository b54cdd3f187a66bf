//! Runs single queries through the tier or the baseline fan-out.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use figglade_testkit::TestClient;
use serde_json::{Value, json};

use crate::workload::BenchWorkload;

/// The time that a client waits for an answer after the deadline of its query.
const CLIENT_GRACE: Duration = Duration::from_millis(500);

/// The search terms of the queries, used in rotation.
const QUERY_WORDS: [&str; 8] =
    ["indigo", "madder", "woad", "lichen", "violet", "birch", "ochre", "slate"];

/// The maximum number of hits per query.
pub const QUERY_LIMIT: u32 = 10;

/// The outcome of a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueryEnd {
    /// The query was answered, completely or in part.
    Answered {
        /// The fraction of the documents that were searched, from 0 to 1.
        coverage: f64,
    },
    /// The query was refused and did not run.
    Refused,
    /// The query failed, or its answer could not be read.
    Failed,
}

/// A system under test that runs queries.
pub trait QueryRunner: Send + Sync {
    /// Runs the query with this number and returns its outcome.
    fn run_query(self: Arc<Self>, number: u64) -> Pin<Box<dyn Future<Output = QueryEnd> + Send>>;
}

/// Returns the query with this number.
pub fn build_query(number: u64) -> Value {
    json!({ "text": QUERY_WORDS[number as usize % QUERY_WORDS.len()] })
}

/// Sends queries to the instances of the tier in round-robin order.
#[derive(Debug)]
pub struct TierRunner {
    client: TestClient,
    instances: Vec<SocketAddr>,
    next: AtomicUsize,
    index: String,
    deadline_ms: u64,
}

impl TierRunner {
    /// Creates a runner for the instances.
    pub fn new(workload: &BenchWorkload, instances: Vec<SocketAddr>) -> Self {
        let timeout = Duration::from_millis(workload.deadline_ms) + CLIENT_GRACE;
        Self {
            client: TestClient::new().with_timeout(timeout),
            instances,
            next: AtomicUsize::new(0),
            index: workload.name.to_owned(),
            deadline_ms: workload.deadline_ms,
        }
    }

    /// Sends one query and returns its outcome.
    async fn send_query(&self, number: u64) -> QueryEnd {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let address = self.instances[turn % self.instances.len()];
        let body = json!({
            "index": self.index, "query": build_query(number), "limit": QUERY_LIMIT,
            "deadline_ms": self.deadline_ms,
        });
        let Ok(reply) = self.client.post(address, "/v1/query", &body).await else {
            return QueryEnd::Failed;
        };
        match reply.status {
            200 => read_coverage(&reply.json().unwrap_or_default()),
            429 | 503 => QueryEnd::Refused,
            _ => QueryEnd::Failed,
        }
    }
}

impl QueryRunner for TierRunner {
    fn run_query(self: Arc<Self>, number: u64) -> Pin<Box<dyn Future<Output = QueryEnd> + Send>> {
        Box::pin(async move { self.send_query(number).await })
    }
}

/// Reads the coverage of an answer. An answer without coverage counts as failed.
fn read_coverage(answer: &Value) -> QueryEnd {
    match answer["coverage"]["fraction"].as_f64() {
        Some(coverage) => QueryEnd::Answered { coverage },
        None => QueryEnd::Failed,
    }
}
