//! State machine that sends one request to a target of a single service, or to one target per shard:
//! attempts, hedges, retries, the cut-off of a search at its latency goal, and the deadline.
//!
//! The target is chosen at the time of each attempt, so that a target that has started to drain
//! gets no further attempts. The state machine does no I/O: the driver sends the attempts and keeps
//! the answers.

mod aggregator;
mod answer_delay;
mod budget;
mod choice;
mod cutoff;
mod load;
mod profile;
mod run;
mod service;
mod share;
mod subset;

pub use self::{
    aggregator::{
        AggregatorPicker, HandoverState, ZoneCoverage, should_delegate, should_hand_over,
    },
    answer_delay::AnswerDelay,
    budget::{BudgetRules, ExtraBudget},
    choice::{ChoicePurpose, choose_replica},
    cutoff::{CoverageState, CutoffAction, CutoffTimes, decide_cutoff},
    load::{AttemptEnd, AttemptTicket, MAX_BACKOFF, ReplicaSpec, ReplicaState},
    profile::RouteProfile,
    run::{AttemptKind, FailureReason, ScatterAction, ScatterEnd, ScatterRules, ScatterRun},
    service::ServiceState,
    share::InstanceShare,
    subset::{ConnectionPlan, plan_connections},
};
