//! One process that a test started and ends.

use std::{
    ffi::OsStr,
    fs::{self, File},
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    time::Duration,
};

use derive_more::Display;
use tokio::process::{Child, Command};

use super::HarnessError;

/// The processor time units of `/proc/PID/stat` in a second.
const TICKS_PER_SECOND: u64 = 100;

/// The end of a log that an error quotes, in bytes.
const QUOTED_LOG_BYTES: usize = 2_000;

/// A signal to a process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Asks for a planned stop.
    #[display("TERM")]
    Terminate,
    /// Freezes the process.
    #[display("STOP")]
    Stop,
    /// Lets a frozen process go on.
    #[display("CONT")]
    Continue,
    /// Ends the process at once.
    #[display("KILL")]
    Kill,
}

/// One process that a test started; it is killed when this value is dropped.
#[derive(Debug)]
pub struct ManagedProcess {
    name: String,
    pid: u32,
    child: Child,
    output: PathBuf,
}

impl ManagedProcess {
    /// Starts `program`; both output streams are appended to `NAME.log` in `dir`.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be opened or the program not be started.
    pub fn spawn(
        name: &str,
        program: &Path,
        arguments: impl IntoIterator<Item = impl AsRef<OsStr>>,
        dir: &Path,
    ) -> Result<Self, HarnessError> {
        let output = dir.join(format!("{name}.log"));
        let file = open_log(&output)?;
        let errors = file
            .try_clone()
            .map_err(|source| HarnessError::File { path: output.clone(), source })?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| HarnessError::Spawn { program: program.to_owned(), source })?;
        let pid = child.id().ok_or_else(|| HarnessError::NotRunning { name: name.to_owned() })?;
        Ok(Self { name: name.to_owned(), pid, child, output })
    }

    /// Returns the name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub const fn pid(&self) -> u32 {
        self.pid
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub async fn send_signal(&self, signal: ProcessSignal) -> Result<(), HarnessError> {
        if self.child.id().is_none() {
            return Err(HarnessError::NotRunning { name: self.name.clone() });
        }
        let status = Command::new("kill")
            .args([format!("-{signal}"), self.pid.to_string()])
            .stderr(Stdio::null())
            .status()
            .await
            .map_err(|source| self.refuse(source))?;
        match status.success() {
            true => Ok(()),
            false => Err(HarnessError::NotRunning { name: self.name.clone() }),
        }
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails when the process is still running after `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, HarnessError> {
        match tokio::time::timeout(timeout, self.child.wait()).await {
            Ok(Ok(status)) => Ok(status),
            Ok(Err(source)) => Err(self.refuse(source)),
            Err(_) => Err(HarnessError::TimedOut {
                what: format!("the end of {}", self.name),
                waited: timeout,
                seen: self.log_tail(),
            }),
        }
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses.
    pub async fn kill(&mut self) -> Result<(), HarnessError> {
        self.child
            .kill()
            .await
            .map_err(|source| HarnessError::Process { name: self.name.clone(), source })
    }

    /// Fails when the process has ended by itself.
    ///
    /// # Errors
    ///
    /// Fails with the status and the end of the log.
    pub fn check_running(&mut self) -> Result<(), HarnessError> {
        match self.child.try_wait() {
            Ok(None) => Ok(()),
            Ok(Some(status)) => {
                Err(HarnessError::Ended { name: self.name.clone(), status, log: self.log_tail() })
            }
            Err(source) => Err(self.refuse(source)),
        }
    }

    /// Returns everything the process wrote so far.
    pub fn log(&self) -> String {
        fs::read(&self.output)
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
            .unwrap_or_default()
    }

    /// Returns the end of the log.
    fn log_tail(&self) -> String {
        let log = self.log();
        let start = log.ceil_char_boundary(log.len().saturating_sub(QUOTED_LOG_BYTES));
        log[start..].to_owned()
    }

    /// Returns the processor time the process has used, to 10 ms.
    pub fn cpu_time(&self) -> Option<Duration> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid)).ok()?;
        // The name in parentheses may hold spaces; user and system time are fields 14 and 15.
        let (_, rest) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let user: u64 = fields.get(11)?.parse().ok()?;
        let system: u64 = fields.get(12)?.parse().ok()?;
        Some(Duration::from_millis((user + system) * 1_000 / TICKS_PER_SECOND))
    }

    /// Returns the resident memory of the process, in bytes.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
        Some(kilobytes * 1_024)
    }

    /// Builds an error about this process.
    fn refuse(&self, source: std::io::Error) -> HarnessError {
        HarnessError::Process { name: self.name.clone(), source }
    }
}

/// Opens a log for appending, so that a restart keeps the lines of earlier runs.
fn open_log(path: &Path) -> Result<File, HarnessError> {
    File::options()
        .create(true)
        .append(true)
        .open(path)
        .map_err(|source| HarnessError::File { path: path.to_owned(), source })
}
