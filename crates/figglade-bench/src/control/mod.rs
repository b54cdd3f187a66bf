//! Measures the control plane: configuration changes, failover, claims, the cost of an idle fleet,
//! recovery and the memory of the target directory.

mod announcer;
mod change;
mod claims;
mod cost;
mod directory;
mod failover;
mod fleet;
mod recovery;

use derive_more::{Display, FromStr};

use crate::cluster::BenchError;

pub use self::{announcer::FakeTargets, cost::CostOptions};

/// A measurement of the control plane.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum ControlCase {
    /// The time from a `PUT` of the configuration until it is in force at every instance.
    Change,
    /// The time from the loss of the leader to the next accepted action.
    Failover,
    /// The rate and latency of claims.
    Claims,
    /// The peer traffic, processor time and memory of an idle fleet.
    Cost,
    /// The time to restart with a long log.
    Recovery,
    /// The memory of the target directory, without processes.
    Directory,
}

impl ControlCase {
    /// Every case, in the order of the report.
    pub const ALL: [Self; 6] =
        [Self::Change, Self::Failover, Self::Claims, Self::Cost, Self::Recovery, Self::Directory];
}

/// Measures one case and returns its table in Markdown; each row is also printed as soon as
/// it is measured.
///
/// # Errors
///
/// Fails when a process ends or a state is not reached in time.
pub async fn measure_case(case: ControlCase, cost: &CostOptions) -> Result<String, BenchError> {
    match case {
        ControlCase::Change => change::measure_changes().await,
        ControlCase::Failover => failover::measure_failovers().await,
        ControlCase::Claims => claims::measure_claims().await,
        ControlCase::Cost => cost::measure_costs(cost).await,
        ControlCase::Recovery => recovery::measure_recoveries().await,
        ControlCase::Directory => Ok(directory::measure_directory()?),
    }
}

/// A Markdown table that is built and printed row by row.
struct RowTable {
    text: String,
}

impl RowTable {
    /// Starts a table with these column names.
    fn new(columns: &[&str]) -> Self {
        let rule = "|---".repeat(columns.len());
        let mut table = Self { text: String::new() };
        table.push_line(format!("| {} |", columns.join(" | ")));
        table.push_line(format!("{rule}|"));
        table
    }

    /// Adds a row.
    fn push(&mut self, cells: &[String]) {
        self.push_line(format!("| {} |", cells.join(" | ")));
    }

    fn push_line(&mut self, line: String) {
        eprintln!("{line}");
        self.text.push_str(&line);
        self.text.push('\n');
    }
}
