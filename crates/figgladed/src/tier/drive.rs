//! The driver of one fan-out: it sends attempts, waits, and cancels what is no longer needed.

use std::{collections::HashMap, sync::Arc, time::Duration};

use figglade::{
    AttemptId, RequestId, ShardId, TargetId,
    border::{AttemptError, BoxFuture},
    controller::event::EventKind,
    filter::{
        fanout::{AttemptKind, ExpectedReply, FanoutAction, FanoutRun, ReplyOutcome},
        merge::MergedAnswer,
        picker::TargetChange,
        routing::{SnapshotKey, SnapshotRoute, TargetRoute},
    },
    wire::{CancelCall, SearchCall, SearchReply},
};
use futures::{
    StreamExt,
    future::{AbortHandle, Abortable, Aborted},
    stream::FuturesUnordered,
};

use super::{ControlView, IndexView, QueryTier, query::SearchPlan};

/// The longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// How much longer than the request an attempt waits, so that the end of the request comes first
/// and cancels it at the target.
const TIMEOUT_SLACK: Duration = Duration::from_millis(50);

/// What a fan-out over one snapshot ended with.
pub(super) struct FanoutEnd {
    pub(super) key: SnapshotKey,
    pub(super) merged: MergedAnswer,
    pub(super) lost_snapshot: bool,
    /// The attempts sent.
    pub(super) attempts: u64,
    /// The shards asked.
    pub(super) shards: u64,
}

type AttemptAnswer = Result<SearchReply, AttemptError>;
type AttemptFlight = BoxFuture<(AttemptId, Result<AttemptAnswer, Aborted>)>;

/// A fan-out with its attempts in flight. Dropping it, such as when the caller went away, cancels
/// them all.
struct FanoutDrive<'a> {
    tier: &'a QueryTier,
    plan: &'a SearchPlan,
    view: &'a IndexView,
    key: SnapshotKey,
    run: Option<FanoutRun>,
    flights: FuturesUnordered<AttemptFlight>,
    aborts: HashMap<AttemptId, AbortHandle>,
    lost_snapshot: bool,
}

impl QueryTier {
    /// Asks every shard of a snapshot. Where the request can start again on another one, it ends
    /// as soon as this one turns out to have vanished.
    pub(super) async fn run_fanout(
        &self,
        plan: &SearchPlan,
        view: &IndexView,
        snapshot: Arc<SnapshotRoute>,
        may_restart: bool,
    ) -> FanoutEnd {
        let mut drive = FanoutDrive::new(self, plan, view, &snapshot);
        let actions = drive.run().start(self.now(), &mut rand::rng());
        drive.run_actions(actions);
        drive.lost_snapshot = drive.run().lost_snapshot();
        while !drive.is_over(may_restart) {
            let due = self.parts.clock.instant_of(drive.run().next_timer());
            let actions = tokio::select! {
                biased;
                Some((attempt, answer)) = drive.flights.next() => {
                    drive.take_answer(attempt, answer)
                }
                () = tokio::time::sleep_until(due) => {
                    drive.run().handle_timer(self.now(), &mut rand::rng())
                }
            };
            drive.run_actions(actions);
        }
        drive.finish()
    }

    /// Notes that a target was ejected or returned.
    pub(super) fn note_change(&self, target: &TargetId, change: TargetChange, request: RequestId) {
        note_change(&*self.parts.control, target, change, request);
    }

    fn cancel_attempt(&self, attempt: AttemptId, route: &TargetRoute) {
        let call = CancelCall { attempt_id: attempt };
        self.parts.client.cancel(&self.endpoint_of(route), call);
    }
}

impl<'a> FanoutDrive<'a> {
    fn new(
        tier: &'a QueryTier,
        plan: &'a SearchPlan,
        view: &'a IndexView,
        snapshot: &Arc<SnapshotRoute>,
    ) -> Self {
        Self {
            tier,
            plan,
            view,
            key: snapshot.key,
            run: Some(plan.make_run(view, snapshot)),
            flights: FuturesUnordered::new(),
            aborts: HashMap::new(),
            lost_snapshot: false,
        }
    }

    fn run(&mut self) -> &mut FanoutRun {
        self.run.as_mut().expect("the run is taken only at the end")
    }

    /// Returns whether nothing is left to wait for, such as when the request starts again anyway.
    fn is_over(&mut self, may_restart: bool) -> bool {
        self.run().is_done() || (self.lost_snapshot && may_restart)
    }

    fn take_answer(
        &mut self,
        attempt: AttemptId,
        answer: Result<AttemptAnswer, Aborted>,
    ) -> Vec<FanoutAction> {
        self.aborts.remove(&attempt);
        // A cancelled attempt ended in the run when it was cancelled.
        let Ok(answer) = answer else { return Vec::new() };
        let now = self.tier.now();
        let (verdict, actions) = self.run().handle_reply(attempt, answer, now, &mut rand::rng());
        if let ReplyOutcome::Failed(error) = verdict {
            self.note_failure(error);
        }
        actions
    }

    fn note_failure(&mut self, error: AttemptError) {
        self.tier.parts.metrics.count_discard(error);
        match error {
            AttemptError::Shed => self.tier.admission.note_shed(&self.plan.index),
            AttemptError::VersionNotHeld => self.lost_snapshot = self.run().lost_snapshot(),
            AttemptError::Mismatched | AttemptError::Malformed | AttemptError::Oversized => {
                self.note_discard(error);
            }
            _ => {}
        }
    }

    fn note_discard(&self, error: AttemptError) {
        if self.tier.discard_events.allow(self.tier.now()) {
            let detail = format!("index {}: {error}", self.plan.index);
            let request = Some(self.plan.request);
            self.tier.parts.control.record_event(EventKind::AnswerDiscarded, request, detail);
        }
    }

    fn run_actions(&mut self, actions: Vec<FanoutAction>) {
        for action in actions {
            match action {
                FanoutAction::Send { attempt, shard, route, kind } => {
                    self.note_attempt(kind, shard, &route);
                    self.send_search(attempt, shard, &route);
                }
                FanoutAction::Probe { attempt, shard, route } => {
                    self.note_attempt(AttemptKind::Probe, shard, &route);
                    self.send_probe(attempt, shard, route);
                }
                FanoutAction::Cancel { attempt, route } => {
                    if let Some(abort) = self.aborts.remove(&attempt) {
                        abort.abort();
                    }
                    self.tier.cancel_attempt(attempt, &route);
                }
                FanoutAction::Changed { target, change } => {
                    self.tier.note_change(&target, change, self.plan.request);
                }
            }
        }
    }

    fn note_attempt(&self, kind: AttemptKind, shard: ShardId, route: &TargetRoute) {
        self.tier.parts.metrics.count_attempts(kind, 1);
        let event = match kind {
            AttemptKind::First | AttemptKind::Probe => return,
            AttemptKind::Hedge => EventKind::HedgeSent,
            AttemptKind::Retry => EventKind::RetrySent,
        };
        let detail = format!("index {} shard {shard} at target {}", self.plan.index, route.target);
        self.tier.parts.control.record_event(event, Some(self.plan.request), detail);
    }

    fn send_search(&mut self, attempt: AttemptId, shard: ShardId, route: &TargetRoute) {
        let answer = self.call_target(attempt, shard, route, Duration::MAX);
        let (abort, registration) = AbortHandle::new_pair();
        self.aborts.insert(attempt, abort);
        let flight = Abortable::new(answer, registration);
        self.flights.push(Box::pin(async move { (attempt, flight.await) }));
    }

    /// Sends a probe whose answer only shows whether the target recovered.
    fn send_probe(&self, attempt: AttemptId, shard: ShardId, route: Arc<TargetRoute>) {
        let answer = self.call_target(attempt, shard, &route, PROBE_TIMEOUT);
        let (clock, control) = (self.tier.parts.clock, Arc::clone(&self.tier.parts.control));
        let (context, max_ejected) =
            (Arc::clone(&self.view.context), self.view.settings.max_ejected);
        let (index, key, request) = (self.plan.index.clone(), self.key, self.plan.request);
        let started = self.tier.now();
        tokio::spawn(async move {
            let scope = ExpectedReply { attempt, index: &index, shard, key };
            let answer = answer.await.and_then(|reply| scope.check(reply)).map(|_| ());
            let now = clock.now();
            let change = context.finish_probe(&route, answer, now.since(started), now, max_ejected);
            note_change(&*control, &route.target, change, request);
        });
    }

    fn call_target(
        &self,
        attempt: AttemptId,
        shard: ShardId,
        route: &TargetRoute,
        longest: Duration,
    ) -> BoxFuture<AttemptAnswer> {
        let now = self.tier.now();
        let call: SearchCall = self.plan.search_call(attempt, shard, self.key, now);
        let timeout = (self.plan.deadline.since(now) + TIMEOUT_SLACK).min(longest);
        self.tier.parts.client.search(&self.tier.endpoint_of(route), call, timeout)
    }

    fn finish(mut self) -> FanoutEnd {
        self.abandon();
        let run = self.run.take().expect("the run is taken only here");
        FanoutEnd {
            key: self.key,
            lost_snapshot: run.lost_snapshot(),
            attempts: run.attempt_count() as u64,
            shards: run.shard_count() as u64,
            merged: run.finish(self.plan.limit as usize),
        }
    }

    /// Cancels what is still open.
    fn abandon(&mut self) {
        let now = self.tier.now();
        let Some(run) = self.run.as_mut() else { return };
        for action in run.abort(now) {
            if let FanoutAction::Cancel { attempt, route } = action {
                self.tier.cancel_attempt(attempt, &route);
            }
        }
    }
}

impl Drop for FanoutDrive<'_> {
    fn drop(&mut self) {
        self.abandon();
    }
}

fn note_change(
    control: &dyn ControlView,
    target: &TargetId,
    change: TargetChange,
    request: RequestId,
) {
    let kind = match change {
        TargetChange::None => return,
        TargetChange::Ejected => EventKind::TargetEjected,
        TargetChange::Returned => EventKind::TargetReturned,
    };
    control.record_event(kind, Some(request), format!("target {target}"));
}
