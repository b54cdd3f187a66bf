//! The data path of a route set: takes requests of callers, forwards them to targets of services,
//! and relays or merges the answers.
//!
//! Everything runs on the one thread of the process. An attempt costs no task and no channel: its
//! request is written to a kept connection, and the task of that connection hands the answer over.
//! Where connections or targets in the zone are few, searches go to an aggregator, which does this.

mod aggregate;
mod answer;
mod edge;
mod forward;
mod handler;
mod handover;
mod headers;
mod link;
mod metrics;
mod pool;
mod request_log;
mod search_message;

pub use self::{
    aggregate::{AggregatorService, SearchInput},
    edge::{EdgeRules, EdgeState},
    handler::{ReadyHandler, RelayHandler},
    handover::{AggregatorLink, HandoverError, SearchHandover},
    headers::{CallerHead, HeaderNames},
    metrics::RelayMetrics,
    search_message::{
        DeclineReason, MergedAnswer, SearchMessage, SearchPlan, SearchReply, SearchRun,
    },
};
