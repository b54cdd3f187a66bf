//! The request path of the daemon. It runs the library's filters against the process clock and the
//! targets.

mod action;
mod admit;
mod catalog;
mod drive;
mod error;
mod query;
mod throttle;
mod validate;

use std::{sync::Arc, time::Duration};

use figglade::{
    IndexName, InstanceId, RequestId, Timestamp,
    border::{ClaimStore, TargetClient, TargetEndpoint},
    controller::event::EventKind,
    filter::{
        admission::{AdmissionRequest, IndexCapacity, RequestBreadth},
        routing::TargetRoute,
    },
};
use slog::Logger;

use self::{
    admit::{AdmissionGate, AdmissionPermit},
    throttle::EventThrottle,
};
pub use self::{
    catalog::{IndexCatalog, IndexView, SettingsSource, fanout_policy},
    error::{Refusal, TierError},
};
use crate::clock::ProcessClock;

/// The part of the control plane that the request path uses.
pub trait ControlView: Send + Sync {
    /// Returns why searches must not be answered now, or `None`.
    fn refuse_query(&self, settings: &figglade::controller::fleet::FleetDefaults)
    -> Option<String>;

    /// Returns why actions must not be run now, or `None`.
    fn refuse_action(
        &self,
        settings: &figglade::controller::fleet::FleetDefaults,
    ) -> Option<String>;

    /// Returns whether answers must be marked as stale.
    fn is_stale(&self, settings: &figglade::controller::fleet::FleetDefaults) -> bool;

    /// Returns the connections this instance may hold to a target.
    fn connection_share(&self, route: &TargetRoute) -> u32;

    /// Records an event of a request in the time line.
    fn record_event(
        &self,
        kind: figglade::controller::event::EventKind,
        request: Option<figglade::RequestId>,
        detail: String,
    );
}

/// The connections kept open ahead of requests to each replica that [`QueryTier::warm_targets`]
/// selects.
const WARM_CONNECTIONS: u32 = 2;

/// The components that a [`QueryTier`] is built from.
pub struct TierParts {
    /// The clock of the process.
    pub clock: ProcessClock,
    /// The identity of this instance.
    pub instance: InstanceId,
    /// The incarnation of this instance.
    pub incarnation: figglade::Incarnation,
    /// The routes and settings of every index.
    pub catalog: Arc<IndexCatalog>,
    /// The client that sends requests to targets.
    pub client: Arc<dyn TargetClient>,
    /// The store of the claims of actions.
    pub claims: Arc<dyn ClaimStore>,
    /// The control plane.
    pub control: Arc<dyn ControlView>,
    /// The metrics of the request path.
    pub metrics: Arc<crate::metrics::TierMetrics>,
    /// The process log.
    pub log: Logger,
}

/// Answers searches, lookups and actions.
pub struct QueryTier {
    parts: TierParts,
    settings: Arc<dyn SettingsSource>,
    admission: AdmissionGate,
    refusal_events: EventThrottle,
    partial_events: EventThrottle,
    discard_events: EventThrottle,
}

impl QueryTier {
    /// Builds the request path from its components.
    pub fn new(parts: TierParts, settings: Arc<dyn SettingsSource>) -> Self {
        let admission = AdmissionGate::new(parts.clock);
        Self {
            parts,
            settings,
            admission,
            refusal_events: EventThrottle::default(),
            partial_events: EventThrottle::default(),
            discard_events: EventThrottle::default(),
        }
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, u32) {
        self.admission.load()
    }

    /// Opens connections ahead of requests: for each shard to the replicas in the zone of this
    /// instance, or to all of its replicas if none is in that zone.
    pub fn warm_targets(&self) {
        for index in self.parts.catalog.indexes() {
            let Some(view) = self.parts.catalog.view(&index) else { continue };
            let Some(snapshot) = view.route.pin_snapshot(&[]) else { continue };
            for replicas in &snapshot.replicas {
                let zone = &view.context.picker.zone;
                let has_local = replicas.iter().any(|route| route.zone == *zone);
                for route in replicas.iter().filter(|route| !has_local || route.zone == *zone) {
                    self.parts.client.warm(&self.endpoint_of(route), WARM_CONNECTIONS);
                }
            }
        }
    }

    /// Returns the view of `index`, or an error if no target has announced the index.
    fn find_index(&self, index: &IndexName) -> Result<IndexView, TierError> {
        let view = self.parts.catalog.view(index);
        view.ok_or_else(|| TierError::UnknownIndex { index: index.to_string() })
    }

    /// Waits for admission of a request to the index of `view`.
    async fn admit(
        &self,
        breadth: RequestBreadth,
        request: RequestId,
        view: &IndexView,
        deadline: Timestamp,
    ) -> Result<AdmissionPermit<'_>, TierError> {
        let capacity = self.capacity_of(view);
        let cost = match breadth {
            RequestBreadth::Broad => capacity.shards,
            RequestBreadth::Narrow => 1,
        };
        let index = view.index.clone();
        let admission = AdmissionRequest { index, breadth, cost, deadline };
        let admitted = self.admission.acquire(admission, capacity, &view.settings).await;
        if let Err(error) = &admitted
            && self.refusal_events.allow(self.now())
        {
            let detail = format!("index {}: {error}", view.index);
            self.parts.control.record_event(EventKind::AdmissionRefused, Some(request), detail);
        }
        admitted
    }

    /// Returns the shard count of the index and the slots of its targets that are available to this
    /// instance.
    fn capacity_of(&self, view: &IndexView) -> IndexCapacity {
        let Some(snapshot) = view.route.pin_snapshot(&[]) else {
            return IndexCapacity { shards: 1, slots: 1.0 };
        };
        // The slots are divided among the instances in the same ratio as the connections, whose
        // shares the leases grant.
        let share = snapshot.replicas.iter().flatten().next().map_or(1.0, |route| {
            let share = self.parts.control.connection_share(route);
            f64::from(share) / f64::from(route.connections.max(1))
        });
        let slots = f64::from(snapshot.min_slots) * share;
        IndexCapacity { shards: snapshot.shard_count(), slots }
    }

    fn endpoint_of(&self, route: &TargetRoute) -> TargetEndpoint {
        let share = self.parts.control.connection_share(route);
        // Requests beyond the slots of the target wait in this instance, where they can still be
        // cancelled. The slots are divided among the instances in the same ratio as the
        // connections.
        let slots = u64::from(route.slots) * u64::from(share) / u64::from(route.connections.max(1));
        let limit = route.load.limit(slots as u32);
        TargetEndpoint {
            target: route.target.clone(),
            address: route.address,
            connection_share: share.min(limit),
        }
    }

    fn now(&self) -> Timestamp {
        self.parts.clock.now()
    }
}

/// Returns the whole milliseconds until `deadline`, at least 1.
fn millis_left(deadline: Timestamp, now: Timestamp) -> u64 {
    let left: Duration = deadline.since(now);
    (left.as_millis() as u64).max(1)
}
