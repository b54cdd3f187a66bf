//! The indexes, targets and loads that are measured.

use derive_more::{Display, Error};
use figglade::{IndexVersion, PartitionEpoch};
use figglade_testkit::{
    IndexLayout, StandInSettings,
    stand_in::{ServiceKind, ServiceTime, SettingsError},
};

/// The number of records per shard of an index.
const RECORDS_PER_SHARD: u64 = 100;

/// The shard requests per second that all processes can sustain together on one machine.
const MAX_SHARD_RATE: f64 = 10_000.0;

/// The number of requests that can wait in the queue of a target.
const TARGET_QUEUE: u32 = 16;

/// An index, its targets and the load on them.
#[derive(Clone, Debug, PartialEq)]
pub struct BenchWorkload {
    /// The name of the workload and of its index.
    pub name: &'static str,
    /// The number of shards.
    pub shard_count: u32,
    /// The number of replicas of each shard.
    pub replica_count: u32,
    /// The number of slots of each target.
    pub slots: u32,
    /// The connection cap of each target.
    pub connections: u32,
    /// The time to open a connection, in milliseconds.
    pub connect_cost_ms: u64,
    /// The mean service time, in microseconds.
    pub mean_service_us: u64,
    /// The deadline of each query, in milliseconds.
    pub deadline_ms: u64,
    /// The number of targets in each process.
    pub targets_per_process: usize,
    /// The availability zones.
    pub zones: &'static [&'static str],
    /// The fraction of the slots in use in the cases that do not set their own load.
    pub fault_load: f64,
}

/// The register portal of the brief.
const REGISTER_PORTAL: BenchWorkload = BenchWorkload {
    name: "register-portal",
    shard_count: 10,
    replica_count: 3,
    slots: 3,
    connections: 30,
    connect_cost_ms: 6,
    mean_service_us: 20_000,
    deadline_ms: 1_000,
    targets_per_process: 1,
    zones: &["svealand-a", "svealand-b", "svealand-c", "svealand-d"],
    fault_load: 0.3,
};

/// The batch ledger of the brief.
const BATCH_LEDGER: BenchWorkload = BenchWorkload {
    name: "batch-ledger",
    zones: &["tihany", "badacsony", "pecsely"],
    ..REGISTER_PORTAL
};

/// An index of many shards in few processes, at a rate that one machine can sustain.
const WIDE: BenchWorkload = BenchWorkload {
    name: "wide",
    shard_count: 200,
    deadline_ms: 2_000,
    targets_per_process: 20,
    fault_load: 0.04,
    ..REGISTER_PORTAL
};

/// The error for a workload name that does not exist.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("no workload {name}; there are register-portal, batch-ledger and wide")]
pub struct UnknownWorkload {
    name: String,
}

impl BenchWorkload {
    /// Returns every workload.
    pub fn all() -> Vec<Self> {
        vec![REGISTER_PORTAL, BATCH_LEDGER, WIDE]
    }

    /// Finds a workload by name.
    ///
    /// # Errors
    ///
    /// Fails when no workload has this name.
    pub fn find(name: &str) -> Result<Self, UnknownWorkload> {
        Self::all()
            .into_iter()
            .find(|workload| workload.name == name)
            .ok_or_else(|| UnknownWorkload { name: name.to_owned() })
    }

    /// Returns whether one machine can sustain the rate that fills every slot.
    pub fn carries_full_load(&self) -> bool {
        self.full_rate() * f64::from(self.shard_count) <= MAX_SHARD_RATE
    }

    /// Returns the rate that fills every slot, in queries per second.
    pub fn full_rate(&self) -> f64 {
        let slots = f64::from(self.slots * self.replica_count);
        slots * 1_000_000.0 / self.mean_service_us as f64
    }

    /// Returns the layout of the index.
    ///
    /// # Errors
    ///
    /// Fails when a name of the workload is not a valid identifier.
    pub fn layout(&self) -> Result<IndexLayout, figglade::IdError> {
        let zones: Result<Vec<_>, _> = self.zones.iter().map(|zone| zone.parse()).collect();
        Ok(IndexLayout {
            index: self.name.parse()?,
            shard_count: self.shard_count,
            replica_count: self.replica_count,
            records: u64::from(self.shard_count) * RECORDS_PER_SHARD,
            version: IndexVersion::new(1),
            partition_epoch: PartitionEpoch::new(1),
            zones: zones?,
        })
    }

    /// Returns the settings of every target, ordered by replica, then by shard.
    ///
    /// # Errors
    ///
    /// Fails when the layout is invalid.
    pub fn targets(
        &self,
        layout: &IndexLayout,
        announce_to: &[std::net::SocketAddr],
        seed: u64,
    ) -> Result<Vec<StandInSettings>, SettingsError> {
        let loopback = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let mut targets = layout.targets(announce_to)?;
        for target in &mut targets {
            target.control_listen = Some(loopback);
            target.slots = self.slots;
            target.queue = TARGET_QUEUE;
            target.connections = self.connections;
            target.connect_cost_ms = self.connect_cost_ms;
            target.seed ^= seed;
            target.service_time =
                ServiceTime { kind: ServiceKind::Exponential, mean_us: self.mean_service_us };
        }
        Ok(targets)
    }
}
