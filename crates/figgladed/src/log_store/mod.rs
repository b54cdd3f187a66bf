//! The quorum log on checksummed, synced segment files.
