//! Directory of the targets of services, built from the reports that targets send.
//!
//! A target reports to one control instance. Reports that change a record are forwarded to all
//! instances; unchanged reports are not. Reports and records may arrive late and in any order, so
//! each record is ordered by the incarnation of the target and the sequence of its reports, and a
//! target that is gone stays gone for that incarnation.

mod records;
mod reports;

pub use self::{
    records::{ServiceDirectory, TargetRecord},
    reports::{ReportOutcome, ReportTracker, TargetLeave, TargetPhase, TargetReport},
};
