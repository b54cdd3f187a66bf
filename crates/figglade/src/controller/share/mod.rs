//! Divides the connection caps of targets among instances, under leases.
//!
//! The instances that may connect to targets are the holders of an epoch, which the control group
//! commits. The cap of a target is divided among them. Epochs change in two steps, so that the
//! shares in use never add up to more than the cap: a holder that learns of a new epoch first
//! limits itself to the smaller of its old and new shares and acknowledges the epoch. Only when
//! every holder with a valid lease has done so does the new epoch become usable on its own. A
//! holder that cannot renew its lease closes its connections before the leader considers the lease
//! expired.

pub mod division;
pub mod holder;
pub mod leader;
pub mod types;

pub use division::{divided_share, reserved_share, total_share};
pub use holder::ShareHolder;
pub use leader::ShareLeader;
pub use types::*;
