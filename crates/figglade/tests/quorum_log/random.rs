//! Random schedules with fixed seeds: each kind of fault at any time, alone and combined.

use figglade::{
    InstanceId,
    border::LogStore,
    controller::quorum::{MemberChange, MemberSet, QuorumRole},
};
use rand::{RngExt, seq::IndexedRandom};

use crate::group::{FaultRates, TestGroup, member_id, member_peer};

/// The number of schedules per group size.
const SCHEDULES: u64 = 100;
/// The number of events in one schedule.
const EVENTS: u32 = 2_000;
/// The chance of an operation or a fault after an event, per thousand.
const OPERATION_RATE: u32 = 100;

#[test]
fn three_members_keep_every_invariant() {
    run_schedules(3, 2);
}

#[test]
fn four_members_keep_every_invariant() {
    run_schedules(4, 1);
}

#[test]
fn five_members_keep_every_invariant() {
    run_schedules(5, 0);
}

/// Totals over all schedules, with lower bounds that detect a run in which too little happens.
#[derive(Debug, Default)]
struct ScheduleCounts {
    commits: u64,
    leaders: usize,
    changes: usize,
    reads: usize,
    restores: usize,
    lost_disks: u64,
}

fn run_schedules(voters: u16, spares: u16) {
    let mut counts = ScheduleCounts::default();
    for seed in 0..SCHEDULES {
        let mut group = TestGroup::new(voters, spares, seed);
        group.snapshot_bytes = 700 << 10;
        let max_append_entries = if seed % 2 == 0 { 1 } else { 8 };
        group.restart_all(max_append_entries);
        group.faults = draw_faults(&mut group);
        for _ in 0..EVENTS {
            group.step();
            if group.draw_chance(OPERATION_RATE) {
                run_random_event(&mut group);
            }
        }
        check_recovery(&mut group);
        count_events(&group, &mut counts);
    }
    println!("{voters} voters: {counts:?}");
    assert!(counts.commits > 40 * SCHEDULES, "too few commits: {counts:?}");
    assert!(counts.leaders as u64 > 3 * SCHEDULES, "too few leaders: {counts:?}");
    assert!(counts.changes as u64 > 2 * SCHEDULES, "too few member changes: {counts:?}");
    assert!(counts.reads as u64 > 5 * SCHEDULES, "too few reads: {counts:?}");
    assert!(counts.restores > 20, "too few snapshots: {counts:?}");
    assert!(counts.lost_disks > 20, "too few lost disks: {counts:?}");
}

fn count_events(group: &TestGroup, counts: &mut ScheduleCounts) {
    counts.commits += group.checker.last_committed().get();
    counts.leaders += group.checker.leader_count();
    counts.changes += group.checker.change_count();
    counts.reads += group.members.values().map(|member| member.ready_reads.len()).sum::<usize>();
    counts.restores += group.restore_count;
    counts.lost_disks += group.lost_disk_count;
}

fn draw_faults(group: &mut TestGroup) -> FaultRates {
    let rng = &mut group.rng;
    FaultRates {
        loss: rng.random_range(0..100),
        duplication: rng.random_range(0..100),
        crash: rng.random_range(0..2),
        max_delay_ms: rng.random_range(0..25),
    }
}

/// Carries out one random operation or fault.
fn run_random_event(group: &mut TestGroup) {
    let ids: Vec<_> = group.members.keys().cloned().collect();
    let id = ids.choose(&mut group.rng).expect("a member").clone();
    let other = ids.choose(&mut group.rng).expect("a member").clone();
    let is_running = group.member(&id).node.is_some();
    match group.rng.random_range(0..100) {
        0..2 => group.crash(&id),
        2..5 if may_lose_disk(group, &id) => group.empty_disk(&id),
        5..20 if !is_running => group.restart(&id),
        20..22 => group.set_isolated(&id, true),
        22..24 => drop(group.blocked_links.insert((id, other))),
        24..34 => group.blocked_links.clear(),
        34..42 => change_members(group, &other),
        42..44 if is_running => group.transfer(&id, Some(other)),
        44..50 if is_running => group.compact(&id),
        50..72 => read(group),
        72.. => propose(group),
        _ => {}
    }
}

/// Proposes a command at every member that leads, including an isolated one.
fn propose(group: &mut TestGroup) {
    let ids: Vec<_> = group.members.keys().cloned().collect();
    for id in &ids {
        if group.status(id).is_some() {
            drop(group.propose(id));
        }
    }
}

/// Begins a read at every member that leads, including an isolated one.
fn read(group: &mut TestGroup) {
    let ids: Vec<_> = group.members.keys().cloned().collect();
    for id in &ids {
        if group.status(id).is_some() {
            drop(group.begin_read(id));
        }
    }
}

/// Returns whether the group can lose this disk and still elect a leader.
fn may_lose_disk(group: &TestGroup, id: &InstanceId) -> bool {
    if group.checker.last_committed().get() == 0 {
        return false;
    }
    let stored = group.members.values().filter_map(|member| member.store.members());
    let sets: Vec<_> = stored.chain(group.checker.committed_members()).collect();
    let survives = |set: &MemberSet| {
        let is_lost = |voter: &&InstanceId| *voter == id || is_replaced(group, set, voter);
        set.voters().filter(is_lost).count() + set.majority() <= set.voters().count()
    };
    sets.iter().all(survives) && is_founder_kept(group, id)
}

/// Returns whether one of the first three members, other than `id`, still has its log.
fn is_founder_kept(group: &TestGroup, id: &InstanceId) -> bool {
    (1..=3)
        .map(member_id)
        .any(|founder| founder != *id && group.member(&founder).store.stored().entries.len() > 1)
}

fn is_replaced(group: &TestGroup, set: &MemberSet, id: &InstanceId) -> bool {
    set.storage_of(id) != Some(group.member(id).store.storage_id())
}

/// Removes a member that lost its disk; if there is none, makes a random member change.
fn change_members(group: &mut TestGroup, other: &InstanceId) {
    let Some(leader) = group.leader() else { return };
    let status = group.status(&leader).expect("running");
    let set = status.members;
    let lost =
        set.members.keys().find(|id| set.storage_of(id).is_some() && is_replaced(group, &set, id));
    let change = match lost {
        Some(lost) => MemberChange::Remove { id: lost.clone() },
        None if !set.members.contains_key(other) => {
            MemberChange::AddLearner { id: other.clone(), peer: member_peer(other), storage: None }
        }
        None if set.is_voter(other) => {
            if set.voters().count() <= 2 {
                return;
            }
            MemberChange::Remove { id: other.clone() }
        }
        None => MemberChange::Promote { id: other.clone() },
    };
    drop(group.change(&leader, change));
}

/// Ends all faults and checks that the group elects a leader, commits and brings every member up to
/// date.
fn check_recovery(group: &mut TestGroup) {
    group.faults = FaultRates { max_delay_ms: 2, ..FaultRates::default() };
    group.blocked_links.clear();
    let stopped = group.members.iter().filter(|(_, member)| member.node.is_none());
    for id in stopped.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
        group.restart(&id);
    }
    group.run_for(500);
    let leader = group.run_until_leader_ready();
    let index = group.commit(&leader);
    group.run_until("every member to catch up", |group| {
        let leader = group.leader().and_then(|id| group.status(&id));
        let Some(status) = leader.filter(|status| status.role == QuorumRole::Leader) else {
            return false;
        };
        let is_current = |id: &InstanceId| {
            is_replaced(group, &status.members, id)
                || group.status(id).is_some_and(|found| found.commit >= index)
        };
        status.members.members.keys().all(is_current)
    });
}
