//! Measures the tier under open-loop load and faults, and compares it with baselines and bounds.
//!
//! The latency of a query is measured from its planned start, so that queries delayed by a slow
//! answer count with their whole delay (coordinated omission).

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
