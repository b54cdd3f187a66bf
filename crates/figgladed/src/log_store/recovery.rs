//! Opening a data folder: initialization, validation of every file, and truncation of a torn tail.

use std::{
    fs::{self, File},
    path::{Path, PathBuf},
};

use figglade::{
    border::LogStoreError,
    controller::quorum::{HardState, LogEntry, LogIndex, StorageId},
};
use uuid::Uuid;

use super::{
    files::{FileKind, corrupt, decode_file, io_error, is_staged, read_file, refusal, sync_folder},
    folder::{
        StoreFolder, decode_content, list_files, list_segments, read_hard_state, read_required,
        read_snapshot, write_checksummed, write_hard_state,
    },
    segment::{SEGMENT_HEADER_BYTES, SegmentScan, SegmentWriter, scan_segment, segment_path},
    synced_mark::{create_mark, read_mark},
};

/// The number of the first segment of a folder.
const FIRST_SEGMENT: u64 = 1;

/// A torn tail that was truncated: an append that the store never confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The segment file.
    pub path: PathBuf,
    /// The offset of the tail in the file, in bytes.
    pub offset: u64,
    /// The length of the tail, in bytes.
    pub bytes: u64,
    /// The kind of damage.
    pub reason: &'static str,
}

/// The result of opening a folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// Whether the folder was initialized.
    pub is_new: bool,
    /// The tail that was truncated.
    pub torn_tail: Option<TornTail>,
}

/// The log of a folder after validation.
#[derive(Debug)]
pub(super) struct RecoveredLog {
    /// The first segment in use.
    pub(super) first_segment: u64,
    /// The last segment, open for appends.
    pub(super) segment: SegmentWriter,
    /// The size of the segments before it, in bytes.
    pub(super) closed_bytes: u64,
    /// The last index the snapshot covers.
    pub(super) snapshot_index: LogIndex,
    /// The last index in the log.
    pub(super) last_index: LogIndex,
    /// The tail that was truncated.
    pub(super) torn_tail: Option<TornTail>,
}

/// Locks the folder; the operating system releases the lock when the process ends.
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

/// Returns the storage identity of the folder and whether it was just created.
pub(super) fn prepare_folder(folder: &StoreFolder) -> Result<(StorageId, bool), LogStoreError> {
    remove_staged(folder)?;
    if let Some(bytes) = read_file(&folder.identity())? {
        let path = folder.identity();
        let content = decode_file(FileKind::Identity, &path, &bytes)?;
        return Ok((decode_content(&path, content)?, false));
    }
    reject_log_without_identity(folder)?;
    Ok((create_files(folder)?, true))
}

/// Creates the files of a new folder. The identity is written last, since only a folder with one is
/// valid.
fn create_files(folder: &StoreFolder) -> Result<StorageId, LogStoreError> {
    write_hard_state(folder, &HardState::default())?;
    let segment = SegmentWriter::create(folder.path(), FIRST_SEGMENT, &[])?;
    create_mark(folder, &segment)?;
    let identity = StorageId::from(Uuid::new_v4());
    write_checksummed(FileKind::Identity, &folder.identity(), &identity)?;
    Ok(identity)
}

/// Rejects a folder that contains a log but no identity. A crash during initialization leaves at most
/// an empty segment and a default vote, which are accepted.
fn reject_log_without_identity(folder: &StoreFolder) -> Result<(), LogStoreError> {
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

/// Removes the temporary files left by a crash.
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

/// Validates every segment, truncates a torn tail and opens the last segment for appends.
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

/// Checks that no segment is missing; returns the number of the last one and the size of those
/// before it.
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

/// Opens the last segment and truncates what an interrupted append left after its synced bytes.
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
    // Intact frames after the synced length may not be on disk yet. They are synced here because the
    // member reports them as stored from now on.
    segment.truncate_tail()?;
    Ok((segment, torn_tail))
}

/// Distinguishes a torn tail from damage to synced bytes, which is an error.
fn check_tail(
    path: &Path,
    scan: &SegmentScan,
    synced: u64,
    file_bytes: u64,
) -> Result<Option<TornTail>, LogStoreError> {
    let reason = scan.tail.as_ref().map_or("the file is too short", |tail| tail.reason);
    if scan.end < synced {
        let reason = format!("{reason}, although {synced} bytes were synced");
        return Err(corrupt(path, scan.end, reason));
    }
    let Some(tail) = &scan.tail else { return Ok(None) };
    if tail.is_before_intact_frame {
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

/// Reads the entries after `snapshot_index`. An entry replaces an earlier one with the same index and
/// all that followed it.
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
                let reason = format!("entry {} is not contiguous", entry.index);
                return Err(corrupt(&path, SEGMENT_HEADER_BYTES, reason));
            };
            entries.truncate(position);
            entries.push(entry);
        }
    }
    Ok(entries)
}

/// Returns the position of an entry among those after the snapshot.
fn position_after(snapshot_index: LogIndex, index: LogIndex) -> Option<usize> {
    let distance = index.get().checked_sub(snapshot_index.get() + 1)?;
    usize::try_from(distance).ok()
}
