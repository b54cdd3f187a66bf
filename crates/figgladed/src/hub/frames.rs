//! Receives frames on the threads of the peer links and passes them to the thread of the process.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use figglade::{
    border::BoxFuture,
    peer::{FrameKind, PeerFrame, decode_payload, encode_payload},
};
use tokio::sync::{mpsc, oneshot};

use super::{message::HubMessage, quota::QuotaInput};
use crate::{
    control::{ControlRequest, MemberHandle, MemberInput, ask_member},
    peer_link::{CallRefusal, PeerHandler, PeerSender},
    relay::SearchInput,
};

/// A message from another process.
#[derive(Debug)]
pub struct HubInput {
    /// The sender.
    pub from: PeerSender,
    /// The message.
    pub message: HubMessage,
    /// Notified once the message has been handled; `None` if the sender does not wait for that.
    pub handled: Option<oneshot::Sender<()>>,
}

/// Handles the frames from other processes.
pub struct HubHandler {
    inputs: mpsc::Sender<HubInput>,
    /// The control group member in this process; set once the member has started.
    member: Arc<OnceLock<MemberHandle>>,
    /// Receives searches; `None` if the process does not scatter searches for other instances.
    searches: Option<mpsc::Sender<SearchInput>>,
    /// Receives messages about quotas; `None` if the process is not a hub.
    quotas: Option<mpsc::Sender<QuotaInput>>,
}

impl HubHandler {
    /// Builds a handler that passes hub messages to `inputs`.
    pub const fn new(
        inputs: mpsc::Sender<HubInput>,
        member: Arc<OnceLock<MemberHandle>>,
        searches: Option<mpsc::Sender<SearchInput>>,
    ) -> Self {
        Self { inputs, member, searches, quotas: None }
    }

    /// Passes messages about quotas to `quotas`.
    pub fn with_quotas(self, quotas: mpsc::Sender<QuotaInput>) -> Self {
        Self { quotas: Some(quotas), ..self }
    }

    fn handle_quorum_frame(&self, from: PeerSender, frame: &PeerFrame) {
        let Some(member) = self.member.get() else { return };
        if let Ok(message) = decode_payload(&frame.payload) {
            // The quorum protocol resends a message that is lost here.
            member.send(MemberInput::Message { from: from.id, message });
        }
    }
}

impl PeerHandler for HubHandler {
    fn handle_frame(&self, from: PeerSender, frame: PeerFrame) {
        match frame.kind {
            FrameKind::Quorum => self.handle_quorum_frame(from, &frame),
            FrameKind::Registry => {
                if let Ok(message) = decode_payload(&frame.payload) {
                    // A message is dropped if the queue is full; the digest comparison detects
                    // the missing records.
                    let _ = self.inputs.try_send(HubInput { from, message, handled: None });
                }
            }
            FrameKind::Quota => {
                if let Some(quotas) = &self.quotas
                    && let Ok(message) = decode_payload(&frame.payload)
                {
                    // Returned tokens are lost if the queue is full.
                    let _ = quotas.try_send(QuotaInput { from, message, reply: None });
                }
            }
            FrameKind::Membership
            | FrameKind::Directory
            | FrameKind::Control
            | FrameKind::Events
            | FrameKind::Search => {}
        }
    }

    fn handle_call(
        &self,
        from: PeerSender,
        frame: PeerFrame,
    ) -> BoxFuture<Result<PeerFrame, CallRefusal>> {
        let inputs = self.inputs.clone();
        let member = self.member.get().cloned();
        let searches = self.searches.clone();
        let quotas = self.quotas.clone();
        Box::pin(async move {
            match frame.kind {
                FrameKind::Control => handle_control_call(member, &frame).await,
                FrameKind::Registry => handle_registry_call(&inputs, from, &frame).await,
                FrameKind::Search => handle_search_call(searches, from, &frame).await,
                FrameKind::Quota => handle_quota_call(quotas, from, &frame).await,
                _ => Err(CallRefusal::UnknownKind),
            }
        })
    }
}

async fn handle_control_call(
    member: Option<MemberHandle>,
    frame: &PeerFrame,
) -> Result<PeerFrame, CallRefusal> {
    let member =
        member.ok_or_else(|| refuse("the instance is not a member of the control group"))?;
    let request: ControlRequest = decode_payload(&frame.payload).map_err(refuse)?;
    let reply = ask_member(&member, request).await;
    let payload = encode_payload(&reply).map_err(refuse)?;
    Ok(PeerFrame { kind: FrameKind::Control, payload })
}

async fn handle_registry_call(
    inputs: &mpsc::Sender<HubInput>,
    from: PeerSender,
    frame: &PeerFrame,
) -> Result<PeerFrame, CallRefusal> {
    let message = decode_payload(&frame.payload).map_err(refuse)?;
    let (sender, handled) = oneshot::channel();
    let input = HubInput { from, message, handled: Some(sender) };
    inputs.try_send(input).map_err(|_| CallRefusal::Busy)?;
    handled.await.map_err(|_| refuse("the process is stopping"))?;
    Ok(PeerFrame { kind: FrameKind::Registry, payload: Bytes::new() })
}

async fn handle_search_call(
    searches: Option<mpsc::Sender<SearchInput>>,
    from: PeerSender,
    frame: &PeerFrame,
) -> Result<PeerFrame, CallRefusal> {
    let searches = searches.ok_or(CallRefusal::UnknownKind)?;
    let message = decode_payload(&frame.payload).map_err(refuse)?;
    let (reply, answer) = oneshot::channel();
    let input = SearchInput { from, message, reply };
    searches.try_send(input).map_err(|_| CallRefusal::Busy)?;
    let answer = answer.await.map_err(|_| refuse("the process is stopping"))?;
    answer.to_frame().map_err(refuse)
}

async fn handle_quota_call(
    quotas: Option<mpsc::Sender<QuotaInput>>,
    from: PeerSender,
    frame: &PeerFrame,
) -> Result<PeerFrame, CallRefusal> {
    let quotas = quotas.ok_or(CallRefusal::UnknownKind)?;
    let message = decode_payload(&frame.payload).map_err(refuse)?;
    let (reply, answer) = oneshot::channel();
    let input = QuotaInput { from, message, reply: Some(reply) };
    quotas.try_send(input).map_err(|_| CallRefusal::Busy)?;
    let answer = answer.await.map_err(|_| refuse("the process is stopping"))?;
    answer.to_frame().map_err(refuse)
}

fn refuse(reason: impl ToString) -> CallRefusal {
    CallRefusal::Refused { reason: reason.to_string() }
}
