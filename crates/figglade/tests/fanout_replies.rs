//! Replies: wrong, late, short and lost ones, and what the caller is told.

mod filter_support;

use figglade::{
    IndexVersion, ShardId, Timestamp,
    border::AttemptError,
    filter::fanout::{AttemptKind, ReplyOutcome},
    wire::{MissingReason, SearchReply},
};
use filter_support::{DEADLINE, DOCUMENTS, TestRun, cancelled, reply, sent, snapshot, tools};

const NOW: Timestamp = Timestamp::from_millis(5);

#[test]
fn test_answers_to_another_question_are_never_merged() {
    let wrong: [fn(&mut SearchReply); 4] = [
        |reply| reply.attempt_id = figglade::AttemptId::new(1),
        |reply| reply.shard = ShardId::new(1),
        |reply| reply.version = IndexVersion::new(8),
        |reply| reply.index = "batch-ledger".parse().expect("a valid name"),
    ];
    for spoil in wrong {
        let (snapshot, tools) = (snapshot(1, 1), tools(1));
        let mut run = TestRun::start(&snapshot, &tools, Timestamp::ZERO);
        let first = run.first[0].clone();
        let mut reply = reply(&first, DOCUMENTS);
        spoil(&mut reply);
        let (verdict, _) = run.run.handle_reply(first.attempt, Ok(reply), NOW, &mut run.rng);
        assert_eq!(verdict, ReplyOutcome::Failed(AttemptError::Mismatched));
        let merged = run.run.finish(10);
        assert!(merged.hits.is_empty() && !merged.complete);
        assert_eq!(merged.coverage.missing[0].reason, MissingReason::Failed);
    }
}

#[test]
fn test_a_doubled_answer_is_late() {
    let (snapshot, tools) = (snapshot(2, 1), tools(2));
    let mut run = TestRun::start(&snapshot, &tools, Timestamp::ZERO);
    let first = run.first[0].clone();
    run.answer(&first, NOW);
    let again = Ok(reply(&first, DOCUMENTS));
    let (verdict, actions) = run.run.handle_reply(first.attempt, again, NOW, &mut run.rng);
    assert_eq!(verdict, ReplyOutcome::Late);
    assert!(actions.is_empty() && !run.run.is_done());
}

#[test]
fn test_a_short_answer_is_retried_and_the_fuller_one_kept() {
    for (retried, expected) in [(DOCUMENTS, DOCUMENTS), (10, 60)] {
        let (snapshot, tools) = (snapshot(1, 2), tools(2));
        let mut run = TestRun::start(&snapshot, &tools, Timestamp::ZERO);
        let first = run.first[0].clone();
        let retries = sent(&run.answer_part(&first, 60, NOW));
        assert_eq!(retries[0].kind, AttemptKind::Retry);
        run.answer_part(&retries[0], retried, NOW);
        assert!(run.run.is_done());
        let merged = run.run.finish(10);
        assert_eq!(merged.coverage.documents_searched, expected);
        assert_eq!(merged.complete, expected == DOCUMENTS);
        assert_eq!(merged.hits.len(), 1);
        assert_eq!(merged.hits[0].id, format!("0-{expected}"));
    }
}

#[test]
fn test_a_short_answer_counts_at_the_deadline() {
    let (snapshot, tools) = (snapshot(1, 2), tools(2));
    let mut run = TestRun::start(&snapshot, &tools, Timestamp::ZERO);
    let first = run.first[0].clone();
    run.answer_part(&first, 60, NOW);
    run.timer(DEADLINE);
    let merged = run.run.finish(10);
    assert_eq!(merged.coverage.documents_searched, 60);
    assert_eq!(merged.coverage.missing[0].reason, MissingReason::Partial);
}

#[test]
fn test_a_snapshot_that_is_gone_is_reported_and_remembered() {
    let (snapshot, tools) = (snapshot(1, 3), tools(3));
    let mut run = TestRun::start(&snapshot, &tools, Timestamp::ZERO);
    let mut open = vec![run.first[0].clone()];
    while let Some(attempt) = open.pop() {
        let error = Err(AttemptError::VersionNotHeld);
        let (_, actions) = run.run.handle_reply(attempt.attempt, error, NOW, &mut run.rng);
        open.extend(sent(&actions));
    }
    assert!(run.run.is_done() && run.run.lost_snapshot());
    // The next request asks nobody and knows at once; a little later the replicas are asked again.
    let next = TestRun::start(&snapshot, &tools, NOW);
    assert!(next.first.is_empty() && next.run.lost_snapshot());
    let later = TestRun::start(&snapshot, &tools, NOW + std::time::Duration::from_secs(3));
    assert_eq!(later.first.len(), 1);
}

#[test]
fn test_every_open_attempt_is_cancelled_when_the_caller_left() {
    let (snapshot, tools) = (snapshot(4, 2), tools(8));
    let mut run = TestRun::start(&snapshot, &tools, Timestamp::ZERO);
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
    let (snapshot, tools) = (snapshot(10, 3), tools(30));
    let (mut first, mut retries) = (0, 0);
    for _ in 0..100 {
        let mut run = TestRun::start(&snapshot, &tools, NOW);
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
fn test_no_new_work_goes_to_a_target_that_drains_under_a_request() {
    let (snapshot, tools) = (snapshot(1, 3), tools(3));
    let mut run = TestRun::start(&snapshot, &tools, Timestamp::ZERO);
    let first = run.first[0].clone();
    let others = snapshot.replicas[0].iter().map(|route| &route.target);
    let mut live: std::collections::HashSet<_> = others.cloned().collect();
    live.remove(&first.route.target);
    let drained = live.iter().next().cloned().expect("two others");
    live.remove(&drained);
    tools.picker.live.set(live.clone());
    let error = Err(AttemptError::Lost);
    let (_, actions) = run.run.handle_reply(first.attempt, error, NOW, &mut run.rng);
    let retries = sent(&actions);
    assert_eq!(retries.len(), 1);
    assert!(live.contains(&retries[0].route.target));
    tools.picker.live.set(std::collections::HashSet::new());
    let error = Err(AttemptError::Lost);
    let (_, actions) = run.run.handle_reply(retries[0].attempt, error, NOW, &mut run.rng);
    assert!(sent(&actions).is_empty() && run.run.is_done());
}

#[test]
fn test_a_shard_that_is_short_everywhere_leaves_the_retries_to_others() {
    let (snapshot, tools) = (snapshot(1, 3), tools(3));
    let (mut first, mut retries) = (0, 0);
    for _ in 0..1_000 {
        let mut run = TestRun::start(&snapshot, &tools, Timestamp::ZERO);
        let mut open = run.first.clone();
        first += open.len();
        while let Some(attempt) = open.pop() {
            let sent = sent(&run.answer_part(&attempt, 60, NOW));
            retries += sent.len();
            open.extend(sent);
        }
        assert!(run.run.is_done());
    }
    assert!(retries <= 10 + first * 2 / 100, "{retries} retries for {first} first attempts");
    assert!(tools.retries.try_spend(), "the budget of retries is untouched");
}
