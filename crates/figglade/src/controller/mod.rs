//! State that outlives a request.

pub mod directory;
pub mod event;
pub mod fleet;
pub mod ledger;
pub mod membership;
pub mod quorum;
pub mod share;
pub mod watch;
