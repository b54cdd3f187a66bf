//! Runs real processes for tests: instances of the tier and stand-in targets.

mod instances;
mod ports;
mod process;
mod stand_ins;

use std::{net::SocketAddr, path::PathBuf, process::ExitStatus, time::Duration};

use derive_more::{Display, Error, From};

use crate::{client::TestClientError, stand_in::SettingsError};

pub use self::{
    instances::{HarnessOptions, ProcessHarness},
    ports::take_free_port,
    process::{ManagedProcess, ProcessSignal},
    stand_ins::{StandInAddress, StandInProcess},
};

/// The reason a process could not be run as asked.
#[derive(Debug, Display, Error, From)]
pub enum HarnessError {
    /// A file could not be read or written.
    #[display("{}: {source}", path.display())]
    #[from(ignore)]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A program could not be started.
    #[display("starting {} failed: {source}", program.display())]
    #[from(ignore)]
    Spawn {
        /// The program.
        program: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A process could not be signalled or waited for.
    #[display("process {name}: {source}")]
    #[from(ignore)]
    Process {
        /// The name of the process.
        name: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The process does not run.
    #[display("process {name} does not run")]
    #[from(ignore)]
    NotRunning {
        /// The name of the process.
        name: String,
    },
    /// The process ended by itself.
    #[display("process {name} ended with {status}; its last lines: {log}")]
    #[from(ignore)]
    Ended {
        /// The name of the process.
        name: String,
        /// How it ended.
        status: ExitStatus,
        /// The end of what it wrote.
        log: String,
    },
    /// What was waited for did not come.
    #[display("{what} did not come within {} ms; last seen: {seen}", waited.as_millis())]
    #[from(ignore)]
    TimedOut {
        /// What was waited for.
        what: String,
        /// The time that was waited.
        waited: Duration,
        /// The last state seen.
        seen: String,
    },
    /// No free port was found.
    #[display("no free port on loopback")]
    NoPort,
    /// The settings could not be written as TOML.
    #[display("settings: {_0}")]
    Toml(toml::ser::Error),
    /// The settings of a stand-in target were refused.
    #[display("{_0}")]
    Settings(SettingsError),
    /// A request to a process failed.
    #[display("{_0}")]
    Client(TestClientError),
    /// There is no process with this number.
    #[display("there is no process number {number}")]
    #[from(ignore)]
    UnknownNumber {
        /// The number asked for.
        number: usize,
    },
}

/// Returns the path of a program that was built beside the running one.
///
/// # Errors
///
/// Fails when the running program has no path or there is no such file.
pub fn find_program(name: &str) -> Result<PathBuf, HarnessError> {
    let own = std::env::current_exe()
        .map_err(|source| HarnessError::File { path: PathBuf::from(name), source })?;
    // Test programs lie one folder deeper, in `deps`.
    let found = own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|p| p.is_file());
    found.ok_or_else(|| HarnessError::File {
        path: own.with_file_name(name),
        source: std::io::ErrorKind::NotFound.into(),
    })
}

/// Takes a free port and returns its loopback address.
fn take_loopback_address() -> Result<SocketAddr, HarnessError> {
    let port = take_free_port().ok_or(HarnessError::NoPort)?;
    Ok(SocketAddr::from(([127, 0, 0, 1], port)))
}
