//! The hybrid logical clock, the limits of the event ring and the merged order of events.

use figglade::{
    Incarnation, RequestId, WallTime,
    controller::event::{
        EventKind, EventQuery, EventRecord, EventRing, EventSource, HybridClock, HybridStamp,
        MAX_CLOCK_DRIFT, MAX_DETAIL_BYTES, merge_events,
    },
};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

fn wall(millis: u64) -> WallTime {
    WallTime::from_millis(millis)
}

fn stamp(millis: u64, logical: u32) -> HybridStamp {
    HybridStamp { wall: wall(millis), logical }
}

fn event(instance: &str, sequence: u64, stamp: HybridStamp) -> EventRecord {
    let source =
        EventSource { instance: instance.parse().unwrap(), incarnation: Incarnation::new(1) };
    let detail = format!("event {sequence}");
    EventRecord { stamp, source, sequence, kind: EventKind::HedgeSent, request: None, detail }
}

fn query(since: HybridStamp, max_events: usize) -> EventQuery {
    EventQuery { since, request: None, max_events, max_bytes: usize::MAX }
}

#[test]
fn clock_never_runs_backwards() {
    let mut clock = HybridClock::default();
    assert_eq!(clock.tick(wall(10)), stamp(10, 0));
    assert_eq!(clock.tick(wall(10)), stamp(10, 1));
    assert_eq!(clock.tick(wall(3)), stamp(10, 2), "the wall clock was set back");
    assert_eq!(clock.tick(wall(11)), stamp(11, 0));
    let mut clock = HybridClock::starting_after(stamp(20, u32::MAX));
    assert_eq!(clock.tick(wall(20)), stamp(21, 0), "a full counter carries into the wall time");
}

#[test]
fn clock_accepts_received_stamps_up_to_the_maximum_drift() {
    let mut clock = HybridClock::default();
    clock.tick(wall(1_000));
    clock.observe(stamp(1_200, 7), wall(1_000)).unwrap();
    assert_eq!(clock.tick(wall(1_001)), stamp(1_200, 8));
    clock.observe(stamp(900, 0), wall(1_001)).unwrap();
    assert_eq!(clock.latest(), stamp(1_200, 8), "an old stamp changes nothing");
    let limit = 1_001 + MAX_CLOCK_DRIFT.as_millis() as u64;
    let far = stamp(limit + 1, 0);
    assert_eq!(clock.observe(far, wall(1_001)).unwrap_err().stamp, far);
    assert_eq!(clock.latest(), stamp(1_200, 8));
    clock.observe(stamp(limit, 0), wall(1_001)).unwrap();
    assert_eq!(clock.latest(), stamp(limit, 0));
}

#[test]
fn stamps_round_trip_through_text() {
    for text in ["1700000000000.3", "5.0"] {
        assert_eq!(text.parse::<HybridStamp>().unwrap().to_string(), text);
    }
    assert_eq!("12".parse(), Ok(stamp(12, 0)));
    for text in ["", "x", "1.x", "1.2.3", "-1"] {
        assert!(text.parse::<HybridStamp>().is_err(), "{text:?}");
    }
}

fn record(events: &mut [Vec<EventRecord>], at: usize, stamp: HybridStamp) {
    let sequence = events[at].len() as u64 + 1;
    events[at].push(event(&format!("i{at}"), sequence, stamp));
}

/// Instances whose wall clocks differ by seconds exchange messages. No effect may be ordered before
/// its cause.
#[test]
fn merged_order_keeps_cause_before_effect() {
    let mut rng = ChaCha8Rng::seed_from_u64(20);
    let offsets = [0_u64, 3_000, 1_500, 4_900];
    let mut clocks = [HybridClock::default(); 4];
    let mut events = vec![Vec::new(); 4];
    let mut causes = Vec::new();
    for step in 0..2_000_u64 {
        let (from, to) = (rng.random_range(0..4), rng.random_range(0..4));
        let now = |at: usize| wall(10_000 + step / 8 + offsets[at]);
        let sent = clocks[from].tick(now(from));
        record(&mut events, from, sent);
        clocks[to].observe(sent, now(to)).unwrap();
        let received = clocks[to].tick(now(to));
        record(&mut events, to, received);
        causes.push((events[from].last().cloned(), events[to].last().cloned()));
    }
    let duplicates = events[2].clone();
    events.push(duplicates);
    events.shuffle(&mut rng);
    let merged = merge_events(events);
    assert_eq!(merged.len(), 4_000, "each event once");
    let position = |event: &EventRecord| {
        merged
            .iter()
            .position(|found| found.source == event.source && found.sequence == event.sequence)
    };
    for (cause, effect) in causes.iter().step_by(7) {
        let (cause, effect) = (cause.as_ref().unwrap(), effect.as_ref().unwrap());
        assert!(position(cause) <= position(effect), "{cause:?} must come before {effect:?}");
    }
    for pair in merged.windows(2) {
        assert!(pair[0].source != pair[1].source || pair[0].sequence < pair[1].sequence);
    }
}

#[test]
fn ring_keeps_the_newest_events_within_its_limits() {
    let mut ring = EventRing::new(3, usize::MAX);
    (1..=5).for_each(|number| ring.push(event("i1", number, stamp(number, 0))));
    let numbers = |page: &figglade::controller::event::EventPage| {
        page.events.iter().map(|event| event.sequence).collect::<Vec<_>>()
    };
    let page = ring.events_since(&query(HybridStamp::default(), 10));
    assert_eq!((numbers(&page), page.truncated), (vec![3, 4, 5], true));
    let page = ring.events_since(&query(stamp(3, 0), 10));
    assert_eq!((numbers(&page), page.truncated), (vec![3, 4, 5], false));
    let page = ring.events_since(&query(stamp(3, 0), 2));
    assert_eq!((numbers(&page), page.truncated), (vec![4, 5], true));

    let size = event("i1", 1, stamp(1, 0)).size_bytes();
    let mut ring = EventRing::new(100, 2 * size);
    (1..=5).for_each(|number| ring.push(event("i1", number, stamp(number, 0))));
    assert_eq!(ring.len(), 2);
    let narrow = EventQuery { max_bytes: size, ..query(HybridStamp::default(), 10) };
    assert_eq!(numbers(&ring.events_since(&narrow)), [5]);
}

#[test]
fn ring_finds_the_events_of_a_request() {
    let mut ring = EventRing::new(100, usize::MAX);
    let wanted = RequestId::from_parts(wall(7), [1; 10]);
    let other = RequestId::from_parts(wall(7), [2; 10]);
    for (number, request) in [(1, Some(wanted)), (2, None), (3, Some(other)), (4, Some(wanted))] {
        ring.push(EventRecord { request, ..event("i1", number, stamp(number, 0)) });
    }
    let query = EventQuery { request: Some(wanted), ..query(HybridStamp::default(), 10) };
    let found: Vec<_> =
        ring.events_since(&query).events.iter().map(|event| event.sequence).collect();
    assert_eq!(found, [1, 4]);
}

#[test]
fn records_are_bounded_and_readable_across_releases() {
    let long = EventRecord { detail: "å".repeat(400), ..event("i1", 1, stamp(1, 0)) };
    let bounded = long.with_bounded_detail();
    assert_eq!(bounded.detail, "å".repeat(MAX_DETAIL_BYTES / 2));
    let text = serde_json::to_string(&bounded).unwrap();
    assert_eq!(serde_json::from_str::<EventRecord>(&text).unwrap(), bounded);
    let newer = text.replace("hedge_sent", "a_kind_of_the_next_release");
    assert_eq!(serde_json::from_str::<EventRecord>(&newer).unwrap().kind, EventKind::Other);
    assert_eq!("leader_changed".parse(), Ok(EventKind::LeaderChanged));
}
