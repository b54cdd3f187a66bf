//! Limits of claims and the replies to them.

use serde::{Deserialize, Serialize};

use crate::{
    Incarnation, InstanceId, WallTime,
    border::{ActionRecord, ClaimDecision},
};

/// The maximum number of claims in the table. A new claim beyond it is refused.
pub const MAX_CLAIMS: usize = 100_000;
/// The maximum size of the recorded result of one action, in bytes.
pub const MAX_RESULT_BYTES: usize = 64 * 1024;
/// The maximum total size of all recorded results, in bytes. Beyond it an action is recorded
/// without its result.
pub const MAX_TOTAL_RESULT_BYTES: usize = 8 * 1024 * 1024;
/// The maximum length of a recorded reason, in bytes.
pub const MAX_RECORD_REASON_BYTES: usize = 500;
/// How far ahead of the clock of the ledger a request id may be to be claimed, in milliseconds.
pub const MAX_FUTURE_MS: u64 = 60_000;
/// The time after the longest deadline from which another claim of the same request ends the open
/// claim as unknown, in milliseconds.
pub const CLAIM_GRACE_MS: u64 = 30_000;
/// The maximum number of recorded refusals of request ids that are too far in the future.
pub const MAX_FUTURE_REFUSALS: usize = 1_000;

/// The reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim was decided.
    Decided(ClaimDecision),
    /// The table is full. The claim was not granted and nothing was recorded.
    TableFull,
}

/// The reply to the outcome or the refusal of an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinishReply {
    /// The outcome is recorded, by this command or an earlier copy of it.
    Recorded,
    /// Another outcome was recorded before.
    EndedBefore(ActionRecord),
    /// The claim is open and held by another instance, incarnation or copy of the request.
    NotHolder,
    /// Nobody claimed the action, and the record is not a refusal.
    NotClaimed,
    /// The request id was used before with another body.
    BodyMismatch,
    /// The request id left the claim window or is not a version 7 UUID. The action will never run.
    OutsideWindow,
    /// The table has no room for the refusal of an action that nobody claimed.
    TableFull,
}

impl FinishReply {
    /// Returns whether resends of the request will be answered with the reported record.
    pub const fn is_recorded(&self) -> bool {
        matches!(self, Self::Recorded)
    }
}

/// The status of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// An instance holds the claim and may be running the action.
    Open(ClaimHolder),
    /// The outcome of the action is recorded.
    Ended(ActionRecord),
}

/// The holder of an open claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
    /// The nonce of the granted claim, which tells a resend of it from the claim of another copy of
    /// the request at the same instance. 0 stands for none.
    #[serde(default)]
    pub nonce: u64,
    /// The clock of the ledger when the claim was granted.
    pub since: WallTime,
}
