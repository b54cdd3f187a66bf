//! The driver of one fan-out. It sends the attempts, waits for their answers, and cancels those
//! that are no longer needed.

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

/// The time limit for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// The time by which the timeout of an attempt exceeds the time left for the request. The request
/// then ends first, and its end cancels the attempt at the target.
const TIMEOUT_SLACK: Duration = Duration::from_millis(50);

/// The result of a fan-out over one snapshot.
pub(super) struct FanoutOutcome {
    pub(super) key: SnapshotKey,
    pub(super) merged: MergedAnswer,
    /// Whether a shard failed only because its replicas no longer hold the snapshot.
    pub(super) lost_snapshot: bool,
    /// The number of attempts sent.
    pub(super) attempts: u64,
    /// The number of shards queried.
    pub(super) shards: u64,
}

type AttemptAnswer = Result<SearchReply, AttemptError>;
type InFlightAttempt = BoxFuture<(AttemptId, Result<AttemptAnswer, Aborted>)>;

/// A fan-out with its attempts in flight. Dropping it, for example because the caller disconnected,
/// cancels all of them.
struct FanoutDriver<'a> {
    tier: &'a QueryTier,
    plan: &'a SearchPlan,
    view: &'a IndexView,
    key: SnapshotKey,
    run: Option<FanoutRun>,
    in_flight: FuturesUnordered<InFlightAttempt>,
    aborts: HashMap<AttemptId, AbortHandle>,
    lost_snapshot: bool,
}

impl QueryTier {
    /// Sends the search to the shards of `snapshot` that the plan covers. If `may_restart` is set,
    /// the fan-out ends as soon as the snapshot is found to be lost, so that the request can
    /// restart on another one.
    pub(super) async fn run_fanout(
        &self,
        plan: &SearchPlan,
        view: &IndexView,
        snapshot: Arc<SnapshotRoute>,
        may_restart: bool,
    ) -> FanoutOutcome {
        let mut driver = FanoutDriver::new(self, plan, view, &snapshot);
        let actions = driver.run().start(self.now(), &mut rand::rng());
        driver.run_actions(actions);
        driver.lost_snapshot = driver.run().lost_snapshot();
        while !driver.is_finished(may_restart) {
            let due = self.parts.clock.instant_of(driver.run().next_timer());
            let actions = tokio::select! {
                biased;
                Some((attempt, answer)) = driver.in_flight.next() => {
                    driver.handle_answer(attempt, answer)
                }
                () = tokio::time::sleep_until(due) => {
                    driver.run().handle_timer(self.now(), &mut rand::rng())
                }
            };
            driver.run_actions(actions);
        }
        driver.finish()
    }

    /// Records that a target was ejected or returned.
    pub(super) fn record_change(&self, target: &TargetId, kind: TargetChange, request: RequestId) {
        record_change(&*self.parts.control, target, kind, request);
    }

    fn cancel_attempt(&self, attempt: AttemptId, route: &TargetRoute) {
        let call = CancelCall { attempt_id: attempt };
        self.parts.client.cancel(&self.endpoint_of(route), call);
    }
}

impl<'a> FanoutDriver<'a> {
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
            in_flight: FuturesUnordered::new(),
            aborts: HashMap::new(),
            lost_snapshot: false,
        }
    }

    fn run(&mut self) -> &mut FanoutRun {
        self.run.as_mut().expect("the run is taken only by finish")
    }

    /// Returns whether the fan-out is finished: no attempt has to be waited for, or the request
    /// restarts on another snapshot.
    fn is_finished(&mut self, may_restart: bool) -> bool {
        self.run().is_done() || (self.lost_snapshot && may_restart)
    }

    fn handle_answer(
        &mut self,
        attempt: AttemptId,
        answer: Result<AttemptAnswer, Aborted>,
    ) -> Vec<FanoutAction> {
        self.aborts.remove(&attempt);
        // The run cancelled this attempt and has already finished it.
        let Ok(answer) = answer else { return Vec::new() };
        let now = self.tier.now();
        let (outcome, actions) = self.run().handle_reply(attempt, answer, now, &mut rand::rng());
        if let ReplyOutcome::Failed(error) = outcome {
            self.record_failure(error);
        }
        actions
    }

    fn record_failure(&mut self, error: AttemptError) {
        self.tier.parts.metrics.count_discard(error);
        match error {
            AttemptError::Shed => self.tier.admission.record_shed(&self.plan.index),
            AttemptError::VersionNotHeld => self.lost_snapshot = self.run().lost_snapshot(),
            AttemptError::Mismatched | AttemptError::Malformed | AttemptError::Oversized => {
                self.record_discard(error);
            }
            _ => {}
        }
    }

    fn record_discard(&self, error: AttemptError) {
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
                    self.record_attempt(kind, shard, &route);
                    self.send_search(attempt, shard, &route);
                }
                FanoutAction::Probe { attempt, shard, route } => {
                    self.record_attempt(AttemptKind::Probe, shard, &route);
                    self.send_probe(attempt, shard, route);
                }
                FanoutAction::Cancel { attempt, route } => {
                    if let Some(abort) = self.aborts.remove(&attempt) {
                        abort.abort();
                    }
                    self.tier.cancel_attempt(attempt, &route);
                }
                FanoutAction::Changed { target, change } => {
                    self.tier.record_change(&target, change, self.plan.request);
                }
            }
        }
    }

    fn record_attempt(&self, kind: AttemptKind, shard: ShardId, route: &TargetRoute) {
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
        let attempt_future = Abortable::new(answer, registration);
        self.in_flight.push(Box::pin(async move { (attempt, attempt_future.await) }));
    }

    /// Sends a probe. Its answer only shows whether the target has recovered and is not merged.
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
            record_change(&*control, &route.target, change, request);
        });
    }

    fn call_target(
        &self,
        attempt: AttemptId,
        shard: ShardId,
        route: &TargetRoute,
        max_timeout: Duration,
    ) -> BoxFuture<AttemptAnswer> {
        let now = self.tier.now();
        let call: SearchCall = self.plan.search_call(attempt, shard, self.key, now);
        let timeout = (self.plan.deadline.since(now) + TIMEOUT_SLACK).min(max_timeout);
        self.tier.parts.client.search(&self.tier.endpoint_of(route), call, timeout)
    }

    fn finish(mut self) -> FanoutOutcome {
        self.cancel_in_flight();
        let run = self.run.take().expect("the run is taken only by finish");
        FanoutOutcome {
            key: self.key,
            lost_snapshot: run.lost_snapshot(),
            attempts: run.attempt_count() as u64,
            shards: run.shard_count() as u64,
            merged: run.finish(self.plan.limit as usize),
        }
    }

    /// Cancels the attempts that are still in flight.
    fn cancel_in_flight(&mut self) {
        let now = self.tier.now();
        let Some(run) = self.run.as_mut() else { return };
        for action in run.abort(now) {
            if let FanoutAction::Cancel { attempt, route } = action {
                self.tier.cancel_attempt(attempt, &route);
            }
        }
    }
}

impl Drop for FanoutDriver<'_> {
    fn drop(&mut self) {
        self.cancel_in_flight();
    }
}

fn record_change(
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
