//! The cases that each workload is measured in.

use derive_more::{Display, FromStr};
use serde::Serialize;

/// The rate of the overhead case, in queries a second.
const OVERHEAD_RATE: f64 = 50.0;

/// One case of a workload.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum BenchCase {
    /// Targets that answer at once, to see the time spent elsewhere.
    Overhead,
    /// No fault, at the load of the cases with faults.
    FaultFree,
    /// One replica is ten times slower.
    SlowReplica,
    /// One replica stops answering for good a quarter into the run.
    StalledReplica,
    /// One answer in a hundred is twenty times slower.
    SlowAnswers,
    /// One replica is killed a quarter into the run.
    KilledReplica,
    /// The processes of all targets are restarted one after another.
    RollingRestart,
    /// One replica is ten times slower and says it is idle while all others say they are full.
    LyingLoad,
    /// Load of 60% of the slots.
    #[serde(rename = "load_60")]
    Load60,
    /// Load of 90% of the slots.
    #[serde(rename = "load_90")]
    Load90,
    /// Load of 130% of the slots.
    #[serde(rename = "load_130")]
    Load130,
}

impl BenchCase {
    /// Every case, in the order they are run.
    pub const ALL: [Self; 11] = [
        Self::Overhead,
        Self::FaultFree,
        Self::SlowReplica,
        Self::StalledReplica,
        Self::SlowAnswers,
        Self::KilledReplica,
        Self::RollingRestart,
        Self::LyingLoad,
        Self::Load60,
        Self::Load90,
        Self::Load130,
    ];

    /// Returns the rate in queries a second where the slots fill at `full_rate`.
    pub fn rate(self, full_rate: f64, fault_load: f64) -> f64 {
        match self {
            Self::Overhead => OVERHEAD_RATE.min(full_rate * fault_load),
            Self::Load60 => full_rate * 0.6,
            Self::Load90 => full_rate * 0.9,
            Self::Load130 => full_rate * 1.3,
            _ => full_rate * fault_load,
        }
    }

    /// Returns whether the case fills the slots of the targets, which one machine cannot carry
    /// for the widest workload.
    pub const fn is_load(self) -> bool {
        matches!(self, Self::Load60 | Self::Load90 | Self::Load130)
    }

    /// Returns whether each shard keeps a healthy replica and spare slots throughout.
    pub const fn allows_full_coverage(self) -> bool {
        !self.is_load()
    }
}

/// What answers the queries.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum BenchVariant {
    /// Random replica, no hedge, no retry.
    Random,
    /// Random replica, each shard hedged once at a fixed p95.
    FixedHedge,
    /// The tier.
    Tier,
}

impl BenchVariant {
    /// Every variant, in the order they are run.
    pub const ALL: [Self; 3] = [Self::Random, Self::FixedHedge, Self::Tier];
}
