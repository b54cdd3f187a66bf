//! Load tests: targets that are cold after a start, or become cold again during their life.

use std::{rc::Rc, time::Duration};

use figglade::{
    Incarnation, InstanceId, Timestamp,
    controller::service_directory::{ReportTracker, ServiceDirectory, TargetPhase, TargetReport},
    filter::scatter::{AttemptEnd, ChoicePurpose, ReplicaSpec, ReplicaState, choose_replica},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const TYPICAL_LATENCY: Duration = Duration::from_millis(10);
const STALL_TIMEOUT: Duration = Duration::from_secs(60);
const WARM_UP: Duration = Duration::from_secs(5);
const CHOICES: usize = 3_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn replica(number: u16) -> Rc<ReplicaState> {
    let spec = ReplicaSpec {
        id: format!("t-{number}").parse().unwrap(),
        incarnation: Incarnation::new(1),
        address: ([10, 0, 0, 1], number).into(),
        is_local: true,
        slots: 4,
    };
    Rc::new(ReplicaState::new(spec, 100))
}

/// Lets the target answer once per 150 ms with `ratio` times the typical latency, until `end`.
fn answer(replica: &ReplicaState, ratio: f64, start: Timestamp, end: Timestamp) {
    let mut now = start;
    while now < end {
        let ticket = replica.begin_attempt(TYPICAL_LATENCY, STALL_TIMEOUT, now);
        replica.finish_attempt(ticket, AttemptEnd::Answered, now + TYPICAL_LATENCY.mul_f64(ratio));
        now = now + Duration::from_millis(150);
    }
}

/// Guards against a cold target that goes on getting the work of a warm one: its cost was fixed, and
/// a second warm-up during its life was not seen at all.
#[test]
fn a_cold_target_costs_what_its_answers_show() {
    let cost_after = |ratio: f64| {
        let replica = replica(1);
        answer(&replica, 0.9, at(1_000), at(3_000));
        replica.begin_warm_up(WARM_UP, at(3_000));
        let first = replica.expected_cost(at(3_000));
        assert!((first - 1.5).abs() < 1e-9, "{first}");
        answer(&replica, ratio, at(3_000), at(4_000));
        replica.expected_cost(at(4_000))
    };
    let costs = [1.0, 2.0, 5.0].map(cost_after);
    for (cost, ratio) in costs.into_iter().zip([1.0, 2.0, 5.0]) {
        assert!((cost - ratio).abs() < 0.2 * ratio, "{cost} with answers of {ratio}");
    }
}

/// Guards against a target that is avoided after its warm-up because of answers from before its end.
#[test]
fn a_warm_target_is_no_longer_expected_to_be_slow() {
    let replica = replica(1);
    replica.begin_warm_up(WARM_UP, at(1_000));
    assert!(replica.is_cold(at(5_999)) && !replica.is_cold(at(6_000)));
    assert!(replica.expected_cost(at(5_900)) > 1.4);
    assert!(replica.expected_cost(at(20_000)) < 1.05);
    // An extension of the same warm-up forgets nothing.
    replica.begin_warm_up(WARM_UP, at(30_000));
    answer(&replica, 4.0, at(30_000), at(31_000));
    replica.begin_warm_up(WARM_UP, at(31_000));
    assert!(replica.expected_cost(at(31_000)) > 3.0);
    assert!(!replica.is_returning(at(31_001)) && replica.is_cold(at(35_900)));
}

/// Guards against the return of most targets of a service at once, cold: every instance sees them
/// idle beside a loaded one and sends them everything in the same second.
#[test]
fn targets_that_return_together_get_no_more_than_their_share() {
    for (stayed, returned) in [(1, 2), (2, 1), (3, 3)] {
        let replicas: Vec<_> = (0..stayed + returned).map(replica).collect();
        for loaded in &replicas[..usize::from(stayed)] {
            (0..12).for_each(|_| {
                loaded.begin_attempt(TYPICAL_LATENCY, STALL_TIMEOUT, at(990));
            });
        }
        let cold = &replicas[usize::from(stayed)..];
        cold.iter().for_each(|replica| replica.begin_warm_up(WARM_UP, at(1_000)));
        let share_at = |now: Timestamp| {
            let mut rng = ChaCha8Rng::seed_from_u64(7);
            let mut choose =
                || choose_replica(&replicas, |_| false, ChoicePurpose::First, now, &mut rng);
            let is_cold = |chosen: &Rc<ReplicaState>| cold.iter().any(|c| Rc::ptr_eq(c, chosen));
            let count = (0..CHOICES).filter(|_| choose().is_some_and(is_cold)).count();
            count as f64 / CHOICES as f64
        };
        let fair = f64::from(returned) / f64::from(stayed + returned);
        let share = share_at(at(1_400));
        assert!((share - fair).abs() < 0.05, "{share} instead of {fair}");
        assert_eq!(share_at(at(2_100)), 1.0, "later the cost decides");
    }
}

/// Guards against a service without any target left in use because all of them are returning, or
/// because the others answer nothing.
#[test]
fn returning_targets_are_used_where_no_other_answers() {
    let replicas: Vec<_> = (0..3).map(replica).collect();
    replicas.iter().for_each(|replica| replica.begin_warm_up(WARM_UP, at(1_000)));
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let now = at(1_100);
    let mut choose = || {
        let chosen = choose_replica(&replicas, |_| false, ChoicePurpose::First, now, &mut rng);
        chosen.map(|replica| replica.spec.id.clone())
    };
    assert!((0..100).all(|_| choose().is_some()));
    replicas[0].begin_warm_up(Duration::ZERO, now);
    replicas[1].is_lapsed.set(true);
    replicas[2].is_lapsed.set(true);
    assert!((0..100).all(|_| choose() == Some(replicas[0].spec.id.clone())));
}

/// Guards against a target that becomes cold during its life and is cold at the hub only: reports
/// that change nothing else were not spread.
#[test]
fn a_target_that_becomes_cold_again_is_spread_once() {
    let own: InstanceId = "hub".parse().unwrap();
    let mut tracker = ReportTracker::new(own, Duration::from_secs(1));
    let mut directory = ServiceDirectory::default();
    let mut sequence = 0;
    let mut handle = |now: u64, warmup_ms: u32| {
        sequence += 1;
        let report = TargetReport {
            id: "t".parse().unwrap(),
            service: "desk".parse().unwrap(),
            address: "10.0.0.1:80".parse().unwrap(),
            zone: "a".parse().unwrap(),
            slots: 3,
            incarnation: Incarnation::new(1),
            sequence,
            phase: TargetPhase::Ready,
            warmup_ms,
        };
        let outcome = tracker.handle_report(&report, &mut directory, at(now));
        outcome.changed.iter().map(|record| record.warmup_ms).collect::<Vec<_>>()
    };
    assert_eq!(handle(1_000, 2_000), [2_000], "a new target");
    assert_eq!(handle(2_000, 1_000), [] as [u32; 0]);
    assert_eq!(handle(3_400, 0), [] as [u32; 0]);
    assert_eq!(handle(9_000, 3_000), [3_000], "cold again");
    assert_eq!(handle(10_300, 2_000), [] as [u32; 0], "the report came 300 ms late");
    assert_eq!(handle(11_000, 4_000), [4_000], "cold for longer");
}
