//! Division of caps among holders, and the choice of watchers.

use std::collections::BTreeSet;

use figglade::{InstanceId, TargetId, controller::share::divided_share};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn holders(count: usize) -> BTreeSet<InstanceId> {
    (0..count).map(|number| format!("i{number}").parse().unwrap()).collect()
}

#[test]
fn the_shares_add_up_to_the_cap() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..500 {
        let cap = rng.random_range(0..200);
        let set = holders(rng.random_range(1..80));
        let target: TargetId = format!("t{}", rng.random_range(0..1_000)).parse().unwrap();
        let shares: Vec<u32> = set.iter().map(|me| divided_share(cap, &target, &set, me)).collect();
        assert_eq!(shares.iter().sum::<u32>(), cap);
        let spread = shares.iter().max().unwrap() - shares.iter().min().unwrap();
        assert!(spread <= 1, "{shares:?}");
    }
}

#[test]
fn with_fewer_connections_than_holders_some_hold_one() {
    let set = holders(10);
    let target: TargetId = "t1".parse().unwrap();
    let ones = set.iter().filter(|me| divided_share(3, &target, &set, me) == 1).count();
    assert_eq!(ones, 3);
}

#[test]
fn what_is_left_over_is_spread_over_the_holders() {
    let set = holders(10);
    let mut taken = [0_u32; 10];
    for number in 0..1_000 {
        let target: TargetId = format!("t{number}").parse().unwrap();
        for (position, me) in set.iter().enumerate() {
            taken[position] += divided_share(33, &target, &set, me) - 3;
        }
    }
    assert!(taken.iter().all(|extra| (240..=360).contains(extra)), "{taken:?}");
}

#[test]
fn an_instance_outside_the_holders_has_no_share() {
    let stranger: InstanceId = "other".parse().unwrap();
    assert_eq!(divided_share(30, &"t1".parse().unwrap(), &holders(3), &stranger), 0);
    assert_eq!(divided_share(30, &"t1".parse().unwrap(), &BTreeSet::new(), &stranger), 0);
}
