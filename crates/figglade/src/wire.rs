//! The message bodies of the public HTTP interface.

use std::net::SocketAddr;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use serde_json::{Value, value::RawValue};

use crate::{
    AttemptId, ConfigVersion, Incarnation, IndexName, IndexVersion, PartitionEpoch, RequestId,
    ShardId, TargetId, ZoneName,
};

/// A search over every shard of an index.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueryRequest {
    /// The index to search.
    pub index: IndexName,
    /// The query, passed to the targets unchanged.
    pub query: Box<RawValue>,
    /// The maximum number of hits in the answer.
    pub limit: u32,
    /// The time the caller waits for the answer, in milliseconds.
    pub deadline_ms: u64,
    /// The minimum fraction of the documents that the caller accepts, from 0 to 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub min_coverage: Option<f64>,
    /// The identifier chosen by the caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
}

/// A read of the record with a given key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LookupRequest {
    /// The index to read.
    pub index: IndexName,
    /// The key of the record.
    pub key: String,
    /// The time the caller waits for the answer, in milliseconds.
    pub deadline_ms: u64,
    /// The identifier chosen by the caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
}

/// A request that must run at most once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ActionRequest {
    /// The identifier, a version 7 UUID; it is the same when the request is resent.
    pub request_id: RequestId,
    /// The index whose targets run the action.
    pub index: IndexName,
    /// The key that determines the shard.
    pub key: String,
    /// The body, passed to the target unchanged.
    pub body: Box<RawValue>,
    /// The time the caller waits for the answer, in milliseconds.
    pub deadline_ms: u64,
}

/// One hit of a search.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SearchHit {
    /// The identifier of the record.
    pub id: String,
    /// The score; higher is better.
    pub score: f64,
    /// The record, passed through unchanged.
    #[serde(default = "null_value")]
    pub body: Box<RawValue>,
}

/// Returns the JSON value `null`.
fn null_value() -> Box<RawValue> {
    RawValue::NULL.to_owned()
}

/// The reason why a shard is missing from an answer.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum MissingReason {
    /// No live replica of the shard holds the pinned snapshot.
    NoReplica,
    /// No answer arrived before the deadline.
    Deadline,
    /// Every replica that received the request failed.
    Failed,
    /// Every replica that received the request shed it.
    Shed,
    /// The answer covers fewer documents than the manifest of the shard states.
    Partial,
}

/// One shard that did not answer in full.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// How much of the data an answer covers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Coverage {
    /// The number of documents that were searched.
    pub documents_searched: u64,
    /// The number of documents in the pinned snapshot; `null` if unknown.
    pub documents_total: Option<u64>,
    /// The fraction of the documents that were searched, from 0 to 1; `null` if the total is
    /// unknown.
    pub fraction: Option<f64>,
    /// The number of shards that answered.
    pub shards_answered: u32,
    /// The number of shards in the pinned snapshot; `null` if unknown.
    pub shards_total: Option<u32>,
    /// The shards that did not answer in full.
    pub missing: Vec<MissingShard>,
}

/// The answer to a search or a lookup.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueryResponse {
    /// The identifier of the request.
    pub request_id: RequestId,
    /// The index that was searched.
    pub index: IndexName,
    /// The version that all hits come from.
    pub index_version: IndexVersion,
    /// The partition epoch that all hits come from.
    pub partition_epoch: PartitionEpoch,
    /// How much of the data the answer covers.
    pub coverage: Coverage,
    /// True only if every shard of the pinned snapshot answered in full.
    pub complete: bool,
    /// The hits, best first.
    pub hits: Vec<SearchHit>,
    /// The version of the configuration used for the request.
    pub config_version: ConfigVersion,
    /// The time spent in the tier, in milliseconds.
    pub elapsed_ms: f64,
    /// True if the instance could not prove that its configuration is the latest.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stale: bool,
}

/// The outcome of an action.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum ActionOutcome {
    /// A target ran the action and answered.
    Done,
    /// The action did not run and never will under this identifier.
    NotRun,
    /// The action may or may not have run; it will not be sent again.
    Unknown,
}

/// The answer to an action.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ActionResponse {
    /// The identifier of the request.
    pub request_id: RequestId,
    /// The outcome of the action.
    pub outcome: ActionOutcome,
    /// The result of the target, passed through unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<Box<RawValue>>,
    /// Why the action did not run or its outcome is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// The body of every error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// A stable, machine-readable code.
    pub error_code: String,
    /// A human-readable message.
    pub message: String,
    /// The field that caused the error.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// The outcome of the request; `not_run` only if that is certain.
    pub outcome: ActionOutcome,
}

/// The state that a target announces.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum TargetState {
    /// The target is not serving yet.
    Starting,
    /// The target accepts new requests.
    Ready,
    /// The target completes requests in flight and accepts no new ones.
    Draining,
    /// The target has left.
    Gone,
}

/// One version of an index that a replica holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldVersion {
    /// The version.
    pub version: IndexVersion,
    /// The number of documents of the shard in that version.
    pub documents: u64,
}

/// One replica that a target serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnouncedReplica {
    /// The index.
    pub index: IndexName,
    /// The shard.
    pub shard: ShardId,
    /// The number of shards of the index in this partition epoch.
    pub shard_count: u32,
    /// The partition epoch.
    pub partition_epoch: PartitionEpoch,
    /// The versions held.
    pub versions: Vec<HeldVersion>,
    /// The key ranges of the shard, passed through unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_ranges: Option<Value>,
}

/// The announcement of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The target.
    pub target_id: TargetId,
    /// The start of the target; a higher incarnation replaces a lower one.
    pub incarnation: Incarnation,
    /// The address on which the target listens.
    pub address: SocketAddr,
    /// The availability zone of the target.
    pub availability_zone: ZoneName,
    /// The number of requests the target can run at a time.
    pub slots: u32,
    /// The number of connections the target accepts from all instances together.
    pub connections: u32,
    /// The state of the target.
    pub state: TargetState,
    /// The number of the announcement within the incarnation; a lower one never replaces a higher.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sequence: Option<u64>,
    /// The replicas it serves.
    pub replicas: Vec<AnnouncedReplica>,
}

/// The answer to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceResponse {
    /// The time after which the target must announce itself again, in milliseconds.
    pub announce_again_ms: u64,
}

/// A search of one shard, sent to a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SearchCall {
    /// The attempt, echoed by the target.
    #[serde(with = "attempt_text")]
    pub attempt_id: AttemptId,
    /// The index.
    pub index: IndexName,
    /// The shard.
    pub shard: ShardId,
    /// The pinned partition epoch.
    pub partition_epoch: PartitionEpoch,
    /// The pinned version.
    pub version: IndexVersion,
    /// The time within which the target must answer, in milliseconds.
    pub deadline_ms: u64,
    /// The maximum number of hits.
    pub limit: u32,
    /// The query.
    pub query: Box<RawValue>,
}

/// The answer of a target to a search.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SearchReply {
    /// The attempt.
    #[serde(with = "attempt_text")]
    pub attempt_id: AttemptId,
    /// The index.
    pub index: IndexName,
    /// The shard.
    pub shard: ShardId,
    /// The version that was searched.
    pub version: IndexVersion,
    /// The number of documents that were searched.
    pub documents_searched: u64,
    /// The hits, best first.
    pub hits: Vec<SearchHit>,
}

/// An action, sent to a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ActCall {
    /// The attempt, echoed by the target.
    #[serde(with = "attempt_text")]
    pub attempt_id: AttemptId,
    /// The request of the caller.
    pub request_id: RequestId,
    /// The index.
    pub index: IndexName,
    /// The shard.
    pub shard: ShardId,
    /// The key.
    pub key: String,
    /// The body.
    pub body: Box<RawValue>,
    /// The time within which the target must answer, in milliseconds.
    pub deadline_ms: u64,
}

/// The answer of a target to an action.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ActReply {
    /// The attempt.
    #[serde(with = "attempt_text")]
    pub attempt_id: AttemptId,
    /// The request of the caller.
    pub request_id: RequestId,
    /// The result.
    #[serde(default = "null_value")]
    pub result: Box<RawValue>,
}

/// The cancellation of an attempt, sent to a target.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CancelCall {
    /// The attempt to stop.
    #[serde(with = "attempt_text")]
    pub attempt_id: AttemptId,
}

/// The load that a target reports; a hint only.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of requests it is running.
    pub in_flight: u32,
    /// The number of requests it can run at a time.
    pub slots: u32,
    /// The number of requests waiting in its queue.
    pub queue: u32,
}

/// Serializes attempt identifiers as UUID text, because JSON readers may not support 128-bit
/// numbers.
mod attempt_text {
    use serde::{Deserialize, Deserializer, Serializer};
    use uuid::Uuid;

    use crate::AttemptId;

    pub(super) fn serialize<S: Serializer>(
        attempt: &AttemptId,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&Uuid::from_u128(attempt.get()))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<AttemptId, D::Error> {
        let uuid = Uuid::deserialize(deserializer)?;
        Ok(AttemptId::new(uuid.as_u128()))
    }
}
