//! The hedge delay follows a high quantile of the latency.

mod filter_support;

use std::time::Duration;

use figglade::filter::latency::LatencyTracker;
use filter_support::seeded;
use rand::{Rng, RngExt};

/// Draws an exponential latency of 20 ms on average.
fn draw(rng: &mut impl Rng) -> Duration {
    Duration::from_secs_f64(-0.020 * (1.0 - rng.random::<f64>()).ln())
}

fn share_beyond(tracker: &LatencyTracker, samples: u32) -> f64 {
    let mut rng = seeded(5);
    let mut beyond = 0;
    for _ in 0..samples {
        let sample = draw(&mut rng);
        beyond += u32::from(sample > tracker.hedge_delay());
        tracker.observe(sample);
    }
    f64::from(beyond) / f64::from(samples)
}

#[test]
fn test_the_delay_is_found_within_the_first_thousand_answers() {
    let tracker = LatencyTracker::default();
    let share = share_beyond(&tracker, 1_000);
    assert!(share < 0.03, "{share} of the first answers were beyond the delay");
    let share = share_beyond(&tracker, 50_000);
    assert!((0.003..0.008).contains(&share), "{share} of the answers were beyond the delay");
}

#[test]
fn test_the_delay_follows_a_service_that_turned_slower() {
    let tracker = LatencyTracker::default();
    share_beyond(&tracker, 20_000);
    let before = tracker.hedge_delay();
    let mut rng = seeded(6);
    for _ in 0..5_000 {
        tracker.observe(draw(&mut rng) * 5);
    }
    assert!(tracker.hedge_delay() > before * 4, "{:?} after {before:?}", tracker.hedge_delay());
}
