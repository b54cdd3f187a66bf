//! Load tests of admission: one customer sends many times its usual rate to an instance.

mod overload_support;

use overload_support::{KindReport, LoadKind, check_floor, run_load};

/// Guards against a flood from one customer that takes the place of others, whether it sends the same
/// kind of requests or a more urgent one.
#[test]
fn a_customer_far_above_its_usual_rate_waits_first() {
    for flood in [LoadKind::broad(10.0, 1), LoadKind::urgent(14.0, 1)] {
        let mix = [
            flood.of_customer("large").with_burst(60, 6, 7.5),
            LoadKind::broad(6.0, 1).of_customer("b"),
            LoadKind::broad(3.0, 1).of_customer("c"),
            LoadKind::urgent(2.0, 0).of_customer("d"),
        ];
        let mut sums = vec![KindReport::default(); mix.len()];
        for seed in 0..5 {
            let reports = run_load(&mix, 80, seed, true, &[]);
            check_floor(&reports, 80);
            for (sum, report) in sums.iter_mut().zip(reports) {
                sum.add(report);
            }
        }
        let shares: Vec<_> = sums.iter().map(|sum| sum.admitted_between(60, 66)).collect();
        for (other, share) in shares.iter().enumerate().skip(1) {
            assert!(*share > 0.85, "customer {other}: {shares:?}");
        }
        assert!(shares[0] < 0.7, "the flood is refused: {shares:?}");
        let after: Vec<_> = sums.iter().map(|sum| sum.admitted_between(68, 80)).collect();
        assert!(after.iter().all(|share| *share == 1.0), "{after:?}");
    }
}

/// Guards against refusals of a customer only because it exceeds its usual rate.
#[test]
fn a_customer_above_its_usual_rate_is_served_while_there_is_room() {
    let mix = [
        LoadKind::single(10.0, 2).of_customer("large").with_burst(60, 6, 7.5),
        LoadKind::urgent(4.0, 0).of_customer("small"),
    ];
    for report in run_load(&mix, 80, 4, true, &[]) {
        assert_eq!(report.refused(), 0);
    }
}
