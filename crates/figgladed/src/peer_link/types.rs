//! What crosses the border of the transport.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use figglade::{
    Incarnation, InstanceId, border::BoxFuture, controller::event::HybridStamp, peer::PeerFrame,
};

/// The instance that sent a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSender {
    /// Its name.
    pub id: InstanceId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Where it listens for peers.
    pub address: SocketAddr,
}

/// Stamps what is sent and takes over the stamps of what is received, so that events of many
/// instances can be put in the order of cause and effect.
pub trait StampClock: Send + Sync {
    /// Stamps a message.
    fn stamp(&self) -> HybridStamp;

    /// Takes over the stamp of a message.
    fn observe(&self, stamp: HybridStamp);
}

/// Takes what other instances send.
pub trait PeerHandler: Send + Sync {
    /// Takes a frame that needs no answer. Runs on a thread that serves many links, so it hands
    /// longer work to another thread.
    fn handle_frame(&self, from: PeerSender, frame: PeerFrame);

    /// Answers a call. The future runs on the runtime that started the transport and is dropped
    /// when the time of the call is over.
    fn handle_call(
        &self,
        from: PeerSender,
        frame: PeerFrame,
    ) -> BoxFuture<Result<PeerFrame, CallRefusal>>;
}

/// The reason a peer refused a call.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallRefusal {
    /// The peer runs a release that does not know the kind of the frame.
    #[display("the peer does not know the kind of frame")]
    UnknownKind,
    /// The peer runs too many calls.
    #[display("the peer is busy")]
    Busy,
    /// The handler of the peer refused.
    #[display("the peer refused: {reason}")]
    Refused {
        /// Why.
        reason: String,
    },
}

/// The reason a call surely never reached the handler of the peer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum NotSentReason {
    /// The payload is larger than a frame may be.
    #[display("the payload is too large")]
    TooLarge,
    /// Too many calls to the peer wait or run.
    #[display("too many calls to the peer")]
    Busy,
    /// The peer could not be connected to, or refused the handshake.
    #[display("the peer is unreachable")]
    Unreachable,
    /// The time ran out before the call was sent.
    #[display("the time ran out before sending")]
    TimedOut,
    /// The transport is closed.
    #[display("the transport is closed")]
    Closed,
}

/// The reason a call that was sent has no answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum UnknownReason {
    /// The link was lost, or the answer could not be read.
    #[display("the link was lost")]
    Lost,
    /// The time ran out.
    #[display("no answer in time")]
    TimedOut,
}

/// The reason a call has no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PeerCallError {
    /// The call surely never reached the handler of the peer.
    #[display("not sent: {_0}")]
    NotSent(#[error(source)] NotSentReason),
    /// The peer answered with a refusal.
    #[display("{_0}")]
    Refused(#[error(source)] CallRefusal),
    /// The peer may have handled the call.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(source)] UnknownReason),
}

impl PeerCallError {
    /// Returns whether the handler of the peer surely did not see the call.
    pub const fn is_surely_not_delivered(&self) -> bool {
        matches!(
            self,
            Self::NotSent(_) | Self::Refused(CallRefusal::UnknownKind | CallRefusal::Busy)
        )
    }
}

/// The reason a transport could not start.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PeerLinkError {
    /// The address could not be listened on.
    #[display("cannot listen for peers on {address}: {reason}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        reason: String,
    },
    /// A thread could not be started.
    #[display("cannot start a thread for peer links: {reason}")]
    Thread {
        /// What the system said.
        reason: String,
    },
}
