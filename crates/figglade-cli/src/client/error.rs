//! Errors of requests to an instance.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use derive_more::{Display, Error};
use figglade::wire::ActionOutcome;
use hyper::StatusCode;
use serde_json::Value;

/// The reason a request failed.
#[derive(Clone, Debug, Display, Error)]
pub enum ClientError {
    /// No instance was named.
    #[display("no instance address given; pass --addr IP:PORT")]
    NoAddress,
    /// The key file cannot be used.
    #[display("{}: {reason}; it must hold one key per line, of printable ASCII characters", path.display())]
    KeyFile {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// The request could not be built.
    #[display("{path}: {reason}")]
    BadRequest {
        /// The path.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// No connection could be made, so nothing was sent.
    #[display("{address}: cannot connect: {reason}")]
    NotConnected {
        /// The instance.
        address: SocketAddr,
        /// The error of the operating system.
        reason: String,
    },
    /// The connection was lost before the whole answer arrived.
    #[display("{address}: connection lost before the whole answer arrived: {reason}")]
    Lost {
        /// The instance.
        address: SocketAddr,
        /// The error of the HTTP library.
        reason: String,
    },
    /// No answer arrived within the timeout.
    #[display("{address}: no answer within {} ms", waited.as_millis())]
    TimedOut {
        /// The instance.
        address: SocketAddr,
        /// The time waited.
        waited: Duration,
    },
    /// The answer cannot be decoded.
    #[display("{address}: cannot decode the answer: {reason}")]
    BadAnswer {
        /// The instance.
        address: SocketAddr,
        /// What is wrong.
        reason: String,
    },
    /// The instance refused.
    Refused(#[error(not(source))] Box<Refusal>),
}

/// A refusal by an instance.
#[derive(Clone, Debug, Display)]
#[display("{address}: refused with {} {code}: {message}", status.as_u16())]
pub struct Refusal {
    /// The instance.
    pub address: SocketAddr,
    /// The HTTP status.
    pub status: StatusCode,
    /// The machine-readable error code.
    pub code: String,
    /// The human-readable message.
    pub message: String,
    /// The outcome of the request.
    pub outcome: ActionOutcome,
    /// The whole body.
    pub body: Value,
}

impl Refusal {
    /// Decodes the body of a refusal; a missing outcome counts as unknown.
    pub(super) fn read(address: SocketAddr, status: StatusCode, body: Value) -> Self {
        let text = |name: &str| body.get(name).and_then(Value::as_str).unwrap_or("?").to_owned();
        let outcome = text("outcome").parse().unwrap_or(ActionOutcome::Unknown);
        Self { address, status, code: text("error_code"), message: text("message"), outcome, body }
    }
}

impl ClientError {
    /// Returns the refusal, if an instance sent one.
    pub fn refusal(&self) -> Option<&Refusal> {
        match self {
            Self::Refused(refusal) => Some(refusal),
            _ => None,
        }
    }

    /// Returns whether the request may have taken effect despite the error.
    pub fn is_uncertain(&self) -> bool {
        match self {
            Self::Lost { .. } | Self::TimedOut { .. } | Self::BadAnswer { .. } => true,
            Self::Refused(refusal) => refusal.outcome == ActionOutcome::Unknown,
            _ => false,
        }
    }

    /// Returns whether the same request may succeed at another instance.
    pub fn may_succeed_elsewhere(&self) -> bool {
        match self {
            Self::NotConnected { .. }
            | Self::Lost { .. }
            | Self::TimedOut { .. }
            | Self::BadAnswer { .. } => true,
            Self::Refused(refusal) => refusal.status == StatusCode::SERVICE_UNAVAILABLE,
            _ => false,
        }
    }
}
