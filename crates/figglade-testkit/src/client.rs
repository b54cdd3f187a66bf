//! A small HTTP client with JSON bodies.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request,
    header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

/// The time a request may take where the client was given none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The reason a request brought no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TestClientError {
    /// The request could not be built or its body not be encoded.
    #[display("request for {path}: {reason}")]
    Request {
        /// The path.
        path: String,
        /// What was wrong.
        reason: String,
    },
    /// The connection failed or was lost.
    #[display("{address}: {reason}")]
    Connection {
        /// The server.
        address: SocketAddr,
        /// What the library said.
        reason: String,
    },
    /// No answer came in time.
    #[display("{address}: no answer within {} ms", timeout.as_millis())]
    TimedOut {
        /// The server.
        address: SocketAddr,
        /// The time that was waited.
        timeout: Duration,
    },
    /// The answer is not the JSON that was expected.
    #[display("answer: {reason}")]
    Answer {
        /// What the codec said.
        reason: String,
    },
}

/// One answer of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestReply {
    /// The HTTP status.
    pub status: u16,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// The body.
    pub body: Bytes,
}

impl TestReply {
    /// Decodes the body.
    ///
    /// # Errors
    ///
    /// Fails when the body is not JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, TestClientError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| TestClientError::Answer { reason: error.to_string() })
    }
}

/// Sends HTTP requests with JSON bodies and never resends one.
#[derive(Clone, Debug)]
pub struct TestClient {
    client: Client<HttpConnector, Full<Bytes>>,
    key: Option<String>,
    timeout: Duration,
}

impl Default for TestClient {
    fn default() -> Self {
        Self::new()
    }
}

impl TestClient {
    /// Creates a client without a key.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(1024)
            .build(connector);
        Self { client, key: None, timeout: DEFAULT_TIMEOUT }
    }

    /// Sends `key` as the bearer key of every request.
    pub fn with_key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Waits at most `timeout` for each answer.
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes in time.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<TestReply, TestClientError> {
        self.send(Method::GET, address, path, Bytes::new()).await
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the body cannot be encoded or no whole answer comes in time.
    pub async fn post<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<TestReply, TestClientError> {
        self.send(Method::POST, address, path, encode_body(path, body)?).await
    }

    /// Sends a PUT request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the body cannot be encoded or no whole answer comes in time.
    pub async fn put<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<TestReply, TestClientError> {
        self.send(Method::PUT, address, path, encode_body(path, body)?).await
    }

    /// Sends a request with the body as it is.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes in time.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<TestReply, TestClientError> {
        let request = self.build_request(method, address, path, body)?;
        let exchange = self.exchange(address, request);
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(TestClientError::TimedOut { address, timeout: self.timeout }),
        }
    }

    /// Builds one request.
    fn build_request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, TestClientError> {
        let mut builder = Request::builder().method(method).uri(format!("http://{address}{path}"));
        if !body.is_empty() {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        if let Some(key) = &self.key {
            builder = builder.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        builder.body(Full::new(body)).map_err(|error| TestClientError::Request {
            path: path.to_owned(),
            reason: error.to_string(),
        })
    }

    /// Sends one request and reads the whole answer.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<TestReply, TestClientError> {
        let lost = |reason: String| TestClientError::Connection { address, reason };
        let response =
            self.client.request(request).await.map_err(|error| lost(describe_error(&error)))?;
        let status = response.status().as_u16();
        let retry_after = response
            .headers()
            .get(RETRY_AFTER)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok());
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| lost(error.to_string()))?
            .to_bytes();
        Ok(TestReply { status, retry_after, body })
    }
}

/// Encodes the body of a request.
fn encode_body<T: Serialize>(path: &str, body: &T) -> Result<Bytes, TestClientError> {
    serde_json::to_vec(body).map(Bytes::from).map_err(|error| TestClientError::Request {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}

/// Writes an error with its causes.
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
