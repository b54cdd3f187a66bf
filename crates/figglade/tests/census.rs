//! Counts of instances while control instances come and go.

use figglade::{Timestamp, controller::census::InstanceCensus};

/// The time between two words of a control instance, in milliseconds.
const POLL_MS: u64 = 400;

#[test]
fn a_control_instance_that_is_cut_off_does_not_shrink_the_count() {
    let mut census = InstanceCensus::default();
    let mut now = 0;
    let mut take = |census: &mut InstanceCensus, count, polls| {
        for _ in 0..polls {
            now += POLL_MS;
            census.take_count(count, Timestamp::from_millis(now));
        }
    };
    take(&mut census, 67, 50);
    // A control instance with a quarter of the instances is cut off for ten seconds.
    take(&mut census, 50, 25);
    assert_eq!(census.instances(), 67, "the others must not take larger parts meanwhile");
    take(&mut census, 67, 5);
    take(&mut census, 40, 100);
    assert_eq!(census.instances(), 40, "instances that left for good are forgotten");
}

#[test]
fn the_first_counts_after_a_restart_only_rise() {
    let mut census = InstanceCensus::default();
    assert!(!census.is_counted());
    assert!(census.instances() > 40, "many are expected until one counted");
    for (poll, count) in [3, 20, 66, 64].into_iter().enumerate() {
        census.take_count(count, Timestamp::from_millis(poll as u64 * POLL_MS));
    }
    assert_eq!(census.instances(), 66);
}
