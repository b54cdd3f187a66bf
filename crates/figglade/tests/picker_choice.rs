//! Tests of the replica choice: load, zones, cold starts, capped ejection and recovery.

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
use filter_support::{context, picker, replicas, seeded_rng};

const NOW: Timestamp = Timestamp::from_millis(60_000);

/// Returns how often each replica is picked in 1,000 choices.
fn count_picks(
    picker: &ReplicaPicker,
    replicas: &[Arc<TargetRoute>],
    now: Timestamp,
) -> BTreeMap<String, u32> {
    let mut rng = seeded_rng(3);
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
fn test_slow_replicas_are_avoided_and_equal_ones_share_the_load() {
    let replicas = replicas(0, 3);
    for (route, millis) in replicas.iter().zip([20, 20, 200]) {
        answer(route, millis);
    }
    let counts = count_picks(&picker(3), &replicas, NOW);
    assert_eq!(counts.get("s0-r2"), None, "the slow replica is never the better of two");
    assert!(counts["s0-r0"] > 250 && counts["s0-r1"] > 250, "{counts:?}");
}

#[test]
fn test_attempts_in_flight_outweigh_a_small_latency_difference() {
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
fn test_local_zone_is_preferred_unless_its_replicas_are_busier() {
    let mut replicas = replicas(0, 2);
    let remote = Arc::get_mut(&mut replicas[1]).expect("no one else holds it");
    remote.zone = "svealand-b".parse().expect("a valid name");
    answer(&replicas[0], 20);
    answer(&replicas[1], 20);
    assert_eq!(count_picks(&picker(2), &replicas, NOW)["s0-r0"], 1_000);
    replicas[0].load.begin_attempt();
    assert_eq!(count_picks(&picker(2), &replicas, NOW)["s0-r1"], 1_000);
}

#[test]
fn test_new_target_is_not_preferred_for_its_unknown_latency() {
    let mut replicas = replicas(0, 2);
    Arc::get_mut(&mut replicas[1]).expect("no one else holds it").ready_since = NOW;
    answer(&replicas[0], 20);
    let mut picker = picker(2);
    picker.cold_start = Duration::from_secs(2);
    assert_eq!(count_picks(&picker, &replicas, NOW)["s0-r0"], 1_000);
    // When the warm target is busy, the new one is chosen.
    for _ in 0..4 {
        replicas[0].load.begin_attempt();
    }
    assert_eq!(count_picks(&picker, &replicas, NOW)["s0-r1"], 1_000);
}

#[test]
fn test_ejected_target_returns_after_one_probe() {
    let replicas = replicas(0, 2);
    assert_eq!(fail(&replicas[0], NOW), TargetChange::None);
    assert_eq!(fail(&replicas[0], NOW), TargetChange::None);
    assert_eq!(fail(&replicas[0], NOW), TargetChange::Ejected);
    let picker = picker(2);
    assert_eq!(count_picks(&picker, &replicas, NOW)["s0-r1"], 1_000);
    assert!(!replicas[0].load.begin_probe(NOW, || true), "the target is ejected for a second");
    let half_open = NOW + Duration::from_secs(2);
    assert_eq!(count_picks(&picker, &replicas, half_open)["s0-r1"], 1_000);
    assert!(
        replicas[0].load.begin_probe(half_open, || false),
        "the probe of an ejected target needs no budget"
    );
    assert!(
        !replicas[0].load.begin_probe(half_open, || true),
        "only one probe is sent per interval"
    );
    let elapsed = Duration::from_millis(5);
    let change = replicas[0].load.finish_probe(Ok(()), elapsed, half_open, |_| false);
    assert_eq!(change, TargetChange::Returned);
    assert!(count_picks(&picker, &replicas, half_open)["s0-r0"] > 0);
}

#[test]
fn test_failed_probe_ejects_for_longer() {
    let replicas = replicas(0, 1);
    for _ in 0..3 {
        fail(&replicas[0], NOW);
    }
    let load = &replicas[0].load;
    let mut now = NOW;
    let mut periods = Vec::new();
    for _ in 0..7 {
        now = now + Duration::from_secs(60);
        assert!(load.begin_probe(now, || true));
        let mut until = now;
        let error = Err(AttemptError::TimedOut);
        load.finish_probe(error, Duration::from_secs(1), now, |end| {
            until = end;
            true
        });
        periods.push(until.since(now).as_secs());
    }
    assert_eq!(periods, [2, 4, 8, 16, 30, 30, 30]);
}

#[test]
fn test_common_slowdown_ejects_no_more_than_the_cap() {
    let replicas = replicas(0, 30);
    let context = context(30);
    let mut ejected = 0;
    for round in 0..10 {
        for route in &replicas {
            route.load.begin_attempt();
            let now = NOW + Duration::from_millis(round * 10);
            let end = AttemptEnd::Failed(AttemptError::TimedOut);
            let change = context.finish_attempt(route, end, Duration::from_secs(1), now, 0.3);
            ejected += u32::from(change == TargetChange::Ejected);
        }
    }
    assert_eq!(ejected, 9);
    // A target that returns frees its place under the cap.
    let returned = replicas
        .iter()
        .find(|route| route.load.view(NOW).ejected)
        .expect("nine targets are ejected");
    let now = NOW + Duration::from_secs(2);
    assert!(returned.load.begin_probe(now, || true));
    let change = context.finish_probe(returned, Ok(()), Duration::from_millis(5), now, 0.3);
    assert_eq!(change, TargetChange::Returned);
    let next = replicas
        .iter()
        .find(|route| route.target != returned.target && !route.load.view(now).ejected);
    let next = next.expect("most targets are not ejected");
    next.load.begin_attempt();
    let end = AttemptEnd::Failed(AttemptError::TimedOut);
    let change = context.finish_attempt(next, end, Duration::from_secs(1), now, 0.3);
    assert_eq!(change, TargetChange::Ejected);
}

#[test]
fn test_targets_that_shed_or_drain_are_avoided_during_the_cooldown() {
    let replicas = replicas(0, 2);
    let picker = picker(2);
    for (error, cooldown) in [(AttemptError::Shed, 100), (AttemptError::Draining, 6_000)] {
        replicas[0].load.begin_attempt();
        replicas[0].load.finish_attempt(AttemptEnd::Failed(error), Duration::ZERO, NOW, |_| true);
        assert_eq!(count_picks(&picker, &replicas, NOW)["s0-r1"], 1_000, "{error}");
        let later = NOW + Duration::from_millis(cooldown);
        assert!(count_picks(&picker, &replicas, later)["s0-r0"] > 0, "{error}");
    }
}

#[test]
fn test_superseded_attempt_does_not_mark_its_target_as_slow() {
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
fn test_limit_of_a_target_falls_when_it_sheds_and_recovers_with_answers() {
    let replicas = replicas(0, 1);
    let load = &replicas[0].load;
    let full_limit = load.limit(3);
    assert!(full_limit >= 3);
    let shed = |at: u64| {
        load.begin_attempt();
        let end = AttemptEnd::Failed(AttemptError::Shed);
        load.finish_attempt(end, Duration::ZERO, Timestamp::from_millis(at), |_| true);
    };
    for _ in 0..10 {
        shed(1_000);
    }
    assert_eq!(
        load.limit(3),
        full_limit - 1,
        "requests shed at the same time lower the limit once"
    );
    for step in 0..20 {
        shed(2_000 + step * 1_000);
    }
    assert_eq!(load.limit(3), 1);
    for _ in 0..1_000 {
        answer(&replicas[0], 20);
    }
    assert_eq!(load.limit(3), full_limit);
}
