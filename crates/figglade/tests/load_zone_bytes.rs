//! Load tests: targets pause briefly at regular intervals, and traffic between zones is billed.
//!
//! An aggregator sends the attempts for nearly every shard to the target in its own zone. A pause
//! delays several answers at once. If each of them counted as a sign of a slow target, the attempts
//! for the shard would go to remote zones for several seconds, and there is always some target that
//! has paused recently.

mod load_support;

use std::time::Duration;

use load_support::{LoadFleet, LoadPlan, TargetModel, pausing};

fn plan(seed: u64) -> LoadPlan {
    LoadPlan {
        seed,
        shards: 36,
        requests_per_second: 20.0,
        min_shard_ratio: 0.95,
        ..LoadPlan::default()
    }
}

#[test]
fn attempts_stay_in_the_local_zone_despite_pauses() {
    for seed in 1..=5 {
        let report = LoadFleet::new(plan(seed), |_, _, rng| pausing(rng, 3_600, 150)).run();
        let arrivals: usize = report.arrivals.iter().sum();
        let remote = (arrivals - report.arrivals[0]) as f64 / arrivals as f64;
        // One in 24 targets is paused at any time. Hedges go to a remote zone, and so do the attempts
        // of searches that arrive during the pause.
        assert!(remote <= 0.12, "seed {seed}: {remote} of {:?}", report.arrivals);
        assert!(report.goal_share() >= 0.99, "seed {seed}: {report:?}");
    }
}

#[test]
fn attempts_move_from_a_constantly_slow_target_to_a_remote_zone() {
    for seed in 1..=5 {
        let slow = TargetModel { slowness: 6.0, ..TargetModel::default() };
        let model = |shard, number, _: &mut _| {
            if (shard, number) == (0, 0) { slow.clone() } else { TargetModel::default() }
        };
        let report = LoadFleet::new(plan(seed), model).run();
        let arrivals: usize = report.arrivals.iter().sum();
        let local = report.arrivals[0] as f64 / arrivals as f64;
        assert!(local <= 0.25, "seed {seed}: {local} of {:?}", report.arrivals);
        assert!(report.goal_share() >= 0.99, "seed {seed}: {report:?}");
    }
}

#[test]
fn a_target_that_recovered_is_used_again_within_seconds() {
    let slow = TargetModel { slowness: 6.0, ..TargetModel::default() };
    let plan = LoadPlan { duration: Duration::from_secs(40), ..plan(3) };
    let model = |shard, number, _: &mut _| {
        if (shard, number) == (0, 0) { slow.clone() } else { TargetModel::default() }
    };
    let mut fleet = LoadFleet::new(plan, model);
    let at = |seconds: u64| figglade::Timestamp::from_millis(seconds * 1_000);
    fleet.schedule_change(at(10), Box::new(|fleet| fleet.set_model(0, 0, TargetModel::default())));
    fleet.schedule_change(at(20), Box::new(|fleet| fleet.report.arrivals = vec![0; 3]));
    let report = fleet.run();
    let arrivals: usize = report.arrivals.iter().sum();
    let local = report.arrivals[0] as f64 / arrivals as f64;
    assert!(local >= 0.9, "{:?}", report.arrivals);
}
