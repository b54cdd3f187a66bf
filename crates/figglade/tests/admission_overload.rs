//! Tests of admission in virtual time: bounded waits, early refusals, fairness between indexes, and
//! goodput under overload.

mod filter_support;

use std::{collections::BTreeMap, time::Duration};

use figglade::{
    IndexName, Timestamp,
    filter::admission::{
        AdmissionController, AdmissionDecision, AdmissionLimits, AdmissionRequest, IndexCapacity,
        RequestBreadth,
    },
};
use filter_support::{index, seeded_rng};
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

/// The number of requests of an open loop by outcome. Each request queries ten shards of nine
/// slots.
#[derive(Debug, Default)]
struct OpenLoopResult {
    in_time: u32,
    refused: u32,
    late: u32,
}

/// A shard that serves its requests in the order of arrival.
struct ShardModel {
    slots_free_at: Vec<u64>,
}

impl ShardModel {
    /// Returns when a request that arrives at `now` and takes `micros` finishes.
    fn finish_time(&mut self, now: u64, micros: u64) -> u64 {
        let slot = self.slots_free_at.iter_mut().min().expect("a shard has slots");
        *slot = (*slot).max(now) + micros;
        *slot
    }
}

/// Runs an open loop at `load` times the capacity for ten seconds.
fn run_open_loop(load: f64) -> OpenLoopResult {
    let mut rng = seeded_rng(7);
    let mut controller = AdmissionController::new(LIMITS);
    let mut shards: Vec<_> = (0..10).map(|_| ShardModel { slots_free_at: vec![0; 9] }).collect();
    let mut exponential = |mean: f64| (-mean * (1.0 - rng.random::<f64>()).ln()) as u64 + 1;
    let mut result = OpenLoopResult::default();
    let mut waiting = BTreeMap::new();
    // The running requests and their start times, by finish time and number.
    let mut running: BTreeMap<(u64, u64), (AdmissionRequest, u64)> = BTreeMap::new();
    let (mut next_arrival, mut number) = (0, 0_u64);
    while next_arrival < 10_000_000 || !running.is_empty() {
        let end = running.first_key_value().map(|(key, _)| *key);
        let mut starts = Vec::new();
        let now = match end {
            Some(key) if key.0 <= next_arrival || next_arrival >= 10_000_000 => {
                let (request, started) = running.remove(&key).expect("a running request");
                let now = Timestamp::from_micros(key.0);
                let in_time = now <= request.deadline;
                result.in_time += u32::from(in_time);
                result.late += u32::from(!in_time);
                let elapsed = now.since(Timestamp::from_micros(started));
                for outcome in controller.finish(&request, elapsed, now) {
                    let request = waiting.remove(&outcome.ticket).expect("a waiting request");
                    if outcome.is_admitted { starts.push(request) } else { result.refused += 1 }
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
            let shard_finish_times =
                shards.iter_mut().map(|shard| shard.finish_time(now, exponential(20_000.0)));
            let end = shard_finish_times.max().expect("ten shards");
            running.insert((end, number), (request, now));
        }
    }
    result
}

#[test]
fn test_goodput_under_overload_matches_goodput_below_capacity() {
    let (below, above) = (run_open_loop(0.9), run_open_loop(1.3));
    assert_eq!((below.refused, below.late), (0, 0), "{below:?}");
    assert_eq!(above.late, 0, "{above:?}");
    assert!(above.refused > 0);
    assert!(above.in_time * 100 >= below.in_time * 95, "{above:?} after {below:?}");
}

#[test]
fn test_full_index_refuses_requests_that_would_miss_their_deadline() {
    let mut controller = AdmissionController::new(LIMITS);
    let now = Timestamp::ZERO;
    let deadline = Timestamp::from_millis(100);
    let request = broad(&index(), deadline);
    // These requests set the service time estimate.
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
            decision => break decision,
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
    let decision = controller.admit(&narrow(&index(), deadline), CAPACITY, Timestamp::ZERO);
    assert_eq!(decision, AdmissionDecision::Run);
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
    let decision = controller.admit(&broad(&index(), deadline), CAPACITY, Timestamp::ZERO);
    assert_eq!(decision, AdmissionDecision::Run);
}

#[test]
fn test_overloaded_index_does_not_starve_another() {
    let limits = AdmissionLimits { max_running: 4, max_queued: 64 };
    let mut controller = AdmissionController::new(limits);
    let (flood, other): (IndexName, IndexName) =
        ("flood".parse().expect("a name"), "other".parse().expect("a name"));
    let deadline = Timestamp::from_millis(1_000);
    let now = Timestamp::ZERO;
    let mut flood_waiting = 0;
    for _ in 0..44 {
        let decision = controller.admit(&broad(&flood, deadline), CAPACITY, now);
        flood_waiting += u32::from(matches!(decision, AdmissionDecision::Wait(_)));
    }
    assert_eq!(flood_waiting, 40);
    let mut other_tickets = Vec::new();
    for _ in 0..4 {
        match controller.admit(&broad(&other, deadline), CAPACITY, now) {
            AdmissionDecision::Wait(ticket) => other_tickets.push(ticket),
            decision => unreachable!("{decision:?} although the instance is full"),
        }
    }
    let mut outcomes = Vec::new();
    for _ in 0..9 {
        outcomes.extend(controller.finish(&broad(&flood, deadline), Duration::ZERO, now));
    }
    let other_outcomes =
        outcomes.iter().filter(|outcome| other_tickets.contains(&outcome.ticket)).count();
    assert_eq!(other_outcomes, 4, "{outcomes:?}");
}

#[test]
fn test_limit_falls_when_targets_shed_and_recovers() {
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
    assert!(shrunk < full / 2, "{shrunk} requests run instead of {full}");
    for _ in 0..2_000 {
        controller.finish(&request, Duration::from_millis(20), Timestamp::ZERO);
    }
    assert_eq!(fill(&mut controller), full);
}

#[test]
fn test_cancelled_request_is_not_started() {
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
    let outcomes = controller.finish(&request, Duration::ZERO, now);
    assert_eq!(outcomes.len(), 1);
    assert!(outcomes[0].ticket == second && outcomes[0].is_admitted);
    assert_eq!(controller.load(), (1, 0));
}

#[test]
fn test_burst_may_wait_longer_than_a_standing_queue() {
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
    // These requests set the service time estimate to about 100 ms.
    for _ in 0..100 {
        controller.admit(&request_at(start), CAPACITY, start);
        controller.finish(&request_at(start), Duration::from_millis(100), start);
    }
    let burst = fill(&mut controller, start);
    assert!(burst > 100, "{burst} requests wait");
    // Once the queue has been non-empty for half a second, it may be only a third as long.
    let later = Timestamp::from_millis(600);
    let mut ended_waits = 0;
    while ended_waits < burst * 2 / 3 {
        let ended = controller.finish(&request_at(later), Duration::from_millis(100), later);
        ended_waits += ended.len();
    }
    assert!(fill(&mut controller, later) <= 1, "the standing queue still grows");
}
