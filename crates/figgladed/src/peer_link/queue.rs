//! The queue of outgoing frames and calls of one link.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use figglade::peer::PeerFrame;
use parking_lot::Mutex;
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use super::types::{NotSentReason, PeerCallError};

/// The state of an outgoing call, which is either sent or cancelled, never both.
#[derive(Debug, Default)]
pub(super) struct CallState(AtomicU8);

impl CallState {
    const QUEUED: u8 = 0;
    const SENT: u8 = 1;
    const CANCELLED: u8 = 2;

    /// Marks the call as sent; returns false when it was cancelled.
    pub(super) fn try_mark_sent(&self) -> bool {
        self.transition(Self::SENT)
    }

    /// Cancels the call; returns false when it was already sent.
    pub(super) fn try_cancel(&self) -> bool {
        self.transition(Self::CANCELLED)
    }

    /// Changes the state of a queued call; returns false when it is no longer queued.
    fn transition(&self, state: u8) -> bool {
        let moved =
            self.0.compare_exchange(Self::QUEUED, state, Ordering::AcqRel, Ordering::Acquire);
        moved.is_ok()
    }
}

/// An outgoing call.
#[derive(Debug)]
pub(super) struct OutboundCall {
    /// The request.
    pub(super) frame: PeerFrame,
    /// When the caller stops waiting.
    pub(super) deadline: Instant,
    /// Whether the call is queued, sent or cancelled.
    pub(super) state: Arc<CallState>,
    /// Receives the answer.
    pub(super) reply: oneshot::Sender<Result<PeerFrame, PeerCallError>>,
}

impl OutboundCall {
    /// Completes the call with an error.
    pub(super) fn fail(self, error: PeerCallError) {
        // The caller may have stopped waiting.
        let _ = self.reply.send(Err(error));
    }

    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// The limits of a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueLimits {
    /// Queued frames.
    pub(super) frames: usize,
    /// Bytes of queued frames.
    pub(super) bytes: usize,
    /// Queued calls.
    pub(super) calls: usize,
}

/// The outgoing frames and calls of one link.
#[derive(Debug)]
pub(super) struct OutboundQueue {
    limits: QueueLimits,
    state: Mutex<QueueState>,
    /// Wakes the link when there is something to do.
    pub(super) wake: Notify,
}

#[derive(Debug, Default)]
struct QueueState {
    frames: VecDeque<PeerFrame>,
    bytes: usize,
    calls: VecDeque<OutboundCall>,
    refusal: Option<NotSentReason>,
}

impl OutboundQueue {
    /// Builds an empty queue.
    pub(super) fn new(limits: QueueLimits) -> Self {
        Self { limits, state: Mutex::default(), wake: Notify::new() }
    }

    /// Adds a frame, drops the oldest frames while the queue exceeds its limits, and returns how
    /// many were dropped. A closed queue drops the new frame.
    pub(super) fn push_frame(&self, frame: PeerFrame) -> u64 {
        let mut state = self.state.lock();
        if state.refusal == Some(NotSentReason::Closed) {
            return 1;
        }
        state.bytes += frame.payload.len();
        state.frames.push_back(frame);
        let mut dropped = 0;
        while state.frames.len() > self.limits.frames || state.bytes > self.limits.bytes {
            state.take_frame();
            dropped += 1;
        }
        drop(state);
        self.wake.notify_one();
        dropped
    }

    /// Adds a call, or fails it immediately when the peer is known to be unreachable or when the
    /// queue is full or closed.
    pub(super) fn push_call(&self, call: OutboundCall) {
        let mut state = self.state.lock();
        state.calls.retain(|waiting| !waiting.reply.is_closed());
        let full = (state.calls.len() >= self.limits.calls).then_some(NotSentReason::Busy);
        if let Some(reason) = state.refusal.or(full) {
            drop(state);
            return call.fail(PeerCallError::NotSent(reason));
        }
        state.calls.push_back(call);
        drop(state);
        self.wake.notify_one();
    }

    /// Removes and returns the oldest frame.
    pub(super) fn take_frame(&self) -> Option<PeerFrame> {
        self.state.lock().take_frame()
    }

    /// Removes and returns the oldest call.
    pub(super) fn take_call(&self) -> Option<OutboundCall> {
        self.state.lock().calls.pop_front()
    }

    /// Returns whether the queue holds neither frames nor calls.
    pub(super) fn is_empty(&self) -> bool {
        let state = self.state.lock();
        state.frames.is_empty() && state.calls.is_empty()
    }

    /// Fails the queued calls, and all further calls until [`OutboundQueue::accept_calls`].
    pub(super) fn refuse_calls(&self, reason: NotSentReason) {
        let mut state = self.state.lock();
        if state.refusal != Some(NotSentReason::Closed) {
            state.refusal = Some(reason);
        }
        let calls = std::mem::take(&mut state.calls);
        drop(state);
        calls.into_iter().for_each(|call| call.fail(PeerCallError::NotSent(reason)));
    }

    /// Accepts calls again, unless the queue is closed.
    pub(super) fn accept_calls(&self) {
        let mut state = self.state.lock();
        if state.refusal != Some(NotSentReason::Closed) {
            state.refusal = None;
        }
    }

    /// Rejects further frames and calls; frames that are already queued are still sent.
    pub(super) fn close(&self) {
        self.refuse_calls(NotSentReason::Closed);
        self.wake.notify_one();
    }
}

impl QueueState {
    /// Removes and returns the oldest frame.
    fn take_frame(&mut self) -> Option<PeerFrame> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.payload.len();
        Some(frame)
    }
}
