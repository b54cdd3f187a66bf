//! Load tests: some replicas are slow, or stop answering under load.

mod load_support;

use figglade::Timestamp;
use load_support::{LoadFleet, LoadPlan, TargetModel};

#[test]
fn requests_move_from_a_slow_replica_to_the_others() {
    let slow = TargetModel { slowness: 10.0, ..TargetModel::default() };
    let model = move |_: usize, number: usize, _: &mut _| {
        if number == 0 { slow.clone() } else { TargetModel::default() }
    };
    let report = LoadFleet::new(LoadPlan::default(), model).run();
    let all: usize = report.arrivals.iter().sum();
    assert!(
        report.arrivals[0] * 3 < all,
        "requests per replica, the first of which is slow: {:?}",
        report.arrivals
    );
    assert!(report.goal_share() >= 0.98, "{report:?}");
}

#[test]
fn replicas_that_stop_answering_delay_searches_only_briefly() {
    let unresponsive_from = Timestamp::from_millis(10_000);
    let model = move |_: usize, number: usize, _: &mut _| TargetModel {
        unresponsive_from: (number == 0).then_some(unresponsive_from),
        ..TargetModel::default()
    };
    let report = LoadFleet::new(LoadPlan::default(), model).run();
    assert!(report.goal_share() >= 0.97, "{report:?}");
    let after = Timestamp::from_millis(12_500);
    let late: Vec<_> = report.ends.iter().filter(|(at, _)| *at > after).collect();
    let served = late.iter().filter(|(_, served)| *served).count();
    assert!(served as f64 >= late.len() as f64 * 0.99, "{served} of {}", late.len());
}

#[test]
fn a_shard_whose_replicas_stop_answering_does_not_delay_searches() {
    let unresponsive_from = Timestamp::from_millis(10_000);
    let model = move |shard: usize, _: usize, _: &mut _| TargetModel {
        unresponsive_from: (shard == 3).then_some(unresponsive_from),
        ..TargetModel::default()
    };
    let report = LoadFleet::new(LoadPlan::default(), model).run();
    assert!(report.goal_share() >= 0.99, "{report:?}");
    assert!(report.extra_share() <= 0.2, "{}", report.extra_share());
}
