//! Messages between instances about searches that one scatters for another.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use figglade::{
    filter::scatter::FailureReason,
    peer::{CodecError, FrameKind, PeerFrame, decode_payload, encode_compact, encode_payload},
};
use serde::{Deserialize, Serialize};

/// Identifies the shards of a search, so that both sides search the same ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchPlan {
    /// The name of the route.
    pub route: String,
    /// The digest of its shards and of how their records are merged.
    pub digest: u64,
}

/// A probe of an aggregator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchProbe {
    /// The name of the route.
    pub route: String,
    /// The digest of its shards and of how their records are merged.
    pub digest: u64,
    /// What the aggregator decides by whether it accepts the search; absent from probes that only keep
    /// a link connected or check it, and from those of releases without admission by load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<ProbeLoad>,
}

/// What a search costs and how urgent it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ProbeLoad {
    /// The priority of its customer, or else of its route; 0 is the highest.
    pub priority: u32,
    /// Whether its customer is far above its usual rate.
    pub is_above_usual: bool,
    /// The number of shards that the aggregator is to search.
    pub shards: u32,
    /// The time left to the latency goal.
    pub goal_left: Duration,
    /// The time left to the deadline.
    pub deadline_left: Duration,
}

impl SearchProbe {
    /// Creates a probe for a search by `plan`.
    pub fn new(plan: &SearchPlan, load: Option<ProbeLoad>) -> Self {
        Self { route: plan.route.clone(), digest: plan.digest, load }
    }
}

/// A search as it is handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchRun {
    /// The plan that identifies the route and its shards.
    pub plan: SearchPlan,
    /// The positions of the shards to search; an empty list means all.
    pub shards: Vec<u32>,
    /// The minimum number of shards that make a partial answer once the goal has passed.
    pub least_answers: u32,
    /// The identifier of the request.
    pub request_id: Option<Bytes>,
    /// The request head for targets, without the headers that differ between them.
    pub head: Bytes,
    /// The request body for targets.
    pub body: Bytes,
    /// Whether the request is a `HEAD`, whose answers have no body.
    pub is_head: bool,
    /// The time left to the latency goal, less the round trip between the instances.
    pub goal_left: Duration,
    /// The time left to the deadline, less the round trip between the instances.
    pub deadline_left: Duration,
}

/// A message to an aggregator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SearchMessage {
    /// Asks whether the aggregator would accept a search now; nothing runs yet.
    Probe(SearchProbe),
    /// Hands a search over.
    Run(SearchRun),
}

/// The reason an aggregator does not accept a search.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
pub enum DeclineReason {
    /// It does not hold the same shards for the route.
    OtherPlan,
    /// It already scatters the maximum number of searches.
    Busy,
    /// It is stopping.
    Stopping,
    /// It is busy with work that takes precedence, or cannot answer in time. Sent only in answer to probes with a
    /// [`ProbeLoad`], because earlier releases cannot decode it.
    #[display("overloaded")]
    Overloaded {
        /// The estimated time until it has room, spread at random.
        retry_after: Duration,
    },
}

/// The merged records of the shards that answered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MergedAnswer {
    /// The proofs of the shards, separated by commas.
    pub proofs: Bytes,
    /// The number of shards without an answer.
    pub missing: usize,
    /// The records.
    pub records: Bytes,
}

/// The answer of an aggregator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SearchReply {
    /// It accepts a search now.
    Ready,
    /// It does not accept the search; nothing ran.
    Declined(DeclineReason),
    /// The search was answered.
    Answered(MergedAnswer),
    /// The search has no answer.
    Failed(FailureReason),
}

impl SearchMessage {
    /// Encodes the message for a link.
    ///
    /// # Errors
    ///
    /// Fails when the codec refuses a value.
    pub fn to_frame(&self) -> Result<PeerFrame, CodecError> {
        let payload = match self {
            // Earlier releases ignore unknown fields that have names, but reject a message that has
            // more fields than they know and no names.
            Self::Probe(SearchProbe { load: Some(_), .. }) => encode_payload(self)?,
            _ => encode_compact(self)?,
        };
        Ok(PeerFrame { kind: FrameKind::Search, payload })
    }
}

impl SearchReply {
    /// Encodes the answer for a link.
    ///
    /// # Errors
    ///
    /// Fails when the codec refuses a value.
    pub fn to_frame(&self) -> Result<PeerFrame, CodecError> {
        Ok(PeerFrame { kind: FrameKind::Search, payload: encode_compact(self)? })
    }

    /// Decodes the answer of a peer.
    ///
    /// # Errors
    ///
    /// Fails when the payload is cut short or holds another type.
    pub fn from_frame(frame: &PeerFrame) -> Result<Self, CodecError> {
        decode_payload(&frame.payload)
    }
}
