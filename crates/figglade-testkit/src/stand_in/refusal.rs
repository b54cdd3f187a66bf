//! Reads request bodies and refuses requests.

use figglade::wire::{ActionOutcome, ErrorBody};
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, body::Incoming};
use serde::de::DeserializeOwned;

use super::answer::{AnswerBody, plain_answer};

/// The largest request body, in bytes.
const MAX_REQUEST_BYTES: usize = 4 << 20;

/// The reason a request was not answered with 200.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    status: u16,
    code: &'static str,
    message: String,
}

impl Refusal {
    /// Creates a refusal.
    pub(super) fn new(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into() }
    }

    /// Builds the answer.
    pub(super) fn into_answer(self) -> Response<AnswerBody> {
        let body = ErrorBody {
            error_code: self.code.to_owned(),
            message: self.message,
            field: None,
            outcome: ActionOutcome::NotRun,
        };
        plain_answer(self.status, &body)
    }
}

/// Reads the body of a request.
pub(super) async fn read_body<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Refusal> {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES)
        .collect()
        .await
        .map_err(|error| Refusal::new(400, "bad_body", error.to_string()))?
        .to_bytes();
    serde_json::from_slice(&body).map_err(|error| Refusal::new(400, "bad_body", error.to_string()))
}
