//! Structured logs.
//!
//! A dedicated thread writes the lines to the standard error stream, so that no request waits for
//! them. Lines that find the queue full are dropped, and a later line reports how many. Each module
//! starts its lines with its name: "peer: link to 127.0.0.1:7101 was lost". Keys are never logged:
//! the `Debug` output of the types that hold them leaves them out.

use std::{
    io::{self, Write},
    sync::Mutex,
};

use slog::{Drain, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

use crate::settings::{LogFormat, LogLevel, LogSettings};

/// The capacity of the queue of lines to write.
const MAX_QUEUED_LINES: usize = 4_096;

/// Flushes the queued lines when it is closed or dropped.
pub struct LogGuard(AsyncGuard);

impl LogGuard {
    /// Writes the queued lines; lines logged afterwards are lost.
    pub fn close(self) {
        drop(self.0);
    }
}

/// Builds the logger of the process, which writes to the standard error stream.
pub fn build_logger(settings: &LogSettings) -> (Logger, LogGuard) {
    build_logger_to(settings, io::stderr())
}

/// Builds a logger that writes to `output`; lines that cannot be written are lost.
pub fn build_logger_to(
    settings: &LogSettings,
    output: impl Write + Send + 'static,
) -> (Logger, LogGuard) {
    let level = filter_level(settings.level);
    match settings.format {
        LogFormat::Json => {
            let json = slog_json::Json::new(output).add_default_keys().build();
            start_logger(LevelFilter::new(Mutex::new(json), level).ignore_res())
        }
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(output);
            let text = slog_term::FullFormat::new(decorator).use_utc_timestamp();
            let text = text.use_original_order().build();
            start_logger(LevelFilter::new(text, level).ignore_res())
        }
    }
}

/// Runs a drain on a dedicated thread.
fn start_logger<D>(drain: D) -> (Logger, LogGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (drain, guard) = Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .thread_name("logs".to_owned())
        .build_with_guard();
    // The thread ends when the guard is closed. Logging then fails; the error is ignored and the
    // line is lost.
    (Logger::root(drain.ignore_res(), o!()), LogGuard(guard))
}

/// Returns the least severe level that is written.
const fn filter_level(level: LogLevel) -> slog::Level {
    match level {
        LogLevel::Error => slog::Level::Error,
        LogLevel::Warn => slog::Level::Warning,
        LogLevel::Info => slog::Level::Info,
        LogLevel::Debug => slog::Level::Debug,
    }
}
