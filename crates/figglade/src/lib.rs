//! Coordination parts of a query tier for data spread over many shards.
//!
//! The crate holds every decision of the tier and performs no I/O: the present time and the random
//! source are arguments of each function that decides, so a test, a bench or a daemon can drive the
//! same code in its own time. Requests walk the chain of [`filter`]; state that outlives a request
//! lives in [`controller`]. What the outside world must provide is named in [`border`].
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
/// Panics when `shard_count` is zero.
pub fn shard_of_key(key: &[u8], shard_count: u32) -> ShardId {
    let hash = xxhash_rust::xxh3::xxh3_64(key);
    ShardId::new((hash % u64::from(shard_count)) as u32)
}
