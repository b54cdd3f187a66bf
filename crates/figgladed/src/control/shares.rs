//! Keeping to the shares of the targets' caps.

use std::time::Duration;

use figglade::{
    Timestamp,
    controller::{event::EventKind, share::ShareGrant},
};
use slog::warn;

use super::{group::ProposeMode, message::ControlRequest, plane::ControlPlane};

/// How long a stopping instance may look for the leader to give its lease back.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

impl ControlPlane {
    /// Closes every connection to targets and gives the lease on shares back, so that others can
    /// use them at once.
    pub async fn release_shares(&self) {
        self.parts.gossip.visit_caps(|_, address, _| {
            // Requests are over by now; what is still open is idle.
            (self.parts.limit_connections)(address, 0);
        });
        let share = self.shares.lock().begin_release();
        let request = ControlRequest::Renew(self.parts.state.renew_request(share));
        let asked = self.parts.group.ask(&request, ProposeMode::Idempotent, RELEASE_TIMEOUT).await;
        if let Err(error) = asked {
            warn!(self.parts.log, "config: the lease on shares runs out by itself";
                "error" => %error);
        }
    }

    pub(super) fn take_grant(&self, grant: ShareGrant, sent_at: Timestamp) {
        let now = self.parts.clock.now();
        let mut shares = self.shares.lock();
        let before = shares.usable_epoch();
        shares.handle_grant(grant, sent_at, now);
        let usable = shares.usable_epoch();
        drop(shares);
        if usable != before {
            let epoch = usable.map_or("none".to_owned(), |epoch| epoch.to_string());
            let detail = format!("shares of holder epoch {epoch} are in use");
            self.parts.timeline.record(EventKind::ShareChanged, None, detail);
        }
    }

    /// Closes connections above the shares and confirms the epoch that is kept to.
    pub(super) fn keep_shares(&self) {
        let now = self.parts.clock.now();
        let shares = self.shares.lock();
        let mut kept = true;
        self.parts.gossip.visit_caps(|target, address, cap| {
            let limit = shares.open_limit(target, self.tier_cap(cap), now);
            kept &= (self.parts.limit_connections)(address, limit);
        });
        let unconfirmed = shares.unconfirmed_epoch();
        drop(shares);
        if let Some(epoch) = unconfirmed.filter(|_| kept) {
            self.shares.lock().confirm_epoch(epoch, now);
            self.renew_now.notify_one();
        }
    }

    /// Returns the connections of a cap that the tier may use.
    pub(super) fn tier_cap(&self, cap: u32) -> u32 {
        let share = self.parts.state.settings().connection_share;
        ((f64::from(cap) * share).floor() as u32).max(1)
    }
}
