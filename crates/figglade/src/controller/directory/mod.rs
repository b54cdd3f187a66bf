//! The directory of targets, spread over all instances.
//!
//! A target announces itself to any instance. New and changed announcements spread as rumors,
//! drains first, and anti-entropy repairs what rumors lost. A renewal without change goes only to
//! the watchers of the target, which track when it lapses and spread that as a rumor.

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
