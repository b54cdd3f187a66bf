//! Structured logs.

use slog::{Drain, Level, Logger, o};

use crate::settings::{LogFormat, LogLevel, LogSettings};

/// Builds the logger that the settings ask for, and the guard that flushes it.
pub fn build_logger(settings: &LogSettings) -> (Logger, slog_async::AsyncGuard) {
    let level = match settings.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match settings.format {
        LogFormat::Json => Box::new(slog_json::Json::default(std::io::stderr()).fuse()),
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            Box::new(slog_term::FullFormat::new(decorator).build().fuse())
        }
    };
    let (drain, guard) = slog_async::Async::new(drain).build_with_guard();
    (Logger::root(drain.filter_level(level).fuse(), o!()), guard)
}
