//! What a hub knows of the other hubs, for the quotas.

use std::net::SocketAddr;

use super::HubNode;

impl HubNode {
    /// Returns the number of hubs that may hold tokens: all known ones, also unreachable ones, and
    /// not fewer than the members of the control group.
    pub(in crate::hub) fn count_hubs(&self) -> usize {
        let known = self.state.borrow().peers.peers.len() + 1;
        let status = self.parts.member.get().and_then(|member| member.view().status);
        let members = status.map_or(0, |status| status.members.members.len());
        known.max(members).max(2 * self.parts.tolerated_losses + 1)
    }

    /// Returns the address of a reachable hub with a disk.
    pub(in crate::hub) fn find_disk_hub(&self) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let mut live = state.peers.live(self.now());
        live.find(|(_, greeting)| greeting.has_disk).map(|(address, _)| address)
    }
}
