//! Membership of instances by gossip with suspicion and incarnations.
//!
//! Each instance probes one member a period, directly and then through others; a member that
//! answers nobody is suspected and, unless it refutes in time, declared dead. Changes ride on
//! probes and on gossip, each sent a number of times that grows with the logarithm of the fleet.
//! Anti-entropy repairs what gossip lost, and dead members and seeds are retried at a low rate, so
//! that halves of a fleet that lost each other join again.

pub mod controller;
mod detect;
pub mod digest;
mod probe;
mod rejoin;
pub mod rumor;
pub mod sync;
pub mod table;
pub mod types;

pub use controller::MembershipController;
pub use types::*;
