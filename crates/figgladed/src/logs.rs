//! Structured logs.
//!
//! Lines go to the standard error stream through a thread of their own, so that no request waits
//! for them. Lines beyond the queue are dropped, and a line says how many. Each part starts its
//! lines with its name: "peer: link to 127.0.0.1:7101 was lost". Keys are never logged; the types
//! that hold them do not show them.

use std::{
    io::{self, Write},
    sync::Mutex,
};

use slog::{Drain, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

use crate::settings::{LogFormat, LogLevel, LogSettings};

/// The lines that wait to be written.
const MAX_WAITING_LINES: usize = 4_096;

/// Writes what waits when it is closed.
pub struct LogGuard(AsyncGuard);

impl LogGuard {
    /// Writes the lines that wait; later lines are lost.
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

/// Moves a drain to a thread of its own.
fn start_logger<D>(drain: D) -> (Logger, LogGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (drain, guard) = Async::new(drain)
        .chan_size(MAX_WAITING_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .thread_name("logs".to_owned())
        .build_with_guard();
    // The thread has ended once the guard is closed; what is logged then is lost.
    (Logger::root(drain.ignore_res(), o!()), LogGuard(guard))
}

/// Returns the least severe level written.
const fn filter_level(level: LogLevel) -> slog::Level {
    match level {
        LogLevel::Error => slog::Level::Error,
        LogLevel::Warn => slog::Level::Warning,
        LogLevel::Info => slog::Level::Info,
        LogLevel::Debug => slog::Level::Debug,
    }
}
