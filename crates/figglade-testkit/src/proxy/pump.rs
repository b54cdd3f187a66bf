//! Carries the bytes of one direction of one connection.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{ReadHalf, WriteHalf},
    sync::{mpsc, watch},
    time::Instant,
};

use super::{ProxyDirection, ProxyFault, ProxyFaults};

/// The chunks that are held for later delivery.
const MAX_HELD_CHUNKS: usize = 256;

/// The largest chunk, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// Why a connection ends before both sides closed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PumpEnd {
    /// It is reset.
    Reset,
    /// It is closed in order.
    Close,
}

/// Some bytes and when to deliver them.
struct HeldChunk {
    due: Instant,
    bytes: Bytes,
}

/// Carries bytes until the reader ends; the writer is then shut down.
///
/// # Errors
///
/// Fails when the whole connection is to end.
pub(super) async fn run_pump(
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
    faults: watch::Receiver<ProxyFaults>,
    direction: ProxyDirection,
) -> Result<(), PumpEnd> {
    let (sender, receiver) = mpsc::channel(MAX_HELD_CHUNKS);
    let output = PumpOutput { writer, faults: faults.clone(), direction, carried: 0 };
    tokio::try_join!(read_chunks(reader, sender, faults, direction), output.run(receiver))?;
    Ok(())
}

/// Reads chunks and stamps them with their time of delivery.
async fn read_chunks(
    mut reader: ReadHalf<'_>,
    chunks: mpsc::Sender<HeldChunk>,
    faults: watch::Receiver<ProxyFaults>,
    direction: ProxyDirection,
) -> Result<(), PumpEnd> {
    loop {
        let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
        let length = reader.read_buf(&mut buffer).await.map_err(|_| PumpEnd::Reset)?;
        if length == 0 {
            return Ok(());
        }
        let delay = match faults.borrow().of(direction) {
            ProxyFault::Delay { delay } => delay,
            _ => Duration::ZERO,
        };
        let chunk = HeldChunk { due: Instant::now() + delay, bytes: buffer.freeze() };
        if chunks.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}

/// The writing end of one direction.
struct PumpOutput<'a> {
    writer: WriteHalf<'a>,
    faults: watch::Receiver<ProxyFaults>,
    direction: ProxyDirection,
    carried: u64,
}

impl PumpOutput<'_> {
    /// Delivers chunks until there are no more.
    async fn run(mut self, mut chunks: mpsc::Receiver<HeldChunk>) -> Result<(), PumpEnd> {
        while let Some(chunk) = chunks.recv().await {
            tokio::time::sleep_until(chunk.due).await;
            self.deliver(chunk.bytes).await?;
        }
        self.pass_end().await?;
        self.writer.shutdown().await.map_err(|_| PumpEnd::Reset)
    }

    /// Returns the present fault of this direction.
    fn fault(&mut self) -> ProxyFault {
        self.faults.borrow_and_update().of(self.direction)
    }

    /// Waits until any fault is switched.
    async fn wait_for_switch(&mut self) -> Result<(), PumpEnd> {
        self.faults.changed().await.map_err(|_| PumpEnd::Reset)
    }

    /// Delivers one chunk under the present fault.
    async fn deliver(&mut self, mut bytes: Bytes) -> Result<(), PumpEnd> {
        while !bytes.is_empty() {
            match self.fault() {
                ProxyFault::None | ProxyFault::Delay { .. } | ProxyFault::Refuse => {
                    self.write(bytes.split_to(bytes.len())).await?;
                }
                ProxyFault::Reset => return Err(PumpEnd::Reset),
                ProxyFault::Stall => self.wait_for_switch().await?,
                ProxyFault::Cut => return self.drop_until_healed().await,
                ProxyFault::Truncate { bytes: limit } => {
                    self.write_up_to(limit, &mut bytes).await?;
                }
                ProxyFault::Drip { piece_bytes, pause } => {
                    tokio::time::sleep(pause).await;
                    let length = piece_bytes.clamp(1, bytes.len());
                    self.write(bytes.split_to(length)).await?;
                }
            }
        }
        Ok(())
    }

    /// Holds the end of the stream back while the direction is stalled or cut.
    async fn pass_end(&mut self) -> Result<(), PumpEnd> {
        loop {
            match self.fault() {
                ProxyFault::Stall => self.wait_for_switch().await?,
                ProxyFault::Cut => return self.drop_until_healed().await,
                _ => return Ok(()),
            }
        }
    }

    /// Waits for the end of a cut; the stream has a hole and must then be reset.
    async fn drop_until_healed(&mut self) -> Result<(), PumpEnd> {
        while self.fault() == ProxyFault::Cut {
            self.wait_for_switch().await?;
        }
        Err(PumpEnd::Reset)
    }

    /// Writes what the limit leaves room for, then ends the connection.
    async fn write_up_to(&mut self, limit: u64, bytes: &mut Bytes) -> Result<(), PumpEnd> {
        let room = limit.saturating_sub(self.carried);
        let length = bytes.len().min(usize::try_from(room).unwrap_or(usize::MAX));
        self.write(bytes.split_to(length)).await?;
        if self.carried >= limit { Err(PumpEnd::Close) } else { Ok(()) }
    }

    /// Writes bytes.
    async fn write(&mut self, bytes: Bytes) -> Result<(), PumpEnd> {
        self.writer.write_all(&bytes).await.map_err(|_| PumpEnd::Reset)?;
        self.carried += bytes.len() as u64;
        Ok(())
    }
}
