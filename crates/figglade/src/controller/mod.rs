//! State that is kept beyond single requests, and the decisions based on it.

pub mod aggregators;
pub mod census;
pub mod directory;
pub mod evacuation;
pub mod event;
pub mod fleet;
pub mod group_keeper;
pub mod hub_chooser;
pub mod ledger;
pub mod membership;
pub mod quorum;
pub mod quota;
pub mod route_set;
pub mod service_directory;
pub mod share;
pub mod watch;
