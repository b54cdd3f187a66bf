//! The targets of services, as they report themselves.
//!
//! A report goes to one control instance. Changes spread to all instances; unchanged reports do
//! not. Reports and records may arrive late and in any order, so each record is ordered by the
//! start of the target and the sequence of its reports, and what ended stays ended.

mod records;
mod reports;

pub use self::{
    records::{ServiceDirectory, TargetRecord},
    reports::{ReportOutcome, ReportTracker, TargetPhase, TargetReport},
};
