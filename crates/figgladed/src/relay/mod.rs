//! The data path of a route set: accepts requests of callers, forwards them to targets of services,
//! and relays or merges the answers.
//!
//! All of it runs on the one thread of the process. An attempt needs no task and no channel of its
//! own: its request is written to a keep-alive connection, and the task of that connection delivers
//! the answer. Where targets accept too few connections, or the zone has too few targets, searches
//! are handed over to an aggregator, which scatters them instead.

mod aggregate;
mod answer;
mod drain_inbox;
mod edge;
mod forward;
mod handler;
mod handover;
mod headers;
mod link;
mod metrics;
mod overload;
mod pool;
mod quota;
mod request_log;
mod search_message;

pub use self::{
    aggregate::{AggregatorService, SearchInput},
    edge::{EdgeRules, EdgeState},
    handler::{ReadyHandler, RelayHandler},
    handover::{AggregatorLink, HandoverError, SearchHandover},
    headers::{CallerHead, HeaderNames},
    metrics::RelayMetrics,
    overload::OverloadControl,
    quota::{HubChoice, QuotaClient},
    search_message::{
        DeclineReason, MergedAnswer, ProbeLoad, SearchMessage, SearchPlan, SearchProbe,
        SearchReply, SearchRun,
    },
};
