//! Bound on the targets that reports may add.

use derive_more::Display;

use super::ServiceDirectory;
use crate::{MemorySize, ServiceName, TargetId};

/// Records of targets may take the memory of a process divided by this.
const MEMORY_DIVISOR: u64 = 4;
/// The memory that the record of a target takes, with what is kept of its reports and of the messages
/// that spread it, in bytes.
const TARGET_BYTES: u64 = 1_536;

/// Decides whether a report or a leave may add a record.
///
/// It applies where a control instance receives a message of a target, not to the records that instances
/// exchange: these must converge.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{records} records of targets")]
pub struct TargetCapacity {
    records: usize,
}

impl TargetCapacity {
    /// Creates the bound of a process that may use `memory`.
    pub fn new(memory: MemorySize) -> Self {
        let records = memory.get() / MEMORY_DIVISOR / TARGET_BYTES;
        Self { records: usize::try_from(records).unwrap_or(usize::MAX) }
    }

    /// Returns the maximum number of records.
    pub const fn records(&self) -> usize {
        self.records
    }

    /// Returns whether a target may report for a service.
    pub fn allows_report(
        &self,
        directory: &ServiceDirectory,
        id: &TargetId,
        service: &ServiceName,
    ) -> bool {
        self.has_room(directory) || directory.get_for(id, service).is_some()
    }

    /// Returns whether a target may leave.
    pub fn allows_leave(&self, directory: &ServiceDirectory, id: &TargetId) -> bool {
        self.has_room(directory) || directory.get(id).is_some()
    }

    /// Returns whether unknown targets are admitted.
    pub fn has_room(&self, directory: &ServiceDirectory) -> bool {
        directory.len() < self.records
    }
}
