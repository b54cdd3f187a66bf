//! The log store under SIGKILL: every confirmed append is present after reopening.

#[allow(dead_code, reason = "the helpers serve several test files")]
mod log_store_common;

use std::{
    io::{BufRead, BufReader, Write},
    path::Path,
    process::{Command, Stdio},
};

use figglade::border::LogStore;
use log_store_common::{entries, open, snapshot, stored};
use tempfile::TempDir;

/// The environment variable with the data folder of the child process.
const FOLDER_VARIABLE: &str = "FIGGLADE_TEST_FOLDER";
/// The numbers of confirmed appends after which the child processes are killed.
const CONFIRMED_BEFORE_KILL: [usize; 6] = [1, 2, 7, 23, 40, 64];
/// The number of appends between two snapshots.
const SNAPSHOT_EVERY: u64 = 16;

/// Starts a child process that appends, kills it and returns the last index that it confirmed.
fn append_and_kill(folder: &Path, confirmations: usize) -> u64 {
    let mut child = Command::new(std::env::current_exe().unwrap())
        .args(["--ignored", "--exact", "append_until_killed", "--nocapture"])
        .env(FOLDER_VARIABLE, folder)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines().map(Result::unwrap);
    let mut confirmed = lines.filter_map(|line| line.strip_prefix("confirmed ")?.parse().ok());
    let last = confirmed.nth(confirmations - 1).expect("the process must go on appending");
    child.kill().unwrap();
    child.wait().unwrap();
    confirmed.last().unwrap_or(last)
}

#[test]
fn killed_process_loses_nothing_that_it_confirmed() {
    let folder = TempDir::new().unwrap();
    for confirmations in CONFIRMED_BEFORE_KILL {
        let confirmed = append_and_kill(folder.path(), confirmations);
        let mut store = open(folder.path());
        let last = store.last_index().get();
        assert!(last >= confirmed, "index {confirmed} was confirmed, but the log ends at {last}");
        let covered = store.load().unwrap().snapshot.map_or(0, |held| held.last_index.get());
        assert_eq!(stored(&mut store), entries(covered + 1, last - covered));
    }
}

#[test]
#[ignore = "runs within killed_process_loses_nothing_that_it_confirmed, until it is killed"]
fn append_until_killed() {
    let folder = std::env::var(FOLDER_VARIABLE).unwrap();
    let mut store = open(folder.as_ref());
    let mut output = std::io::stdout();
    for round in 1.. {
        store.append(&entries(store.last_index().get() + 1, 3)).unwrap();
        let last = store.last_index().get();
        writeln!(output, "\nconfirmed {last}").unwrap();
        if round % SNAPSHOT_EVERY == 0 {
            store.save_snapshot(&snapshot(last - 1, 1)).unwrap();
        }
    }
}
