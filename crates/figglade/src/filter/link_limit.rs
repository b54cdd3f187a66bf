//! Division of the descriptors and the memory for connections to targets.

use derive_more::Display;

use super::intake::RECEIVE_BUFFER_BYTES;
use crate::{FileLimit, MemorySize};

/// Connections to targets may take the file descriptors of a process divided by this. Callers may take
/// half of them; the rest is left for peers and files.
const FILE_DIVISOR: u32 = 4;
/// Connections to targets may take the memory of a process divided by this.
const MEMORY_DIVISOR: u64 = 8;
/// The memory of a process that a connection to a target takes beside its receive buffer, in bytes.
const LINK_BYTES: u64 = 4 << 10;

/// Decides which connections to targets are made.
///
/// One target may have at most as many connections as are left for others, so that slow targets do not
/// keep requests from the rest.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{connections} connections to targets")]
pub struct LinkLimit {
    connections: usize,
}

impl LinkLimit {
    /// Creates the limit of a process that may use `memory` and `files`.
    pub fn new(memory: MemorySize, files: FileLimit) -> Self {
        let by_memory = memory.get() / MEMORY_DIVISOR / (LINK_BYTES + RECEIVE_BUFFER_BYTES as u64);
        let by_files = u64::from(files.get() / FILE_DIVISOR);
        let connections = usize::try_from(by_memory.min(by_files)).unwrap_or(usize::MAX);
        Self { connections: connections.max(1) }
    }

    /// Returns the maximum number of connections.
    pub const fn connections(&self) -> usize {
        self.connections
    }

    /// Returns whether a target that has `own` connections may get a further one, where all targets
    /// together have `total`.
    pub const fn allows(&self, own: usize, total: usize) -> bool {
        total < self.connections && own < self.connections - total
    }
}
