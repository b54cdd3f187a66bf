//! The ledger rebuilt from the log on disk after restarts.

#[allow(dead_code, reason = "the helpers serve several test files")]
mod log_store_common;

use std::path::Path;

use figglade::{
    ConfigVersion, WallTime,
    border::LogStore,
    controller::{
        fleet::{FleetDefaults, FleetDocument},
        ledger::{ConfigOutcome, ConfigPut, Ledger, LedgerCommand, LedgerReply},
        quorum::{EntryPayload, LogEntry, LogIndex, LogSnapshot, MemberSet, Term},
    },
};
use figgladed::log_store::FileLogStore;
use log_store_common::open;

/// The number of configuration changes.
const CHANGES: u64 = 500;
/// The number of changes between two snapshots.
const SNAPSHOT_EVERY: u64 = 64;
/// The number of changes between two restarts.
const RESTART_EVERY: u64 = 37;

/// Builds the entry of the change that creates version `number`.
fn change_entry(number: u64) -> LogEntry {
    let put = ConfigPut {
        document: FleetDocument {
            change_id: format!("change-{number}").parse().unwrap(),
            base_version: ConfigVersion::new(number - 1),
            defaults: FleetDefaults { max_limit: number as u32, ..FleetDefaults::default() },
            exceptions: Vec::new(),
        },
        wall: WallTime::from_millis(number),
        instance: "i1".parse().unwrap(),
    };
    LogEntry {
        index: LogIndex::new(number),
        term: Term::new(1),
        payload: EntryPayload::Command(LedgerCommand::PutConfig(put).encode().unwrap()),
    }
}

fn apply(ledger: &mut Ledger, entry: &LogEntry) -> LedgerReply {
    let EntryPayload::Command(command) = &entry.payload else { panic!("{entry:?}") };
    ledger.apply(entry.index, command).unwrap()
}

/// Rebuilds the ledger from the stored snapshot and log, as a member does on startup.
fn restart(folder: &Path) -> (FileLogStore, Ledger) {
    let mut store = open(folder);
    let log = store.load().unwrap();
    let mut ledger = match log.snapshot {
        Some(snapshot) => Ledger::decode_state(&snapshot.state).unwrap(),
        None => Ledger::default(),
    };
    for entry in &log.entries {
        apply(&mut ledger, entry);
    }
    (store, ledger)
}

#[test]
fn latest_configuration_survives_restarts() {
    let folder = tempfile::TempDir::new().unwrap();
    let (mut store, mut ledger) = restart(folder.path());
    for number in 1..=CHANGES {
        let entry = change_entry(number);
        store.append(std::slice::from_ref(&entry)).unwrap();
        let version = ConfigVersion::new(number);
        let committed = LedgerReply::Config(ConfigOutcome::Committed { version });
        assert_eq!(apply(&mut ledger, &entry), committed);
        if number % SNAPSHOT_EVERY == 0 {
            let snapshot = LogSnapshot {
                last_index: entry.index,
                last_term: entry.term,
                members: MemberSet::default(),
                state: ledger.encode_state().unwrap(),
            };
            store.save_snapshot(&snapshot).unwrap();
        }
        if number % RESTART_EVERY == 0 {
            store.close();
            let before = ledger;
            (store, ledger) = restart(folder.path());
            assert_eq!(ledger, before);
        }
    }
    assert_eq!(ledger.config().defaults.max_limit, CHANGES as u32);
    let resent = LogEntry { index: LogIndex::new(CHANGES + 1), ..change_entry(3) };
    let first = LedgerReply::Config(ConfigOutcome::Committed { version: ConfigVersion::new(3) });
    assert_eq!(apply(&mut ledger, &resent), first);
}
