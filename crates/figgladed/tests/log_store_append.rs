//! Appends, snapshots and size limits of the quorum log on disk.

mod log_store_common;

use std::{os::unix::fs::symlink, process::Command};

use arbtest::{
    arbitrary::{self, Unstructured},
    arbtest,
};
use figglade::{
    border::{LogStore, LogStoreError},
    controller::quorum::{HardState, LogEntry, LogIndex, Term},
};
use figgladed::log_store::{FileLogStore, StoreLimits};
use log_store_common::{command_entry, entries, open, segments, snapshot, stored};
use tempfile::TempDir;

/// Limits with small segments, so that a test fills several.
const SMALL: StoreLimits =
    StoreLimits { segment_bytes: 512, log_bytes: 1 << 20, snapshot_bytes: 4_096 };

#[test]
fn log_survives_reopening() {
    for count in [500, 5_000] {
        let folder = TempDir::new().unwrap();
        let limits = StoreLimits { segment_bytes: 16 * 1024, ..StoreLimits::default() };
        let vote = HardState { term: Term::new(7), voted_for: Some("i2".parse().unwrap()) };
        {
            let mut store = FileLogStore::open(folder.path(), limits).unwrap();
            for batch in entries(1, count).chunks(50) {
                store.append(batch).unwrap();
            }
            store.save_hard_state(&vote).unwrap();
        }
        let mut store = FileLogStore::open(folder.path(), limits).unwrap();
        let log = store.load().unwrap();
        assert_eq!(log.entries, entries(1, count));
        assert_eq!((log.hard_state, log.snapshot), (vote, None));
        assert_eq!(store.last_index(), LogIndex::new(count));
        assert!(segments(folder.path()).len() > 1);
    }
}

#[test]
fn append_replaces_a_conflicting_suffix() {
    let folder = TempDir::new().unwrap();
    let mut expected = entries(1, 4);
    expected.push(command_entry(5, 2));
    {
        let mut store = open(folder.path());
        store.append(&entries(1, 10)).unwrap();
        store.append(&[command_entry(5, 2)]).unwrap();
        assert_eq!(store.last_index(), LogIndex::new(5));
        assert_eq!(stored(&mut store), expected);
    }
    let mut store = open(folder.path());
    assert_eq!(stored(&mut store), expected);
    store.append(&[command_entry(6, 2)]).unwrap();
    assert_eq!(store.last_index(), LogIndex::new(6));
}

#[test]
fn non_contiguous_entries_are_rejected() {
    let folder = TempDir::new().unwrap();
    let mut store = open(folder.path());
    store.append(&entries(1, 5)).unwrap();
    store.save_snapshot(&snapshot(3, 1)).unwrap();
    let gap = [command_entry(6, 1), command_entry(8, 1)];
    for batch in [entries(7, 1), entries(3, 3), gap.to_vec()] {
        let refused = store.append(&batch);
        assert!(matches!(refused, Err(LogStoreError::Io { .. })), "{refused:?}");
    }
    assert!(store.save_snapshot(&snapshot(2, 1)).is_err());
    assert_eq!(stored(&mut store), entries(4, 2));
}

#[test]
fn snapshot_keeps_only_contiguous_entries() {
    let cases = [
        (snapshot(6, 1), entries(7, 4)),
        (snapshot(10, 1), Vec::new()),
        (snapshot(25, 3), Vec::new()),
        (snapshot(6, 2), Vec::new()),
    ];
    for (saved, kept) in cases {
        let folder = TempDir::new().unwrap();
        let last = saved.last_index.get() + kept.len() as u64;
        {
            let mut store = FileLogStore::open(folder.path(), SMALL).unwrap();
            for entry in entries(1, 10) {
                store.append(&[entry]).unwrap();
            }
            assert!(segments(folder.path()).len() > 1);
            store.save_snapshot(&saved).unwrap();
            assert_eq!(segments(folder.path()).len(), 1);
            assert_eq!(store.last_index(), LogIndex::new(last));
        }
        let mut store = FileLogStore::open(folder.path(), SMALL).unwrap();
        let log = store.load().unwrap();
        assert_eq!((log.snapshot, log.entries), (Some(saved), kept));
        store.append(&[command_entry(last + 1, 4)]).unwrap();
        assert_eq!(store.last_index(), LogIndex::new(last + 1));
    }
}

#[test]
fn folder_in_use_cannot_be_opened_again() {
    let folder = TempDir::new().unwrap();
    let first = open(folder.path());
    let second = FileLogStore::open(folder.path(), StoreLimits::default());
    assert!(second.unwrap_err().to_string().contains("another process uses the folder"));
    first.close();
    open(folder.path());
}

#[test]
fn log_at_its_size_limit_is_full_until_a_snapshot() {
    let folder = TempDir::new().unwrap();
    let limits = StoreLimits { log_bytes: 2_048, ..SMALL };
    let mut store = FileLogStore::open(folder.path(), limits).unwrap();
    let mut last = 0;
    let full = loop {
        match store.append(&entries(last + 1, 1)) {
            Ok(()) => last += 1,
            Err(error) => break error,
        }
    };
    assert!(matches!(full, LogStoreError::Full { .. }));
    assert!(store.log_bytes() <= 2_048);
    assert_eq!(stored(&mut store), entries(1, last));
    store.save_snapshot(&snapshot(last, 1)).unwrap();
    store.append(&entries(last + 1, 1)).unwrap();
    assert_eq!(stored(&mut store), entries(last + 1, 1));
}

#[test]
fn snapshot_above_its_size_limit_is_rejected() {
    let folder = TempDir::new().unwrap();
    let mut store = FileLogStore::open(folder.path(), SMALL).unwrap();
    store.append(&entries(1, 3)).unwrap();
    let mut large = snapshot(2, 1);
    large.state = vec![0; 5_000].into();
    assert!(store.save_snapshot(&large).unwrap_err().to_string().contains("allowed are 4096"));
    assert_eq!(stored(&mut store), entries(1, 3));
}

#[test]
fn full_disk_leaves_the_files_unchanged() {
    let folder = TempDir::new().unwrap();
    let mut store = open(folder.path());
    let vote = |term| HardState { term: Term::new(term), voted_for: None };
    store.append(&entries(1, 3)).unwrap();
    store.save_hard_state(&vote(1)).unwrap();
    for name in ["hard_state.tmp", "snapshot.tmp"] {
        symlink("/dev/full", folder.path().join(name)).unwrap();
    }
    let refused = [store.save_hard_state(&vote(2)), store.save_snapshot(&snapshot(2, 1))];
    for result in refused {
        assert!(matches!(result, Err(LogStoreError::Full { .. })), "{result:?}");
    }
    let log = store.load().unwrap();
    assert_eq!((log.hard_state, log.snapshot, log.entries), (vote(1), None, entries(1, 3)));
    store.save_hard_state(&vote(3)).unwrap();
    store.save_snapshot(&snapshot(2, 1)).unwrap();
    assert_eq!(store.load().unwrap().hard_state, vote(3));
}

/// The file size limit of the child process that runs `fill_small_file`, in blocks of 512 bytes.
const FILE_BLOCKS: u32 = 8;
/// The environment variable with the data folder of the child process.
const FOLDER_VARIABLE: &str = "FIGGLADE_TEST_FOLDER";

#[test]
fn append_without_space_is_undone() {
    let folder = TempDir::new().unwrap();
    let script = format!("trap '' XFSZ; ulimit -f {FILE_BLOCKS}; exec \"$0\" \"$@\"");
    let output = Command::new("sh")
        .args(["-c", &script])
        .arg(std::env::current_exe().unwrap())
        .args(["--ignored", "--exact", "fill_small_file", "--nocapture"])
        .env(FOLDER_VARIABLE, folder.path())
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success() && text.contains("1 passed"), "{text}");
    let mut store = open(folder.path());
    assert_eq!(store.recovery().torn_tail, None);
    let last = store.last_index().get();
    assert!(last > 1);
    assert_eq!(stored(&mut store), entries(1, last));
}

#[test]
#[ignore = "runs within append_without_space_is_undone, under a limit of the file size"]
fn fill_small_file() {
    let folder = std::env::var(FOLDER_VARIABLE).unwrap();
    let mut store = open(folder.as_ref());
    let full = loop {
        if let Err(error) = store.append(&entries(store.last_index().get() + 1, 3)) {
            break error;
        }
    };
    assert!(matches!(full, LogStoreError::Full { .. }), "{full}");
    let last = store.last_index().get();
    assert_eq!(stored(&mut store), entries(1, last));
    store.append(&entries(last + 1, 1)).expect("a smaller entry still fits");
}

/// The expected content of the store.
#[derive(Default)]
struct Model {
    snapshot: u64,
    entries: Vec<LogEntry>,
}

impl Model {
    fn last(&self) -> u64 {
        self.snapshot + self.entries.len() as u64
    }
}

/// The number of random schedules.
const SCHEDULES: u64 = 60;
/// The number of random bytes from which a schedule is generated.
const SCHEDULE_BYTES: u64 = 1_024;

#[test]
fn random_operations_match_a_model_across_reopening() {
    for schedule in 0..SCHEDULES {
        arbtest(run_schedule).seed(schedule << 32 | SCHEDULE_BYTES).run();
    }
}

/// Applies the same random operations to a store and to the model, and compares them after each.
fn run_schedule(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let folder = TempDir::new().unwrap();
    let mut store = FileLogStore::open(folder.path(), SMALL).unwrap();
    let mut model = Model::default();
    for term in 2..30 {
        match u.int_in_range(0..=3)? {
            0 | 1 => {
                let keep = u.int_in_range(0..=model.entries.len())?;
                let first = model.snapshot + keep as u64 + 1;
                let batch: Vec<LogEntry> = (first..=first + u.int_in_range(0..=8)?)
                    .map(|index| command_entry(index, term))
                    .collect();
                store.append(&batch).unwrap();
                model.entries.truncate(keep);
                model.entries.extend(batch);
            }
            2 => {
                let covered = u.int_in_range(0..=model.entries.len())?;
                if let Some(entry) = covered.checked_sub(1).map(|last| &model.entries[last]) {
                    store.save_snapshot(&snapshot(entry.index.get(), entry.term.get())).unwrap();
                    model.snapshot += covered as u64;
                    model.entries.drain(..covered);
                }
            }
            _ => {
                store.close();
                store = FileLogStore::open(folder.path(), SMALL).unwrap();
                assert_eq!(store.recovery().torn_tail, None);
            }
        }
        assert_eq!(store.last_index().get(), model.last());
        assert_eq!(stored(&mut store), model.entries);
    }
    Ok(())
}
