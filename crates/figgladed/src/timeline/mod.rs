//! The bounded store of events of this instance.
//!
//! Events are held in memory and, where the instance has a data folder, appended to two files in
//! turn by a thread of its own, so that recording never waits for the disk. `docs/design/timeline.md`
//! gives the bounds.

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

/// The most bytes of events in memory for each event that may be held.
const BYTES_PER_EVENT: usize = 512;

/// Tells the wall time.
pub type WallSource = Arc<dyn Fn() -> WallTime + Send + Sync>;

/// What a store is opened with.
#[derive(Clone)]
pub struct TimelineOptions {
    /// The instance.
    pub instance: InstanceId,
    /// Its start.
    pub incarnation: Incarnation,
    /// The events held in memory.
    pub max_events: usize,
    /// The data folder; `None` keeps events in memory only.
    pub data_dir: Option<PathBuf>,
    /// The size at which a file is rotated, in bytes.
    pub max_file_bytes: u64,
    /// Tells the wall time.
    pub wall: WallSource,
}

/// The reason a store could not be opened.
#[derive(Debug, Display, Error, From)]
pub enum TimelineError {
    /// A file could not be read or made.
    #[display("{_0}")]
    File(TimelineFileError),
    /// The thread that writes could not be started.
    #[display("cannot start the thread of the time line: {_0}")]
    Thread(std::io::Error),
}

/// What a store did since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimelineCounts {
    /// Events recorded.
    pub recorded: u64,
    /// Events that are in memory only, because the disk was slow or failed.
    pub not_written: u64,
    /// Received stamps too far ahead of the wall clock.
    pub clock_drifts: u64,
    /// Lines of the files that could not be read when the store was opened.
    pub damaged_lines: u64,
}

/// Holds the events of this instance until it is closed.
pub struct TimelineStore {
    recorder: TimelineRecorder,
    writer: Option<FileWriter>,
}

impl TimelineStore {
    /// Opens the store, with the events that the files of the data folder hold.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or made, or the thread that writes cannot be started. A
    /// damaged line is left out and counted.
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
                slog::warn!(logger, "timeline: {damaged_lines} damaged lines were left out");
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
                lines: Mutex::new(writer.as_ref().map(FileWriter::sender)),
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

    /// Records an event as [`TimelineRecorder::record`] does.
    pub fn record(&self, kind: EventKind, request: Option<RequestId>, detail: impl Into<String>) {
        self.recorder.record(kind, request, detail);
    }

    /// Returns events as [`TimelineRecorder::since`] does.
    pub fn since(&self, query: &EventQuery) -> EventPage {
        self.recorder.since(query)
    }

    /// Writes and syncs what waits; later events stay in memory. Blocks until the disk is done.
    pub fn close(self) {
        self.recorder.shared.lines.lock().take();
        if let Some(writer) = self.writer {
            writer.close();
        }
    }
}

/// What recorders share.
struct SharedTimeline {
    source: EventSource,
    wall: WallSource,
    state: Mutex<TimelineState>,
    lines: Mutex<Option<writer::EventSender>>,
    not_written: Arc<AtomicU64>,
    clock_drifts: AtomicU64,
    damaged_lines: u64,
}

/// What changes with each event; under one lock, so that stamps and numbers rise together.
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
    /// Records an event; never waits for the disk. A long detail is cut.
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
        if let Some(lines) = &*shared.lines.lock()
            && lines.try_send(event).is_err()
        {
            shared.not_written.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the newest events that match, oldest first.
    pub fn since(&self, query: &EventQuery) -> EventPage {
        self.shared.state.lock().ring.events_since(query)
    }

    /// Returns what the store did since it was opened.
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

    /// Takes over a stamp; one too far ahead is counted only.
    fn observe(&self, stamp: HybridStamp) {
        let wall = (self.shared.wall)();
        if self.shared.state.lock().clock.observe(stamp, wall).is_err() {
            self.shared.clock_drifts.fetch_add(1, Ordering::Relaxed);
        }
    }
}
