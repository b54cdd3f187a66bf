//! Starts the instances whose control plane is measured, and reads their state.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use figglade_testkit::{HarnessError, HarnessOptions, ProcessHarness, harness::find_program};
use serde_json::{Value, json};
use tokio::time::Instant;
use uuid::Uuid;

use crate::cluster::BenchError;

/// The time within which an awaited state must be reached.
const STATE_TIMEOUT: Duration = Duration::from_secs(120);
/// The interval at which an awaited state is polled.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// The instances of one run.
pub(super) struct ControlFleet {
    /// The processes.
    pub(super) harness: ProcessHarness,
    version: u64,
}

/// The resources that an instance has used since its start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InstanceUsage {
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
        let harness = ProcessHarness::start(fleet_options(instances)?, STATE_TIMEOUT).await?;
        Ok(Self { harness, version: 0 })
    }

    /// Starts the first of `instances` instances and waits until it answers.
    pub(super) async fn start_first(instances: usize) -> Result<Self, BenchError> {
        let mut harness = ProcessHarness::prepare(fleet_options(instances)?)?;
        harness.start_instance(0)?;
        let fleet = Self { harness, version: 0 };
        let deadline = Instant::now() + STATE_TIMEOUT;
        while fleet.scrape(0).await.is_err() {
            fleet.wait_for_next_poll("the first instance", deadline).await?;
        }
        Ok(fleet)
    }

    /// Starts all instances but the first.
    pub(super) fn start_others(&mut self) -> Result<(), BenchError> {
        for number in 1..self.harness.instance_count() {
            self.harness.start_instance(number)?;
        }
        Ok(())
    }

    /// Waits until every instance is ready.
    pub(super) async fn wait_for_ready(&mut self) -> Result<(), BenchError> {
        for number in 0..self.harness.instance_count() {
            self.harness.wait_ready(number, STATE_TIMEOUT).await?;
        }
        Ok(())
    }

    /// Sends a configuration with these defaults to an instance and returns its version.
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

    /// Returns the version that the next change creates.
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
            self.wait_for_next_poll("a leader of the control group", deadline).await?;
        }
    }

    /// Waits until every instance reports `targets` targets in `state`.
    pub(super) async fn wait_for_targets(
        &self,
        targets: usize,
        state: &str,
    ) -> Result<(), BenchError> {
        let deadline = Instant::now() + STATE_TIMEOUT;
        for address in self.addresses() {
            loop {
                let reply = self.harness.client().get(address, "/v1/operator/status").await;
                // An instance does not answer while it starts.
                let status: Value = reply.and_then(|reply| reply.json()).unwrap_or_default();
                if status["targets"][state].as_u64() == Some(targets as u64) {
                    break;
                }
                self.wait_for_next_poll("the target directory", deadline).await?;
            }
        }
        Ok(())
    }

    /// Waits for the next poll, or fails once `deadline` has passed.
    async fn wait_for_next_poll(&self, what: &str, deadline: Instant) -> Result<(), BenchError> {
        if Instant::now() >= deadline {
            let (what, seen) = (what.to_owned(), "nothing".to_owned());
            return Err(HarnessError::TimedOut { what, waited: STATE_TIMEOUT, seen }.into());
        }
        tokio::time::sleep(POLL_PERIOD).await;
        Ok(())
    }

    /// Reads the metrics of an instance that have no labels.
    pub(super) async fn scrape(&self, number: usize) -> Result<BTreeMap<String, f64>, BenchError> {
        let address = self.harness.http_address(number);
        let reply = self.harness.client().get(address, "/metrics").await?;
        let text = String::from_utf8_lossy(&reply.body);
        let samples = text.lines().filter_map(|line| line.rsplit_once(' '));
        let values =
            samples.filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)));
        Ok(values.collect())
    }

    /// Reads the resource usage of every instance.
    pub(super) async fn read_usage(&mut self) -> Result<Vec<InstanceUsage>, BenchError> {
        let mut uses = Vec::new();
        for number in 0..self.harness.instance_count() {
            let samples = self.scrape(number).await?;
            let read = |name: &str| samples.get(name).copied().unwrap_or_default() as u64;
            let (bytes_out, bytes_in) =
                (read("figglade_peer_bytes_out_total"), read("figglade_peer_bytes_in_total"));
            let is_leader = read("figglade_leader") == 1;
            let process = self.harness.process(number)?;
            uses.push(InstanceUsage {
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

/// Returns options for instances that log only warnings and errors.
fn fleet_options(instances: usize) -> Result<HarnessOptions, BenchError> {
    Ok(HarnessOptions {
        log_level: "warn".to_owned(),
        ..HarnessOptions::new(find_program("figgladed")?, instances)
    })
}

/// Returns the load average of the machine over the last minute, for the tables.
pub(super) fn machine_load() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().unwrap_or("unknown").to_owned()
}

/// Formats a time in milliseconds.
pub(super) fn show_ms(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1_000.0)
}

/// Returns the value at a quantile of sorted times.
pub(super) fn quantile(sorted: &[Duration], quantile: f64) -> Duration {
    let rank = ((sorted.len() as f64 * quantile).ceil() as usize).clamp(1, sorted.len().max(1));
    sorted.get(rank - 1).copied().unwrap_or_default()
}
