//! Instances of the tier as real processes.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitStatus,
    time::Duration,
};

use serde::Serialize;
use tempfile::TempDir;
use tokio::time::Instant;

use super::{
    HarnessError,
    process::{ManagedProcess, ProcessSignal},
    take_loopback_address,
};
use crate::client::TestClient;

/// The time between two looks at a state that is waited for.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// The instances to prepare.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HarnessOptions {
    /// The path of the daemon.
    pub program: PathBuf,
    /// The number of instances.
    pub instances: usize,
    /// How many of them, from the first on, have a disk and are control members.
    pub control_members: usize,
    /// The availability zones, taken in turn.
    pub zones: Vec<String>,
    /// The least severe level logged.
    pub log_level: String,
}

impl HarnessOptions {
    /// Prepares `instances` instances of `program`, the first up to three of them control members.
    pub fn new(program: PathBuf, instances: usize) -> Self {
        Self {
            program,
            instances,
            control_members: instances.min(3),
            zones: ["a", "b", "c"].map(|zone| format!("norrhamn-{zone}")).to_vec(),
            log_level: "info".to_owned(),
        }
    }
}

/// The settings file of an instance, as the daemon reads it.
#[derive(Serialize)]
struct SettingsFile {
    instance: IdentityTable,
    listen: ListenTable,
    peers: PeersTable,
    control: ControlTable,
    log: LogTable,
}

#[derive(Serialize)]
struct IdentityTable {
    id: String,
    availability_zone: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    data_dir: Option<PathBuf>,
}

#[derive(Serialize)]
struct ListenTable {
    http: SocketAddr,
    peer: SocketAddr,
}

#[derive(Serialize)]
struct PeersTable {
    seeds: Vec<SocketAddr>,
}

#[derive(Serialize)]
struct ControlTable {
    members: Vec<MemberTable>,
}

#[derive(Clone, Serialize)]
struct MemberTable {
    id: String,
    peer: SocketAddr,
}

#[derive(Serialize)]
struct LogTable {
    format: &'static str,
    level: String,
}

/// One instance and its process, where it runs.
#[derive(Debug)]
struct InstanceSlot {
    id: String,
    http: SocketAddr,
    peer: SocketAddr,
    process: Option<ManagedProcess>,
}

/// Runs instances of the tier as real processes in a folder of their own.
///
/// Dropping it kills every process and removes the folder.
#[derive(Debug)]
pub struct ProcessHarness {
    // The processes end before their folder goes.
    slots: Vec<InstanceSlot>,
    options: HarnessOptions,
    dir: TempDir,
    client: TestClient,
}

impl ProcessHarness {
    /// Takes ports and writes a settings file for each instance; starts none.
    ///
    /// # Errors
    ///
    /// Fails when no port is free or a file cannot be written.
    pub fn prepare(options: HarnessOptions) -> Result<Self, HarnessError> {
        let dir = TempDir::new()
            .map_err(|source| HarnessError::File { path: std::env::temp_dir(), source })?;
        let mut slots = Vec::new();
        for number in 0..options.instances {
            slots.push(InstanceSlot {
                id: format!("i{}", number + 1),
                http: take_loopback_address()?,
                peer: take_loopback_address()?,
                process: None,
            });
        }
        let harness = Self { slots, options, dir, client: TestClient::new() };
        for number in 0..harness.slots.len() {
            harness.write_settings(number)?;
        }
        Ok(harness)
    }

    /// Prepares the instances, starts them all and waits until each is ready.
    ///
    /// # Errors
    ///
    /// Fails when an instance ends or is not ready within `timeout`.
    pub async fn start(options: HarnessOptions, timeout: Duration) -> Result<Self, HarnessError> {
        let mut harness = Self::prepare(options)?;
        for number in 0..harness.slots.len() {
            harness.start_instance(number)?;
        }
        for number in 0..harness.slots.len() {
            harness.wait_ready(number, timeout).await?;
        }
        Ok(harness)
    }

    /// Writes the settings file of an instance.
    fn write_settings(&self, number: usize) -> Result<(), HarnessError> {
        let slot = &self.slots[number];
        let members: Vec<MemberTable> = self.slots[..self.options.control_members]
            .iter()
            .map(|slot| MemberTable { id: slot.id.clone(), peer: slot.peer })
            .collect();
        let zones = &self.options.zones;
        let settings = SettingsFile {
            instance: IdentityTable {
                id: slot.id.clone(),
                availability_zone: zones[number % zones.len()].clone(),
                data_dir: (number < members.len()).then(|| self.data_dir(number)),
            },
            listen: ListenTable { http: slot.http, peer: slot.peer },
            peers: PeersTable { seeds: self.slots.iter().map(|slot| slot.peer).take(3).collect() },
            control: ControlTable { members },
            log: LogTable { format: "json", level: self.options.log_level.clone() },
        };
        write_file(&self.settings_path(number), &toml::to_string(&settings)?)
    }

    /// Changes the settings file of an instance; it takes hold at the next start.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or written.
    pub fn edit_settings(
        &self,
        number: usize,
        edit: impl FnOnce(&mut toml::Table),
    ) -> Result<(), HarnessError> {
        let path = self.settings_path(number);
        let text = fs::read_to_string(&path)
            .map_err(|source| HarnessError::File { path: path.clone(), source })?;
        let mut table: toml::Table = text.parse().map_err(|error: toml::de::Error| {
            HarnessError::File { path: path.clone(), source: std::io::Error::other(error) }
        })?;
        edit(&mut table);
        write_file(&path, &toml::to_string(&table)?)
    }

    /// Returns the folder of all files.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Returns the number of instances.
    pub fn instance_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the settings file of an instance.
    pub fn settings_path(&self, number: usize) -> PathBuf {
        self.dir.path().join(format!("i{}.toml", number + 1))
    }

    /// Returns the data folder of an instance.
    pub fn data_dir(&self, number: usize) -> PathBuf {
        self.dir.path().join(format!("i{}-data", number + 1))
    }

    /// Returns the address for callers, targets and operators.
    ///
    /// # Panics
    ///
    /// Panics when there is no such instance.
    pub fn http_address(&self, number: usize) -> SocketAddr {
        self.slots[number].http
    }

    /// Returns the addresses for callers, targets and operators of all instances.
    pub fn http_addresses(&self) -> Vec<SocketAddr> {
        self.slots.iter().map(|slot| slot.http).collect()
    }

    /// Returns the address for other instances.
    ///
    /// # Panics
    ///
    /// Panics when there is no such instance.
    pub fn peer_address(&self, number: usize) -> SocketAddr {
        self.slots[number].peer
    }

    /// Returns a client without keys.
    pub const fn client(&self) -> &TestClient {
        &self.client
    }

    /// Starts an instance that does not run.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start_instance(&mut self, number: usize) -> Result<(), HarnessError> {
        let settings = self.settings_path(number);
        let program = self.options.program.clone();
        let dir = self.dir.path().to_owned();
        let slot = self.slot(number)?;
        let arguments = [Path::new("--settings"), &settings];
        slot.process = Some(ManagedProcess::spawn(&slot.id, &program, arguments, &dir)?);
        Ok(())
    }

    /// Returns the process of an instance.
    ///
    /// # Errors
    ///
    /// Fails when the instance does not run.
    pub fn process(&mut self, number: usize) -> Result<&mut ManagedProcess, HarnessError> {
        let slot = self.slot(number)?;
        let name = slot.id.clone();
        slot.process.as_mut().ok_or(HarnessError::NotRunning { name })
    }

    /// Returns the slot of an instance.
    fn slot(&mut self, number: usize) -> Result<&mut InstanceSlot, HarnessError> {
        self.slots.get_mut(number).ok_or(HarnessError::UnknownNumber { number })
    }

    /// Waits until the instance says that it is ready.
    ///
    /// # Errors
    ///
    /// Fails when the instance ends or is not ready within `timeout`.
    pub async fn wait_ready(
        &mut self,
        number: usize,
        timeout: Duration,
    ) -> Result<(), HarnessError> {
        let address = self.http_address(number);
        let client = self.client.clone();
        let deadline = Instant::now() + timeout;
        loop {
            self.process(number)?.check_running()?;
            let seen = match client.get(address, "/v1/ready").await {
                Ok(reply) if reply.status == 200 => return Ok(()),
                Ok(reply) => {
                    format!("{} {}", reply.status, String::from_utf8_lossy(&reply.body))
                }
                Err(error) => error.to_string(),
            };
            if Instant::now() >= deadline {
                let what = format!("readiness of {}", self.slots[number].id);
                return Err(HarnessError::TimedOut { what, waited: timeout, seen });
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Kills an instance (SIGKILL) and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the instance does not run.
    pub async fn kill(&mut self, number: usize) -> Result<(), HarnessError> {
        self.process(number)?.kill().await?;
        self.slot(number)?.process = None;
        Ok(())
    }

    /// Asks an instance for a planned stop (SIGTERM) and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the instance does not run or does not end within `timeout`.
    pub async fn terminate(
        &mut self,
        number: usize,
        timeout: Duration,
    ) -> Result<ExitStatus, HarnessError> {
        let process = self.process(number)?;
        process.send_signal(ProcessSignal::Terminate).await?;
        let status = process.wait(timeout).await?;
        self.slot(number)?.process = None;
        Ok(status)
    }

    /// Freezes an instance (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Fails when the instance does not run.
    pub async fn freeze(&mut self, number: usize) -> Result<(), HarnessError> {
        self.process(number)?.send_signal(ProcessSignal::Stop).await
    }

    /// Lets a frozen instance go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails when the instance does not run.
    pub async fn unfreeze(&mut self, number: usize) -> Result<(), HarnessError> {
        self.process(number)?.send_signal(ProcessSignal::Continue).await
    }

    /// Kills an instance where it runs, starts it again and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails when the instance is not ready within `timeout`.
    pub async fn restart(&mut self, number: usize, timeout: Duration) -> Result<(), HarnessError> {
        if self.slot(number)?.process.is_some() {
            self.kill(number).await?;
        }
        self.start_instance(number)?;
        self.wait_ready(number, timeout).await
    }

    /// Empties the data folder of an instance that does not run.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be removed.
    pub fn erase_data(&self, number: usize) -> Result<(), HarnessError> {
        let path = self.data_dir(number);
        match fs::remove_dir_all(&path) {
            Err(source) if source.kind() != std::io::ErrorKind::NotFound => {
                Err(HarnessError::File { path, source })
            }
            _ => Ok(()),
        }
    }

    /// Returns what an instance wrote over all its starts.
    pub fn log(&self, number: usize) -> String {
        let path = self.dir.path().join(format!("i{}.log", number + 1));
        fs::read(path).map(|bytes| String::from_utf8_lossy(&bytes).into_owned()).unwrap_or_default()
    }

    /// Kills every instance and removes the folder.
    pub async fn close(mut self) {
        for slot in &mut self.slots {
            if let Some(mut process) = slot.process.take() {
                let _ = process.kill().await;
            }
        }
    }
}

/// Writes a file.
fn write_file(path: &Path, text: &str) -> Result<(), HarnessError> {
    fs::write(path, text).map_err(|source| HarnessError::File { path: path.to_owned(), source })
}
