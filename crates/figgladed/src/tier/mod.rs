//! The request path of the daemon: it drives the library's filters with real time and targets.

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

/// What the request path asks of the control plane.
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

    /// Notes an event of a request for the time line.
    fn record_event(
        &self,
        kind: figglade::controller::event::EventKind,
        request: Option<figglade::RequestId>,
        detail: String,
    );
}

/// The connections kept open to each near replica ahead of requests.
const WARM_CONNECTIONS: u32 = 2;

/// The parts that the request path is made of.
pub struct TierParts {
    /// The clocks.
    pub clock: ProcessClock,
    /// This instance.
    pub instance: InstanceId,
    /// The incarnation of this instance.
    pub incarnation: figglade::Incarnation,
    /// Routes and settings.
    pub catalog: Arc<IndexCatalog>,
    /// The way to targets.
    pub client: Arc<dyn TargetClient>,
    /// Claims of actions.
    pub claims: Arc<dyn ClaimStore>,
    /// The control plane.
    pub control: Arc<dyn ControlView>,
    /// Instruments.
    pub metrics: Arc<crate::metrics::TierMetrics>,
    /// The log.
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
    /// Assembles the request path.
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

    /// Returns how many requests run and wait.
    pub fn load(&self) -> (u32, u32) {
        self.admission.load()
    }

    /// Opens connections to the replicas of the own zone ahead of requests, or to every replica of
    /// a shard that has none there.
    pub fn warm_targets(&self) {
        for index in self.parts.catalog.indexes() {
            let Some(view) = self.parts.catalog.view(&index) else { continue };
            let Some(snapshot) = view.route.pin_snapshot(&[]) else { continue };
            for replicas in &snapshot.replicas {
                let zone = &view.context.picker.zone;
                let near = replicas.iter().any(|route| route.zone == *zone);
                for route in replicas.iter().filter(|route| !near || route.zone == *zone) {
                    self.parts.client.warm(&self.endpoint_of(route), WARM_CONNECTIONS);
                }
            }
        }
    }

    /// Returns the view of `index` or the refusal of an index nobody announced.
    fn find_index(&self, index: &IndexName) -> Result<IndexView, TierError> {
        let view = self.parts.catalog.view(index);
        view.ok_or_else(|| TierError::UnknownIndex { index: index.to_string() })
    }

    /// Waits for the right to run a request of the index of `view`.
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
        let entered = self.admission.enter(admission, capacity, &view.settings).await;
        if let Err(error) = &entered
            && self.refusal_events.allow(self.now())
        {
            let detail = format!("index {}: {error}", view.index);
            self.parts.control.record_event(EventKind::AdmissionRefused, Some(request), detail);
        }
        entered
    }

    /// Returns what the targets of an index can run for this instance.
    fn capacity_of(&self, view: &IndexView) -> IndexCapacity {
        let Some(snapshot) = view.route.pin_snapshot(&[]) else {
            return IndexCapacity { shards: 1, slots: 1.0 };
        };
        // The shares of slots go with those of connections, which the leases divide.
        let share = snapshot.replicas.iter().flatten().next().map_or(1.0, |route| {
            let share = self.parts.control.connection_share(route);
            f64::from(share) / f64::from(route.connections.max(1))
        });
        let slots = f64::from(snapshot.min_slots) * share;
        IndexCapacity { shards: snapshot.shard_count(), slots }
    }

    fn endpoint_of(&self, route: &TargetRoute) -> TargetEndpoint {
        let share = self.parts.control.connection_share(route);
        // What the target could not run waits here, where it can still be given up. The slots are
        // divided among the instances as the connections are.
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

/// Returns the whole milliseconds left until `deadline`, at least one.
fn millis_left(deadline: Timestamp, now: Timestamp) -> u64 {
    let left: Duration = deadline.since(now);
    (left.as_millis() as u64).max(1)
}
