//! Tests the division of connection caps among holders.

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
        let shares: Vec<u32> =
            set.iter().map(|instance| divided_share(cap, &target, &set, instance)).collect();
        assert_eq!(shares.iter().sum::<u32>(), cap);
        let spread = shares.iter().max().unwrap() - shares.iter().min().unwrap();
        assert!(spread <= 1, "{shares:?}");
    }
}

#[test]
fn with_fewer_connections_than_holders_some_holders_get_one() {
    let set = holders(10);
    let target: TargetId = "t1".parse().unwrap();
    let ones = set.iter().filter(|instance| divided_share(3, &target, &set, instance) == 1).count();
    assert_eq!(ones, 3);
}

#[test]
fn the_remainder_is_spread_over_the_holders() {
    let set = holders(10);
    let mut extras = [0_u32; 10];
    for number in 0..1_000 {
        let target: TargetId = format!("t{number}").parse().unwrap();
        for (position, instance) in set.iter().enumerate() {
            extras[position] += divided_share(33, &target, &set, instance) - 3;
        }
    }
    assert!(extras.iter().all(|extra| (240..=360).contains(extra)), "{extras:?}");
}

#[test]
fn an_instance_outside_the_holders_has_no_share() {
    let outsider: InstanceId = "other".parse().unwrap();
    assert_eq!(divided_share(30, &"t1".parse().unwrap(), &holders(3), &outsider), 0);
    assert_eq!(divided_share(30, &"t1".parse().unwrap(), &BTreeSet::new(), &outsider), 0);
}
