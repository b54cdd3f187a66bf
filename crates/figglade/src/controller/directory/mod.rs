//! The directory of targets, replicated on all instances.
//!
//! A target announces itself to any instance. New and changed announcements are disseminated as
//! rumors, drains first, and anti-entropy delivers those that rumors lost. A renewal without
//! changes is sent only to the watchers of the target, which track when it lapses and disseminate
//! the lapse as a rumor.

pub mod check;
pub mod compact;
pub mod controller;
mod reconcile;
pub mod table;
pub mod types;
mod watches;

pub use check::check_announcement;
pub use controller::TargetDirectory;
pub use types::*;
