//! Sends what waits for one peer: connects, waits after failures, and closes when unused.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use figglade::peer::{FrameKind, PeerFrame};
use rand::RngExt as _;
use tokio::{
    task::{JoinSet, spawn_local},
    time::{sleep, timeout},
};

use super::{
    codec,
    dial::{DialedConnection, dial_peer},
    generated::peer_capnp::peer_session,
    queue::{OutboundCall, OutboundQueue},
    table::LinkKey,
    thread::LinkContext,
    types::{NotSentReason, PeerCallError, UnknownReason},
};

/// The waits after failed connections.
struct BackoffClock {
    first: Duration,
    max: Duration,
    failures: u32,
}

impl BackoffClock {
    /// Returns the next wait: doubled for each failure, then cut by up to a half at random, so
    /// that many instances do not connect to a restarted one at the same time.
    fn next_wait(&mut self, rng: &mut impl rand::Rng) -> Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        doubled.min(self.max).mul_f64(rng.random_range(0.5..1.0))
    }

    /// Starts again from the first wait.
    fn reset(&mut self) {
        self.failures = 0;
    }
}

/// The task of one link.
pub(super) struct PeerLinkTask {
    context: Rc<LinkContext>,
    key: LinkKey,
    queue: Arc<OutboundQueue>,
    backoff: BackoffClock,
    connection: Option<LinkConnection>,
}

impl PeerLinkTask {
    /// Builds the task of a link that is not connected yet.
    pub(super) fn new(context: Rc<LinkContext>, key: LinkKey, queue: Arc<OutboundQueue>) -> Self {
        let backoff = BackoffClock {
            first: context.limits.first_backoff,
            max: context.limits.max_backoff,
            failures: 0,
        };
        Self { context, key, queue, backoff, connection: None }
    }

    /// Runs the link until it is unused or the transport is closed.
    pub(super) async fn run(mut self) {
        loop {
            self.drop_lost_connection().await;
            if !self.queue.is_empty() && self.connection.is_none() {
                self.connect().await;
                continue;
            }
            if let Some(connection) = &self.connection {
                connection.send_waiting(&self.queue);
            }
            if self.is_done() {
                return self.close_connection();
            }
            if self.wait_for_work().await && self.context.table.retire(&self.key) {
                return;
            }
        }
    }

    /// Returns whether the transport is closing and everything was sent and taken.
    fn is_done(&self) -> bool {
        let in_flight = self.connection.as_ref().is_some_and(|held| held.state.is_busy());
        self.context.is_closing() && self.queue.is_empty() && !in_flight
    }

    /// Waits until there is something to do; closes a connection that stayed unused and then
    /// returns true.
    async fn wait_for_work(&mut self) -> bool {
        let limit = self.context.limits.idle_timeout;
        let idle = timeout(limit, self.queue.wake.notified()).await.is_err();
        let unused = self.connection.as_ref().is_none_or(|held| !held.state.is_busy());
        let retires = idle && unused && self.queue.is_empty();
        if retires {
            self.close_connection();
        }
        retires
    }

    /// Connects once; after a failure ends the waiting calls and waits.
    async fn connect(&mut self) {
        match dial_peer(&self.context, self.key.address).await {
            Ok(dialed) => {
                self.context.traffic.connections_made.add(1);
                slog::debug!(self.context.logger, "peer: link to {} is up", self.key.address);
                self.connection = Some(LinkConnection::new(&self.context, &self.queue, dialed));
            }
            Err(error) => {
                self.context.traffic.connections_failed.add(1);
                if self.backoff.failures == 0 {
                    slog::info!(
                        self.context.logger,
                        "peer: no link to {}: {error}",
                        self.key.address
                    );
                }
                self.wait_after_failure().await;
            }
        }
    }

    /// Drops a connection that was lost or took nothing for too long.
    async fn drop_lost_connection(&mut self) {
        let Some(connection) = &self.connection else { return };
        if connection.state.useful.get() {
            self.backoff.reset();
        }
        if !connection.state.lost.get() {
            return;
        }
        let useful = connection.state.useful.get();
        slog::info!(self.context.logger, "peer: link to {} was lost", self.key.address);
        self.close_connection();
        if !useful {
            self.wait_after_failure().await;
        }
    }

    /// Waits before the next connection; calls end at once meanwhile.
    async fn wait_after_failure(&mut self) {
        self.queue.refuse_calls(NotSentReason::Unreachable);
        let wait = self.backoff.next_wait(&mut rand::rng());
        sleep(wait).await;
        self.queue.accept_calls();
    }

    /// Closes the connection.
    fn close_connection(&mut self) {
        if self.connection.take().is_some() {
            self.context.traffic.connections_closed.add(1);
        }
    }
}

/// What the sendings on one connection know together.
#[derive(Default)]
struct ConnectionState {
    sent_frames: Cell<usize>,
    sent_bytes: Cell<usize>,
    calls: Cell<usize>,
    /// Whether the connection is lost.
    lost: Cell<bool>,
    /// Whether the peer took a frame or answered a call.
    useful: Cell<bool>,
}

impl ConnectionState {
    /// Returns whether a frame or a call is on its way.
    fn is_busy(&self) -> bool {
        self.sent_frames.get() > 0 || self.calls.get() > 0
    }
}

/// One connection of a link.
struct LinkConnection {
    context: Rc<LinkContext>,
    queue: Arc<OutboundQueue>,
    session: peer_session::Client,
    state: Rc<ConnectionState>,
    /// Watches for the loss of the connection; dropped with it.
    _watch: JoinSet<()>,
}

impl LinkConnection {
    /// Takes over a connection and watches for its loss.
    fn new(
        context: &Rc<LinkContext>,
        queue: &Arc<OutboundQueue>,
        dialed: DialedConnection,
    ) -> Self {
        let DialedConnection { session, mut driver } = dialed;
        let state = Rc::new(ConnectionState::default());
        let mut watch = JoinSet::new();
        let (watched, waker) = (Rc::clone(&state), Arc::clone(queue));
        watch.spawn_local(async move {
            driver.join_next().await;
            watched.lost.set(true);
            waker.wake.notify_one();
        });
        Self {
            context: Rc::clone(context),
            queue: Arc::clone(queue),
            session,
            state,
            _watch: watch,
        }
    }

    /// Sends the waiting calls, then the waiting frames as far as the peer takes them.
    fn send_waiting(&self, queue: &OutboundQueue) {
        while let Some(call) = queue.take_call() {
            self.send_call(call);
        }
        while self.has_room() {
            let Some(frame) = queue.take_frame() else { return };
            self.send_frame(frame);
        }
    }

    /// Returns whether another frame may be sent before the peer takes one.
    fn has_room(&self) -> bool {
        let limits = &self.context.limits;
        !self.state.lost.get()
            && self.state.sent_frames.get() < limits.max_sent_frames
            && self.state.sent_bytes.get() < limits.max_sent_bytes
    }

    /// Sends a frame and watches in the background that the peer takes it.
    fn send_frame(&self, frame: PeerFrame) {
        let length = frame.payload.len();
        let mut request = self.session.send_request();
        request.get().set_kind(frame.kind.number());
        request.get().set_payload(&frame.payload);
        self.context.write_stamp(request.get().init_stamp());
        let promise = request.send().promise;
        self.context.traffic.frames_out.add(1);
        self.state.sent_frames.update(|count| count + 1);
        self.state.sent_bytes.update(|bytes| bytes + length);
        let (context, state, queue) = self.share();
        spawn_local(async move {
            let taken = timeout(context.limits.stall_timeout, promise).await;
            state.sent_frames.update(|count| count - 1);
            state.sent_bytes.update(|bytes| bytes - length);
            match taken {
                Ok(Ok(_)) => state.useful.set(true),
                Ok(Err(_)) => context.traffic.frames_dropped.add(1),
                Err(_) => {
                    context.traffic.frames_dropped.add(1);
                    if !state.lost.replace(true) {
                        context.traffic.connections_stalled.add(1);
                    }
                }
            }
            queue.wake.notify_one();
        });
    }

    /// Sends a call, unless its caller took it back, and hands the answer over in the background.
    fn send_call(&self, call: OutboundCall) {
        if self.state.calls.get() >= self.context.limits.max_calls {
            return call.fail(PeerCallError::NotSent(NotSentReason::Busy));
        }
        if !call.mark.try_send() {
            return;
        }
        let mut request = self.session.call_request();
        let mut params = request.get();
        params.set_kind(call.frame.kind.number());
        params.set_payload(&call.frame.payload);
        params.set_timeout_ms(u32::try_from(call.time_left().as_millis()).unwrap_or(u32::MAX));
        self.context.write_stamp(params.init_stamp());
        let promise = request.send().promise;
        self.context.traffic.frames_out.add(1);
        self.state.calls.update(|count| count + 1);
        let (context, state, queue) = self.share();
        spawn_local(async move {
            let answer = timeout(call.time_left(), promise).await;
            state.calls.update(|count| count - 1);
            let answer = match answer {
                Ok(Ok(response)) => {
                    state.useful.set(true);
                    read_answer(&context, &response)
                }
                Ok(Err(error)) => Err(PeerCallError::Unknown(describe_loss(&error))),
                Err(_) => Err(PeerCallError::Unknown(UnknownReason::TimedOut)),
            };
            // The caller may have stopped waiting.
            let _ = call.reply.send(answer);
            queue.wake.notify_one();
        });
    }

    /// Shares what a background task needs.
    fn share(&self) -> (Rc<LinkContext>, Rc<ConnectionState>, Arc<OutboundQueue>) {
        (Rc::clone(&self.context), Rc::clone(&self.state), Arc::clone(&self.queue))
    }
}

/// Reads the answer to a call; one that cannot be read leaves the outcome unknown.
fn read_answer(
    context: &LinkContext,
    response: &capnp::capability::Response<peer_session::call_results::Owned>,
) -> Result<PeerFrame, PeerCallError> {
    let parsed = || -> capnp::Result<Result<PeerFrame, PeerCallError>> {
        let reply = response.get()?;
        context.observe_stamp(reply.get_stamp());
        let reason = reply.get_reason()?.to_str()?;
        if let Some(refusal) = codec::decode_refusal(reply.get_refusal()?, reason) {
            return Ok(Err(PeerCallError::Refused(refusal)));
        }
        let kind = FrameKind::from_number(reply.get_kind())
            .ok_or_else(|| capnp::Error::failed("unknown kind of answer".to_owned()))?;
        let payload = Bytes::copy_from_slice(reply.get_payload()?);
        Ok(Ok(PeerFrame { kind, payload }))
    };
    parsed().unwrap_or(Err(PeerCallError::Unknown(UnknownReason::Lost)))
}

/// Returns why a call has no answer; a peer whose time ran out first says that it is overloaded.
fn describe_loss(error: &capnp::Error) -> UnknownReason {
    match error.kind {
        capnp::ErrorKind::Overloaded => UnknownReason::TimedOut,
        _ => UnknownReason::Lost,
    }
}
