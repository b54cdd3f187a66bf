//! Replica choice: load, zones, cold starts, ejection with a cap and the way back.

mod filter_support;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use figglade::{
    Timestamp,
    border::AttemptError,
    filter::{
        picker::{AttemptEnd, PickScope, ReplicaPicker, TargetChange},
        routing::TargetRoute,
    },
};
use filter_support::{picker, replicas, seeded, tools};

const NOW: Timestamp = Timestamp::from_millis(60_000);

/// Counts how often each replica is picked.
fn count_picks(
    picker: &ReplicaPicker,
    replicas: &[Arc<TargetRoute>],
    now: Timestamp,
) -> BTreeMap<String, u32> {
    let mut rng = seeded(3);
    let mut counts = BTreeMap::new();
    for _ in 0..1_000 {
        let scope = PickScope { replicas, tried: &[], snapshot: None, live: None };
        let picked = picker.pick(&scope, now, &mut rng).expect("a replica");
        *counts.entry(picked.target.to_string()).or_default() += 1;
    }
    counts
}

fn answer(route: &TargetRoute, millis: u64) {
    route.load.begin_attempt();
    let elapsed = Duration::from_millis(millis);
    route.load.finish_attempt(AttemptEnd::Answered, elapsed, NOW, |_| false);
}

fn fail(route: &TargetRoute, now: Timestamp) -> TargetChange {
    route.load.begin_attempt();
    let end = AttemptEnd::Failed(AttemptError::Lost);
    route.load.finish_attempt(end, Duration::ZERO, now, |_| true)
}

#[test]
fn test_slow_replicas_lose_and_equal_ones_share() {
    let replicas = replicas(0, 3);
    for (route, millis) in replicas.iter().zip([20, 20, 200]) {
        answer(route, millis);
    }
    let counts = count_picks(&picker(3), &replicas, NOW);
    assert_eq!(counts.get("s0-r2"), None, "the slow one is never the better of two");
    assert!(counts["s0-r0"] > 250 && counts["s0-r1"] > 250, "{counts:?}");
}

#[test]
fn test_work_in_flight_outweighs_a_little_latency() {
    let replicas = replicas(0, 2);
    answer(&replicas[0], 20);
    answer(&replicas[1], 30);
    for _ in 0..5 {
        replicas[0].load.begin_attempt();
    }
    let counts = count_picks(&picker(2), &replicas, NOW);
    assert_eq!(counts["s0-r1"], 1_000);
}

#[test]
fn test_the_own_zone_goes_first_unless_it_is_the_worse() {
    let mut replicas = replicas(0, 2);
    let far = Arc::get_mut(&mut replicas[1]).expect("no one else holds it");
    far.zone = "svealand-b".parse().expect("a valid name");
    answer(&replicas[0], 20);
    answer(&replicas[1], 20);
    assert_eq!(count_picks(&picker(2), &replicas, NOW)["s0-r0"], 1_000);
    replicas[0].load.begin_attempt();
    assert_eq!(count_picks(&picker(2), &replicas, NOW)["s0-r1"], 1_000);
}

#[test]
fn test_a_target_that_just_started_is_not_preferred_for_its_unknown_latency() {
    let mut replicas = replicas(0, 2);
    Arc::get_mut(&mut replicas[1]).expect("no one else holds it").ready_since = NOW;
    answer(&replicas[0], 20);
    let mut picker = picker(2);
    picker.cold_start = Duration::from_secs(2);
    assert_eq!(count_picks(&picker, &replicas, NOW)["s0-r0"], 1_000);
    // Under load the cold one takes its part.
    for _ in 0..4 {
        replicas[0].load.begin_attempt();
    }
    assert_eq!(count_picks(&picker, &replicas, NOW)["s0-r1"], 1_000);
}

#[test]
fn test_an_ejected_target_returns_by_one_probe() {
    let replicas = replicas(0, 2);
    assert_eq!(fail(&replicas[0], NOW), TargetChange::None);
    assert_eq!(fail(&replicas[0], NOW), TargetChange::None);
    assert_eq!(fail(&replicas[0], NOW), TargetChange::Ejected);
    let picker = picker(2);
    assert_eq!(count_picks(&picker, &replicas, NOW)["s0-r1"], 1_000);
    assert!(!replicas[0].load.begin_probe(NOW, || true), "ejected for a second");
    let half_open = NOW + Duration::from_secs(2);
    assert_eq!(count_picks(&picker, &replicas, half_open)["s0-r1"], 1_000);
    assert!(replicas[0].load.begin_probe(half_open, || false), "paid by nobody");
    assert!(!replicas[0].load.begin_probe(half_open, || true), "one probe at a time");
    let elapsed = Duration::from_millis(5);
    let change = replicas[0].load.finish_probe(Ok(()), elapsed, half_open, |_| false);
    assert_eq!(change, TargetChange::Returned);
    assert!(count_picks(&picker, &replicas, half_open)["s0-r0"] > 0);
}

#[test]
fn test_a_failed_probe_ejects_for_longer() {
    let replicas = replicas(0, 1);
    for _ in 0..3 {
        fail(&replicas[0], NOW);
    }
    let load = &replicas[0].load;
    let mut now = NOW;
    let mut lengths = Vec::new();
    for _ in 0..7 {
        now = now + Duration::from_secs(60);
        assert!(load.begin_probe(now, || true));
        let mut until = now;
        let error = Err(AttemptError::TimedOut);
        load.finish_probe(error, Duration::from_secs(1), now, |end| {
            until = end;
            true
        });
        lengths.push(until.since(now).as_secs());
    }
    assert_eq!(lengths, [2, 4, 8, 16, 30, 30, 30]);
}

#[test]
fn test_a_common_slowdown_ejects_no_more_than_the_cap() {
    let replicas = replicas(0, 30);
    let tools = tools(30);
    let mut ejected = 0;
    for round in 0..10 {
        for route in &replicas {
            route.load.begin_attempt();
            let now = NOW + Duration::from_millis(round * 10);
            let end = AttemptEnd::Failed(AttemptError::TimedOut);
            let change = tools.finish_attempt(route, end, Duration::from_secs(1), now, 0.3);
            ejected += u32::from(change == TargetChange::Ejected);
        }
    }
    assert_eq!(ejected, 9);
    // The place of one that returned is free again.
    let back = replicas.iter().find(|route| route.load.view(NOW).ejected).expect("nine are");
    let now = NOW + Duration::from_secs(2);
    assert!(back.load.begin_probe(now, || true));
    let change = tools.finish_probe(back, Ok(()), Duration::from_millis(5), now, 0.3);
    assert_eq!(change, TargetChange::Returned);
    let next =
        replicas.iter().find(|route| route.target != back.target && !route.load.view(now).ejected);
    let next = next.expect("most are not ejected");
    next.load.begin_attempt();
    let end = AttemptEnd::Failed(AttemptError::TimedOut);
    let change = tools.finish_attempt(next, end, Duration::from_secs(1), now, 0.3);
    assert_eq!(change, TargetChange::Ejected);
}

#[test]
fn test_targets_that_shed_or_drain_are_avoided_for_a_while() {
    let replicas = replicas(0, 2);
    let picker = picker(2);
    for (error, pause) in [(AttemptError::Shed, 100), (AttemptError::Draining, 6_000)] {
        replicas[0].load.begin_attempt();
        replicas[0].load.finish_attempt(AttemptEnd::Failed(error), Duration::ZERO, NOW, |_| true);
        assert_eq!(count_picks(&picker, &replicas, NOW)["s0-r1"], 1_000, "{error}");
        let later = NOW + Duration::from_millis(pause);
        assert!(count_picks(&picker, &replicas, later)["s0-r0"] > 0, "{error}");
    }
}

#[test]
fn test_an_attempt_that_lost_a_race_does_not_brand_its_target_as_slow() {
    let replicas = replicas(0, 2);
    answer(&replicas[0], 20);
    answer(&replicas[1], 20);
    replicas[0].load.begin_attempt();
    let elapsed = Duration::from_millis(100);
    replicas[0].load.finish_attempt(AttemptEnd::Superseded, elapsed, NOW, |_| false);
    let latency = replicas[0].load.view(NOW).latency_ms.expect("an estimate");
    assert!((20.0..40.0).contains(&latency), "{latency} ms");
}

#[test]
fn test_the_limit_of_a_target_falls_with_what_it_sheds_and_rises_with_answers() {
    let replicas = replicas(0, 1);
    let load = &replicas[0].load;
    let most = load.limit(3);
    assert!(most >= 3);
    let shed = |at: u64| {
        load.begin_attempt();
        let end = AttemptEnd::Failed(AttemptError::Shed);
        load.finish_attempt(end, Duration::ZERO, Timestamp::from_millis(at), |_| true);
    };
    for _ in 0..10 {
        shed(1_000);
    }
    assert_eq!(load.limit(3), most - 1, "a moment counts once");
    for step in 0..20 {
        shed(2_000 + step * 1_000);
    }
    assert_eq!(load.limit(3), 1);
    for _ in 0..1_000 {
        answer(&replicas[0], 20);
    }
    assert_eq!(load.limit(3), most);
}
