//! Claims on the right to run an action, and the recorded outcomes of actions.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::claims::{
    CLAIM_GRACE_MS, ClaimHolder, ClaimReply, ClaimStatus, FinishReply, MAX_CLAIMS, MAX_FUTURE_MS,
    MAX_FUTURE_REFUSALS, MAX_RECORD_REASON_BYTES, MAX_RESULT_BYTES, MAX_TOTAL_RESULT_BYTES,
};
use crate::{
    RequestId, WallTime,
    border::{ActionRecord, BodyDigest, ClaimDecision, ClaimRequest},
    controller::ledger::{ClaimAbandon, ClaimFinish, ClaimRefusal},
    wire::ActionOutcome,
};

/// The claim of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimEntry {
    /// The digest of the body of the request.
    digest: BodyDigest,
    /// Whether the claim is open or has ended.
    status: ClaimStatus,
}

/// Limits for claims from the configuration.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimLimits {
    /// The age beyond which a request id is rejected, in milliseconds.
    pub(super) window_ms: u64,
    /// The longest deadline of a request, in milliseconds.
    pub(super) max_deadline_ms: u64,
}

/// The claims of the requests within the claim window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct ClaimTable {
    /// The highest wall time of any applied command.
    clock: WallTime,
    /// Request ids created before this time are rejected. It never falls, so that a request whose
    /// claim was pruned cannot run again after the window is made longer.
    floor: WallTime,
    /// The claims, oldest request first, because version 7 UUIDs sort by creation time.
    entries: BTreeMap<RequestId, ClaimEntry>,
    /// The requests whose claim is open.
    open: BTreeSet<RequestId>,
    /// The total size of all recorded results, in bytes.
    result_bytes: usize,
}

impl ClaimTable {
    /// Returns the status of the claim of `request`.
    pub(super) fn status(&self, request: RequestId) -> Option<&ClaimStatus> {
        self.entries.get(&request).map(|entry| &entry.status)
    }

    /// Returns the number of claims.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the open claims, oldest first.
    pub(super) fn open(&self) -> impl Iterator<Item = (RequestId, &ClaimHolder)> {
        self.open.iter().filter_map(|request| match self.status(*request) {
            Some(ClaimStatus::Open(holder)) => Some((*request, holder)),
            _ => None,
        })
    }

    /// Returns the highest wall time of any applied command.
    pub(super) const fn clock(&self) -> WallTime {
        self.clock
    }

    /// Advances the clock and the window, and drops the claims that left the window.
    pub(super) fn advance(&mut self, wall: WallTime, limits: ClaimLimits) {
        self.clock = self.clock.max(wall);
        let floor = self.clock.as_millis().saturating_sub(limits.window_ms);
        self.floor = self.floor.max(WallTime::from_millis(floor));
        while let Some((&request, _)) = self.entries.first_key_value()
            && request.created_at().is_none_or(|created| created < self.floor)
        {
            self.remove(request);
        }
    }

    /// Decides a claim. Over the lifetime of the ledger only one claim of a request is granted; the
    /// grant is repeated only for a resend of that same claim.
    pub(super) fn begin(&mut self, claim: ClaimRequest, limits: ClaimLimits) -> ClaimReply {
        if let Some(entry) = self.entries.get(&claim.request) {
            let digest = entry.digest;
            return ClaimReply::Decided(self.begin_existing(&claim, digest, limits));
        }
        if !self.is_within_window(claim.request) || self.is_too_far_ahead(claim.request) {
            return ClaimReply::Decided(ClaimDecision::OutsideWindow);
        }
        if self.entries.len() >= MAX_CLAIMS {
            return ClaimReply::TableFull;
        }
        let holder = ClaimHolder {
            instance: claim.instance,
            incarnation: claim.incarnation,
            nonce: claim.nonce,
            since: self.clock,
        };
        let entry = ClaimEntry { digest: claim.digest, status: ClaimStatus::Open(holder) };
        self.entries.insert(claim.request, entry);
        self.open.insert(claim.request);
        ClaimReply::Decided(ClaimDecision::Granted)
    }

    /// Decides a claim on a request that was claimed or refused before.
    fn begin_existing(
        &mut self,
        claim: &ClaimRequest,
        digest: BodyDigest,
        limits: ClaimLimits,
    ) -> ClaimDecision {
        if digest != claim.digest {
            return ClaimDecision::BodyMismatch;
        }
        let reason = match self.status(claim.request) {
            Some(ClaimStatus::Ended(record)) => return ClaimDecision::Recorded(record.clone()),
            // The reply with the grant was lost; a resend of the same claim gets it again.
            Some(ClaimStatus::Open(holder)) if is_same_claim(holder, claim) => {
                return ClaimDecision::Granted;
            }
            Some(ClaimStatus::Open(holder)) => self.lost_holder_reason(holder, claim, limits),
            None => None,
        };
        match reason {
            Some(reason) => {
                ClaimDecision::Recorded(self.record_unknown_outcome(claim.request, reason))
            }
            None => ClaimDecision::InProgress,
        }
    }

    /// Returns why the holder can no longer report an outcome, or `None` if it still can.
    fn lost_holder_reason(
        &self,
        holder: &ClaimHolder,
        claim: &ClaimRequest,
        limits: ClaimLimits,
    ) -> Option<&'static str> {
        let has_restarted =
            holder.instance == claim.instance && holder.incarnation < claim.incarnation;
        if has_restarted {
            return Some("the instance restarted before the outcome was recorded");
        }
        let open_ms = self.clock.since(holder.since).as_millis() as u64;
        let limit_ms = limits.max_deadline_ms.saturating_add(CLAIM_GRACE_MS);
        (open_ms > limit_ms).then_some("no outcome was recorded in time")
    }

    /// Records the outcome of an action.
    pub(super) fn finish(&mut self, finish: ClaimFinish) -> FinishReply {
        let Some(entry) = self.entries.get(&finish.request) else {
            return self.refuse_unclaimed(finish);
        };
        if entry.digest != finish.digest {
            return FinishReply::BodyMismatch;
        }
        match &entry.status {
            ClaimStatus::Ended(record) if matches_recorded(record, &finish.record) => {
                FinishReply::Recorded
            }
            ClaimStatus::Ended(record) => FinishReply::EndedBefore(record.clone()),
            ClaimStatus::Open(holder) if is_held_by(holder, &finish) => {
                self.record_outcome(finish.request, finish.record);
                FinishReply::Recorded
            }
            ClaimStatus::Open(_) => FinishReply::NotHolder,
        }
    }

    /// Handles an outcome for a request without a claim. Only `NotRun` is accepted, because an
    /// action that nobody claimed cannot have run.
    fn refuse_unclaimed(&mut self, finish: ClaimFinish) -> FinishReply {
        if !self.is_within_window(finish.request) {
            return FinishReply::OutsideWindow;
        }
        if finish.record.outcome != ActionOutcome::NotRun {
            return FinishReply::NotClaimed;
        }
        self.insert_refusal(finish.request, finish.digest, finish.record)
    }

    /// Records that a request without a claim will never run.
    pub(super) fn refuse(&mut self, refusal: ClaimRefusal) -> FinishReply {
        if let Some(entry) = self.entries.get(&refusal.request) {
            return match &entry.status {
                _ if entry.digest != refusal.digest => FinishReply::BodyMismatch,
                ClaimStatus::Open(_) => FinishReply::NotHolder,
                ClaimStatus::Ended(record) if record.outcome == ActionOutcome::NotRun => {
                    FinishReply::Recorded
                }
                ClaimStatus::Ended(record) => FinishReply::EndedBefore(record.clone()),
            };
        }
        if !self.is_within_window(refusal.request) {
            return FinishReply::OutsideWindow;
        }
        let record = ActionRecord {
            outcome: ActionOutcome::NotRun,
            result: None,
            reason: Some(refusal.reason),
        };
        self.insert_refusal(refusal.request, refusal.digest, record)
    }

    /// Records the refusal of a request that is not in the table.
    fn insert_refusal(
        &mut self,
        request: RequestId,
        digest: BodyDigest,
        record: ActionRecord,
    ) -> FinishReply {
        if !self.has_room_for_refusal(request) {
            return FinishReply::TableFull;
        }
        let record = self.bound_record(record);
        self.result_bytes += result_length(&record);
        let entry = ClaimEntry { digest, status: ClaimStatus::Ended(record) };
        self.entries.insert(request, entry);
        FinishReply::Recorded
    }

    /// Ends the open claims of earlier incarnations of an instance as unknown and returns their
    /// number.
    pub(super) fn abandon(&mut self, abandon: &ClaimAbandon) -> u64 {
        let abandoned: Vec<RequestId> = self
            .open()
            .filter(|(_, holder)| holder.instance == abandon.instance)
            .filter(|(_, holder)| holder.incarnation < abandon.before_incarnation)
            .map(|(request, _)| request)
            .collect();
        for request in &abandoned {
            self.record_unknown_outcome(
                *request,
                "the instance was lost before the outcome was recorded",
            );
        }
        abandoned.len() as u64
    }

    /// Ends an open claim with an unknown outcome and returns the record.
    fn record_unknown_outcome(&mut self, request: RequestId, reason: &str) -> ActionRecord {
        let record = ActionRecord {
            outcome: ActionOutcome::Unknown,
            result: None,
            reason: Some(reason.to_owned()),
        };
        self.record_outcome(request, record.clone());
        record
    }

    /// Ends the claim of a request that is in the table.
    fn record_outcome(&mut self, request: RequestId, record: ActionRecord) {
        let record = self.bound_record(record);
        self.result_bytes += result_length(&record);
        self.open.remove(&request);
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.status = ClaimStatus::Ended(record);
        }
    }

    /// Truncates the reason, and drops the result if it exceeds a size limit.
    fn bound_record(&self, mut record: ActionRecord) -> ActionRecord {
        if let Some(reason) = &mut record.reason {
            reason.truncate(reason.floor_char_boundary(MAX_RECORD_REASON_BYTES));
        }
        let length = result_length(&record);
        if length > MAX_RESULT_BYTES {
            record.result = None;
            record.reason = Some(format!(
                "the result of {length} bytes was not kept; at most {MAX_RESULT_BYTES} are"
            ));
        } else if self.result_bytes + length > MAX_TOTAL_RESULT_BYTES {
            record.result = None;
            record.reason = Some("the result was not kept; too many results are held".to_owned());
        }
        record
    }

    /// Drops a claim that left the window.
    fn remove(&mut self, request: RequestId) {
        self.open.remove(&request);
        if let Some(entry) = self.entries.remove(&request)
            && let ClaimStatus::Ended(record) = &entry.status
        {
            self.result_bytes -= result_length(record);
        }
    }

    /// Returns whether the request id has not left the window.
    fn is_within_window(&self, request: RequestId) -> bool {
        request.created_at().is_some_and(|created| created >= self.floor)
    }

    /// Returns whether the request id is too far ahead of the clock to be claimed.
    fn is_too_far_ahead(&self, request: RequestId) -> bool {
        request.created_at().is_some_and(|created| created > self.latest_claimable())
    }

    /// Returns the latest creation time of a request id that can be claimed.
    const fn latest_claimable(&self) -> WallTime {
        WallTime::from_millis(self.clock.as_millis().saturating_add(MAX_FUTURE_MS))
    }

    /// Returns whether there is room for a refusal. Request ids from the future stay in the table
    /// until they leave the window, so a separate, smaller limit applies to them.
    fn has_room_for_refusal(&self, request: RequestId) -> bool {
        if self.entries.len() >= MAX_CLAIMS {
            return false;
        }
        if !self.is_too_far_ahead(request) {
            return true;
        }
        let latest = self.latest_claimable();
        let ahead = self
            .entries
            .keys()
            .rev()
            .take_while(|request| request.created_at().is_some_and(|created| created > latest))
            .take(MAX_FUTURE_REFUSALS)
            .count();
        ahead < MAX_FUTURE_REFUSALS
    }
}

/// Returns the size of the result, in bytes.
fn result_length(record: &ActionRecord) -> usize {
    record.result.as_ref().map_or(0, |result| result.len())
}

/// Returns whether `finish` comes from the holder of the claim.
fn is_held_by(holder: &ClaimHolder, finish: &ClaimFinish) -> bool {
    holder.instance == finish.instance && holder.incarnation == finish.incarnation
}

/// Returns whether a resent record matches the recorded one, whose result may have been dropped.
fn matches_recorded(kept: &ActionRecord, resent: &ActionRecord) -> bool {
    kept.outcome == resent.outcome && (kept.result.is_none() || kept.result == resent.result)
}

/// Returns whether `claim` is a resend of the claim that was granted to `holder`.
fn is_same_claim(holder: &ClaimHolder, claim: &ClaimRequest) -> bool {
    holder.nonce != 0
        && holder.nonce == claim.nonce
        && holder.instance == claim.instance
        && holder.incarnation == claim.incarnation
}
