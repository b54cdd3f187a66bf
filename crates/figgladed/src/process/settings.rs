//! The settings of the programs.

use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf, time::Duration};

use figglade::{FileLimit, InstanceId, ZoneName, controller::quota::QuotaRules};

use super::error::ProcessError;
use crate::relay::EdgeRules;

/// The folder of a process with a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataFolder {
    /// The folder.
    pub path: PathBuf,
    /// The capacity of the disk, in bytes.
    pub disk_bytes: u64,
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// The instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// All availability zones; empty if the settings do not list them.
    pub zones: BTreeSet<ZoneName>,
    /// The address on which it listens for peers.
    pub peer: SocketAddr,
    /// The addresses on which hubs listen for peers, as known when the settings were written.
    pub seeds: Vec<SocketAddr>,
    /// The address on which it serves callers.
    pub callers: Option<SocketAddr>,
    /// The address on which it answers the readiness probes of the platform's load balancer.
    pub readiness: Option<SocketAddr>,
    /// The address on which it serves targets and operators.
    pub admin: Option<SocketAddr>,
    /// The address on which it serves its metrics.
    pub metrics: Option<SocketAddr>,
    /// Its data folder; `None` without a disk.
    pub data: Option<DataFolder>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// The number of control instances that may be lost at once.
    pub tolerated_losses: usize,
    /// The time between two reports of a target.
    pub report_period: Duration,
    /// The time between the request to stop and the kill.
    pub stop_grace: Duration,
    /// The number of file descriptors that it may have open.
    pub max_files: FileLimit,
    /// The rules of the data path.
    pub edge: EdgeRules,
    /// The rules for the quotas of customers.
    pub quota: QuotaRules,
}

/// Reads the settings; called again whenever they may have changed.
pub trait SettingsReader {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// Fails when they cannot be read or a value is invalid; the error names the key, the value and
    /// the allowed values.
    fn read_settings(&self) -> Result<ProcessSettings, ProcessError>;
}
