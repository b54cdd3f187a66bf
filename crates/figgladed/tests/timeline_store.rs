//! Tests of the event store: bounds, restarts and damaged files.

use std::{
    fs,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use figglade::{
    Incarnation, RequestId, WallTime,
    controller::event::{EventKind, EventQuery, EventRecord, HybridStamp, MAX_DETAIL_BYTES},
};
use figgladed::{
    peer_link::StampClock,
    timeline::{TimelineOptions, TimelineStore},
};

const ALL: EventQuery = EventQuery {
    since: HybridStamp::first_at(WallTime::from_millis(0)),
    request: None,
    max_events: usize::MAX,
    max_bytes: usize::MAX,
};

fn options(data_dir: Option<&Path>, wall: &Arc<AtomicU64>) -> TimelineOptions {
    let wall = Arc::clone(wall);
    TimelineOptions {
        instance: "i1".parse().unwrap(),
        incarnation: Incarnation::new(1),
        max_events: 1_000,
        data_dir: data_dir.map(Path::to_path_buf),
        max_file_bytes: 64 << 10,
        wall: Arc::new(move || WallTime::from_millis(wall.load(Ordering::Relaxed))),
    }
}

fn open(options: TimelineOptions) -> TimelineStore {
    TimelineStore::open(options, slog::Logger::root(slog::Discard, slog::o!())).unwrap()
}

fn clock_at(millis: u64) -> Arc<AtomicU64> {
    Arc::new(AtomicU64::new(millis))
}

fn details(store: &TimelineStore) -> Vec<String> {
    store.since(&ALL).events.into_iter().map(|event| event.detail).collect()
}

fn record_numbers(store: &TimelineStore, numbers: std::ops::Range<u32>) {
    numbers.for_each(|number| store.record(EventKind::HedgeSent, None, number.to_string()));
}

#[test]
fn events_are_found_by_time_and_request() {
    let wall = clock_at(1_000);
    let store = open(options(None, &wall));
    let request = RequestId::from_parts(WallTime::from_millis(1), [3; 10]);
    store.record(EventKind::InstanceStarted, None, "x".repeat(2 * MAX_DETAIL_BYTES));
    wall.store(2_000, Ordering::Relaxed);
    store.record(EventKind::HedgeSent, Some(request), "second");
    store.record(EventKind::RetrySent, None, "third");
    let page = store.since(&ALL);
    let sequences: Vec<_> = page.events.iter().map(|event| event.sequence).collect();
    assert_eq!(sequences, [1, 2, 3]);
    assert_eq!(page.events[0].detail.len(), MAX_DETAIL_BYTES);
    let late = EventQuery { since: HybridStamp::first_at(WallTime::from_millis(2_000)), ..ALL };
    assert_eq!(store.since(&late).events.len(), 2);
    let of_request = EventQuery { request: Some(request), ..ALL };
    assert_eq!(store.since(&of_request).events[0].detail, "second");
    store.close();
}

#[test]
fn events_and_clock_survive_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let store = open(options(Some(folder.path()), &clock_at(5_000)));
    record_numbers(&store, 0..20);
    let before = store.since(&ALL).events;
    store.close();
    let restarted = TimelineOptions {
        incarnation: Incarnation::new(2),
        ..options(Some(folder.path()), &clock_at(1_000))
    };
    let store = open(restarted);
    store.record(EventKind::InstanceStarted, None, "again");
    let after = store.since(&ALL).events;
    assert_eq!(after[..20], before[..]);
    assert!(after[20].stamp > before[19].stamp, "stamps increase although the clock went back");
    assert_eq!(after[20].source.incarnation, Incarnation::new(2));
    store.close();
}

#[test]
fn damaged_lines_are_skipped_and_counted() {
    let folder = tempfile::tempdir().unwrap();
    let store = open(options(Some(folder.path()), &clock_at(1_000)));
    record_numbers(&store, 0..5);
    store.close();
    let path = folder.path().join("timeline/current.log");
    let mut bytes = fs::read(&path).unwrap();
    let second_line = bytes.iter().position(|byte| *byte == b'\n').unwrap() + 1;
    bytes[second_line + 40] ^= 1;
    bytes.truncate(bytes.len() - 7);
    fs::write(&path, bytes).unwrap();
    let store = open(options(Some(folder.path()), &clock_at(2_000)));
    assert_eq!(store.recorder().counts().damaged_lines, 2);
    assert_eq!(details(&store), ["0", "2", "3"]);
    record_numbers(&store, 5..7);
    store.close();
    let store = open(options(Some(folder.path()), &clock_at(3_000)));
    assert_eq!(details(&store), ["0", "2", "3", "5", "6"]);
    store.close();
}

#[test]
fn files_are_rotated_within_their_bound() {
    let folder = tempfile::tempdir().unwrap();
    for round in 0..6 {
        // The queue to the disk holds fewer events than all rounds record; closing the store drains
        // it after each round.
        let store = open(options(Some(folder.path()), &clock_at(1_000)));
        record_numbers(&store, 500 * round..500 * (round + 1));
        store.close();
    }
    let files = ["current.log", "previous.log"];
    for file in files {
        let length = fs::metadata(folder.path().join("timeline").join(file)).unwrap().len();
        assert!((1..=64 << 10).contains(&length), "{file} has {length} bytes");
    }
    let store = open(options(Some(folder.path()), &clock_at(1_000)));
    let found: Vec<u32> = details(&store).iter().map(|detail| detail.parse().unwrap()).collect();
    assert_eq!(found.last(), Some(&2_999));
    assert!(found.len() > 300, "fewer events than one full file holds: {}", found.len());
    store.close();
}

#[test]
fn failing_disk_leaves_events_in_memory() {
    let folder = tempfile::tempdir().unwrap();
    let store = open(options(Some(folder.path()), &clock_at(1_000)));
    // The rotation fails, because a file cannot replace a folder that is not empty.
    fs::create_dir_all(folder.path().join("timeline/previous.log/inner")).unwrap();
    let recorder = store.recorder();
    let mut recorded = 0;
    while recorder.counts().not_written == 0 {
        recorder.record(EventKind::DiskFault, None, "x".repeat(MAX_DETAIL_BYTES));
        recorded += 1;
        std::thread::yield_now();
    }
    assert_eq!(recorder.counts().recorded, recorded);
    let newest: Vec<EventRecord> = recorder.since(&ALL).events;
    assert_eq!(newest.last().unwrap().sequence, recorded);
    store.close();
}

#[test]
fn unusable_data_folder_is_named() {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("timeline"), "a file").unwrap();
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let refused = TimelineStore::open(options(Some(folder.path()), &clock_at(1)), logger);
    let message = refused.err().unwrap().to_string();
    let path = folder.path().join("timeline");
    assert!(message.starts_with(&format!("time line: create {}: ", path.display())), "{message}");
}

#[test]
fn received_stamps_move_the_clock_within_the_drift() {
    let store = open(options(None, &clock_at(1_000)));
    let recorder = store.recorder();
    let ahead = HybridStamp { wall: WallTime::from_millis(1_500), logical: 3 };
    recorder.observe(ahead);
    assert!(recorder.stamp() > ahead);
    recorder.observe(HybridStamp::first_at(WallTime::from_millis(60_000)));
    assert_eq!(recorder.counts().clock_drifts, 1);
    assert!(recorder.stamp().wall < WallTime::from_millis(60_000));
    store.close();
}
