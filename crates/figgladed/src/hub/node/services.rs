//! The services that the route set in force names, as a hub knows them.

use std::collections::HashSet;

use slog::{error, info};

use super::HubNode;

impl HubNode {
    /// Updates the named services if the newest known route set is another one. The targets that
    /// this ends are sent at once, so that followers know them before the route set.
    pub(super) fn refresh_services(&self) {
        let Some(routes) = self.routes() else { return };
        if self.state.borrow().named_by == Some(routes.version) {
            return;
        }
        let decoded = routes
            .unpack()
            .map_err(|error| error.to_string())
            .and_then(|text| self.parts.codec.decode_routes(&text).map_err(|e| e.to_string()));
        let mut state = self.state.borrow_mut();
        state.named_by = Some(routes.version);
        let services: HashSet<_> = match decoded {
            Ok(set) => set.services.iter().map(|service| service.name.clone()).collect(),
            // Unexpected: a hub validates each document before it proposes it.
            Err(reason) => {
                error!(self.parts.log, "hub: cannot decode a committed route set";
                    "version" => %routes.version, "reason" => %reason);
                return;
            }
        };
        info!(self.parts.log, "hub: the named services changed"; "version" => %routes.version,
            "services" => services.len());
        let ended = state.directory.name_services(services, self.now());
        state.has_unsaved_targets |= !ended.is_empty();
        state.pending.for_followers.extend_from_slice(&ended);
        state.pending.for_hubs.extend_from_slice(&ended);
        drop(state);
        self.log_changes(&ended, "route set");
        self.send_pending();
    }
}
