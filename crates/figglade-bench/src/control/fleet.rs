//! Instances whose control plane is measured.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use figglade_testkit::{HarnessError, HarnessOptions, ProcessHarness, harness::find_program};
use serde_json::{Value, json};
use tokio::time::Instant;
use uuid::Uuid;

use crate::cluster::BenchError;

/// The time a state may take to be reached.
const STATE_TIMEOUT: Duration = Duration::from_secs(120);
/// The time between two looks at a state that is waited for.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// The instances of one run.
pub(super) struct ControlFleet {
    /// The processes.
    pub(super) harness: ProcessHarness,
    version: u64,
}

/// What one instance has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InstanceUse {
    /// Processor time.
    pub(super) cpu: Duration,
    /// Bytes written to peers.
    pub(super) bytes_out: u64,
    /// Bytes read from peers.
    pub(super) bytes_in: u64,
    /// Resident memory, in bytes.
    pub(super) resident: u64,
    /// Whether it leads the control group.
    pub(super) is_leader: bool,
}

impl ControlFleet {
    /// Starts `instances` instances and waits until each is ready.
    pub(super) async fn start(instances: usize) -> Result<Self, BenchError> {
        let options = HarnessOptions {
            log_level: "warn".to_owned(),
            ..HarnessOptions::new(find_program("figgladed")?, instances)
        };
        let harness = ProcessHarness::start(options, STATE_TIMEOUT).await?;
        Ok(Self { harness, version: 0 })
    }

    /// Puts a configuration with these defaults through an instance and returns its version.
    pub(super) async fn put_defaults(
        &mut self,
        number: usize,
        defaults: Value,
    ) -> Result<u64, BenchError> {
        let body = json!({
            "change_id": Uuid::now_v7().to_string(), "base_version": self.version,
            "defaults": defaults, "exceptions": [],
        });
        let address = self.harness.http_address(number);
        let reply = self.harness.client().put(address, "/v1/operator/config", &body).await?;
        let answer: Value = reply.json()?;
        let version = answer["version"].as_u64().filter(|_| reply.status == 200);
        self.version = version.ok_or_else(|| BenchError::Refused { seen: answer.to_string() })?;
        Ok(self.version)
    }

    /// Returns the version that the next change makes.
    pub(super) const fn next_version(&self) -> u64 {
        self.version + 1
    }

    /// Returns the instance that leads the control group.
    pub(super) async fn find_leader(&self) -> Result<usize, BenchError> {
        let deadline = Instant::now() + STATE_TIMEOUT;
        loop {
            for number in 0..self.harness.instance_count().min(3) {
                let samples = self.scrape(number).await.unwrap_or_default();
                if samples.get("figglade_leader") == Some(&1.0) {
                    return Ok(number);
                }
            }
            self.pause("a leader of the control group", deadline).await?;
        }
    }

    /// Waits until every instance knows `targets` targets that take work.
    pub(super) async fn wait_for_targets(&self, targets: usize) -> Result<(), BenchError> {
        let deadline = Instant::now() + STATE_TIMEOUT;
        for number in 0..self.harness.instance_count() {
            loop {
                let samples = self.scrape(number).await?;
                if samples.get("figglade_targets_ready") == Some(&(targets as f64)) {
                    break;
                }
                self.pause("the target directory", deadline).await?;
            }
        }
        Ok(())
    }

    /// Waits a moment.
    async fn pause(&self, what: &str, deadline: Instant) -> Result<(), BenchError> {
        if Instant::now() >= deadline {
            let (what, seen) = (what.to_owned(), "nothing".to_owned());
            return Err(HarnessError::TimedOut { what, waited: STATE_TIMEOUT, seen }.into());
        }
        tokio::time::sleep(POLL_PERIOD).await;
        Ok(())
    }

    /// Reads the metrics without labels of an instance.
    pub(super) async fn scrape(&self, number: usize) -> Result<BTreeMap<String, f64>, BenchError> {
        let address = self.harness.http_address(number);
        let reply = self.harness.client().get(address, "/metrics").await?;
        let text = String::from_utf8_lossy(&reply.body);
        let samples = text.lines().filter_map(|line| line.rsplit_once(' '));
        let values =
            samples.filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)));
        Ok(values.collect())
    }

    /// Reads what every instance has used so far.
    pub(super) async fn read_use(&mut self) -> Result<Vec<InstanceUse>, BenchError> {
        let mut uses = Vec::new();
        for number in 0..self.harness.instance_count() {
            let samples = self.scrape(number).await?;
            let read = |name: &str| samples.get(name).copied().unwrap_or_default() as u64;
            let (bytes_out, bytes_in) =
                (read("figglade_peer_bytes_out_total"), read("figglade_peer_bytes_in_total"));
            let is_leader = read("figglade_leader") == 1;
            let process = self.harness.process(number)?;
            uses.push(InstanceUse {
                cpu: process.cpu_time().unwrap_or_default(),
                resident: process.resident_bytes().unwrap_or_default(),
                bytes_out,
                bytes_in,
                is_leader,
            });
        }
        Ok(uses)
    }

    /// Returns the addresses of the instances.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.harness.http_addresses()
    }
}

/// Returns the load of the machine over the last minute, as it is shown beside figures.
pub(super) fn machine_load() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().unwrap_or("unknown").to_owned()
}

/// Writes a time in milliseconds.
pub(super) fn show_ms(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1_000.0)
}

/// Returns the value at a quantile of sorted times.
pub(super) fn quantile(sorted: &[Duration], quantile: f64) -> Duration {
    let rank = ((sorted.len() as f64 * quantile).ceil() as usize).clamp(1, sorted.len().max(1));
    sorted.get(rank - 1).copied().unwrap_or_default()
}
