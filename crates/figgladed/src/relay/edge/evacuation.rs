//! The evacuated zones as the data path applies them.

use figglade::controller::evacuation::{EvacuationRevision, EvacuationSet};
use slog::{info, warn};

use super::EdgeState;

impl EdgeState {
    /// Returns the revision of the evacuated zones in force.
    pub fn evacuation_revision(&self) -> EvacuationRevision {
        self.evacuations.borrow().revision()
    }

    /// Puts a set of evacuated zones in force unless the present one is at least as new.
    pub fn apply_evacuations(&self, evacuations: &EvacuationSet) {
        if !self.evacuations.borrow_mut().adopt(evacuations) {
            return;
        }
        info!(self.log, "relay: the evacuated zones changed"; "zones" => %evacuations,
            "revision" => %evacuations.revision());
        self.metrics.record_evacuated_zones(evacuations.zones().len());
        self.coverages.borrow_mut().clear();
        for service in self.services.borrow().values() {
            let mut is_changed = false;
            for replica in service.replicas.borrow().iter() {
                is_changed |= replica.update_evacuation(evacuations);
            }
            if is_changed {
                self.divide_connections(service);
            }
        }
    }

    /// Records that a hub which is current answered the poll `poll`, and knows the evacuated zones of
    /// `revision`. Requests are served once this instance holds them.
    pub fn confirm_evacuations(&self, revision: EvacuationRevision, poll: u64) {
        let held = self.evacuation_revision();
        if revision <= held && self.gate.borrow_mut().confirm(poll) {
            info!(self.log, "relay: the evacuated zones are known"; "revision" => %held);
        }
    }

    /// Records a poll of the hubs.
    pub fn record_poll(&self) {
        if self.gate.borrow_mut().record_poll(self.clock.now()) {
            warn!(self.log, "relay: the instance was suspended and serves once a hub answers");
        }
    }

    /// Returns the number of the last poll of the hubs.
    pub fn last_poll(&self) -> u64 {
        self.gate.borrow().last_poll()
    }

    /// Returns whether this instance knows the evacuated zones and may serve requests.
    pub fn knows_evacuations(&self) -> bool {
        self.gate.borrow().is_open(self.clock.now())
    }
}
