//! Load pattern: more requests than the replicas take, and replicas that leave under load.

mod load_support;

use std::time::Duration;

use figglade::{Timestamp, controller::route_set::RepeatRule};
use load_support::{LoadFleet, LoadPlan, TargetModel};

/// A load of single requests that takes about a minute to work off what comes in a second.
fn single_plan() -> LoadPlan {
    LoadPlan {
        shards: 1,
        replicas: 8,
        requests_per_second: 40.0,
        work: Duration::from_millis(120),
        goal: Duration::from_millis(500),
        timeout: Duration::from_millis(6_000),
        min_share: 1.0,
        ..LoadPlan::default()
    }
}

#[test]
fn full_queues_do_not_start_a_storm_of_retries() {
    let plan = LoadPlan { requests_per_second: 200.0, extra_slack: 0.0, ..single_plan() };
    let model = |_: usize, _: usize, _: &mut _| TargetModel {
        slots: 2,
        queue: 4,
        ..TargetModel::default()
    };
    let report = LoadFleet::new(plan, model).play();
    assert!(report.extra_share() <= 0.2, "{}", report.extra_share());
    // The fleet works off 133 requests a second; most of those must be answered in time.
    let capacity = 0.6 * 133.0 / 200.0;
    assert!(report.goal_share() >= capacity, "{report:?}");
}

#[test]
fn a_request_that_may_run_once_runs_at_one_target() {
    let plan =
        LoadPlan { repeat: RepeatRule::AtMostOnce, requests_per_second: 90.0, ..single_plan() };
    let model = |_: usize, number: usize, _: &mut _| TargetModel {
        slots: 2,
        queue: 1,
        slowness: if number < 2 { 6.0 } else { 1.0 },
        ..TargetModel::default()
    };
    let report = LoadFleet::new(plan, model).play();
    assert!(report.refused > 0, "the queues must fill: {report:?}");
    assert_eq!(report.most_runs, 1);
}

#[test]
fn replicas_that_drain_get_nothing_more_and_cost_nothing() {
    let mut fleet = LoadFleet::new(LoadPlan::default(), |_, _, _| TargetModel::default());
    let at = Timestamp::from_millis(10_000);
    fleet.change_at(
        at,
        Box::new(|fleet| {
            for shard in 0..10 {
                fleet.drain(shard, 0);
                // What is sent from now on would never be answered.
                let dark = TargetModel { dark_from: Some(fleet.now), ..TargetModel::default() };
                fleet.set_model(shard, 0, dark);
            }
        }),
    );
    let report = fleet.play();
    assert!(report.goal_share() >= 0.995, "{report:?}");
}
