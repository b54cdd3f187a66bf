//! The HTTP client for targets, with a bounded pool of warm connections for each target.

mod exchange;
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

use self::{
    exchange::{HttpExchange, SendGate, run_cancel, run_exchange},
    pool::{ReuseBound, TargetPool},
};
use crate::metrics::PoolGauges;

/// The time limit for sending a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// The idle time from which an action does not reuse a connection.
const ACTION_MAX_IDLE: Duration = Duration::from_secs(1);
/// The number of pools from which those without an open connection are dropped before one is added.
const MAX_POOLS: usize = 4_096;

/// Sends requests to targets over pooled HTTP/1.1 connections.
#[derive(Debug)]
pub struct HttpTargetClient {
    pools: Mutex<HashMap<SocketAddr, Arc<TargetPool>>>,
    max_answer_bytes: usize,
}

impl HttpTargetClient {
    /// Creates a client that rejects answers larger than `max_answer_bytes`.
    pub fn new(max_answer_bytes: usize) -> Self {
        Self { pools: Mutex::default(), max_answer_bytes }
    }

    /// Removes the pool of a target that left. Its idle connections close now, busy ones when their
    /// requests finish. Requests that wait for a connection fail.
    pub fn forget_target(&self, address: SocketAddr) {
        if let Some(pool) = self.pools.lock().remove(&address) {
            pool.close();
        }
    }

    /// Limits the connections to `address` to `share` and returns whether no more than that are
    /// open.
    pub fn limit_connections(&self, address: SocketAddr, share: u32) -> bool {
        let Some(pool) = self.pools.lock().get(&address).cloned() else { return true };
        pool.lower_share(share);
        pool.gauges().open <= u64::from(share)
    }

    /// Returns the number of open connections to all targets.
    pub fn open_connections(&self) -> u32 {
        self.pool_gauges().open as u32
    }

    /// Returns the connection counts summed over all targets.
    pub fn pool_gauges(&self) -> PoolGauges {
        let mut total = PoolGauges::default();
        for pool in self.pools.lock().values() {
            let gauges = pool.gauges();
            total.open += gauges.open;
            total.busy += gauges.busy;
            total.share += gauges.share;
            total.made += gauges.made;
        }
        total
    }

    fn pool_of(&self, endpoint: &TargetEndpoint) -> Arc<TargetPool> {
        let mut pools = self.pools.lock();
        if pools.len() >= MAX_POOLS && !pools.contains_key(&endpoint.address) {
            pools.retain(|_, pool| pool.gauges().open > 0);
        }
        let pool = pools
            .entry(endpoint.address)
            .or_insert_with(|| Arc::new(TargetPool::new(endpoint.address)));
        pool.set_share(endpoint.connection_share);
        Arc::clone(pool)
    }

    /// Runs an exchange in a task of its own, so that dropping the returned future does not
    /// close a connection that may be reusable shortly.
    fn exchange<C, R>(
        &self,
        endpoint: &TargetEndpoint,
        path: &'static str,
        call: &C,
        timeout: Duration,
        bound: ReuseBound,
    ) -> BoxFuture<Result<R, AttemptError>>
    where
        C: Serialize,
        R: DeserializeOwned + Send + 'static,
    {
        let Some(exchange) = self.make_exchange(path, call) else {
            return Box::pin(async { Err(AttemptError::NotSent) });
        };
        let pool = self.pool_of(endpoint);
        let (sender, receiver) = oneshot::channel();
        let gate = Arc::new(SendGate::default());
        tokio::spawn(run_exchange(pool, exchange, bound, Arc::clone(&gate), sender));
        Box::pin(async move {
            match tokio::time::timeout(timeout, receiver).await {
                Ok(Ok(Ok((status, body)))) => decode_answer(status, &body),
                Ok(Ok(Err(error))) => Err(error),
                Ok(Err(_)) => Err(AttemptError::Lost),
                // The request was still waiting for a connection, which is no fault of the target.
                Err(_) if gate.abort() => Err(AttemptError::NotSent),
                Err(_) => Err(AttemptError::TimedOut),
            }
        })
    }

    fn make_exchange(&self, path: &'static str, call: &impl Serialize) -> Option<HttpExchange> {
        let body = Bytes::from(serde_json::to_vec(call).ok()?);
        Some(HttpExchange { path, body, max_answer_bytes: self.max_answer_bytes })
    }
}

/// Decodes an answer into a reply, or into the error that its status stands for.
fn decode_answer<R: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<R, AttemptError> {
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
        self.exchange(endpoint, "/search", &call, timeout, ReuseBound::Any)
    }

    fn act(
        &self,
        endpoint: &TargetEndpoint,
        call: ActCall,
        timeout: Duration,
    ) -> BoxFuture<Result<ActReply, AttemptError>> {
        // The target may have closed a connection that was idle for long. An action lost on it
        // would have an unknown outcome although it never ran.
        let bound = ReuseBound::IdleBelow(ACTION_MAX_IDLE);
        self.exchange(endpoint, "/act", &call, timeout, bound)
    }

    fn cancel(&self, endpoint: &TargetEndpoint, call: CancelCall) {
        let Some(exchange) = self.make_exchange("/cancel", &call) else { return };
        // The result is not awaited: a target that ignores a cancellation only wastes its own slot.
        tokio::spawn(run_cancel(self.pool_of(endpoint), exchange, CANCEL_TIMEOUT));
    }

    fn warm(&self, endpoint: &TargetEndpoint, connections: u32) {
        self.pool_of(endpoint).warm(connections);
    }
}
