//! Directory of the targets of services, built from the reports that targets send.
//!
//! A target reports to one control instance. Reports that change a record are forwarded to all
//! instances; unchanged reports are not. Reports and records may arrive late and in any order, so
//! each record is ordered by the incarnation of the target and the sequence of its reports, and a
//! target that is gone stays gone for that incarnation.
//!
//! Targets report before a route set names their service, and a report may come from another writer and
//! bear the id or the address of a sound target. The record of a service that the route set in force
//! does not name is therefore kept apart until it is named.

mod capacity;
mod records;
mod reports;
mod unnamed;

pub use self::{
    capacity::TargetCapacity,
    records::{ServiceDirectory, TargetRecord},
    reports::{ReportOutcome, ReportTracker, TargetLeave, TargetPhase, TargetReport},
};
