//! The HTTP interface towards callers, targets, the platform and operators.

mod auth;
mod caller;
mod operator;
mod platform;
mod reply;
mod target;

use std::{net::SocketAddr, sync::Arc};

use derive_more::{Display, Error};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, ConfigDropshot, HandlerTaskMode, HttpServer,
    ServerBuilder,
};
use figglade::{
    border::BoxFuture,
    wire::{AnnounceResponse, Announcement},
};
use serde_json::Value;
use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::{
    clock::ProcessClock,
    metrics::TierMetrics,
    settings::LoadedKeys,
    tier::{QueryTier, TierError},
};

/// The reason an announcement was refused.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum AnnounceError {
    /// A higher incarnation of the target is known.
    #[display("incarnation is lower than {current}, which is known")]
    StaleIncarnation {
        /// The incarnation known.
        current: figglade::Incarnation,
    },
    /// A field is out of range.
    #[display("{field}: {message}")]
    BadField {
        /// The field.
        field: String,
        /// What is allowed.
        message: String,
    },
    /// The directory holds as many targets as it can.
    #[display("{message}")]
    Full {
        /// The limit.
        message: String,
    },
}

/// The answer to an operator's change.
#[derive(Clone, Debug)]
pub struct OperatorReply {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// The body.
    pub body: Value,
}

/// What the HTTP interface asks of the control plane.
pub trait ControlApi: Send + Sync {
    /// Takes the announcement of a target.
    ///
    /// # Errors
    ///
    /// Refuses a lower incarnation and fields out of range.
    fn announce(&self, announcement: Announcement) -> Result<AnnounceResponse, AnnounceError>;

    /// Returns why the instance must get no requests from the balancer, or `None`.
    fn unready_reason(&self) -> Option<String>;

    /// Returns the configuration in force with its history.
    fn config(&self) -> BoxFuture<OperatorReply>;

    /// Proposes a configuration.
    fn put_config(&self, body: bytes::Bytes) -> BoxFuture<OperatorReply>;

    /// Changes the members of the control group.
    fn change_member(&self, body: bytes::Bytes) -> BoxFuture<OperatorReply>;

    /// Returns what an operator needs to see first.
    fn status(&self) -> Value;

    /// Returns the targets known.
    fn targets(&self) -> Value;

    /// Returns the instances known.
    fn members(&self) -> Value;

    /// Hands the numbers that other parts count to the instruments.
    fn refresh_metrics(&self, metrics: &TierMetrics);

    /// Returns the events since a wall time in milliseconds.
    fn events(&self, since_ms: u64, request: Option<figglade::RequestId>) -> Value;
}

/// What every handler reaches.
pub struct ApiContext {
    /// The request path.
    pub tier: Arc<QueryTier>,
    /// The control plane.
    pub control: Arc<dyn ControlApi>,
    /// The keys of each role.
    pub keys: Arc<LoadedKeys>,
    /// The clocks.
    pub clock: ProcessClock,
    /// Instruments.
    pub metrics: Arc<TierMetrics>,
}

/// The reason the HTTP interface could not start.
#[derive(Debug, Display, Error)]
pub enum ApiError {
    /// A handler could not be registered.
    #[display("cannot register a handler: {_0}")]
    Register(#[error(not(source))] ApiDescriptionRegisterError),
    /// The address could not be bound.
    #[display("cannot listen on {address}: {reason}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        reason: String,
    },
}

impl From<ApiDescriptionRegisterError> for ApiError {
    fn from(error: ApiDescriptionRegisterError) -> Self {
        Self::Register(error)
    }
}

/// The running HTTP interface.
pub type ApiServer = HttpServer<Arc<ApiContext>>;

/// Starts the HTTP interface.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start_server(
    address: SocketAddr,
    max_body_bytes: usize,
    context: Arc<ApiContext>,
    log: &Logger,
) -> Result<ApiServer, ApiError> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: max_body_bytes,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    // The server writes two lines for each request; only its warnings are kept.
    let log = Logger::root(LevelFilter::new(log.clone(), Level::Warning).fuse(), o!());
    ServerBuilder::new(describe_api()?, context, log)
        .config(config)
        .start()
        .map_err(|error| ApiError::Bind { address, reason: error.to_string() })
}

/// Lists every handler.
fn describe_api() -> Result<ApiDescription<Arc<ApiContext>>, ApiError> {
    let mut api = ApiDescription::new();
    caller::register(&mut api)?;
    target::register(&mut api)?;
    platform::register(&mut api)?;
    operator::register(&mut api)?;
    Ok(api)
}

impl From<AnnounceError> for TierError {
    fn from(error: AnnounceError) -> Self {
        match error {
            AnnounceError::StaleIncarnation { current } => Self::StaleIncarnation { current },
            AnnounceError::BadField { field, message } => Self::BadField { field, message },
            AnnounceError::Full { message } => Self::Unavailable { reason: message },
        }
    }
}
