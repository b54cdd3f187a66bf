//! Parsing of request bodies and building of responses.

use derive_more::Display;
use dropshot::{Body, ErrorStatusCode, HttpError, HttpResponseError};
use figglade::wire::ActionOutcome;
use http::{Response, StatusCode, header};
use schemars::JsonSchema;
use serde::{Serialize, de::DeserializeOwned};

use crate::tier::{Refusal, TierError};

/// The return type of the handlers.
pub(super) type ApiResult = Result<Response<Body>, ApiFailure>;

/// A refusal by the HTTP server before a handler ran.
#[derive(Debug, Display, Serialize, JsonSchema)]
#[display("{message}")]
pub(super) struct ApiFailure {
    error_code: String,
    message: String,
    outcome: String,
    #[serde(skip)]
    #[schemars(skip)]
    status: u16,
}

impl HttpResponseError for ApiFailure {
    fn status_code(&self) -> ErrorStatusCode {
        ErrorStatusCode::from_u16(self.status).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}

/// The text by which the server's error for a body above the limit is recognized.
const BODY_TOO_LARGE_TEXT: &str = "exceeded maximum size";

impl From<HttpError> for ApiFailure {
    fn from(error: HttpError) -> Self {
        let too_large = error.external_message.contains(BODY_TOO_LARGE_TEXT);
        let status = match too_large {
            true => StatusCode::PAYLOAD_TOO_LARGE.as_u16(),
            false => error.status_code.as_u16(),
        };
        let error_code = if too_large { "body_too_large" } else { "bad_request" };
        Self {
            error_code: error_code.to_owned(),
            message: error.external_message,
            outcome: ActionOutcome::NotRun.to_string(),
            status,
        }
    }
}

/// Builds a response with a JSON body.
pub(super) fn json_reply<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    let bytes = match serde_json::to_vec(body) {
        Ok(bytes) => bytes,
        Err(error) => return internal_reply(&error.to_string()),
    };
    build_reply(status, "application/json", bytes)
}

/// Builds a response with a body in the text exposition format of metrics.
pub(super) fn text_reply(status: StatusCode, body: String) -> Response<Body> {
    build_reply(status, "text/plain; version=0.0.4", body.into_bytes())
}

/// Builds the response to a refused request.
pub(super) fn refuse(refusal: &Refusal) -> Response<Body> {
    let body = refusal.error.body(refusal.outcome);
    let mut response = json_reply(refusal.error.status(), &body);
    if let Some(wait) = refusal.error.retry_after() {
        let seconds = wait.as_secs().max(1);
        response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    }
    response
}

/// Parses a JSON body. The error names the field that does not match.
pub(super) fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, TierError> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut reader).map_err(parse_failure)?;
    reader.end().map_err(|error| TierError::BadJson { message: error.to_string() })?;
    Ok(parsed)
}

fn parse_failure(error: serde_path_to_error::Error<serde_json::Error>) -> TierError {
    let path = error.path().to_string();
    let inner = error.into_inner();
    if inner.is_syntax() || inner.is_eof() {
        return TierError::BadJson { message: inner.to_string() };
    }
    let message = inner.to_string();
    // The parser reports a missing field with the path of its parent.
    let missing = message.strip_prefix("missing field `").and_then(|rest| rest.split('`').next());
    let field = match (missing, path.as_str()) {
        (Some(missing), ".") => missing.to_owned(),
        (Some(missing), path) => format!("{path}.{missing}"),
        (None, path) => path.to_owned(),
    };
    TierError::bad_field(field, message)
}

fn internal_reply(message: &str) -> Response<Body> {
    build_reply(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", message.as_bytes().to_vec())
}

fn build_reply(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
