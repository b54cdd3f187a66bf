//! Claims of actions, decided by the control group.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use figglade::{
    RequestId,
    border::{
        ActionRecord, BodyDigest, BoxFuture, ClaimDecision, ClaimError, ClaimRequest, ClaimStore,
    },
    controller::ledger::{
        ClaimAbandon, ClaimFinish, ClaimRefusal, ClaimReply, FinishReply, LedgerCommand,
        LedgerReply,
    },
    wire::ActionOutcome,
};
use slog::warn;

use super::{group::ProposeMode, plane::ControlPlane};

/// How long beginning a claim may try to reach the leader.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// How long recording the end of a claim may try to reach the leader.
const FINISH_TIMEOUT: Duration = Duration::from_secs(30);

impl ControlPlane {
    /// Abandons the claims that earlier incarnations of this instance left open; later calls do
    /// nothing.
    pub(super) fn abandon_old_claims(&self) {
        if self.claims_abandoned.swap(true, Ordering::Relaxed) {
            return;
        }
        let command = LedgerCommand::AbandonClaims(ClaimAbandon {
            instance: self.parts.instance.clone(),
            before_incarnation: self.parts.incarnation,
            wall: self.parts.clock.wall(),
        });
        let group = Arc::clone(&self.parts.group);
        let log = self.parts.log.clone();
        tokio::spawn(async move {
            let result = group.propose(&command, ProposeMode::Idempotent, FINISH_TIMEOUT).await;
            if let Err(error) = result {
                warn!(log, "claims: open claims of earlier incarnations were not abandoned"; "error" => %error);
            }
        });
    }
}

impl ClaimStore for ControlPlane {
    fn begin_claim(&self, claim: ClaimRequest) -> BoxFuture<Result<ClaimDecision, ClaimError>> {
        let group = Arc::clone(&self.parts.group);
        Box::pin(async move {
            let command = LedgerCommand::BeginClaim(claim);
            // The nonce of the claim makes a repeated command idempotent.
            let reply = group.propose(&command, ProposeMode::Idempotent, CLAIM_TIMEOUT).await?;
            match reply {
                LedgerReply::Claim(ClaimReply::Decided(decision)) => Ok(decision),
                _ => Err(ClaimError::NotProposed),
            }
        })
    }

    fn finish_claim(
        &self,
        request: RequestId,
        digest: BodyDigest,
        record: ActionRecord,
    ) -> BoxFuture<Result<(), ClaimError>> {
        let group = Arc::clone(&self.parts.group);
        let outcome = record.outcome;
        let command = LedgerCommand::FinishClaim(ClaimFinish {
            request,
            digest,
            record,
            instance: self.parts.instance.clone(),
            incarnation: self.parts.incarnation,
            wall: self.parts.clock.wall(),
        });
        Box::pin(async move {
            let reply = group.propose(&command, ProposeMode::Idempotent, FINISH_TIMEOUT).await?;
            match reply {
                LedgerReply::Finish(FinishReply::Recorded) => Ok(()),
                LedgerReply::Finish(FinishReply::EndedBefore(known)) => {
                    // A repeated command finds its own record. A different one was recorded by
                    // another command and stays.
                    let same = known.outcome == outcome && outcome != ActionOutcome::Unknown;
                    if same { Ok(()) } else { Err(ClaimError::Undecided) }
                }
                _ => Err(ClaimError::Undecided),
            }
        })
    }

    fn refuse_claim(
        &self,
        request: RequestId,
        digest: BodyDigest,
        reason: String,
    ) -> BoxFuture<Result<(), ClaimError>> {
        let group = Arc::clone(&self.parts.group);
        let wall = self.parts.clock.wall();
        let command = LedgerCommand::RefuseClaim(ClaimRefusal { request, digest, reason, wall });
        Box::pin(async move {
            let reply = group.propose(&command, ProposeMode::Idempotent, FINISH_TIMEOUT).await?;
            match reply {
                LedgerReply::Finish(FinishReply::Recorded) => Ok(()),
                _ => Err(ClaimError::Undecided),
            }
        })
    }
}
