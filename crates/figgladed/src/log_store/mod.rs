//! The quorum log on disk.
//!
//! A data folder holds an identity, the term and vote, the latest snapshot and segments of the log.
//! Segments are append-only. When the log is read, an entry whose index is already present replaces
//! that entry and all after it, so truncating a conflicting suffix and appending the new one become
//! durable in one sync. Each batch of an append is one checksummed frame.
//!
//! A confirmed append is never dropped. The file `synced` records how many bytes of the last segment
//! were synced; it is written after the sync and before the append is confirmed. On opening, damage
//! within those bytes, in an earlier segment or before an intact frame is an error. Only an
//! incomplete frame after the synced bytes counts as a torn tail, which is truncated and reported.

mod files;
mod folder;
mod recovery;
mod segment;
mod synced_mark;

use std::{fs::File, path::Path};

use figglade::{
    border::{LogStore, LogStoreError},
    controller::quorum::{HardState, LogEntry, LogIndex, LogSnapshot, StorageId, StoredLog},
};

use self::{
    files::{commit_file, refusal, stage_file},
    folder::{
        StoreFolder, StoredSnapshot, encode_content, read_hard_state, read_snapshot,
        write_hard_state,
    },
    recovery::{
        RecoveredLog, lock_folder, prepare_folder, read_entries, recover_log,
        remove_segments_before,
    },
    segment::{SegmentWriter, WriteError, split_batches},
    synced_mark::SyncedMark,
};

pub(crate) use self::files::{FileKind, decode_file, encode_file, read_file, replace_file};
pub use self::recovery::{RecoveryReport, TornTail};

/// Size limits of a log on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// The size at which appends go to a new segment, in bytes.
    pub segment_bytes: u64,
    /// The size of all segments above which appends are rejected as on a full disk, in bytes.
    pub log_bytes: u64,
    /// The size above which a snapshot is rejected, in bytes.
    pub snapshot_bytes: u64,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            segment_bytes: 8 * 1024 * 1024,
            log_bytes: 512 * 1024 * 1024,
            snapshot_bytes: 128 * 1024 * 1024,
        }
    }
}

/// The quorum log of one member, stored in a data folder.
#[derive(Debug)]
pub struct FileLogStore {
    /// The data folder.
    folder: StoreFolder,
    /// The size limits.
    limits: StoreLimits,
    /// The storage identity of the folder.
    storage: StorageId,
    /// What opening found.
    report: RecoveryReport,
    /// The positions of the log and its last segment.
    log: RecoveredLog,
    /// The file that records the synced length of the last segment.
    mark: SyncedMark,
    /// The error that stopped the store, because what is on disk is no longer certain.
    stopped: Option<LogStoreError>,
    /// Locks the folder against other processes while it is open.
    _lock: File,
}

impl FileLogStore {
    /// Opens the data folder and creates it on first use.
    ///
    /// # Errors
    ///
    /// Fails when another process uses the folder, when a file is damaged other than by a torn tail,
    /// or on an I/O error.
    pub fn open(folder: &Path, limits: StoreLimits) -> Result<Self, LogStoreError> {
        let folder = StoreFolder::new(folder);
        let lock = lock_folder(&folder)?;
        let (storage, is_new) = prepare_folder(&folder)?;
        read_hard_state(&folder)?;
        let mut log = recover_log(&folder)?;
        let mark = SyncedMark::open(&folder)?;
        mark.record(&log.segment)?;
        let report = RecoveryReport { is_new, torn_tail: log.torn_tail.take() };
        Ok(Self { folder, limits, storage, report, log, mark, stopped: None, _lock: lock })
    }

    /// Returns what opening the folder found.
    pub const fn recovery(&self) -> &RecoveryReport {
        &self.report
    }

    /// Returns the size of all segments, in bytes.
    pub const fn log_bytes(&self) -> u64 {
        self.log.closed_bytes + self.log.segment.length
    }

    /// Closes the folder; every confirmed append is already synced.
    pub fn close(self) {
        drop(self);
    }

    /// Fails once an earlier error left the state on disk uncertain.
    fn check_running(&self) -> Result<(), LogStoreError> {
        match &self.stopped {
            Some(error) => {
                let reason =
                    format!("the store stopped after an error and must be reopened: {error}");
                Err(refusal("use", self.folder.path(), reason))
            }
            None => Ok(()),
        }
    }

    /// Stops the store and returns the error.
    fn stop(&mut self, error: LogStoreError) -> LogStoreError {
        self.stopped = Some(error.clone());
        error
    }

    /// Rejects entries that leave a gap or that the snapshot covers.
    fn check_contiguous(&self, entries: &[LogEntry]) -> Result<(), LogStoreError> {
        let Some(first) = entries.first() else { return Ok(()) };
        let starts_in_range =
            first.index > self.log.snapshot_index && first.index <= self.log.last_index.next();
        let is_contiguous = entries.windows(2).all(|pair| pair[1].index == pair[0].index.next());
        if starts_in_range && is_contiguous {
            return Ok(());
        }
        let reason = format!(
            "entry {} is not contiguous: the snapshot ends at {}, the log at {}",
            first.index, self.log.snapshot_index, self.log.last_index
        );
        Err(refusal("append", self.folder.path(), reason))
    }

    /// Appends one batch as a frame and syncs it.
    fn append_batch(&mut self, entries: &[LogEntry]) -> Result<(), LogStoreError> {
        self.roll_segment()?;
        let frame = self.log.segment.encode(entries)?;
        let frame_bytes = frame.len() as u64;
        if self.log_bytes() + frame_bytes > self.limits.log_bytes {
            let path = self.log.segment.path().display().to_string();
            return Err(LogStoreError::Full { path });
        }
        match self.log.segment.write(&frame) {
            Ok(()) => {}
            Err(WriteError::RolledBack(error)) => return Err(error),
            Err(WriteError::NotRolledBack(error)) => return Err(self.stop(error)),
        }
        // After a failed sync the kernel may have dropped the dirty pages, so a retry that succeeds
        // would not prove that the frame is on disk.
        self.log.segment.sync(frame_bytes).map_err(|error| self.stop(error))?;
        if let Some(last) = entries.last() {
            self.log.last_index = last.index;
        }
        self.mark.record(&self.log.segment).map_err(|error| self.stop(error))
    }

    /// Starts a new segment when the last one has reached its size limit.
    fn roll_segment(&mut self) -> Result<(), LogStoreError> {
        if self.log.segment.length < self.limits.segment_bytes {
            return Ok(());
        }
        self.start_segment(&[])
    }

    /// Starts a new segment that begins with copies of `entries`.
    fn start_segment(&mut self, entries: &[LogEntry]) -> Result<(), LogStoreError> {
        let number = self.log.segment.number + 1;
        let segment = SegmentWriter::create(self.folder.path(), number, entries)
            .map_err(|error| self.stop_unless_full(error))?;
        self.log.closed_bytes += self.log.segment.length;
        self.log.segment = segment;
        self.mark.record(&self.log.segment).map_err(|error| self.stop(error))
    }

    /// Stops the store unless the disk was full, which leaves the existing files unchanged.
    fn stop_unless_full(&mut self, error: LogStoreError) -> LogStoreError {
        match error {
            LogStoreError::Full { .. } => error,
            error => self.stop(error),
        }
    }

    /// Returns the entries after `snapshot`, or none when the log does not contain its last entry.
    fn entries_after(&self, snapshot: &LogSnapshot) -> Result<Vec<LogEntry>, LogStoreError> {
        let mut entries = self.read_log()?;
        let is_covered = |entry: &LogEntry| entry.index <= snapshot.last_index;
        let covered = entries.partition_point(is_covered);
        let last_covered = entries[..covered].last();
        let is_in_log = match last_covered {
            Some(entry) => entry.index == snapshot.last_index && entry.term == snapshot.last_term,
            None => self.log.snapshot_index == snapshot.last_index,
        };
        if !is_in_log {
            return Ok(Vec::new());
        }
        entries.drain(..covered);
        Ok(entries)
    }

    /// Reads the entries after the snapshot.
    fn read_log(&self) -> Result<Vec<LogEntry>, LogStoreError> {
        read_entries(
            &self.folder,
            self.log.first_segment,
            self.log.segment.number,
            self.log.snapshot_index,
        )
    }

    /// Rejects a snapshot that is older than the stored one.
    fn check_snapshot(&self, snapshot: &LogSnapshot) -> Result<(), LogStoreError> {
        if snapshot.last_index >= self.log.snapshot_index {
            return Ok(());
        }
        let reason = format!(
            "the snapshot ends at {}, before the stored one at {}",
            snapshot.last_index, self.log.snapshot_index
        );
        Err(refusal("snapshot", &self.folder.snapshot(), reason))
    }

    /// Writes and syncs a snapshot under its temporary name.
    fn stage_snapshot(&self, snapshot: &LogSnapshot) -> Result<(), LogStoreError> {
        let path = self.folder.snapshot();
        let stored = StoredSnapshot {
            first_segment: self.log.segment.number + 1,
            snapshot: snapshot.clone(),
        };
        let bytes = encode_content(FileKind::Snapshot, &path, &stored)?;
        if bytes.len() as u64 > self.limits.snapshot_bytes {
            let limit = self.limits.snapshot_bytes;
            let reason = format!("the snapshot has {} bytes, allowed are {limit}", bytes.len());
            return Err(refusal("snapshot", &path, reason));
        }
        stage_file(&path, &bytes)
    }
}

impl LogStore for FileLogStore {
    fn storage_id(&self) -> StorageId {
        self.storage
    }

    fn load(&mut self) -> Result<StoredLog, LogStoreError> {
        self.check_running()?;
        Ok(StoredLog {
            hard_state: read_hard_state(&self.folder)?,
            snapshot: read_snapshot(&self.folder)?.map(|stored| stored.snapshot),
            entries: self.read_log()?,
        })
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), LogStoreError> {
        self.check_running()?;
        self.check_contiguous(entries)?;
        for batch in split_batches(entries) {
            self.append_batch(batch)?;
        }
        Ok(())
    }

    fn save_hard_state(&mut self, state: &HardState) -> Result<(), LogStoreError> {
        self.check_running()?;
        write_hard_state(&self.folder, state).map_err(|error| self.stop_unless_full(error))
    }

    fn save_snapshot(&mut self, snapshot: &LogSnapshot) -> Result<(), LogStoreError> {
        self.check_running()?;
        self.check_snapshot(snapshot)?;
        let entries = self.entries_after(snapshot)?;
        self.stage_snapshot(snapshot)?;
        // Until the snapshot is committed, older segments are still read, and the copies replace
        // the same entries there.
        self.start_segment(&entries)?;
        commit_file(&self.folder.snapshot()).map_err(|error| self.stop(error))?;
        self.log.first_segment = self.log.segment.number;
        self.log.closed_bytes = 0;
        self.log.snapshot_index = snapshot.last_index;
        self.log.last_index = entries.last().map_or(snapshot.last_index, |entry| entry.index);
        // Segments that could not be removed are removed when the folder is next opened.
        let _ = remove_segments_before(&self.folder, self.log.first_segment);
        Ok(())
    }

    fn last_index(&self) -> LogIndex {
        self.log.last_index
    }
}
