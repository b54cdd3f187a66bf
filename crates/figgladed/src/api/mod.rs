//! The HTTP interface for callers, targets, the platform and operators.

mod auth;
mod caller;
mod front;
mod operator;
mod platform;
mod reply;
mod target;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

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

pub use self::front::{ApiFront, FrontLimits};
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
        /// The highest known incarnation.
        current: figglade::Incarnation,
    },
    /// A field is out of range.
    #[display("{field}: {message}")]
    BadField {
        /// The field.
        field: String,
        /// The fault and the allowed values.
        message: String,
    },
    /// The directory holds the maximum number of targets.
    #[display("{message}")]
    Full {
        /// The message, which names the limit.
        message: String,
    },
}

/// The response to an operator request about the configuration or the members.
#[derive(Clone, Debug)]
pub struct OperatorReply {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// The body.
    pub body: Value,
}

/// The part of the control plane that the HTTP interface uses.
pub trait ControlApi: Send + Sync {
    /// Handles the announcement of a target.
    ///
    /// # Errors
    ///
    /// Refuses a lower incarnation, fields out of range, and a new target if the directory is full.
    fn announce(&self, announcement: Announcement) -> Result<AnnounceResponse, AnnounceError>;

    /// Returns why the load balancer must not send requests to this instance, or `None`.
    fn unready_reason(&self) -> Option<String>;

    /// Returns the configuration in force and its history.
    fn config(&self) -> BoxFuture<OperatorReply>;

    /// Proposes a configuration.
    fn put_config(&self, body: bytes::Bytes) -> BoxFuture<OperatorReply>;

    /// Changes the members of the control group.
    fn change_member(&self, body: bytes::Bytes) -> BoxFuture<OperatorReply>;

    /// Returns the status of the instance.
    fn status(&self) -> Value;

    /// Returns the known targets.
    fn targets(&self) -> Value;

    /// Returns the known instances.
    fn members(&self) -> Value;

    /// Updates the metrics whose values other parts of the process count.
    fn refresh_metrics(&self, metrics: &TierMetrics);

    /// Returns the events since a wall time in milliseconds, of `request` only if one is given.
    fn events(&self, since_ms: u64, request: Option<figglade::RequestId>) -> Value;
}

/// The state that all handlers share.
pub struct ApiContext {
    /// The request path.
    pub tier: Arc<QueryTier>,
    /// The control plane.
    pub control: Arc<dyn ControlApi>,
    /// The accepted keys of each role.
    pub keys: Arc<LoadedKeys>,
    /// The clock of the process.
    pub clock: ProcessClock,
    /// The metrics of the request path.
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
        /// The error of the operating system.
        reason: String,
    },
}

impl From<ApiDescriptionRegisterError> for ApiError {
    fn from(error: ApiDescriptionRegisterError) -> Self {
        Self::Register(error)
    }
}

/// The running HTTP interface.
pub struct ApiServer {
    front: ApiFront,
    server: HttpServer<Arc<ApiContext>>,
}

impl ApiServer {
    /// Returns the address on which it listens.
    pub const fn local_addr(&self) -> SocketAddr {
        self.front.local_addr()
    }

    /// Completes the requests in progress and stops.
    ///
    /// # Errors
    ///
    /// Fails when the server has failed before.
    pub async fn close(self) -> Result<(), String> {
        self.front.close().await;
        self.server.close().await
    }
}

/// Starts the HTTP interface.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start_server(
    address: SocketAddr,
    limits: FrontLimits,
    context: Arc<ApiContext>,
    log: &Logger,
) -> Result<ApiServer, ApiError> {
    let config = ConfigDropshot {
        // Only the front connects to it.
        bind_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        default_request_body_max_bytes: limits.max_body_bytes(),
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let clock = context.clock;
    // The server logs two lines per request below the warning level; these are filtered out.
    let server_log = Logger::root(LevelFilter::new(log.clone(), Level::Warning).fuse(), o!());
    let server = ServerBuilder::new(describe_api()?, context, server_log)
        .config(config)
        .start()
        .map_err(|error| ApiError::Bind { address, reason: error.to_string() })?;
    let front = ApiFront::start(address, server.local_addr(), limits, clock, log)
        .map_err(|error| ApiError::Bind { address, reason: error.to_string() })?;
    Ok(ApiServer { front, server })
}

/// Registers every handler.
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
