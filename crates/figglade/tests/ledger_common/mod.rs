//! Helpers for the tests of the ledger.

use figglade::{
    Incarnation, RequestId, WallTime,
    border::{ActionRecord, BodyDigest, ClaimDecision, ClaimRequest},
    controller::{
        fleet::parse_document_value,
        ledger::{
            ClaimAbandon, ClaimFinish, ClaimRefusal, ClaimReply, ConfigOutcome, ConfigPut,
            FinishReply, Ledger, LedgerCommand, LedgerReply,
        },
    },
    wire::ActionOutcome,
};
use serde_json::{Value, json};

/// The wall time at which the tests start, in milliseconds.
pub const START_MS: u64 = 1_800_000_000_000;

/// Returns the wall time `offset_ms` after the start.
pub fn wall(offset_ms: i64) -> WallTime {
    WallTime::from_millis(START_MS.checked_add_signed(offset_ms).unwrap())
}

/// Builds the id of the `number`th request created `offset_ms` after the start.
pub fn request(offset_ms: i64, number: u16) -> RequestId {
    let mut random = [0; 10];
    random[8..].copy_from_slice(&number.to_be_bytes());
    RequestId::from_parts(wall(offset_ms), random)
}

/// Returns the digest of an action with the given body.
pub fn digest(body: &str) -> BodyDigest {
    BodyDigest::of_action(&"batch-ledger".parse().unwrap(), "key", body)
}

/// Builds the record of an action without a reason.
pub fn record(outcome: ActionOutcome, result: Option<&str>) -> ActionRecord {
    ActionRecord { outcome, result: result.map(|text| text.to_owned().into()), reason: None }
}

/// A ledger that applies commands at consecutive log indexes.
#[derive(Default)]
pub struct TestLedger {
    pub ledger: Ledger,
    index: u64,
}

impl TestLedger {
    /// Applies a command at the next index.
    pub fn apply(&mut self, command: &LedgerCommand) -> LedgerReply {
        self.index += 1;
        self.ledger.apply(self.index.into(), &command.encode().unwrap()).unwrap()
    }

    /// Claims a request for an instance and incarnation and returns the decision.
    pub fn begin(
        &mut self,
        request: RequestId,
        body: &str,
        holder: (&str, u64),
        offset_ms: i64,
    ) -> ClaimDecision {
        match self.begin_raw(request, body, holder, offset_ms) {
            ClaimReply::Decided(decision) => decision,
            ClaimReply::TableFull => panic!("the claim table is full"),
        }
    }

    /// Claims a request and returns the reply, which may be [`ClaimReply::TableFull`].
    pub fn begin_raw(
        &mut self,
        request: RequestId,
        body: &str,
        holder: (&str, u64),
        offset_ms: i64,
    ) -> ClaimReply {
        let command = LedgerCommand::BeginClaim(ClaimRequest {
            nonce: 0,
            request,
            digest: digest(body),
            instance: holder.0.parse().unwrap(),
            incarnation: Incarnation::new(holder.1),
            wall: wall(offset_ms),
        });
        match self.apply(&command) {
            LedgerReply::Claim(reply) => reply,
            other => panic!("unexpected reply to a claim: {other:?}"),
        }
    }

    /// Records the outcome of a request.
    pub fn finish(
        &mut self,
        request: RequestId,
        body: &str,
        holder: (&str, u64),
        record: ActionRecord,
        offset_ms: i64,
    ) -> FinishReply {
        let command = LedgerCommand::FinishClaim(ClaimFinish {
            request,
            digest: digest(body),
            record,
            instance: holder.0.parse().unwrap(),
            incarnation: Incarnation::new(holder.1),
            wall: wall(offset_ms),
        });
        match self.apply(&command) {
            LedgerReply::Finish(reply) => reply,
            other => panic!("unexpected reply to an outcome: {other:?}"),
        }
    }

    /// Refuses a copy of a request that does not hold the claim.
    pub fn refuse(&mut self, request: RequestId, body: &str, offset_ms: i64) -> FinishReply {
        let command = LedgerCommand::RefuseClaim(ClaimRefusal {
            request,
            digest: digest(body),
            reason: "no room".to_owned(),
            wall: wall(offset_ms),
        });
        match self.apply(&command) {
            LedgerReply::Finish(reply) => reply,
            other => panic!("unexpected reply to a refusal: {other:?}"),
        }
    }

    /// Abandons the claims of incarnations before `before` and returns their number.
    pub fn abandon(&mut self, instance: &str, before: u64, offset_ms: i64) -> u64 {
        let command = LedgerCommand::AbandonClaims(ClaimAbandon {
            instance: instance.parse().unwrap(),
            before_incarnation: Incarnation::new(before),
            wall: wall(offset_ms),
        });
        match self.apply(&command) {
            LedgerReply::Abandoned { claims } => claims,
            other => panic!("unexpected reply to abandoned claims: {other:?}"),
        }
    }

    /// Puts a configuration and returns the outcome.
    pub fn put(
        &mut self,
        change_id: &str,
        base_version: u64,
        defaults: Value,
        exceptions: Value,
    ) -> ConfigOutcome {
        let document = json!({
            "change_id": change_id,
            "base_version": base_version,
            "defaults": defaults,
            "exceptions": exceptions,
        });
        let command = LedgerCommand::PutConfig(ConfigPut {
            document: parse_document_value(&document).unwrap(),
            wall: wall(0),
            instance: "i1".parse().unwrap(),
        });
        match self.apply(&command) {
            LedgerReply::Config(outcome) => outcome,
            other => panic!("unexpected reply to a configuration: {other:?}"),
        }
    }
}
