//! The bounded store of the events of this instance.
//!
//! Events are held in memory. If the instance has a data folder, a dedicated thread also appends
//! them to two files in turn, so that recording never waits for the disk. The bounds are given in
//! `docs/design/timeline.md`.

mod file;
mod writer;

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use derive_more::{Display, Error, From};
use figglade::{
    Incarnation, InstanceId, RequestId, WallTime,
    controller::event::{
        EventKind, EventPage, EventQuery, EventRecord, EventRing, EventSource, HybridClock,
        HybridStamp,
    },
};
use parking_lot::Mutex;

use self::{file::TimelineFiles, writer::FileWriter};

use crate::peer_link::StampClock;

pub use self::file::TimelineFileError;

/// The bytes of memory that the store may use per event of `max_events`.
const BYTES_PER_EVENT: usize = 512;

/// A source of the wall time.
pub type WallSource = Arc<dyn Fn() -> WallTime + Send + Sync>;

/// The options of a [`TimelineStore`].
#[derive(Clone)]
pub struct TimelineOptions {
    /// The identity of the instance.
    pub instance: InstanceId,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
    /// The maximum number of events held in memory.
    pub max_events: usize,
    /// The data folder. With `None`, events are held in memory only.
    pub data_dir: Option<PathBuf>,
    /// The size at which a file is rotated, in bytes.
    pub max_file_bytes: u64,
    /// The source of the wall time.
    pub wall: WallSource,
}

/// The reason a store could not be opened.
#[derive(Debug, Display, Error, From)]
pub enum TimelineError {
    /// A file could not be read or created.
    #[display("{_0}")]
    File(TimelineFileError),
    /// The writer thread could not be started.
    #[display("cannot start the writer thread of the time line: {_0}")]
    Thread(std::io::Error),
}

/// The counters of a store since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimelineCounts {
    /// Events recorded.
    pub recorded: u64,
    /// Events held in memory only, because the disk was too slow or failed.
    pub not_written: u64,
    /// Received stamps that were too far ahead of the wall clock.
    pub clock_drifts: u64,
    /// Damaged lines found in the files when the store was opened.
    pub damaged_lines: u64,
}

/// The store of the events of this instance. It writes them to the files until it is closed.
pub struct TimelineStore {
    recorder: TimelineRecorder,
    writer: Option<FileWriter>,
}

impl TimelineStore {
    /// Opens the store and loads the events from the files in the data folder.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or created, or the writer thread cannot be started. Damaged
    /// lines are skipped and counted.
    pub fn open(options: TimelineOptions, logger: slog::Logger) -> Result<Self, TimelineError> {
        let TimelineOptions { instance, incarnation, max_events, data_dir, max_file_bytes, wall } =
            options;
        let mut ring = EventRing::new(max_events, max_events * BYTES_PER_EVENT);
        let mut latest = HybridStamp::default();
        let mut damaged_lines = 0;
        let not_written = Arc::new(AtomicU64::new(0));
        let mut writer = None;
        if let Some(data_dir) = data_dir {
            let files = TimelineFiles::open(&data_dir, max_file_bytes)?;
            damaged_lines = files.read_events(|event| {
                latest = latest.max(event.stamp);
                ring.push(event);
            })?;
            if damaged_lines > 0 {
                slog::warn!(logger, "timeline: {damaged_lines} damaged lines were skipped");
            }
            writer = Some(FileWriter::start(files, Arc::clone(&not_written), logger)?);
        }
        let recorder = TimelineRecorder {
            shared: Arc::new(SharedTimeline {
                source: EventSource { instance, incarnation },
                wall,
                state: Mutex::new(TimelineState {
                    clock: HybridClock::starting_after(latest),
                    ring,
                    sequence: 0,
                }),
                queue: Mutex::new(writer.as_ref().map(FileWriter::sender)),
                not_written,
                clock_drifts: AtomicU64::new(0),
                damaged_lines,
            }),
        };
        Ok(Self { recorder, writer })
    }

    /// Returns a handle that records and reads events.
    pub fn recorder(&self) -> TimelineRecorder {
        self.recorder.clone()
    }

    /// Records an event, see [`TimelineRecorder::record`].
    pub fn record(&self, kind: EventKind, request: Option<RequestId>, detail: impl Into<String>) {
        self.recorder.record(kind, request, detail);
    }

    /// Returns events, see [`TimelineRecorder::since`].
    pub fn since(&self, query: &EventQuery) -> EventPage {
        self.recorder.since(query)
    }

    /// Writes and syncs the queued events, and blocks until this is done. Events recorded later are
    /// held in memory only.
    pub fn close(self) {
        self.recorder.shared.queue.lock().take();
        if let Some(writer) = self.writer {
            writer.close();
        }
    }
}

/// The state that the recorders of a store share.
struct SharedTimeline {
    source: EventSource,
    wall: WallSource,
    state: Mutex<TimelineState>,
    queue: Mutex<Option<writer::EventSender>>,
    not_written: Arc<AtomicU64>,
    clock_drifts: AtomicU64,
    damaged_lines: u64,
}

/// The state that each event changes. It is under one lock, so that stamps and sequence numbers
/// increase together.
struct TimelineState {
    clock: HybridClock,
    ring: EventRing,
    sequence: u64,
}

/// Records and reads events of this instance.
#[derive(Clone)]
pub struct TimelineRecorder {
    shared: Arc<SharedTimeline>,
}

impl TimelineRecorder {
    /// Records an event without waiting for the disk. A detail that is too long is truncated.
    pub fn record(&self, kind: EventKind, request: Option<RequestId>, detail: impl Into<String>) {
        let shared = &self.shared;
        let detail = detail.into();
        let wall = (shared.wall)();
        let mut state = shared.state.lock();
        state.sequence += 1;
        let event = EventRecord {
            stamp: state.clock.tick(wall),
            source: shared.source.clone(),
            sequence: state.sequence,
            kind,
            request,
            detail,
        };
        let event = event.with_bounded_detail();
        state.ring.push(event.clone());
        drop(state);
        if let Some(queue) = &*shared.queue.lock()
            && queue.try_send(event).is_err()
        {
            shared.not_written.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the newest events that match `query`, oldest first.
    pub fn since(&self, query: &EventQuery) -> EventPage {
        self.shared.state.lock().ring.events_since(query)
    }

    /// Returns the counters of the store since it was opened.
    pub fn counts(&self) -> TimelineCounts {
        let shared = &self.shared;
        TimelineCounts {
            recorded: shared.state.lock().sequence,
            not_written: shared.not_written.load(Ordering::Relaxed),
            clock_drifts: shared.clock_drifts.load(Ordering::Relaxed),
            damaged_lines: shared.damaged_lines,
        }
    }
}

impl StampClock for TimelineRecorder {
    fn stamp(&self) -> HybridStamp {
        let wall = (self.shared.wall)();
        self.shared.state.lock().clock.tick(wall)
    }

    /// Advances the clock past a received stamp. One too far ahead of the wall clock is only
    /// counted.
    fn observe(&self, stamp: HybridStamp) {
        let wall = (self.shared.wall)();
        if self.shared.state.lock().clock.observe(stamp, wall).is_err() {
            self.shared.clock_drifts.fetch_add(1, Ordering::Relaxed);
        }
    }
}
