//! The HTTP client towards targets, with a bounded, warm pool for each.

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

/// How long a cancellation may take.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an action trusts an idle connection.
const ACTION_REUSE: Duration = Duration::from_secs(1);
/// The pools above which those without a connection are dropped.
const MAX_POOLS: usize = 4_096;

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

    /// Closes the idle connections to a target that left; busy ones close when they are done, and
    /// what waits for one fails.
    pub fn forget_target(&self, address: SocketAddr) {
        if let Some(pool) = self.pools.lock().remove(&address) {
            pool.close();
        }
    }

    /// Bounds the connections to `address` and returns whether no more are open.
    pub fn limit_connections(&self, address: SocketAddr, share: u32) -> bool {
        let Some(pool) = self.pools.lock().get(&address).cloned() else { return true };
        pool.set_share(share);
        pool.gauges().open <= u64::from(share)
    }

    /// Returns the open connections to all targets.
    pub fn open_connections(&self) -> u32 {
        self.pool_gauges().open as u32
    }

    /// Returns the connections to all targets together.
    pub fn pool_gauges(&self) -> PoolGauges {
        let mut sum = PoolGauges::default();
        for pool in self.pools.lock().values() {
            let gauges = pool.gauges();
            sum.open += gauges.open;
            sum.busy += gauges.busy;
            sum.share += gauges.share;
            sum.made += gauges.made;
        }
        sum
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

    /// Runs an exchange in a task of its own, so that a reader who leaves does not cut a
    /// connection that is about to be free again.
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
                Ok(Ok(Ok((status, body)))) => read_answer(status, &body),
                Ok(Ok(Err(error))) => Err(error),
                Ok(Err(_)) => Err(AttemptError::Lost),
                // The target is not to blame where no connection was free.
                Err(_) if gate.give_up() => Err(AttemptError::NotSent),
                Err(_) => Err(AttemptError::TimedOut),
            }
        })
    }

    fn make_exchange(&self, path: &'static str, call: &impl Serialize) -> Option<HttpExchange> {
        let body = Bytes::from(serde_json::to_vec(call).ok()?);
        Some(HttpExchange { path, body, max_answer_bytes: self.max_answer_bytes })
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
        self.exchange(endpoint, "/search", &call, timeout, ReuseBound::Any)
    }

    fn act(
        &self,
        endpoint: &TargetEndpoint,
        call: ActCall,
        timeout: Duration,
    ) -> BoxFuture<Result<ActReply, AttemptError>> {
        // A target may have closed a connection that was idle for long; an action that is lost on
        // it would be unknown although it never ran.
        let bound = ReuseBound::IdleBelow(ACTION_REUSE);
        self.exchange(endpoint, "/act", &call, timeout, bound)
    }

    fn cancel(&self, endpoint: &TargetEndpoint, call: CancelCall) {
        let Some(exchange) = self.make_exchange("/cancel", &call) else { return };
        // Nothing depends on the answer: a target that ignores it only wastes its own slot.
        tokio::spawn(run_cancel(self.pool_of(endpoint), exchange, CANCEL_TIMEOUT));
    }

    fn warm(&self, endpoint: &TargetEndpoint, connections: u32) {
        self.pool_of(endpoint).warm(connections);
    }
}
