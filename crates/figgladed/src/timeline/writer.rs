//! The thread that writes events, behind a bounded queue.

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

/// The events that wait for the disk.
const MAX_WAITING_EVENTS: usize = 1_024;

/// The longest time an event that was written stays unsynced.
const SYNC_PERIOD: Duration = Duration::from_secs(1);

/// Hands events to the thread.
pub(super) type EventSender = SyncSender<EventRecord>;

/// The thread that writes events.
pub(super) struct FileWriter {
    sender: EventSender,
    thread: JoinHandle<()>,
}

impl FileWriter {
    /// Starts the thread.
    pub(super) fn start(
        files: TimelineFiles,
        not_written: Arc<AtomicU64>,
        logger: slog::Logger,
    ) -> io::Result<Self> {
        let (sender, events) = sync_channel(MAX_WAITING_EVENTS);
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

    /// Returns what hands events to the thread.
    pub(super) fn sender(&self) -> EventSender {
        self.sender.clone()
    }

    /// Waits until what was handed over is written and synced.
    pub(super) fn close(self) {
        let Self { sender, thread } = self;
        drop(sender);
        // A panic of the thread was reported by the panic hook.
        let _ = thread.join();
    }
}

/// The state of the thread.
struct WriterLoop {
    files: TimelineFiles,
    not_written: Arc<AtomicU64>,
    failing: bool,
    unsynced: u64,
    last_sync: Instant,
    logger: slog::Logger,
}

impl WriterLoop {
    /// Writes events until every sender is gone.
    fn run(mut self, events: Receiver<EventRecord>) {
        loop {
            match events.recv_timeout(SYNC_PERIOD) {
                Ok(event) => self.write_batch(event, &events),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return self.sync(),
            }
            // Seldom, because the quorum log may share the disk.
            if self.last_sync.elapsed() >= SYNC_PERIOD {
                self.sync();
            }
        }
    }

    /// Writes an event and those that wait behind it.
    fn write_batch(&mut self, first: EventRecord, events: &Receiver<EventRecord>) {
        for event in std::iter::once(first).chain(events.try_iter().take(MAX_WAITING_EVENTS)) {
            let written = self.files.append(&event);
            match written {
                Ok(()) => self.unsynced += 1,
                Err(_) => _ = self.not_written.fetch_add(1, Ordering::Relaxed),
            }
            self.report(written);
        }
    }

    /// Makes what was written durable.
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
        self.report(synced);
    }

    /// Logs when the disk starts to fail and when it works again.
    fn report(&mut self, outcome: Result<(), TimelineFileError>) {
        match outcome {
            Err(error) if !self.failing => {
                self.failing = true;
                slog::error!(self.logger, "timeline: events stay in memory: {error}");
            }
            Ok(()) if self.failing => {
                self.failing = false;
                slog::info!(self.logger, "timeline: events are written again");
            }
            _ => {}
        }
    }
}
