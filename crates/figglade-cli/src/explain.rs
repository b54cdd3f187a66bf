//! Collects the log lines of one request and of the state changes that preceded it.

use std::{
    collections::BTreeSet,
    path::{Path, PathBuf},
};

use serde_json::Value;

use crate::error::CliError;

/// The maximum number of state lines that are shown with a request.
const MAX_STATE_LINES: usize = 40;
/// Prefixes of log messages that record the state of a process, such as its route set or leader,
/// independent of any request.
const STATE_MESSAGES: [&str; 6] = [
    "relay: a route set is in force",
    "relay: the proof of being current changed",
    "hub: another hub is followed",
    "quorum: the leader changed",
    "process: ",
    "relay: lines of requests were left out",
];

/// A log line with its time and file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainLine {
    /// The time stamp in the line.
    pub time: String,
    /// The name of the file that contains it.
    pub file: String,
    /// The text of the line.
    pub text: String,
}

/// Prints the lines of a request and the state lines that preceded its end, ordered by time.
///
/// # Errors
///
/// Fails when a file cannot be read or no line belongs to the request.
pub fn explain_request(files: &[PathBuf], request: &str) -> Result<(), CliError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_lines(file)?);
    }
    let explained = select_lines(lines, request);
    if explained.is_empty() {
        return Err(CliError::Usage {
            name: "REQUEST_ID",
            value: request.to_owned(),
            allowed: "it must occur in the log files; ordinary answers are logged by sampling only"
                .to_owned(),
        });
    }
    for line in explained {
        println!("{} {}: {}", line.time, line.file, line.text);
    }
    Ok(())
}

/// Selects the lines of a request and the latest state lines before its end, ordered by time. State
/// lines are those with one of `STATE_MESSAGES` and those about a target of its attempts.
pub fn select_lines(mut lines: Vec<ExplainLine>, request: &str) -> Vec<ExplainLine> {
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    let parsed: Vec<Option<Value>> =
        lines.iter().map(|line| serde_json::from_str(&line.text).ok()).collect();
    let is_own = |value: &Value| value["request"] == request;
    let Some(end) = parsed.iter().rposition(|value| value.as_ref().is_some_and(is_own)) else {
        return Vec::new();
    };
    let own = parsed.iter().flatten().filter(|value| is_own(value));
    let targets: BTreeSet<String> = own.flat_map(targets_of).collect();
    let mut chosen = BTreeSet::new();
    let mut state_lines = 0;
    for place in (0..=end).rev() {
        let Some(value) = &parsed[place] else { continue };
        if is_own(value) {
            chosen.insert(place);
        } else if state_lines < MAX_STATE_LINES && is_state_line(value, &targets) {
            state_lines += 1;
            chosen.insert(place);
        }
    }
    chosen.into_iter().map(|place| lines[place].clone()).collect()
}

/// Returns the targets in the `attempts` text of a log line.
fn targets_of(value: &Value) -> Vec<String> {
    let attempts = value["attempts"].as_str().unwrap_or_default().split("; ");
    let named = attempts.filter_map(|attempt| attempt.split(" to ").nth(1)?.split(' ').next());
    named.map(ToOwned::to_owned).collect()
}

fn is_state_line(value: &Value, targets: &BTreeSet<String>) -> bool {
    let message = value["msg"].as_str().unwrap_or_default();
    let is_of_target = value["target"].as_str().is_some_and(|target| targets.contains(target));
    is_of_target || STATE_MESSAGES.iter().any(|prefix| message.starts_with(prefix))
}

fn read_lines(file: &Path) -> Result<Vec<ExplainLine>, CliError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CliError::Read { path: file.to_owned(), reason: error.to_string() })?;
    let name = file.file_name().map(|name| name.to_string_lossy().into_owned());
    let name = name.unwrap_or_default();
    let lines = text.lines().filter_map(|line| {
        // A bench may prefix the line with its own time and the name of the process.
        let text = &line[line.find('{')?..];
        let value: Value = serde_json::from_str(text).ok()?;
        let time = value["ts"].as_str()?.to_owned();
        Some(ExplainLine { time, file: name.clone(), text: text.to_owned() })
    });
    Ok(lines.collect())
}
