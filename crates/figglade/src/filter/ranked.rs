//! Merges the ranked records of several shards.

use bytes::{Bytes, BytesMut};

/// The length of one record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// The spare capacity that is not given back to the allocator, in records.
const SPARE_RECORDS: usize = 256;

/// Merges the ranked records of several shards as they arrive. Only the records that can be in the
/// result are kept.
#[derive(Clone, Debug)]
pub struct RankedMerger {
    limit: usize,
    records: Vec<[u8; RECORD_BYTES]>,
}

impl RankedMerger {
    /// Creates a merger of the `limit` greatest records.
    pub const fn new(limit: usize) -> Self {
        Self { limit, records: Vec::new() }
    }

    /// Adds the records of a part, in any order. An incomplete record at its end is ignored.
    pub fn add(&mut self, part: &[u8]) {
        let (whole, _) = part.as_chunks::<RECORD_BYTES>();
        self.records.extend_from_slice(whole);
        if self.limit < self.records.len() && self.limit > 0 {
            self.records.select_nth_unstable_by(self.limit - 1, |left, right| right.cmp(left));
        }
        self.records.truncate(self.limit);
        if self.records.capacity() > 2 * self.records.len() + SPARE_RECORDS {
            self.records.shrink_to_fit();
        }
    }

    /// Returns the memory that the records take, in bytes.
    pub const fn held_bytes(&self) -> usize {
        self.records.capacity() * RECORD_BYTES
    }

    /// Returns the memory that the records take at most once a part of `length` bytes is added.
    pub fn bytes_with(&self, length: usize) -> usize {
        let records = self.records.len().saturating_add(length / RECORD_BYTES).min(self.limit);
        records.saturating_mul(RECORD_BYTES).max(self.held_bytes())
    }

    /// Returns the records in descending order, compared byte by byte. Equal records are all kept.
    pub fn finish(mut self) -> Bytes {
        self.records.sort_unstable_by(|left, right| right.cmp(left));
        let mut merged = BytesMut::with_capacity(self.records.len() * RECORD_BYTES);
        for record in &self.records {
            merged.extend_from_slice(record);
        }
        merged.freeze()
    }
}

/// Returns the `limit` greatest records of `parts` in descending order, as [`RankedMerger`] does.
pub fn merge_ranked<'a>(parts: impl Iterator<Item = &'a [u8]>, limit: usize) -> Bytes {
    let mut merger = RankedMerger::new(limit);
    parts.for_each(|part| merger.add(part));
    merger.finish()
}
