//! One connection of a link: flow control, calls in flight and detection of stalls.

use std::{cell::Cell, rc::Rc, sync::Arc};

use bytes::Bytes;
use figglade::peer::{FrameKind, PeerFrame};
use tokio::{
    task::{JoinSet, spawn_local},
    time::timeout,
};

use super::{
    codec,
    dial::DialedConnection,
    generated::peer_capnp::peer_session,
    queue::{OutboundCall, OutboundQueue},
    thread::LinkContext,
    types::{NotSentReason, PeerCallError, UnknownReason},
};

/// The state that the tasks of one connection share.
#[derive(Default)]
pub(super) struct ConnectionState {
    sent_frames: Cell<usize>,
    sent_bytes: Cell<usize>,
    calls: Cell<usize>,
    /// Whether a ping is in flight.
    pinging: Cell<bool>,
    /// Whether the connection is lost.
    pub(super) lost: Cell<bool>,
    /// Whether the peer has acknowledged a frame or answered a call.
    pub(super) made_progress: Cell<bool>,
}

impl ConnectionState {
    /// Returns whether a frame or a call is in flight.
    pub(super) fn is_busy(&self) -> bool {
        self.sent_frames.get() > 0 || self.calls.get() > 0
    }

    /// Marks the connection as lost because the peer acknowledges or answers nothing.
    fn abort_stalled(&self, context: &LinkContext) {
        if !self.lost.replace(true) {
            context.traffic.connections_stalled.add(1);
        }
    }
}

/// One connection of a link.
pub(super) struct LinkConnection {
    context: Rc<LinkContext>,
    queue: Arc<OutboundQueue>,
    session: peer_session::Client,
    pub(super) state: Rc<ConnectionState>,
    /// The task that detects the loss of the connection; it is cancelled on drop.
    _watch: JoinSet<()>,
}

impl LinkConnection {
    /// Wraps an authenticated connection and spawns the task that detects its loss.
    pub(super) fn new(
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

    /// Sends the queued calls, then queued frames up to the limits of unacknowledged frames.
    pub(super) fn send_queued(&self, queue: &OutboundQueue) {
        while let Some(call) = queue.take_call() {
            self.send_call(call);
        }
        while self.has_send_capacity() {
            let Some(frame) = queue.take_frame() else { return };
            self.send_frame(frame);
        }
    }

    /// Returns whether another frame may be sent before the peer acknowledges one.
    fn has_send_capacity(&self) -> bool {
        let limits = &self.context.limits;
        !self.state.lost.get()
            && self.state.sent_frames.get() < limits.max_sent_frames
            && self.state.sent_bytes.get() < limits.max_sent_bytes
    }

    /// Sends a frame and waits for its acknowledgement in a background task.
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
        let (context, state, queue) = self.clone_shared();
        spawn_local(async move {
            let acknowledged = timeout(context.limits.stall_timeout, promise).await;
            state.sent_frames.update(|count| count - 1);
            state.sent_bytes.update(|bytes| bytes - length);
            match acknowledged {
                Ok(Ok(_)) => state.made_progress.set(true),
                Ok(Err(_)) => context.traffic.frames_dropped.add(1),
                Err(_) => {
                    context.traffic.frames_dropped.add(1);
                    state.abort_stalled(&context);
                }
            }
            queue.wake.notify_one();
        });
    }

    /// Sends a call, unless its caller cancelled it, and delivers the answer in a background task.
    fn send_call(&self, call: OutboundCall) {
        if self.state.calls.get() >= self.context.limits.max_calls {
            return call.fail(PeerCallError::NotSent(NotSentReason::Busy));
        }
        if !call.state.try_mark_sent() {
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
        let (context, state, queue) = self.clone_shared();
        let session = self.session.clone();
        spawn_local(async move {
            let mut call = call;
            let time_left = call.time_left();
            let answer = tokio::select! {
                answer = timeout(time_left, promise) => Some(answer),
                // Dropping the promise cancels the call at the peer.
                () = call.reply.closed() => None,
            };
            state.calls.update(|count| count - 1);
            let answer = match answer {
                Some(Ok(Ok(response))) => {
                    state.made_progress.set(true);
                    read_answer(&context, &response)
                }
                Some(Ok(Err(error))) => Err(PeerCallError::Unknown(classify_loss(&error))),
                None if !call.time_left().is_zero() => return queue.wake.notify_one(),
                Some(Err(_)) | None => {
                    spawn_local(ping_peer(context, session, state, Arc::clone(&queue)));
                    Err(PeerCallError::Unknown(UnknownReason::TimedOut))
                }
            };
            // The caller may have stopped waiting.
            let _ = call.reply.send(answer);
            queue.wake.notify_one();
        });
    }

    /// Clones the shared state for a background task.
    fn clone_shared(&self) -> (Rc<LinkContext>, Rc<ConnectionState>, Arc<OutboundQueue>) {
        (Rc::clone(&self.context), Rc::clone(&self.state), Arc::clone(&self.queue))
    }
}

/// Aborts the connection when the peer does not answer a ping. A call that timed out may only have a
/// slow handler, but on a dead connection the following calls would be lost as well.
async fn ping_peer(
    context: Rc<LinkContext>,
    session: peer_session::Client,
    state: Rc<ConnectionState>,
    queue: Arc<OutboundQueue>,
) {
    if state.pinging.replace(true) {
        return;
    }
    let ping = session.ping_request().send().promise;
    // Any answer proves that the connection works, also the error of a release without pings.
    if timeout(context.limits.ping_timeout, ping).await.is_err() {
        state.abort_stalled(&context);
        queue.wake.notify_one();
    }
    state.pinging.set(false);
}

/// Decodes the answer to a call; if it is malformed, the outcome of the call is unknown.
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
            .ok_or_else(|| capnp::Error::failed("unknown frame kind in the answer".to_owned()))?;
        let payload = Bytes::copy_from_slice(reply.get_payload()?);
        Ok(Ok(PeerFrame { kind, payload }))
    };
    parsed().unwrap_or(Err(PeerCallError::Unknown(UnknownReason::Lost)))
}

/// Maps an RPC error to the reason a call has no answer; a peer on which the call times out first
/// reports `Overloaded`.
fn classify_loss(error: &capnp::Error) -> UnknownReason {
    match error.kind {
        capnp::ErrorKind::Overloaded => UnknownReason::TimedOut,
        _ => UnknownReason::Lost,
    }
}
