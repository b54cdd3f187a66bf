//! Claims: at most one claim of a request is granted, despite lost messages, resends and restarts.

#[allow(dead_code, reason = "the helpers serve several test files")]
mod ledger_common;

use figglade::{
    Incarnation, RequestId,
    border::{ActionRecord, ClaimDecision, ClaimRequest},
    controller::ledger::{
        CLAIM_GRACE_MS, ClaimReply, ClaimStatus, FinishReply, Ledger, LedgerCommand, LedgerReply,
        MAX_CLAIMS, MAX_FUTURE_MS, MAX_FUTURE_REFUSALS, MAX_RECORD_REASON_BYTES, MAX_RESULT_BYTES,
        MAX_TOTAL_RESULT_BYTES,
    },
    wire::ActionOutcome::{Done, NotRun, Unknown},
};
use ledger_common::{TestLedger, digest, record, request, wall};
use serde_json::json;
use uuid::Uuid;

/// The claim window of the built-in configuration, in milliseconds.
const WINDOW_MS: i64 = 3_600_000;
/// The longest deadline of the built-in configuration, in milliseconds.
const MAX_DEADLINE_MS: i64 = 60_000;

/// Returns the record of a decision that must be [`ClaimDecision::Recorded`].
fn recorded(decision: ClaimDecision) -> ActionRecord {
    match decision {
        ClaimDecision::Recorded(record) => record,
        other => panic!("expected a recorded outcome, got {other:?}"),
    }
}

#[test]
fn second_copy_of_a_request_is_never_granted() {
    let mut ledger = TestLedger::default();
    let id = request(0, 1);
    assert_eq!(ledger.begin(id, "a", ("i1", 1), 0), ClaimDecision::Granted);
    assert_eq!(ledger.begin(id, "a", ("i2", 1), 1), ClaimDecision::InProgress);
    assert_eq!(ledger.begin(id, "a", ("i1", 1), 1), ClaimDecision::InProgress);
    assert_eq!(ledger.begin(id, "b", ("i2", 1), 1), ClaimDecision::BodyMismatch);
    let done = record(Done, Some("7"));
    assert_eq!(ledger.finish(id, "a", ("i1", 1), done.clone(), 2), FinishReply::Recorded);
    assert_eq!(recorded(ledger.begin(id, "a", ("i2", 1), 3)), done);
    assert_eq!(ledger.begin(id, "b", ("i2", 1), 3), ClaimDecision::BodyMismatch);
}

#[test]
fn lost_grant_is_repeated_for_a_resend_of_the_same_claim_only() {
    let mut ledger = TestLedger::default();
    let id = request(0, 1);
    let claim = |nonce, incarnation| {
        LedgerCommand::BeginClaim(ClaimRequest {
            request: id,
            digest: digest("a"),
            instance: "i1".parse().unwrap(),
            incarnation: Incarnation::new(incarnation),
            nonce,
            wall: wall(0),
        })
    };
    let decided = |decision| LedgerReply::Claim(ClaimReply::Decided(decision));
    assert_eq!(ledger.apply(&claim(7, 1)), decided(ClaimDecision::Granted));
    assert_eq!(ledger.apply(&claim(7, 1)), decided(ClaimDecision::Granted));
    assert_eq!(ledger.apply(&claim(8, 1)), decided(ClaimDecision::InProgress));
    assert_eq!(ledger.apply(&claim(0, 1)), decided(ClaimDecision::InProgress));
    let done = record(Done, Some("7"));
    assert_eq!(ledger.finish(id, "a", ("i1", 1), done.clone(), 2), FinishReply::Recorded);
    assert_eq!(ledger.apply(&claim(7, 1)), decided(ClaimDecision::Recorded(done)));
}

#[test]
fn only_the_holder_records_the_outcome() {
    let mut ledger = TestLedger::default();
    let id = request(0, 1);
    ledger.begin(id, "a", ("i1", 2), 0);
    let done = record(Done, Some("7"));
    for other in [("i2", 2), ("i1", 1), ("i1", 3)] {
        for record in [done.clone(), record(NotRun, None)] {
            assert_eq!(ledger.finish(id, "a", other, record, 1), FinishReply::NotHolder);
        }
    }
    assert_eq!(ledger.finish(id, "b", ("i1", 2), done.clone(), 1), FinishReply::BodyMismatch);
    assert_eq!(ledger.finish(id, "a", ("i1", 2), done.clone(), 1), FinishReply::Recorded);
    assert_eq!(ledger.finish(id, "a", ("i1", 2), done.clone(), 2), FinishReply::Recorded);
    let late = ledger.finish(id, "a", ("i1", 2), record(NotRun, None), 2);
    assert_eq!(late, FinishReply::EndedBefore(done));
}

#[test]
fn recorded_refusal_stops_a_delayed_copy() {
    let mut ledger = TestLedger::default();
    let id = request(0, 1);
    for outcome in [Done, Unknown] {
        let reply = ledger.finish(id, "a", ("i1", 1), record(outcome, None), 0);
        assert_eq!(reply, FinishReply::NotClaimed);
    }
    let refusal = record(NotRun, None);
    assert_eq!(ledger.finish(id, "a", ("i1", 1), refusal.clone(), 0), FinishReply::Recorded);
    assert_eq!(recorded(ledger.begin(id, "a", ("i2", 1), 5)), refusal);
    assert_eq!(ledger.begin(id, "b", ("i2", 1), 5), ClaimDecision::BodyMismatch);
}

#[test]
fn refusal_of_a_second_copy_leaves_the_claim_open() {
    let mut ledger = TestLedger::default();
    let (id, ended, fresh) = (request(0, 1), request(0, 2), request(0, 3));
    let done = record(Done, Some("7"));
    ledger.begin(id, "a", ("i1", 1), 0);
    ledger.begin(ended, "a", ("i1", 1), 0);
    ledger.finish(ended, "a", ("i1", 1), done.clone(), 1);
    assert_eq!(ledger.refuse(id, "a", 1), FinishReply::NotHolder);
    assert_eq!(ledger.refuse(id, "b", 1), FinishReply::BodyMismatch);
    assert_eq!(ledger.refuse(ended, "a", 1), FinishReply::EndedBefore(done.clone()));
    assert_eq!(ledger.refuse(fresh, "a", 1), FinishReply::Recorded);
    assert_eq!(ledger.refuse(fresh, "a", 2), FinishReply::Recorded);
    assert_eq!(recorded(ledger.begin(fresh, "a", ("i2", 1), 3)).outcome, NotRun);
    assert_eq!(ledger.finish(id, "a", ("i1", 1), done, 4), FinishReply::Recorded);
    assert_eq!(ledger.refuse(request(-WINDOW_MS - 1, 1), "a", 4), FinishReply::OutsideWindow);
}

#[test]
fn restart_of_the_holder_ends_the_claim_as_unknown() {
    let mut ledger = TestLedger::default();
    let id = request(0, 1);
    ledger.begin(id, "a", ("i1", 2), 0);
    assert_eq!(ledger.begin(id, "a", ("i1", 1), 1), ClaimDecision::InProgress);
    assert_eq!(recorded(ledger.begin(id, "a", ("i1", 3), 2)).outcome, Unknown);
    assert_eq!(recorded(ledger.begin(id, "a", ("i2", 1), 3)).outcome, Unknown);
    let late = ledger.finish(id, "a", ("i1", 2), record(Done, Some("7")), 4);
    assert!(matches!(late, FinishReply::EndedBefore(record) if record.outcome == Unknown));
}

#[test]
fn claims_of_a_lost_instance_are_abandoned() {
    let mut ledger = TestLedger::default();
    for (number, holder) in [(1, ("i1", 1)), (2, ("i1", 2)), (3, ("i2", 1)), (4, ("i1", 1))] {
        ledger.begin(request(0, number), "a", holder, 0);
    }
    ledger.finish(request(0, 4), "a", ("i1", 1), record(Done, None), 1);
    assert_eq!(ledger.abandon("i1", 2, 2), 1);
    assert_eq!(ledger.abandon("i1", 2, 2), 0);
    assert_eq!(recorded(ledger.begin(request(0, 1), "a", ("i3", 1), 3)).outcome, Unknown);
    assert_eq!(recorded(ledger.begin(request(0, 4), "a", ("i3", 1), 3)).outcome, Done);
    let open: Vec<RequestId> = ledger.ledger.open_claims().map(|(id, _)| id).collect();
    assert_eq!(open, [request(0, 2), request(0, 3)]);
}

#[test]
fn unfinished_claim_ends_as_unknown_after_the_longest_deadline() {
    let mut ledger = TestLedger::default();
    let id = request(0, 1);
    let limit = MAX_DEADLINE_MS + CLAIM_GRACE_MS as i64;
    ledger.begin(id, "a", ("i1", 1), 0);
    assert_eq!(ledger.begin(id, "a", ("i2", 1), limit), ClaimDecision::InProgress);
    assert_eq!(recorded(ledger.begin(id, "a", ("i2", 1), limit + 1)).outcome, Unknown);
}

#[test]
fn request_ids_outside_the_window_are_refused() {
    let mut ledger = TestLedger::default();
    let oldest = request(-WINDOW_MS, 1);
    let newest = request(MAX_FUTURE_MS as i64, 1);
    let refused = [
        request(-WINDOW_MS - 1, 1),
        request(MAX_FUTURE_MS as i64 + 1, 1),
        RequestId::from(Uuid::from_u128(0x1234_5678_1234_4321_8123_1234_5678_9abc)),
        RequestId::from(Uuid::nil()),
    ];
    for id in refused {
        assert_eq!(ledger.begin(id, "a", ("i1", 1), 0), ClaimDecision::OutsideWindow, "{id}");
        assert_eq!(ledger.ledger.claim_status(id), None);
    }
    for id in [oldest, newest] {
        assert_eq!(ledger.begin(id, "a", ("i1", 1), 0), ClaimDecision::Granted);
    }
    for id in [refused[0], refused[2]] {
        let reply = ledger.finish(id, "a", ("i1", 1), record(NotRun, None), 0);
        assert_eq!(reply, FinishReply::OutsideWindow);
    }
}

#[test]
fn pruned_claim_never_runs_again() {
    let mut ledger = TestLedger::default();
    let id = request(0, 1);
    ledger.begin(id, "a", ("i1", 1), 0);
    ledger.begin(request(WINDOW_MS, 2), "a", ("i1", 1), WINDOW_MS);
    assert_eq!(recorded(ledger.begin(id, "a", ("i2", 1), WINDOW_MS)).outcome, Unknown);
    ledger.begin(request(WINDOW_MS, 3), "a", ("i1", 1), WINDOW_MS + 1);
    assert_eq!(ledger.ledger.claim_status(id), None);
    // Neither a clock that runs behind nor a longer window makes the request id valid again.
    assert_eq!(ledger.begin(id, "a", ("i2", 1), 0), ClaimDecision::OutsideWindow);
    ledger.put("a", 0, json!({"claim_window_ms": 86_400_000}), json!([]));
    assert_eq!(ledger.begin(id, "a", ("i2", 1), WINDOW_MS + 2), ClaimDecision::OutsideWindow);
    let late = ledger.finish(id, "a", ("i1", 1), record(Done, None), WINDOW_MS + 2);
    assert_eq!(late, FinishReply::OutsideWindow);
}

#[test]
fn refusal_of_a_future_request_id_holds_when_its_time_comes() {
    let mut ledger = TestLedger::default();
    let ahead = 10 * WINDOW_MS;
    let id = request(ahead, 1);
    assert_eq!(ledger.begin(id, "a", ("i1", 1), 0), ClaimDecision::OutsideWindow);
    let refusal = record(NotRun, None);
    assert_eq!(ledger.finish(id, "a", ("i1", 1), refusal.clone(), 0), FinishReply::Recorded);
    assert_eq!(recorded(ledger.begin(id, "a", ("i2", 1), ahead)), refusal);
}

#[test]
fn refusals_of_future_request_ids_have_a_separate_limit() {
    let mut ledger = TestLedger::default();
    for number in 0..MAX_FUTURE_REFUSALS as u16 {
        assert_eq!(ledger.refuse(request(WINDOW_MS, number), "a", 0), FinishReply::Recorded);
    }
    let id = request(WINDOW_MS, MAX_FUTURE_REFUSALS as u16);
    assert_eq!(ledger.refuse(id, "a", 0), FinishReply::TableFull);
    assert_eq!(ledger.begin(request(0, 1), "a", ("i1", 1), 0), ClaimDecision::Granted);
}

#[test]
fn full_table_refuses_until_claims_leave_the_window() {
    let mut ledger = TestLedger::default();
    for number in 0..MAX_CLAIMS {
        let id = request(number as i64 / 50_000, (number % 50_000) as u16);
        assert_eq!(ledger.begin(id, "a", ("i1", 1), 0), ClaimDecision::Granted);
    }
    let id = request(5, 1);
    assert_eq!(ledger.begin_raw(id, "a", ("i1", 1), 5), ClaimReply::TableFull);
    let reply = ledger.finish(id, "a", ("i1", 1), record(NotRun, None), 5);
    assert_eq!(reply, FinishReply::TableFull);
    let first = request(0, 0);
    assert_eq!(ledger.finish(first, "a", ("i1", 1), record(Done, None), 5), FinishReply::Recorded);
    let later = WINDOW_MS + 1;
    assert_eq!(ledger.begin(request(later, 1), "a", ("i1", 1), later), ClaimDecision::Granted);
    assert_eq!(ledger.ledger.claim_count(), MAX_CLAIMS - 50_000 + 1);
}

#[test]
fn results_are_bounded_and_the_outcome_is_kept() {
    let mut ledger = TestLedger::default();
    let text = "r".repeat(MAX_RESULT_BYTES);
    let fitting = MAX_TOTAL_RESULT_BYTES / MAX_RESULT_BYTES;
    for number in 0..=fitting as u16 {
        let id = request(0, number);
        ledger.begin(id, "a", ("i1", 1), 0);
        ledger.finish(id, "a", ("i1", 1), record(Done, Some(&text)), 1);
    }
    let kept = |ledger: &TestLedger, number| match ledger.ledger.claim_status(request(0, number)) {
        Some(ClaimStatus::Ended(record)) => record.clone(),
        other => panic!("{other:?}"),
    };
    assert_eq!(kept(&ledger, 0), record(Done, Some(&text)));
    let last = kept(&ledger, fitting as u16);
    assert_eq!((last.outcome, last.result), (Done, None));
    assert!(last.reason.is_some_and(|reason| reason.contains("too many results")));
    let later = request(WINDOW_MS + 2, 1);
    ledger.begin(later, "a", ("i1", 1), WINDOW_MS + 2);
    ledger.finish(later, "a", ("i1", 1), record(Done, Some(&text)), WINDOW_MS + 2);
    let status = ledger.ledger.claim_status(later).cloned();
    assert_eq!(status, Some(ClaimStatus::Ended(record(Done, Some(&text)))));

    let mut ledger = TestLedger::default();
    ledger.begin(request(0, 1), "a", ("i1", 1), 0);
    let long =
        ActionRecord { reason: Some("é".repeat(MAX_RECORD_REASON_BYTES)), ..record(NotRun, None) };
    ledger.finish(request(0, 1), "a", ("i1", 1), long, 1);
    assert_eq!(kept(&ledger, 1).reason.unwrap().len(), MAX_RECORD_REASON_BYTES);
    ledger.begin(request(0, 2), "a", ("i1", 1), 0);
    ledger.finish(request(0, 2), "a", ("i1", 1), record(Done, Some(&format!("{text}r"))), 1);
    let large = kept(&ledger, 2);
    assert_eq!((large.outcome, large.result), (Done, None));
    assert!(large.reason.is_some_and(|reason| reason.contains("65537 bytes")));
}

#[test]
fn claims_survive_a_snapshot() {
    let mut ledger = TestLedger::default();
    ledger.begin(request(0, 1), "a", ("i1", 1), 0);
    ledger.begin(request(0, 2), "a", ("i1", 1), 0);
    ledger.finish(request(0, 2), "a", ("i1", 1), record(Done, Some("7")), 1);
    ledger.ledger = Ledger::decode_state(&ledger.ledger.encode_state().unwrap()).unwrap();
    assert_eq!(ledger.begin(request(0, 1), "a", ("i2", 1), 2), ClaimDecision::InProgress);
    assert_eq!(recorded(ledger.begin(request(0, 2), "a", ("i2", 1), 2)), record(Done, Some("7")));
    assert_eq!(ledger.abandon("i1", 2, 2), 1);
}
