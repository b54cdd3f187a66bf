//! Tests of mismatched, late, partial and lost replies and of the result reported to the caller.

mod filter_support;

use figglade::{
    IndexVersion, ShardId, Timestamp,
    border::AttemptError,
    filter::fanout::{AttemptKind, ReplyOutcome},
    wire::{MissingReason, SearchReply},
};
use filter_support::{
    DEADLINE, SHARD_DOCUMENTS, TestRun, cancelled, context, reply, sent, snapshot,
};

const NOW: Timestamp = Timestamp::from_millis(5);

#[test]
fn test_mismatched_answers_are_never_merged() {
    let wrong: [fn(&mut SearchReply); 4] = [
        |reply| reply.attempt_id = figglade::AttemptId::new(1),
        |reply| reply.shard = ShardId::new(1),
        |reply| reply.version = IndexVersion::new(8),
        |reply| reply.index = "batch-ledger".parse().expect("a valid name"),
    ];
    for corrupt in wrong {
        let (snapshot, context) = (snapshot(1, 1), context(1));
        let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
        let first = run.first[0].clone();
        let mut reply = reply(&first, SHARD_DOCUMENTS);
        corrupt(&mut reply);
        let (outcome, _) = run.run.handle_reply(first.attempt, Ok(reply), NOW, &mut run.rng);
        assert_eq!(outcome, ReplyOutcome::Failed(AttemptError::Mismatched));
        let merged = run.run.finish(10);
        assert!(merged.hits.is_empty() && !merged.complete);
        assert_eq!(merged.coverage.missing[0].reason, MissingReason::Failed);
    }
}

#[test]
fn test_duplicate_answer_is_discarded() {
    let (snapshot, context) = (snapshot(2, 1), context(2));
    let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
    let first = run.first[0].clone();
    run.answer(&first, NOW);
    let duplicate = Ok(reply(&first, SHARD_DOCUMENTS));
    let (outcome, actions) = run.run.handle_reply(first.attempt, duplicate, NOW, &mut run.rng);
    assert_eq!(outcome, ReplyOutcome::Late);
    assert!(actions.is_empty() && !run.run.is_done());
}

#[test]
fn test_partial_answer_is_retried_and_the_fuller_one_kept() {
    for (retried, expected) in [(SHARD_DOCUMENTS, SHARD_DOCUMENTS), (10, 60)] {
        let (snapshot, context) = (snapshot(1, 2), context(2));
        let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
        let first = run.first[0].clone();
        let retries = sent(&run.answer_partially(&first, 60, NOW));
        assert_eq!(retries[0].kind, AttemptKind::Retry);
        run.answer_partially(&retries[0], retried, NOW);
        assert!(run.run.is_done());
        let merged = run.run.finish(10);
        assert_eq!(merged.coverage.documents_searched, expected);
        assert_eq!(merged.complete, expected == SHARD_DOCUMENTS);
        assert_eq!(merged.hits.len(), 1);
        assert_eq!(merged.hits[0].id, format!("0-{expected}"));
    }
}

#[test]
fn test_partial_answer_is_used_at_the_deadline() {
    let (snapshot, context) = (snapshot(1, 2), context(2));
    let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
    let first = run.first[0].clone();
    run.answer_partially(&first, 60, NOW);
    run.timer(DEADLINE);
    let merged = run.run.finish(10);
    assert_eq!(merged.coverage.documents_searched, 60);
    assert_eq!(merged.coverage.missing[0].reason, MissingReason::Partial);
}

#[test]
fn test_missing_snapshot_is_reported_and_remembered() {
    let (snapshot, context) = (snapshot(1, 3), context(3));
    let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
    let mut open = vec![run.first[0].clone()];
    while let Some(attempt) = open.pop() {
        let error = Err(AttemptError::VersionNotHeld);
        let (_, actions) = run.run.handle_reply(attempt.attempt, error, NOW, &mut run.rng);
        open.extend(sent(&actions));
    }
    assert!(run.run.is_done() && run.run.lost_snapshot());
    // The next request sends no attempt and reports the missing snapshot at once. After a few
    // seconds, the replicas are tried again.
    let next = TestRun::start(&snapshot, &context, NOW);
    assert!(next.first.is_empty() && next.run.lost_snapshot());
    let later = TestRun::start(&snapshot, &context, NOW + std::time::Duration::from_secs(3));
    assert_eq!(later.first.len(), 1);
}

#[test]
fn test_open_attempts_are_cancelled_when_the_request_is_aborted() {
    let (snapshot, context) = (snapshot(4, 2), context(8));
    let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
    let first = run.first.clone();
    run.answer(&first[0], NOW);
    let cancelled = cancelled(&run.run.abort(NOW));
    let open: Vec<_> = first[1..].iter().map(|sent| sent.attempt).collect();
    assert_eq!(cancelled, open);
    for route in snapshot.replicas.iter().flatten() {
        assert_eq!(route.load.view(NOW).in_flight, 0, "{}", route.target);
    }
}

#[test]
fn test_retries_stop_when_targets_shed() {
    let (snapshot, context) = (snapshot(10, 3), context(30));
    let (mut first, mut retries) = (0, 0);
    for _ in 0..100 {
        let mut run = TestRun::start(&snapshot, &context, NOW);
        let mut open = run.first.clone();
        first += open.len();
        while let Some(attempt) = open.pop() {
            let error = Err(AttemptError::Shed);
            let (_, actions) = run.run.handle_reply(attempt.attempt, error, NOW, &mut run.rng);
            let sent = sent(&actions);
            retries += sent.len();
            open.extend(sent);
        }
        let merged = run.run.finish(10);
        assert!(merged.coverage.missing.iter().all(|shard| shard.reason == MissingReason::Shed));
    }
    assert!(retries * 100 <= first * 2, "{retries} retries for {first} first attempts");
}

#[test]
fn test_no_attempt_is_sent_to_a_target_that_drains_during_the_request() {
    let (snapshot, context) = (snapshot(1, 3), context(3));
    let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
    let first = run.first[0].clone();
    let others = snapshot.replicas[0].iter().map(|route| &route.target);
    let mut live: std::collections::HashSet<_> = others.cloned().collect();
    live.remove(&first.route.target);
    let drained = live.iter().next().cloned().expect("two others");
    live.remove(&drained);
    context.picker.live.set(live.clone());
    let error = Err(AttemptError::Lost);
    let (_, actions) = run.run.handle_reply(first.attempt, error, NOW, &mut run.rng);
    let retries = sent(&actions);
    assert_eq!(retries.len(), 1);
    assert!(live.contains(&retries[0].route.target));
    context.picker.live.set(std::collections::HashSet::new());
    let error = Err(AttemptError::Lost);
    let (_, actions) = run.run.handle_reply(retries[0].attempt, error, NOW, &mut run.rng);
    assert!(sent(&actions).is_empty() && run.run.is_done());
}

#[test]
fn test_partial_answers_leave_the_retry_budget_to_failures() {
    let (snapshot, context) = (snapshot(1, 3), context(3));
    let (mut first, mut retries) = (0, 0);
    for _ in 0..1_000 {
        let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
        let mut open = run.first.clone();
        first += open.len();
        while let Some(attempt) = open.pop() {
            let sent = sent(&run.answer_partially(&attempt, 60, NOW));
            retries += sent.len();
            open.extend(sent);
        }
        assert!(run.run.is_done());
    }
    assert!(retries <= 10 + first * 2 / 100, "{retries} retries for {first} first attempts");
    assert!(context.retries.try_spend(), "the retry budget is spent");
}
