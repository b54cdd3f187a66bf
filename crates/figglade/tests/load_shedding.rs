//! Load tests: targets that refuse a part of their requests although they have capacity, and targets
//! that ask to be sent nothing for a while.

mod load_support;

use std::time::Duration;

use figglade::Timestamp;
use load_support::{LoadFleet, LoadPlan, TargetModel};

/// The share of its requests that a shedding target refuses.
const SHED_SHARE: f64 = 0.6;

fn shedding() -> TargetModel {
    TargetModel { shed_share: SHED_SHARE, ..TargetModel::default() }
}

#[test]
fn requests_prefer_the_targets_that_do_not_shed() {
    // Two of the three targets of each shard shed. The third has capacity for all requests, but is
    // in another zone.
    let plan = LoadPlan { work: Duration::from_millis(10), ..LoadPlan::default() };
    let model = |_: usize, number: usize, _: &mut _| {
        if number == 2 { TargetModel::default() } else { shedding() }
    };
    let report = LoadFleet::new(plan, model).run();
    assert!(report.goal_share() >= 0.99, "{report:?}");
    let share = report.refused as f64 / report.firsts as f64;
    assert!(share < 0.1, "{share} of the attempts were refused");
}

#[test]
fn a_search_tries_the_targets_of_a_required_shard_again_after_refusals() {
    // All targets of one shard shed, and every shard is required. Without another attempt after the
    // first refusals, more than half of the searches fail.
    let plan = LoadPlan {
        requests_per_second: 20.0,
        min_shard_ratio: 1.0,
        extra_ratio: 2.0,
        ..LoadPlan::default()
    };
    let model = |shard: usize, _: usize, _: &mut _| {
        if shard == 0 { shedding() } else { TargetModel::default() }
    };
    let report = LoadFleet::new(plan, model).run();
    assert!(report.goal_share() >= 0.95, "{report:?}");
    assert!(report.failed * 50 <= report.requests, "{report:?}");
}

#[test]
fn shedding_does_not_exceed_the_budget_of_extra_attempts() {
    // One window of the budget, so that the slack of each shard is available once.
    let plan = LoadPlan {
        min_shard_ratio: 1.0,
        requests_per_second: 20.0,
        duration: Duration::from_secs(8),
        ..LoadPlan::default()
    };
    let (ratio, slack) = (plan.extra_ratio, plan.extra_slack * plan.shards as f64);
    let report = LoadFleet::new(plan, |_, _, _| shedding()).run();
    let allowed = ratio * report.firsts as f64 + slack;
    assert!(report.extras as f64 <= allowed, "{} of {allowed}", report.extras);
}

#[test]
fn a_target_that_asks_for_a_back_off_gets_no_requests_until_its_end() {
    let mut fleet = LoadFleet::new(LoadPlan::default(), |_, _, _| TargetModel::default());
    let asked = Timestamp::from_millis(10_000);
    fleet.schedule_change(
        asked,
        Box::new(|fleet| {
            fleet.back_off(0, 0, Duration::from_secs(5));
            fleet.report.arrivals[0] = 0;
        }),
    );
    let end = Timestamp::from_millis(14_999);
    fleet.schedule_change(
        end,
        Box::new(|fleet| assert_eq!(fleet.report.arrivals[0], 0, "requests during the back-off")),
    );
    let report = fleet.run();
    assert!(report.arrivals[0] > 50, "the target is used again: {:?}", report.arrivals);
    assert!(report.goal_share() >= 0.995, "{report:?}");
}

#[test]
fn searches_are_refused_at_once_while_too_many_shards_asked_for_a_back_off() {
    let mut fleet = LoadFleet::new(LoadPlan::default(), |_, _, _| TargetModel::default());
    fleet.schedule_change(
        Timestamp::from_millis(10_000),
        Box::new(|fleet| {
            for (shard, number) in (0..2).flat_map(|shard| (0..3).map(move |n| (shard, n))) {
                fleet.back_off(shard, number, Duration::from_secs(5));
            }
        }),
    );
    let report = fleet.run();
    let (during, rest): (Vec<_>, Vec<_>) = report.ends.iter().partition(|(at, _)| {
        (Timestamp::from_millis(10_200)..Timestamp::from_millis(15_000)).contains(at)
    });
    assert!(during.iter().all(|(_, is_served)| !is_served), "two of ten shards are closed");
    // The arrivals follow each other closely, and no request waits for the end of the back-off.
    assert!(during.len() > 200, "{}", during.len());
    let served = rest.iter().filter(|(_, is_served)| *is_served).count();
    assert!(served * 100 >= rest.len() * 97, "{served} of {}", rest.len());
}
