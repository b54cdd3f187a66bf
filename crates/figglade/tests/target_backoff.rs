//! Tests of the back-off that a target asks for, and of drains that a target announces in its
//! answers.

use std::{rc::Rc, time::Duration};

use figglade::{
    Incarnation, Timestamp,
    controller::{
        route_set::RepeatRule,
        service_directory::{ServiceDirectory, TargetPhase, TargetRecord},
    },
    filter::scatter::{
        BudgetRules, CutoffTimes, FailureReason, MAX_BACKOFF, ReplicaSpec, ReplicaState,
        RouteProfile, ScatterEnd, ScatterRules, ScatterRun, ServiceState,
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn replica(id: &str, incarnation: u64) -> ReplicaState {
    let spec = ReplicaSpec {
        id: id.parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        address: "10.0.0.1:80".parse().unwrap(),
        is_local: true,
        slots: 3,
    };
    ReplicaState::new(spec, 4)
}

#[test]
fn a_back_off_lasts_as_long_as_the_target_asked_for() {
    // The delays asked for, each with its time, and when the target is open again.
    let cases: [(&[(u64, u64)], u64); 5] = [
        (&[(0, 2_000)], 2_000),
        (&[(0, 2_000), (500, 500)], 2_000),
        (&[(0, 2_000), (500, 3_000)], 3_500),
        (&[(0, 0)], 0),
        (&[(0, 86_400_000)], MAX_BACKOFF.as_millis() as u64),
    ];
    for (requests, end) in cases {
        let replica = replica("t", 1);
        for (time, delay) in requests {
            replica.record_backoff(millis(*delay), at(*time));
        }
        assert!(end == 0 || replica.is_backing_off(at(end - 1)), "{requests:?}");
        assert!(!replica.is_backing_off(at(end)), "{requests:?}");
        assert_eq!(replica.opens_at(), Some(at(end)), "{requests:?}");
    }
}

#[test]
fn only_the_same_start_of_a_target_inherits_its_back_off() {
    let former = replica("t", 1);
    former.record_backoff(millis(1_000), at(0));
    for (id, incarnation, is_inherited) in [("t", 1, true), ("t", 2, false), ("u", 1, false)] {
        let next = replica(id, incarnation);
        next.inherit_backoff(&former);
        assert_eq!(next.is_backing_off(at(10)), is_inherited, "{id} {incarnation}");
    }
}

/// Builds a request to one target of each service.
fn run_over(services: &[Rc<ServiceState>], min_answers: usize) -> ScatterRun {
    let rules = ScatterRules {
        repeat: RepeatRule::Idempotent,
        max_attempts: 2,
        min_answers,
        times: CutoffTimes { goal: at(100), deadline: at(1_000) },
        wait_until: at(100),
    };
    let profile = Rc::new(RouteProfile::new(millis(100)));
    ScatterRun::new(rules, services.iter().cloned(), profile)
}

/// Builds services with two targets each; those of the service at a position back off for the
/// corresponding time.
fn services(backoffs: &[u64]) -> Vec<Rc<ServiceState>> {
    let rules = BudgetRules {
        ratio: 0.2,
        slack: 100.0,
        window: Duration::from_secs(10),
        slack_from: Timestamp::ZERO,
    };
    let numbered = backoffs.iter().enumerate();
    numbered
        .map(|(number, backoff)| {
            let name = format!("shard-{number}").parse().unwrap();
            let service = ServiceState::new(name, rules);
            for copy in 0..2 {
                let replica = replica(&format!("t-{number}-{copy}"), 1);
                replica.record_backoff(millis(backoff + 100 * copy), at(0));
                service.replicas.borrow_mut().push(Rc::new(replica));
            }
            Rc::new(service)
        })
        .collect()
}

#[test]
fn a_refusal_tells_when_enough_services_open() {
    // The back-offs of the services, the answers needed, and the time until these are possible.
    for (backoffs, min_answers, opens_in) in
        [(&[700][..], 1, 700), (&[0, 700, 300], 3, 700), (&[0, 700, 300], 2, 300)]
    {
        let services = services(backoffs);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut run = run_over(&services, min_answers);
        assert!(run.start(at(0), &mut rng).is_empty(), "{backoffs:?}: nothing is sent");
        assert_eq!(run.end(at(0)), Some(ScatterEnd::Failed(FailureReason::NotRun)));
        assert_eq!(run.time_to_open(at(0)), Some(millis(opens_in)), "{backoffs:?}");
    }
}

#[test]
fn a_search_goes_on_without_the_shards_that_asked_for_a_back_off() {
    let services = services(&[0, 700, 0]);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut run = run_over(&services, 2);
    assert_eq!(run.start(at(0), &mut rng).len(), 2);
    let skipped: Vec<_> = run.skipped(at(0)).map(|(name, _)| name.to_string()).collect();
    assert_eq!(skipped, ["shard-1"]);
}

fn record(incarnation: u64, phase: TargetPhase) -> TargetRecord {
    TargetRecord {
        id: "t".parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 3,
        incarnation: Incarnation::new(incarnation),
        sequence: 9,
        phase,
        is_lapsed: false,
        warmup_ms: 0,
        holder: "h1".parse().unwrap(),
    }
}

#[test]
fn a_drain_in_an_answer_marks_only_the_start_of_the_target_that_sent_it() {
    // The record held, the incarnation that says that it is leaving, and whether that is news.
    for (held, incarnation, is_news) in [
        (Some(record(5, TargetPhase::Ready)), 5, true),
        (Some(record(6, TargetPhase::Ready)), 5, false),
        (Some(record(5, TargetPhase::Draining)), 5, false),
        (Some(record(5, TargetPhase::Gone)), 5, false),
        (None, 5, false),
    ] {
        let mut directory = ServiceDirectory::default();
        if let Some(record) = held.clone() {
            directory.merge(record, at(0));
        }
        let drained = directory.drained(&"t".parse().unwrap(), Incarnation::new(incarnation));
        assert_eq!(drained.is_some(), is_news, "{held:?}");
        let Some(drained) = drained else { continue };
        assert_eq!(directory.merge(drained, at(1)).len(), 1);
        // A later report of the same start does not make the target ready again.
        let late = TargetRecord { sequence: 12, ..record(5, TargetPhase::Ready) };
        assert!(directory.merge(late, at(2)).is_empty());
        // A new start under the same id does.
        assert_eq!(directory.merge(record(6, TargetPhase::Ready), at(3)).len(), 1);
    }
}
