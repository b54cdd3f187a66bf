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

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The idle time after which a connection beyond the warm ones is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

pub(super) type Connection = SendRequest<Full<Bytes>>;

/// The idle connections that a request may reuse.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReuseBound {
    /// Any that is not known to be closed.
    Any,
    /// Those that have been idle for less than this time.
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

/// The connections to one target, at most the share of this instance. After the share was lowered,
/// busy connections may exceed it until their requests finish.
#[derive(Debug)]
pub(super) struct TargetPool {
    address: SocketAddr,
    state: Mutex<PoolState>,
    released: Notify,
}

#[derive(Debug, Default)]
struct PoolState {
    /// The idle connections, the most recently used one last.
    idle: Vec<IdleConnection>,
    /// The connections that are idle, busy or being opened.
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
    /// Whether the connection has carried a request.
    used: bool,
}

/// A connection taken from the pool. Dropping it without [`Self::release`] closes the connection.
#[derive(Debug)]
pub(super) struct PooledConnection {
    pool: Arc<TargetPool>,
    connection: Option<Connection>,
    reused: bool,
}

/// The next step of a request that needs a connection.
enum AcquireStep {
    Take(IdleConnection),
    Open,
    Wait,
    Refuse,
}

impl TargetPool {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, state: Mutex::default(), released: Notify::new() }
    }

    /// Closes the pool of a target that left. Requests that wait for a connection fail.
    pub(super) fn close(&self) {
        self.state.lock().closed = true;
        self.set_share(0);
        self.released.notify_waiters();
    }

    /// Sets the share. Idle connections above it close now, busy ones when their requests finish.
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

    /// Lowers the share if `share` is less than the current one. The next request sets a higher
    /// one.
    pub(super) fn lower_share(&self, share: u32) {
        let current = self.state.lock().share;
        self.set_share(share.min(current));
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

    /// Keeps `connections` open ahead of requests, as far as the share allows. Opens the missing
    /// ones and closes those that a past peak left over.
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

    /// Waits for a connection. The wait has no time limit of its own; the code that awaits it sets
    /// one.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        bound: ReuseBound,
    ) -> Result<PooledConnection, AttemptError> {
        let failed = self.state.lock().failed;
        loop {
            let released = self.released.notified();
            tokio::pin!(released);
            // Registered before the pool is checked, so that no release is missed.
            released.as_mut().enable();
            match self.try_acquire(bound) {
                AcquireStep::Take(idle) => return Ok(self.check_out(idle)),
                AcquireStep::Open => drop(tokio::spawn(Arc::clone(self).open_connection())),
                AcquireStep::Wait => {}
                AcquireStep::Refuse => return Err(AttemptError::NotSent),
            }
            released.await;
            let state = self.state.lock();
            if state.failed != failed && state.idle.is_empty() {
                return Err(AttemptError::NotSent);
            }
        }
    }

    /// Takes a connection that is idle now, if there is one.
    pub(super) fn take_idle(self: &Arc<Self>) -> Option<PooledConnection> {
        let idle = self.state.lock().pop_idle(ReuseBound::Any)?;
        Some(self.check_out(idle))
    }

    fn check_out(self: &Arc<Self>, idle: IdleConnection) -> PooledConnection {
        let IdleConnection { connection, used, .. } = idle;
        PooledConnection { pool: Arc::clone(self), connection: Some(connection), reused: used }
    }

    fn try_acquire(&self, bound: ReuseBound) -> AcquireStep {
        let mut state = self.state.lock();
        // Without a share no connection will be released; the request has to use another replica.
        if state.closed || state.share == 0 {
            return AcquireStep::Refuse;
        }
        if let Some(idle) = state.pop_idle(bound) {
            return AcquireStep::Take(idle);
        }
        if state.open >= state.share && !state.idle.is_empty() {
            // The idle connections have been idle too long for this request; one is closed to make
            // room for a new one.
            state.close_oldest();
        }
        if state.open < state.share {
            state.open += 1;
            state.opening += 1;
            return AcquireStep::Open;
        }
        AcquireStep::Wait
    }

    /// Opens one connection, which `open` and `opening` already count, and hands it to the next
    /// waiter.
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
            // Waiters must not wait for a connection that cannot be opened.
            self.released.notify_waiters();
        }
    }
}

impl PoolState {
    /// Removes the connections that the target closed.
    fn drop_closed(&mut self) {
        let before = self.idle.len();
        self.idle.retain(|idle| !idle.connection.is_closed());
        self.open -= (before - self.idle.len()) as u32;
    }

    /// Takes the most recently used connection if `bound` accepts it.
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

    /// Closes connections beyond the warm ones that a past peak left idle for more than
    /// [`IDLE_TIMEOUT`].
    fn close_unused(&mut self) {
        self.drop_closed();
        while self.open > self.warm
            && self.idle.first().is_some_and(|idle| idle.since.elapsed() > IDLE_TIMEOUT)
        {
            self.close_oldest();
        }
    }
}

impl PooledConnection {
    pub(super) const fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Returns whether the connection carried a request before it was taken.
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

impl Drop for PooledConnection {
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
