//! The thread that writes events to the files. A bounded queue feeds it.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
    },
    thread::{Builder, JoinHandle},
    time::{Duration, Instant},
};

use figglade::controller::event::EventRecord;

use super::file::{TimelineFileError, TimelineFiles};

/// The maximum number of events in the queue to the disk.
const MAX_QUEUED_EVENTS: usize = 1_024;

/// The longest time for which a written event is not synced.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// The sending end of the queue to the writer thread.
pub(super) type EventSender = SyncSender<EventRecord>;

/// A handle to the writer thread.
pub(super) struct FileWriter {
    sender: EventSender,
    thread: JoinHandle<()>,
}

impl FileWriter {
    /// Starts the writer thread.
    pub(super) fn start(
        files: TimelineFiles,
        not_written: Arc<AtomicU64>,
        logger: slog::Logger,
    ) -> io::Result<Self> {
        let (sender, events) = sync_channel(MAX_QUEUED_EVENTS);
        let writer = WriterLoop {
            files,
            not_written,
            failing: false,
            unsynced: 0,
            last_sync: Instant::now(),
            logger,
        };
        let thread = Builder::new().name("timeline".to_owned()).spawn(|| writer.run(events))?;
        Ok(Self { sender, thread })
    }

    /// Returns the sending end of the queue to the thread.
    pub(super) fn sender(&self) -> EventSender {
        self.sender.clone()
    }

    /// Waits until every other sender is dropped and the queued events are written and synced.
    pub(super) fn close(self) {
        let Self { sender, thread } = self;
        drop(sender);
        // A panic of the thread has already been reported by the panic hook.
        let _ = thread.join();
    }
}

/// The state of the writer thread.
struct WriterLoop {
    files: TimelineFiles,
    not_written: Arc<AtomicU64>,
    failing: bool,
    unsynced: u64,
    last_sync: Instant,
    logger: slog::Logger,
}

impl WriterLoop {
    /// Writes events until every sender is dropped.
    fn run(mut self, events: Receiver<EventRecord>) {
        loop {
            match events.recv_timeout(SYNC_INTERVAL) {
                Ok(event) => self.write_batch(event, &events),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return self.sync(),
            }
            // Not synced more often, because the quorum log may be on the same disk.
            if self.last_sync.elapsed() >= SYNC_INTERVAL {
                self.sync();
            }
        }
    }

    /// Writes an event and those queued behind it.
    fn write_batch(&mut self, first: EventRecord, events: &Receiver<EventRecord>) {
        for event in std::iter::once(first).chain(events.try_iter().take(MAX_QUEUED_EVENTS)) {
            let written = self.files.append(&event);
            match written {
                Ok(()) => self.unsynced += 1,
                Err(_) => _ = self.not_written.fetch_add(1, Ordering::Relaxed),
            }
            self.log_disk_state(written);
        }
    }

    /// Makes the written events durable.
    fn sync(&mut self) {
        self.last_sync = Instant::now();
        if self.unsynced == 0 {
            return;
        }
        let synced = self.files.sync();
        if synced.is_err() {
            self.not_written.fetch_add(self.unsynced, Ordering::Relaxed);
        }
        self.unsynced = 0;
        self.log_disk_state(synced);
    }

    /// Logs the first failure of the disk and its recovery, but not each failure between them.
    fn log_disk_state(&mut self, outcome: Result<(), TimelineFileError>) {
        match outcome {
            Err(error) if !self.failing => {
                self.failing = true;
                slog::error!(
                    self.logger,
                    "timeline: cannot write events to the disk, they stay in memory: {error}"
                );
            }
            Ok(()) if self.failing => {
                self.failing = false;
                slog::info!(self.logger, "timeline: events are written to the disk again");
            }
            _ => {}
        }
    }
}
