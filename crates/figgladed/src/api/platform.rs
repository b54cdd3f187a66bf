//! Endpoints for the load balancer of the platform and the metrics collector.

use std::sync::Arc;

use dropshot::{ApiDescription, RequestContext, endpoint};
use http::StatusCode;
use serde_json::json;

use super::{
    ApiContext, ApiError,
    auth::check_key,
    reply::{ApiResult, json_reply, refuse, text_reply},
};
use crate::settings::Role;

pub(super) fn register(api: &mut ApiDescription<Arc<ApiContext>>) -> Result<(), ApiError> {
    api.register(ready)?;
    api.register(live)?;
    api.register(metrics)?;
    Ok(())
}

/// Reports whether the load balancer may send requests to this instance.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn ready(rqctx: RequestContext<Arc<ApiContext>>) -> ApiResult {
    Ok(match rqctx.context().control.unready_reason() {
        None => json_reply(StatusCode::OK, &json!({ "ready": true })),
        Some(reason) => {
            let body = json!({ "ready": false, "reason": reason });
            json_reply(StatusCode::SERVICE_UNAVAILABLE, &body)
        }
    })
}

/// Reports that the process is running.
#[endpoint { method = GET, path = "/v1/live" }]
async fn live(_rqctx: RequestContext<Arc<ApiContext>>) -> ApiResult {
    Ok(json_reply(StatusCode::OK, &json!({ "live": true })))
}

/// Returns the metrics in the text exposition format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(rqctx: RequestContext<Arc<ApiContext>>) -> ApiResult {
    let context = rqctx.context();
    Ok(match check_key(&context.keys, Role::Operator, rqctx.request.headers()) {
        Ok(()) => {
            context.control.refresh_metrics(&context.metrics);
            match context.metrics.render() {
                Ok(text) => text_reply(StatusCode::OK, text),
                Err(error) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            }
        }
        Err(error) => refuse(&error.into()),
    })
}
