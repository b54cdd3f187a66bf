//! Division of the memory for incomplete answers of targets.

use derive_more::Display;

use crate::MemorySize;

/// Incomplete answers may take the memory of a process divided by this. The allocator holds about three
/// times their bytes.
const MEMORY_DIVISOR: u64 = 16;
/// The maximum size of one answer, in bytes, on an instance with much memory.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Decides which incomplete answers are kept.
///
/// An answer may take at most as much memory as is left for others. Answers without end thus stop at
/// a part of the memory, however many there are. Beside `n` of them, an `n + 1`th part of the limit is
/// left for small answers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{limit} bytes for incomplete answers")]
pub struct BufferLimit {
    limit: usize,
}

impl BufferLimit {
    /// Creates the limit of a process that may use `memory`.
    pub fn new(memory: MemorySize) -> Self {
        Self { limit: usize::try_from(memory.get() / MEMORY_DIVISOR).unwrap_or(usize::MAX) }
    }

    /// Returns the maximum size of one answer, in bytes.
    pub fn max_answer_bytes(&self) -> usize {
        (self.limit / 2).min(MAX_ANSWER_BYTES)
    }

    /// Returns whether an incomplete answer of `own` bytes may grow, where all incomplete answers
    /// including this one take `total` bytes.
    pub fn allows(&self, own: usize, total: usize) -> bool {
        own <= self.limit.saturating_sub(total)
    }
}
