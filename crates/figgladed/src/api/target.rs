//! The endpoint for targets.

use std::sync::Arc;

use dropshot::{ApiDescription, RequestContext, UntypedBody, endpoint};
use figglade::wire::{AnnounceResponse, Announcement};
use http::StatusCode;

use super::{
    ApiContext, ApiError,
    auth::check_key,
    reply::{ApiResult, json_reply, parse_body, refuse},
};
use crate::{settings::Role, tier::TierError};

pub(super) fn register(api: &mut ApiDescription<Arc<ApiContext>>) -> Result<(), ApiError> {
    api.register(announce)?;
    Ok(())
}

/// Handles the announcement of a target.
#[endpoint { method = POST, path = "/v1/announce" }]
async fn announce(rqctx: RequestContext<Arc<ApiContext>>, body: UntypedBody) -> ApiResult {
    Ok(match handle_announcement(&rqctx, &body) {
        Ok(response) => json_reply(StatusCode::OK, &response),
        Err(error) => refuse(&error.into()),
    })
}

fn handle_announcement(
    rqctx: &RequestContext<Arc<ApiContext>>,
    body: &UntypedBody,
) -> Result<AnnounceResponse, TierError> {
    let context = rqctx.context();
    check_key(&context.keys, Role::Target, rqctx.request.headers())?;
    let announcement: Announcement = parse_body(body.as_bytes())?;
    Ok(context.control.announce(announcement)?)
}
