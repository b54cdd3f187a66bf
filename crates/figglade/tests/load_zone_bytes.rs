//! Load pattern: targets pause for a moment now and then, and what crosses zones is paid for.
//!
//! An aggregator asks the target of its zone for nearly every shard. A pause delays several answers
//! together, which must not count as several signs of a slow target: its shard would then be asked
//! in other zones for seconds, on a fleet where some target has always paused lately.

mod load_support;

use std::time::Duration;

use load_support::{LoadFleet, LoadPlan, TargetModel, pausing};

fn plan(seed: u64) -> LoadPlan {
    LoadPlan { seed, shards: 36, requests_per_second: 20.0, min_share: 0.95, ..LoadPlan::default() }
}

#[test]
fn pauses_leave_the_searches_with_the_targets_of_the_zone() {
    for seed in 1..=5 {
        let report = LoadFleet::new(plan(seed), |_, _, rng| pausing(rng, 3_600, 150)).play();
        let arrivals: usize = report.arrivals.iter().sum();
        let remote = (arrivals - report.arrivals[0]) as f64 / arrivals as f64;
        // One target in 24 pauses at any time; a hedge goes to another zone, and so do the searches
        // that come while the pause lasts.
        assert!(remote <= 0.12, "seed {seed}: {remote} of {:?}", report.arrivals);
        assert!(report.goal_share() >= 0.99, "seed {seed}: {report:?}");
    }
}

#[test]
fn a_target_that_stays_slow_is_left_for_another_zone() {
    for seed in 1..=5 {
        let slow = TargetModel { slowness: 6.0, ..TargetModel::default() };
        let model = |shard, number, _: &mut _| {
            if (shard, number) == (0, 0) { slow.clone() } else { TargetModel::default() }
        };
        let report = LoadFleet::new(plan(seed), model).play();
        let arrivals: usize = report.arrivals.iter().sum();
        let local = report.arrivals[0] as f64 / arrivals as f64;
        assert!(local <= 0.25, "seed {seed}: {local} of {:?}", report.arrivals);
        assert!(report.goal_share() >= 0.99, "seed {seed}: {report:?}");
    }
}

#[test]
fn a_target_that_recovered_is_used_again_within_seconds() {
    let slow = TargetModel { slowness: 6.0, ..TargetModel::default() };
    let plan = LoadPlan { length: Duration::from_secs(40), ..plan(3) };
    let model = |shard, number, _: &mut _| {
        if (shard, number) == (0, 0) { slow.clone() } else { TargetModel::default() }
    };
    let mut fleet = LoadFleet::new(plan, model);
    let at = |seconds: u64| figglade::Timestamp::from_millis(seconds * 1_000);
    fleet.change_at(at(10), Box::new(|fleet| fleet.set_model(0, 0, TargetModel::default())));
    fleet.change_at(at(20), Box::new(|fleet| fleet.report.arrivals = vec![0; 3]));
    let report = fleet.play();
    let arrivals: usize = report.arrivals.iter().sum();
    let local = report.arrivals[0] as f64 / arrivals as f64;
    assert!(local >= 0.9, "{:?}", report.arrivals);
}
