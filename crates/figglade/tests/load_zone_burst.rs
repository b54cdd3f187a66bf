//! Load tests of admission: a burst in one zone, and slow targets under a burst.

mod overload_support;

use overload_support::{KindReport, LoadKind, check_floor, run_load};

fn mix(factor: f64) -> [LoadKind; 3] {
    let kinds = [LoadKind::broad(11.0, 1), LoadKind::urgent(6.0, 0), LoadKind::single(2.0, 2)];
    kinds.map(|kind| kind.with_burst(10, 10, factor))
}

/// Guards against a zone that gets less than a quarter of what all zones get, because its instances
/// alone are busy.
#[test]
fn a_burst_in_one_zone_is_served_by_a_quarter_at_least() {
    let reports = run_load(&mix(6.0), 30, 5, true, &[]);
    check_floor(&reports, 30);
    let zone = reports.into_iter().fold(KindReport::default(), |mut sum, report| {
        sum.add(report);
        sum
    });
    let share = zone.admitted_between(10, 20);
    assert!(share > 0.25, "{share}");
    // The instances of another zone decide on their own.
    for report in run_load(&mix(1.0), 30, 6, true, &[]) {
        assert_eq!(report.refused(), 0);
    }
}

/// Guards against an admission that takes requests that wait for slow targets for work of this
/// instance.
#[test]
fn a_slow_third_of_the_targets_causes_no_refusals() {
    let slow = mix(1.0).map(|kind| LoadKind { slow_every: 3, ..kind });
    for report in run_load(&slow, 120, 7, true, &[]) {
        assert_eq!(report.refused(), 0);
    }
}

/// Guards against a burst that makes the answers of the other targets late as well.
#[test]
fn a_burst_beside_a_slow_third_of_the_targets_leaves_answers_in_time() {
    let slow = mix(4.0).map(|kind| LoadKind { slow_every: 3, ..kind });
    let in_goal = |has_admission| -> usize {
        let reports = run_load(&slow, 30, 8, has_admission, &[]);
        reports.iter().map(|report| report.in_goal).sum()
    };
    let (without, with) = (in_goal(false), in_goal(true));
    assert!(with > without, "{with} {without}");
}
