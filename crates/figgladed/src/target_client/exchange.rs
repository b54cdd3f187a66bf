//! One request and its answer over a connection of a pool.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use figglade::border::AttemptError;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use tokio::{sync::oneshot, time::timeout};

use super::pool::{PoolLease, ReuseBound, TargetPool};

/// How long a connection whose search was cancelled may still answer before it is closed.
const CANCEL_GRACE: Duration = Duration::from_millis(250);
/// The stale connections that one request may meet before it is given up.
const MAX_STALE: u32 = 4;

/// One request and the bound of its answer.
#[derive(Debug)]
pub(super) struct HttpExchange {
    pub(super) path: &'static str,
    pub(super) body: Bytes,
    /// The largest answer read, in bytes.
    pub(super) max_answer_bytes: usize,
}

/// Decides once whether a request is sent or given up, so that a reader who stops waiting knows
/// whether a byte may have left.
#[derive(Debug, Default)]
pub(super) struct SendGate {
    state: AtomicU8,
}

/// Nothing was sent yet.
const GATE_OPEN: u8 = 0;
/// The request may have been sent.
const GATE_SENT: u8 = 1;
/// The request was given up and is never sent.
const GATE_CLOSED: u8 = 2;

impl SendGate {
    /// Returns whether the request may be sent now.
    fn begin(&self) -> bool {
        self.step(GATE_OPEN, GATE_SENT)
    }

    /// Takes back a sending of which no byte was written.
    fn undo(&self) {
        self.step(GATE_SENT, GATE_OPEN);
    }

    /// Returns whether the request was surely not sent and never will be.
    pub(super) fn give_up(&self) -> bool {
        self.step(GATE_OPEN, GATE_CLOSED)
    }

    fn step(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
}

pub(super) type ExchangeAnswer = Result<(StatusCode, Bytes), AttemptError>;

/// Runs an exchange for the reader behind `sender`. When the reader leaves before the request was
/// sent, nothing is sent; when it leaves later, the answer has a short time to come before
/// the connection is closed.
pub(super) async fn run_exchange(
    pool: Arc<TargetPool>,
    exchange: HttpExchange,
    bound: ReuseBound,
    gate: Arc<SendGate>,
    mut sender: oneshot::Sender<ExchangeAnswer>,
) {
    let mut stale = 0;
    let answer = loop {
        let leased = tokio::select! {
            leased = pool.acquire(bound) => leased,
            () = sender.closed() => return,
        };
        let mut lease = match leased {
            Ok(lease) => lease,
            Err(error) => break Err(error),
        };
        if !gate.begin() {
            lease.release();
            return;
        }
        let answer = {
            let sending = send(&mut lease, &exchange);
            tokio::pin!(sending);
            tokio::select! {
                answer = &mut sending => Some(answer),
                () = sender.closed() => timeout(CANCEL_GRACE, sending).await.ok(),
            }
        };
        let Some(answer) = answer else { return };
        match answer {
            Ok(answer) => {
                lease.release();
                break Ok(answer);
            }
            Err(AttemptError::NotSent) if lease.is_reused() && stale < MAX_STALE => {
                stale += 1;
                gate.undo();
            }
            Err(error) => break Err(error),
        }
    };
    // A reader that left no longer reads.
    let _ = sender.send(answer);
}

/// Sends a cancellation where a connection is free at once; otherwise the connection of the
/// cancelled attempt is closed soon, which tells the target the same.
pub(super) async fn run_cancel(pool: Arc<TargetPool>, exchange: HttpExchange, longest: Duration) {
    let Some(mut lease) = pool.take_idle() else { return };
    if let Ok(Ok(_)) = timeout(longest, send(&mut lease, &exchange)).await {
        lease.release();
    }
}

async fn send(lease: &mut PoolLease, exchange: &HttpExchange) -> ExchangeAnswer {
    let connection = lease.connection().ok_or(AttemptError::NotSent)?;
    // A connection that closed while idle is seen here, before any byte is written.
    connection.ready().await.map_err(|_| AttemptError::NotSent)?;
    let request = Request::post(exchange.path)
        .header(header::HOST, "target")
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(exchange.body.clone()))
        .map_err(|_| AttemptError::NotSent)?;
    let response = connection.try_send_request(request).await.map_err(|error| {
        // The request comes back only when no byte of it was written.
        if error.message().is_some() { AttemptError::NotSent } else { AttemptError::Lost }
    })?;
    let status = response.status();
    let body = Limited::new(response.into_body(), exchange.max_answer_bytes);
    let collected = body.collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() { AttemptError::Oversized } else { AttemptError::Lost }
    })?;
    Ok((status, collected.to_bytes()))
}
