//! Endpoints for callers: search, lookup and action.

use std::sync::Arc;

use dropshot::{ApiDescription, Body, RequestContext, UntypedBody, endpoint};
use figglade::{
    Timestamp,
    wire::{ActionOutcome, ActionRequest, LookupRequest, QueryRequest},
};
use http::{Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    ApiContext, ApiError,
    auth::check_key,
    reply::{ApiResult, json_reply, parse_body, refuse},
};
use crate::{
    metrics::RequestKind,
    settings::Role,
    tier::{Refusal, TierError},
};

pub(super) fn register(api: &mut ApiDescription<Arc<ApiContext>>) -> Result<(), ApiError> {
    api.register(run_query)?;
    api.register(run_lookup)?;
    api.register(run_action)?;
    Ok(())
}

/// Searches every shard of an index.
#[endpoint { method = POST, path = "/v1/query" }]
async fn run_query(rqctx: RequestContext<Arc<ApiContext>>, body: UntypedBody) -> ApiResult {
    let context = rqctx.context();
    let received = context.clock.now();
    let request = match read_request::<QueryRequest>(&rqctx, &body) {
        Ok(request) => request,
        Err(error) => return Ok(refuse_request(context, error.into())),
    };
    let answer = context.tier.run_query(request, received).await;
    Ok(finish_request(context, RequestKind::Query, received, answer))
}

/// Looks up a record by its key.
#[endpoint { method = POST, path = "/v1/lookup" }]
async fn run_lookup(rqctx: RequestContext<Arc<ApiContext>>, body: UntypedBody) -> ApiResult {
    let context = rqctx.context();
    let received = context.clock.now();
    let request = match read_request::<LookupRequest>(&rqctx, &body) {
        Ok(request) => request,
        Err(error) => return Ok(refuse_request(context, error.into())),
    };
    let answer = context.tier.run_lookup(request, received).await;
    Ok(finish_request(context, RequestKind::Lookup, received, answer))
}

/// Runs an action at most once.
#[endpoint { method = POST, path = "/v1/action" }]
async fn run_action(rqctx: RequestContext<Arc<ApiContext>>, body: UntypedBody) -> ApiResult {
    let context = Arc::clone(rqctx.context());
    let received = context.clock.now();
    let request = match read_request::<ActionRequest>(&rqctx, &body) {
        Ok(request) => request,
        Err(error) => return Ok(refuse_request(&context, error.into())),
    };
    // The action runs in a task of its own: the server drops the handler when the caller
    // disconnects, which must not stop the action between its claim and its outcome.
    let tier = Arc::clone(&context.tier);
    let running = tokio::spawn(async move { tier.run_action(request, received).await });
    let answer = running.await.unwrap_or_else(|_| Err(interrupted_action()));
    Ok(finish_request(&context, RequestKind::Action, received, answer))
}

fn read_request<T: DeserializeOwned>(
    rqctx: &RequestContext<Arc<ApiContext>>,
    body: &UntypedBody,
) -> Result<T, TierError> {
    check_key(&rqctx.context().keys, Role::Caller, rqctx.request.headers())?;
    parse_body(body.as_bytes())
}

fn finish_request<T: Serialize>(
    context: &ApiContext,
    kind: RequestKind,
    received: Timestamp,
    answer: Result<T, Refusal>,
) -> Response<Body> {
    match answer {
        Ok(answer) => {
            context.metrics.record_request(kind, context.clock.now().since(received));
            json_reply(StatusCode::OK, &answer)
        }
        Err(refusal) => refuse_request(context, refusal),
    }
}

fn refuse_request(context: &ApiContext, refusal: Refusal) -> Response<Body> {
    context.metrics.count_refusal(refusal.error.code());
    refuse(&refusal)
}

fn interrupted_action() -> Refusal {
    let reason = "the action stopped without an outcome".to_owned();
    Refusal { error: TierError::Unavailable { reason }, outcome: ActionOutcome::Unknown }
}
