//! The control traffic of instances as the fleet and the number of targets grow.

mod membership_support;

use std::{collections::BTreeMap, time::Duration};

use figglade::{Timestamp, peer::FrameKind, wire::TargetState};
use membership_support::{
    Fleet, NetworkFaults, SentCount, address,
    targets::{announcement, target},
};
use rand::RngExt;

const MINUTE: Duration = Duration::from_secs(60);

/// The maximum control traffic that one instance may send.
const BUDGET_BYTES_PER_SECOND: f64 = 4_000.0;

/// The number of targets of the larger of the current customers.
const LARGEST_CUSTOMER_TARGETS: u32 = 120;

/// The time over which traffic is measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(30);

/// The next announcement of each target by its due time, with the incarnation of the target.
struct RenewalSchedule {
    due: BTreeMap<(Timestamp, u32), u64>,
}

impl RenewalSchedule {
    fn run(&mut self, fleet: &mut Fleet, time: Duration) {
        let end = fleet.now + time;
        while let Some(((at, number), incarnation)) = self.due.pop_first() {
            if at > end {
                self.due.insert((at, number), incarnation);
                break;
            }
            fleet.run_for(at.since(fleet.now));
            let chosen = fleet.rng.random_range(0..fleet.nodes.len()) as u16;
            let renewal = announcement(number, incarnation, TargetState::Ready);
            fleet.announce(chosen, renewal).unwrap();
            let interval = fleet.node(chosen).directory.announce_interval();
            self.due.insert((at + interval, number), incarnation);
        }
        fleet.run_for(end.since(fleet.now));
    }
}

/// Starts `instances` instances and announces `targets` targets, with the schedule of their
/// renewals.
fn start(seed: u64, instances: u16, targets: u32) -> (Fleet, RenewalSchedule) {
    let mut fleet = Fleet::with_nodes(seed, NetworkFaults::NONE, 1);
    let mut renewals = RenewalSchedule { due: BTreeMap::new() };
    for number in 0..targets {
        fleet.announce(0, announcement(number, 1, TargetState::Ready)).unwrap();
        let interval = fleet.node(0).directory.announce_interval();
        let wait = interval.mul_f64(fleet.rng.random_range(0.0..1.0));
        renewals.due.insert((fleet.now + wait, number), 1);
    }
    for number in 1..instances {
        fleet.start(number, address(number));
    }
    let joined = fleet.run_until(MINUTE, Fleet::has_converged);
    assert!(joined.is_some());
    (fleet, renewals)
}

/// The average traffic of one instance per second, and the memory of the directory at one.
#[derive(Debug)]
struct Rate {
    bytes: f64,
    messages: f64,
    membership_bytes: f64,
    directory_bytes: f64,
    held_bytes: usize,
}

fn rate_of(fleet: &Fleet) -> Rate {
    let scale = MEASUREMENT_TIME.as_secs_f64() * fleet.nodes.len() as f64;
    let sum = |pick: &dyn Fn(&membership_support::Node) -> u64| {
        fleet.nodes.values().map(pick).sum::<u64>() as f64 / scale
    };
    let kind = |node: &membership_support::Node, kind: FrameKind| -> SentCount {
        node.sent_by_kind.get(&kind.number()).copied().unwrap_or_default()
    };
    Rate {
        bytes: sum(&|node| node.sent.bytes),
        messages: sum(&|node| node.sent.messages),
        membership_bytes: sum(&|node| kind(node, FrameKind::Membership).bytes),
        directory_bytes: sum(&|node| kind(node, FrameKind::Directory).bytes),
        held_bytes: fleet.node(0).directory.approximate_bytes(),
    }
}

/// Measures the traffic while every target keeps renewing.
fn measure(instances: u16, targets: u32) -> Rate {
    let (mut fleet, mut renewals) = start(1, instances, targets);
    renewals.run(&mut fleet, MEASUREMENT_TIME);
    assert!(fleet.nodes.values().all(|node| node.directory.len() == targets as usize));
    fleet.reset_counts();
    renewals.run(&mut fleet, MEASUREMENT_TIME);
    let lapsed = fleet.nodes.values().flat_map(|node| node.directory.records());
    assert_eq!(lapsed.filter(|entry| !entry.is_live()).count(), 0);
    let rate = rate_of(&fleet);
    let cpu_time: Duration = fleet.nodes.values().map(|node| node.cpu_time).sum();
    let busy_share = cpu_time.as_secs_f64() / MEASUREMENT_TIME.as_secs_f64() / f64::from(instances);
    println!(
        "{instances} instances, {targets} targets: {:.0} B/s ({:.0} membership, {:.0} directory), \
         {:.1} messages/s and {:.3} % of a core a node; directory holds {} B",
        rate.bytes,
        rate.membership_bytes,
        rate.directory_bytes,
        rate.messages,
        busy_share * 100.0,
        rate.held_bytes
    );
    rate
}

/// Checks that idle traffic is within half the budget and does not grow with the fleet.
fn check_traffic(targets: u32) {
    let rates: Vec<f64> =
        [3, 10, 30, 60].into_iter().map(|count| measure(count, targets).bytes).collect();
    assert!(
        rates.iter().all(|rate| *rate <= BUDGET_BYTES_PER_SECOND / 2.0),
        "{targets} targets: {rates:?}"
    );
    // In a larger fleet renewals are distributed over more watchers, until each message carries a
    // single renewal; from there on the traffic is flat.
    assert!(rates[3] <= rates[1] * 1.5, "{targets} targets: {rates:?}");
}

#[test]
fn idle_traffic_is_flat_with_30_targets() {
    check_traffic(30);
}

#[test]
fn idle_traffic_is_flat_with_300_targets() {
    check_traffic(300);
}

#[test]
fn idle_traffic_is_flat_with_3000_targets() {
    check_traffic(3_000);
}

#[test]
fn a_burst_of_announcements_reaches_every_instance_within_two_seconds() {
    for seed in 1..=5 {
        let (mut fleet, _) = start(seed, 10, 1);
        fleet.run_for(MINUTE);
        fleet.reset_counts();
        for number in 1..3_000 {
            fleet.announce(4, announcement(number, 1, TargetState::Ready)).unwrap();
        }
        let known = |fleet: &Fleet| fleet.nodes.values().all(|node| node.directory.len() == 3_000);
        let took = fleet.run_until(MINUTE, known).expect("the burst spreads");
        fleet.run_for(Duration::from_secs(20));
        let bytes: u64 = fleet.nodes.values().map(|node| node.sent.bytes).sum();
        let copies = bytes as f64 / 10.0 / (3_000.0 * 130.0);
        println!("3000 announcements known at 10 instances in {took:?}, {copies:.1} copies a node");
        assert!(took <= Duration::from_secs(2), "{took:?}");
        assert!(copies <= 4.0, "{copies:.1}");
    }
}

#[test]
fn memory_per_target_fits_34000_targets_in_30_mb() {
    let (small, _) = start(1, 1, 100);
    let (large, _) = start(1, 1, 1_100);
    let held = |fleet: &Fleet| fleet.node(0).directory.approximate_bytes();
    let slope = (held(&large) - held(&small)) / 1_000;
    println!("{slope} B for each target of one replica");
    // 34,000 targets must fit in 32 MB together with everything else.
    assert!(slope * 34_000 <= 30_000_000, "{slope} B");
}

#[test]
fn a_rolling_restart_of_all_targets_in_two_minutes_stays_within_the_budget() {
    let (mut fleet, mut renewals) = start(1, 10, LARGEST_CUSTOMER_TARGETS);
    renewals.run(&mut fleet, Duration::from_secs(10));
    fleet.reset_counts();
    // Every target drains, leaves, restarts and becomes ready again.
    let states = [
        (1, TargetState::Draining),
        (1, TargetState::Gone),
        (2, TargetState::Starting),
        (2, TargetState::Ready),
    ];
    let pause = 2 * MINUTE / LARGEST_CUSTOMER_TARGETS / 4;
    for number in 0..LARGEST_CUSTOMER_TARGETS {
        renewals.due.retain(|(_, renewed), _| *renewed != number);
        for (incarnation, state) in states {
            let chosen = fleet.rng.random_range(0..10);
            fleet.announce(chosen, announcement(number, incarnation, state)).unwrap();
            renewals.run(&mut fleet, pause);
        }
        renewals.due.insert((fleet.now, number), 2);
    }
    let bytes: u64 = fleet.nodes.values().map(|node| node.sent.bytes).sum();
    let rate = bytes as f64 / 120.0 / 10.0;
    println!(
        "rolling restart of {LARGEST_CUSTOMER_TARGETS} targets in two minutes: {rate:.0} B/s a node"
    );
    let restarted = fleet.nodes.values().all(|node| {
        let entry = node.directory.record(&target(0)).unwrap();
        entry.announcement().incarnation.get() == 2
    });
    assert!(restarted);
    assert!(rate <= BUDGET_BYTES_PER_SECOND, "{rate:.0} B/s");
}
