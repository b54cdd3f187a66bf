//! Recovery from damaged log files: a torn tail is truncated, other damage is an error.

mod log_store_common;

use std::{fs, path::Path};

use figglade::{
    border::{LogStore, LogStoreError},
    controller::quorum::{HardState, LogIndex, Term},
};
use figgladed::log_store::{FileLogStore, StoreLimits};
use log_store_common::{command_entry, entries, open, segments, snapshot, stored};
use tempfile::TempDir;

/// Returns the path and offset of the damage that opening must report.
fn open_damaged(folder: &Path) -> (String, u64) {
    match FileLogStore::open(folder, StoreLimits::default()) {
        Err(LogStoreError::Corrupt { path, offset, .. }) => (path, offset),
        other => panic!("the damage must be reported, not {other:?}"),
    }
}

/// Flips one bit of a file.
fn flip_bit(path: &Path, offset: usize) {
    let mut bytes = fs::read(path).unwrap();
    bytes[offset] ^= 0x10;
    fs::write(path, bytes).unwrap();
}

/// Fills a folder with three confirmed appends; returns the end of each in the segment.
fn fill(folder: &Path) -> Vec<u64> {
    let mut store = open(folder);
    let mut ends = Vec::new();
    for first in [1, 4, 7] {
        store.append(&entries(first, 3)).unwrap();
        ends.push(fs::metadata(&segments(folder)[0]).unwrap().len());
    }
    ends
}

#[test]
fn append_torn_at_any_byte_is_truncated_and_reported() {
    let folder = TempDir::new().unwrap();
    fill(folder.path());
    let segment = segments(folder.path()).remove(0);
    let confirmed = fs::read(&segment).unwrap();
    let mark = fs::read(folder.path().join("synced")).unwrap();
    open(folder.path()).append(&entries(10, 2)).unwrap();
    let whole = fs::read(&segment).unwrap();
    for end in confirmed.len() + 1..whole.len() {
        fs::write(&segment, &whole[..end]).unwrap();
        fs::write(folder.path().join("synced"), &mark).unwrap();
        let mut store = open(folder.path());
        let torn = store.recovery().torn_tail.clone().expect("the tail is torn");
        assert_eq!((torn.offset, torn.path), (confirmed.len() as u64, segment.clone()));
        assert_eq!(torn.bytes, (end - confirmed.len()) as u64);
        assert_eq!(stored(&mut store), entries(1, 9));
        assert_eq!(fs::read(&segment).unwrap(), confirmed);
    }
}

#[test]
fn intact_unconfirmed_append_is_kept() {
    let folder = TempDir::new().unwrap();
    fill(folder.path());
    let mark = fs::read(folder.path().join("synced")).unwrap();
    open(folder.path()).append(&entries(10, 2)).unwrap();
    fs::write(folder.path().join("synced"), &mark).unwrap();
    let mut store = open(folder.path());
    assert_eq!(store.recovery().torn_tail, None);
    assert_eq!(stored(&mut store), entries(1, 11));
}

#[test]
fn tail_of_zeros_is_truncated() {
    let folder = TempDir::new().unwrap();
    let end = fill(folder.path())[2];
    let segment = segments(folder.path()).remove(0);
    let mut bytes = fs::read(&segment).unwrap();
    bytes.resize(bytes.len() + 5_000, 0);
    fs::write(&segment, bytes).unwrap();
    let mut store = open(folder.path());
    assert_eq!(store.recovery().torn_tail.as_ref().map(|torn| torn.bytes), Some(5_000));
    assert_eq!(stored(&mut store), entries(1, 9));
    assert_eq!(fs::metadata(&segment).unwrap().len(), end);
}

#[test]
fn confirmed_append_cut_at_any_byte_is_an_error() {
    let folder = TempDir::new().unwrap();
    let ends = fill(folder.path());
    let segment = segments(folder.path()).remove(0);
    let whole = fs::read(&segment).unwrap();
    for end in ends[1]..ends[2] {
        fs::write(&segment, &whole[..end as usize]).unwrap();
        assert_eq!(open_damaged(folder.path()), (segment.display().to_string(), ends[1]));
    }
}

#[test]
fn flipped_byte_anywhere_in_a_segment_is_an_error() {
    let folder = TempDir::new().unwrap();
    let ends = fill(folder.path());
    let segment = segments(folder.path()).remove(0);
    for offset in 0..ends[2] {
        flip_bit(&segment, offset as usize);
        let (path, found) = open_damaged(folder.path());
        assert_eq!(path, segment.display().to_string());
        let frame = ends.iter().rev().find(|end| **end <= offset).copied();
        let start = frame.unwrap_or(if offset < 24 { 0 } else { 24 });
        assert!((start..=offset.max(start)).contains(&found) || offset < 24, "{offset} {found}");
        flip_bit(&segment, offset as usize);
    }
    assert_eq!(stored(&mut open(folder.path())), entries(1, 9));
}

#[test]
fn damage_before_an_intact_frame_is_an_error_without_the_mark() {
    let folder = TempDir::new().unwrap();
    let mark = {
        open(folder.path());
        fs::read(folder.path().join("synced")).unwrap()
    };
    let ends = fill(folder.path());
    let segment = segments(folder.path()).remove(0);
    fs::write(folder.path().join("synced"), mark).unwrap();
    for offset in ends[0]..ends[1] {
        flip_bit(&segment, offset as usize);
        assert_eq!(open_damaged(folder.path()), (segment.display().to_string(), ends[0]));
        flip_bit(&segment, offset as usize);
    }
}

#[test]
fn flipped_byte_in_any_other_file_is_an_error() {
    let folder = TempDir::new().unwrap();
    fill(folder.path());
    {
        let mut store = open(folder.path());
        store.save_hard_state(&HardState { term: Term::new(3), voted_for: None }).unwrap();
        store.save_snapshot(&snapshot(5, 1)).unwrap();
    }
    for name in ["identity", "hard_state", "snapshot", "synced"] {
        let path = folder.path().join(name);
        for offset in 0..fs::metadata(&path).unwrap().len() {
            flip_bit(&path, offset as usize);
            assert_eq!(open_damaged(folder.path()).0, path.display().to_string(), "byte {offset}");
            flip_bit(&path, offset as usize);
        }
    }
    assert_eq!(stored(&mut open(folder.path())), entries(6, 4));
}

#[test]
fn missing_file_is_an_error() {
    for name in ["identity", "hard_state", "snapshot", "synced", "segment"] {
        let folder = TempDir::new().unwrap();
        fill(folder.path());
        open(folder.path()).save_snapshot(&snapshot(5, 1)).unwrap();
        let path = match name {
            "segment" => segments(folder.path()).remove(0),
            name => folder.path().join(name),
        };
        fs::remove_file(&path).unwrap();
        let expected = match name {
            "snapshot" => folder.path().join("segment-000000000001.log"),
            _ => path,
        };
        assert_eq!(open_damaged(folder.path()).0, expected.display().to_string());
    }
}

#[test]
fn temporary_files_are_removed() {
    let folder = TempDir::new().unwrap();
    fill(folder.path());
    for name in ["hard_state.tmp", "snapshot.tmp", "segment-000000000002.log.tmp"] {
        fs::write(folder.path().join(name), b"half").unwrap();
    }
    assert_eq!(stored(&mut open(folder.path())), entries(1, 9));
    let left = fs::read_dir(folder.path()).unwrap();
    let names = left.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    assert_eq!(names.filter(|name| name.ends_with(".tmp")).count(), 0);
}

#[test]
fn crash_before_the_snapshot_is_committed_keeps_the_old_state() {
    let folder = TempDir::new().unwrap();
    fill(folder.path());
    let copy = TempDir::new().unwrap();
    {
        let mut store = open(folder.path());
        store.save_snapshot(&snapshot(5, 1)).unwrap();
    }
    // The copy is in the state of a crash before the commit: it has the new segment and mark, but
    // not the snapshot, and the old segment is not removed.
    fill(copy.path());
    for name in ["segment-000000000002.log", "synced"] {
        fs::copy(folder.path().join(name), copy.path().join(name)).unwrap();
    }
    let mut store = open(copy.path());
    assert_eq!(stored(&mut store), entries(1, 9));
    store.append(&[command_entry(10, 2)]).unwrap();
    assert_eq!(store.last_index(), LogIndex::new(10));
}

#[test]
fn emptied_folder_gets_a_new_identity() {
    let folder = TempDir::new().unwrap();
    let first = open(folder.path()).storage_id();
    assert_eq!(open(folder.path()).storage_id(), first);
    fs::remove_dir_all(folder.path()).unwrap();
    let store = open(folder.path());
    assert!(store.recovery().is_new);
    assert_ne!(store.storage_id(), first);
}

#[test]
fn crash_during_first_use_is_repaired() {
    let folder = TempDir::new().unwrap();
    open(folder.path());
    fs::remove_file(folder.path().join("identity")).unwrap();
    let mut store = open(folder.path());
    assert!(store.recovery().is_new);
    assert_eq!(stored(&mut store), Vec::new());
}
