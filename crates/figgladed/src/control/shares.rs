//! Limits the connections to targets to this instance's shares of their caps.

use std::time::Duration;

use figglade::{
    Timestamp,
    controller::{event::EventKind, share::ShareGrant},
};
use slog::warn;

use super::{group::ProposeMode, message::ControlRequest, plane::ControlPlane};

/// How long a stopping instance may try to reach the leader to release its lease.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

impl ControlPlane {
    /// Closes every connection to targets and releases the lease on shares, so that other instances
    /// can use them at once.
    pub async fn release_shares(&self) {
        self.parts.gossip.visit_caps(|_, address, _| {
            // All requests have finished by now, so the open connections are idle.
            (self.parts.limit_connections)(address, 0);
        });
        let share = self.shares.lock().begin_release();
        let request = ControlRequest::Renew(self.parts.state.renew_request(share));
        let result = self.parts.group.ask(&request, ProposeMode::Idempotent, RELEASE_TIMEOUT).await;
        if let Err(error) = result {
            warn!(self.parts.log, "config: the lease on shares was not released and will expire";
                "error" => %error);
        }
    }

    pub(super) fn handle_grant(&self, grant: ShareGrant, sent_at: Timestamp) {
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

    /// Closes the connections that exceed the shares; once none is left, confirms the latest epoch.
    pub(super) fn enforce_shares(&self) {
        let now = self.parts.clock.now();
        let shares = self.shares.lock();
        let mut is_within_limits = true;
        self.parts.gossip.visit_caps(|target, address, cap| {
            let limit = shares.open_limit(target, self.tier_cap(cap), now);
            is_within_limits &= (self.parts.limit_connections)(address, limit);
        });
        let unconfirmed = shares.unconfirmed_epoch();
        drop(shares);
        if let Some(epoch) = unconfirmed.filter(|_| is_within_limits) {
            self.shares.lock().confirm_epoch(epoch, now);
            self.renew_now.notify_one();
        }
    }

    /// Returns the connections out of a target's cap that the tier may use, at least one.
    pub(super) fn tier_cap(&self, cap: u32) -> u32 {
        let share = self.parts.state.settings().connection_share;
        ((f64::from(cap) * share).floor() as u32).max(1)
    }
}
