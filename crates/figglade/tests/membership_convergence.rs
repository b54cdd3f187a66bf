//! Membership under joins, crashes, restarts, leaves and network partitions.

mod membership_support;

use std::time::Duration;

use figglade::{
    ConfigVersion, Incarnation,
    controller::membership::{LeaderHint, MemberState},
    controller::quorum::Term,
};
use membership_support::{Fleet, NetworkFaults, address, instance};

const MINUTE: Duration = Duration::from_secs(60);

/// Starts `count` instances and waits until each knows all others.
fn joined_fleet(seed: u64, faults: NetworkFaults, count: u16) -> Fleet {
    let mut fleet = Fleet::with_nodes(seed, faults, count);
    fleet.run_until(MINUTE, Fleet::has_converged).expect("the fleet joins");
    fleet
}

#[test]
fn ten_instances_converge_within_two_seconds() {
    let mut fleet = Fleet::with_nodes(1, NetworkFaults::NONE, 10);
    let took = fleet.run_until(MINUTE, Fleet::has_converged).expect("the fleet joins");
    assert!(took <= Duration::from_secs(2), "took {took:?}");
}

#[test]
fn the_first_instance_of_a_fleet_joins_alone_after_a_timeout() {
    let mut fleet = Fleet::with_nodes(9, NetworkFaults::NONE, 1);
    assert!(!fleet.node(0).membership.has_joined());
    let started = |fleet: &Fleet| {
        fleet.node(0).membership.has_joined() && fleet.node(0).directory.is_synced()
    };
    fleet.run_until(MINUTE, started).expect("the instance joins alone");
    fleet.start(1, address(1));
    fleet.run_until(MINUTE, Fleet::has_converged).expect("a later instance joins it");
}

#[test]
fn a_fleet_joins_over_a_lossy_network() {
    for seed in 0..8 {
        let fleet = joined_fleet(seed, NetworkFaults::LOSSY, 7);
        assert!(fleet.nodes.values().all(|node| node.membership.len_alive() == 7));
    }
}

#[test]
fn a_crash_is_detected_by_every_instance() {
    let mut fleet = joined_fleet(2, NetworkFaults::NONE, 10);
    fleet.crash(address(4));
    let took = fleet.run_until(MINUTE, Fleet::has_converged).expect("the crash is detected");
    assert!(took <= Duration::from_secs(12), "took {took:?}");
    let state = fleet.node(0).membership.member(&instance(4)).unwrap().state;
    assert_eq!(state, MemberState::Dead);
}

#[test]
fn a_leave_reaches_every_instance_within_a_second_and_is_not_a_failure() {
    let mut fleet = joined_fleet(3, NetworkFaults::NONE, 10);
    let now = fleet.now;
    fleet.node_mut(7).membership.begin_leave(now);
    let gone = |fleet: &Fleet| {
        fleet
            .nodes
            .values()
            .all(|node| node.membership.member(&instance(7)).unwrap().state == MemberState::Left)
    };
    let took = fleet.run_until(MINUTE, gone).expect("the leave reaches every instance");
    assert!(took <= Duration::from_secs(1), "took {took:?}");
    fleet
        .run_until(MINUTE, |fleet| fleet.node(7).membership.has_left())
        .expect("the instance may stop");
    fleet.crash(address(7));
    fleet.run_for(MINUTE);
    assert!(gone(&fleet) && fleet.has_converged());
}

#[test]
fn a_restart_at_a_new_address_replaces_the_old_member() {
    let mut fleet = joined_fleet(4, NetworkFaults::NONE, 6);
    fleet.crash(address(3));
    fleet.start(3, address(33));
    fleet.run_until(MINUTE, Fleet::has_converged).expect("the restart is known");
    let member = fleet.node(0).membership.member(&instance(3)).unwrap();
    assert_eq!(member.peer, address(33));
    assert_eq!(member.state, MemberState::Alive);
}

#[test]
fn an_old_process_learns_that_it_was_replaced() {
    let mut fleet = joined_fleet(5, NetworkFaults::NONE, 4);
    fleet.run_for(MINUTE);
    fleet.start(2, address(22));
    let superseded = |fleet: &Fleet| fleet.node(2).superseded;
    fleet.run_until(MINUTE, superseded).expect("the old process is notified");
    assert!(!fleet.nodes[&address(22)].superseded);
}

#[test]
fn a_restart_with_a_clock_set_back_still_replaces_the_old_process() {
    let mut fleet = joined_fleet(6, NetworkFaults::NONE, 4);
    fleet.crash(address(2));
    fleet.start_with(2, address(22), Incarnation::new(5));
    fleet.run_until(MINUTE, Fleet::has_converged).expect("the restart is known");
    let member = fleet.node(0).membership.member(&instance(2)).unwrap();
    assert_eq!(member.peer, address(22));
}

#[test]
fn one_way_loss_declares_no_member_dead() {
    for seed in 10..14 {
        let mut fleet = joined_fleet(seed, NetworkFaults::NONE, 6);
        fleet.blocked_links.insert((address(1), address(2)));
        fleet.blocked_links.insert((address(4), address(0)));
        fleet.run_for(3 * MINUTE);
        let died = fleet
            .nodes
            .values()
            .any(|node| node.member_events.iter().any(|(_, _, state)| *state == MemberState::Dead));
        assert!(!died, "seed {seed}");
    }
}

#[test]
fn partitioned_halves_rejoin() {
    for seed in 20..24 {
        let mut fleet = joined_fleet(seed, NetworkFaults::NONE, 8);
        let all: Vec<_> = (0..8).map(address).collect();
        fleet.partition(&all[..4], &all[4..]);
        fleet.run_for(5 * MINUTE);
        assert!(fleet.nodes.values().all(|node| node.membership.len_alive() == 4));
        fleet.blocked_links.clear();
        let took = fleet.run_until(MINUTE, Fleet::has_converged).expect("the halves join");
        assert!(took <= Duration::from_secs(30), "seed {seed} took {took:?}");
    }
}

#[test]
fn the_fleet_converges_after_random_faults_end() {
    for seed in 100..120 {
        let mut fleet = joined_fleet(seed, NetworkFaults::LOSSY, 7);
        let mut next_port = 50;
        for _ in 0..12 {
            inject_fault(&mut fleet, &mut next_port);
            let pause = fleet.random_u64() % 8_000;
            fleet.run_for(Duration::from_millis(pause));
        }
        fleet.blocked_links.clear();
        fleet.faults = NetworkFaults::NONE;
        let converged = fleet.run_until(3 * MINUTE, Fleet::has_converged);
        assert!(converged.is_some(), "seed {seed} did not converge");
    }
}

/// Blocks one link, partitions the network, unblocks all links or restarts an instance, at random.
fn inject_fault(fleet: &mut Fleet, next_port: &mut u16) {
    let listening: Vec<_> = fleet.nodes.keys().copied().collect();
    let one = listening[fleet.random_u64() as usize % listening.len()];
    let other = listening[fleet.random_u64() as usize % listening.len()];
    match fleet.random_u64() % 4 {
        0 => {
            fleet.blocked_links.insert((one, other));
        }
        1 => {
            let split = fleet.random_u64() as usize % listening.len();
            let (left, right) = listening.split_at(split);
            fleet.partition(left, right);
        }
        2 => fleet.blocked_links.clear(),
        _ => restart(fleet, one, next_port),
    }
}

/// Restarts the instance at `listen` at another address; seeds keep their address.
fn restart(fleet: &mut Fleet, listen: std::net::SocketAddr, next_port: &mut u16) {
    let id = fleet.nodes[&listen].membership.alive().find(|member| member.peer == listen);
    let Some(number) = id.and_then(|member| member.id.as_str()[1..].parse().ok()) else { return };
    fleet.crash(listen);
    fleet.run_for(Duration::from_millis(5));
    if number < 2 {
        fleet.start(number, listen);
    } else {
        *next_port += 1;
        fleet.start(number, address(*next_port));
    }
}

#[test]
fn a_configuration_version_reaches_every_instance_within_600_ms() {
    let mut slowest = Duration::ZERO;
    for seed in 200..220 {
        let mut fleet = joined_fleet(seed, NetworkFaults::NONE, 10);
        fleet.run_for(MINUTE);
        let now = fleet.now;
        let hint = LeaderHint { term: Term::new(3), instance: instance(0) };
        fleet.node_mut(0).membership.set_facts(ConfigVersion::new(7), Some(hint), true, now);
        let known = |fleet: &Fleet| {
            fleet.nodes.values().all(|node| node.membership.highest_config().get() == 7)
        };
        let took = fleet.run_until(MINUTE, known).expect("the configuration version spreads");
        slowest = slowest.max(took);
        let notified = fleet.nodes.values().filter(|node| node.newer_configs == [7]).count();
        assert_eq!(notified, 9, "each other instance is notified once to fetch it");
    }
    println!("slowest of 20 seeds: {slowest:?}");
    assert!(slowest <= Duration::from_millis(600), "slowest {slowest:?}");
}

#[test]
fn facts_of_each_instance_reach_all_others_and_never_go_back() {
    let mut fleet = joined_fleet(7, NetworkFaults::LOSSY, 8);
    for version in 1..=5 {
        for number in 0..8 {
            let now = fleet.now;
            let version = ConfigVersion::new(version);
            fleet.node_mut(number).membership.set_facts(version, None, true, now);
        }
        let now = fleet.now;
        fleet.node_mut(3).membership.set_facts(ConfigVersion::new(0), None, true, now);
        let in_force = |fleet: &Fleet| {
            fleet.nodes.values().all(|node| {
                node.membership.alive().all(|member| {
                    member.facts.config_version.get() == version && member.facts.ready
                })
            })
        };
        fleet.run_until(MINUTE, in_force).expect("the facts spread");
    }
}

#[test]
fn idle_traffic_of_an_instance_does_not_grow_with_the_fleet() {
    let mut rates = Vec::new();
    for count in [3, 10, 30, 60] {
        let mut fleet = joined_fleet(8, NetworkFaults::NONE, count);
        fleet.run_for(MINUTE);
        fleet.reset_counts();
        fleet.run_for(2 * MINUTE);
        let bytes: u64 = fleet.nodes.values().map(|node| node.sent.bytes).sum();
        let messages: u64 = fleet.nodes.values().map(|node| node.sent.messages).sum();
        let per_node = bytes as f64 / 120.0 / f64::from(count);
        let messages = messages as f64 / 120.0 / f64::from(count);
        println!("{count} instances: {per_node:.0} B/s and {messages:.2} messages/s a node");
        rates.push(per_node);
    }
    assert!(rates.iter().all(|rate| *rate <= 1_000.0), "{rates:?}");
    assert!(rates[3] <= rates[0] * 1.25, "{rates:?}");
}
