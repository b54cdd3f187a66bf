//! The targets that a hub stores on its disk. After a power failure of the whole tier, it can thus
//! serve requests before every target has reported again.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error, From};
use figglade::{
    border::LogStoreError,
    controller::service_directory::TargetRecord,
    peer::{CodecError, decode_payload, encode_payload},
};
use tokio::{sync::Mutex, task::spawn_blocking};

use crate::log_store::{FileKind, decode_file, encode_file, read_file, replace_file};

/// The reason the targets could not be written or loaded.
#[derive(Debug, Display, Error, From)]
pub enum TargetStoreError {
    /// The file cannot be read or written, or is damaged.
    #[display("{_0}")]
    Disk(LogStoreError),
    /// The records cannot be encoded or decoded.
    #[display("{_0}")]
    Codec(CodecError),
    /// The process is stopping.
    #[display("the process is stopping")]
    Stopping(tokio::task::JoinError),
}

/// The file with the targets that a hub knows.
#[derive(Debug)]
pub struct TargetStore {
    path: PathBuf,
    /// Serializes the writes.
    write_lock: Mutex<()>,
}

impl TargetStore {
    /// Builds a store in `folder`, which must exist.
    pub fn new(folder: &Path) -> Self {
        Self { path: folder.join("targets"), write_lock: Mutex::default() }
    }

    /// Loads the stored targets; there are none if the file is absent. The targets are marked as
    /// lapsed and get sequence 0, so that every later record takes precedence.
    ///
    /// # Errors
    ///
    /// Fails when the file is damaged or cannot be read.
    pub fn load(&self) -> Result<Vec<TargetRecord>, TargetStoreError> {
        let Some(bytes) = read_file(&self.path)? else { return Ok(Vec::new()) };
        let content = decode_file(FileKind::Targets, &self.path, &bytes)?;
        let mut records: Vec<TargetRecord> = decode_payload(content)?;
        for record in &mut records {
            record.sequence = 0;
            record.is_lapsed = true;
        }
        Ok(records)
    }

    /// Replaces the stored targets and syncs the file, on a blocking thread: the disk may be slow.
    ///
    /// # Errors
    ///
    /// Fails when the targets cannot be encoded or the file cannot be written.
    pub async fn write(&self, records: &[TargetRecord]) -> Result<(), TargetStoreError> {
        let sealed = encode_file(FileKind::Targets, &encode_payload(&records)?);
        let _guard = self.write_lock.lock().await;
        let path = self.path.clone();
        Ok(spawn_blocking(move || replace_file(&path, &sealed)).await??)
    }
}
