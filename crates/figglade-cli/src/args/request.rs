//! Arguments of requests and of the time line.

use std::{path::PathBuf, time::Duration};

use bpaf::{Bpaf, ShellComp};
use figglade::{IndexName, RequestId};

use super::DurationArg;

/// The search to run.
#[derive(Clone, Debug, Bpaf)]
pub struct QueryOptions {
    /// The index to search
    #[bpaf(long, argument("INDEX"))]
    pub index: IndexName,
    /// The maximum number of hits
    #[bpaf(long, argument("N"), fallback(10), display_fallback)]
    pub limit: u32,
    /// The time to wait for the answer, in milliseconds
    #[bpaf(long, argument("MS"), fallback(2_000), display_fallback)]
    pub deadline_ms: u64,
    /// The minimum accepted fraction of the documents, from 0 to 1
    #[bpaf(long, argument("FRACTION"))]
    pub min_coverage: Option<f64>,
    /// The identifier of the request
    #[bpaf(long, argument("UUID"))]
    pub request_id: Option<RequestId>,
    /// The query, in JSON
    #[bpaf(positional("QUERY"))]
    pub query: String,
}

/// The lookup to run.
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

/// The action to run.
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
    /// The identifier of the request, a version 7 UUID; generated and printed if omitted
    #[bpaf(long, argument("UUID"))]
    pub request_id: Option<RequestId>,
    /// The body, in JSON
    #[bpaf(positional("BODY"))]
    pub body: String,
}

/// The events to show.
#[derive(Clone, Debug, Bpaf)]
pub struct TimelineOptions {
    /// The maximum age of the events, such as 30s, 5m or 2h
    #[bpaf(
        long,
        argument("AGE"),
        fallback(DurationArg(Duration::from_secs(300))),
        display_fallback
    )]
    pub since: DurationArg,
    /// Shows only the events of this request
    #[bpaf(long, argument("UUID"))]
    pub request: Option<RequestId>,
    /// Writes an HTML page with a lane for each instance
    #[bpaf(long, argument("FILE"), complete_shell(ShellComp::File { mask: Some("*.html") }))]
    pub html: Option<PathBuf>,
}
