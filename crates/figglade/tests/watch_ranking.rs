//! Assignment of targets to watchers as members change.

use figglade::{
    InstanceId, TargetId,
    controller::watch::{WATCHERS_PER_TARGET, watchers_of},
};

fn members(count: usize) -> Vec<InstanceId> {
    (0..count).map(|number| format!("i{number}").parse().unwrap()).collect()
}

fn target(number: usize) -> TargetId {
    format!("t{number}").parse().unwrap()
}

#[test]
fn the_order_of_members_does_not_matter() {
    let forward = members(20);
    let backward: Vec<_> = forward.iter().rev().cloned().collect();
    for number in 0..100 {
        let one = watchers_of(&target(number), &forward, WATCHERS_PER_TARGET);
        assert_eq!(one, watchers_of(&target(number), &backward, WATCHERS_PER_TARGET));
        assert_eq!(one.len(), WATCHERS_PER_TARGET);
        assert_ne!(one[0], one[1]);
    }
}

#[test]
fn a_member_that_leaves_moves_only_what_it_watched() {
    let before = members(20);
    let gone = before[7].clone();
    let after: Vec<_> = before.iter().filter(|id| **id != gone).cloned().collect();
    let mut moved = 0;
    for number in 0..2_000 {
        let old = watchers_of(&target(number), &before, WATCHERS_PER_TARGET);
        let new = watchers_of(&target(number), &after, WATCHERS_PER_TARGET);
        if old.contains(&gone) {
            moved += 1;
            let kept = old.iter().find(|id| **id != gone).unwrap();
            assert!(new.contains(kept));
        } else {
            assert_eq!(old, new);
        }
    }
    // 2 of 20 members watch each target, so a tenth of the targets is reassigned.
    assert!((140..=260).contains(&moved), "{moved} of 2000 targets were reassigned");
}

#[test]
fn members_fewer_than_watchers_are_all_chosen() {
    assert_eq!(watchers_of(&target(1), &members(1), WATCHERS_PER_TARGET), members(1));
    assert!(watchers_of(&target(1), &[], WATCHERS_PER_TARGET).is_empty());
}

#[test]
fn the_watched_targets_are_spread_evenly() {
    let all = members(10);
    let mut watched = [0_u32; 10];
    for number in 0..5_000 {
        for id in watchers_of(&target(number), &all, WATCHERS_PER_TARGET) {
            watched[all.iter().position(|member| *member == id).unwrap()] += 1;
        }
    }
    assert!(watched.iter().all(|count| (900..=1_100).contains(count)), "{watched:?}");
}
