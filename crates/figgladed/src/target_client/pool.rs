//! A bounded pool of connections to one target.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use figglade::border::AttemptError;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{net::TcpStream, sync::Notify, time::Instant};

/// One request and the bound of its answer.
#[derive(Debug)]
pub(super) struct HttpExchange {
    pub(super) path: &'static str,
    pub(super) body: Bytes,
    /// The largest answer read, in bytes.
    pub(super) max_answer_bytes: usize,
}

type Connection = SendRequest<Full<Bytes>>;

/// The connections to one target; never more than this instance's share.
#[derive(Debug)]
pub(super) struct TargetPool {
    address: SocketAddr,
    state: Mutex<PoolState>,
    released: Notify,
}

#[derive(Debug, Default)]
struct PoolState {
    idle: Vec<Connection>,
    open: u32,
    share: u32,
}

/// What a waiter may do next.
enum PoolTurn {
    Reuse(Connection),
    Connect,
    Wait,
}

impl TargetPool {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, state: Mutex::default(), released: Notify::new() }
    }

    pub(super) fn set_share(&self, share: u32) {
        let mut state = self.state.lock();
        state.share = share;
        // A share that shrank gives up idle connections at once.
        while state.open > share && state.idle.pop().is_some() {
            state.open -= 1;
        }
    }

    pub(super) fn open_connections(&self) -> u32 {
        self.state.lock().open
    }

    pub(super) fn close_idle(&self) {
        let mut state = self.state.lock();
        let closed = state.idle.len() as u32;
        state.idle.clear();
        state.open -= closed;
    }

    /// Sends one request and reads its answer; the exchange may outlive `timeout` by `grace` so
    /// that the connection can be used again.
    pub(super) async fn run_exchange(
        &self,
        exchange: HttpExchange,
        timeout: Duration,
        grace: Duration,
    ) -> Result<(StatusCode, Bytes), AttemptError> {
        let deadline = Instant::now() + timeout;
        let mut connection = self.acquire(deadline).await?;
        let sent = tokio::time::timeout_at(deadline + grace, send(&mut connection, exchange)).await;
        match sent {
            Ok(Ok(answer)) => {
                self.release(connection);
                Ok(answer)
            }
            Ok(Err(error)) => {
                self.discard(connection);
                Err(error)
            }
            Err(_) => {
                self.discard(connection);
                Err(AttemptError::TimedOut)
            }
        }
    }

    async fn acquire(&self, deadline: Instant) -> Result<Connection, AttemptError> {
        loop {
            let released = self.released.notified();
            match self.take_turn() {
                PoolTurn::Reuse(connection) => return Ok(connection),
                PoolTurn::Connect => return self.connect(deadline).await,
                PoolTurn::Wait => {
                    let waited = tokio::time::timeout_at(deadline, released).await;
                    waited.map_err(|_| AttemptError::NotSent)?;
                }
            }
        }
    }

    fn take_turn(&self) -> PoolTurn {
        let mut state = self.state.lock();
        while let Some(connection) = state.idle.pop() {
            if connection.is_ready() {
                return PoolTurn::Reuse(connection);
            }
            state.open -= 1;
        }
        if state.open < state.share {
            state.open += 1;
            return PoolTurn::Connect;
        }
        PoolTurn::Wait
    }

    async fn connect(&self, deadline: Instant) -> Result<Connection, AttemptError> {
        let opened = tokio::time::timeout_at(deadline, open(self.address)).await;
        match opened {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) | Err(_) => {
                self.give_back();
                Err(AttemptError::NotSent)
            }
        }
    }

    fn release(&self, connection: Connection) {
        let mut state = self.state.lock();
        if state.open > state.share || connection.is_closed() {
            state.open -= 1;
        } else {
            state.idle.push(connection);
        }
        drop(state);
        self.released.notify_one();
    }

    fn discard(&self, connection: Connection) {
        drop(connection);
        self.give_back();
    }

    fn give_back(&self) {
        self.state.lock().open -= 1;
        self.released.notify_one();
    }
}

async fn open(address: SocketAddr) -> Result<Connection, AttemptError> {
    let stream = TcpStream::connect(address).await.map_err(|_| AttemptError::NotSent)?;
    stream.set_nodelay(true).map_err(|_| AttemptError::NotSent)?;
    let (sender, driver) =
        handshake(TokioIo::new(stream)).await.map_err(|_| AttemptError::NotSent)?;
    tokio::spawn(driver);
    Ok(sender)
}

async fn send(
    connection: &mut Connection,
    exchange: HttpExchange,
) -> Result<(StatusCode, Bytes), AttemptError> {
    // A connection that closed while idle is seen here, before any byte is written.
    connection.ready().await.map_err(|_| AttemptError::NotSent)?;
    let request = Request::post(exchange.path)
        .header(header::HOST, "target")
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(exchange.body))
        .map_err(|_| AttemptError::NotSent)?;
    let response = connection.send_request(request).await.map_err(classify_failure)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), exchange.max_answer_bytes);
    let collected = body.collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() { AttemptError::Oversized } else { AttemptError::Lost }
    })?;
    Ok((status, collected.to_bytes()))
}

/// Tells a request that never left from one whose fate is open.
fn classify_failure(error: hyper::Error) -> AttemptError {
    if error.is_canceled() { AttemptError::NotSent } else { AttemptError::Lost }
}
