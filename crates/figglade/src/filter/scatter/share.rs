//! Fraction of a bound shared by all instances that one instance may use.

use super::subset::PLANNED_SHARE;

/// The fraction of the planned connections to a target, and of the slack for extra attempts, that is
/// divided among the aggregators.
const AGGREGATOR_FRACTION: f64 = 0.65;
/// The fraction that is divided among all instances, for searches that no aggregator accepts.
const DIRECT_FRACTION: f64 = 0.35;

/// The number of instances that share a bound, and the role of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceShare {
    /// The number of instances.
    pub instances: usize,
    /// The number of aggregators among them; zero where each instance scatters its own searches.
    pub aggregators: usize,
    /// Whether this instance is an aggregator.
    pub is_aggregator: bool,
}

impl InstanceShare {
    /// Builds the share of one of `instances` that divide a bound equally.
    pub const fn equal(instances: usize) -> Self {
        Self { instances, aggregators: 0, is_aggregator: false }
    }

    /// Returns the fraction of a bound that this instance may use. The fractions of all instances add
    /// up to one.
    pub fn fraction(&self) -> f64 {
        let each = 1.0 / self.instances.max(1) as f64;
        match (self.aggregators, self.is_aggregator) {
            (0, _) => each,
            (aggregators, true) => {
                AGGREGATOR_FRACTION / aggregators as f64 + DIRECT_FRACTION * each
            }
            (_, false) => DIRECT_FRACTION * each,
        }
    }

    /// Returns whether a target that accepts `cap` connections accepts too few for each instance to
    /// keep one, so that aggregators are needed.
    pub fn is_connection_limited(&self, cap: u32) -> bool {
        f64::from(cap) * PLANNED_SHARE < self.instances as f64
    }
}
