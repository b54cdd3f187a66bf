//! Opening a data folder: first use, checks of every file, and the torn tail.

use std::{
    collections::BTreeSet,
    fs::{self, File, OpenOptions},
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

use figglade::{
    border::LogStoreError,
    controller::quorum::{HardState, LogEntry, LogIndex, LogSnapshot, StorageId},
    peer::{decode_payload, encode_payload},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use uuid::Uuid;

use super::{
    files::{
        FileKind, SEAL_BYTES, corrupt, io_error, is_staged, read_file, read_u64, refusal,
        replace_file, seal, sync_folder, unseal,
    },
    segment::{
        SEGMENT_HEADER_BYTES, SegmentScan, SegmentWriter, scan_segment, segment_number,
        segment_path,
    },
};

/// The number of the first segment of a folder.
const FIRST_SEGMENT: u64 = 1;
/// The bytes of a synced mark besides its seal.
const MARK_BYTES: usize = 16;

/// The files of a data folder.
#[derive(Clone, Debug)]
pub(super) struct StoreFolder {
    /// The folder.
    path: PathBuf,
}

impl StoreFolder {
    /// Names the folder.
    pub(super) fn new(path: &Path) -> Self {
        Self { path: path.to_owned() }
    }

    /// Returns the path of the folder.
    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the path of the identity.
    fn identity(&self) -> PathBuf {
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

    /// Returns the path of the synced mark.
    fn synced_mark(&self) -> PathBuf {
        self.path.join("synced")
    }
}

/// A snapshot as it stands in its file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct StoredSnapshot {
    /// The first segment whose entries follow the snapshot.
    pub(super) first_segment: u64,
    /// The snapshot.
    pub(super) snapshot: LogSnapshot,
}

/// A torn tail that was cut off: an append that the store never confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The segment file.
    pub path: PathBuf,
    /// Where the tail started, in bytes.
    pub offset: u64,
    /// The length of the tail, in bytes.
    pub bytes: u64,
    /// What was wrong with it.
    pub reason: &'static str,
}

/// What opening the folder found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// Whether the folder was used for the first time.
    pub is_new: bool,
    /// The tail that was cut off.
    pub torn_tail: Option<TornTail>,
}

/// The log of a folder after all checks.
#[derive(Debug)]
pub(super) struct RecoveredLog {
    /// The first segment in use.
    pub(super) first_segment: u64,
    /// The last segment, ready for appends.
    pub(super) segment: SegmentWriter,
    /// The bytes of the segments before it.
    pub(super) closed_bytes: u64,
    /// The last index the snapshot covers.
    pub(super) snapshot_index: LogIndex,
    /// The last index held.
    pub(super) last_index: LogIndex,
    /// The tail that was cut off.
    pub(super) torn_tail: Option<TornTail>,
}

/// The length of the last segment that is known to be synced. It is written after each sync and not
/// synced itself, so it may lag behind, never lead.
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

    /// Notes how much of the last segment is synced.
    pub(super) fn note(&self, segment: &SegmentWriter) -> Result<(), LogStoreError> {
        let bytes = encode_mark(segment.number, segment.length);
        let written = self.file.write_all_at(&bytes, 0);
        written.map_err(|error| io_error("write", &self.path, &error))
    }
}

/// Encodes a synced mark.
fn encode_mark(number: u64, length: u64) -> Vec<u8> {
    let mut content = [0; MARK_BYTES];
    content[..8].copy_from_slice(&number.to_le_bytes());
    content[8..].copy_from_slice(&length.to_le_bytes());
    seal(FileKind::SyncedMark, &content)
}

/// Reads the synced mark: the segment and its synced length.
fn read_mark(folder: &StoreFolder) -> Result<(u64, u64), LogStoreError> {
    let path = folder.synced_mark();
    let bytes = read_required(&path)?;
    let content = unseal(FileKind::SyncedMark, &path, &bytes)?;
    if content.len() != MARK_BYTES {
        return Err(corrupt(&path, SEAL_BYTES as u64, "the mark has another length"));
    }
    Ok((read_u64(content, 0), read_u64(content, 8)))
}

/// Takes the lock of the folder, which the system drops when the process ends.
pub(super) fn lock_folder(folder: &StoreFolder) -> Result<File, LogStoreError> {
    fs::create_dir_all(folder.path()).map_err(|error| io_error("create", folder.path(), &error))?;
    if let Some(parent) = folder.path().parent() {
        let parent = if parent.as_os_str().is_empty() { Path::new(".") } else { parent };
        sync_folder(parent)?;
    }
    let path = folder.path().join("lock");
    let file = File::create(&path).map_err(|error| io_error("create", &path, &error))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => {
            Err(refusal("lock", &path, "another process uses the folder".to_owned()))
        }
        Err(fs::TryLockError::Error(error)) => Err(io_error("lock", &path, &error)),
    }
}

/// Returns the identity of the folder and whether it was made just now.
pub(super) fn prepare_folder(folder: &StoreFolder) -> Result<(StorageId, bool), LogStoreError> {
    remove_staged(folder)?;
    if let Some(bytes) = read_file(&folder.identity())? {
        let path = folder.identity();
        let content = unseal(FileKind::Identity, &path, &bytes)?;
        return Ok((decode_content(&path, content)?, false));
    }
    refuse_orphans(folder)?;
    Ok((create_files(folder)?, true))
}

/// Creates the files of a new folder; the identity comes last and makes the folder valid.
fn create_files(folder: &StoreFolder) -> Result<StorageId, LogStoreError> {
    write_hard_state(folder, &HardState::default())?;
    let segment = SegmentWriter::create(folder.path(), FIRST_SEGMENT, &[])?;
    replace_file(&folder.synced_mark(), &encode_mark(segment.number, segment.length))?;
    let identity = StorageId::from(Uuid::new_v4());
    write_sealed(FileKind::Identity, &folder.identity(), &identity)?;
    Ok(identity)
}

/// Refuses a folder that lost its identity but holds a log. A crash during first use leaves no more
/// than an empty segment and a default vote.
fn refuse_orphans(folder: &StoreFolder) -> Result<(), LogStoreError> {
    let holds_vote = match read_file(&folder.hard_state())? {
        Some(_) => read_hard_state(folder)? != HardState::default(),
        None => false,
    };
    let numbers = list_segments(folder)?;
    let first_path = segment_path(folder.path(), FIRST_SEGMENT);
    let first_length = read_file(&first_path)?.map_or(0, |bytes| bytes.len() as u64);
    let holds_entries =
        first_length > SEGMENT_HEADER_BYTES || numbers.iter().any(|number| *number > FIRST_SEGMENT);
    let holds_snapshot = read_file(&folder.snapshot())?.is_some();
    if holds_vote || holds_entries || holds_snapshot {
        let reason = "the identity is missing although the folder holds a log";
        return Err(corrupt(&folder.identity(), 0, reason));
    }
    Ok(())
}

/// Removes the files that a crash left half made.
fn remove_staged(folder: &StoreFolder) -> Result<(), LogStoreError> {
    for path in list_files(folder)? {
        if is_staged(&path) {
            fs::remove_file(&path).map_err(|error| io_error("remove", &path, &error))?;
        }
    }
    Ok(())
}

/// Removes the segments before `first`, which a snapshot covers.
pub(super) fn remove_segments_before(
    folder: &StoreFolder,
    first: u64,
) -> Result<(), LogStoreError> {
    for number in list_segments(folder)?.range(..first) {
        let path = segment_path(folder.path(), *number);
        fs::remove_file(&path).map_err(|error| io_error("remove", &path, &error))?;
    }
    sync_folder(folder.path())
}

/// Checks every segment, cuts a torn tail off and opens the last segment for appends.
pub(super) fn recover_log(folder: &StoreFolder) -> Result<RecoveredLog, LogStoreError> {
    let stored = read_snapshot(folder)?;
    let first_segment = stored.as_ref().map_or(FIRST_SEGMENT, |stored| stored.first_segment);
    remove_segments_before(folder, first_segment)?;
    let (last_segment, closed_bytes) = check_segments(folder, first_segment)?;
    let (segment, torn_tail) = open_last_segment(folder, last_segment)?;
    let snapshot_index = stored.map_or(LogIndex::default(), |stored| stored.snapshot.last_index);
    let entries = read_entries(folder, first_segment, last_segment, snapshot_index)?;
    let last_index = entries.last().map_or(snapshot_index, |entry| entry.index);
    Ok(RecoveredLog { first_segment, segment, closed_bytes, snapshot_index, last_index, torn_tail })
}

/// Checks that no segment is missing; returns the last number and the bytes of those before it.
fn check_segments(folder: &StoreFolder, first: u64) -> Result<(u64, u64), LogStoreError> {
    let numbers = list_segments(folder)?;
    let (marked, _) = read_mark(folder)?;
    let last = numbers.last().copied().unwrap_or(first).max(first).max(marked);
    let mut closed_bytes = 0;
    for number in first..=last {
        let path = segment_path(folder.path(), number);
        if !numbers.contains(&number) {
            return Err(corrupt(&path, 0, "the segment is missing"));
        }
        if number < last {
            let metadata = fs::metadata(&path).map_err(|error| io_error("read", &path, &error))?;
            closed_bytes += metadata.len();
        }
    }
    Ok((last, closed_bytes))
}

/// Opens the last segment and cuts off what an interrupted append left behind its synced bytes.
fn open_last_segment(
    folder: &StoreFolder,
    number: u64,
) -> Result<(SegmentWriter, Option<TornTail>), LogStoreError> {
    let path = segment_path(folder.path(), number);
    let bytes = read_required(&path)?;
    let scan = scan_segment(&path, number, &bytes)?;
    let (marked_number, marked_length) = read_mark(folder)?;
    let synced = if marked_number == number { marked_length } else { SEGMENT_HEADER_BYTES };
    let segment = SegmentWriter::open(folder.path(), number, scan.end)?;
    let torn_tail = check_tail(&path, &scan, synced, bytes.len() as u64)?;
    // The tail may be intact and yet unsynced; from here on the member answers for it.
    segment.cut_tail()?;
    Ok((segment, torn_tail))
}

/// Tells a torn tail from damage to synced bytes.
fn check_tail(
    path: &Path,
    scan: &SegmentScan,
    synced: u64,
    file_bytes: u64,
) -> Result<Option<TornTail>, LogStoreError> {
    let reason = scan.tail.as_ref().map_or("the file ends early", |tail| tail.reason);
    if scan.end < synced {
        let reason = format!("{reason}, although {synced} bytes were synced");
        return Err(corrupt(path, scan.end, reason));
    }
    let Some(tail) = &scan.tail else { return Ok(None) };
    if tail.is_followed {
        let reason = format!("{reason}, and an intact frame follows");
        return Err(corrupt(path, scan.end, reason));
    }
    Ok(Some(TornTail {
        path: path.to_owned(),
        offset: scan.end,
        bytes: file_bytes - scan.end,
        reason,
    }))
}

/// Reads the entries after `snapshot_index`. An entry replaces an earlier one of its index and all
/// that followed it.
pub(super) fn read_entries(
    folder: &StoreFolder,
    first_segment: u64,
    last_segment: u64,
    snapshot_index: LogIndex,
) -> Result<Vec<LogEntry>, LogStoreError> {
    let mut entries: Vec<LogEntry> = Vec::new();
    for number in first_segment..=last_segment {
        let path = segment_path(folder.path(), number);
        let bytes = read_required(&path)?;
        let scan = scan_segment(&path, number, &bytes)?;
        if let Some(tail) = scan.tail {
            return Err(corrupt(&path, scan.end, tail.reason));
        }
        for entry in scan.entries {
            let position = position_after(snapshot_index, entry.index);
            let Some(position) = position.filter(|position| *position <= entries.len()) else {
                let reason = format!("entry {} does not follow on", entry.index);
                return Err(corrupt(&path, SEGMENT_HEADER_BYTES, reason));
            };
            entries.truncate(position);
            entries.push(entry);
        }
    }
    Ok(entries)
}

/// Returns the place of an entry among those after the snapshot.
fn position_after(snapshot_index: LogIndex, index: LogIndex) -> Option<usize> {
    let distance = index.get().checked_sub(snapshot_index.get() + 1)?;
    usize::try_from(distance).ok()
}

/// Reads the term and vote.
pub(super) fn read_hard_state(folder: &StoreFolder) -> Result<HardState, LogStoreError> {
    let path = folder.hard_state();
    let bytes = read_required(&path)?;
    decode_content(&path, unseal(FileKind::HardState, &path, &bytes)?)
}

/// Replaces the term and vote.
pub(super) fn write_hard_state(
    folder: &StoreFolder,
    state: &HardState,
) -> Result<(), LogStoreError> {
    write_sealed(FileKind::HardState, &folder.hard_state(), state)
}

/// Reads the snapshot, if there is one.
pub(super) fn read_snapshot(folder: &StoreFolder) -> Result<Option<StoredSnapshot>, LogStoreError> {
    let path = folder.snapshot();
    let Some(bytes) = read_file(&path)? else { return Ok(None) };
    decode_content(&path, unseal(FileKind::Snapshot, &path, &bytes)?).map(Some)
}

/// Encodes a value for a sealed file.
pub(super) fn encode_content<T: Serialize>(
    kind: FileKind,
    path: &Path,
    value: &T,
) -> Result<Vec<u8>, LogStoreError> {
    let content =
        encode_payload(value).map_err(|error| refusal("encode", path, error.to_string()))?;
    Ok(seal(kind, &content))
}

/// Replaces a sealed file.
fn write_sealed<T: Serialize>(kind: FileKind, path: &Path, value: &T) -> Result<(), LogStoreError> {
    replace_file(path, &encode_content(kind, path, value)?)
}

/// Decodes the content of a sealed file.
fn decode_content<T: DeserializeOwned>(path: &Path, content: &[u8]) -> Result<T, LogStoreError> {
    decode_payload(content).map_err(|error| corrupt(path, SEAL_BYTES as u64, error.to_string()))
}

/// Reads a file that must exist.
fn read_required(path: &Path) -> Result<Vec<u8>, LogStoreError> {
    read_file(path)?.ok_or_else(|| corrupt(path, 0, "the file is missing"))
}

/// Lists the numbers of the segments.
fn list_segments(folder: &StoreFolder) -> Result<BTreeSet<u64>, LogStoreError> {
    let files = list_files(folder)?;
    let names = files.iter().filter_map(|path| path.file_name()?.to_str());
    Ok(names.filter_map(segment_number).collect())
}

/// Lists the files of the folder.
fn list_files(folder: &StoreFolder) -> Result<Vec<PathBuf>, LogStoreError> {
    let failed = |error: std::io::Error| io_error("list", folder.path(), &error);
    let mut files = Vec::new();
    for entry in fs::read_dir(folder.path()).map_err(failed)? {
        files.push(entry.map_err(failed)?.path());
    }
    Ok(files)
}
