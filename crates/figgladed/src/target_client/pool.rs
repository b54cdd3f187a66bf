//! A bounded pool of connections to one target.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use figglade::border::AttemptError;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{Instant, timeout},
};

use crate::metrics::PoolGauges;

/// The longest wait for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection that is not among the warm ones may be idle.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

pub(super) type Connection = SendRequest<Full<Bytes>>;

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReuseBound {
    /// Every one that is not known to be closed.
    Any,
    /// Those that were idle for less than this.
    IdleBelow(Duration),
}

impl ReuseBound {
    fn accepts(self, idle: Duration) -> bool {
        match self {
            Self::Any => true,
            Self::IdleBelow(bound) => idle < bound,
        }
    }
}

/// The connections to one target; never more than this instance's share, but for busy ones when
/// the share shrinks.
#[derive(Debug)]
pub(super) struct TargetPool {
    address: SocketAddr,
    state: Mutex<PoolState>,
    released: Notify,
}

#[derive(Debug, Default)]
struct PoolState {
    /// The free connections, the one used last at the end.
    idle: Vec<IdleConnection>,
    /// The connections that are free, busy or being made.
    open: u32,
    opening: u32,
    share: u32,
    warm: u32,
    made: u64,
    failed: u64,
    closed: bool,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
    /// Whether it carried a request before.
    used: bool,
}

/// A connection taken from the pool; dropping it closes the connection.
#[derive(Debug)]
pub(super) struct PoolLease {
    pool: Arc<TargetPool>,
    connection: Option<Connection>,
    reused: bool,
}

/// What a waiter may do next.
enum PoolTurn {
    Take(IdleConnection),
    Open,
    Wait,
    Refuse,
}

impl TargetPool {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, state: Mutex::default(), released: Notify::new() }
    }

    /// Closes the pool of a target that left; requests that wait for a connection fail.
    pub(super) fn close(&self) {
        self.state.lock().closed = true;
        self.set_share(0);
        self.released.notify_waiters();
    }

    /// Sets the share; idle connections above it close at once, busy ones when they are done.
    pub(super) fn set_share(&self, share: u32) {
        let mut state = self.state.lock();
        if state.share == share {
            return;
        }
        let raised = share > state.share;
        state.share = share;
        while state.open > share && !state.idle.is_empty() {
            state.close_oldest();
        }
        drop(state);
        if raised {
            self.released.notify_waiters();
        }
    }

    pub(super) fn gauges(&self) -> PoolGauges {
        let state = self.state.lock();
        PoolGauges {
            open: u64::from(state.open),
            busy: u64::from(state.open - state.opening) - state.idle.len() as u64,
            share: u64::from(state.share),
            made: state.made,
        }
    }

    /// Keeps `connections` open ahead of requests, as far as the share allows.
    pub(super) fn warm(self: &Arc<Self>, connections: u32) {
        let missing = {
            let mut state = self.state.lock();
            state.warm = connections;
            state.close_unused();
            let wanted = connections.min(state.share);
            let missing = wanted.saturating_sub(state.open);
            state.open += missing;
            state.opening += missing;
            missing
        };
        for _ in 0..missing {
            tokio::spawn(Arc::clone(self).open_connection());
        }
    }

    /// Waits for a connection; the caller bounds the wait.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        bound: ReuseBound,
    ) -> Result<PoolLease, AttemptError> {
        let failed = self.state.lock().failed;
        loop {
            let released = self.released.notified();
            tokio::pin!(released);
            // Registered before the look at the pool, so that no release is missed.
            released.as_mut().enable();
            match self.take_turn(bound) {
                PoolTurn::Take(idle) => return Ok(self.lease(idle)),
                PoolTurn::Open => drop(tokio::spawn(Arc::clone(self).open_connection())),
                PoolTurn::Wait => {}
                PoolTurn::Refuse => return Err(AttemptError::NotSent),
            }
            released.await;
            let state = self.state.lock();
            if state.failed != failed && state.idle.is_empty() {
                return Err(AttemptError::NotSent);
            }
        }
    }

    /// Takes a connection that is free now.
    pub(super) fn take_idle(self: &Arc<Self>) -> Option<PoolLease> {
        let idle = self.state.lock().pop_idle(ReuseBound::Any)?;
        Some(self.lease(idle))
    }

    fn lease(self: &Arc<Self>, idle: IdleConnection) -> PoolLease {
        let IdleConnection { connection, used, .. } = idle;
        PoolLease { pool: Arc::clone(self), connection: Some(connection), reused: used }
    }

    fn take_turn(&self, bound: ReuseBound) -> PoolTurn {
        let mut state = self.state.lock();
        if state.closed {
            return PoolTurn::Refuse;
        }
        if let Some(idle) = state.pop_idle(bound) {
            return PoolTurn::Take(idle);
        }
        if state.open >= state.share && !state.idle.is_empty() {
            // Those left are too old for this request; one gives way to a new connection.
            state.close_oldest();
        }
        if state.open < state.share {
            state.open += 1;
            state.opening += 1;
            return PoolTurn::Open;
        }
        PoolTurn::Wait
    }

    /// Makes one connection, which was counted before, and offers it to the next waiter.
    async fn open_connection(self: Arc<Self>) {
        let opened = timeout(CONNECT_TIMEOUT, open(self.address)).await;
        let mut state = self.state.lock();
        state.opening -= 1;
        if let Ok(Some(connection)) = opened {
            state.made += 1;
            state.add_idle(connection, false);
            drop(state);
            self.released.notify_one();
        } else {
            state.open -= 1;
            state.failed += 1;
            drop(state);
            // Whoever waits for a connection must not wait for one that cannot be made.
            self.released.notify_waiters();
        }
    }
}

impl PoolState {
    /// Drops the connections that the target closed.
    fn drop_closed(&mut self) {
        let before = self.idle.len();
        self.idle.retain(|idle| !idle.connection.is_closed());
        self.open -= (before - self.idle.len()) as u32;
    }

    /// Takes the connection that was used last and is acceptable.
    fn pop_idle(&mut self, bound: ReuseBound) -> Option<IdleConnection> {
        self.drop_closed();
        self.idle.pop_if(|idle| bound.accepts(idle.since.elapsed()))
    }

    fn add_idle(&mut self, connection: Connection, used: bool) {
        if self.open > self.share || connection.is_closed() {
            self.open -= 1;
            return;
        }
        self.idle.push(IdleConnection { connection, since: Instant::now(), used });
    }

    fn close_oldest(&mut self) {
        self.idle.remove(0);
        self.open -= 1;
    }

    /// Closes connections that a past peak left over.
    fn close_unused(&mut self) {
        self.drop_closed();
        while self.open > self.warm
            && self.idle.first().is_some_and(|idle| idle.since.elapsed() > IDLE_LIMIT)
        {
            self.close_oldest();
        }
    }
}

impl PoolLease {
    pub(super) const fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Returns whether the connection carried a request before.
    pub(super) const fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns the connection to the pool.
    pub(super) fn release(mut self) {
        let Some(connection) = self.connection.take() else { return };
        self.pool.state.lock().add_idle(connection, true);
        self.pool.released.notify_one();
    }
}

impl Drop for PoolLease {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.state.lock().open -= 1;
            self.pool.released.notify_one();
        }
    }
}

async fn open(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(driver);
    Some(sender)
}
