//! What waits to be sent on one link.

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

/// Tells whether a call may still be taken back.
#[derive(Debug, Default)]
pub(super) struct DeliveryMark(AtomicU8);

impl DeliveryMark {
    const QUEUED: u8 = 0;
    const SENT: u8 = 1;
    const CANCELLED: u8 = 2;

    /// Marks the call as sent; fails when it was taken back.
    pub(super) fn try_send(&self) -> bool {
        self.try_move(Self::SENT)
    }

    /// Takes the call back; fails when it was sent.
    pub(super) fn try_cancel(&self) -> bool {
        self.try_move(Self::CANCELLED)
    }

    /// Moves a queued call to another state.
    fn try_move(&self, state: u8) -> bool {
        let moved =
            self.0.compare_exchange(Self::QUEUED, state, Ordering::AcqRel, Ordering::Acquire);
        moved.is_ok()
    }
}

/// A call on its way to a peer.
#[derive(Debug)]
pub(super) struct OutboundCall {
    /// What is asked.
    pub(super) frame: PeerFrame,
    /// When the caller stops waiting.
    pub(super) deadline: Instant,
    /// Whether the call may still be taken back.
    pub(super) mark: Arc<DeliveryMark>,
    /// Takes the answer.
    pub(super) reply: oneshot::Sender<Result<PeerFrame, PeerCallError>>,
}

impl OutboundCall {
    /// Ends the call without an answer.
    pub(super) fn fail(self, error: PeerCallError) {
        // The caller may have stopped waiting.
        let _ = self.reply.send(Err(error));
    }

    /// Returns the time left.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// The bounds of a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueLimits {
    /// Frames that wait.
    pub(super) frames: usize,
    /// Bytes of frames that wait.
    pub(super) bytes: usize,
    /// Calls that wait.
    pub(super) calls: usize,
}

/// What waits to be sent on one link.
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

    /// Adds a frame and returns how many were dropped for it, the oldest first.
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

    /// Adds a call, or ends it at once when the peer is known to be unreachable or too many wait.
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

    /// Takes the oldest frame.
    pub(super) fn take_frame(&self) -> Option<PeerFrame> {
        self.state.lock().take_frame()
    }

    /// Takes the oldest call.
    pub(super) fn take_call(&self) -> Option<OutboundCall> {
        self.state.lock().calls.pop_front()
    }

    /// Returns whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        let state = self.state.lock();
        state.frames.is_empty() && state.calls.is_empty()
    }

    /// Ends the waiting calls and those that follow until [`OutboundQueue::accept_calls`].
    pub(super) fn refuse_calls(&self, reason: NotSentReason) {
        let mut state = self.state.lock();
        if state.refusal != Some(NotSentReason::Closed) {
            state.refusal = Some(reason);
        }
        let calls = std::mem::take(&mut state.calls);
        drop(state);
        calls.into_iter().for_each(|call| call.fail(PeerCallError::NotSent(reason)));
    }

    /// Takes calls again, unless the queue is closed.
    pub(super) fn accept_calls(&self) {
        let mut state = self.state.lock();
        if state.refusal != Some(NotSentReason::Closed) {
            state.refusal = None;
        }
    }

    /// Takes nothing more; the frames that wait are still sent.
    pub(super) fn close(&self) {
        self.refuse_calls(NotSentReason::Closed);
        self.wake.notify_one();
    }
}

impl QueueState {
    /// Takes the oldest frame.
    fn take_frame(&mut self) -> Option<PeerFrame> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.payload.len();
        Some(frame)
    }
}
