//! The request path of the daemon: it drives the library's filters with real time and targets.

mod action;
mod admit;
mod board;
mod error;
mod query;
mod validate;

use std::{sync::Arc, time::Duration};

use figglade::{
    IndexName, InstanceId, Timestamp,
    border::{ClaimStore, TargetClient, TargetEndpoint},
    filter::routing::TargetRoute,
};
use slog::Logger;

use self::admit::AdmissionGate;
pub use self::{
    board::{IndexBoard, IndexView, SettingsSource, fanout_policy},
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
    fn note(
        &self,
        kind: figglade::controller::event::EventKind,
        request: Option<figglade::RequestId>,
        detail: String,
    );
}

/// The parts that the request path is made of.
pub struct TierParts {
    /// The clocks.
    pub clock: ProcessClock,
    /// This instance.
    pub instance: InstanceId,
    /// The incarnation of this instance.
    pub incarnation: figglade::Incarnation,
    /// Routes and settings.
    pub board: Arc<IndexBoard>,
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
}

impl QueryTier {
    /// Assembles the request path.
    pub fn new(parts: TierParts, settings: Arc<dyn SettingsSource>) -> Self {
        let admission = AdmissionGate::new(parts.clock);
        Self { parts, settings, admission }
    }

    /// Returns how many requests run and wait.
    pub fn load(&self) -> (u32, u32) {
        self.admission.load()
    }

    /// Returns the view of `index` or the refusal of an index nobody announced.
    fn find_index(&self, index: &IndexName) -> Result<IndexView, TierError> {
        let view = self.parts.board.view(index);
        view.ok_or_else(|| TierError::UnknownIndex { index: index.to_string() })
    }

    fn endpoint_of(&self, route: &TargetRoute) -> TargetEndpoint {
        TargetEndpoint {
            target: route.target.clone(),
            address: route.address,
            connection_share: self.parts.control.connection_share(route),
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
