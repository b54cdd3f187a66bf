//! The part of shared bounds that falls to one instance.

use super::subset::PLANNED_SHARE;

/// The part of the planned connections to a target, and of the slack of extra attempts, that the
/// aggregators share.
const AGGREGATED_PART: f64 = 0.65;
/// The part that all instances share for searches that no aggregator takes.
const DIRECT_PART: f64 = 0.35;

/// How many instances share a bound, and in which role this one does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceShare {
    /// The instances.
    pub instances: usize,
    /// The aggregators among them; none where each instance scatters its own searches.
    pub aggregators: usize,
    /// Whether this instance is one.
    pub is_aggregator: bool,
}

impl InstanceShare {
    /// Builds the equal share of one of `instances`.
    pub const fn equal(instances: usize) -> Self {
        Self { instances, aggregators: 0, is_aggregator: false }
    }

    /// Returns the part of a bound that this instance may use. The parts of all add up to one.
    pub fn part(&self) -> f64 {
        let each = 1.0 / self.instances.max(1) as f64;
        match (self.aggregators, self.is_aggregator) {
            (0, _) => each,
            (aggregators, true) => AGGREGATED_PART / aggregators as f64 + DIRECT_PART * each,
            (_, false) => DIRECT_PART * each,
        }
    }

    /// Returns whether targets that accept `cap` connections accept too few for each instance to
    /// keep one, so that aggregators are needed.
    pub fn is_scarce(&self, cap: u32) -> bool {
        f64::from(cap) * PLANNED_SHARE < self.instances as f64
    }
}
