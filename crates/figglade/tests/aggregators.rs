//! Which instances aggregate, which searches go to them, and how bounds are shared with them.

use std::{collections::BTreeMap, time::Duration};

use figglade::{
    CoreShare, Incarnation, Timestamp, ZoneName,
    controller::aggregators::{
        AggregatorAddress, AggregatorCandidate, ZoneMembers, choose_aggregators,
        digest_aggregators, summarize_members,
    },
    filter::scatter::{
        AggregatorPicker, HandoverState, InstanceShare, ReplicaSpec, ZoneCoverage,
        plan_connections, wants_aggregator,
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

/// Summarizes `members` at `hubs` control instances, each of which hears of a part.
fn summaries(members: &[(ZoneName, AggregatorCandidate)], hubs: usize) -> Vec<ZoneMembers> {
    let parts = (0..hubs).map(|hub| members.iter().skip(hub).step_by(hubs).cloned());
    parts.flat_map(summarize_members).collect()
}

#[test]
fn the_largest_instances_of_each_zone_aggregate() {
    // Ninety instances in four zones, of which two in each have more processor time.
    let members: Vec<_> = (0..90)
        .map(|number| (zone(number % 4), candidate(number, if number < 8 { 320 } else { 120 })))
        .collect();
    let whole = choose_aggregators(summaries(&members, 1).iter());
    assert_eq!(whole.len(), 8);
    for chosen in &whole {
        let held = members.iter().find(|(_, held)| held.peer == chosen.peer).unwrap();
        assert_eq!((&held.0, held.1.cores), (&chosen.zone, CoreShare::new(320)));
    }
    for hubs in [2, 5, 8] {
        let parts = choose_aggregators(summaries(&members, hubs).iter());
        assert_eq!(parts, whole, "heard of at {hubs} control instances");
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
fn an_instance_that_two_control_instances_hear_of_is_chosen_once() {
    let twice = [(zone(1), candidate(1, 300)), (zone(1), candidate(2, 100))];
    let summaries = [summaries(&twice, 1), summaries(&twice, 1)].concat();
    let chosen = choose_aggregators(summaries.iter());
    assert_eq!(chosen.len(), 2);
    assert_ne!(chosen[0].peer, chosen[1].peer);
    let mut turned = chosen.clone();
    turned.reverse();
    assert_eq!(digest_aggregators(&chosen), digest_aggregators(&turned));
    assert_ne!(digest_aggregators(&chosen), digest_aggregators(&chosen[1..]));
}

#[test]
fn searches_are_handed_over_as_the_table_says() {
    let wants = |is_covered, is_scarce, is_aggregator| {
        wants_aggregator(HandoverState { is_aggregator, is_scarce, is_covered })
    };
    assert!(wants(false, false, false) && wants(false, true, true), "no targets in the zone");
    assert!(wants(true, true, false));
    assert!(!wants(true, true, true), "it is one itself");
    assert!(!wants(true, false, false), "its own connections suffice");
}

#[test]
fn shards_without_a_target_in_the_zone_are_left_to_one_that_has_them() {
    let zones: Vec<_> = (0..4).map(zone).collect();
    // Each shard has targets in three of four zones.
    let spread = |shards: usize| {
        let shards = (0..shards).map(|shard| {
            (0..4).filter(|place| *place != shard % 4).map(|place| &zones[place]).collect()
        });
        ZoneCoverage::count(&zones[1], shards)
    };
    let coverage = spread(36);
    assert_eq!(coverage.zones, zones, "three quarters are enough");
    let missing: Vec<usize> = (0..36).filter(|shard| shard % 4 == 1).collect();
    for other in [0, 2, 3] {
        assert_eq!(coverage.far_in(&zones[other]), &missing[..]);
    }
    assert!(coverage.far_in(&zones[1]).is_empty());
    assert!(spread(10).far.is_empty(), "two shards are not worth a message");

    let none = ZoneCoverage::count(&zones[1], (0..36).map(|_| vec![&zones[0], &zones[2]]));
    assert!(!none.covers(&zones[1]) && none.covers(&zones[0]));
    let unknown = ZoneCoverage::count(&zones[1], (0..36).map(|_| Vec::new()));
    assert!(unknown.covers(&zones[1]), "without any target no zone is better");

    // Zone 2 has lost most of the targets that zone 1 lacks.
    let uneven = (0..36).map(|shard| {
        let kept = if shard % 4 == 1 && shard > 8 { vec![0, 3] } else { vec![0, 1, 2, 3] };
        kept.into_iter().filter(|place| *place != shard % 4).map(|place| &zones[place]).collect()
    });
    let coverage = ZoneCoverage::count(&zones[1], uneven);
    let far: Vec<_> = coverage.far.iter().map(|(zone, _)| zone.clone()).collect();
    assert_eq!(far, [zones[0].clone(), zones[3].clone()]);
}

fn picker() -> AggregatorPicker {
    let mut picker = AggregatorPicker::new("10.1.0.9:7000".parse().unwrap(), zone(1));
    picker.learn(vec![address(0, 1), address(0, 2), address(1, 1), address(1, 2)]);
    picker
}

fn everywhere() -> ZoneCoverage {
    ZoneCoverage { zones: vec![zone(0), zone(1)], far: vec![(zone(0), vec![3, 4, 5, 6])] }
}

#[test]
fn the_load_is_even_over_the_aggregators_of_the_own_zone() {
    let picker = picker();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut chosen = BTreeMap::new();
    for _ in 0..1_000 {
        let peer = picker.choose(&everywhere(), &[], at(0), &mut rng).unwrap();
        *chosen.entry(peer).or_insert(0) += 1;
    }
    assert_eq!(chosen.len(), 2);
    for (peer, count) in chosen {
        assert!(peer == address(1, 1).peer || peer == address(1, 2).peer);
        assert!((400..600).contains(&count), "{peer}: {count}");
    }
    let far = picker.choose_far(&everywhere(), at(0), &mut rng).unwrap();
    assert_eq!(far.zone, zone(0));
}

#[test]
fn an_aggregator_that_does_not_answer_is_left_out_for_a_while() {
    let mut picker = picker();
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let [first, second] = [address(1, 1).peer, address(1, 2).peer];
    picker.note_failure(first, at(0));
    for _ in 0..50 {
        assert_eq!(picker.choose(&everywhere(), &[], at(100), &mut rng), Some(second));
    }
    let tried = [second];
    let other = picker.choose(&everywhere(), &tried, at(100), &mut rng).unwrap();
    assert!([address(0, 1).peer, address(0, 2).peer].contains(&other), "then another zone's");
    for round in 1..8 {
        picker.note_failure(first, at(round));
    }
    assert_ne!(picker.choose(&everywhere(), &tried, at(1_500), &mut rng), Some(first));
    assert_eq!(picker.choose(&everywhere(), &tried, at(2_100), &mut rng), Some(first));
    picker.note_answer(first, Duration::from_millis(2), at(2_100));
    picker.note_failure(first, at(2_100));
    assert_eq!(picker.choose(&everywhere(), &tried, at(2_400), &mut rng), Some(first));
}

#[test]
fn a_slow_aggregator_is_left_out_while_another_is_fast() {
    let mut picker = picker();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    picker.note_answer(address(1, 1).peer, Duration::from_millis(2), at(0));
    picker.note_answer(address(1, 2).peer, Duration::from_millis(30), at(0));
    for _ in 0..50 {
        let chosen = picker.choose(&everywhere(), &[], at(1), &mut rng);
        assert_eq!(chosen, Some(address(1, 1).peer));
    }
}

#[test]
fn a_new_list_keeps_what_is_known_and_an_empty_one_changes_nothing() {
    let mut picker = picker();
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let digest = picker.digest();
    picker.learn(Vec::new());
    assert_eq!((picker.count(), picker.digest()), (4, digest));
    picker.note_failure(address(1, 1).peer, at(0));
    picker.learn(vec![address(1, 1), address(1, 3)]);
    for _ in 0..20 {
        let chosen = picker.choose(&everywhere(), &[], at(10), &mut rng);
        assert_eq!(chosen, Some(address(1, 3).peer));
    }
    assert!(!picker.is_aggregator());
    picker.learn(vec![address(1, 9)]);
    assert!(picker.is_aggregator());
    assert_eq!(picker.choose(&everywhere(), &[], at(10), &mut rng), None, "never itself");
}

#[test]
fn links_are_refreshed_only_where_searches_go() {
    let period = Duration::from_secs(10);
    let mut plain = picker();
    let due = plain.take_unheard(&everywhere(), true, period, at(0));
    assert_eq!(due, [address(1, 1).peer, address(1, 2).peer]);
    assert!(plain.take_unheard(&everywhere(), true, period, at(9_000)).is_empty());
    assert_eq!(plain.take_unheard(&everywhere(), true, period, at(10_000)).len(), 2);
    let far = picker().take_unheard(&everywhere(), false, period, at(0));
    assert_eq!(far, [address(0, 1).peer, address(0, 2).peer], "for the shards it lacks");
}

#[test]
fn the_shares_of_all_instances_add_up_to_the_bound() {
    for (instances, aggregators) in [(91, 8), (67, 8), (300, 24), (10, 0)] {
        let share = |is_aggregator| InstanceShare { instances, aggregators, is_aggregator }.part();
        let plain = (instances - aggregators) as f64 * share(false);
        let sum = plain + aggregators as f64 * share(true);
        assert!((sum - 1.0).abs() < 1e-9, "{instances} with {aggregators}: {sum}");
    }
    assert!(InstanceShare::equal(91).is_scarce(78));
    assert!(!InstanceShare::equal(10).is_scarce(32));
}

#[test]
fn aggregators_and_the_others_keep_the_cap_of_a_target() {
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
        let mut held = [0; 3];
        for number in 0..instances {
            let is_aggregator = number < aggregators;
            let share = InstanceShare { instances, aggregators, is_aggregator };
            let instance = format!("edge-{number}").parse().unwrap();
            let plans = plan_connections(&instance, &specs, cap, &share);
            assert!(plans.iter().all(|plan| plan.limit >= 1));
            for (copy, plan) in plans.iter().enumerate() {
                // Only aggregators keep connections ready; the others make theirs on demand.
                let is_used = plan.is_kept && is_aggregator;
                held[copy] += if is_used { plan.limit } else { 0 };
                assert!(is_aggregator || plan.ready == 0);
            }
        }
        assert!(held.iter().all(|held| *held <= cap), "{instances}: {held:?} of {cap}");
        assert!(held[0] >= aggregators as u32 * 2, "an aggregator needs more than one: {held:?}");
    }
}
