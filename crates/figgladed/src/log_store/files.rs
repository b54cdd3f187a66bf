//! Checksummed files that are replaced atomically, and the mapping of I/O errors to store errors.

use std::{
    fs::{self, File},
    io::{ErrorKind, Write},
    path::{Path, PathBuf},
};

use figglade::border::LogStoreError;

/// The format version in the header of every file.
pub(super) const FORMAT_VERSION: u32 = 1;
/// The length of the header of a checksummed file, in bytes: magic, format version, content length,
/// checksum.
pub(super) const FILE_HEADER_BYTES: usize = 24;
/// The extension added to the name of a file until it is complete.
const TEMPORARY_SUFFIX: &str = "tmp";

/// The kind of a file, which determines its magic bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    /// The storage identity of the folder.
    Identity,
    /// The term and vote.
    HardState,
    /// The snapshot.
    Snapshot,
    /// The number and the synced length of the last segment.
    SyncedMark,
    /// A segment of the log.
    Segment,
    /// The targets that a hub loads after a restart.
    Targets,
}

impl FileKind {
    /// Returns the magic bytes at the start of the file.
    pub(super) const fn magic(self) -> &'static [u8; 8] {
        match self {
            Self::Identity => b"FIGGIDEN",
            Self::HardState => b"FIGGHARD",
            Self::Snapshot => b"FIGGSNAP",
            Self::SyncedMark => b"FIGGSYNC",
            Self::Segment => b"FIGGSEGM",
            Self::Targets => b"FIGGTARG",
        }
    }
}

/// Converts an I/O error to a store error; lack of space becomes [`LogStoreError::Full`].
pub(super) fn io_error(operation: &str, path: &Path, error: &std::io::Error) -> LogStoreError {
    let path = path.display().to_string();
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
            LogStoreError::Full { path }
        }
        _ => LogStoreError::Io { operation: operation.to_owned(), path, reason: error.to_string() },
    }
}

/// Builds the error for an operation that the store rejects.
pub(super) fn refusal(operation: &str, path: &Path, reason: String) -> LogStoreError {
    LogStoreError::Io { operation: operation.to_owned(), path: path.display().to_string(), reason }
}

/// Builds the error for corruption at `offset`.
pub(super) fn corrupt(path: &Path, offset: u64, reason: impl Into<String>) -> LogStoreError {
    LogStoreError::Corrupt { path: path.display().to_string(), offset, reason: reason.into() }
}

/// Encodes a checksummed file: the header, then `content`.
pub(crate) fn encode_file(kind: FileKind, content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FILE_HEADER_BYTES + content.len());
    bytes.extend_from_slice(kind.magic());
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(&(content.len() as u64).to_le_bytes());
    let checksum = checksum_of(&[&bytes, content]);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(content);
    bytes
}

/// Verifies the header and the checksum of a file and returns its content.
pub(crate) fn decode_file<'a>(
    kind: FileKind,
    path: &Path,
    bytes: &'a [u8],
) -> Result<&'a [u8], LogStoreError> {
    if bytes.len() < FILE_HEADER_BYTES {
        return Err(corrupt(path, bytes.len() as u64, "the file is shorter than its header"));
    }
    let (header, content) = bytes.split_at(FILE_HEADER_BYTES);
    check_start(kind, path, header)?;
    if read_u64(header, 12) != content.len() as u64 {
        return Err(corrupt(
            path,
            12,
            "the content length in the header does not match the file size",
        ));
    }
    if read_u32(header, 20) != checksum_of(&[&header[..20], content]) {
        return Err(corrupt(path, FILE_HEADER_BYTES as u64, "checksum mismatch"));
    }
    Ok(content)
}

/// Checks the magic and the format version at the start of a file.
pub(super) fn check_start(kind: FileKind, path: &Path, header: &[u8]) -> Result<(), LogStoreError> {
    if &header[..8] != kind.magic() {
        return Err(corrupt(path, 0, "wrong magic bytes"));
    }
    let version = read_u32(header, 8);
    if version != FORMAT_VERSION {
        let reason =
            format!("format version {version} is not supported, expected {FORMAT_VERSION}");
        return Err(corrupt(path, 8, reason));
    }
    Ok(())
}

/// Reads a whole file, or `None` when it does not exist.
pub(crate) fn read_file(path: &Path) -> Result<Option<Vec<u8>>, LogStoreError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(io_error("read", path, &error)),
    }
}

/// Replaces a file atomically: after a crash it holds either the old bytes or the new ones.
pub(crate) fn replace_file(path: &Path, bytes: &[u8]) -> Result<(), LogStoreError> {
    stage_file(path, bytes)?;
    commit_file(path)
}

/// Writes the bytes to a temporary file and syncs it; [`commit_file`] then renames it.
pub(super) fn stage_file(path: &Path, bytes: &[u8]) -> Result<(), LogStoreError> {
    let staged = staged_path(path);
    let written = File::create(&staged).and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    });
    written.map_err(|error| {
        // A partly written file is useless and takes up space on a disk that may be full.
        let _ = fs::remove_file(&staged);
        io_error("write", &staged, &error)
    })
}

/// Renames the staged file to its final name and syncs the folder.
pub(super) fn commit_file(path: &Path) -> Result<(), LogStoreError> {
    fs::rename(staged_path(path), path).map_err(|error| io_error("rename", path, &error))?;
    sync_folder(path.parent().unwrap_or(Path::new(".")))
}

/// Returns the path of the temporary file that [`commit_file`] renames.
fn staged_path(path: &Path) -> PathBuf {
    path.with_added_extension(TEMPORARY_SUFFIX)
}

/// Returns whether this is a temporary file, which only a crash leaves behind.
pub(super) fn is_staged(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == TEMPORARY_SUFFIX)
}

/// Syncs a folder so that created and renamed files in it survive a crash.
pub(super) fn sync_folder(folder: &Path) -> Result<(), LogStoreError> {
    let synced = File::open(folder).and_then(|file| file.sync_all());
    synced.map_err(|error| io_error("sync", folder, &error))
}

/// Returns the CRC-32 of the concatenated parts.
pub(super) fn checksum_of(parts: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize()
}

/// Reads a little-endian `u32` at `offset`.
///
/// # Panics
///
/// Panics when `bytes` is too short.
pub(super) fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let mut number = [0; 4];
    number.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_le_bytes(number)
}

/// Reads a little-endian `u64` at `offset`.
///
/// # Panics
///
/// Panics when `bytes` is too short.
pub(super) fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_le_bytes(number)
}
