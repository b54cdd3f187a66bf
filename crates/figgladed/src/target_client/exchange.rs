//! One HTTP request and its answer over a pooled connection.

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

use super::pool::{PooledConnection, ReuseBound, TargetPool};

/// The time that a connection whose request was cancelled has to answer before it is closed.
const CANCEL_GRACE: Duration = Duration::from_millis(250);
/// The most connections closed by the target that one request may meet before it fails.
const MAX_STALE_CONNECTIONS: u32 = 4;

/// One HTTP request and the size limit of its answer.
#[derive(Debug)]
pub(super) struct HttpExchange {
    pub(super) path: &'static str,
    pub(super) body: Bytes,
    /// The maximum size of the answer, in bytes.
    pub(super) max_answer_bytes: usize,
}

/// Decides once whether a request is sent or aborted, so that after a timeout it is known whether
/// any byte of it may have been sent.
#[derive(Debug, Default)]
pub(super) struct SendGate {
    state: AtomicU8,
}

/// No byte was sent yet.
const GATE_OPEN: u8 = 0;
/// The request may have been sent.
const GATE_SENT: u8 = 1;
/// The request was aborted and is never sent.
const GATE_CLOSED: u8 = 2;

impl SendGate {
    /// Marks the request as possibly sent. Returns `false` if it was aborted and must not be sent.
    fn begin(&self) -> bool {
        self.transition(GATE_OPEN, GATE_SENT)
    }

    /// Reopens the gate after an attempt that wrote no byte.
    fn undo(&self) {
        self.transition(GATE_SENT, GATE_OPEN);
    }

    /// Aborts the request. Returns whether this guarantees that it was not and will not be sent.
    pub(super) fn abort(&self) -> bool {
        self.transition(GATE_OPEN, GATE_CLOSED)
    }

    fn transition(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
}

pub(super) type ExchangeAnswer = Result<(StatusCode, Bytes), AttemptError>;

/// Runs an exchange and passes the answer to `sender`. If the receiver is dropped before the
/// request is sent, nothing is sent. If it is dropped later, the target has [`CANCEL_GRACE`] to
/// answer before the connection is closed.
pub(super) async fn run_exchange(
    pool: Arc<TargetPool>,
    exchange: HttpExchange,
    bound: ReuseBound,
    gate: Arc<SendGate>,
    mut sender: oneshot::Sender<ExchangeAnswer>,
) {
    let mut stale = 0;
    let answer = loop {
        let acquired = tokio::select! {
            acquired = pool.acquire(bound) => acquired,
            () = sender.closed() => return,
        };
        let mut pooled = match acquired {
            Ok(pooled) => pooled,
            Err(error) => break Err(error),
        };
        if !gate.begin() {
            pooled.release();
            return;
        }
        let answer = {
            let response = send(&mut pooled, &exchange);
            tokio::pin!(response);
            tokio::select! {
                answer = &mut response => Some(answer),
                () = sender.closed() => timeout(CANCEL_GRACE, response).await.ok(),
            }
        };
        let Some(answer) = answer else { return };
        match answer {
            Ok(answer) => {
                pooled.release();
                break Ok(answer);
            }
            Err(AttemptError::NotSent) if pooled.is_reused() && stale < MAX_STALE_CONNECTIONS => {
                stale += 1;
                gate.undo();
            }
            Err(error) => break Err(error),
        }
    };
    // The send fails if the receiver was dropped, and then nobody needs the answer.
    let _ = sender.send(answer);
}

/// Sends a cancellation if a connection is idle now. Otherwise nothing is sent: the connection of
/// the cancelled attempt is closed after [`CANCEL_GRACE`], which cancels the attempt at the target
/// too.
pub(super) async fn run_cancel(pool: Arc<TargetPool>, exchange: HttpExchange, max_wait: Duration) {
    let Some(mut pooled) = pool.take_idle() else { return };
    if let Ok(Ok(_)) = timeout(max_wait, send(&mut pooled, &exchange)).await {
        pooled.release();
    }
}

async fn send(pooled: &mut PooledConnection, exchange: &HttpExchange) -> ExchangeAnswer {
    let connection = pooled.connection().ok_or(AttemptError::NotSent)?;
    // A connection that the target closed while it was idle fails here, before any byte is written.
    connection.ready().await.map_err(|_| AttemptError::NotSent)?;
    let request = Request::post(exchange.path)
        .header(header::HOST, "target")
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(exchange.body.clone()))
        .map_err(|_| AttemptError::NotSent)?;
    let response = connection.try_send_request(request).await.map_err(|error| {
        // The error returns the request only if no byte of it was written.
        if error.message().is_some() { AttemptError::NotSent } else { AttemptError::Lost }
    })?;
    let status = response.status();
    let body = Limited::new(response.into_body(), exchange.max_answer_bytes);
    let collected = body.collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() { AttemptError::Oversized } else { AttemptError::Lost }
    })?;
    Ok((status, collected.to_bytes()))
}
