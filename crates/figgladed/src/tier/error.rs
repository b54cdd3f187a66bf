//! Refusals of requests, with their HTTP status, error code and outcome.

use std::time::Duration;

use derive_more::{Display, Error};
use figglade::wire::{ActionOutcome, ErrorBody};
use http::StatusCode;

/// The reason a request was refused or failed.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum TierError {
    /// A field of the request is missing or out of range.
    #[display("{field}: {message}")]
    BadField {
        /// The field.
        field: String,
        /// The fault and the allowed values.
        message: String,
    },
    /// The body is not JSON.
    #[display("body is not valid JSON: {message}")]
    BadJson {
        /// The message of the parser.
        message: String,
    },
    /// The body is larger than allowed.
    #[display("body must have at most {limit} bytes")]
    BodyTooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The request carries no key.
    #[display("a key is required: Authorization: Bearer KEY")]
    KeyMissing,
    /// The key does not grant the role that the endpoint requires.
    #[display("the key is not accepted for this interface")]
    KeyRefused,
    /// No target has announced the index.
    #[display("index {index} is not known")]
    UnknownIndex {
        /// The index.
        index: String,
    },
    /// The request id was used before with another body.
    #[display("request_id was used before with another body")]
    RequestIdReused,
    /// A higher incarnation of the target is known.
    #[display("incarnation must be at least {current}, which is known")]
    StaleIncarnation {
        /// The highest known incarnation.
        current: figglade::Incarnation,
    },
    /// The limits of running and waiting requests are reached.
    #[display("the instance is at its limit; try again later")]
    Overloaded {
        /// The suggested delay before a retry.
        retry_after: Duration,
    },
    /// The instance cannot serve the request, for example because it is starting, stopping or
    /// cannot prove that it is current.
    #[display("{reason}")]
    Unavailable {
        /// The reason that the caller is given.
        reason: String,
    },
    /// The covered fraction of the documents is below the required one.
    #[display("coverage {fraction} is below min_coverage {minimum}")]
    CoverageTooLow {
        /// The covered fraction, or `unknown`.
        fraction: String,
        /// The required fraction.
        minimum: f64,
    },
    /// The deadline passed before the request ran.
    #[display("the deadline passed before the request could run")]
    DeadlinePassed,
}

impl TierError {
    /// Builds the error for an invalid `field`.
    pub fn bad_field(field: impl Into<String>, message: impl Into<String>) -> Self {
        Self::BadField { field: field.into(), message: message.into() }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BadField { .. } | Self::BadJson { .. } => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyMissing => StatusCode::UNAUTHORIZED,
            Self::KeyRefused => StatusCode::FORBIDDEN,
            Self::UnknownIndex { .. } => StatusCode::NOT_FOUND,
            Self::RequestIdReused | Self::StaleIncarnation { .. } => StatusCode::CONFLICT,
            Self::Overloaded { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Unavailable { .. } | Self::CoverageTooLow { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the stable error code for client programs.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::BadField { .. } => "bad_field",
            Self::BadJson { .. } => "bad_json",
            Self::BodyTooLarge { .. } => "body_too_large",
            Self::KeyMissing => "key_missing",
            Self::KeyRefused => "key_refused",
            Self::UnknownIndex { .. } => "unknown_index",
            Self::RequestIdReused => "request_id_reused",
            Self::StaleIncarnation { .. } => "stale_incarnation",
            Self::Overloaded { .. } => "overloaded",
            Self::Unavailable { .. } => "unavailable",
            Self::CoverageTooLow { .. } => "coverage_too_low",
            Self::DeadlinePassed => "deadline_passed",
        }
    }

    /// Returns the request field that caused the refusal.
    fn field(&self) -> Option<String> {
        match self {
            Self::BadField { field, .. } => Some(field.clone()),
            Self::RequestIdReused => Some("request_id".to_owned()),
            Self::UnknownIndex { .. } => Some("index".to_owned()),
            Self::StaleIncarnation { .. } => Some("incarnation".to_owned()),
            Self::CoverageTooLow { .. } => Some("min_coverage".to_owned()),
            _ => None,
        }
    }

    /// Returns the response body of the refusal of a request with the given outcome.
    pub fn body(&self, outcome: ActionOutcome) -> ErrorBody {
        ErrorBody {
            error_code: self.code().to_owned(),
            message: self.to_string(),
            field: self.field(),
            outcome,
        }
    }

    /// Returns the retry delay suggested to the caller.
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Overloaded { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}

/// A refusal with the outcome of the request.
#[derive(Clone, Debug, Display, Error, PartialEq)]
#[display("{error}")]
pub struct Refusal {
    /// The reason.
    pub error: TierError,
    /// Whether the request ran, as far as it is known.
    pub outcome: ActionOutcome,
}

impl From<TierError> for Refusal {
    fn from(error: TierError) -> Self {
        let outcome = match error {
            // The search ran on some shards, so it must not be reported as not run.
            TierError::CoverageTooLow { .. } => ActionOutcome::Unknown,
            // The request may have run with the first body that was sent under this request id.
            TierError::RequestIdReused => ActionOutcome::Unknown,
            _ => ActionOutcome::NotRun,
        };
        Self { error, outcome }
    }
}
