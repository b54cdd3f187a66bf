//! The directory on several instances: dissemination, drains, lapses and loading.

mod membership_support;

use std::{collections::BTreeMap, time::Duration};

use figglade::{
    TargetId,
    controller::directory::{EffectiveState, TargetDirectory},
    wire::TargetState,
};
use membership_support::{
    Fleet, NetworkFaults, address,
    targets::{announcement, target},
};

const MINUTE: Duration = Duration::from_secs(60);

/// The time within which an announcement must reach every instance.
const SPREAD_LIMIT: Duration = Duration::from_secs(2);

/// Starts `count` instances and waits until all have joined and loaded the directory.
fn loaded_fleet(seed: u64, faults: NetworkFaults, count: u16) -> Fleet {
    let mut fleet = Fleet::with_nodes(seed, faults, count);
    let loaded = |fleet: &Fleet| {
        fleet.has_converged() && fleet.nodes.values().all(|node| node.directory.is_synced())
    };
    fleet.run_until(2 * MINUTE, loaded).expect("the fleet starts");
    fleet
}

fn state_at(directory: &TargetDirectory, number: u32) -> Option<EffectiveState> {
    directory.record(&target(number)).map(|entry| entry.effective_state())
}

fn is_everywhere(fleet: &Fleet, number: u32, state: EffectiveState) -> bool {
    fleet.nodes.values().all(|node| state_at(&node.directory, number) == Some(state))
}

/// Announces targets `0..count` every second for `seconds`, each to a random instance.
fn renew_for(fleet: &mut Fleet, count: u32, seconds: u32) {
    for _ in 0..seconds {
        for number in 0..count {
            announce_to_random_node(fleet, number, 1, TargetState::Ready);
        }
        fleet.run_for(Duration::from_secs(1));
    }
}

fn announce_to_random_node(fleet: &mut Fleet, number: u32, incarnation: u64, state: TargetState) {
    let listening: Vec<_> = fleet.nodes.keys().copied().collect();
    let chosen = listening[fleet.random_u64() as usize % listening.len()];
    let (now, wall) = (fleet.now, fleet.wall());
    let directory = &mut fleet.node_at(chosen).directory;
    // A refusal is a valid answer to a target, so the result is ignored.
    let _ = directory.apply_announcement(announcement(number, incarnation, state), now, wall);
}

#[test]
fn an_announcement_reaches_every_instance_within_two_seconds() {
    for seed in 0..10 {
        let faults = if seed % 2 == 0 { NetworkFaults::NONE } else { NetworkFaults::LOSSY };
        let mut fleet = loaded_fleet(seed, faults, 10);
        fleet.announce(3, announcement(1, 1, TargetState::Ready)).unwrap();
        let known = |fleet: &Fleet| is_everywhere(fleet, 1, EffectiveState::Ready);
        let took = fleet.run_until(MINUTE, known).expect("the announcement spreads");
        assert!(took <= SPREAD_LIMIT, "seed {seed} took {took:?}");
    }
}

#[test]
fn a_drain_overtakes_a_burst_and_late_copies_do_not_undo_it() {
    let mut slowest = Duration::ZERO;
    for seed in 20..30 {
        let mut fleet = loaded_fleet(seed, NetworkFaults::NONE, 10);
        fleet.announce(0, announcement(0, 1, TargetState::Ready)).unwrap();
        fleet.run_for(Duration::from_secs(2));
        for number in 1..400 {
            fleet.announce(1, announcement(number, 1, TargetState::Ready)).unwrap();
        }
        fleet.announce(1, announcement(0, 1, TargetState::Draining)).unwrap();
        let drained = |fleet: &Fleet| is_everywhere(fleet, 0, EffectiveState::Draining);
        let took = fleet.run_until(MINUTE, drained).expect("the drain spreads");
        slowest = slowest.max(took);
        for number in 0..10 {
            fleet.announce(number, announcement(0, 1, TargetState::Ready)).unwrap();
        }
        fleet.run_for(Duration::from_secs(1));
        assert!(drained(&fleet), "seed {seed}");
    }
    println!("slowest drain among 400 announcements: {slowest:?}");
    assert!(slowest <= SPREAD_LIMIT, "{slowest:?}");
}

#[test]
fn renewals_at_any_instance_keep_a_target_everywhere() {
    let mut fleet = loaded_fleet(40, NetworkFaults::NONE, 7);
    for _ in 0..60 {
        renew_for(&mut fleet, 20, 1);
        let live = (0..20).all(|number| is_everywhere(&fleet, number, EffectiveState::Ready));
        assert!(live || fleet.now.as_micros() < 10_000_000, "at {}", fleet.now);
    }
}

#[test]
fn a_silent_target_lapses_everywhere_and_comes_back() {
    let mut fleet = loaded_fleet(50, NetworkFaults::NONE, 7);
    renew_for(&mut fleet, 10, 5);
    let limit = fleet.node(0).directory.lapse_timeout() + Duration::from_secs(2);
    let lapsed =
        |fleet: &Fleet| (0..10).all(|number| is_everywhere(fleet, number, EffectiveState::Lapsed));
    fleet.run_until(limit, lapsed).expect("all lapse in time");
    announce_to_random_node(&mut fleet, 4, 1, TargetState::Ready);
    let back = |fleet: &Fleet| is_everywhere(fleet, 4, EffectiveState::Ready);
    fleet.run_until(SPREAD_LIMIT, back).expect("the return spreads");
}

#[test]
fn a_target_lapses_though_both_of_its_watchers_crashed() {
    let mut fleet = loaded_fleet(60, NetworkFaults::NONE, 8);
    renew_for(&mut fleet, 1, 3);
    let watching: Vec<_> = fleet
        .nodes
        .iter()
        .filter(|(_, node)| node.directory.len_watched() == 1)
        .map(|(listen, _)| *listen)
        .collect();
    assert_eq!(watching.len(), 2);
    for listen in watching {
        fleet.crash(listen);
    }
    let lapsed = |fleet: &Fleet| is_everywhere(fleet, 0, EffectiveState::Lapsed);
    fleet.run_until(MINUTE, lapsed).expect("new watchers let it lapse");
}

#[test]
fn a_nearly_isolated_watcher_lapses_no_target() {
    let mut fleet = loaded_fleet(70, NetworkFaults::NONE, 6);
    renew_for(&mut fleet, 12, 3);
    assert!(fleet.node(0).directory.len_watched() > 0);
    // Instance 0 still reaches instance 1, so no instance declares it dead.
    for number in 2..6 {
        fleet.partition(&[address(number)], &[address(0)]);
    }
    for round in 0..7 {
        for number in 0..12 {
            let at = 2 + (fleet.random_u64() % 4) as u16;
            fleet.announce(at, announcement(number, 1, TargetState::Ready)).unwrap();
        }
        let lapsed = |fleet: &Fleet| {
            (2..6).any(|at| fleet.node(at).directory.records().any(|entry| !entry.is_live()))
        };
        let seen = fleet.run_until(Duration::from_secs(1), lapsed);
        assert!(seen.is_none(), "a target lapsed in round {round}");
    }
}

#[test]
fn a_cold_instance_loads_the_whole_directory_before_it_is_synced() {
    let lossy = (81..87).map(|seed| (seed, NetworkFaults::LOSSY));
    for (seed, faults) in std::iter::once((80, NetworkFaults::NONE)).chain(lossy) {
        let mut fleet = loaded_fleet(seed, faults, 3);
        for number in 0..3_000 {
            fleet.announce(0, announcement(number, 1, TargetState::Ready)).unwrap();
        }
        let spread = |fleet: &Fleet| fleet.nodes.values().all(|node| node.directory.len() == 3_000);
        fleet.run_until(2 * MINUTE, spread).expect("the burst spreads");
        fleet.start(7, address(7));
        let synced = |fleet: &Fleet| fleet.node(7).directory.is_synced();
        let took = fleet.run_until(MINUTE, synced).expect("the cold instance loads");
        println!("seed {seed}: 3000 targets loaded in {took:?}");
        assert_eq!(fleet.node(7).directory.len(), 3_000);
    }
}

#[test]
fn a_fleet_that_starts_cold_becomes_synced() {
    let fleet = loaded_fleet(90, NetworkFaults::NONE, 5);
    assert!(fleet.now.as_micros() <= 15_000_000, "took until {}", fleet.now);
}

#[test]
fn partitioned_halves_agree_after_the_partition_ends() {
    let mut fleet = loaded_fleet(95, NetworkFaults::NONE, 6);
    renew_for(&mut fleet, 10, 2);
    let all: Vec<_> = (0..6).map(address).collect();
    fleet.partition(&all[..3], &all[3..]);
    fleet.run_for(MINUTE);
    fleet.announce(0, announcement(100, 1, TargetState::Ready)).unwrap();
    fleet.announce(5, announcement(200, 1, TargetState::Draining)).unwrap();
    fleet.blocked_links.clear();
    let both_known = |fleet: &Fleet| {
        let both = |directory: &TargetDirectory| {
            let has_target = |number| directory.record(&target(number)).is_some();
            has_target(100) && has_target(200)
        };
        fleet.nodes.values().all(|node| both(&node.directory))
    };
    let took = fleet.run_until(MINUTE, both_known).expect("the halves agree");
    println!("converged in {took:?}");
}

/// The highest incarnation and state announced for each target, by its number.
type Announced = BTreeMap<u32, (u64, TargetState)>;

#[test]
fn random_schedules_converge_to_one_directory_without_reverting_any_state() {
    for seed in 300..316 {
        let mut fleet = loaded_fleet(seed, NetworkFaults::LOSSY, 5);
        let mut announced = Announced::new();
        for round in 0..40 {
            for _ in 0..4 {
                announce_random_state(&mut fleet, &mut announced);
            }
            if round % 10 == 5 {
                let all: Vec<_> = fleet.nodes.keys().copied().collect();
                let split = 1 + fleet.random_u64() as usize % (all.len() - 1);
                fleet.partition(&all[..split], &all[split..]);
            } else if round % 10 == 8 {
                fleet.blocked_links.clear();
            }
            let pause = fleet.random_u64() % 1_000;
            fleet.run_for(Duration::from_millis(pause));
        }
        fleet.blocked_links.clear();
        fleet.faults = NetworkFaults::NONE;
        fleet.run_for(MINUTE);
        check_agreement(&fleet, &announced, seed);
    }
}

/// Announces the next state of a random target, or replays its current or an earlier one.
fn announce_random_state(fleet: &mut Fleet, announced: &mut Announced) {
    let number = (fleet.random_u64() % 12) as u32;
    let (incarnation, state) = *announced.entry(number).or_insert((1, TargetState::Starting));
    let next = match state {
        TargetState::Starting => (incarnation, TargetState::Ready),
        TargetState::Ready => (incarnation, TargetState::Draining),
        TargetState::Draining => (incarnation, TargetState::Gone),
        TargetState::Gone => (incarnation + 1, TargetState::Starting),
    };
    let replayed = match fleet.random_u64() % 3 {
        0 => {
            announced.insert(number, next);
            next
        }
        1 => (incarnation, TargetState::Ready.min(state)),
        _ => (incarnation, state),
    };
    announce_to_random_node(fleet, number, replayed.0, replayed.1);
}

/// Checks that all instances hold the same directory, and no state earlier than the one announced.
fn check_agreement(fleet: &Fleet, announced: &Announced, seed: u64) {
    let view = |directory: &TargetDirectory| -> Vec<(TargetId, u64, EffectiveState)> {
        let entries = directory.records();
        entries
            .map(|entry| {
                let announcement = entry.announcement();
                let incarnation = announcement.incarnation.get();
                (announcement.target_id.clone(), incarnation, entry.effective_state())
            })
            .collect()
    };
    let first = view(&fleet.node(0).directory);
    for node in fleet.nodes.values() {
        assert_eq!(view(&node.directory), first, "seed {seed}");
    }
    for (number, (incarnation, state)) in announced {
        let entry = fleet.node(0).directory.record(&target(*number)).unwrap();
        let held = (entry.announcement().incarnation.get(), entry.announcement().state);
        assert!(
            held >= (*incarnation, *state),
            "seed {seed}: target {number} reverted to an earlier state"
        );
    }
}
