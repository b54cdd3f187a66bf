//! Choice of the instances that watch a target.
