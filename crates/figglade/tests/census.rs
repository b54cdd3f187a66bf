//! Tests that temporary changes in the counts of control instances do not lower the estimate.

use figglade::{Timestamp, controller::census::InstanceCensus};

/// The time between two reports of a control instance, in milliseconds.
const POLL_MS: u64 = 400;

#[test]
fn a_control_instance_that_is_cut_off_does_not_shrink_the_count() {
    let mut census = InstanceCensus::default();
    let mut now = 0;
    let mut record = |census: &mut InstanceCensus, count, polls| {
        for _ in 0..polls {
            now += POLL_MS;
            census.record_count(count, Timestamp::from_millis(now));
        }
    };
    record(&mut census, 67, 50);
    // A control instance that a quarter of the instances follow is cut off for ten seconds.
    record(&mut census, 50, 25);
    assert_eq!(census.instances(), 67, "the other instances must not use larger shares meanwhile");
    record(&mut census, 67, 5);
    record(&mut census, 40, 100);
    assert_eq!(
        census.instances(),
        40,
        "instances that left permanently must not be counted any more"
    );
}

#[test]
fn the_largest_of_the_first_counts_after_a_restart_is_used() {
    let mut census = InstanceCensus::default();
    assert!(!census.has_count());
    assert!(census.instances() > 40, "a large number must be assumed before the first count");
    for (poll, count) in [3, 20, 66, 64].into_iter().enumerate() {
        census.record_count(count, Timestamp::from_millis(poll as u64 * POLL_MS));
    }
    assert_eq!(census.instances(), 66);
}
