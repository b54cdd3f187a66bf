//! Paths in a data folder, and the files that hold a single value.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use figglade::{
    border::LogStoreError,
    controller::quorum::{HardState, LogSnapshot},
    peer::{decode_payload, encode_payload},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    files::{
        FILE_HEADER_BYTES, FileKind, corrupt, decode_file, encode_file, io_error, read_file,
        refusal, replace_file,
    },
    segment::segment_number,
};

/// A data folder and the paths of its files.
#[derive(Clone, Debug)]
pub(super) struct StoreFolder {
    /// The folder.
    path: PathBuf,
}

impl StoreFolder {
    pub(super) fn new(path: &Path) -> Self {
        Self { path: path.to_owned() }
    }

    /// Returns the path of the folder.
    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the path of the storage identity.
    pub(super) fn identity(&self) -> PathBuf {
        self.path.join("identity")
    }

    /// Returns the path of the term and vote.
    pub(super) fn hard_state(&self) -> PathBuf {
        self.path.join("hard_state")
    }

    /// Returns the path of the snapshot.
    pub(super) fn snapshot(&self) -> PathBuf {
        self.path.join("snapshot")
    }

    /// Returns the path of the file with the synced length of the last segment.
    pub(super) fn synced_mark(&self) -> PathBuf {
        self.path.join("synced")
    }
}

/// The content of the snapshot file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct StoredSnapshot {
    /// The first segment with entries after the snapshot; earlier ones can be removed.
    pub(super) first_segment: u64,
    /// The snapshot.
    pub(super) snapshot: LogSnapshot,
}

/// Reads the term and vote.
pub(super) fn read_hard_state(folder: &StoreFolder) -> Result<HardState, LogStoreError> {
    let path = folder.hard_state();
    let bytes = read_required(&path)?;
    decode_content(&path, decode_file(FileKind::HardState, &path, &bytes)?)
}

/// Replaces the term and vote.
pub(super) fn write_hard_state(
    folder: &StoreFolder,
    state: &HardState,
) -> Result<(), LogStoreError> {
    write_checksummed(FileKind::HardState, &folder.hard_state(), state)
}

/// Reads the snapshot, if there is one.
pub(super) fn read_snapshot(folder: &StoreFolder) -> Result<Option<StoredSnapshot>, LogStoreError> {
    let path = folder.snapshot();
    let Some(bytes) = read_file(&path)? else { return Ok(None) };
    decode_content(&path, decode_file(FileKind::Snapshot, &path, &bytes)?).map(Some)
}

/// Encodes a value as a checksummed file.
pub(super) fn encode_content<T: Serialize>(
    kind: FileKind,
    path: &Path,
    value: &T,
) -> Result<Vec<u8>, LogStoreError> {
    let content =
        encode_payload(value).map_err(|error| refusal("encode", path, error.to_string()))?;
    Ok(encode_file(kind, &content))
}

/// Atomically replaces a checksummed file with the encoded value.
pub(super) fn write_checksummed<T: Serialize>(
    kind: FileKind,
    path: &Path,
    value: &T,
) -> Result<(), LogStoreError> {
    replace_file(path, &encode_content(kind, path, value)?)
}

/// Decodes the content of a checksummed file.
pub(super) fn decode_content<T: DeserializeOwned>(
    path: &Path,
    content: &[u8],
) -> Result<T, LogStoreError> {
    decode_payload(content)
        .map_err(|error| corrupt(path, FILE_HEADER_BYTES as u64, error.to_string()))
}

/// Reads a file that must exist.
pub(super) fn read_required(path: &Path) -> Result<Vec<u8>, LogStoreError> {
    read_file(path)?.ok_or_else(|| corrupt(path, 0, "the file is missing"))
}

/// Lists the numbers of the segments.
pub(super) fn list_segments(folder: &StoreFolder) -> Result<BTreeSet<u64>, LogStoreError> {
    let files = list_files(folder)?;
    let names = files.iter().filter_map(|path| path.file_name()?.to_str());
    Ok(names.filter_map(segment_number).collect())
}

/// Lists the files of the folder.
pub(super) fn list_files(folder: &StoreFolder) -> Result<Vec<PathBuf>, LogStoreError> {
    let failed = |error: std::io::Error| io_error("list", folder.path(), &error);
    let mut files = Vec::new();
    for entry in fs::read_dir(folder.path()).map_err(failed)? {
        files.push(entry.map_err(failed)?.path());
    }
    Ok(files)
}
