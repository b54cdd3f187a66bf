//! Tests the evacuation of zones: orders, the ledger, and the choice of targets.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use figglade::{
    Incarnation, Timestamp, ZoneName,
    controller::{
        evacuation::{
            EvacuationAction, EvacuationGate, EvacuationOrder, EvacuationReply, EvacuationSet,
            MAX_EVACUATED_ZONES, MAX_POLL_GAP, check_zone,
        },
        ledger::{Ledger, LedgerCommand, LedgerReply},
        quorum::LogIndex,
        route_set::RepeatRule,
    },
    filter::scatter::{
        AttemptEnd, BudgetRules, CutoffTimes, FailureReason, ReplicaSpec, ReplicaState,
        RouteProfile, ScatterAction, ScatterEnd, ScatterRules, ScatterRun, ServiceState,
    },
    peer::{decode_payload, encode_payload},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use EvacuationAction::{Finish, Start};

fn zone(name: &str) -> ZoneName {
    name.parse().unwrap()
}

fn order(name: &str, action: EvacuationAction) -> EvacuationOrder {
    EvacuationOrder { zone: zone(name), action, instance: "hub-1".parse().unwrap() }
}

fn evacuated(names: &[&str]) -> EvacuationSet {
    let mut evacuations = EvacuationSet::default();
    for name in names {
        evacuations.apply(order(name, Start));
    }
    evacuations
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn a_repeated_order_changes_nothing_and_is_in_force() {
    let mut evacuations = EvacuationSet::default();
    for (name, action, revision, is_changed) in [
        ("a", Finish, 0, false),
        ("a", Start, 1, true),
        ("a", Start, 1, false),
        ("b", Start, 2, true),
        ("a", Finish, 3, true),
        ("a", Finish, 3, false),
    ] {
        let reply = evacuations.apply(order(name, action));
        let expected = EvacuationReply { revision: revision.into(), is_changed, is_in_force: true };
        assert_eq!(reply, expected, "{action} of {name}");
    }
    assert!(evacuations.contains(&zone("b")) && !evacuations.contains(&zone("a")));
    assert_eq!(evacuations.to_string(), "b");
}

/// Guards against orders that make the replicated state grow without bound, and against an order that
/// is acknowledged although it is not in force.
#[test]
fn the_number_of_evacuated_zones_is_bounded() {
    let mut evacuations = EvacuationSet::default();
    for number in 0..MAX_EVACUATED_ZONES {
        assert!(evacuations.apply(order(&format!("z{number}"), Start)).is_in_force);
    }
    assert!(!evacuations.apply(order("one-more", Start)).is_in_force);
    assert!(evacuations.apply(order("z0", Start)).is_in_force, "it is evacuated already");
    assert!(evacuations.apply(order("z0", Finish)).is_in_force);
    assert!(evacuations.apply(order("one-more", Start)).is_in_force);
}

/// Guards against a message that arrives late and puts an older set in force.
#[test]
fn an_older_set_is_not_adopted() {
    let older = evacuated(&["a"]);
    let mut held = older.clone();
    held.apply(order("a", Finish));
    assert!(!held.adopt(&older) && !held.adopt(&held.clone()));
    assert_eq!(held.zones().len(), 0);
    let mut newer = held.clone();
    newer.apply(order("b", Start));
    assert!(held.adopt(&newer) && held.contains(&zone("b")));
}

#[test]
fn only_zones_of_the_settings_are_accepted() {
    let known = BTreeSet::from([zone("a"), zone("b")]);
    assert_eq!(check_zone("a", &known), Ok(zone("a")));
    assert_eq!(check_zone("any", &BTreeSet::new()), Ok(zone("any")));
    for (name, known) in [("c", &known), ("", &known), ("a b", &BTreeSet::new())] {
        let error = check_zone(name, known).unwrap_err().to_string();
        assert!(error.contains(&format!("{name:?}")), "{error}");
    }
    assert!(check_zone("c", &known).unwrap_err().to_string().contains("a, b"));
}

/// The envelope of a command in the log.
#[derive(Serialize, Deserialize)]
struct Envelope {
    version: u16,
    command: bytes::Bytes,
}

/// Guards against a group of two releases in which the earlier one stops at a command that it could
/// apply, or applies a state from which it drops the evacuations.
#[test]
fn only_evacuations_need_the_newer_release() {
    let start = LedgerCommand::SetEvacuation(order("a", Start)).encode().unwrap();
    let earlier = LedgerCommand::RecordManifests(Vec::new()).encode().unwrap();
    let version = |command: &[u8]| decode_payload::<Envelope>(command).unwrap().version;
    assert_eq!((version(&earlier), version(&start)), (2, 3));
    let mut ledger = Ledger::default();
    ledger.apply(LogIndex::new(1), &earlier).unwrap();
    let state = ledger.encode_state().unwrap();
    assert_eq!(state[..2], [0, 2]);
    let is_named = |state: &[u8]| state.windows(11).any(|part| part == b"evacuations");
    assert!(!is_named(&state), "an earlier release encodes the same state");
    let decoded = Ledger::decode_state(&state).unwrap();
    assert_eq!(decoded.evacuations(), &EvacuationSet::default());
    ledger.apply(LogIndex::new(2), &start).unwrap();
    assert_eq!(ledger.encode_state().unwrap()[..2], [0, 3]);
}

#[test]
fn evacuations_survive_a_snapshot_of_the_ledger() {
    let mut ledger = Ledger::default();
    for (index, (name, action)) in
        [("a", Start), ("b", Start), ("a", Finish)].into_iter().enumerate()
    {
        let command = LedgerCommand::SetEvacuation(order(name, action)).encode().unwrap();
        let reply = ledger.apply(LogIndex::new(index as u64 + 1), &command).unwrap();
        assert!(matches!(reply, LedgerReply::Evacuation(reply) if reply.is_changed));
    }
    let restored = Ledger::decode_state(&ledger.encode_state().unwrap()).unwrap();
    assert_eq!(restored, ledger);
    assert!(restored.evacuations().contains(&zone("b")));
    assert_eq!(restored.evacuations().revision(), 3.into());
    let sent: EvacuationSet =
        decode_payload(&encode_payload(restored.evacuations()).unwrap()).unwrap();
    assert_eq!(&sent, restored.evacuations());
}

/// A service with one target in each of three zones.
fn service(name: &str) -> Rc<ServiceState> {
    let window = Duration::from_secs(10);
    let rules = BudgetRules { ratio: 0.2, slack: 100.0, window, slack_from: Timestamp::ZERO };
    let service = ServiceState::new(name.parse().unwrap(), rules);
    for place in ["a", "b", "c"] {
        let spec = ReplicaSpec {
            id: format!("{name}-{place}").parse().unwrap(),
            incarnation: Incarnation::new(1),
            address: "10.0.0.1:80".parse().unwrap(),
            is_local: place == "a",
            slots: 3,
        };
        let replica = ReplicaState::new(spec, 4);
        replica.place_in(&zone(place), &EvacuationSet::default());
        service.replicas.borrow_mut().push(Rc::new(replica));
    }
    Rc::new(service)
}

fn evacuate(service: &ServiceState, evacuations: &EvacuationSet) {
    for replica in service.replicas.borrow().iter() {
        replica.update_evacuation(evacuations);
    }
}

fn run_of(services: &[&Rc<ServiceState>], min_answers: usize) -> ScatterRun {
    let rules = ScatterRules {
        repeat: RepeatRule::Idempotent,
        max_attempts: 3,
        min_answers,
        times: CutoffTimes { goal: at(100), deadline: at(1_000) },
        wait_until: at(100),
    };
    let profile = Rc::new(RouteProfile::new(Duration::from_millis(100)));
    ScatterRun::new(rules, services.iter().map(|service| Rc::clone(service)), profile)
}

fn targets(actions: &[ScatterAction]) -> Vec<String> {
    let sent = actions.iter();
    sent.map(|ScatterAction::Send { replica, .. }| replica.spec.id.to_string()).collect()
}

/// Guards against first attempts, hedges and retries in an evacuated zone, also of a request that
/// began before the evacuation.
#[test]
fn no_attempt_is_sent_to_an_evacuated_zone() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let service = service("s");
        evacuate(&service, &evacuated(&["a"]));
        let mut run = run_of(&[&service], 1);
        let mut sent = targets(&run.start(at(0), &mut rng));
        sent.extend(targets(&run.handle_timer(at(99), &mut rng)));
        assert!(sent.len() == 2 && !sent.contains(&"s-a".to_owned()), "{sent:?}");
        for attempt in 0..2 {
            let mut actions = Vec::new();
            run.handle_attempt_end(attempt, AttemptEnd::Lost, at(120), &mut rng, &mut actions);
            assert_eq!(targets(&actions), [] as [String; 0], "only the evacuated target is left");
        }
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let service = service("s");
    let mut run = run_of(&[&service], 1);
    assert_eq!(targets(&run.start(at(0), &mut rng)), ["s-a"], "the local target is preferred");
    evacuate(&service, &evacuated(&["b", "c"]));
    assert_eq!(targets(&run.handle_timer(at(99), &mut rng)), [] as [String; 0]);
    let mut actions = Vec::new();
    run.handle_attempt_end(0, AttemptEnd::Refused, at(120), &mut rng, &mut actions);
    assert_eq!(targets(&actions), [] as [String; 0]);
}

#[test]
fn a_request_without_an_open_zone_is_refused_at_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (first, second) = (service("s1"), service("s2"));
    let all = evacuated(&["a", "b", "c"]);
    evacuate(&first, &all);
    let mut run = run_of(&[&first, &second], 2);
    assert_eq!(targets(&run.start(at(0), &mut rng)), [] as [String; 0]);
    assert_eq!(run.end(at(0)), Some(ScatterEnd::Failed(FailureReason::NotRun)));
    assert_eq!(run.time_to_open(at(0)), None);
    let mut run = run_of(&[&first, &second], 1);
    assert_eq!(targets(&run.start(at(0), &mut rng)), ["s2-a"], "one service suffices");
}

#[test]
fn targets_are_used_again_after_the_evacuation() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let service = service("s");
    let mut evacuations = evacuated(&["a", "b", "c"]);
    evacuate(&service, &evacuations);
    evacuations.apply(order("a", Finish));
    evacuate(&service, &evacuations);
    let mut run = run_of(&[&service], 1);
    assert_eq!(targets(&run.start(at(0), &mut rng)), ["s-a"]);
}

/// Guards against an instance that sends requests to an evacuated zone because it has just started, or
/// because it was suspended while the zone was evacuated.
#[test]
fn requests_wait_until_the_evacuations_are_confirmed() {
    let gap = MAX_POLL_GAP.as_millis() as u64;
    let mut gate = EvacuationGate::default();
    assert!(!gate.record_poll(at(10)) && !gate.is_open(at(10)));
    assert!(gate.confirm(1) && !gate.confirm(1));
    assert!(gate.is_open(at(10 + gap)));
    // Requests that are handled before the first poll after the suspension.
    assert!(!gate.is_open(at(11 + gap)));
    assert!(gate.record_poll(at(11 + gap)));
    assert!(!gate.is_open(at(11 + gap)), "no hub has answered since");
    assert!(!gate.confirm(1), "an answer from before the suspension");
    assert!(gate.confirm(gate.last_poll()) && gate.is_open(at(11 + gap)));
    assert!(!gate.record_poll(at(11 + 2 * gap)), "a poll in time");
}
