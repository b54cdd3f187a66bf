//! The file with the synced length of the last segment, which distinguishes confirmed bytes from a
//! torn tail.

use std::{
    fs::{File, OpenOptions},
    os::unix::fs::FileExt,
    path::PathBuf,
};

use figglade::border::LogStoreError;

use super::{
    files::{
        FILE_HEADER_BYTES, FileKind, corrupt, decode_file, encode_file, io_error, read_u64,
        replace_file,
    },
    folder::{StoreFolder, read_required},
    segment::SegmentWriter,
};

/// The length of a synced mark without the file header, in bytes.
const MARK_BYTES: usize = 16;

/// The recorded synced length of the last segment. It is written after each sync and not synced
/// itself, so it may be lower than the synced length but never higher.
#[derive(Debug)]
pub(super) struct SyncedMark {
    /// The open file.
    file: File,
    /// Its path.
    path: PathBuf,
}

impl SyncedMark {
    /// Opens the mark of a folder.
    pub(super) fn open(folder: &StoreFolder) -> Result<Self, LogStoreError> {
        let path = folder.synced_mark();
        let file = OpenOptions::new()
            .write(true)
            .open(&path)
            .map_err(|error| io_error("open", &path, &error))?;
        Ok(Self { file, path })
    }

    /// Records the synced length of the last segment.
    pub(super) fn record(&self, segment: &SegmentWriter) -> Result<(), LogStoreError> {
        let bytes = encode_mark(segment.number, segment.length);
        let written = self.file.write_all_at(&bytes, 0);
        written.map_err(|error| io_error("write", &self.path, &error))
    }
}

/// Creates and syncs the mark of a new folder.
pub(super) fn create_mark(
    folder: &StoreFolder,
    segment: &SegmentWriter,
) -> Result<(), LogStoreError> {
    replace_file(&folder.synced_mark(), &encode_mark(segment.number, segment.length))
}

/// Encodes a synced mark.
fn encode_mark(number: u64, length: u64) -> Vec<u8> {
    let mut content = [0; MARK_BYTES];
    content[..8].copy_from_slice(&number.to_le_bytes());
    content[8..].copy_from_slice(&length.to_le_bytes());
    encode_file(FileKind::SyncedMark, &content)
}

/// Reads the synced mark: the segment number and its synced length.
pub(super) fn read_mark(folder: &StoreFolder) -> Result<(u64, u64), LogStoreError> {
    let path = folder.synced_mark();
    let bytes = read_required(&path)?;
    let content = decode_file(FileKind::SyncedMark, &path, &bytes)?;
    if content.len() != MARK_BYTES {
        return Err(corrupt(
            &path,
            FILE_HEADER_BYTES as u64,
            "the synced mark has the wrong length",
        ));
    }
    Ok((read_u64(content, 0), read_u64(content, 8)))
}
