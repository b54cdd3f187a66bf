//! Gossip-based group membership with failure detection, suspicion and incarnations.
//!
//! In each probe period an instance pings one member, directly and then through other members. A
//! member that answers none of these pings is suspected and, unless it refutes the suspicion in
//! time, declared dead. Changes are piggybacked on probes and sent by gossip, each a number of
//! times that grows with the logarithm of the fleet size. Anti-entropy delivers changes that gossip
//! lost. Dead members and seeds are pinged at a low rate, so that the sides of a network partition
//! rejoin once it ends.

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
