//! Copies the values of the control plane to the metrics before they are rendered.

use figglade::controller::quorum::QuorumRole;

use super::plane::ControlPlane;
use crate::metrics::{ControlGauges, TierMetrics};

impl ControlPlane {
    /// Copies the values of the peer links, the control plane, the connections to targets and the
    /// time line to `metrics`.
    pub fn refresh_metrics(&self, metrics: &TierMetrics) {
        metrics.set_peer_traffic(&self.parts.peer.traffic());
        metrics.set_control(&self.read_gauges());
        metrics.set_pool(&(self.parts.read_pool)());
        metrics.set_timeline(&self.parts.timeline.counts());
    }

    fn read_gauges(&self) -> ControlGauges {
        let state = &self.parts.state;
        let status = self.quorum_status();
        ControlGauges {
            members_alive: self.parts.gossip.alive().len() as u64,
            targets_ready: self.parts.gossip.count_ready() as u64,
            config_version: state.config().version.get(),
            commit_index: status.as_ref().map_or(0, |status| status.commit.get()),
            is_leader: status.is_some_and(|status| status.role == QuorumRole::Leader),
            is_current: !state.is_stale(&state.settings(), self.parts.clock.now()),
        }
    }
}
