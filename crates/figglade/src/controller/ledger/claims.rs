//! Bounds of claims and the answers to them.

use serde::{Deserialize, Serialize};

use crate::{
    Incarnation, InstanceId, WallTime,
    border::{ActionRecord, ClaimDecision},
};

/// The most claims kept at a time; beyond it a new claim is refused.
pub const MAX_CLAIMS: usize = 100_000;
/// The largest result kept for an action, in bytes.
pub const MAX_RESULT_BYTES: usize = 64 * 1024;
/// The most bytes of results kept for all actions; beyond it an action is recorded without result.
pub const MAX_ALL_RESULT_BYTES: usize = 8 * 1024 * 1024;
/// The longest reason kept, in bytes.
pub const MAX_RECORD_REASON_BYTES: usize = 500;
/// How far ahead of the ledger's clock an identifier may lie, in milliseconds.
pub const MAX_FUTURE_MS: u64 = 60_000;
/// The time past the longest deadline after which an open claim ends as unknown, in milliseconds.
pub const CLAIM_GRACE_MS: u64 = 30_000;
/// The most refusals kept for identifiers that lie too far ahead.
pub const MAX_FUTURE_REFUSALS: usize = 1_000;

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim was decided.
    Decided(ClaimDecision),
    /// No room for another claim; this one was not granted and left no trace.
    TableFull,
}

/// The answer to the end or the refusal of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinishReply {
    /// The end is recorded, now or by an earlier sending.
    Recorded,
    /// The action ended before in another way.
    EndedBefore(ActionRecord),
    /// The claim is open and belongs to another instance, incarnation or copy of the request.
    NotHolder,
    /// Nobody claimed the action, and the record is no refusal.
    NotClaimed,
    /// The identifier was used with another body.
    BodyMismatch,
    /// The identifier left the claim window or is no version 7 UUID; it will never run.
    OutsideWindow,
    /// No room for the refusal of an action nobody claimed.
    TableFull,
}

impl FinishReply {
    /// Returns whether the record given is the one that resends will be answered with.
    pub const fn is_recorded(&self) -> bool {
        matches!(self, Self::Recorded)
    }
}

/// What the ledger holds about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// An instance may be running the action.
    Open(ClaimHolder),
    /// The action ended.
    Ended(ActionRecord),
}

/// Who holds an open claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The instance.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The sending at that instance; 0 where it gave none.
    #[serde(default)]
    pub nonce: u64,
    /// The ledger's clock when the claim was granted.
    pub since: WallTime,
}
