//! Tests that the hedge delay tracks a high quantile of the latency.

mod filter_support;

use std::time::Duration;

use figglade::filter::latency::LatencyTracker;
use filter_support::seeded_rng;
use rand::{Rng, RngExt};

/// Draws a latency from an exponential distribution with a mean of 20 ms.
fn draw(rng: &mut impl Rng) -> Duration {
    Duration::from_secs_f64(-0.020 * (1.0 - rng.random::<f64>()).ln())
}

fn fraction_beyond(tracker: &LatencyTracker, samples: u32) -> f64 {
    let mut rng = seeded_rng(5);
    let mut beyond = 0;
    for _ in 0..samples {
        let sample = draw(&mut rng);
        beyond += u32::from(sample > tracker.hedge_delay());
        tracker.observe(sample);
    }
    f64::from(beyond) / f64::from(samples)
}

#[test]
fn test_delay_converges_within_a_thousand_answers() {
    let tracker = LatencyTracker::default();
    let fraction = fraction_beyond(&tracker, 1_000);
    assert!(fraction < 0.03, "{fraction} of the first answers exceeded the delay");
    let fraction = fraction_beyond(&tracker, 50_000);
    assert!((0.003..0.008).contains(&fraction), "{fraction} of the answers exceeded the delay");
}

#[test]
fn test_delay_follows_a_service_that_becomes_slower() {
    let tracker = LatencyTracker::default();
    fraction_beyond(&tracker, 20_000);
    let before = tracker.hedge_delay();
    let mut rng = seeded_rng(6);
    for _ in 0..5_000 {
        tracker.observe(draw(&mut rng) * 5);
    }
    assert!(tracker.hedge_delay() > before * 4, "{:?} after {before:?}", tracker.hedge_delay());
}
