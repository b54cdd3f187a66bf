//! Refusals of requests, each with its status and outcome.

use std::time::Duration;

use derive_more::{Display, Error};
use figglade::wire::{ActionOutcome, ErrorBody};
use http::StatusCode;

/// The reason a request got no answer of its own.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum TierError {
    /// A field of the request is missing or out of range.
    #[display("{field}: {message}")]
    BadField {
        /// The field.
        field: String,
        /// What is wrong and what is allowed.
        message: String,
    },
    /// The body is not JSON.
    #[display("body is not valid JSON: {message}")]
    BadJson {
        /// What the parser said.
        message: String,
    },
    /// The body is larger than allowed.
    #[display("body must have at most {limit} bytes")]
    BodyTooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// No key was sent.
    #[display("a key is required: Authorization: Bearer KEY")]
    KeyMissing,
    /// The key does not open this role.
    #[display("the key is not accepted for this interface")]
    KeyRefused,
    /// No target ever announced the index.
    #[display("index {index} is not known")]
    UnknownIndex {
        /// The index.
        index: String,
    },
    /// The identifier was used with another body.
    #[display("request_id was used before with another body")]
    RequestIdReused,
    /// A higher incarnation of the target is known.
    #[display("incarnation must be at least {current}, which is known")]
    StaleIncarnation {
        /// The incarnation known.
        current: figglade::Incarnation,
    },
    /// Too many requests run and wait.
    #[display("the instance is at its limit; try again later")]
    Overloaded {
        /// When trying again makes sense.
        retry_after: Duration,
    },
    /// The instance is starting, stopping or cannot prove that it is current.
    #[display("{reason}")]
    Unavailable {
        /// Why.
        reason: String,
    },
    /// The covered fraction is below the one asked for.
    #[display("coverage {fraction} is below min_coverage {minimum}")]
    CoverageTooLow {
        /// The fraction reached, or `unknown`.
        fraction: String,
        /// The fraction asked for.
        minimum: f64,
    },
    /// The deadline passed before the request ran.
    #[display("the deadline passed before the request could run")]
    DeadlinePassed,
}

impl TierError {
    /// Builds a refusal of `field`.
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

    /// Returns the stable code for programs.
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

    /// Returns the field the refusal is about.
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

    /// Returns the body of the refusal, with the outcome that is true of the request.
    pub fn body(&self, outcome: ActionOutcome) -> ErrorBody {
        ErrorBody {
            error_code: self.code().to_owned(),
            message: self.to_string(),
            field: self.field(),
            outcome,
        }
    }

    /// Returns the wait suggested to the caller.
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Overloaded { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}

/// A refusal together with what became of the request.
#[derive(Clone, Debug, Display, Error, PartialEq)]
#[display("{error}")]
pub struct Refusal {
    /// Why.
    pub error: TierError,
    /// What became of the request.
    pub outcome: ActionOutcome,
}

impl From<TierError> for Refusal {
    fn from(error: TierError) -> Self {
        let outcome = match error {
            // The search ran in part, so it must not be reported as not run.
            TierError::CoverageTooLow { .. } => ActionOutcome::Unknown,
            // The identifier may have run with the body that it was used with first.
            TierError::RequestIdReused => ActionOutcome::Unknown,
            _ => ActionOutcome::NotRun,
        };
        Self { error, outcome }
    }
}
