//! Segment files: a header and frames, each of which holds one batch of entries.
//!
//! Each frame is written and synced before the next, so a crash can tear only the last frame of the
//! last segment. An intact frame after a damaged one proves that the damaged one had been synced.

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

/// The length of the segment header, in bytes: magic, format version, segment number, checksum.
pub(super) const SEGMENT_HEADER_BYTES: u64 = 24;
/// The maximum length of the content of a frame, in bytes.
pub(super) const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// The content length above which further entries go to the next frame, in bytes.
const FRAME_TARGET_BYTES: usize = 1024 * 1024;
/// The length of a frame header, in bytes: magic, content length, checksum.
const FRAME_HEADER_BYTES: usize = 12;
/// The magic bytes at the start of a frame.
const FRAME_MAGIC: &[u8; 4] = b"FRME";
/// The prefix of the name of a segment file.
const NAME_PREFIX: &str = "segment-";
/// The suffix of the name of a segment file.
const NAME_SUFFIX: &str = ".log";

/// Returns the path of a segment.
pub(super) fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{NAME_PREFIX}{number:012}{NAME_SUFFIX}"))
}

/// Returns the number of the segment with this file name.
pub(super) fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix(NAME_PREFIX)?.strip_suffix(NAME_SUFFIX)?.parse().ok()
}

/// The segment that is open for appends.
#[derive(Debug)]
pub(super) struct SegmentWriter {
    /// The open file.
    file: File,
    /// Its path.
    path: PathBuf,
    /// The number of the segment.
    pub(super) number: u64,
    /// The length that is written and synced, in bytes.
    pub(super) length: u64,
}

impl SegmentWriter {
    /// Creates and syncs a segment that begins with `entries`.
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

    /// Encodes `entries` as the next frame of this segment.
    pub(super) fn encode(&self, entries: &[LogEntry]) -> Result<Vec<u8>, LogStoreError> {
        encode_frame(&self.path, self.number, self.length, entries)
    }

    /// Writes a frame after the synced bytes. After a failed write the file is truncated again.
    pub(super) fn write(&self, frame: &[u8]) -> Result<(), WriteError> {
        let Err(error) = self.file.write_all_at(frame, self.length) else { return Ok(()) };
        let error = io_error("write", &self.path, &error);
        match self.file.set_len(self.length) {
            Ok(()) => Err(WriteError::RolledBack(error)),
            Err(_) => Err(WriteError::NotRolledBack(error)),
        }
    }

    /// Syncs the file and adds `frame_bytes` to its synced length.
    pub(super) fn sync(&mut self, frame_bytes: u64) -> Result<(), LogStoreError> {
        self.file.sync_data().map_err(|error| io_error("sync", &self.path, &error))?;
        self.length += frame_bytes;
        Ok(())
    }

    /// Truncates the file to its intact length and syncs it.
    pub(super) fn truncate_tail(&self) -> Result<(), LogStoreError> {
        let truncated = self.file.set_len(self.length).and_then(|()| self.file.sync_all());
        truncated.map_err(|error| io_error("truncate", &self.path, &error))
    }
}

/// The error of a failed frame write.
pub(super) enum WriteError {
    /// The file was truncated to its length before the write.
    RolledBack(LogStoreError),
    /// Part of the frame may remain after the synced bytes.
    NotRolledBack(LogStoreError),
}

/// The result of scanning a segment file.
#[derive(Debug)]
pub(super) struct SegmentScan {
    /// The entries of the intact frames, in the order written.
    pub(super) entries: Vec<LogEntry>,
    /// The end of the last intact frame, in bytes.
    pub(super) end: u64,
    /// The damage after it, if any bytes follow.
    pub(super) tail: Option<TailDamage>,
}

/// Damaged bytes after the intact frames at the start of a segment.
#[derive(Debug)]
pub(super) struct TailDamage {
    /// The kind of damage.
    pub(super) reason: &'static str,
    /// Whether an intact frame follows, which proves that the damaged one had been synced.
    pub(super) is_before_intact_frame: bool,
}

/// Scans a segment up to its end or the first damage.
///
/// # Errors
///
/// Fails when the header is damaged or the content of an intact frame cannot be decoded.
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
                let is_before_intact_frame = has_frame_after(number, offset, bytes);
                tail = Some(TailDamage { reason, is_before_intact_frame });
                break;
            }
        }
    }
    Ok(SegmentScan { entries, end: offset as u64, tail })
}

/// Splits entries into batches of about [`FRAME_TARGET_BYTES`]; a larger entry gets its own batch.
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

/// Estimates the encoded length of an entry, in bytes.
fn estimate_bytes(entry: &LogEntry) -> usize {
    /// The encoded length of an entry without its payload, in bytes.
    const ENTRY_OVERHEAD_BYTES: usize = 64;
    /// The maximum encoded length of one member, in bytes.
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
        return Err(corrupt(path, bytes.len() as u64, "the file is shorter than its header"));
    };
    check_start(FileKind::Segment, path, header)?;
    if read_u64(header, 12) != number {
        return Err(corrupt(path, 12, "the segment number does not match the file name"));
    }
    if read_u32(header, 20) != checksum_of(&[&header[..20]]) {
        return Err(corrupt(path, 20, "header checksum mismatch"));
    }
    Ok(())
}

/// Encodes `entries` as the frame at `offset` of a segment.
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

/// Returns the checksum of a frame. It covers the segment number and the offset, so that a frame
/// copied to another place is detected.
fn frame_checksum(number: u64, offset: u64, length: &[u8], content: &[u8]) -> u32 {
    checksum_of(&[&number.to_le_bytes(), &offset.to_le_bytes(), length, content])
}

/// Returns the content of the frame at `offset`, or the kind of damage.
fn read_frame(number: u64, offset: usize, bytes: &[u8]) -> Result<&[u8], &'static str> {
    let rest = &bytes[offset..];
    if rest.len() < FRAME_HEADER_BYTES {
        return Err("truncated frame header");
    }
    if &rest[..4] != FRAME_MAGIC {
        return Err("wrong frame magic bytes");
    }
    let length = read_u32(rest, 4) as usize;
    if length > MAX_FRAME_BYTES {
        return Err("the frame length exceeds the maximum");
    }
    let Some(content) = rest.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length) else {
        return Err("truncated frame");
    };
    if read_u32(rest, 8) != frame_checksum(number, offset as u64, &rest[4..8], content) {
        return Err("frame checksum mismatch");
    }
    Ok(content)
}

/// Returns whether an intact frame starts anywhere after `offset`.
fn has_frame_after(number: u64, offset: usize, bytes: &[u8]) -> bool {
    let starts = bytes[offset + 1..].windows(FRAME_MAGIC.len()).enumerate();
    starts
        .filter(|(_, window)| window == FRAME_MAGIC)
        .any(|(distance, _)| read_frame(number, offset + 1 + distance, bytes).is_ok())
}
