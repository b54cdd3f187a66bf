//! The HTTP client towards targets, with a bounded, warm pool for each.

mod pool;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use figglade::{
    border::{AttemptError, BoxFuture, TargetClient, TargetEndpoint},
    wire::{ActCall, ActReply, CancelCall, SearchCall, SearchReply},
};
use http::StatusCode;
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::oneshot;

use self::pool::{HttpExchange, TargetPool};

/// How long a cancelled or late exchange may still drain before its connection is closed.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// How long a cancellation may take.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends requests to targets over pooled HTTP/1.1 connections.
#[derive(Debug)]
pub struct HttpTargetClient {
    pools: Mutex<HashMap<SocketAddr, Arc<TargetPool>>>,
    max_answer_bytes: usize,
}

impl HttpTargetClient {
    /// Creates a client that refuses answers above `max_answer_bytes`.
    pub fn new(max_answer_bytes: usize) -> Self {
        Self { pools: Mutex::default(), max_answer_bytes }
    }

    /// Closes the idle connections to a target that left.
    pub fn forget_target(&self, address: SocketAddr) {
        if let Some(pool) = self.pools.lock().remove(&address) {
            pool.close_idle();
        }
    }

    /// Bounds the connections to `address` and returns whether no more are open.
    pub fn limit_connections(&self, address: SocketAddr, share: u32) -> bool {
        let Some(pool) = self.pools.lock().get(&address).cloned() else { return true };
        pool.set_share(share);
        pool.open_connections() <= share
    }

    /// Returns the open connections to all targets.
    pub fn open_connections(&self) -> u32 {
        self.pools.lock().values().map(|pool| pool.open_connections()).sum()
    }

    fn pool_of(&self, endpoint: &TargetEndpoint) -> Arc<TargetPool> {
        let mut pools = self.pools.lock();
        let pool = pools
            .entry(endpoint.address)
            .or_insert_with(|| Arc::new(TargetPool::new(endpoint.address)));
        pool.set_share(endpoint.connection_share);
        Arc::clone(pool)
    }

    /// Runs an exchange in a task of its own, so that a reader who leaves does not cut the
    /// connection, which would cost the next request a new one.
    fn exchange<C, R>(
        &self,
        endpoint: &TargetEndpoint,
        path: &'static str,
        call: &C,
        timeout: Duration,
    ) -> BoxFuture<Result<R, AttemptError>>
    where
        C: Serialize,
        R: DeserializeOwned + Send + 'static,
    {
        let body = match serde_json::to_vec(call) {
            Ok(body) => Bytes::from(body),
            Err(_) => return Box::pin(async { Err(AttemptError::NotSent) }),
        };
        let exchange = HttpExchange { path, body, max_answer_bytes: self.max_answer_bytes };
        let pool = self.pool_of(endpoint);
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let answer = pool.run_exchange(exchange, timeout, DRAIN_GRACE).await;
            // The reader may have left; the connection is back in the pool either way.
            let _ = sender.send(answer);
        });
        Box::pin(async move {
            match tokio::time::timeout(timeout, receiver).await {
                Ok(Ok(Ok((status, body)))) => read_answer(status, &body),
                Ok(Ok(Err(error))) => Err(error),
                Ok(Err(_)) => Err(AttemptError::Lost),
                Err(_) => Err(AttemptError::TimedOut),
            }
        })
    }
}

/// Turns an answer into a reply or the reason there is none.
fn read_answer<R: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<R, AttemptError> {
    match status {
        StatusCode::OK => serde_json::from_slice(body).map_err(|_| AttemptError::Malformed),
        StatusCode::CONFLICT => Err(AttemptError::VersionNotHeld),
        StatusCode::TOO_MANY_REQUESTS => Err(AttemptError::Shed),
        StatusCode::SERVICE_UNAVAILABLE => Err(AttemptError::Draining),
        other => Err(AttemptError::Status { status: other.as_u16() }),
    }
}

impl TargetClient for HttpTargetClient {
    fn search(
        &self,
        endpoint: &TargetEndpoint,
        call: SearchCall,
        timeout: Duration,
    ) -> BoxFuture<Result<SearchReply, AttemptError>> {
        self.exchange(endpoint, "/search", &call, timeout)
    }

    fn act(
        &self,
        endpoint: &TargetEndpoint,
        call: ActCall,
        timeout: Duration,
    ) -> BoxFuture<Result<ActReply, AttemptError>> {
        self.exchange(endpoint, "/act", &call, timeout)
    }

    fn cancel(&self, endpoint: &TargetEndpoint, call: CancelCall) {
        let answer =
            self.exchange::<_, serde_json::Value>(endpoint, "/cancel", &call, CANCEL_TIMEOUT);
        // Nothing depends on the answer: a target that ignores it only wastes its own slot.
        drop(answer);
    }
}
