//! Membership of instances by gossip with suspicion and incarnations.
