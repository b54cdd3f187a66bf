//! How a hub tells of changes.

use std::net::SocketAddr;

use figglade::{border::PeerLink, controller::service_directory::TargetRecord, peer::PeerFrame};
use slog::warn;
use tokio::task::JoinSet;

use super::{HubError, HubNode, PendingUpdates, REPLICATE_TIMEOUT};
use crate::hub::message::HubMessage;

impl HubNode {
    /// Tells followers of changes at once, and waits until enough other hubs hold them.
    pub(super) async fn replicate(&self, changed: &[TargetRecord]) -> Result<(), HubError> {
        self.send_pending();
        let Some(frame) = self.encode(HubMessage::Records(changed.to_vec())) else { return Ok(()) };
        let hubs: Vec<_> = self.state.borrow().peers.peers.keys().copied().collect();
        let mut calls = JoinSet::new();
        for hub in hubs {
            let (link, frame) = (self.parts.link.clone(), frame.clone());
            calls.spawn(async move { link.call(hub, frame, REPLICATE_TIMEOUT).await.is_ok() });
        }
        // A tier that loses its power as a whole must not send to the target again.
        self.write_targets().await;
        let wanted = self.parts.tolerated_losses;
        let mut held = 0;
        while held < wanted {
            match calls.join_next().await {
                Some(Ok(true)) => held += 1,
                Some(_) => {}
                None => {
                    warn!(self.parts.log, "hub: too few other hubs hold a change";
                        "held" => held, "wanted" => wanted);
                    return Err(HubError::NotReplicated { held, wanted });
                }
            }
        }
        // The other calls go on without anybody waiting for them.
        calls.detach_all();
        Ok(())
    }

    /// Sends the changes that wait.
    pub(super) fn send_pending(&self) {
        let mut state = self.state.borrow_mut();
        let PendingUpdates { for_followers, for_hubs } = std::mem::take(&mut state.waiting);
        if !for_followers.is_empty()
            && let Some(frame) = self.encode(HubMessage::Records(for_followers))
        {
            for address in state.followers.keys() {
                self.parts.link.send(*address, frame.clone());
            }
        }
        if !for_hubs.is_empty()
            && let Some(frame) = self.encode(HubMessage::Records(for_hubs))
        {
            for address in state.peers.peers.keys() {
                self.parts.link.send(*address, frame.clone());
            }
        }
    }

    pub(super) fn send(&self, to: SocketAddr, message: HubMessage) {
        if let Some(frame) = self.encode(message) {
            self.parts.link.send(to, frame);
        }
    }

    pub(super) fn encode(&self, message: HubMessage) -> Option<PeerFrame> {
        match message.into_frame() {
            Ok(frame) => Some(frame),
            Err(error) => {
                warn!(self.parts.log, "hub: a message was not sent"; "error" => %error);
                None
            }
        }
    }
}
