//! Load tests: urgent searches over many shards with a latency goal of 40 ms, of which the network and
//! the way through the tier take a large part.
//!
//! With one estimate of the caller's network for all requests, and with the shards of other zones
//! delegated to another aggregator, the cut-off comes before most of these shards can answer: the
//! answers have just the fewest shards that they need.

mod load_support;

use std::time::Duration;

use figglade::filter::{caller_network::caller_network_time, scatter::should_delegate};
use load_support::{LoadFleet, LoadPlan, LoadReport, pausing};

const GOAL: Duration = Duration::from_millis(40);
/// The time that the way through the tier takes of the goal.
const TIER_TIME: Duration = Duration::from_millis(18);

fn run_with_goal(seed: u64, goal: Duration) -> LoadReport {
    let plan = LoadPlan {
        seed,
        shards: 36,
        requests_per_second: 20.0,
        work: Duration::from_micros(2_500),
        goal,
        timeout: Duration::from_millis(250),
        min_shard_ratio: 0.85,
        ..LoadPlan::default()
    };
    LoadFleet::new(plan, |_, _, rng| pausing(rng, 2_400, 100)).run()
}

#[test]
fn a_kept_connection_leaves_more_of_a_short_goal_to_the_shards() {
    for seed in 1..=5 {
        let missing = |is_first| {
            let goal = GOAL - caller_network_time(GOAL, is_first) - TIER_TIME;
            run_with_goal(seed, goal).missing_shards
        };
        let (on_new, on_kept) = (missing(true), missing(false));
        assert!(on_kept * 2 < on_new, "seed {seed}: {on_kept} of {on_new} shards are missing");
    }
}

#[test]
fn longer_goals_keep_one_estimate_for_all_requests() {
    for millis in [60, 120, 150, 600] {
        let goal = Duration::from_millis(millis);
        assert_eq!(caller_network_time(goal, false), caller_network_time(goal, true));
    }
}

#[test]
fn shards_are_delegated_only_while_two_round_trips_fit_into_the_goal() {
    assert!(should_delegate(Duration::from_millis(90)));
    assert!(should_delegate(Duration::from_millis(40)));
    assert!(!should_delegate(GOAL - caller_network_time(GOAL, true)));
    assert!(!should_delegate(Duration::from_millis(5)));
    assert!(!should_delegate(Duration::ZERO));
}
