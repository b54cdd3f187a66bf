//! The two files of the time line, which are written in turn. Each event takes one line.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, BufRead, BufReader, Read, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

use derive_more::{Display, Error};
use figglade::controller::event::EventRecord;

/// The folder of the files, within the data folder.
const FOLDER: &str = "timeline";

/// The file to which events are appended.
const CURRENT_FILE: &str = "current.log";

/// The file that was rotated out last.
const PREVIOUS_FILE: &str = "previous.log";

/// The maximum length of a line that is read, in bytes.
const MAX_LINE_BYTES: u64 = 16 << 10;

/// The length of the checksum and the space that precede an event, in bytes.
const PREFIX_BYTES: usize = 9;

/// The reason a file of the time line could not be used.
#[derive(Debug, Display, Error)]
#[display("time line: {operation} {}: {source}", path.display())]
pub struct TimelineFileError {
    /// The operation that failed.
    pub operation: &'static str,
    /// The file or folder.
    pub path: PathBuf,
    /// The error of the operating system.
    pub source: io::Error,
}

/// The two files of the time line.
#[derive(Debug)]
pub(super) struct TimelineFiles {
    folder: PathBuf,
    max_file_bytes: u64,
    current: File,
    length: u64,
    /// Whether the last line may be truncated. The next event then starts with a line break, so
    /// that it is not joined to that line.
    torn: bool,
}

impl TimelineFiles {
    /// Opens the files in the data folder and creates the missing ones.
    pub(super) fn open(data_dir: &Path, max_file_bytes: u64) -> Result<Self, TimelineFileError> {
        let folder = data_dir.join(FOLDER);
        fs::create_dir_all(&folder).map_err(|source| file_error("create", &folder, source))?;
        let path = folder.join(CURRENT_FILE);
        let (current, length) = open_current(&path)?;
        let torn = length > 0 && !ends_with_newline(&path)?;
        Ok(Self { folder, max_file_bytes, current, length, torn })
    }

    /// Reads every event, oldest first, and returns the number of damaged lines.
    pub(super) fn read_events(
        &self,
        mut on_event: impl FnMut(EventRecord),
    ) -> Result<u64, TimelineFileError> {
        let mut damaged = 0;
        for name in [PREVIOUS_FILE, CURRENT_FILE] {
            let path = self.folder.join(name);
            let file = match File::open(&path) {
                Ok(file) => file,
                Err(error) if error.kind() == io::ErrorKind::NotFound => continue,
                Err(source) => return Err(file_error("open", &path, source)),
            };
            damaged += read_lines(BufReader::new(file), &mut on_event)
                .map_err(|source| file_error("read", &path, source))?;
        }
        Ok(damaged)
    }

    /// Appends an event, which is durable after [`TimelineFiles::sync`].
    pub(super) fn append(&mut self, event: &EventRecord) -> Result<(), TimelineFileError> {
        let line = encode_line(event, self.torn);
        if self.length > 0 && self.length + line.len() as u64 > self.max_file_bytes {
            self.rotate()?;
        }
        let written = self.current.write_all(&line);
        self.torn = written.is_err();
        self.length += line.len() as u64;
        written.map_err(|source| file_error("write", &self.folder.join(CURRENT_FILE), source))
    }

    /// Makes the appended events durable.
    pub(super) fn sync(&self) -> Result<(), TimelineFileError> {
        let synced = self.current.sync_data();
        synced.map_err(|source| file_error("sync", &self.folder.join(CURRENT_FILE), source))
    }

    /// Renames the current file to the previous one, replacing that, and starts a new file.
    fn rotate(&mut self) -> Result<(), TimelineFileError> {
        self.sync()?;
        let path = self.folder.join(CURRENT_FILE);
        let renamed = fs::rename(&path, self.folder.join(PREVIOUS_FILE));
        renamed.map_err(|source| file_error("rename", &path, source))?;
        (self.current, self.length) = open_current(&path)?;
        let synced = File::open(&self.folder).and_then(|folder| folder.sync_all());
        synced.map_err(|source| file_error("sync", &self.folder, source))
    }
}

/// Builds the error of a failed operation.
fn file_error(operation: &'static str, path: &Path, source: io::Error) -> TimelineFileError {
    TimelineFileError { operation, path: path.to_path_buf(), source }
}

/// Opens the file to which events are appended and returns its length.
fn open_current(path: &Path) -> Result<(File, u64), TimelineFileError> {
    let file = OpenOptions::new().create(true).append(true).open(path);
    let file = file.map_err(|source| file_error("open", path, source))?;
    let length = file.metadata().map_err(|source| file_error("read", path, source))?.len();
    Ok((file, length))
}

/// Returns whether the last line of a file that is not empty is complete.
fn ends_with_newline(path: &Path) -> Result<bool, TimelineFileError> {
    let read_last = || -> io::Result<u8> {
        let mut file = File::open(path)?;
        file.seek(SeekFrom::End(-1))?;
        let mut last = [0];
        file.read_exact(&mut last)?;
        Ok(last[0])
    };
    Ok(read_last().map_err(|source| file_error("read", path, source))? == b'\n')
}

/// Passes the event of each intact line to `on_event` and returns the number of damaged lines.
fn read_lines(mut reader: impl BufRead, on_event: &mut impl FnMut(EventRecord)) -> io::Result<u64> {
    let mut damaged = 0;
    let mut line = Vec::new();
    loop {
        line.clear();
        if reader.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut line)? == 0 {
            return Ok(damaged);
        }
        if line == b"\n" {
            continue;
        }
        match decode_line(line.strip_suffix(b"\n").unwrap_or(&line)) {
            Some(event) => on_event(event),
            None => damaged += 1,
        }
    }
}

/// Encodes an event as one line of a checksum and JSON. After a torn line a line break precedes it.
fn encode_line(event: &EventRecord, after_torn: bool) -> Vec<u8> {
    let json = serde_json::to_vec(event).unwrap_or_default();
    let line_break = if after_torn { "\n" } else { "" };
    let mut line = format!("{line_break}{:08x} ", crc32fast::hash(&json)).into_bytes();
    line.extend_from_slice(&json);
    line.push(b'\n');
    line
}

/// Decodes a line without its line break. Returns `None` if it is damaged.
fn decode_line(line: &[u8]) -> Option<EventRecord> {
    let (prefix, json) = line.split_at_checked(PREFIX_BYTES)?;
    let checksum = std::str::from_utf8(prefix).ok()?.strip_suffix(' ')?;
    if u32::from_str_radix(checksum, 16).ok()? != crc32fast::hash(json) {
        return None;
    }
    serde_json::from_slice(json).ok()
}
