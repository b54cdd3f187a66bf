//! Failures of scenario commands.

use std::time::Duration;

use datadriven::DataDrivenError;
use derive_more::{Display, Error, From};

use crate::{client::TestClientError, harness::HarnessError, stand_in::StandInError};

/// The reason a command of a scenario failed.
#[derive(Debug, Display, Error, From)]
pub enum ScenarioError {
    /// The command is not written as allowed.
    #[display("usage: {reason}")]
    #[from(ignore)]
    Usage {
        /// What is wrong.
        reason: String,
    },
    /// An argument is missing or not understood.
    #[display("{_0}")]
    Argument(DataDrivenError),
    /// A process could not be run as asked.
    #[display("{_0}")]
    Harness(HarnessError),
    /// A stand-in target did not start.
    #[display("{_0}")]
    StandIn(StandInError),
    /// A request brought no answer.
    #[display("{_0}")]
    Client(TestClientError),
    /// A socket could not be bound.
    #[display("{_0}")]
    Socket(std::io::Error),
    /// What was waited for did not come.
    #[display("{what} did not come within {} s; last seen: {seen}", waited.as_secs())]
    #[from(ignore)]
    TimedOut {
        /// What was waited for.
        what: String,
        /// The time that was waited.
        waited: Duration,
        /// What was seen last.
        seen: String,
    },
    /// An earlier command failed.
    #[display("{first}")]
    #[from(ignore)]
    Skipped {
        /// The first failure.
        first: String,
    },
}

impl ScenarioError {
    /// Creates a failure of a command that is not written as allowed.
    pub(super) fn usage(reason: impl Into<String>) -> Self {
        Self::Usage { reason: reason.into() }
    }
}
