//! Merges the ranked records of several shards.

use bytes::{Bytes, BytesMut};

/// The length of one record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `limit` greatest records of `parts` in descending order, compared byte by byte.
///
/// Equal records are all kept. An incomplete record at the end of a part is ignored.
pub fn merge_ranked<'a>(parts: impl Iterator<Item = &'a [u8]>, limit: usize) -> Bytes {
    let mut records: Vec<[u8; RECORD_BYTES]> = Vec::new();
    for part in parts {
        let (whole, _) = part.as_chunks::<RECORD_BYTES>();
        records.extend_from_slice(whole);
    }
    if limit < records.len() && limit > 0 {
        records.select_nth_unstable_by(limit - 1, |left, right| right.cmp(left));
    }
    records.truncate(limit);
    records.sort_unstable_by(|left, right| right.cmp(left));
    let mut merged = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in &records {
        merged.extend_from_slice(record);
    }
    merged.freeze()
}
