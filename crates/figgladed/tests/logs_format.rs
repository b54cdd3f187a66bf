//! Log lines: their format and level, and a blocked output.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
};

use figgladed::{
    logs::build_logger_to,
    settings::{KeySet, LogFormat, LogLevel, LogSettings},
};
use serde_json::Value;

/// Collects the written bytes.
#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl SharedOutput {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Blocks each write until the test drops the sender.
struct BlockedOutput {
    release: mpsc::Receiver<()>,
    output: SharedOutput,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Once the sender is dropped, every write proceeds.
        let _ = self.release.recv();
        self.output.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn settings(format: LogFormat, level: LogLevel) -> LogSettings {
    LogSettings { format, level }
}

#[test]
fn json_lines_hold_level_message_and_values() {
    let output = SharedOutput::default();
    let (logger, guard) =
        build_logger_to(&settings(LogFormat::Json, LogLevel::Info), output.clone());
    slog::info!(logger, "peer: link to {} was lost", "127.0.0.1:1"; "request" => "r1");
    slog::debug!(logger, "peer: a detail");
    slog::error!(logger, "disk: full");
    guard.close();
    let text = output.text();
    let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert_eq!(lines[0]["msg"], "peer: link to 127.0.0.1:1 was lost");
    assert_eq!(lines[0]["request"], "r1");
    assert_eq!((&lines[0]["level"], &lines[1]["level"]), (&"INFO".into(), &"ERRO".into()));
    assert!(lines[0]["ts"].as_str().is_some_and(|time| time.starts_with("20")), "{text}");
}

#[test]
fn text_lines_respect_the_level() {
    for (level, expected) in
        [(LogLevel::Error, 1), (LogLevel::Warn, 2), (LogLevel::Info, 3), (LogLevel::Debug, 4)]
    {
        let output = SharedOutput::default();
        let (logger, guard) = build_logger_to(&settings(LogFormat::Text, level), output.clone());
        slog::error!(logger, "part: e");
        slog::warn!(logger, "part: w");
        slog::info!(logger, "part: i"; "key" => 7);
        slog::debug!(logger, "part: d");
        guard.close();
        let text = output.text();
        assert_eq!(text.lines().count(), expected, "{text}");
        assert_eq!(text.contains("INFO part: i, key: 7"), expected >= 3, "{text}");
    }
}

#[test]
fn blocked_output_delays_no_caller_and_drops_are_reported() {
    let (sender, release) = mpsc::channel();
    let output = SharedOutput::default();
    let blocked = BlockedOutput { release, output: output.clone() };
    let (logger, guard) = build_logger_to(&settings(LogFormat::Json, LogLevel::Info), blocked);
    // Logging returns although the output is blocked.
    (0..20_000).for_each(|number| slog::info!(logger, "part: line {number}"));
    drop(sender);
    let report = "slog-async: logger dropped messages due to channel overflow";
    while !output.text().contains(report) {
        // The report precedes the next line that finds room in the queue.
        slog::info!(logger, "part: later line");
        std::thread::yield_now();
    }
    guard.close();
    let lines = output.text().lines().filter(|line| line.contains("part: line")).count();
    assert!((1..10_000).contains(&lines), "{lines} lines passed the bounded queue");
}

#[test]
fn keys_do_not_show_in_lines() {
    let output = SharedOutput::default();
    let (logger, guard) =
        build_logger_to(&settings(LogFormat::Json, LogLevel::Info), output.clone());
    let keys = KeySet::from_text("a-very-secret-key-0123456789").unwrap();
    slog::info!(logger, "settings: read {keys:?}"; "keys" => ?keys);
    guard.close();
    assert!(output.text().contains("KeySet(1 keys)"));
    assert!(!output.text().contains("secret"));
}
