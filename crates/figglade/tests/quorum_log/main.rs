//! Tests of the quorum log over simulated members, clocks, disks and network.

mod directed;
mod group;
mod invariants;
mod random;
mod store;
