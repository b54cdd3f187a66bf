//! Tests of the margin for the way back of partial answers, and of what follows from the age of the
//! last attempt at a target.

use std::time::Duration;

use figglade::{
    CoreShare, Incarnation, Timestamp,
    filter::scatter::{AnswerDelay, ReplicaSpec, ReplicaState, RouteProfile},
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The time left to the goal in these tests.
const LEFT: Duration = Duration::from_millis(200);

#[test]
fn the_first_margin_follows_from_the_processor_time() {
    let margin = |cores| AnswerDelay::new(CoreShare::new(cores)).margin(LEFT);
    assert!(margin(120) > margin(250));
    assert!(margin(250) > margin(1_000));
    assert_eq!(margin(0), margin(1_000), "unknown processor time");
    assert!(margin(1) <= millis(60), "{:?}", margin(1));
}

#[test]
fn the_margin_covers_most_of_the_delays_observed() {
    for delay_ms in [2, 6, 25] {
        let delay = AnswerDelay::new(CoreShare::new(120));
        for number in 0..300 {
            // The delays vary between half of the value and one and a half of it.
            let varied = delay_ms * 1_000 * (50 + number * 37 % 100) / 100;
            delay.observe(at(1_000), at(1_000) + Duration::from_micros(varied));
        }
        let margin = delay.margin(LEFT).as_secs_f64() * 1_000.0;
        let range = delay_ms as f64 * 1.1..delay_ms as f64 * 1.6;
        assert!(range.contains(&margin), "{margin} ms for delays around {delay_ms} ms");
    }
}

#[test]
fn complete_and_late_answers_do_not_change_the_margin() {
    let delay = AnswerDelay::new(CoreShare::new(250));
    let before = delay.margin(LEFT);
    for _ in 0..100 {
        // Complete before the cut-off, and much later because a required shard was late.
        delay.observe(at(1_000), at(900));
        delay.observe(at(1_000), at(1_400));
    }
    assert_eq!(delay.margin(LEFT), before);
}

#[test]
fn a_margin_leaves_most_of_the_time_to_the_search() {
    let delay = AnswerDelay::new(CoreShare::new(1));
    assert!(delay.margin(millis(20)) <= millis(6), "{:?}", delay.margin(millis(20)));
    assert_eq!(delay.margin(Duration::ZERO), Duration::ZERO);
}

#[test]
fn a_hedge_is_sent_while_its_answer_can_still_meet_the_goal() {
    let profile = RouteProfile::new(millis(100));
    for number in 0..2_000 {
        profile.observe(millis(if number % 10 == 0 { 30 } else { 12 }));
    }
    let usual = profile.hedge_delay();
    assert!(usual > millis(20), "{usual:?}");
    assert_eq!(profile.hedge_delay_within(millis(150)), usual, "there is time enough");
    assert!(profile.hedge_delay_within(millis(36)) < millis(20));
    // Never while the first attempt is only slightly late.
    let typical = profile.typical_latency();
    let earliest = typical.mul_f64(1.4);
    assert_eq!(profile.hedge_delay_within(earliest + typical), earliest);
    // A caller that came back after the goal gains nothing from an early hedge.
    assert_eq!(profile.hedge_delay_within(Duration::ZERO), usual);
}

#[test]
fn connections_to_a_remote_target_are_kept_only_while_it_is_in_use() {
    for (is_local, before, during, after) in [(true, 2, 2, 2), (false, 0, 2, 0)] {
        let spec = ReplicaSpec {
            id: "t".parse().unwrap(),
            incarnation: Incarnation::new(1),
            address: "10.0.0.1:80".parse().unwrap(),
            is_local,
            slots: 3,
        };
        let replica = ReplicaState::new(spec, 4);
        replica.ready_connections.set(2);
        assert_eq!(replica.wanted_connections(at(100)), before);
        replica.begin_attempt(millis(10), millis(20), at(100));
        assert_eq!(replica.wanted_connections(at(1_000)), during);
        assert_eq!(replica.wanted_connections(at(10_000)), after);
    }
}
