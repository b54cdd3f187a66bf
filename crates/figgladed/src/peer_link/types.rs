//! The types of the transport's public interface.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use figglade::{
    Incarnation, InstanceId, border::BoxFuture, controller::event::HybridStamp, peer::PeerFrame,
};

/// The instance that sent a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSender {
    /// The id of the instance.
    pub id: InstanceId,
    /// The incarnation of the instance, one per process start.
    pub incarnation: Incarnation,
    /// The address on which it listens for peers.
    pub address: SocketAddr,
}

/// A hybrid logical clock that stamps outgoing messages and advances past the stamps of incoming
/// ones, so that events of several instances can be sorted in causal order.
pub trait StampClock: Send + Sync {
    /// Returns the stamp for an outgoing message.
    fn stamp(&self) -> HybridStamp;

    /// Advances the clock past the stamp of a received message.
    fn observe(&self, stamp: HybridStamp);
}

/// Handles the frames and calls of other instances.
pub trait PeerHandler: Send + Sync {
    /// Handles a frame that needs no answer. Runs on a thread that serves many links, so an
    /// implementation must not block and moves long-running work to another thread.
    fn handle_frame(&self, from: PeerSender, frame: PeerFrame);

    /// Answers a call. The future runs on the runtime that started the transport and is dropped
    /// when the call times out.
    fn handle_call(
        &self,
        from: PeerSender,
        frame: PeerFrame,
    ) -> BoxFuture<Result<PeerFrame, CallRefusal>>;
}

/// The reason a peer refused a call.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallRefusal {
    /// The peer runs a release that does not know the frame kind.
    #[display("the peer does not know the frame kind")]
    UnknownKind,
    /// The peer has no capacity for the call, for example because a queue is full.
    #[display("the peer is busy")]
    Busy,
    /// The handler of the peer refused the call.
    #[display("the peer refused the call: {reason}")]
    Refused {
        /// The reason that the handler gave.
        reason: String,
    },
}

/// The reason a call never reached the handler of the peer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum NotSentReason {
    /// The payload is larger than the maximum frame size.
    #[display("the payload exceeds the maximum frame size")]
    TooLarge,
    /// Too many calls to the peer are queued or in flight, or the limit of links is reached.
    #[display("too many calls or links")]
    Busy,
    /// Connecting to the peer or the handshake with it failed.
    #[display("the peer is unreachable")]
    Unreachable,
    /// The call timed out before it was sent.
    #[display("timed out before sending")]
    TimedOut,
    /// The transport is closed.
    #[display("the transport is closed")]
    Closed,
}

/// The reason a call that was sent received no answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum UnknownReason {
    /// The connection was lost, or the answer could not be decoded.
    #[display("the connection was lost")]
    Lost,
    /// No answer arrived before the timeout.
    #[display("no answer in time")]
    TimedOut,
}

/// The reason a call received no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PeerCallError {
    /// The call never reached the handler of the peer.
    #[display("not sent: {_0}")]
    NotSent(#[error(source)] NotSentReason),
    /// The peer answered with a refusal.
    #[display("{_0}")]
    Refused(#[error(source)] CallRefusal),
    /// The call was sent and the peer may have handled it.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(source)] UnknownReason),
}

impl PeerCallError {
    /// Returns whether it is certain that the handler of the peer did not receive the call.
    pub const fn is_known_undelivered(&self) -> bool {
        matches!(
            self,
            Self::NotSent(_) | Self::Refused(CallRefusal::UnknownKind | CallRefusal::Busy)
        )
    }
}

/// The reason a transport could not be started.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PeerLinkError {
    /// The listener could not be bound.
    #[display("cannot listen for peers on {address}: {reason}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        reason: String,
    },
    /// A thread could not be spawned.
    #[display("cannot spawn a thread for peer links: {reason}")]
    Thread {
        /// The error of the operating system.
        reason: String,
    },
}
