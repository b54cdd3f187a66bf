//! The processes of one run: stand-in targets and, for the tier, its instances.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use derive_more::{Display, Error, From};
use figglade_testkit::{
    ControlChange, HarnessError, HarnessOptions, IndexLayout, ProcessHarness, StandInFaults,
    StandInProcess, TestClientError,
    harness::find_program,
    stand_in::{ServiceTime, SettingsError},
};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::Instant;

use crate::{
    case::BenchVariant,
    workload::{BenchWorkload, UnknownWorkload},
};

/// The time within which the tier must be ready and cover the whole index.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// The time within which a process of targets must drain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval at which an awaited state is polled.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// The reason a run failed.
#[derive(Debug, Display, Error, From)]
pub enum BenchError {
    /// A process failed.
    #[display("{_0}")]
    Harness(HarnessError),
    /// A request failed.
    #[display("{_0}")]
    Client(TestClientError),
    /// The settings of the targets are invalid.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The workload does not exist.
    #[display("{_0}")]
    Workload(UnknownWorkload),
    /// A name is not a valid identifier.
    #[display("{_0}")]
    Id(figglade::IdError),
    /// A file could not be read or written.
    #[display("{_0}")]
    File(std::io::Error),
    /// An instance refused a request or did not complete it in time.
    #[display("an instance refused a request or did not complete it in time; last answer: {seen}")]
    #[from(ignore)]
    Refused {
        /// The last answer.
        seen: String,
    },
    /// The tier did not cover the whole index within the start timeout.
    #[display(
        "the tier did not cover the whole index within the start timeout; last answer: {seen}"
    )]
    #[from(ignore)]
    NotCovered {
        /// The last answer.
        seen: String,
    },
}

/// The processes of one run.
#[derive(Debug)]
pub struct BenchCluster {
    stand_ins: Vec<StandInProcess>,
    harness: Option<ProcessHarness>,
    layout: IndexLayout,
    /// The searches received by targets that were killed or restarted since.
    retired_searches: u64,
    _dir: TempDir,
}

impl BenchCluster {
    /// Starts every process and waits until the tier covers the index.
    ///
    /// # Errors
    ///
    /// Fails when a process ends or the tier does not cover the index in time.
    pub async fn start(
        workload: &BenchWorkload,
        variant: BenchVariant,
        service: Option<ServiceTime>,
        instances: usize,
        seed: u64,
    ) -> Result<Self, BenchError> {
        let dir = TempDir::new()?;
        let harness = match variant {
            BenchVariant::Tier => Some(start_tier(instances).await?),
            _ => None,
        };
        let announce_to = harness.as_ref().map(ProcessHarness::http_addresses).unwrap_or_default();
        let layout = workload.layout()?;
        let mut targets = workload.targets(&layout, &announce_to, seed)?;
        if let Some(service) = service {
            targets.iter_mut().for_each(|target| target.service_time = service);
        }
        let program: PathBuf = find_program("figglade-stand-in")?;
        let mut stand_ins = Vec::new();
        for (number, chunk) in targets.chunks(workload.targets_per_process).enumerate() {
            let name = format!("targets-{number}");
            let process =
                StandInProcess::start(&name, &program, chunk.to_vec(), dir.path()).await?;
            stand_ins.push(process);
        }
        let cluster = Self { stand_ins, harness, layout, retired_searches: 0, _dir: dir };
        cluster.wait_for_coverage().await?;
        Ok(cluster)
    }

    /// Returns the layout of the index.
    pub const fn layout(&self) -> &IndexLayout {
        &self.layout
    }

    /// Returns the addresses of the instances, which are empty for a run without the tier.
    pub fn instance_addresses(&self) -> Vec<SocketAddr> {
        self.harness.as_ref().map(ProcessHarness::http_addresses).unwrap_or_default()
    }

    /// Returns the addresses of the replicas of each shard.
    pub fn shard_addresses(&self) -> Vec<Vec<SocketAddr>> {
        let mut shards = vec![Vec::new(); self.layout.shard_count as usize];
        let addresses = self.stand_ins.iter().flat_map(StandInProcess::addresses);
        for (number, entry) in addresses.enumerate() {
            let shard = number % shards.len();
            shards[shard].push(entry.address);
        }
        shards
    }

    /// Waits until every instance answers from the whole index.
    async fn wait_for_coverage(&self) -> Result<(), BenchError> {
        let Some(harness) = &self.harness else { return Ok(()) };
        let query = json!({
            "index": self.layout.index, "query": {"all": true}, "limit": 1, "deadline_ms": 2_000,
        });
        for address in harness.http_addresses() {
            let deadline = Instant::now() + START_TIMEOUT;
            loop {
                let reply = harness.client().post(address, "/v1/query", &query).await?;
                let body: Value = reply.json().unwrap_or_default();
                let shards = body["coverage"]["shards_total"].as_u64();
                let whole = shards == Some(u64::from(self.layout.shard_count));
                if body["complete"] == true && whole {
                    break;
                }
                if Instant::now() >= deadline {
                    let seen = String::from_utf8_lossy(&reply.body).into_owned();
                    return Err(BenchError::NotCovered { seen });
                }
                tokio::time::sleep(POLL_PERIOD).await;
            }
        }
        Ok(())
    }

    /// Returns the number of searches that all targets have received.
    pub async fn count_searches(&self) -> u64 {
        let mut searches = self.retired_searches;
        for process in &self.stand_ins {
            for number in 0..process.addresses().len() {
                // A killed target does not answer; its count was added to `retired_searches`.
                if let Ok(state) = process.state(number).await {
                    searches += state.searches_received;
                }
            }
        }
        searches
    }

    /// Returns the number of connections that targets refused because of their cap.
    pub async fn count_refused_connections(&self) -> u64 {
        let mut refused = 0;
        for process in &self.stand_ins {
            for number in 0..process.addresses().len() {
                if let Ok(state) = process.state(number).await {
                    refused += state.connections_refused;
                }
            }
        }
        refused
    }

    /// Returns the processor time used by all instances.
    pub fn instance_cpu_time(&mut self) -> Duration {
        let Some(harness) = &mut self.harness else { return Duration::ZERO };
        let count = harness.instance_count();
        (0..count).filter_map(|number| harness.process(number).ok()?.cpu_time()).sum()
    }

    /// Sets the faults of the first replica of the first shard.
    ///
    /// # Errors
    ///
    /// Fails when the target does not answer.
    pub async fn set_first_faults(&self, faults: StandInFaults) -> Result<(), BenchError> {
        let change = ControlChange { faults: Some(faults), ..Default::default() };
        Ok(self.stand_ins[0].control(0, &change).await?)
    }

    /// Sets the faults of every target.
    ///
    /// # Errors
    ///
    /// Fails when a target does not answer.
    pub async fn set_all_faults(&self, faults: StandInFaults) -> Result<(), BenchError> {
        let change = ControlChange { faults: Some(faults), ..Default::default() };
        for process in &self.stand_ins {
            for number in 0..process.addresses().len() {
                process.control(number, &change).await?;
            }
        }
        Ok(())
    }

    /// Kills the first replica of the first shard, and its process if it holds no other target.
    ///
    /// # Errors
    ///
    /// Fails when the target does not answer.
    pub async fn kill_first(&mut self) -> Result<(), BenchError> {
        let process = &mut self.stand_ins[0];
        self.retired_searches += process.state(0).await?.searches_received;
        if process.addresses().len() == 1 {
            return Ok(process.kill().await?);
        }
        let change = ControlChange { kill: true, ..Default::default() };
        // The target may end before it answers the control request.
        let _ = process.control(0, &change).await;
        Ok(())
    }

    /// Returns the number of processes that run targets.
    pub const fn stand_in_count(&self) -> usize {
        self.stand_ins.len()
    }

    /// Drains and restarts one process that runs targets.
    ///
    /// # Errors
    ///
    /// Fails when the process does not drain in time or does not start again.
    pub async fn restart_stand_in(&mut self, number: usize) -> Result<(), BenchError> {
        let process = &mut self.stand_ins[number];
        for target in 0..process.addresses().len() {
            self.retired_searches += process.state(target).await?.searches_received;
        }
        process.terminate(DRAIN_TIMEOUT).await?;
        Ok(process.start_again().await?)
    }

    /// Ends every process.
    pub async fn close(mut self) {
        for process in &mut self.stand_ins {
            let _ = process.kill().await;
        }
        if let Some(harness) = self.harness {
            harness.close().await;
        }
    }
}

/// Starts the instances of the tier.
async fn start_tier(instances: usize) -> Result<ProcessHarness, BenchError> {
    let options = HarnessOptions {
        log_level: "warn".to_owned(),
        ..HarnessOptions::new(find_program("figgladed")?, instances)
    };
    Ok(ProcessHarness::start(options, START_TIMEOUT).await?)
}
