//! Dispatches the frames and calls of other instances.

use std::sync::{Arc, OnceLock};

use figglade::{
    border::BoxFuture,
    peer::{FrameKind, PeerFrame, decode_payload, encode_payload},
};

use super::{
    gossip::GossipDriver,
    group::ask_member,
    member::{MemberHandle, MemberInput},
    message::ControlRequest,
};
use crate::peer_link::{CallRefusal, PeerHandler, PeerSender};

/// The receivers of frames and calls.
struct HandlerParts {
    gossip: Arc<GossipDriver>,
    /// The control member of this instance, if it has a disk.
    member: Option<MemberHandle>,
}

/// Dispatches the frames of other instances. Until [`Self::connect`] is called it drops frames and
/// refuses calls.
#[derive(Default)]
pub struct PlaneHandler {
    parts: OnceLock<HandlerParts>,
}

impl PeerHandler for PlaneHandler {
    fn handle_frame(&self, from: PeerSender, frame: PeerFrame) {
        let Some(parts) = self.parts.get() else { return };
        match frame.kind {
            FrameKind::Membership => parts.gossip.handle_membership(from.address, &frame.payload),
            FrameKind::Directory => parts.gossip.handle_directory(from.address, &frame.payload),
            FrameKind::Quorum => parts.handle_quorum(from, &frame),
            FrameKind::Control
            | FrameKind::Events
            | FrameKind::Registry
            | FrameKind::Search
            | FrameKind::Quota => {}
        }
    }

    fn handle_call(
        &self,
        _from: PeerSender,
        frame: PeerFrame,
    ) -> BoxFuture<Result<PeerFrame, CallRefusal>> {
        let member = self.parts.get().and_then(|parts| parts.member.clone());
        Box::pin(async move {
            if frame.kind != FrameKind::Control {
                return Err(CallRefusal::UnknownKind);
            }
            let refuse = |reason: String| CallRefusal::Refused { reason };
            let Some(member) = member else {
                return Err(refuse("the instance has no disk".to_owned()));
            };
            let request: ControlRequest =
                decode_payload(&frame.payload).map_err(|error| refuse(error.to_string()))?;
            let reply = ask_member(&member, request).await;
            let payload = encode_payload(&reply).map_err(|error| refuse(error.to_string()))?;
            Ok(PeerFrame { kind: FrameKind::Control, payload })
        })
    }
}

impl PlaneHandler {
    /// Sets the receivers of frames and calls.
    pub fn connect(&self, gossip: Arc<GossipDriver>, member: Option<MemberHandle>) {
        // A second call has no effect: the first receivers stay.
        let _ = self.parts.set(HandlerParts { gossip, member });
    }
}

impl HandlerParts {
    fn handle_quorum(&self, from: PeerSender, frame: &PeerFrame) {
        let Some(member) = &self.member else { return };
        if let Ok(message) = decode_payload(&frame.payload) {
            // The input may be dropped: the quorum protocol repeats lost messages.
            member.send(MemberInput::Message { from: from.id, message });
        }
    }
}
