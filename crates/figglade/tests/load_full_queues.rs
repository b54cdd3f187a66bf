//! Load tests: more requests than the replicas can serve, and replicas that drain under load.

mod load_support;

use std::time::Duration;

use figglade::{Timestamp, controller::route_set::RepeatRule};
use load_support::{LoadFleet, LoadPlan, TargetModel};

/// Returns a load of requests to a single service, each of which takes 120 ms of work on average.
fn single_plan() -> LoadPlan {
    LoadPlan {
        shards: 1,
        replicas: 8,
        requests_per_second: 40.0,
        work: Duration::from_millis(120),
        goal: Duration::from_millis(500),
        timeout: Duration::from_millis(6_000),
        min_shard_ratio: 1.0,
        ..LoadPlan::default()
    }
}

#[test]
fn full_queues_do_not_cause_a_retry_storm() {
    let plan = LoadPlan { requests_per_second: 200.0, extra_slack: 0.0, ..single_plan() };
    let model = |_: usize, _: usize, _: &mut _| TargetModel {
        slots: 2,
        queue: 4,
        ..TargetModel::default()
    };
    let report = LoadFleet::new(plan, model).run();
    assert!(report.extra_share() <= 0.2, "{}", report.extra_share());
    // The targets can serve 133 requests per second; most of these must be answered within the goal.
    let capacity = 0.6 * 133.0 / 200.0;
    assert!(report.goal_share() >= capacity, "{report:?}");
}

#[test]
fn a_request_that_may_run_once_runs_at_most_once() {
    let plan =
        LoadPlan { repeat: RepeatRule::AtMostOnce, requests_per_second: 90.0, ..single_plan() };
    let model = |_: usize, number: usize, _: &mut _| TargetModel {
        slots: 2,
        queue: 1,
        slowness: if number < 2 { 6.0 } else { 1.0 },
        ..TargetModel::default()
    };
    let report = LoadFleet::new(plan, model).run();
    assert!(report.refused > 0, "the queues must fill up: {report:?}");
    assert_eq!(report.max_runs, 1);
}

#[test]
fn draining_replicas_get_no_requests_and_delay_no_searches() {
    let mut fleet = LoadFleet::new(LoadPlan::default(), |_, _, _| TargetModel::default());
    let at = Timestamp::from_millis(10_000);
    fleet.schedule_change(
        at,
        Box::new(|fleet| {
            for shard in 0..10 {
                fleet.drain(shard, 0);
                // An attempt that is sent to the replica from now on is never answered.
                let unresponsive =
                    TargetModel { unresponsive_from: Some(fleet.now), ..TargetModel::default() };
                fleet.set_model(shard, 0, unresponsive);
            }
        }),
    );
    let report = fleet.run();
    assert!(report.goal_share() >= 0.995, "{report:?}");
}
