//! Endpoints for operators.

use std::sync::Arc;

use dropshot::{ApiDescription, Query, RequestContext, UntypedBody, endpoint};
use figglade::RequestId;
use http::StatusCode;
use schemars::JsonSchema;
use serde::Deserialize;

use super::{
    ApiContext, ApiError,
    auth::check_key,
    reply::{ApiResult, json_reply, refuse},
};
use crate::{settings::Role, tier::TierError};

pub(super) fn register(api: &mut ApiDescription<Arc<ApiContext>>) -> Result<(), ApiError> {
    api.register(get_config)?;
    api.register(put_config)?;
    api.register(change_member)?;
    api.register(get_status)?;
    api.register(get_targets)?;
    api.register(get_members)?;
    api.register(get_events)?;
    Ok(())
}

type Context = RequestContext<Arc<ApiContext>>;

/// Returns the configuration in force and its history.
#[endpoint { method = GET, path = "/v1/operator/config" }]
async fn get_config(rqctx: Context) -> ApiResult {
    if let Err(error) = check_operator(&rqctx) {
        return Ok(refuse(&error.into()));
    }
    let reply = rqctx.context().control.config().await;
    Ok(json_reply(reply.status, &reply.body))
}

/// Proposes a configuration.
#[endpoint { method = PUT, path = "/v1/operator/config" }]
async fn put_config(rqctx: Context, body: UntypedBody) -> ApiResult {
    if let Err(error) = check_operator(&rqctx) {
        return Ok(refuse(&error.into()));
    }
    let body = bytes::Bytes::copy_from_slice(body.as_bytes());
    let reply = rqctx.context().control.put_config(body).await;
    Ok(json_reply(reply.status, &reply.body))
}

/// Adds, promotes or removes a member of the control group.
#[endpoint { method = POST, path = "/v1/operator/members" }]
async fn change_member(rqctx: Context, body: UntypedBody) -> ApiResult {
    if let Err(error) = check_operator(&rqctx) {
        return Ok(refuse(&error.into()));
    }
    let body = bytes::Bytes::copy_from_slice(body.as_bytes());
    let reply = rqctx.context().control.change_member(body).await;
    Ok(json_reply(reply.status, &reply.body))
}

/// Returns the status of the instance.
#[endpoint { method = GET, path = "/v1/operator/status" }]
async fn get_status(rqctx: Context) -> ApiResult {
    Ok(match check_operator(&rqctx) {
        Ok(()) => json_reply(StatusCode::OK, &rqctx.context().control.status()),
        Err(error) => refuse(&error.into()),
    })
}

/// Returns the known targets.
#[endpoint { method = GET, path = "/v1/operator/targets" }]
async fn get_targets(rqctx: Context) -> ApiResult {
    Ok(match check_operator(&rqctx) {
        Ok(()) => json_reply(StatusCode::OK, &rqctx.context().control.targets()),
        Err(error) => refuse(&error.into()),
    })
}

/// Returns the known instances.
#[endpoint { method = GET, path = "/v1/operator/members" }]
async fn get_members(rqctx: Context) -> ApiResult {
    Ok(match check_operator(&rqctx) {
        Ok(()) => json_reply(StatusCode::OK, &rqctx.context().control.members()),
        Err(error) => refuse(&error.into()),
    })
}

/// The filter of an events query.
#[derive(Deserialize, JsonSchema)]
struct EventsFilter {
    /// The wall time of the oldest event, in milliseconds since the Unix epoch.
    since: Option<u64>,
    /// The request id of the wanted events.
    request: Option<String>,
}

/// Returns the events of this instance that match the filter.
#[endpoint { method = GET, path = "/v1/operator/events" }]
async fn get_events(rqctx: Context, filter: Query<EventsFilter>) -> ApiResult {
    if let Err(error) = check_operator(&rqctx) {
        return Ok(refuse(&error.into()));
    }
    let filter = filter.into_inner();
    let request = match filter.request.map(|text| text.parse::<RequestId>()).transpose() {
        Ok(request) => request,
        Err(error) => {
            let error = TierError::bad_field("request", error.to_string());
            return Ok(refuse(&error.into()));
        }
    };
    let events = rqctx.context().control.events(filter.since.unwrap_or(0), request);
    Ok(json_reply(StatusCode::OK, &events))
}

fn check_operator(rqctx: &Context) -> Result<(), TierError> {
    check_key(&rqctx.context().keys, Role::Operator, rqctx.request.headers())
}
