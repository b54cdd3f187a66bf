//! Load tests: every replica pauses briefly at regular intervals, each at a different time.

mod load_support;

use std::time::Duration;

use load_support::{LoadFleet, LoadPlan, pausing};

#[test]
fn searches_over_pausing_replicas_are_complete_and_in_time() {
    for seed in 1..=5 {
        let plan = LoadPlan { seed, ..LoadPlan::default() };
        let report = LoadFleet::new(plan, |_, _, rng| pausing(rng, 3_600, 150)).run();
        // A third of the searches hit a pause that is longer than the latency goal.
        assert!(report.goal_share() >= 0.99, "seed {seed}: {report:?}");
        let complete = report.complete_in_goal as f64 / report.requests as f64;
        assert!(complete >= 0.97, "seed {seed}: {complete}");
        assert_eq!(report.failed, 0, "seed {seed}");
    }
}

#[test]
fn extra_attempts_stay_within_the_budget_under_pauses() {
    for seed in 1..=5 {
        let plan = LoadPlan { seed, extra_slack: 0.0, ..LoadPlan::default() };
        let report = LoadFleet::new(plan, |_, _, rng| pausing(rng, 4_500, 200)).run();
        assert!(report.extra_share() <= 0.2, "seed {seed}: {}", report.extra_share());
    }
}

#[test]
fn a_search_over_many_shards_is_in_time_although_some_shard_is_usually_paused() {
    let plan = LoadPlan {
        shards: 54,
        requests_per_second: 12.0,
        min_shard_ratio: 0.95,
        work: Duration::from_millis(20),
        goal: Duration::from_millis(150),
        ..LoadPlan::default()
    };
    let report = LoadFleet::new(plan, |_, _, rng| pausing(rng, 4_500, 200)).run();
    assert!(report.goal_share() >= 0.98, "{report:?}");
}
