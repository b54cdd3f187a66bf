//! Tests of the choice of aggregators, the handover of searches, and the shares of common bounds.

use std::{collections::BTreeMap, time::Duration};

use figglade::{
    CoreShare, Incarnation, Timestamp, ZoneName,
    controller::aggregators::{
        AggregatorAddress, AggregatorCandidate, ZoneMembers, choose_aggregators,
        digest_aggregators, summarize_members,
    },
    filter::scatter::{
        AggregatorPicker, HandoverState, InstanceShare, ReplicaSpec, ZoneCoverage,
        plan_connections, should_hand_over,
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn zone(number: usize) -> ZoneName {
    format!("z{number}").parse().unwrap()
}

fn candidate(number: usize, cores: u32) -> AggregatorCandidate {
    let peer = format!("10.0.{}.{}:7000", number / 200, number % 200 + 1).parse().unwrap();
    AggregatorCandidate { peer, cores: CoreShare::new(cores) }
}

fn address(zone_number: usize, host: u8) -> AggregatorAddress {
    let peer = format!("10.{zone_number}.0.{host}:7000").parse().unwrap();
    AggregatorAddress { zone: zone(zone_number), peer }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns the summaries of `hubs` control instances, each of which knows of a part of `members`.
fn summaries(members: &[(ZoneName, AggregatorCandidate)], hubs: usize) -> Vec<ZoneMembers> {
    let parts = (0..hubs).map(|hub| members.iter().skip(hub).step_by(hubs).cloned());
    parts.flat_map(summarize_members).collect()
}

#[test]
fn the_instances_with_most_cores_of_each_zone_are_chosen() {
    // Ninety instances in four zones; two in each zone have more processor time than the others.
    let members: Vec<_> = (0..90)
        .map(|number| (zone(number % 4), candidate(number, if number < 8 { 320 } else { 120 })))
        .collect();
    let whole = choose_aggregators(summaries(&members, 1).iter());
    assert_eq!(whole.len(), 8);
    for chosen in &whole {
        let member = members.iter().find(|(_, member)| member.peer == chosen.peer).unwrap();
        assert_eq!((&member.0, member.1.cores), (&chosen.zone, CoreShare::new(320)));
    }
    for hubs in [2, 5, 8] {
        let parts = choose_aggregators(summaries(&members, hubs).iter());
        assert_eq!(parts, whole, "summarized by {hubs} control instances");
    }
}

#[test]
fn larger_zones_have_more_aggregators_and_small_ones_two() {
    for (instances, wanted) in [(2, 2), (10, 2), (27, 2), (75, 6), (250, 20)] {
        let members: Vec<_> =
            (0..instances).map(|number| (zone(1), candidate(number, 120))).collect();
        let chosen = choose_aggregators(summaries(&members, 3).iter());
        assert_eq!(chosen.len(), wanted, "{instances} instances");
    }
}

#[test]
fn instances_beside_a_control_instance_are_chosen_only_if_they_are_larger() {
    // The instances 0 and 1 share their machines with control instances; instance 0 is larger.
    let member = |number, cores| {
        let candidate = candidate(number, cores);
        (zone(1), if number < 2 { candidate.beside_control() } else { candidate })
    };
    let members: Vec<_> =
        (0..10).map(|number| member(number, if number == 0 { 320 } else { 120 })).collect();
    let chosen = choose_aggregators(summaries(&members, 2).iter());
    let peers: Vec<_> = chosen.iter().map(|chosen| chosen.peer).collect();
    assert_eq!(peers, [candidate(0, 0).peer, candidate(2, 0).peer]);
}

#[test]
fn an_instance_known_to_two_control_instances_is_chosen_once() {
    let twice = [(zone(1), candidate(1, 300)), (zone(1), candidate(2, 100))];
    let summaries = [summaries(&twice, 1), summaries(&twice, 1)].concat();
    let chosen = choose_aggregators(summaries.iter());
    assert_eq!(chosen.len(), 2);
    assert_ne!(chosen[0].peer, chosen[1].peer);
    let mut reversed = chosen.clone();
    reversed.reverse();
    assert_eq!(digest_aggregators(&chosen), digest_aggregators(&reversed));
    assert_ne!(digest_aggregators(&chosen), digest_aggregators(&chosen[1..]));
}

#[test]
fn handover_decisions_follow_the_table() {
    let decide = |is_zone_covered, is_connection_limited, is_aggregator| {
        should_hand_over(HandoverState { is_aggregator, is_connection_limited, is_zone_covered })
    };
    assert!(decide(false, false, false) && decide(false, true, true), "no targets in the zone");
    assert!(decide(true, true, false));
    assert!(!decide(true, true, true), "the instance is an aggregator");
    assert!(!decide(true, false, false), "the connections of the instance suffice");
}

#[test]
fn shards_without_a_local_target_are_assigned_to_zones_that_have_targets() {
    let zones: Vec<_> = (0..4).map(zone).collect();
    // Each shard has targets in three of four zones.
    let spread = |shards: usize| {
        let shards = (0..shards).map(|shard| {
            (0..4).filter(|zone| *zone != shard % 4).map(|zone| &zones[zone]).collect()
        });
        ZoneCoverage::from_shard_zones(&zones[1], shards)
    };
    let coverage = spread(36);
    assert_eq!(coverage.covered, zones, "targets for three quarters of the shards are enough");
    let missing: Vec<usize> = (0..36).filter(|shard| shard % 4 == 1).collect();
    for other in [0, 2, 3] {
        assert_eq!(coverage.remote_shards_in(&zones[other]), &missing[..]);
    }
    assert!(coverage.remote_shards_in(&zones[1]).is_empty());
    assert!(spread(10).remote.is_empty(), "two shards are too few to delegate");

    let none =
        ZoneCoverage::from_shard_zones(&zones[1], (0..36).map(|_| vec![&zones[0], &zones[2]]));
    assert!(!none.covers(&zones[1]) && none.covers(&zones[0]));
    let unknown = ZoneCoverage::from_shard_zones(&zones[1], (0..36).map(|_| Vec::new()));
    assert!(unknown.covers(&zones[1]), "without targets, no other zone is better");

    // Zone 2 has lost its targets for most of the shards without a target in zone 1.
    let uneven = (0..36).map(|shard| {
        let kept = if shard % 4 == 1 && shard > 8 { vec![0, 3] } else { vec![0, 1, 2, 3] };
        kept.into_iter().filter(|zone| *zone != shard % 4).map(|zone| &zones[zone]).collect()
    });
    let coverage = ZoneCoverage::from_shard_zones(&zones[1], uneven);
    let remote: Vec<_> = coverage.remote.iter().map(|(zone, _)| zone.clone()).collect();
    assert_eq!(remote, [zones[0].clone(), zones[3].clone()]);
}

fn new_picker() -> AggregatorPicker {
    let mut picker = AggregatorPicker::new("10.1.0.9:7000".parse().unwrap(), zone(1));
    picker.update_list(vec![address(0, 1), address(0, 2), address(1, 1), address(1, 2)]);
    picker
}

fn both_zones_covered() -> ZoneCoverage {
    ZoneCoverage { covered: vec![zone(0), zone(1)], remote: vec![(zone(0), vec![3, 4, 5, 6])] }
}

#[test]
fn the_load_is_even_over_the_aggregators_of_the_local_zone() {
    let picker = new_picker();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut chosen = BTreeMap::new();
    for _ in 0..1_000 {
        let peer = picker.choose(&both_zones_covered(), &[], at(0), &mut rng).unwrap();
        *chosen.entry(peer).or_insert(0) += 1;
    }
    assert_eq!(chosen.len(), 2);
    for (peer, count) in chosen {
        assert!(peer == address(1, 1).peer || peer == address(1, 2).peer);
        assert!((400..600).contains(&count), "{peer}: {count}");
    }
    let remote = picker.choose_remote(&both_zones_covered(), at(0), &mut rng).unwrap();
    assert_eq!(remote.zone, zone(0));
}

#[test]
fn an_aggregator_that_does_not_answer_is_ejected() {
    let mut picker = new_picker();
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let [first, second] = [address(1, 1).peer, address(1, 2).peer];
    picker.record_failure(first, at(0));
    for _ in 0..50 {
        assert_eq!(picker.choose(&both_zones_covered(), &[], at(100), &mut rng), Some(second));
    }
    let tried = [second];
    let other = picker.choose(&both_zones_covered(), &tried, at(100), &mut rng).unwrap();
    assert!(
        [address(0, 1).peer, address(0, 2).peer].contains(&other),
        "an aggregator of another zone"
    );
    for round in 1..8 {
        picker.record_failure(first, at(round));
    }
    assert_ne!(picker.choose(&both_zones_covered(), &tried, at(1_500), &mut rng), Some(first));
    assert_eq!(picker.choose(&both_zones_covered(), &tried, at(2_100), &mut rng), Some(first));
    picker.record_answer(first, Duration::from_millis(2), at(2_100));
    picker.record_failure(first, at(2_100));
    assert_eq!(picker.choose(&both_zones_covered(), &tried, at(2_400), &mut rng), Some(first));
}

#[test]
fn a_slow_aggregator_is_not_chosen_while_another_is_fast() {
    let mut picker = new_picker();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    picker.record_answer(address(1, 1).peer, Duration::from_millis(2), at(0));
    picker.record_answer(address(1, 2).peer, Duration::from_millis(30), at(0));
    for _ in 0..50 {
        let chosen = picker.choose(&both_zones_covered(), &[], at(1), &mut rng);
        assert_eq!(chosen, Some(address(1, 1).peer));
    }
}

#[test]
fn a_new_list_keeps_known_state_and_an_empty_one_is_ignored() {
    let mut picker = new_picker();
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let digest = picker.digest();
    picker.update_list(Vec::new());
    assert_eq!((picker.count(), picker.digest()), (4, digest));
    picker.record_failure(address(1, 1).peer, at(0));
    picker.update_list(vec![address(1, 1), address(1, 3)]);
    for _ in 0..20 {
        let chosen = picker.choose(&both_zones_covered(), &[], at(10), &mut rng);
        assert_eq!(chosen, Some(address(1, 3).peer));
    }
    assert!(!picker.is_aggregator());
    picker.update_list(vec![address(1, 9)]);
    assert!(picker.is_aggregator());
    assert_eq!(
        picker.choose(&both_zones_covered(), &[], at(10), &mut rng),
        None,
        "an instance never chooses itself"
    );
}

#[test]
fn only_aggregators_that_searches_are_sent_to_are_probed() {
    let period = Duration::from_secs(10);
    let mut picker = new_picker();
    let due = picker.take_due_probes(&both_zones_covered(), true, period, at(0));
    assert_eq!(due, [address(1, 1).peer, address(1, 2).peer]);
    assert!(picker.take_due_probes(&both_zones_covered(), true, period, at(9_000)).is_empty());
    assert_eq!(picker.take_due_probes(&both_zones_covered(), true, period, at(10_000)).len(), 2);
    let remote = new_picker().take_due_probes(&both_zones_covered(), false, period, at(0));
    assert_eq!(
        remote,
        [address(0, 1).peer, address(0, 2).peer],
        "for the shards without a local target"
    );
}

#[test]
fn the_fractions_of_all_instances_add_up_to_one() {
    for (instances, aggregators) in [(91, 8), (67, 8), (300, 24), (10, 0)] {
        let fraction =
            |is_aggregator| InstanceShare { instances, aggregators, is_aggregator }.fraction();
        let others = (instances - aggregators) as f64 * fraction(false);
        let sum = others + aggregators as f64 * fraction(true);
        assert!((sum - 1.0).abs() < 1e-9, "{instances} with {aggregators}: {sum}");
    }
    assert!(InstanceShare::equal(91).is_connection_limited(78));
    assert!(!InstanceShare::equal(10).is_connection_limited(32));
}

#[test]
fn ready_connections_of_all_instances_stay_within_the_cap_of_a_target() {
    for (instances, aggregators, cap) in [(91, 8, 78), (67, 8, 66), (300, 24, 200)] {
        let specs: Vec<_> = (0..3)
            .map(|copy| ReplicaSpec {
                id: format!("t-{copy}").parse().unwrap(),
                incarnation: Incarnation::new(1),
                address: format!("10.9.0.{}:80", copy + 1).parse().unwrap(),
                is_local: copy == 0,
                slots: 4,
            })
            .collect();
        let specs: Vec<_> = specs.iter().collect();
        let mut connections = [0; 3];
        for number in 0..instances {
            let is_aggregator = number < aggregators;
            let share = InstanceShare { instances, aggregators, is_aggregator };
            let instance = format!("edge-{number}").parse().unwrap();
            let plans = plan_connections(&instance, &specs, cap, &share);
            assert!(plans.iter().all(|plan| plan.limit >= 1));
            for (copy, plan) in plans.iter().enumerate() {
                // Only aggregators keep connections open; the other instances open theirs on demand.
                let is_used = plan.is_in_subset && is_aggregator;
                connections[copy] += if is_used { plan.limit } else { 0 };
                assert!(is_aggregator || plan.ready == 0);
            }
        }
        assert!(
            connections.iter().all(|count| *count <= cap),
            "{instances}: {connections:?} of {cap}"
        );
        assert!(
            connections[0] >= aggregators as u32 * 2,
            "an aggregator needs more than one connection: {connections:?}"
        );
    }
}
