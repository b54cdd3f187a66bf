//! The state machine behind the quorum log: configuration, claims, manifests and members.
