//! Coordination logic of a query tier for data spread over many shards.
//!
//! The crate makes every decision of the tier and performs no I/O. The current time and the random
//! number generator are arguments of the functions that need them, so a test, a benchmark or a
//! daemon can run the same code on its own clock. Requests pass through the chain of [`filter`];
//! state that is kept beyond single requests is in [`controller`]. [`border`] defines the traits
//! that the embedding program implements.
//!
//! ```
//! use figglade::shard_of_key;
//!
//! let shard = shard_of_key(b"certificate-1", 10);
//! assert!(shard.get() < 10);
//! assert_eq!(shard, shard_of_key(b"certificate-1", 10));
//! ```

pub mod border;
pub mod controller;
pub mod filter;
pub mod ids;
pub mod peer;
pub mod time;
pub mod wire;

pub use crate::ids::*;
pub use crate::time::{Timestamp, WallTime};

/// Returns the shard that owns `key` in an index of `shard_count` shards.
///
/// # Panics
///
/// Panics if `shard_count` is zero.
pub fn shard_of_key(key: &[u8], shard_count: u32) -> ShardId {
    let hash = xxhash_rust::xxh3::xxh3_64(key);
    ShardId::new((hash % u64::from(shard_count)) as u32)
}
