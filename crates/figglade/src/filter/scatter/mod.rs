//! Sends one request to a target of one service, or of each shard, as a state machine: attempts,
//! hedges, retries, the cut-off of a search near its goal, and the deadline.
//!
//! Targets are chosen for each attempt anew, so that one which began to drain is not sent to. The
//! driver keeps the answers; the run only decides.

mod aggregator;
mod budget;
mod choice;
mod cutoff;
mod load;
mod profile;
mod run;
mod share;
mod subset;

pub use self::{
    aggregator::{AggregatorPicker, HandoverState, ZoneCoverage, wants_aggregator},
    budget::{BudgetRules, ExtraBudget},
    choice::{ChoicePurpose, choose_replica},
    cutoff::{CoverageState, CutoffTimes, CutoffVerdict, decide_cutoff},
    load::{AttemptEnd, AttemptTicket, ReplicaSpec, ReplicaState},
    profile::RouteProfile,
    run::{
        AttemptKind, FailureReason, ScatterAction, ScatterEnd, ScatterRules, ScatterRun,
        ServiceState,
    },
    share::InstanceShare,
    subset::{ConnectionPlan, plan_connections},
};
