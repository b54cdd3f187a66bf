//! The mapping from requests to claim groups through buckets.

#[allow(dead_code, reason = "the helpers serve several test files")]
mod ledger_common;

use figglade::controller::ledger::{CLAIM_BUCKETS, ClaimBucket, ClaimBuckets, ClaimGroup};
use ledger_common::request;

/// Returns how many buckets each of `groups` groups owns.
fn owned_counts(buckets: &ClaimBuckets, groups: u16) -> Vec<usize> {
    let mut counts = vec![0; usize::from(groups)];
    for number in 0..60_000 {
        // The requests reach every bucket, so this checks the mapping of requests to owners.
        let bucket = ClaimBucket::of_request(request(0, number));
        assert!(bucket.get() < CLAIM_BUCKETS);
        assert_eq!(buckets.group_of(request(0, number)), buckets.owner_of(bucket));
    }
    for planned in buckets.plan_moves(1) {
        counts[usize::from(planned.from.get())] += 1;
    }
    counts[0] = usize::from(CLAIM_BUCKETS) - counts.iter().sum::<usize>();
    counts
}

#[test]
fn one_group_owns_all_buckets_initially() {
    let buckets = ClaimBuckets::default();
    assert_eq!(buckets.group_of(request(0, 7)), ClaimGroup::default());
    assert_eq!(buckets.plan_moves(1), Vec::new());
}

#[test]
fn moves_balance_the_groups_and_are_minimal() {
    let mut buckets = ClaimBuckets::default();
    for (groups, expected_moves) in [(2, 2_048), (3, 1_365), (7, 2_340), (1, 3_510)] {
        let before = buckets.clone();
        let moves = buckets.plan_moves(groups);
        assert_eq!(moves.len(), expected_moves, "to {groups} groups");
        for planned in &moves {
            assert_ne!(planned.from, planned.to);
            assert!(buckets.apply_move(*planned));
            assert!(!buckets.apply_move(*planned), "a repeated move must have no effect");
        }
        assert_eq!(buckets.fencing_token(), before.fencing_token() + moves.len() as u64);
        let counts = owned_counts(&buckets, groups);
        let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
        assert!(most - least <= 1, "{counts:?}");
        assert_eq!(buckets.plan_moves(groups), Vec::new());
    }
}
