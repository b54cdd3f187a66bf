//! Actions: claim durably, send once, record the outcome.

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

use super::{IndexView, QueryTier, Refusal, TierError, millis_left, query::answer_by, validate};

/// How long the record of a refusal may take; the deadline of the request may be unusable.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// The first wait for another sending of the same action.
const MIN_CLAIM_PAUSE: Duration = Duration::from_millis(20);
/// The longest wait between two looks at another sending of the same action.
const MAX_CLAIM_PAUSE: Duration = Duration::from_millis(320);

/// One action on its way.
struct ActionPlan {
    request: ActionRequest,
    digest: BodyDigest,
    deadline: Timestamp,
}

/// What the sending of an action showed.
enum SendEnd {
    Done(Box<RawValue>),
    NotRun(AttemptError),
    Unknown(AttemptError),
}

impl QueryTier {
    /// Runs an action at most once.
    ///
    /// # Errors
    ///
    /// Refuses bad fields, an identifier used with another body or outside the claim window,
    /// unknown indexes, overload and staleness. The refusal says `not_run` only where the log
    /// holds that the identifier never runs, or where the request itself is not acceptable.
    pub async fn run_action(
        &self,
        request: ActionRequest,
        received: Timestamp,
    ) -> Result<ActionResponse, Refusal> {
        let settings = self.settings.settings_of(&request.index);
        check_version(request.request_id)?;
        let checked = validate::check_deadline(request.deadline_ms, &settings)
            .and_then(|()| validate::check_key(&request.key));
        let digest = BodyDigest::of_action(&request.index, &request.key, request.body.get());
        let deadline = answer_by(received, request.deadline_ms, settings.answer_margin_ms);
        let plan = ActionPlan { request, digest, deadline };
        if let Err(error) = checked {
            // Another copy of the request may be running, or pass the limits of another instance.
            return self.refuse_recorded(&plan, error).await;
        }
        if let Some(reason) = self.parts.control.refuse_action(&settings) {
            // Without a current view of the log nothing can be said about the identifier.
            let error = TierError::Unavailable { reason };
            return Err(Refusal { error, outcome: ActionOutcome::Unknown });
        }
        let view = match self.find_index(&plan.request.index) {
            Ok(view) => view,
            Err(error) => return self.refuse_recorded(&plan, error).await,
        };
        let entered =
            self.admit(RequestBreadth::Narrow, plan.request.request_id, &view, deadline).await;
        let permit = match entered {
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
                "another sending had not ended, or the claim was not decided",
            ));
        };
        match decision {
            Ok(ClaimDecision::Granted) => Ok(self.send_granted(plan, view).await),
            Ok(ClaimDecision::Recorded(record)) => Ok(recorded_response(id, record)),
            Ok(ClaimDecision::InProgress) => {
                Ok(unknown_response(id, "another sending of this request has not ended"))
            }
            Ok(ClaimDecision::BodyMismatch) => Err(TierError::RequestIdReused.into()),
            Ok(ClaimDecision::OutsideWindow) => {
                let message = "must have been made within the claim window";
                let error = TierError::bad_field("request_id", message);
                // An old identifier may have run before its claim was forgotten.
                Err(Refusal { error, outcome: ActionOutcome::Unknown })
            }
            Err(error) => {
                let error = TierError::Unavailable { reason: error.to_string() };
                Err(Refusal { error, outcome: ActionOutcome::Unknown })
            }
        }
    }

    /// Claims the action; while another sending of it runs, waits for that one to end.
    async fn decide_claim(&self, claim: ClaimRequest) -> Result<ClaimDecision, ClaimError> {
        let mut pause = MIN_CLAIM_PAUSE;
        loop {
            let decision = self.parts.claims.begin_claim(claim.clone()).await?;
            if decision != ClaimDecision::InProgress {
                return Ok(decision);
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_CLAIM_PAUSE);
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
            SendEnd::Done(result) => ActionRecord {
                outcome: ActionOutcome::Done,
                result: Some(Bytes::copy_from_slice(result.get().as_bytes())),
                reason: None,
            },
            SendEnd::NotRun(error) => not_run_record(error.to_string()),
            SendEnd::Unknown(error) => ActionRecord {
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

    /// Records the outcome; the answer does not wait past the deadline for it, because the claim
    /// already keeps the identifier from running again.
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

    /// Sends the action to one replica; another is tried only while no byte has left.
    async fn send_once(&self, plan: &ActionPlan, view: &IndexView) -> SendEnd {
        let Some(snapshot) = view.route.pin_snapshot(&[]) else {
            return SendEnd::NotRun(AttemptError::NotSent);
        };
        let shard = snapshot.shard_of(plan.request.key.as_bytes());
        let replicas = &snapshot.replicas[shard.get() as usize];
        let mut tried = Vec::new();
        loop {
            let now = self.now();
            if now >= plan.deadline {
                return SendEnd::NotRun(AttemptError::NotSent);
            }
            let picker = &view.context.picker;
            let live = picker.live.get();
            let (tried_now, live) = (&tried, live.as_deref());
            let scope = PickScope { replicas, tried: tried_now, snapshot: None, live };
            let picked = picker.pick(&scope, now, &mut rand::rng()).map(Arc::clone);
            let Some(route) = picked else { return SendEnd::NotRun(AttemptError::NotSent) };
            tried.push(route.target.clone());
            let end = self.send_act(plan, view, &route, shard).await;
            match end {
                Ok(reply) => return SendEnd::Done(reply.result),
                Err(AttemptError::NotSent) => {}
                Err(error) if error.is_surely_not_run() => return SendEnd::NotRun(error),
                Err(error) => return SendEnd::Unknown(error),
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
        self.note_change(&route.target, change, request.request_id);
        reply
    }

    /// Refuses an action that was not claimed here; `not_run` is said only once the log holds
    /// that the identifier never runs.
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

fn check_version(request: RequestId) -> Result<(), TierError> {
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
