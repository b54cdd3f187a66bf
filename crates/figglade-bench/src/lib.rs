//! Measures the tier: open-loop load, baselines, faults and the comparison with targets.
//!
//! A query's latency counts from its planned start, so that a slow answer does not hide the
//! queries that waited behind it.

pub mod baseline;
pub mod case;
pub mod check;
pub mod cluster;
pub mod control;
pub mod load;
pub mod report;
pub mod run;
pub mod runner;
pub mod summary;
pub mod workload;
