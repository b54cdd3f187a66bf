//! The cases that each workload is measured in.

use derive_more::{Display, FromStr};
use serde::Serialize;

/// The rate of the overhead case, in queries per second.
const OVERHEAD_RATE: f64 = 50.0;

/// A fault or load level under which a workload is measured.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum BenchCase {
    /// Targets answer without service time, which isolates the time spent outside them.
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
    /// One replica is ten times slower and reports no load while all others report full load.
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

    /// Returns the rate of arrivals in queries per second, given the rate `full_rate` that fills
    /// every slot.
    pub fn rate(self, full_rate: f64, fault_load: f64) -> f64 {
        match self {
            Self::Overhead => OVERHEAD_RATE.min(full_rate * fault_load),
            Self::Load60 => full_rate * 0.6,
            Self::Load90 => full_rate * 0.9,
            Self::Load130 => full_rate * 1.3,
            _ => full_rate * fault_load,
        }
    }

    /// Returns whether the rate is set by the slots of the targets; for the widest workload, one
    /// machine cannot sustain such a rate.
    pub const fn is_load(self) -> bool {
        matches!(self, Self::Load60 | Self::Load90 | Self::Load130)
    }

    /// Returns whether every shard has a healthy replica with free slots during the whole run.
    pub const fn allows_full_coverage(self) -> bool {
        !self.is_load()
    }
}

/// The system that answers the queries.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum BenchVariant {
    /// A fan-out to a random replica of each shard, without hedges or retries.
    Random,
    /// A fan-out to a random replica of each shard, with one hedge per shard after a fixed p95.
    FixedHedge,
    /// The instances of figglade.
    Tier,
}

impl BenchVariant {
    /// Every variant, in the order they are run.
    pub const ALL: [Self; 3] = [Self::Random, Self::FixedHedge, Self::Tier];
}
