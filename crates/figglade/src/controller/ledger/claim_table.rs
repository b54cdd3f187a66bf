//! Claims on the right to run an action, and the recorded ends of actions.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::claims::{
    CLAIM_GRACE_MS, ClaimHolder, ClaimReply, ClaimStatus, FinishReply, MAX_ALL_RESULT_BYTES,
    MAX_CLAIMS, MAX_FUTURE_MS, MAX_FUTURE_REFUSALS, MAX_RECORD_REASON_BYTES, MAX_RESULT_BYTES,
};
use crate::{
    RequestId, WallTime,
    border::{ActionRecord, BodyDigest, ClaimDecision, ClaimRequest},
    controller::ledger::{ClaimAbandon, ClaimFinish, ClaimRefusal},
    wire::ActionOutcome,
};

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimEntry {
    /// The digest of the body.
    digest: BodyDigest,
    /// What the ledger holds.
    status: ClaimStatus,
}

/// The limits that the configuration sets.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimLimits {
    /// The age beyond which an identifier is refused, in milliseconds.
    pub(super) window_ms: u64,
    /// The longest deadline, in milliseconds.
    pub(super) max_deadline_ms: u64,
}

/// The claims within the window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct ClaimTable {
    /// The highest wall time of any command.
    clock: WallTime,
    /// Identifiers made before this are refused. It only rises, so that a longer window lets no
    /// pruned identifier run again.
    floor: WallTime,
    /// The claims; version 7 identifiers sort by the time they were made.
    entries: BTreeMap<RequestId, ClaimEntry>,
    /// The open claims.
    open: BTreeSet<RequestId>,
    /// The bytes of all results.
    result_bytes: usize,
}

impl ClaimTable {
    /// Returns what is held about `request`.
    pub(super) fn status(&self, request: RequestId) -> Option<&ClaimStatus> {
        self.entries.get(&request).map(|entry| &entry.status)
    }

    /// Returns the claims held.
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

    /// Returns the clock: the highest wall time of any command.
    pub(super) const fn clock(&self) -> WallTime {
        self.clock
    }

    /// Moves the clock and the window on, and drops the claims that left the window.
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

    /// Grants the claim to at most one sending ever.
    pub(super) fn begin(&mut self, claim: ClaimRequest, limits: ClaimLimits) -> ClaimReply {
        if let Some(entry) = self.entries.get(&claim.request) {
            let digest = entry.digest;
            return ClaimReply::Decided(self.begin_again(&claim, digest, limits));
        }
        if !self.is_within_window(claim.request) || self.is_ahead(claim.request) {
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
    fn begin_again(
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
            // The grant was lost on its way; the sending that waits for it gets it again.
            Some(ClaimStatus::Open(holder)) if is_same_sending(holder, claim) => {
                return ClaimDecision::Granted;
            }
            Some(ClaimStatus::Open(holder)) => self.lost_holder_reason(holder, claim, limits),
            None => None,
        };
        match reason {
            Some(reason) => ClaimDecision::Recorded(self.end_unknown(claim.request, reason)),
            None => ClaimDecision::InProgress,
        }
    }

    /// Returns why the holder can no longer report, or `None` while it may.
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

    /// Records the end of an action.
    pub(super) fn finish(&mut self, finish: ClaimFinish) -> FinishReply {
        let Some(entry) = self.entries.get(&finish.request) else {
            return self.refuse_unclaimed(finish);
        };
        if entry.digest != finish.digest {
            return FinishReply::BodyMismatch;
        }
        match &entry.status {
            ClaimStatus::Ended(record) if is_same_end(record, &finish.record) => {
                FinishReply::Recorded
            }
            ClaimStatus::Ended(record) => FinishReply::EndedBefore(record.clone()),
            ClaimStatus::Open(holder) if is_held_by(holder, &finish) => {
                self.end(finish.request, finish.record);
                FinishReply::Recorded
            }
            ClaimStatus::Open(_) => FinishReply::NotHolder,
        }
    }

    /// Takes the word of an instance that holds no claim: only a refusal counts.
    fn refuse_unclaimed(&mut self, finish: ClaimFinish) -> FinishReply {
        if !self.is_within_window(finish.request) {
            return FinishReply::OutsideWindow;
        }
        if finish.record.outcome != ActionOutcome::NotRun {
            return FinishReply::NotClaimed;
        }
        self.insert_refusal(finish.request, finish.digest, finish.record)
    }

    /// Records that a request nobody claimed will never run.
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

    /// Adds the record of a request that is not in the table.
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

    /// Ends the claims that earlier incarnations of an instance left open; returns their number.
    pub(super) fn abandon(&mut self, abandon: &ClaimAbandon) -> u64 {
        let left: Vec<RequestId> = self
            .open()
            .filter(|(_, holder)| holder.instance == abandon.instance)
            .filter(|(_, holder)| holder.incarnation < abandon.before_incarnation)
            .map(|(request, _)| request)
            .collect();
        for request in &left {
            self.end_unknown(*request, "the instance was lost before the outcome was recorded");
        }
        left.len() as u64
    }

    /// Ends an open claim as unknown and returns the record.
    fn end_unknown(&mut self, request: RequestId, reason: &str) -> ActionRecord {
        let record = ActionRecord {
            outcome: ActionOutcome::Unknown,
            result: None,
            reason: Some(reason.to_owned()),
        };
        self.end(request, record.clone());
        record
    }

    /// Records the end of a request that has an entry.
    fn end(&mut self, request: RequestId, record: ActionRecord) {
        let record = self.bound_record(record);
        self.result_bytes += result_length(&record);
        self.open.remove(&request);
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.status = ClaimStatus::Ended(record);
        }
    }

    /// Shortens the reason and drops a result that is too large to keep.
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
        } else if self.result_bytes + length > MAX_ALL_RESULT_BYTES {
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

    /// Returns whether the identifier has not left the window.
    fn is_within_window(&self, request: RequestId) -> bool {
        request.created_at().is_some_and(|created| created >= self.floor)
    }

    /// Returns whether the identifier lies too far ahead of the clock to be claimed.
    fn is_ahead(&self, request: RequestId) -> bool {
        request.created_at().is_some_and(|created| created > self.latest_claimable())
    }

    /// Returns the latest time at which a claimable identifier was made.
    const fn latest_claimable(&self) -> WallTime {
        WallTime::from_millis(self.clock.as_millis().saturating_add(MAX_FUTURE_MS))
    }

    /// Returns whether a refusal fits. Identifiers that lie ahead stay until their time has come and
    /// gone, so they have a small bound of their own.
    fn has_room_for_refusal(&self, request: RequestId) -> bool {
        if self.entries.len() >= MAX_CLAIMS {
            return false;
        }
        if !self.is_ahead(request) {
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

/// Returns the bytes of the result.
fn result_length(record: &ActionRecord) -> usize {
    record.result.as_ref().map_or(0, |result| result.len())
}

/// Returns whether `finish` comes from the holder of the claim.
fn is_held_by(holder: &ClaimHolder, finish: &ClaimFinish) -> bool {
    holder.instance == finish.instance && holder.incarnation == finish.incarnation
}

/// Returns whether a resent record is the one kept, whose result may have been dropped.
fn is_same_end(kept: &ActionRecord, resent: &ActionRecord) -> bool {
    kept.outcome == resent.outcome && (kept.result.is_none() || kept.result == resent.result)
}

/// Returns whether the claim is a copy of the one that the holder was granted.
fn is_same_sending(holder: &ClaimHolder, claim: &ClaimRequest) -> bool {
    holder.nonce != 0
        && holder.nonce == claim.nonce
        && holder.instance == claim.instance
        && holder.incarnation == claim.incarnation
}
