//! Shares of the connection caps of targets under leases.
//!
//! The instances that may connect to targets are the holders of an epoch, which the control group
//! commits. A target's cap is divided among them. Epochs change in two steps, so that the shares
//! in use never add up to more than a cap: a holder that hears of a new epoch first keeps to the
//! smaller of its shares and acknowledges; only when every holder with a running lease did so is
//! the new epoch usable by itself. A holder that cannot renew its lease closes its connections
//! before the leader counts the lease as over.

pub mod division;
pub mod holder;
pub mod leader;
pub mod types;

pub use division::{divided_share, reserved_share, total_share};
pub use holder::ShareHolder;
pub use leader::ShareLeader;
pub use types::*;
