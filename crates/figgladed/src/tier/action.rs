//! Actions. The request id is claimed durably before the action is sent, the action is sent at most
//! once, and its outcome is recorded.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use figglade::{
    AttemptId, RequestId, ShardId, Timestamp,
    border::{ActionRecord, AttemptError, BodyDigest, ClaimDecision, ClaimError, ClaimRequest},
    controller::event::EventKind,
    filter::{
        admission::RequestBreadth,
        picker::{AttemptEnd, PickScope},
        routing::TargetRoute,
    },
    wire::{ActCall, ActReply, ActionOutcome, ActionRequest, ActionResponse},
};
use serde_json::value::RawValue;

use super::{
    IndexView, QueryTier, Refusal, TierError, millis_left, query::answer_deadline, validate,
};

/// The time limit for recording a refusal. The deadline of the request is not used, because it may
/// be the field that is out of range.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// The initial interval between two polls of a claim that another copy of the same request holds.
const MIN_CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The longest interval between two polls of a claim that another copy of the same request holds.
const MAX_CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(320);

/// A received action with the digest of its body and its deadline.
struct ActionPlan {
    request: ActionRequest,
    digest: BodyDigest,
    deadline: Timestamp,
}

/// The result of sending an action to the targets.
enum SendOutcome {
    Done(Box<RawValue>),
    NotRun(AttemptError),
    Unknown(AttemptError),
}

impl QueryTier {
    /// Runs an action at most once.
    ///
    /// # Errors
    ///
    /// Refuses bad fields, a request id that was used with another body or lies outside the claim
    /// window, unknown indexes, overload and staleness. The refusal has the outcome `not_run` only
    /// if the quorum log records that this request id never runs, or if the request itself is
    /// invalid.
    pub async fn run_action(
        &self,
        request: ActionRequest,
        received: Timestamp,
    ) -> Result<ActionResponse, Refusal> {
        let settings = self.settings.settings_of(&request.index);
        check_request_id(request.request_id)?;
        let checked = validate::check_deadline(request.deadline_ms, &settings)
            .and_then(|()| validate::check_key(&request.key));
        let digest = BodyDigest::of_action(&request.index, &request.key, request.body.get());
        let deadline = answer_deadline(received, request.deadline_ms, settings.answer_margin_ms);
        let plan = ActionPlan { request, digest, deadline };
        if let Err(error) = checked {
            // Another instance with other limits may accept, or already run, a copy of this
            // request.
            return self.refuse_recorded(&plan, error).await;
        }
        if let Some(reason) = self.parts.control.refuse_action(&settings) {
            // A copy of this request may have run; only a current view of the log could show it.
            let error = TierError::Unavailable { reason };
            return Err(Refusal { error, outcome: ActionOutcome::Unknown });
        }
        let view = match self.find_index(&plan.request.index) {
            Ok(view) => view,
            Err(error) => return self.refuse_recorded(&plan, error).await,
        };
        let admitted =
            self.admit(RequestBreadth::Narrow, plan.request.request_id, &view, deadline).await;
        let permit = match admitted {
            Ok(permit) => permit,
            Err(error) => return self.refuse_recorded(&plan, error).await,
        };
        let response = self.claim_and_send(&plan, &view).await;
        drop(permit);
        response
    }

    async fn claim_and_send(
        &self,
        plan: &ActionPlan,
        view: &IndexView,
    ) -> Result<ActionResponse, Refusal> {
        let id = plan.request.request_id;
        let claim = ClaimRequest {
            request: id,
            digest: plan.digest,
            instance: self.parts.instance.clone(),
            incarnation: self.parts.incarnation,
            nonce: rand::random::<u64>() | 1,
            wall: self.parts.clock.wall(),
        };
        let deciding = self.decide_claim(claim);
        let due = self.parts.clock.instant_of(plan.deadline);
        let Ok(decision) = tokio::time::timeout_at(due, deciding).await else {
            return Ok(unknown_response(
                id,
                "another copy of this request was still running at the deadline, or its claim was \
                 not decided by then",
            ));
        };
        match decision {
            Ok(ClaimDecision::Granted) => Ok(self.send_granted(plan, view).await),
            Ok(ClaimDecision::Recorded(record)) => Ok(recorded_response(id, record)),
            Ok(ClaimDecision::InProgress) => {
                Ok(unknown_response(id, "another copy of this request is still running"))
            }
            Ok(ClaimDecision::BodyMismatch) => Err(TierError::RequestIdReused.into()),
            Ok(ClaimDecision::OutsideWindow) => {
                let message = "must have been made within the claim window";
                let error = TierError::bad_field("request_id", message);
                // A request outside the window may have run before its claim was dropped.
                Err(Refusal { error, outcome: ActionOutcome::Unknown })
            }
            Err(error) => {
                let error = TierError::Unavailable { reason: error.to_string() };
                Err(Refusal { error, outcome: ActionOutcome::Unknown })
            }
        }
    }

    /// Claims the action. While another copy of the request holds the claim, polls until that copy
    /// has finished.
    async fn decide_claim(&self, claim: ClaimRequest) -> Result<ClaimDecision, ClaimError> {
        let mut interval = MIN_CLAIM_POLL_INTERVAL;
        loop {
            let decision = self.parts.claims.begin_claim(claim.clone()).await?;
            if decision != ClaimDecision::InProgress {
                return Ok(decision);
            }
            tokio::time::sleep(interval).await;
            interval = (interval * 2).min(MAX_CLAIM_POLL_INTERVAL);
        }
    }

    async fn send_granted(&self, plan: &ActionPlan, view: &IndexView) -> ActionResponse {
        let id = plan.request.request_id;
        self.parts.control.record_event(
            EventKind::ClaimGranted,
            Some(id),
            plan.request.key.clone(),
        );
        let record = match self.send_once(plan, view).await {
            SendOutcome::Done(result) => ActionRecord {
                outcome: ActionOutcome::Done,
                result: Some(Bytes::copy_from_slice(result.get().as_bytes())),
                reason: None,
            },
            SendOutcome::NotRun(error) => not_run_record(error.to_string()),
            SendOutcome::Unknown(error) => ActionRecord {
                outcome: ActionOutcome::Unknown,
                result: None,
                reason: Some(error.to_string()),
            },
        };
        let detail = record.outcome.to_string();
        self.parts.control.record_event(EventKind::ClaimEnded, Some(id), detail);
        self.record_outcome(plan, record.clone()).await;
        recorded_response(id, record)
    }

    /// Records the outcome in the log. The response does not wait for this beyond the deadline,
    /// since the claim alone prevents another run of the same request id.
    async fn record_outcome(&self, plan: &ActionPlan, record: ActionRecord) {
        let claims = Arc::clone(&self.parts.claims);
        let (id, digest) = (plan.request.request_id, plan.digest);
        let recording = tokio::spawn(async move { claims.finish_claim(id, digest, record).await });
        let due = self.parts.clock.instant_of(plan.deadline);
        if let Ok(Ok(Err(error))) = tokio::time::timeout_at(due, recording).await {
            slog::warn!(self.parts.log, "action: the outcome was not recorded";
                "request_id" => %id, "error" => %error);
        }
    }

    /// Sends the action to one replica of the shard. Tries another replica only if no byte of the
    /// request was sent.
    async fn send_once(&self, plan: &ActionPlan, view: &IndexView) -> SendOutcome {
        let Some(snapshot) = view.route.pin_snapshot(&[]) else {
            return SendOutcome::NotRun(AttemptError::NotSent);
        };
        let shard = snapshot.shard_of(plan.request.key.as_bytes());
        let replicas = &snapshot.replicas[shard.get() as usize];
        let mut tried = Vec::new();
        loop {
            let now = self.now();
            if now >= plan.deadline {
                return SendOutcome::NotRun(AttemptError::NotSent);
            }
            let picker = &view.context.picker;
            let live = picker.live.get();
            let (tried_targets, live) = (&tried, live.as_deref());
            let scope = PickScope { replicas, tried: tried_targets, snapshot: None, live };
            let picked = picker.pick(&scope, now, &mut rand::rng()).map(Arc::clone);
            let Some(route) = picked else { return SendOutcome::NotRun(AttemptError::NotSent) };
            tried.push(route.target.clone());
            let end = self.send_act(plan, view, &route, shard).await;
            match end {
                Ok(reply) => return SendOutcome::Done(reply.result),
                Err(AttemptError::NotSent) => {}
                Err(error) if error.is_known_not_run() => return SendOutcome::NotRun(error),
                Err(error) => return SendOutcome::Unknown(error),
            }
        }
    }

    async fn send_act(
        &self,
        plan: &ActionPlan,
        view: &IndexView,
        route: &TargetRoute,
        shard: ShardId,
    ) -> Result<ActReply, AttemptError> {
        let now = self.now();
        let attempt = AttemptId::new(rand::random());
        let request = &plan.request;
        let call = ActCall {
            attempt_id: attempt,
            request_id: request.request_id,
            index: request.index.clone(),
            shard,
            key: request.key.clone(),
            body: request.body.clone(),
            deadline_ms: millis_left(plan.deadline, now),
        };
        let timeout = plan.deadline.since(now);
        route.load.begin_attempt();
        let reply = self.parts.client.act(&self.endpoint_of(route), call, timeout).await;
        let reply = reply.and_then(|reply| {
            let matches = reply.attempt_id == attempt && reply.request_id == request.request_id;
            if matches { Ok(reply) } else { Err(AttemptError::Mismatched) }
        });
        let end = match &reply {
            Ok(_) => AttemptEnd::Answered,
            Err(error) => AttemptEnd::Failed(*error),
        };
        let ended = self.now();
        let max_ejected = view.settings.max_ejected;
        let change = view.context.finish_attempt(route, end, ended.since(now), ended, max_ejected);
        self.record_change(&route.target, change, request.request_id);
        reply
    }

    /// Refuses an action that this instance did not claim. The outcome is `not_run` only after the
    /// log has recorded that the request id never runs, otherwise `unknown`.
    async fn refuse_recorded(
        &self,
        plan: &ActionPlan,
        error: TierError,
    ) -> Result<ActionResponse, Refusal> {
        let id = plan.request.request_id;
        let recording = self.parts.claims.refuse_claim(id, plan.digest, error.to_string());
        let outcome = match tokio::time::timeout(REFUSAL_TIMEOUT, recording).await {
            Ok(Ok(())) => ActionOutcome::NotRun,
            Ok(Err(ClaimError::NotProposed | ClaimError::Undecided)) | Err(_) => {
                ActionOutcome::Unknown
            }
        };
        Err(Refusal { error, outcome })
    }
}

fn check_request_id(request: RequestId) -> Result<(), TierError> {
    match request.created_at() {
        Some(_) => Ok(()),
        None => Err(TierError::bad_field("request_id", "must be a version 7 UUID")),
    }
}

fn not_run_record(reason: String) -> ActionRecord {
    ActionRecord { outcome: ActionOutcome::NotRun, result: None, reason: Some(reason) }
}

fn unknown_response(request: RequestId, reason: &str) -> ActionResponse {
    ActionResponse {
        request_id: request,
        outcome: ActionOutcome::Unknown,
        result: None,
        reason: Some(reason.to_owned()),
    }
}

fn recorded_response(request: RequestId, record: ActionRecord) -> ActionResponse {
    let text = record.result.and_then(|result| String::from_utf8(result.to_vec()).ok());
    ActionResponse {
        request_id: request,
        outcome: record.outcome,
        result: text.and_then(|text| RawValue::from_string(text).ok()),
        reason: record.reason,
    }
}
