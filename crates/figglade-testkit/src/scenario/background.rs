//! Searches that run in the background while instances and targets come and go.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use datadriven::TestCase;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::{ScenarioError, callers::describe_query, world::ScenarioWorld};
use crate::client::TestClient;

/// The callers that search at a time, each one search after the other.
const CALLERS: usize = 4;

/// How long a caller that finds no instance ready waits.
const UNREADY_PAUSE: Duration = Duration::from_millis(10);

/// The searches between two looks at readiness; a balancer, too, learns of a stop with a delay.
const SEARCHES_PER_CHECK: usize = 16;

/// The searches that must have ended before a load counts as running.
const WARM_UP_SEARCHES: u64 = 20;

/// How often the answers are looked at while the load starts or goes on.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Callers behind a balancer: each search goes to an instance that says it is ready.
pub(super) struct BackgroundLoad {
    answers: Arc<Mutex<BTreeMap<String, u64>>>,
    ended: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl BackgroundLoad {
    /// Starts the callers.
    fn start(addresses: Vec<SocketAddr>, body: Value) -> Self {
        let answers = Arc::new(Mutex::new(BTreeMap::new()));
        let ended = Arc::new(AtomicU64::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for caller in 0..CALLERS {
            let mut addresses = addresses.clone();
            let turn = caller % addresses.len();
            addresses.rotate_left(turn);
            let caller = LoadCaller {
                client: TestClient::new(),
                addresses,
                body: body.clone(),
                answers: Arc::clone(&answers),
                ended: Arc::clone(&ended),
            };
            tasks.spawn(caller.run(Arc::clone(&stopped)));
        }
        Self { answers, ended, stopped, tasks }
    }

    /// Waits until that many more searches have ended.
    async fn wait_searches(&self, count: u64) {
        let wanted = self.ended.load(Ordering::Relaxed) + count;
        while self.ended.load(Ordering::Relaxed) < wanted {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Stops the callers after the searches that run; returns the answers and their counts.
    pub(super) async fn stop(mut self) -> BTreeMap<String, u64> {
        self.stopped.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        std::mem::take(&mut self.answers.lock())
    }
}

/// One caller.
struct LoadCaller {
    client: TestClient,
    addresses: Vec<SocketAddr>,
    body: Value,
    answers: Arc<Mutex<BTreeMap<String, u64>>>,
    ended: Arc<AtomicU64>,
}

impl LoadCaller {
    /// Searches until the load stops.
    async fn run(mut self, stopped: Arc<AtomicBool>) {
        while !stopped.load(Ordering::Relaxed) {
            let Some(address) = self.find_ready().await else {
                tokio::time::sleep(UNREADY_PAUSE).await;
                continue;
            };
            for _ in 0..SEARCHES_PER_CHECK {
                self.search(address).await;
            }
        }
    }

    /// Runs one search and notes its answer.
    async fn search(&self, address: SocketAddr) {
        let reply = self.client.post(address, "/v1/query", &self.body).await;
        let shown = match reply {
            Ok(reply) => describe_query(&reply).unwrap_or_else(|error| format!("{error}\n")),
            Err(_) => "no answer\n".to_owned(),
        };
        *self.answers.lock().entry(shown).or_default() += 1;
        self.ended.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the next instance that says it is ready.
    async fn find_ready(&mut self) -> Option<SocketAddr> {
        for _ in 0..self.addresses.len() {
            self.addresses.rotate_left(1);
            let address = self.addresses[0];
            let client = self.client.clone().with_timeout(Duration::from_secs(1));
            if let Ok(reply) = client.get(address, "/v1/ready").await
                && reply.status == 200
            {
                return Some(address);
            }
        }
        None
    }
}

impl ScenarioWorld {
    /// `load start index=NAME`, `load more=N` and `load stop`: runs searches in the background,
    /// waits for more of them, and stops them. The stop prints each kind of answer, without counts.
    pub(super) async fn control_load(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        if case.take_flag("start")? {
            let index: String = case.take_arg("index")?;
            let addresses = self.harness()?.http_addresses();
            let body = json!({
                "index": index, "query": { "all": true }, "limit": 1_000, "deadline_ms": 5_000,
            });
            let load = BackgroundLoad::start(addresses, body);
            load.wait_searches(WARM_UP_SEARCHES).await;
            self.load = Some(load);
            return Ok(String::new());
        }
        if case.take_flag("stop")? {
            let load = self.load.take().ok_or_else(|| ScenarioError::usage("no load runs"))?;
            return Ok(load.stop().await.into_keys().collect());
        }
        let count = case.take_arg("more")?;
        let load = self.load.as_ref().ok_or_else(|| ScenarioError::usage("no load runs"))?;
        load.wait_searches(count).await;
        Ok(String::new())
    }
}
