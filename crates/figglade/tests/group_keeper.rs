//! Tests the bootstrap and repair of the control group without an operator.

use std::collections::BTreeMap;

use figglade::{
    InstanceId, Timestamp,
    controller::{
        group_keeper::{
            BorneLosses, GroupKeeper, JoinRequest, SETTLED_TIME, SeedKind, borne_losses,
            is_founder, tolerates_losses,
        },
        quorum::{
            LogIndex, MemberChange, MemberRole, MemberSet, MemberSpec, QuorumRole, QuorumStatus,
            StorageId, Term,
        },
    },
};

fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn join(name: &str) -> JoinRequest {
    JoinRequest {
        id: id(name),
        peer: "10.0.0.1:7000".parse().unwrap(),
        storage: StorageId::default(),
        is_leaving: false,
    }
}

/// The status of a group whose leader is `a`; all members have replicated every entry.
fn status(voters: &[&str], learners: &[&str]) -> QuorumStatus {
    let mut members = MemberSet::default();
    let mut progress = BTreeMap::new();
    let roles = voters.iter().map(|name| (name, MemberRole::Voter));
    for (name, role) in roles.chain(learners.iter().map(|name| (name, MemberRole::Learner))) {
        let peer = "10.0.0.1:7000".parse().unwrap();
        let spec = MemberSpec { peer, storage: Some(StorageId::default()), role };
        members.members.insert(id(name), spec);
        progress.insert(id(name), LogIndex::new(9));
    }
    QuorumStatus {
        role: QuorumRole::Leader,
        term: Term::new(1),
        leader: Some(id("a")),
        commit: LogIndex::new(9),
        last: LogIndex::new(9),
        snapshot: LogIndex::default(),
        members,
        progress,
        replaced_storage: Vec::new(),
        pending_change: None,
        is_forgotten: false,
        is_bootstrapping: false,
    }
}

fn keeper_with_greetings(names: &[&str], now: Timestamp) -> GroupKeeper {
    let mut keeper = GroupKeeper::new(id("a"), 1);
    for name in names {
        keeper.handle_greeting(join(name), now);
    }
    keeper
}

#[test]
fn only_the_first_seed_with_a_disk_bootstraps_the_group() {
    let (unknown, disk, none) = (SeedKind::Unknown, SeedKind::WithDisk, SeedKind::WithoutDisk);
    assert!(is_founder(true, true, Some(&[])));
    assert!(is_founder(true, true, Some(&[none, none])));
    for earlier in [&[unknown][..], &[disk], &[none, unknown]] {
        assert!(!is_founder(true, true, Some(earlier)), "{earlier:?}");
    }
    assert!(!is_founder(true, true, None), "an instance that is not a seed");
    assert!(!is_founder(false, true, Some(&[])), "a disk that was emptied later");
    assert!(!is_founder(true, false, Some(&[])), "a disk that has a log");
}

#[test]
fn the_group_grows_until_it_tolerates_the_losses() {
    let mut keeper = keeper_with_greetings(&["b", "c", "d"], at(0));
    let mut voters = vec!["a"];
    for next in ["b", "c"] {
        let change = keeper.next_change(&status(&voters, &[]), at(10));
        assert!(
            matches!(change, Some(MemberChange::AddLearner { id: added, .. }) if added == id(next))
        );
        let change = keeper.next_change(&status(&voters, &[next]), at(20));
        assert_eq!(change, Some(MemberChange::Promote { id: id(next) }));
        voters.push(next);
    }
    // The fourth member stays a learner, ready to replace a voter.
    let change = keeper.next_change(&status(&voters, &[]), at(30));
    assert!(matches!(change, Some(MemberChange::AddLearner { id: added, .. }) if added == id("d")));
    assert_eq!(keeper.next_change(&status(&voters, &["d"]), at(40)), None);
}

#[test]
fn nothing_is_acknowledged_before_a_commit_is_on_enough_disks() {
    for is_first in [true, false] {
        assert!(!tolerates_losses(&status(&["a"], &["b", "c"]), 1, is_first));
        assert!(tolerates_losses(&status(&["a", "b", "c"], &[]), 1, is_first));
        assert!(!tolerates_losses(&status(&["a", "b", "c"], &[]), 2, is_first));
        assert!(tolerates_losses(&status(&["a", "b", "c", "d", "e"], &[]), 2, is_first));
        assert!(tolerates_losses(&status(&["a"], &[]), 0, is_first));
    }
    // If one of two voters loses its disk, the group can no longer elect a leader.
    assert!(!tolerates_losses(&status(&["a", "b"], &["c"]), 1, true));
    assert!(
        tolerates_losses(&status(&["a", "b"], &["c"]), 1, false),
        "the group is being repaired"
    );
}

#[test]
fn a_learner_that_lags_is_not_promoted() {
    let mut keeper = keeper_with_greetings(&["b"], at(0));
    let mut lagging = status(&["a"], &["b"]);
    lagging.progress.insert(id("b"), LogIndex::new(3));
    assert_eq!(keeper.next_change(&lagging, at(10)), None);
}

#[test]
fn a_member_with_an_emptied_disk_is_removed_first() {
    let mut keeper = keeper_with_greetings(&["b", "c", "d"], at(0));
    let mut emptied = status(&["a", "b", "c"], &["d"]);
    emptied.replaced_storage.push(id("b"));
    let change = keeper.next_change(&emptied, at(10));
    assert_eq!(change, Some(MemberChange::Remove { id: id("b") }));
}

#[test]
fn an_unreachable_voter_is_replaced_only_if_a_learner_has_caught_up() {
    let mut keeper = keeper_with_greetings(&["b", "c"], at(0));
    keeper.next_change(&status(&["a", "b", "c"], &[]), at(0));
    for millis in [1_000, 2_000, 3_000, 9_000] {
        keeper.handle_greeting(join("b"), at(millis));
        let change = keeper.next_change(&status(&["a", "b", "c"], &[]), at(millis));
        assert_eq!(change, None, "no learner can replace the voter");
    }
    keeper.handle_greeting(join("d"), at(9_000));
    let change = keeper.next_change(&status(&["a", "b", "c"], &["d"]), at(9_100));
    assert_eq!(change, Some(MemberChange::Remove { id: id("c") }));
    let change = keeper.next_change(&status(&["a", "b"], &["d"]), at(9_200));
    assert_eq!(change, Some(MemberChange::Promote { id: id("d") }));
}

#[test]
fn no_voter_is_replaced_while_a_second_one_is_unreachable() {
    let mut keeper = keeper_with_greetings(&["b", "c", "d"], at(0));
    keeper.next_change(&status(&["a", "b", "c"], &["d"]), at(0));
    keeper.handle_greeting(join("d"), at(8_000));
    assert_eq!(keeper.next_change(&status(&["a", "b", "c"], &["d"]), at(8_100)), None);
}

#[test]
fn a_new_leader_ignores_the_time_before_its_term() {
    let mut keeper = keeper_with_greetings(&["b", "d"], at(60_000));
    let group = status(&["a", "b", "c"], &["d"]);
    assert_eq!(keeper.next_change(&group, at(60_100)), None);
    keeper.handle_greeting(join("b"), at(62_900));
    keeper.handle_greeting(join("d"), at(62_900));
    let change = keeper.next_change(&group, at(63_000));
    assert_eq!(change, Some(MemberChange::Remove { id: id("c") }));
}

#[test]
fn nothing_is_proposed_by_a_follower_or_during_a_pending_change() {
    let mut keeper = keeper_with_greetings(&["b", "c"], at(0));
    let mut follower = status(&["a"], &["b"]);
    follower.leader = Some(id("b"));
    assert_eq!(keeper.next_change(&follower, at(10)), None);
    let mut pending = status(&["a"], &["b"]);
    pending.pending_change = Some(LogIndex::new(10));
    assert_eq!(keeper.next_change(&pending, at(10)), None);
}

/// Lets the keeper look at the group every 500 ms, with greetings of `names`, and returns whether it
/// counts as settled at the end.
fn watch(
    keeper: &mut GroupKeeper,
    status: &QuorumStatus,
    names: &[&str],
    millis: std::ops::RangeInclusive<u64>,
) -> bool {
    let mut is_settled = false;
    for now in millis.step_by(500) {
        for name in names {
            keeper.handle_greeting(join(name), at(now));
        }
        is_settled = keeper.is_settled(status, at(now));
    }
    is_settled
}

/// Guards against a deployment with too few machines with a disk, which never acknowledged its first
/// route set, and against one that acknowledges it while the group still grows.
#[test]
fn a_complete_group_that_stays_small_settles() {
    let settled = SETTLED_TIME.as_millis() as u64;
    let group = status(&["a", "b"], &[]);
    let mut keeper = GroupKeeper::new(id("a"), 1);
    assert!(!watch(&mut keeper, &group, &["b"], 0..=settled - 500));
    assert!(!tolerates_losses(&group, 1, true), "it may still grow");
    assert!(watch(&mut keeper, &group, &["b"], settled..=settled));
    assert!(tolerates_losses(&group, 1, false));
    let losses = borne_losses(&group.members);
    assert_eq!(losses, BorneLosses { durable: 1, available: 0 });
    // It settles also if it cannot bear the losses; nothing is acknowledged then.
    assert!(!tolerates_losses(&status(&["a", "b", "c"], &[]), 2, false));
}

/// Guards against a first route set that is acknowledged by a group in which a member is about to join,
/// is not reachable, or has just been replaced.
#[test]
fn a_group_that_changes_or_lacks_a_member_does_not_settle() {
    let settled = SETTLED_TIME.as_millis() as u64;
    let whole = status(&["a", "b"], &[]);
    let mut follower = whole.clone();
    follower.leader = Some(id("b"));
    let mut pending = whole.clone();
    pending.pending_change = Some(LogIndex::new(10));
    let mut replaced = whole.clone();
    replaced.replaced_storage.push(id("b"));
    let cases = [
        ("a hub with a disk is no voter", whole.clone(), &["b", "c"][..]),
        ("it is a learner", status(&["a", "b"], &["c"]), &["b", "c"]),
        ("a voter is unreachable", whole.clone(), &[]),
        ("another member leads", follower, &["b"]),
        ("a change is not committed", pending, &["b"]),
        ("a disk was emptied", replaced, &["b"]),
    ];
    for (what, group, names) in cases {
        let mut keeper = GroupKeeper::new(id("a"), 1);
        assert!(!watch(&mut keeper, &group, names, 0..=3 * settled), "{what}");
        // The time counts from the moment from which the group is whole.
        let start = 3 * settled + 2_000;
        assert!(!watch(&mut keeper, &whole, &["b"], start..=start + settled - 500), "{what}");
        assert!(watch(&mut keeper, &whole, &["b"], start + settled..=start + settled), "{what}");
    }
    // A late joiner, once it is a voter, starts the time again.
    let mut keeper = GroupKeeper::new(id("a"), 1);
    assert!(watch(&mut keeper, &whole, &["b"], 0..=settled));
    let larger = status(&["a", "b", "c"], &[]);
    assert!(!watch(&mut keeper, &larger, &["b", "c"], settled..=2 * settled - 500));
}

#[test]
fn the_losses_that_a_group_bears_follow_from_its_voters() {
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    let borne = |count| borne_losses(&status(&names[..count], &[]).members);
    for (count, durable, available) in
        [(1, 0, 0), (2, 1, 0), (3, 1, 1), (4, 2, 1), (5, 2, 2), (6, 3, 2), (7, 3, 3)]
    {
        assert_eq!(borne(count), BorneLosses { durable, available }, "{count} voters");
    }
}
