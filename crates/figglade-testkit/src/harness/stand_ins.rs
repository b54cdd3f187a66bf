//! Stand-in targets as a real process.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitStatus,
    time::Duration,
};

use figglade::TargetId;
use serde::Deserialize;
use tokio::time::Instant;

use super::{
    HarnessError,
    process::{ManagedProcess, ProcessSignal},
};
use crate::{
    client::TestClient,
    stand_in::{ControlChange, FleetSettings, RanAction, StandInSettings, StandInState},
};

/// The time between two looks at the output of a process that starts.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// The time a process of stand-in targets has to listen.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Where one stand-in target of a process listens.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StandInAddress {
    /// The target.
    pub target_id: TargetId,
    /// Where it listens for instances.
    pub address: SocketAddr,
    /// Where its control interface listens outside the connection cap.
    pub control_address: Option<SocketAddr>,
}

/// A process with one or more stand-in targets.
///
/// Dropping it kills the process.
#[derive(Debug)]
pub struct StandInProcess {
    process: ManagedProcess,
    program: PathBuf,
    dir: PathBuf,
    settings: FleetSettings,
    addresses: Vec<StandInAddress>,
    client: TestClient,
}

impl StandInProcess {
    /// Starts the stand-in program for `targets` and waits until all of them listen.
    ///
    /// # Errors
    ///
    /// Fails when the settings cannot be written or the program ends.
    pub async fn start(
        name: &str,
        program: &Path,
        targets: Vec<StandInSettings>,
        dir: &Path,
    ) -> Result<Self, HarnessError> {
        let settings = FleetSettings { targets };
        let process = spawn_stand_ins(name, program, &settings, dir)?;
        let mut stand_in = Self {
            process,
            program: program.to_owned(),
            dir: dir.to_owned(),
            settings,
            addresses: Vec::new(),
            client: TestClient::new(),
        };
        stand_in.wait_for_addresses().await?;
        Ok(stand_in)
    }

    /// Waits until every target has printed its addresses.
    async fn wait_for_addresses(&mut self) -> Result<(), HarnessError> {
        let wanted = self.settings.targets.len();
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            self.process.check_running()?;
            let log = self.process.log();
            let printed: Vec<StandInAddress> =
                log.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
            if printed.len() >= wanted {
                self.addresses = printed;
                return Ok(());
            }
            if Instant::now() >= deadline {
                let what = format!("addresses of {}", self.process.name());
                return Err(HarnessError::TimedOut { what, waited: START_TIMEOUT, seen: log });
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Returns where the targets listen, in the order of the settings.
    pub fn addresses(&self) -> &[StandInAddress] {
        &self.addresses
    }

    /// Returns the process.
    pub const fn process(&mut self) -> &mut ManagedProcess {
        &mut self.process
    }

    /// Returns the address of the control interface of a target.
    fn control_address(&self, number: usize) -> Result<SocketAddr, HarnessError> {
        let entry = self.addresses.get(number).ok_or(HarnessError::UnknownNumber { number })?;
        Ok(entry.control_address.unwrap_or(entry.address))
    }

    /// Changes a target at run time.
    ///
    /// # Errors
    ///
    /// Fails when the target does not answer.
    pub async fn control(&self, number: usize, change: &ControlChange) -> Result<(), HarnessError> {
        let address = self.control_address(number)?;
        self.client.post(address, "/stand-in/control", change).await?;
        Ok(())
    }

    /// Returns the counters of a target.
    ///
    /// # Errors
    ///
    /// Fails when the target does not answer.
    pub async fn state(&self, number: usize) -> Result<StandInState, HarnessError> {
        let address = self.control_address(number)?;
        Ok(self.client.get(address, "/stand-in/state").await?.json()?)
    }

    /// Returns the actions a target ran, in order.
    ///
    /// # Errors
    ///
    /// Fails when the target does not answer.
    pub async fn ran_actions(&self, number: usize) -> Result<Vec<RanAction>, HarnessError> {
        let address = self.control_address(number)?;
        Ok(self.client.get(address, "/stand-in/actions").await?.json()?)
    }

    /// Kills the process (SIGKILL) and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses.
    pub async fn kill(&mut self) -> Result<(), HarnessError> {
        self.process.kill().await
    }

    /// Asks the process to drain (SIGTERM) and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the process does not end within `timeout`.
    pub async fn terminate(&mut self, timeout: Duration) -> Result<ExitStatus, HarnessError> {
        self.process.send_signal(ProcessSignal::Terminate).await?;
        self.process.wait(timeout).await
    }

    /// Starts the program again at the same addresses after it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the program ends again.
    pub async fn start_again(&mut self) -> Result<(), HarnessError> {
        for (target, address) in self.settings.targets.iter_mut().zip(&self.addresses) {
            target.listen = address.address;
            target.control_listen = address.control_address;
        }
        let name = self.process.name().to_owned();
        self.process = spawn_stand_ins(&name, &self.program, &self.settings, &self.dir)?;
        self.wait_for_addresses().await
    }
}

/// Writes the settings file and starts the program with an empty log.
fn spawn_stand_ins(
    name: &str,
    program: &Path,
    settings: &FleetSettings,
    dir: &Path,
) -> Result<ManagedProcess, HarnessError> {
    let path = dir.join(format!("{name}.toml"));
    fs::write(&path, toml::to_string(settings)?)
        .map_err(|source| HarnessError::File { path: path.clone(), source })?;
    // The addresses printed by an earlier run must not be taken for those of this one.
    let _ = fs::remove_file(dir.join(format!("{name}.log")));
    ManagedProcess::spawn(name, program, [Path::new("--settings"), &path], dir)
}
