//! Tests of hedges: they are sent only for the last shards, within the budget and never to a slow
//! replica, and their timer does not fire in a busy loop.

mod filter_support;

use std::time::Duration;

use figglade::{
    Timestamp,
    filter::{
        fanout::AttemptKind,
        picker::{AttemptEnd, LoadView},
        routing::TargetRoute,
    },
};
use filter_support::{DEADLINE, TestRun, cancelled, context, sent, snapshot};

fn millis(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Records five answers of a replica, enough for a reliable latency estimate.
fn answer_five(route: &TargetRoute, millis: u64) {
    for _ in 0..5 {
        route.load.begin_attempt();
        let elapsed = Duration::from_millis(millis);
        route.load.finish_attempt(AttemptEnd::Answered, elapsed, Timestamp::ZERO, |_| false);
    }
}

#[test]
fn test_hedge_waits_for_the_tail_and_cancels_the_slower_attempt() {
    let (snapshot, context) = (snapshot(10, 3), context(30));
    let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
    assert_eq!(run.run.next_timer(), DEADLINE, "with ten open shards, none may be hedged");
    for sent in run.first.clone().iter().take(9) {
        run.answer(sent, millis(5));
    }
    let due = run.run.next_timer();
    assert!(due < DEADLINE);
    let hedges = sent(&run.timer(due));
    assert_eq!(hedges.len(), 1);
    assert_eq!((hedges[0].kind, hedges[0].shard), (AttemptKind::Hedge, run.first[9].shard));
    assert_ne!(hedges[0].route.target, run.first[9].route.target);
    let actions = run.answer(&hedges[0], due + Duration::from_millis(5));
    assert_eq!(cancelled(&actions), [run.first[9].attempt]);
    assert!(run.run.is_done());
}

#[test]
fn test_next_timer_is_in_the_future_after_each_timer() {
    let (snapshot, context) = (snapshot(1, 3), context(3));
    while context.hedges.try_spend() {}
    let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
    let mut now = Timestamp::ZERO;
    let mut wake_ups = 0;
    while !run.run.is_done() {
        let due = run.run.next_timer();
        assert!(due > now, "at {now}, the next timer is due at {due}");
        now = due;
        run.timer(now);
        wake_ups += 1;
    }
    assert_eq!(now, DEADLINE);
    assert!(wake_ups < 200, "{wake_ups} wake-ups");
}

#[test]
fn test_hedge_without_a_token_is_sent_once_one_is_available() {
    let (snapshot, context) = (snapshot(1, 3), context(3));
    while context.hedges.try_spend() {}
    let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
    let due = run.run.next_timer();
    assert!(sent(&run.timer(due)).is_empty());
    context.hedges.deposit(2, 1.0);
    let due = run.run.next_timer();
    assert_eq!(sent(&run.timer(due)).len(), 1);
}

#[test]
fn test_no_hedge_is_sent_to_a_slow_replica() {
    let (snapshot, context) = (snapshot(1, 2), context(2));
    let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
    let queried = &run.first[0].route;
    let other = snapshot.replicas[0].iter().find(|route| route.target != queried.target);
    let other = other.expect("two replicas");
    answer_five(queried, 5);
    answer_five(other, 500);
    let due = run.run.next_timer();
    assert!(sent(&run.timer(due)).is_empty());
}

#[test]
fn test_slow_replica_is_probed_once_per_interval() {
    let (snapshot, context) = (snapshot(1, 2), context(2));
    let slow = &snapshot.replicas[0][0];
    answer_five(slow, 200);
    answer_five(&snapshot.replicas[0][1], 20);
    let mut probes = 0;
    for step in 1..=40 {
        let now = millis(step * 100);
        let run = TestRun::start(&snapshot, &context, now);
        for attempt in &run.first {
            if attempt.kind == AttemptKind::Probe {
                assert_eq!(attempt.route.target, slow.target);
                probes += 1;
                continue;
            }
            assert_ne!(
                attempt.route.target, slow.target,
                "a first attempt is sent to the slow replica"
            );
            let elapsed = Duration::from_millis(20);
            attempt.route.load.finish_attempt(AttemptEnd::Answered, elapsed, now, |_| false);
        }
    }
    assert_eq!(probes, 4);
    // The replica recovers: the answers to probes lower its latency estimate again.
    for step in 0..8 {
        let now = millis(5_000 + step * 1_000);
        assert!(slow.load.begin_probe(now, || true));
        slow.load.finish_probe(Ok(()), Duration::from_millis(20), now, |_| false);
    }
    let LoadView { latency_ms, .. } = slow.load.view(millis(13_000));
    assert!(latency_ms.is_some_and(|latency| latency < 40.0), "{latency_ms:?}");
}

#[test]
fn test_extra_load_stays_within_the_budget_when_every_replica_stalls() {
    let (snapshot, context) = (snapshot(10, 3), context(30));
    let (mut first, mut hedges) = (0, 0);
    for _ in 0..200 {
        let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
        first += run.first.len();
        for attempt in run.first.clone().iter().take(8) {
            run.answer(attempt, millis(1));
        }
        while !run.run.is_done() {
            let due = run.run.next_timer();
            hedges += sent(&run.timer(due)).len();
        }
    }
    // The initial tokens plus 2% of the first attempts.
    assert!(hedges > 0);
    assert!(hedges <= 10 + first * 2 / 100, "{hedges} hedges for {first} first attempts");
}

#[test]
fn test_one_slow_answer_does_not_mark_a_replica_as_slow() {
    let (snapshot, context) = (snapshot(1, 2), context(2));
    answer_five(&snapshot.replicas[0][1], 1);
    let other = &snapshot.replicas[0][0];
    other.load.begin_attempt();
    let elapsed = Duration::from_millis(50);
    other.load.finish_attempt(AttemptEnd::Answered, elapsed, Timestamp::ZERO, |_| false);
    let mut run = TestRun::start(&snapshot, &context, Timestamp::ZERO);
    assert_eq!(run.first[0].route.target, snapshot.replicas[0][1].target);
    let due = run.run.next_timer();
    let hedges = sent(&run.timer(due));
    assert_eq!(hedges.len(), 1, "the replica with one slow answer may receive a hedge");
}
