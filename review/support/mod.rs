//! Stand-ins of the platform for the review scripts: machines that run the real programs, servers,
//! a load balancer and an HTTP client. Uses the standard library only.

#![allow(dead_code)]

pub mod deployment;
pub mod http;
pub mod proxy;
pub mod record;
pub mod server;

use std::time::Duration;

/// Returns whether the case runs with its disruption: false with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Sleeps for a number of milliseconds.
pub fn pause(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// A small generator of pseudo-random numbers with a fixed seed.
pub struct Lcg(u64);

impl Lcg {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(1))
    }

    /// Returns a number from `low` up to but not including `high`.
    pub fn range(&mut self, low: u64, high: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        low + (self.0 >> 33) % (high - low).max(1)
    }
}
