//! Segment files: frames of entries, each written and synced as one batch.
//!
//! A frame holds one batch, so a crash can tear only the last frame of the last segment. A valid
//! frame behind a damaged one proves that the damaged one had been synced.

use std::{
    fs::{File, OpenOptions},
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

use figglade::{
    border::LogStoreError,
    controller::quorum::LogEntry,
    peer::{decode_payload, encode_payload},
};

use super::files::{
    FORMAT_VERSION, FileKind, check_start, checksum_of, corrupt, io_error, read_u32, read_u64,
    refusal, replace_file,
};

/// The bytes before the first frame: magic, format version, segment number, checksum.
pub(super) const SEGMENT_HEADER_BYTES: u64 = 24;
/// The largest content of a frame, in bytes.
pub(super) const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// The content beyond which entries go to the next frame, in bytes.
const FRAME_TARGET_BYTES: usize = 1024 * 1024;
/// The bytes before the content of a frame: magic, content length, checksum.
const FRAME_HEADER_BYTES: usize = 12;
/// The first bytes of a frame.
const FRAME_MAGIC: &[u8; 4] = b"FRME";
/// The start of the name of a segment file.
const NAME_PREFIX: &str = "segment-";
/// The end of the name of a segment file.
const NAME_SUFFIX: &str = ".log";

/// Returns the path of a segment.
pub(super) fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{NAME_PREFIX}{number:012}{NAME_SUFFIX}"))
}

/// Returns the number of the segment with this file name.
pub(super) fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix(NAME_PREFIX)?.strip_suffix(NAME_SUFFIX)?.parse().ok()
}

/// The segment that takes appends.
#[derive(Debug)]
pub(super) struct SegmentWriter {
    /// The open file.
    file: File,
    /// Its path.
    path: PathBuf,
    /// The number of the segment.
    pub(super) number: u64,
    /// The bytes that were written and synced.
    pub(super) length: u64,
}

impl SegmentWriter {
    /// Creates a segment that starts with `entries`, synced.
    pub(super) fn create(
        folder: &Path,
        number: u64,
        entries: &[LogEntry],
    ) -> Result<Self, LogStoreError> {
        let path = segment_path(folder, number);
        let mut bytes = encode_header(number);
        for batch in split_batches(entries) {
            let frame = encode_frame(&path, number, bytes.len() as u64, batch)?;
            bytes.extend_from_slice(&frame);
        }
        replace_file(&path, &bytes)?;
        Self::open(folder, number, bytes.len() as u64)
    }

    /// Opens a segment whose first `length` bytes are intact.
    pub(super) fn open(folder: &Path, number: u64, length: u64) -> Result<Self, LogStoreError> {
        let path = segment_path(folder, number);
        let file = OpenOptions::new()
            .write(true)
            .open(&path)
            .map_err(|error| io_error("open", &path, &error))?;
        Ok(Self { file, path, number, length })
    }

    /// Returns the path.
    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the frame that holds `entries` at the end of this segment.
    pub(super) fn encode(&self, entries: &[LogEntry]) -> Result<Vec<u8>, LogStoreError> {
        encode_frame(&self.path, self.number, self.length, entries)
    }

    /// Writes a frame behind the synced bytes. A failed write is undone.
    pub(super) fn write(&self, frame: &[u8]) -> Result<(), WriteError> {
        let Err(error) = self.file.write_all_at(frame, self.length) else { return Ok(()) };
        let error = io_error("write", &self.path, &error);
        match self.file.set_len(self.length) {
            Ok(()) => Err(WriteError::Undone(error)),
            Err(_) => Err(WriteError::Left(error)),
        }
    }

    /// Syncs the file and counts `frame_bytes` as durable.
    pub(super) fn sync(&mut self, frame_bytes: u64) -> Result<(), LogStoreError> {
        self.file.sync_data().map_err(|error| io_error("sync", &self.path, &error))?;
        self.length += frame_bytes;
        Ok(())
    }

    /// Cuts off everything behind the intact bytes and syncs.
    pub(super) fn cut_tail(&self) -> Result<(), LogStoreError> {
        let cut = self.file.set_len(self.length).and_then(|()| self.file.sync_all());
        cut.map_err(|error| io_error("truncate", &self.path, &error))
    }
}

/// The reason a frame was not written.
pub(super) enum WriteError {
    /// The file is as it was.
    Undone(LogStoreError),
    /// Part of the frame may be left behind the synced bytes.
    Left(LogStoreError),
}

/// What a segment file holds.
#[derive(Debug)]
pub(super) struct SegmentScan {
    /// The entries of the intact frames, in the order written.
    pub(super) entries: Vec<LogEntry>,
    /// The end of the last intact frame, in bytes.
    pub(super) end: u64,
    /// What is wrong behind it, if anything is there.
    pub(super) tail: Option<TailDamage>,
}

/// Bytes behind the last intact frame.
#[derive(Debug)]
pub(super) struct TailDamage {
    /// What is wrong with them.
    pub(super) reason: &'static str,
    /// Whether an intact frame follows, so that the damaged one had been synced.
    pub(super) is_followed: bool,
}

/// Reads a segment up to its end or its first damage.
///
/// # Errors
///
/// Fails when the header is damaged or an intact frame holds no entries.
pub(super) fn scan_segment(
    path: &Path,
    number: u64,
    bytes: &[u8],
) -> Result<SegmentScan, LogStoreError> {
    check_header(path, number, bytes)?;
    let mut entries = Vec::new();
    let mut offset = SEGMENT_HEADER_BYTES as usize;
    let mut tail = None;
    while offset < bytes.len() {
        match read_frame(number, offset, bytes) {
            Ok(content) => {
                let batch: Vec<LogEntry> = decode_payload(content)
                    .map_err(|error| corrupt(path, offset as u64, error.to_string()))?;
                entries.extend(batch);
                offset += FRAME_HEADER_BYTES + content.len();
            }
            Err(reason) => {
                let is_followed = has_frame_after(number, offset, bytes);
                tail = Some(TailDamage { reason, is_followed });
                break;
            }
        }
    }
    Ok(SegmentScan { entries, end: offset as u64, tail })
}

/// Splits entries into batches that fit a frame.
pub(super) fn split_batches(entries: &[LogEntry]) -> Vec<&[LogEntry]> {
    let mut batches = Vec::new();
    let mut start = 0;
    let mut bytes = 0;
    for (position, entry) in entries.iter().enumerate() {
        let entry_bytes = estimate_bytes(entry);
        if position > start && bytes + entry_bytes > FRAME_TARGET_BYTES {
            batches.push(&entries[start..position]);
            start = position;
            bytes = 0;
        }
        bytes += entry_bytes;
    }
    if start < entries.len() {
        batches.push(&entries[start..]);
    }
    batches
}

/// Returns about how many bytes an entry takes in a frame.
fn estimate_bytes(entry: &LogEntry) -> usize {
    /// The bytes of an entry besides its command.
    const ENTRY_OVERHEAD_BYTES: usize = 64;
    /// The most bytes of one member.
    const MEMBER_BYTES: usize = 512;
    use figglade::controller::quorum::EntryPayload;
    let payload = match &entry.payload {
        EntryPayload::Noop => 0,
        EntryPayload::Command(command) => command.len(),
        EntryPayload::Members(set) => set.members.len() * MEMBER_BYTES,
    };
    ENTRY_OVERHEAD_BYTES + payload
}

/// Encodes the header of a segment.
fn encode_header(number: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(SEGMENT_HEADER_BYTES as usize);
    bytes.extend_from_slice(FileKind::Segment.magic());
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    let checksum = checksum_of(&[&bytes]);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Checks the header of a segment.
fn check_header(path: &Path, number: u64, bytes: &[u8]) -> Result<(), LogStoreError> {
    let Some(header) = bytes.get(..SEGMENT_HEADER_BYTES as usize) else {
        return Err(corrupt(path, bytes.len() as u64, "the file ends within its header"));
    };
    check_start(FileKind::Segment, path, header)?;
    if read_u64(header, 12) != number {
        return Err(corrupt(path, 12, "the segment number does not match the file name"));
    }
    if read_u32(header, 20) != checksum_of(&[&header[..20]]) {
        return Err(corrupt(path, 20, "the checksum of the header does not match"));
    }
    Ok(())
}

/// Encodes the frame that holds `entries` at `offset` of a segment.
fn encode_frame(
    path: &Path,
    number: u64,
    offset: u64,
    entries: &[LogEntry],
) -> Result<Vec<u8>, LogStoreError> {
    let content =
        encode_payload(&entries).map_err(|error| refusal("append", path, error.to_string()))?;
    if content.len() > MAX_FRAME_BYTES {
        let reason = format!("an entry has {} bytes, allowed are {MAX_FRAME_BYTES}", content.len());
        return Err(refusal("append", path, reason));
    }
    let length = (content.len() as u32).to_le_bytes();
    let checksum = frame_checksum(number, offset, &length, &content);
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + content.len());
    frame.extend_from_slice(FRAME_MAGIC);
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&checksum.to_le_bytes());
    frame.extend_from_slice(&content);
    Ok(frame)
}

/// Returns the checksum of a frame. It covers the place, so that a frame copied elsewhere is told
/// from one written there.
fn frame_checksum(number: u64, offset: u64, length: &[u8], content: &[u8]) -> u32 {
    checksum_of(&[&number.to_le_bytes(), &offset.to_le_bytes(), length, content])
}

/// Returns the content of the frame at `offset`, or what is wrong with it.
fn read_frame(number: u64, offset: usize, bytes: &[u8]) -> Result<&[u8], &'static str> {
    let rest = &bytes[offset..];
    if rest.len() < FRAME_HEADER_BYTES {
        return Err("the file ends within the header of a frame");
    }
    if &rest[..4] != FRAME_MAGIC {
        return Err("no frame starts here");
    }
    let length = read_u32(rest, 4) as usize;
    if length > MAX_FRAME_BYTES {
        return Err("the length of the frame is out of bounds");
    }
    let Some(content) = rest.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length) else {
        return Err("the file ends within a frame");
    };
    if read_u32(rest, 8) != frame_checksum(number, offset as u64, &rest[4..8], content) {
        return Err("the checksum of the frame does not match");
    }
    Ok(content)
}

/// Returns whether an intact frame starts anywhere behind `offset`.
fn has_frame_after(number: u64, offset: usize, bytes: &[u8]) -> bool {
    let starts = bytes[offset + 1..].windows(FRAME_MAGIC.len()).enumerate();
    starts
        .filter(|(_, window)| window == FRAME_MAGIC)
        .any(|(distance, _)| read_frame(number, offset + 1 + distance, bytes).is_ok())
}
