//! Admission in virtual time: bounded waits, early refusals, fairness, and goodput at overload.

mod filter_support;

use std::{collections::BTreeMap, time::Duration};

use figglade::{
    IndexName, Timestamp,
    filter::admission::{
        AdmissionController, AdmissionDecision, AdmissionLimits, AdmissionRequest, IndexCapacity,
        RequestBreadth,
    },
};
use filter_support::{index, seeded};
use rand::RngExt;

const LIMITS: AdmissionLimits = AdmissionLimits { max_running: 256, max_queued: 256 };
const CAPACITY: IndexCapacity = IndexCapacity { shards: 10, slots: 9.0 };

fn broad(index: &IndexName, deadline: Timestamp) -> AdmissionRequest {
    let breadth = RequestBreadth::Broad;
    AdmissionRequest { index: index.clone(), breadth, cost: CAPACITY.shards, deadline }
}

fn narrow(index: &IndexName, deadline: Timestamp) -> AdmissionRequest {
    let breadth = RequestBreadth::Narrow;
    AdmissionRequest { index: index.clone(), breadth, cost: 1, deadline }
}

/// What became of an open loop of broad requests over ten shards of nine slots each.
#[derive(Debug, Default)]
struct LoopResult {
    done: u32,
    refused: u32,
    late: u32,
}

/// A shard whose slots are taken in the order of arrival.
struct ShardModel {
    slots_free_at: Vec<u64>,
}

impl ShardModel {
    /// Returns when work of `micros` that comes at `now` ends.
    fn run(&mut self, now: u64, micros: u64) -> u64 {
        let slot = self.slots_free_at.iter_mut().min().expect("a shard has slots");
        *slot = (*slot).max(now) + micros;
        *slot
    }
}

/// Runs an open loop at `load` times the slots for ten seconds.
fn run_open_loop(load: f64) -> LoopResult {
    let mut rng = seeded(7);
    let mut controller = AdmissionController::new(LIMITS);
    let mut shards: Vec<_> = (0..10).map(|_| ShardModel { slots_free_at: vec![0; 9] }).collect();
    let mut exponential = |mean: f64| (-mean * (1.0 - rng.random::<f64>()).ln()) as u64 + 1;
    let mut result = LoopResult::default();
    let mut waiting = BTreeMap::new();
    // Ends of requests and arrivals, each with its request.
    let mut ends: BTreeMap<(u64, u64), (AdmissionRequest, u64)> = BTreeMap::new();
    let (mut next_arrival, mut number) = (0, 0_u64);
    while next_arrival < 10_000_000 || !ends.is_empty() {
        let end = ends.first_key_value().map(|(key, _)| *key);
        let mut starts = Vec::new();
        let now = match end {
            Some(key) if key.0 <= next_arrival || next_arrival >= 10_000_000 => {
                let (request, started) = ends.remove(&key).expect("the first end");
                let now = Timestamp::from_micros(key.0);
                let in_time = now <= request.deadline;
                result.done += u32::from(in_time);
                result.late += u32::from(!in_time);
                let elapsed = now.since(Timestamp::from_micros(started));
                for turn in controller.finish(&request, elapsed, now) {
                    let request = waiting.remove(&turn.ticket).expect("it waited");
                    if turn.is_admitted { starts.push(request) } else { result.refused += 1 }
                }
                key.0
            }
            _ => {
                let now = next_arrival;
                next_arrival += exponential(20_000.0 / 9.0 / load);
                let at = Timestamp::from_micros(now);
                let request = broad(&index(), at + Duration::from_secs(1));
                match controller.admit(&request, CAPACITY, at) {
                    AdmissionDecision::Run => starts.push(request),
                    AdmissionDecision::Wait(ticket) => {
                        waiting.insert(ticket, request);
                    }
                    AdmissionDecision::Refuse { .. } => result.refused += 1,
                }
                now
            }
        };
        for request in starts {
            number += 1;
            let shard_ends = shards.iter_mut().map(|shard| shard.run(now, exponential(20_000.0)));
            let end = shard_ends.max().expect("ten shards");
            ends.insert((end, number), (request, now));
        }
    }
    result
}

#[test]
fn test_goodput_at_overload_stays_at_that_below_it() {
    let (below, above) = (run_open_loop(0.9), run_open_loop(1.3));
    assert_eq!((below.refused, below.late), (0, 0), "{below:?}");
    assert_eq!(above.late, 0, "{above:?}");
    assert!(above.refused > 0);
    assert!(above.done * 100 >= below.done * 95, "{above:?} after {below:?}");
}

#[test]
fn test_a_full_index_refuses_at_once_what_could_not_end_in_time() {
    let mut controller = AdmissionController::new(LIMITS);
    let now = Timestamp::ZERO;
    let deadline = Timestamp::from_millis(100);
    let request = broad(&index(), deadline);
    // The service time is known from a first request.
    assert_eq!(controller.admit(&request, CAPACITY, now), AdmissionDecision::Run);
    for _ in 0..50 {
        controller.finish(&request, Duration::from_millis(60), now);
        assert_eq!(controller.admit(&request, CAPACITY, now), AdmissionDecision::Run);
    }
    let mut waiting = 0;
    let refused = loop {
        match controller.admit(&request, CAPACITY, now) {
            AdmissionDecision::Run => {}
            AdmissionDecision::Wait(_) => waiting += 1,
            refused => break refused,
        }
        assert!(waiting < 256);
    };
    let AdmissionDecision::Refuse { retry_after } = refused else { unreachable!("{refused:?}") };
    assert!(retry_after >= Duration::from_millis(10), "{retry_after:?}");
}

#[test]
fn test_narrow_requests_run_while_broad_ones_fill_the_index() {
    let mut controller = AdmissionController::new(LIMITS);
    let deadline = Timestamp::from_millis(1_000);
    while controller.admit(&broad(&index(), deadline), CAPACITY, Timestamp::ZERO)
        == AdmissionDecision::Run
    {}
    let verdict = controller.admit(&narrow(&index(), deadline), CAPACITY, Timestamp::ZERO);
    assert_eq!(verdict, AdmissionDecision::Run);
}

#[test]
fn test_broad_requests_run_while_narrow_ones_flood_the_index() {
    let mut controller = AdmissionController::new(LIMITS);
    let deadline = Timestamp::from_millis(1_000);
    let mut narrow_running = 0;
    while controller.admit(&narrow(&index(), deadline), CAPACITY, Timestamp::ZERO)
        == AdmissionDecision::Run
        && narrow_running < 250
    {
        narrow_running += 1;
    }
    let verdict = controller.admit(&broad(&index(), deadline), CAPACITY, Timestamp::ZERO);
    assert_eq!(verdict, AdmissionDecision::Run);
}

#[test]
fn test_an_index_that_floods_leaves_turns_to_another() {
    let limits = AdmissionLimits { max_running: 4, max_queued: 64 };
    let mut controller = AdmissionController::new(limits);
    let (flood, desk): (IndexName, IndexName) =
        ("flood".parse().expect("a name"), "desk".parse().expect("a name"));
    let deadline = Timestamp::from_millis(1_000);
    let now = Timestamp::ZERO;
    let mut flood_waiting = 0;
    for _ in 0..44 {
        let verdict = controller.admit(&broad(&flood, deadline), CAPACITY, now);
        flood_waiting += u32::from(matches!(verdict, AdmissionDecision::Wait(_)));
    }
    assert_eq!(flood_waiting, 40);
    let mut desk_tickets = Vec::new();
    for _ in 0..4 {
        match controller.admit(&broad(&desk, deadline), CAPACITY, now) {
            AdmissionDecision::Wait(ticket) => desk_tickets.push(ticket),
            verdict => unreachable!("{verdict:?} although the instance is full"),
        }
    }
    let mut turns = Vec::new();
    for _ in 0..9 {
        turns.extend(controller.finish(&broad(&flood, deadline), Duration::ZERO, now));
    }
    let desk_turns = turns.iter().filter(|turn| desk_tickets.contains(&turn.ticket)).count();
    assert_eq!(desk_turns, 4, "{turns:?}");
}

#[test]
fn test_targets_that_shed_lower_what_runs_and_it_rises_again() {
    let mut controller = AdmissionController::new(LIMITS);
    let deadline = Timestamp::from_millis(1_000);
    let request = broad(&index(), deadline);
    let fill = |controller: &mut AdmissionController| {
        let mut running = 0;
        while controller.admit(&request, CAPACITY, Timestamp::ZERO) == AdmissionDecision::Run {
            running += 1;
        }
        running
    };
    let full = fill(&mut controller);
    for step in 0..100 {
        controller.record_shed(&index(), Timestamp::from_millis(step * 100));
    }
    for _ in 0..full {
        controller.finish(&request, Duration::from_millis(20), Timestamp::ZERO);
    }
    let shrunk = fill(&mut controller);
    assert!(shrunk < full / 2, "{shrunk} run instead of {full}");
    for _ in 0..2_000 {
        controller.finish(&request, Duration::from_millis(20), Timestamp::ZERO);
    }
    assert_eq!(fill(&mut controller), full);
}

#[test]
fn test_a_withdrawn_request_gets_no_turn() {
    let limits = AdmissionLimits { max_running: 1, max_queued: 8 };
    let mut controller = AdmissionController::new(limits);
    let request = broad(&index(), Timestamp::from_millis(1_000));
    let now = Timestamp::ZERO;
    assert_eq!(controller.admit(&request, CAPACITY, now), AdmissionDecision::Run);
    let AdmissionDecision::Wait(first) = controller.admit(&request, CAPACITY, now) else {
        unreachable!("the instance is full")
    };
    let AdmissionDecision::Wait(second) = controller.admit(&request, CAPACITY, now) else {
        unreachable!("the instance is full")
    };
    assert!(controller.cancel(first));
    assert!(!controller.cancel(first));
    let turns = controller.finish(&request, Duration::ZERO, now);
    assert_eq!(turns.len(), 1);
    assert!(turns[0].ticket == second && turns[0].is_admitted);
    assert_eq!(controller.load(), (1, 0));
}

#[test]
fn test_a_burst_may_wait_longer_than_a_standing_queue() {
    let mut controller = AdmissionController::new(LIMITS);
    let request_at = |now: Timestamp| broad(&index(), now + Duration::from_secs(1));
    let fill = |controller: &mut AdmissionController, now: Timestamp| {
        let mut waiting = 0;
        loop {
            match controller.admit(&request_at(now), CAPACITY, now) {
                AdmissionDecision::Run => {}
                AdmissionDecision::Wait(_) => waiting += 1,
                AdmissionDecision::Refuse { .. } => return waiting,
            }
        }
    };
    let start = Timestamp::ZERO;
    // The service time of 100 ms is known from earlier requests.
    for _ in 0..100 {
        controller.admit(&request_at(start), CAPACITY, start);
        controller.finish(&request_at(start), Duration::from_millis(100), start);
    }
    let burst = fill(&mut controller, start);
    assert!(burst > 100, "{burst} wait");
    // Once the queue did not empty for half a second, it may only be a third as long.
    let later = Timestamp::from_millis(600);
    let mut turns = 0;
    while turns < burst * 2 / 3 {
        let ended = controller.finish(&request_at(later), Duration::from_millis(100), later);
        turns += ended.len();
    }
    assert!(fill(&mut controller, later) <= 1, "the queue grows although it stands");
}
