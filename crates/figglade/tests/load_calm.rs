//! Load tests of admission: calm load, and freezes of the process.

mod overload_support;

use std::time::Duration;

use figglade::Timestamp;
use overload_support::{LoadKind, run_load};

/// Returns mixes that take a third to a half of the thread of an instance.
fn calm_mixes() -> Vec<Vec<LoadKind>> {
    vec![
        vec![LoadKind::broad(11.0, 1), LoadKind::urgent(6.0, 0), LoadKind::single(2.0, 2)],
        vec![LoadKind::broad(10.0, 1), LoadKind::urgent(4.0, 2), LoadKind::single(3.0, 2)],
        vec![LoadKind::broad(20.0, 1), LoadKind::single(0.2, 2)],
        vec![LoadKind::urgent(25.0, 0), LoadKind::broad(0.3, 1)],
        vec![LoadKind::single(100.0, 2).of_customer("a"), LoadKind::urgent(1.0, 0)],
    ]
}

/// Guards against an admission that takes the short queues of an instance with a small part of a core
/// for overload.
#[test]
fn calm_load_of_any_mix_is_admitted() {
    for (number, mix) in calm_mixes().iter().enumerate() {
        for seed in 0..4 {
            let reports = run_load(mix, 300, seed, true, &[]);
            let refused: Vec<_> = reports.iter().map(|report| report.refused()).collect();
            assert!(refused.iter().all(|count| *count == 0), "mix {number}: {refused:?}");
        }
    }
}

/// Guards against refusals after a freeze, which makes one timer late by its whole length.
#[test]
fn a_freeze_causes_no_refusals_beyond_the_requests_that_it_delayed() {
    let freezes = [
        (Timestamp::from_millis(20_000), Duration::from_secs(4)),
        (Timestamp::from_millis(40_000), Duration::from_millis(300)),
    ];
    for mix in calm_mixes() {
        for report in run_load(&mix, 60, 7, true, &freezes) {
            // The requests that arrived during the freeze make a queue, which is gone after 2 s.
            let last = report.last_refusal.unwrap_or_default();
            assert!(last < Timestamp::from_millis(26_000), "{report:?}");
        }
    }
}
