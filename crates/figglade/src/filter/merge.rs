//! Merging of shard answers and accounting for coverage.
