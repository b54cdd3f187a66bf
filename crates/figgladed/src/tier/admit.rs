//! The gate in front of the request path: it parks requests until admission lets them run.

use std::{collections::HashMap, time::Duration};

use figglade::{
    IndexName, Timestamp,
    controller::fleet::FleetDefaults,
    filter::admission::{AdmissionController, AdmissionLimits, AdmissionTicket, AdmissionVerdict},
};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::TierError;
use crate::clock::ProcessClock;

/// Parks requests until they may run.
pub(super) struct AdmissionGate {
    clock: ProcessClock,
    state: Mutex<GateState>,
}

struct GateState {
    controller: AdmissionController,
    parked: HashMap<AdmissionTicket, oneshot::Sender<()>>,
}

/// The right to run; giving it up lets the next request run.
pub(super) struct AdmissionPermit<'a> {
    gate: &'a AdmissionGate,
    started: Timestamp,
}

/// Removes a parked request that its caller gave up.
struct ParkedGuard<'a> {
    gate: &'a AdmissionGate,
    ticket: AdmissionTicket,
    armed: bool,
}

impl AdmissionGate {
    pub(super) fn new(clock: ProcessClock) -> Self {
        let settings = FleetDefaults::default();
        let controller = AdmissionController::new(limits_of(&settings));
        let state = GateState { controller, parked: HashMap::new() };
        Self { clock, state: Mutex::new(state) }
    }

    pub(super) fn load(&self) -> (u32, u32) {
        self.state.lock().controller.load()
    }

    /// Waits for the right to run a request of `index` until `deadline`.
    pub(super) async fn enter(
        &self,
        index: &IndexName,
        deadline: Timestamp,
        settings: &FleetDefaults,
    ) -> Result<AdmissionPermit<'_>, TierError> {
        let now = self.clock.now();
        let (ticket, turn) = {
            let mut state = self.state.lock();
            state.controller.set_limits(limits_of(settings));
            match state.controller.admit(index, deadline, now) {
                AdmissionVerdict::Run(_) => return Ok(self.permit()),
                AdmissionVerdict::Refuse { retry_after } => {
                    return Err(TierError::Overloaded { retry_after });
                }
                AdmissionVerdict::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.parked.insert(ticket, sender);
                    (ticket, receiver)
                }
            }
        };
        let mut guard = ParkedGuard { gate: self, ticket, armed: true };
        let waited = tokio::time::timeout_at(self.clock.instant_of(deadline), turn).await;
        match waited {
            Ok(Ok(())) => {
                guard.armed = false;
                Ok(self.permit())
            }
            _ => Err(TierError::DeadlinePassed),
        }
    }

    fn permit(&self) -> AdmissionPermit<'_> {
        AdmissionPermit { gate: self, started: self.clock.now() }
    }

    fn finish(&self, elapsed: Duration) {
        let mut state = self.state.lock();
        for ticket in state.controller.finish(elapsed) {
            if let Some(sender) = state.parked.remove(&ticket) {
                // A receiver that left gives the turn back in its guard.
                let _ = sender.send(());
            }
        }
    }
}

impl Drop for AdmissionPermit<'_> {
    fn drop(&mut self) {
        let elapsed = self.gate.clock.now().since(self.started);
        self.gate.finish(elapsed);
    }
}

impl Drop for ParkedGuard<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let mut state = self.gate.state.lock();
        state.parked.remove(&self.ticket);
        let waited = state.controller.withdraw(self.ticket);
        drop(state);
        if !waited {
            // The turn came at the same moment and must not be lost.
            self.gate.finish(Duration::ZERO);
        }
    }
}

fn limits_of(settings: &FleetDefaults) -> AdmissionLimits {
    AdmissionLimits { max_running: settings.max_running, max_queued: settings.max_queued }
}
