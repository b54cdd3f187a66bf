//! Runs the binary against instances embedded in the test process.
#![allow(dead_code, reason = "each test program uses a part of it")]

use std::{net::SocketAddr, path::Path, time::Duration};

use figglade::{IndexVersion, PartitionEpoch};
use figglade_testkit::{IndexLayout, StandIn, TestClient, harness::take_free_port};
use figgladed::{runtime::InstanceRuntime, settings::InstanceSettings};
use serde_json::Value;
use tempfile::TempDir;
use tokio::process::Command;

/// The timeout of each wait; it is reached only on a fault.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval at which a condition is polled.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// The result of a run of the binary.
#[derive(Debug)]
pub struct CliRun {
    /// The exit code.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl CliRun {
    /// Returns standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Checks the exit code.
    pub fn expect_code(self, code: i32) -> Self {
        assert_eq!(self.code, code, "{self:?}");
        self
    }
}

/// Runs the binary with a table width of 90 columns.
pub async fn run_cli(args: &[&str]) -> CliRun {
    let output = Command::new(env!("CARGO_BIN_EXE_figglade"))
        .args(args)
        .env("COLUMNS", "90")
        .output()
        .await
        .expect("the binary starts");
    CliRun {
        code: output.status.code().expect("exit code"),
        out: String::from_utf8(output.stdout).expect("text"),
        err: String::from_utf8(output.stderr).expect("text"),
    }
}

/// Instances in this process, the first of them control members.
pub struct EmbeddedTier {
    instances: Vec<Option<InstanceRuntime>>,
    pub http: Vec<SocketAddr>,
    pub peer: Vec<SocketAddr>,
    pub folder: TempDir,
}

impl EmbeddedTier {
    /// Starts `count` instances, the first `members` of which form the control group; every
    /// instance has a disk.
    pub async fn start(count: usize, members: usize) -> Self {
        Self::start_with(count, members, |_| String::new()).await
    }

    /// Starts instances whose settings end with what `extra` returns for each.
    pub async fn start_with(count: usize, members: usize, extra: impl Fn(usize) -> String) -> Self {
        let folder = tempfile::tempdir().expect("folder");
        let http = (0..count).map(|_| free_address()).collect();
        let peer = (0..count).map(|_| free_address()).collect();
        let mut tier = Self { instances: Vec::new(), http, peer, folder };
        for number in 0..count {
            let text = tier.settings_text(number, members) + &extra(number);
            let settings = InstanceSettings::from_text(&text, Path::new("test settings"));
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let instance = InstanceRuntime::start(settings.expect("settings"), log).await;
            tier.instances.push(Some(instance.expect("instance")));
        }
        for &address in &tier.http {
            wait_until("an instance is ready", async || {
                let reply = TestClient::new().get(address, "/v1/ready").await;
                reply.is_ok_and(|reply| reply.status == 200)
            })
            .await;
        }
        tier
    }

    fn settings_text(&self, number: usize, members: usize) -> String {
        let entry =
            |other: usize| format!("{{ id = \"i{other}\", peer = \"{}\" }}", self.peer[other]);
        let members: Vec<_> = (0..members).map(entry).collect();
        let dir = self.folder.path().join(format!("i{number}"));
        format!(
            "[instance]\nid = \"i{number}\"\navailability_zone = \"tihany\"\ndata_dir = \"{}\"\n\
             [listen]\nhttp = \"{}\"\npeer = \"{}\"\n[control]\nmembers = [{}]\n",
            dir.display(),
            self.http[number],
            self.peer[number],
            members.join(", "),
        )
    }

    /// Runs the binary against instance 0.
    pub async fn run(&self, args: &[&str]) -> CliRun {
        self.run_at(0, args).await
    }

    /// Runs the binary against an instance.
    pub async fn run_at(&self, number: usize, args: &[&str]) -> CliRun {
        let address = self.http[number].to_string();
        let mut all = args.to_vec();
        // Options follow the names of the command and its subcommand.
        let names = if matches!(args[0], "config" | "control") { 2 } else { 1 };
        all.splice(names..names, ["--addr", &address]);
        run_cli(&all).await
    }

    /// Waits until every instance counts all others as live.
    pub async fn wait_members(&self) {
        for number in 0..self.http.len() {
            wait_until("all members are known", async || {
                let run = self.run_at(number, &["members", "--json"]).await;
                run.code == 0
                    && run.json()["members"]
                        .as_array()
                        .is_some_and(|all| all.len() == self.http.len())
            })
            .await;
        }
    }

    /// Starts two shards with two replicas each of `register-portal`.
    pub async fn start_targets(&self) -> Vec<StandIn> {
        let layout = IndexLayout {
            index: "register-portal".parse().expect("index"),
            shard_count: 2,
            replica_count: 2,
            records: 40,
            version: IndexVersion::new(1),
            partition_epoch: PartitionEpoch::new(1),
            zones: vec!["tihany".parse().expect("zone")],
        };
        let mut targets = Vec::new();
        for settings in layout.targets(&self.http).expect("targets") {
            targets.push(StandIn::start(settings).await.expect("target"));
        }
        targets
    }

    /// Stops one instance.
    pub async fn stop(&mut self, number: usize) {
        self.instances[number].take().expect("it runs").close().await;
    }

    /// Stops every instance.
    pub async fn close(mut self) {
        for instance in self.instances.iter_mut().filter_map(Option::take) {
            instance.close().await;
        }
    }
}

/// Waits until `holds` is true.
///
/// # Panics
///
/// Panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(tokio::time::Instant::now() < deadline, "condition not met in time: {what}");
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Returns a free loopback address.
pub fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], take_free_port().expect("a free port")))
}
