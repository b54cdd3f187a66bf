//! The targets that a hub writes to its disk, so that a tier that lost its power as a whole serves
//! before every target has reported again.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error, From};
use figglade::{
    border::LogStoreError,
    controller::service_directory::TargetRecord,
    peer::{CodecError, decode_payload, encode_payload},
};
use tokio::{sync::Mutex, task::spawn_blocking};

use crate::log_store::{FileKind, read_file, replace_file, seal, unseal};

/// The reason the targets were not written or read.
#[derive(Debug, Display, Error, From)]
pub enum TargetStoreError {
    /// The disk refused.
    #[display("{_0}")]
    Disk(LogStoreError),
    /// The records cannot be encoded or decoded.
    #[display("{_0}")]
    Codec(CodecError),
    /// The process is stopping.
    #[display("the process is stopping")]
    Stopping(tokio::task::JoinError),
}

/// The file with the targets that a hub knew.
#[derive(Debug)]
pub struct TargetStore {
    path: PathBuf,
    /// Lets one write follow the other.
    writing: Mutex<()>,
}

impl TargetStore {
    /// Keeps the targets in a folder that exists.
    pub fn new(folder: &Path) -> Self {
        Self { path: folder.join("targets"), writing: Mutex::default() }
    }

    /// Returns the targets that were written. They count as lapsed and older than every report:
    /// whoever heard of them since knows better.
    ///
    /// # Errors
    ///
    /// Fails when the file is damaged or cannot be read.
    pub fn load(&self) -> Result<Vec<TargetRecord>, TargetStoreError> {
        let Some(bytes) = read_file(&self.path)? else { return Ok(Vec::new()) };
        let content = unseal(FileKind::Targets, &self.path, &bytes)?;
        let mut records: Vec<TargetRecord> = decode_payload(content)?;
        for record in &mut records {
            record.sequence = 0;
            record.is_lapsed = true;
        }
        Ok(records)
    }

    /// Writes the targets and syncs; the disk may take its time.
    ///
    /// # Errors
    ///
    /// Fails when the disk refuses.
    pub async fn write(&self, records: &[TargetRecord]) -> Result<(), TargetStoreError> {
        let sealed = seal(FileKind::Targets, &encode_payload(&records)?);
        let _turn = self.writing.lock().await;
        let path = self.path.clone();
        Ok(spawn_blocking(move || replace_file(&path, &sealed)).await??)
    }
}
