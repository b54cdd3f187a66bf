//! Load tests of admission: broad searches beside urgent ones, and a burst of one kind over all
//! instances, as the instances that scatter searches see it.

mod overload_support;

use overload_support::{KindReport, LoadKind, check_floor, run_load};

const SECONDS: u64 = 40;
/// The seeds of each load; single runs of a few seconds vary.
const SEEDS: std::ops::Range<u64> = 0..5;

/// Runs a mix with several seeds, checks the floor, and returns the reports of each kind without and
/// with admission.
fn compare(mix: &[LoadKind]) -> Vec<(KindReport, KindReport)> {
    let mut sums = vec![(KindReport::default(), KindReport::default()); mix.len()];
    for seed in SEEDS {
        let without = run_load(mix, SECONDS, seed, false, &[]);
        let with = run_load(mix, SECONDS, seed, true, &[]);
        check_floor(&with, SECONDS);
        for ((sum, without), with) in sums.iter_mut().zip(without).zip(with) {
            sum.0.add(without);
            sum.1.add(with);
        }
    }
    sums
}

fn in_goal(reports: &[(KindReport, KindReport)]) -> (usize, usize) {
    reports
        .iter()
        .fold((0, 0), |sum, (without, with)| (sum.0 + without.in_goal, sum.1 + with.in_goal))
}

/// Guards against urgent searches that wait behind broad ones: a burst of broad searches takes one and
/// a half times the thread's time.
#[test]
fn urgent_searches_are_served_beside_a_burst_of_broad_ones() {
    let mix = [
        LoadKind::broad(11.0, 1).with_burst(10, 6, 6.0),
        LoadKind::urgent(6.0, 0),
        LoadKind::single(2.0, 2),
    ];
    let reports = compare(&mix);
    let (without, with) = &reports[1];
    assert_eq!(with.refused(), with.refused_late, "no urgent search gives up its place");
    assert!(with.in_goal > without.in_goal, "{} {}", with.in_goal, without.in_goal);
    let (without, with) = in_goal(&reports);
    assert!(with > without, "{with} {without}");
}

/// Guards against the refusal of urgent searches of a low priority, which cost little, in order to
/// reach a latency goal that broad searches ahead of them prevent.
#[test]
fn urgent_searches_behind_broad_ones_are_not_given_up_in_vain() {
    let mix = [
        LoadKind::broad(11.0, 1).with_burst(10, 5, 4.0),
        LoadKind::urgent(4.0, 2),
        LoadKind::single(3.0, 2),
    ];
    let reports = compare(&mix);
    let shares: Vec<_> = reports.iter().map(|(_, with)| with.admitted_between(10, 15)).collect();
    assert!(shares[1] > 0.25 && shares[2] > 0.25, "{shares:?}");
    let (without, with) = in_goal(&reports);
    assert!(with > without, "{with} {without}");
}

/// Guards against refusals while the demand is at the upper end of its daily swing.
#[test]
fn an_ordinary_swing_of_demand_is_served_whole() {
    let kinds = [LoadKind::broad(11.0, 1), LoadKind::urgent(4.0, 2), LoadKind::single(3.0, 2)];
    for (_, with) in compare(&kinds.map(|kind| kind.with_burst(10, 8, 1.55))) {
        assert_eq!(with.refused(), 0);
    }
}

/// Guards against an admission that lets a burst of all kinds make every answer late.
#[test]
fn a_burst_of_all_kinds_leaves_more_answers_in_time_than_without_admission() {
    let kinds = [LoadKind::broad(11.0, 1), LoadKind::urgent(6.0, 0), LoadKind::single(2.0, 2)];
    let reports = compare(&kinds.map(|kind| kind.with_burst(10, 8, 4.0)));
    let (without, with) = in_goal(&reports);
    assert!(with > without, "{with} {without}");
    let shares: Vec<_> = reports.iter().map(|(_, with)| with.admitted_between(10, 18)).collect();
    assert!(shares[0] <= shares[1], "a more urgent search is served at least as often: {shares:?}");
}
