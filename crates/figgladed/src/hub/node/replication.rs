//! Sends changes of targets to followers and other hubs.

use std::net::SocketAddr;

use figglade::{border::PeerLink, controller::service_directory::TargetRecord, peer::PeerFrame};
use slog::warn;
use tokio::task::JoinSet;

use super::{HubError, HubNode, PendingUpdates, REPLICATE_TIMEOUT};
use crate::hub::message::HubMessage;

impl HubNode {
    /// Sends changes to followers at once, and waits until enough other hubs hold them.
    pub(super) async fn replicate(&self, changed: &[TargetRecord]) -> Result<(), HubError> {
        self.send_pending();
        let Some(frame) = self.encode(HubMessage::Records(changed.to_vec())) else { return Ok(()) };
        let hubs: Vec<_> = self.state.borrow().peers.peers.keys().copied().collect();
        let mut calls = JoinSet::new();
        for hub in hubs {
            let (link, frame) = (self.parts.link.clone(), frame.clone());
            calls.spawn(async move { link.call(hub, frame, REPLICATE_TIMEOUT).await.is_ok() });
        }
        // After a power failure of the whole tier no request may be sent to the target again, so
        // the change must be on the disk.
        self.write_targets().await;
        let required = self.parts.tolerated_losses;
        let mut held = 0;
        while held < required {
            match calls.join_next().await {
                Some(Ok(true)) => held += 1,
                Some(_) => {}
                None => {
                    warn!(self.parts.log, "hub: a change was not replicated to enough hubs";
                        "held" => held, "wanted" => required);
                    return Err(HubError::NotReplicated { held, required });
                }
            }
        }
        // The remaining calls continue in the background.
        calls.detach_all();
        Ok(())
    }

    /// Sends the pending changes.
    pub(super) fn send_pending(&self) {
        let mut state = self.state.borrow_mut();
        let PendingUpdates { for_followers, for_hubs } = std::mem::take(&mut state.pending);
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
                warn!(self.parts.log, "hub: cannot encode a message"; "error" => %error);
                None
            }
        }
    }
}
