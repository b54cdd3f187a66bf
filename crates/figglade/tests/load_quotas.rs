//! Tests of quotas under load: a flood that exceeds them across faults, and uneven demand below them.

mod quota_support;

use std::collections::BTreeSet;

use quota_support::{Fault, World, customer};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: u64 = 1_000_000;
const INSTANCES: usize = 84;
const HUBS: usize = 6;
/// The rates of the customers, with bursts of twice as many requests.
const RATES: [f64; 5] = [1.0, 2.5, 5.0, 12.0, 40.0];
/// The factor by which each customer exceeds its rate.
const FLOOD: f64 = 7.5;
const FLOOD_TIME: u64 = 30 * SECOND;

fn customers() -> Vec<figglade::controller::route_set::CustomerSpec> {
    RATES.iter().enumerate().map(|(number, rate)| customer(number, *rate, rate * 2.0)).collect()
}

/// Adds floods with pauses between them, in which the buckets and reserves fill again.
fn add_flood(world: &mut World, rng: &mut ChaCha8Rng) {
    for (number, rate) in RATES.iter().enumerate() {
        let gap = SECOND as f64 / (rate * FLOOD);
        let mut at = rng.random_range(2..6) as f64 * SECOND as f64;
        let mut ends = at + 6.0 * SECOND as f64;
        while at < FLOOD_TIME as f64 {
            world.request_at(at as u64, rng.random_range(0..INSTANCES), number);
            at += gap * rng.random_range(0.2..1.8);
            if at > ends {
                at += rng.random_range(0.0..10.0) * SECOND as f64;
                ends = at + 6.0 * SECOND as f64;
            }
        }
    }
}

fn add_faults(world: &mut World, hubs: usize, rng: &mut ChaCha8Rng) {
    let mut at = 4 * SECOND;
    while at < FLOOD_TIME - 4 * SECOND {
        let hub = rng.random_range(0..hubs);
        let time = rng.random_range(SECOND / 2..4 * SECOND);
        match rng.random_range(0..6) {
            0 => world.fault_at(at, Fault::Freeze { hub, time }),
            1 => {
                world.fault_at(at, Fault::Kill { hub });
                world.fault_at(at + time, Fault::Start { hub });
            }
            2 => {
                let half: BTreeSet<_> = (0..hubs).filter(|hub| hub % 2 == 0).collect();
                world.fault_at(at, Fault::Cut { hubs: half, instances: INSTANCES / 2 });
                world.fault_at(at + time, Fault::Heal);
            }
            3 => world.fault_at(at, Fault::NewLeader),
            4 => {
                let pair = [hub, (hub + 1) % hubs].into();
                world.fault_at(
                    at,
                    Fault::Cut { hubs: pair, instances: rng.random_range(0..INSTANCES) },
                );
                world.fault_at(at + time, Fault::Heal);
            }
            _ => {
                let number = rng.random_range(0..RATES.len());
                let rate = RATES[number] * [0.3, 0.5, 1.0, 2.0][rng.random_range(0..4)];
                world.fault_at(at, Fault::SetQuota { customer: number, rate, burst: rate * 2.0 });
            }
        }
        at += rng.random_range(SECOND / 4..3 * SECOND);
    }
}

/// Guards against a window with more requests than a quota allows: after a change of the leader, from a
/// granter that wakes after its authority ended, on both sides of a partition, from hubs that are lost
/// and start again, and from replies that arrive late.
#[test]
fn a_flood_exceeds_the_bound_in_no_window_whatever_fails() {
    let mut granters = BTreeSet::new();
    for seed in 0..36 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hubs = [HUBS, 8, 3][seed as usize % 3];
        let mut world = World::new(seed, hubs, INSTANCES, customers(), false);
        add_flood(&mut world, &mut rng);
        add_faults(&mut world, hubs, &mut rng);
        world.run(FLOOD_TIME + 2 * SECOND);
        for (number, rate) in RATES.iter().enumerate() {
            let (excess, start) = world.largest_excess(number);
            assert!(
                excess <= 0.0,
                "seed {seed}, {hubs} hubs, rate {rate}: {excess} too many from {} ms on",
                start / 1_000
            );
            let served = world.outcomes[number].arrivals.len() as f64;
            assert!(served >= *rate, "seed {seed}, rate {rate}: only {served} served");
        }
        granters.extend(world.grants_from.iter().copied());
    }
    assert!(granters.len() > 2, "different hubs granted: {granters:?}");
}

/// Guards against refusals below the quota: bursts of a whole quota that all instances of one hub or
/// one instance get, followed by the full rate at another hub, with all hubs running.
#[test]
fn uneven_demand_below_the_quota_is_never_refused() {
    for seed in 0..8 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(seed, HUBS, INSTANCES, customers(), true);
        let mut sent = [0; RATES.len()];
        for (number, rate) in RATES.iter().enumerate() {
            let (burst, mut tokens) = (rate * 2.0, rate * 2.0);
            let (mut at, mut home) = (3 * SECOND, rng.random_range(0..INSTANCES));
            while at < FLOOD_TIME {
                // A burst is sent at once, and the rest as fast as the quota allows.
                let count = tokens as usize;
                for _ in 0..count {
                    let is_uneven = rng.random_bool(0.8);
                    let instance = if is_uneven { home } else { rng.random_range(0..INSTANCES) };
                    world.request_at(at + rng.random_range(0..10_000), instance, number);
                }
                sent[number] += count;
                tokens -= count as f64;
                // A pause lets the bucket of the customer fill; the next burst uses another hub.
                let is_pause = rng.random_bool(0.1);
                let time = if is_pause { rng.random_range(0..4 * SECOND) } else { SECOND / 10 };
                if is_pause {
                    home = rng.random_range(0..INSTANCES);
                }
                tokens = (tokens + rate * time as f64 / SECOND as f64).min(burst);
                at += time + 10_000;
            }
        }
        world.run(FLOOD_TIME + 2 * SECOND);
        for (number, outcome) in world.outcomes.iter().enumerate() {
            assert_eq!(outcome.exhausted, 0, "seed {seed}, rate {}", RATES[number]);
            assert_eq!(outcome.unavailable, 0, "seed {seed}, rate {}", RATES[number]);
            assert_eq!(outcome.arrivals.len(), sent[number]);
        }
    }
}

/// Guards against refusals after a restart of all hubs, when the reserves of idle hubs take the few
/// tokens that the granter has.
#[test]
fn half_of_the_quota_is_served_soon_after_all_hubs_started_again() {
    for seed in 0..8 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(seed, HUBS, INSTANCES, customers(), true);
        for hub in 0..HUBS {
            world.fault_at(8 * SECOND, Fault::Kill { hub });
            world.fault_at(10 * SECOND, Fault::Start { hub });
        }
        // An election and the wait for the authority of a former granter take up to 3.3 s.
        for (number, rate) in RATES.iter().enumerate() {
            let gap = (2.0 * SECOND as f64 / rate) as u64;
            let mut at = 14 * SECOND + rng.random_range(0..gap);
            while at < FLOOD_TIME {
                world.request_at(at, rng.random_range(0..INSTANCES), number);
                at += gap;
            }
        }
        world.run(FLOOD_TIME + 2 * SECOND);
        for (number, outcome) in world.outcomes.iter().enumerate() {
            let refused = outcome.exhausted + outcome.unavailable;
            assert_eq!(refused, 0, "seed {seed}, rate {}", RATES[number]);
            assert!(!outcome.arrivals.is_empty());
        }
    }
}
