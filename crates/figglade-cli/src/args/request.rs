//! The arguments of requests and of the time line.

use std::{path::PathBuf, time::Duration};

use bpaf::{Bpaf, ShellComp};
use figglade::{IndexName, RequestId};

use super::SpanArg;

/// A search.
#[derive(Clone, Debug, Bpaf)]
pub struct QueryOptions {
    /// The index to search
    #[bpaf(long, argument("INDEX"))]
    pub index: IndexName,
    /// The largest number of hits
    #[bpaf(long, argument("N"), fallback(10), display_fallback)]
    pub limit: u32,
    /// The time to wait for the answer, in milliseconds
    #[bpaf(long, argument("MS"), fallback(2_000), display_fallback)]
    pub deadline_ms: u64,
    /// The smallest accepted share of the documents, from 0 to 1
    #[bpaf(long, argument("FRACTION"))]
    pub min_coverage: Option<f64>,
    /// The identifier of the request
    #[bpaf(long, argument("UUID"))]
    pub request_id: Option<RequestId>,
    /// The query, in JSON
    #[bpaf(positional("QUERY"))]
    pub query: String,
}

/// A lookup.
#[derive(Clone, Debug, Bpaf)]
pub struct LookupOptions {
    /// The index to read
    #[bpaf(long, argument("INDEX"))]
    pub index: IndexName,
    /// The time to wait for the answer, in milliseconds
    #[bpaf(long, argument("MS"), fallback(2_000), display_fallback)]
    pub deadline_ms: u64,
    /// The identifier of the request
    #[bpaf(long, argument("UUID"))]
    pub request_id: Option<RequestId>,
    /// The key of the record
    #[bpaf(positional("KEY"))]
    pub key: String,
}

/// An action.
#[derive(Clone, Debug, Bpaf)]
pub struct ActionOptions {
    /// The index whose targets run the action
    #[bpaf(long, argument("INDEX"))]
    pub index: IndexName,
    /// The key that chooses the shard
    #[bpaf(long, argument("KEY"))]
    pub key: String,
    /// The time to wait for the answer, in milliseconds
    #[bpaf(long, argument("MS"), fallback(5_000), display_fallback)]
    pub deadline_ms: u64,
    /// The identifier of the request, a version 7 UUID; made and printed where it is left out
    #[bpaf(long, argument("UUID"))]
    pub request_id: Option<RequestId>,
    /// The body, in JSON
    #[bpaf(positional("BODY"))]
    pub body: String,
}

/// Selects events.
#[derive(Clone, Debug, Bpaf)]
pub struct TimelineOptions {
    /// How far back the events go, such as 30s, 5m or 2h
    #[bpaf(long, argument("AGE"), fallback(SpanArg(Duration::from_secs(300))), display_fallback)]
    pub since: SpanArg,
    /// Shows only the events of this request
    #[bpaf(long, argument("UUID"))]
    pub request: Option<RequestId>,
    /// Writes a page with a lane for each instance
    #[bpaf(long, argument("FILE"), complete_shell(ShellComp::File { mask: Some("*.html") }))]
    pub html: Option<PathBuf>,
}
