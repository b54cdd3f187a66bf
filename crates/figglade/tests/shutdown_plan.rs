//! Tests which requests are served during a planned stop.

use std::time::Duration;

use figglade::{Timestamp, filter::shutdown::ShutdownPlan};

const GRACE: Duration = Duration::from_secs(6);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn callers_that_keep_sending_are_never_cut_off() {
    arbtest::arbtest(|u| {
        let grace = Duration::from_millis(u.int_in_range(0..=30_000)?);
        let plan = ShutdownPlan::new(at(u.int_in_range(0..=100_000)?), grace);
        assert!(plan.drains_at() <= plan.closes_idle_at());
        assert!(plan.closes_idle_at() <= plan.exits_at());
        for _ in 0..u.int_in_range(1..=20)? {
            let late = Duration::from_millis(u.int_in_range(0..=30_000)?);
            let now = plan.drains_at() + late;
            let deadline = now + Duration::from_millis(u.int_in_range(1..=10_000)?);
            let limited = plan.limit_deadline(deadline);
            assert!(limited < plan.exits_at() && limited <= deadline);
            // Without an estimate only a request that certainly ends before the exit is admitted.
            assert_eq!(plan.admits(now, deadline, deadline), limited == deadline);
        }
        Ok(())
    });
}

#[test]
fn requests_are_served_until_the_load_balancer_has_removed_the_instance() {
    let plan = ShutdownPlan::new(at(0), GRACE);
    let deadline = |now| now + Duration::from_secs(8);
    let admits = |now| plan.admits(now, deadline(now), deadline(now));
    assert!(admits(at(2_000)), "a refused caller may come back here");
    assert!(!admits(plan.drains_at()));
}

#[test]
fn short_requests_are_served_as_long_as_they_end_in_time() {
    let plan = ShutdownPlan::new(at(0), GRACE);
    assert!(plan.admits(at(4_000), at(5_500), at(5_500)));
    assert!(!plan.admits(at(5_000), at(6_000), at(6_000)));
    assert!(plan.admits(at(4_000), at(4_500), at(12_000)), "it most likely ends in time");
    assert!(!plan.admits(at(5_500), at(6_000), at(13_500)));
}

#[test]
fn a_grace_period_shorter_than_the_margins_admits_nothing_late() {
    let plan = ShutdownPlan::new(at(0), Duration::from_millis(100));
    assert_eq!(plan.exits_at(), at(0));
    assert!(!plan.admits(at(60), at(80), at(80)));
}
