//! Searches and lookups: validate, admit, pin a snapshot, fan out, merge.

use std::{sync::Arc, time::Duration};

use figglade::{
    AttemptId, IndexName, RequestId, ShardId, TargetId, Timestamp,
    border::AttemptError,
    controller::event::EventKind,
    filter::{
        fanout::{AttemptKind, FanoutAction, FanoutRun, ReplyScope, ReplyVerdict},
        merge::MergedAnswer,
        picker::TargetChange,
        routing::{SnapshotKey, SnapshotRoute, TargetRoute},
    },
    wire::{CancelCall, LookupRequest, QueryRequest, QueryResponse, SearchCall, SearchReply},
};
use serde_json::value::RawValue;
use tokio::sync::mpsc;

use super::{
    ControlView, IndexView, QueryTier, Refusal, TierError, fanout_policy, millis_left, validate,
};

/// The most times a request starts again because its snapshot vanished.
const MAX_RESTARTS: usize = 2;
/// The longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// One search, whether over every shard or over the one that owns a key.
struct SearchPlan {
    request: RequestId,
    index: IndexName,
    query: Box<RawValue>,
    limit: u32,
    /// The key that chooses the only shard asked.
    key: Option<String>,
    min_coverage: Option<f64>,
    received: Timestamp,
    /// When the caller stops waiting, less the way back to it.
    deadline: Timestamp,
}

type AttemptOutcome = (AttemptId, Result<SearchReply, AttemptError>);

/// What a fan-out over one snapshot ended with.
struct FanoutEnd {
    key: SnapshotKey,
    merged: MergedAnswer,
    lost_snapshot: bool,
}

impl QueryTier {
    /// Searches every shard of an index.
    ///
    /// # Errors
    ///
    /// Refuses bad fields, unknown indexes, overload, staleness and too little coverage.
    pub async fn run_query(
        &self,
        request: QueryRequest,
        received: Timestamp,
    ) -> Result<QueryResponse, Refusal> {
        let view = self.find_index(&request.index)?;
        let settings = Arc::clone(&view.settings);
        validate::check_deadline(request.deadline_ms, &settings)?;
        validate::check_limit(request.limit, &settings)?;
        validate::check_coverage(request.min_coverage)?;
        let plan = SearchPlan {
            request: self.name_request(request.request_id),
            index: request.index,
            query: request.query,
            limit: request.limit,
            key: None,
            min_coverage: request.min_coverage,
            received,
            deadline: answer_by(received, request.deadline_ms, settings.answer_margin_ms),
        };
        self.run_plan(plan, view).await
    }

    /// Reads the record that a key names from the shard that owns it.
    ///
    /// # Errors
    ///
    /// Refuses what [`Self::run_query`] refuses.
    pub async fn run_lookup(
        &self,
        request: LookupRequest,
        received: Timestamp,
    ) -> Result<QueryResponse, Refusal> {
        let view = self.find_index(&request.index)?;
        let settings = Arc::clone(&view.settings);
        validate::check_deadline(request.deadline_ms, &settings)?;
        validate::check_key(&request.key)?;
        let plan = SearchPlan {
            request: self.name_request(request.request_id),
            index: request.index,
            query: key_query(&request.key)?,
            limit: 1,
            key: Some(request.key),
            min_coverage: None,
            received,
            deadline: answer_by(received, request.deadline_ms, settings.answer_margin_ms),
        };
        self.run_plan(plan, view).await
    }

    async fn run_plan(&self, plan: SearchPlan, view: IndexView) -> Result<QueryResponse, Refusal> {
        if let Some(reason) = self.parts.control.refuse_query(&view.settings) {
            return Err(TierError::Unavailable { reason }.into());
        }
        let settings = &view.settings;
        let permit = self.admission.enter(&plan.index, plan.deadline, settings).await?;
        if self.now() >= plan.deadline {
            return Err(TierError::DeadlinePassed.into());
        }
        // The view is read again: the wait may have outlived a snapshot.
        let view = self.find_index(&plan.index)?;
        let end = self.run_snapshots(&plan, &view).await?;
        drop(permit);
        self.check_fraction(&plan, &view, &end.merged)?;
        let stale = self.parts.control.is_stale(&view.settings);
        Ok(self.make_response(plan, end, stale))
    }

    /// Runs the fan-out and starts again on another snapshot when the pinned one vanished.
    async fn run_snapshots(
        &self,
        plan: &SearchPlan,
        view: &IndexView,
    ) -> Result<FanoutEnd, TierError> {
        let mut vanished = Vec::new();
        let mut best: Option<FanoutEnd> = None;
        loop {
            let route = self.parts.board.view(&plan.index).map(|view| view.route);
            let pinned = route.and_then(|route| route.pin_snapshot(&vanished));
            let Some(snapshot) = pinned else { break };
            let end = self.run_fanout(plan, view, snapshot).await;
            let restart = end.lost_snapshot
                && vanished.len() < MAX_RESTARTS
                && self.now() + Duration::from_millis(1) < plan.deadline;
            vanished.push(end.key);
            if best.as_ref().is_none_or(|best| covers_more(&end, best)) {
                best = Some(end);
            }
            if !restart {
                break;
            }
            let detail = format!("index {} lost a snapshot", plan.index);
            self.parts.control.note(EventKind::SnapshotRestarted, Some(plan.request), detail);
        }
        best.ok_or_else(|| TierError::Unavailable {
            reason: format!("index {} has no snapshot", plan.index),
        })
    }

    async fn run_fanout(
        &self,
        plan: &SearchPlan,
        view: &IndexView,
        snapshot: Arc<SnapshotRoute>,
    ) -> FanoutEnd {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let run = Some(plan.make_run(view, &snapshot));
        let mut guard = RunGuard { tier: self, run };
        let actions = guard.run().start(self.now(), &mut rand::rng());
        self.run_actions(plan, view, &snapshot, &sender, actions);
        while !guard.run().is_done() {
            let due = self.parts.clock.instant_of(guard.run().next_timer());
            let actions = tokio::select! {
                biased;
                outcome = receiver.recv() => match outcome {
                    Some(outcome) => self.take_outcome(guard.run(), outcome),
                    None => Vec::new(),
                },
                () = tokio::time::sleep_until(due) => {
                    guard.run().handle_timer(self.now(), &mut rand::rng())
                }
            };
            self.run_actions(plan, view, &snapshot, &sender, actions);
        }
        guard.finish(plan)
    }

    fn take_outcome(&self, run: &mut FanoutRun, outcome: AttemptOutcome) -> Vec<FanoutAction> {
        let (attempt, reply) = outcome;
        let (verdict, actions) = run.handle_reply(attempt, reply, self.now(), &mut rand::rng());
        match verdict {
            ReplyVerdict::Merged => {}
            ReplyVerdict::Failed(error) => self.parts.metrics.count_discard(error),
            // The loser of a hedge; its target was asked to stop.
            ReplyVerdict::Late => {}
        }
        actions
    }

    fn run_actions(
        &self,
        plan: &SearchPlan,
        view: &IndexView,
        snapshot: &SnapshotRoute,
        sender: &mpsc::UnboundedSender<AttemptOutcome>,
        actions: Vec<FanoutAction>,
    ) {
        for action in actions {
            match action {
                FanoutAction::Send { attempt, shard, route, kind } => {
                    let call = plan.search_call(attempt, shard, snapshot.key, self.now());
                    self.note_attempt(plan, kind, shard, &route);
                    self.send_search(call, &route, plan.deadline, sender.clone());
                }
                FanoutAction::Cancel { attempt, route } => self.cancel_attempt(attempt, &route),
                FanoutAction::Probe { attempt, shard, route } => {
                    let call = plan.search_call(attempt, shard, snapshot.key, self.now());
                    self.send_probe(plan, view, call, snapshot.key, route);
                }
                FanoutAction::Changed { target, change } => {
                    self.note_change(&target, change, plan.request);
                }
            }
        }
    }

    fn note_attempt(
        &self,
        plan: &SearchPlan,
        kind: AttemptKind,
        shard: ShardId,
        route: &TargetRoute,
    ) {
        self.parts.metrics.count_attempts(kind, 1);
        let event = match kind {
            AttemptKind::First | AttemptKind::Probe => return,
            AttemptKind::Hedge => EventKind::HedgeSent,
            AttemptKind::Retry => EventKind::RetrySent,
        };
        let detail = format!("index {} shard {shard} at target {}", plan.index, route.target);
        self.parts.control.note(event, Some(plan.request), detail);
    }

    fn send_search(
        &self,
        call: SearchCall,
        route: &TargetRoute,
        deadline: Timestamp,
        sender: mpsc::UnboundedSender<AttemptOutcome>,
    ) {
        let attempt = call.attempt_id;
        let timeout = deadline.since(self.now());
        let answer = self.parts.client.search(&self.endpoint_of(route), call, timeout);
        tokio::spawn(async move {
            // A request that ended no longer reads its channel.
            let _ = sender.send((attempt, answer.await));
        });
    }

    /// Sends a probe whose answer only shows whether the target recovered.
    fn send_probe(
        &self,
        plan: &SearchPlan,
        view: &IndexView,
        call: SearchCall,
        key: SnapshotKey,
        route: Arc<TargetRoute>,
    ) {
        self.parts.metrics.count_attempts(AttemptKind::Probe, 1);
        let (attempt, shard, index) = (call.attempt_id, call.shard, call.index.clone());
        let timeout = plan.deadline.since(self.now()).min(PROBE_TIMEOUT);
        let answer = self.parts.client.search(&self.endpoint_of(&route), call, timeout);
        let (clock, control) = (self.parts.clock, Arc::clone(&self.parts.control));
        let (tools, max_ejected) = (Arc::clone(&view.tools), view.settings.max_ejected);
        let (started, request) = (self.now(), plan.request);
        tokio::spawn(async move {
            let scope = ReplyScope { attempt, index: &index, shard, key };
            let answer = answer.await.and_then(|reply| scope.check(reply)).map(|_| ());
            let now = clock.now();
            let change = tools.end_probe(&route, answer, now.since(started), now, max_ejected);
            note_change(&*control, &route.target, change, request);
        });
    }

    /// Notes that a target was ejected or returned.
    pub(super) fn note_change(&self, target: &TargetId, change: TargetChange, request: RequestId) {
        note_change(&*self.parts.control, target, change, request);
    }

    fn cancel_attempt(&self, attempt: AttemptId, route: &TargetRoute) {
        let call = CancelCall { attempt_id: attempt };
        self.parts.client.cancel(&self.endpoint_of(route), call);
    }

    fn check_fraction(
        &self,
        plan: &SearchPlan,
        view: &IndexView,
        merged: &MergedAnswer,
    ) -> Result<(), TierError> {
        let minimum = plan.min_coverage.unwrap_or(view.settings.min_coverage);
        let fraction = merged.coverage.fraction;
        // An unknown total cannot satisfy any minimum above zero.
        if minimum <= 0.0 || fraction.is_some_and(|fraction| fraction >= minimum) {
            return Ok(());
        }
        let fraction = fraction.map_or("unknown".to_owned(), |fraction| fraction.to_string());
        Err(TierError::CoverageTooLow { fraction, minimum })
    }

    fn make_response(&self, plan: SearchPlan, end: FanoutEnd, stale: bool) -> QueryResponse {
        let elapsed = self.now().since(plan.received);
        QueryResponse {
            request_id: plan.request,
            index: plan.index,
            index_version: end.key.version,
            partition_epoch: end.key.epoch,
            coverage: end.merged.coverage,
            complete: end.merged.complete,
            hits: end.merged.hits,
            config_version: self.settings.version(),
            elapsed_ms: elapsed.as_secs_f64() * 1_000.0,
            stale,
        }
    }

    /// Returns the identifier of the caller or a new one.
    pub(super) fn name_request(&self, chosen: Option<RequestId>) -> RequestId {
        chosen.unwrap_or_else(|| {
            RequestId::from_parts(self.parts.clock.wall(), rand::random::<[u8; 10]>())
        })
    }
}

impl SearchPlan {
    fn shards(&self, snapshot: &SnapshotRoute) -> Vec<ShardId> {
        match &self.key {
            Some(key) => vec![snapshot.shard_of(key.as_bytes())],
            None => (0..snapshot.shard_count()).map(ShardId::new).collect(),
        }
    }

    fn make_run(&self, view: &IndexView, snapshot: &Arc<SnapshotRoute>) -> FanoutRun {
        FanoutRun::new(
            self.index.clone(),
            Arc::clone(snapshot),
            self.shards(snapshot).into_iter(),
            Arc::clone(&view.tools),
            fanout_policy(&view.settings),
            self.deadline,
            &mut rand::rng(),
        )
    }

    fn search_call(
        &self,
        attempt: AttemptId,
        shard: ShardId,
        key: SnapshotKey,
        now: Timestamp,
    ) -> SearchCall {
        SearchCall {
            attempt_id: attempt,
            index: self.index.clone(),
            shard,
            partition_epoch: key.epoch,
            version: key.version,
            deadline_ms: millis_left(self.deadline, now),
            limit: self.limit,
            query: self.query.clone(),
        }
    }
}

/// Cancels what is still open when the request ends early, such as when its caller went away.
struct RunGuard<'a> {
    tier: &'a QueryTier,
    run: Option<FanoutRun>,
}

impl RunGuard<'_> {
    fn run(&mut self) -> &mut FanoutRun {
        self.run.as_mut().expect("the run is taken only by finish")
    }

    fn finish(mut self, plan: &SearchPlan) -> FanoutEnd {
        let run = self.run.take().expect("the run is taken only once");
        let key = run.snapshot().key;
        let lost_snapshot = run.lost_snapshot();
        FanoutEnd { key, lost_snapshot, merged: run.finish(plan.limit as usize) }
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let Some(mut run) = self.run.take() else { return };
        for action in run.abandon(self.tier.now()) {
            if let FanoutAction::Cancel { attempt, route } = action {
                self.tier.cancel_attempt(attempt, &route);
            }
        }
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
    control.note(kind, Some(request), format!("target {target}"));
}

/// Returns when the answer must be ready; half of a short deadline is left for the search.
fn answer_by(received: Timestamp, deadline_ms: u64, margin_ms: u64) -> Timestamp {
    let margin = margin_ms.min(deadline_ms / 2);
    received + Duration::from_millis(deadline_ms - margin)
}

fn covers_more(end: &FanoutEnd, other: &FanoutEnd) -> bool {
    let fraction = |end: &FanoutEnd| end.merged.coverage.fraction.unwrap_or(0.0);
    fraction(end) > fraction(other)
}

/// Returns the query a lookup sends to the shard that owns `key`.
fn key_query(key: &str) -> Result<Box<RawValue>, TierError> {
    serde_json::value::to_raw_value(&serde_json::json!({ "key": key }))
        .map_err(|error| TierError::bad_field("key", error.to_string()))
}
