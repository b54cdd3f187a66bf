//! The directory of targets, spread over all instances.
