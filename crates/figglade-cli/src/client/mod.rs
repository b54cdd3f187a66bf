//! HTTP client for instances of the tier.

mod error;
mod key;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::args::ConnectOptions;

pub use self::error::{ClientError, Refusal};

/// The instance that is used if the command line names none.
pub const DEFAULT_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7001);
/// How long a request may take in addition to its waiting time in the tier.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long it may take to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The answer of an instance.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The instance.
    pub address: SocketAddr,
    /// The body, in JSON.
    pub body: Bytes,
}

impl Reply {
    /// Decodes the body.
    ///
    /// # Errors
    ///
    /// Fails when the body does not match `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body).map_err(|error| ClientError::BadAnswer {
            address: self.address,
            reason: error.to_string(),
        })
    }

    /// Returns the body as JSON, including fields that this release does not know.
    ///
    /// # Errors
    ///
    /// Fails when the body is not JSON.
    pub fn value(&self) -> Result<Value, ClientError> {
        self.decode()
    }
}

/// A request, which may be sent to several instances in turn.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

impl Call {
    /// Builds a `GET` request.
    pub fn get(path: impl Into<String>) -> Self {
        let body = Bytes::new();
        Self { method: Method::GET, path: path.into(), body, timeout: ANSWER_TIMEOUT }
    }

    /// Builds a request with a JSON body.
    pub fn with_body(method: Method, path: impl Into<String>, body: &Value) -> Self {
        let body = Bytes::from(body.to_string());
        Self { method, path: path.into(), body, timeout: ANSWER_TIMEOUT }
    }

    /// Sets the timeout to [`ANSWER_TIMEOUT`] plus `wait`, the time the request may wait in the tier.
    pub const fn waiting(mut self, wait: Duration) -> Self {
        self.timeout = ANSWER_TIMEOUT.saturating_add(wait);
        self
    }
}

/// Sends requests to instances of the tier; never resends one to the same instance by itself.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    key: Option<HeaderValue>,
}

impl OperatorClient {
    /// Builds a client from the options of the command line.
    ///
    /// # Errors
    ///
    /// Fails when the key file cannot be used.
    pub fn new(options: &ConnectOptions) -> Result<Self, ClientError> {
        let mut addresses = options.addr.clone();
        if addresses.is_empty() {
            addresses.push(DEFAULT_ADDRESS);
        }
        let key = options.key_file.as_deref().map(key::read_key).transpose()?;
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Ok(Self { client, addresses, key })
    }

    /// Returns the instances that the command line names.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sends an idempotent request to each instance in turn, until one returns an answer or an error
    /// that another instance would return too.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or the last failure if no instance decided; an uncertain outcome takes
    /// precedence over other failures.
    pub async fn send_in_turn(&self, call: &Call) -> Result<Reply, ClientError> {
        let mut last = None;
        let mut uncertain = None;
        for &address in &self.addresses {
            match self.send(address, call).await {
                Err(error) if error.may_succeed_elsewhere() => {
                    // After an uncertain outcome, a refusal by another instance does not prove that the
                    // request had no effect.
                    if error.is_uncertain() {
                        uncertain = Some(error);
                    } else {
                        last = Some(error);
                    }
                }
                decided => return decided,
            }
        }
        Err(uncertain.or(last).unwrap_or(ClientError::NoAddress))
    }

    /// Reads `path` from the first instance that answers.
    ///
    /// # Errors
    ///
    /// Fails when every instance refuses or none can be reached.
    pub async fn get(&self, path: &str) -> Result<Reply, ClientError> {
        self.send_in_turn(&Call::get(path)).await
    }

    /// Sends a request once to one instance.
    ///
    /// # Errors
    ///
    /// Fails when the instance refuses or no complete answer arrives within the timeout.
    pub async fn send(&self, address: SocketAddr, call: &Call) -> Result<Reply, ClientError> {
        match tokio::time::timeout(call.timeout, self.exchange(address, call)).await {
            Ok(reply) => reply,
            Err(_) => Err(ClientError::TimedOut { address, waited: call.timeout }),
        }
    }

    async fn exchange(&self, address: SocketAddr, call: &Call) -> Result<Reply, ClientError> {
        let request = self.build_request(address, call)?;
        let response = self.client.request(request).await.map_err(|error| {
            let reason = describe_error(&error);
            match error.is_connect() {
                true => ClientError::NotConnected { address, reason },
                false => ClientError::Lost { address, reason },
            }
        })?;
        let status = response.status();
        let lost = |reason: String| ClientError::Lost { address, reason };
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| lost(error.to_string()))?
            .to_bytes();
        read_answer(address, status, body)
    }

    fn build_request(
        &self,
        address: SocketAddr,
        call: &Call,
    ) -> Result<Request<Full<Bytes>>, ClientError> {
        let uri = format!("http://{address}{}", call.path);
        let mut builder = Request::builder().method(call.method.clone()).uri(uri);
        if !call.body.is_empty() {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        if let Some(key) = &self.key {
            builder = builder.header(AUTHORIZATION, key.clone());
        }
        builder.body(Full::new(call.body.clone())).map_err(|error| ClientError::BadRequest {
            path: call.path.clone(),
            reason: error.to_string(),
        })
    }
}

/// Returns the answer for a success status and the refusal for any other.
fn read_answer(address: SocketAddr, status: StatusCode, body: Bytes) -> Result<Reply, ClientError> {
    if status.is_success() {
        return Ok(Reply { address, body });
    }
    let value = serde_json::from_slice(&body).map_err(|error| ClientError::BadAnswer {
        address,
        reason: format!("{status}: {error}"),
    })?;
    Err(ClientError::Refused(Box::new(Refusal::read(address, status, value))))
}

/// Formats an error with its chain of causes.
fn describe_error(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
