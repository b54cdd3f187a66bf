//! One connection of a link: what is on its way, and whether the peer takes and answers it.

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

/// What the sendings on one connection know together.
#[derive(Default)]
pub(super) struct ConnectionState {
    sent_frames: Cell<usize>,
    sent_bytes: Cell<usize>,
    calls: Cell<usize>,
    /// Whether a ping is on its way.
    pinging: Cell<bool>,
    /// Whether the connection is lost.
    pub(super) lost: Cell<bool>,
    /// Whether the peer took a frame or answered a call.
    pub(super) useful: Cell<bool>,
}

impl ConnectionState {
    /// Returns whether a frame or a call is on its way.
    pub(super) fn is_busy(&self) -> bool {
        self.sent_frames.get() > 0 || self.calls.get() > 0
    }

    /// Gives the connection up because the peer takes or answers nothing.
    fn give_up(&self, context: &LinkContext) {
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
    /// Watches for the loss of the connection; dropped with it.
    _watch: JoinSet<()>,
}

impl LinkConnection {
    /// Takes over a connection and watches for its loss.
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

    /// Sends the waiting calls, then the waiting frames as far as the peer takes them.
    pub(super) fn send_waiting(&self, queue: &OutboundQueue) {
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
                    state.give_up(&context);
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
                    state.useful.set(true);
                    read_answer(&context, &response)
                }
                Some(Ok(Err(error))) => Err(PeerCallError::Unknown(describe_loss(&error))),
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

    /// Shares what a background task needs.
    fn share(&self) -> (Rc<LinkContext>, Rc<ConnectionState>, Arc<OutboundQueue>) {
        (Rc::clone(&self.context), Rc::clone(&self.state), Arc::clone(&self.queue))
    }
}

/// Gives a connection up when the peer does not answer a ping: a call that was not answered in time
/// may only be slow, but on a dead connection the next calls would be lost as well.
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
    // Any answer shows that the connection works, also that of a release without pings.
    if timeout(context.limits.ping_timeout, ping).await.is_err() {
        state.give_up(&context);
        queue.wake.notify_one();
    }
    state.pinging.set(false);
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
