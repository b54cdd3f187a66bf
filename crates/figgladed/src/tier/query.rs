//! Searches and lookups. A request is validated and admitted, a snapshot is pinned, the search fans
//! out to its shards, and the merged answer is returned.

use std::{sync::Arc, time::Duration};

use figglade::{
    AttemptId, IndexName, RequestId, ShardId, Timestamp,
    controller::event::EventKind,
    filter::{
        admission::RequestBreadth,
        fanout::FanoutRun,
        merge::MergedAnswer,
        routing::{SnapshotKey, SnapshotRoute},
    },
    wire::{LookupRequest, QueryRequest, QueryResponse, SearchCall},
};
use serde_json::value::RawValue;

use super::{
    IndexView, QueryTier, Refusal, TierError, drive::FanoutOutcome, fanout_policy, millis_left,
    validate,
};
use crate::metrics::RequestKind;

/// The most restarts of a request whose replicas no longer hold the pinned snapshot.
const MAX_RESTARTS: usize = 2;

/// A search over every shard, or a lookup in the shard that owns a key.
pub(super) struct SearchPlan {
    pub(super) request: RequestId,
    pub(super) index: IndexName,
    query: Box<RawValue>,
    pub(super) limit: u32,
    /// The key of a lookup, which selects the only shard that is queried.
    key: Option<String>,
    min_coverage: Option<f64>,
    received: Timestamp,
    /// The time at which the answer must be ready: the deadline of the caller minus the answer
    /// margin.
    pub(super) deadline: Timestamp,
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
            request: self.request_id_or_new(request.request_id),
            index: request.index,
            query: request.query,
            limit: request.limit,
            key: None,
            min_coverage: request.min_coverage,
            received,
            deadline: answer_deadline(received, request.deadline_ms, settings.answer_margin_ms),
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
            request: self.request_id_or_new(request.request_id),
            index: request.index,
            query: key_query(&request.key)?,
            limit: 1,
            key: Some(request.key),
            min_coverage: None,
            received,
            deadline: answer_deadline(received, request.deadline_ms, settings.answer_margin_ms),
        };
        self.run_plan(plan, view).await
    }

    async fn run_plan(&self, plan: SearchPlan, view: IndexView) -> Result<QueryResponse, Refusal> {
        if let Some(reason) = self.parts.control.refuse_query(&view.settings) {
            return Err(TierError::Unavailable { reason }.into());
        }
        let permit = self.admit(plan.breadth(), plan.request, &view, plan.deadline).await?;
        if self.now() >= plan.deadline {
            return Err(TierError::DeadlinePassed.into());
        }
        // The view is read again, because a snapshot may have been dropped while the request
        // waited.
        let view = self.find_index(&plan.index)?;
        let end = self.run_snapshots(&plan, &view).await?;
        drop(permit);
        self.record_answer(&plan, &end);
        self.check_min_coverage(&plan, &view, &end.merged)?;
        let stale = self.parts.control.is_stale(&view.settings);
        Ok(self.make_response(plan, end, stale))
    }

    /// Runs the fan-out, and restarts it on another snapshot if the replicas no longer hold the
    /// pinned one. Returns the outcome with the highest coverage.
    async fn run_snapshots(
        &self,
        plan: &SearchPlan,
        view: &IndexView,
    ) -> Result<FanoutOutcome, TierError> {
        let mut tried = Vec::new();
        let mut best: Option<FanoutOutcome> = None;
        while let Some(snapshot) = self.pin_snapshot(plan, &tried) {
            tried.push(snapshot.key);
            let may_restart = tried.len() <= MAX_RESTARTS
                && self.pin_snapshot(plan, &tried).is_some_and(|other| other.is_covered());
            let end = self.run_fanout(plan, view, snapshot, may_restart).await;
            let restart = end.lost_snapshot && may_restart && self.now() < plan.deadline;
            if best.as_ref().is_none_or(|best| covers_more(&end, best)) {
                best = Some(end);
            }
            if !restart {
                break;
            }
            let detail = format!("index {}: replicas dropped the pinned snapshot", plan.index);
            self.parts.control.record_event(
                EventKind::SnapshotRestarted,
                Some(plan.request),
                detail,
            );
        }
        best.ok_or_else(|| TierError::Unavailable {
            reason: format!("index {} has no snapshot to search", plan.index),
        })
    }

    /// Pins a snapshot that this request has not tried yet.
    fn pin_snapshot(&self, plan: &SearchPlan, tried: &[SnapshotKey]) -> Option<Arc<SnapshotRoute>> {
        self.parts.catalog.view(&plan.index)?.route.pin_snapshot(tried)
    }

    /// Records the coverage and the extra load of an answer in the metrics, and a partial answer in
    /// the time line.
    fn record_answer(&self, plan: &SearchPlan, end: &FanoutOutcome) {
        let kind = match plan.breadth() {
            RequestBreadth::Broad => RequestKind::Query,
            RequestBreadth::Narrow => RequestKind::Lookup,
        };
        let coverage = &end.merged.coverage;
        self.parts.metrics.record_coverage(kind, coverage.fraction);
        self.parts.metrics.record_extra_load(kind, end.attempts, end.shards);
        if !end.merged.complete && self.partial_events.allow(self.now()) {
            let fraction = coverage.fraction.map_or("unknown".to_owned(), |f| f.to_string());
            let missing = coverage.missing.len();
            let detail =
                format!("index {} coverage {fraction} missing shards {missing}", plan.index);
            self.parts.control.record_event(EventKind::AnswerPartial, Some(plan.request), detail);
        }
    }

    fn check_min_coverage(
        &self,
        plan: &SearchPlan,
        view: &IndexView,
        merged: &MergedAnswer,
    ) -> Result<(), TierError> {
        let minimum = plan.min_coverage.unwrap_or(view.settings.min_coverage);
        let fraction = merged.coverage.fraction;
        // If the total is unknown, no minimum above zero is met.
        if minimum <= 0.0 || fraction.is_some_and(|fraction| fraction >= minimum) {
            return Ok(());
        }
        let fraction = fraction.map_or("unknown".to_owned(), |fraction| fraction.to_string());
        Err(TierError::CoverageTooLow { fraction, minimum })
    }

    fn make_response(&self, plan: SearchPlan, end: FanoutOutcome, stale: bool) -> QueryResponse {
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

    /// Returns the request id that the caller chose, or a new one.
    pub(super) fn request_id_or_new(&self, chosen: Option<RequestId>) -> RequestId {
        chosen.unwrap_or_else(|| {
            RequestId::from_parts(self.parts.clock.wall(), rand::random::<[u8; 10]>())
        })
    }
}

impl SearchPlan {
    const fn breadth(&self) -> RequestBreadth {
        match self.key {
            Some(_) => RequestBreadth::Narrow,
            None => RequestBreadth::Broad,
        }
    }

    fn shards(&self, snapshot: &SnapshotRoute) -> Vec<ShardId> {
        match &self.key {
            Some(key) => vec![snapshot.shard_of(key.as_bytes())],
            None => (0..snapshot.shard_count()).map(ShardId::new).collect(),
        }
    }

    pub(super) fn make_run(&self, view: &IndexView, snapshot: &Arc<SnapshotRoute>) -> FanoutRun {
        FanoutRun::new(
            self.index.clone(),
            Arc::clone(snapshot),
            self.shards(snapshot).into_iter(),
            Arc::clone(&view.context),
            fanout_policy(&view.settings),
            self.deadline,
            &mut rand::rng(),
        )
    }

    pub(super) fn search_call(
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

/// Returns the time at which the answer must be ready: the deadline minus a margin for the way back
/// to the caller. The margin is at most half of `deadline_ms`, so that a short deadline leaves time
/// for the search.
pub(super) fn answer_deadline(received: Timestamp, deadline_ms: u64, margin_ms: u64) -> Timestamp {
    let margin = margin_ms.min(deadline_ms / 2);
    received + Duration::from_millis(deadline_ms - margin)
}

fn covers_more(end: &FanoutOutcome, other: &FanoutOutcome) -> bool {
    let fraction = |end: &FanoutOutcome| end.merged.coverage.fraction.unwrap_or(0.0);
    fraction(end) > fraction(other)
}

/// Returns the query that a lookup of `key` sends to the shard that owns it.
fn key_query(key: &str) -> Result<Box<RawValue>, TierError> {
    serde_json::value::to_raw_value(&serde_json::json!({ "key": key }))
        .map_err(|error| TierError::bad_field("key", error.to_string()))
}
