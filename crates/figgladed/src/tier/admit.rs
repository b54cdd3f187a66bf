//! The gate in front of the request path: it parks requests until admission lets them run.

use std::{collections::HashMap, time::Duration};

use figglade::{
    IndexName, Timestamp,
    controller::fleet::FleetDefaults,
    filter::admission::{
        AdmissionController, AdmissionDecision, AdmissionLimits, AdmissionRequest, AdmissionTicket,
        IndexCapacity, WaitOutcome,
    },
};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::TierError;
use crate::clock::ProcessClock;

/// The suggested wait of a caller whose request waited in vain.
const RETRY_AFTER_WAIT: Duration = Duration::from_millis(500);

/// Parks requests until they may run.
pub(super) struct AdmissionGate {
    clock: ProcessClock,
    state: Mutex<GateState>,
}

struct GateState {
    controller: AdmissionController,
    /// Each parked request hears whether it runs.
    parked: HashMap<AdmissionTicket, oneshot::Sender<bool>>,
}

/// The right to run; giving it up lets the next request run.
pub(super) struct AdmissionPermit<'a> {
    gate: &'a AdmissionGate,
    request: AdmissionRequest,
    started: Timestamp,
}

/// Removes a parked request that its caller gave up.
struct ParkedGuard<'a> {
    gate: &'a AdmissionGate,
    ticket: AdmissionTicket,
    request: Option<AdmissionRequest>,
    turn: oneshot::Receiver<bool>,
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

    /// Waits for the right to run `request` until its deadline.
    pub(super) async fn enter(
        &self,
        request: AdmissionRequest,
        capacity: IndexCapacity,
        settings: &FleetDefaults,
    ) -> Result<AdmissionPermit<'_>, TierError> {
        let due = self.clock.instant_of(request.deadline);
        let mut guard = {
            let mut state = self.state.lock();
            state.controller.set_limits(limits_of(settings));
            match state.controller.admit(&request, capacity, self.clock.now()) {
                AdmissionDecision::Run => {
                    drop(state);
                    return Ok(self.permit(request));
                }
                AdmissionDecision::Refuse { retry_after } => {
                    return Err(TierError::Overloaded { retry_after });
                }
                AdmissionDecision::Wait(ticket) => {
                    let (sender, turn) = oneshot::channel();
                    state.parked.insert(ticket, sender);
                    ParkedGuard { gate: self, ticket, request: Some(request), turn }
                }
            }
        };
        match tokio::time::timeout_at(due, &mut guard.turn).await {
            Ok(Ok(true)) => Ok(guard.take_permit()),
            Ok(_) => Err(TierError::Overloaded { retry_after: RETRY_AFTER_WAIT }),
            Err(_) => Err(TierError::DeadlinePassed),
        }
    }

    /// Lets fewer requests of `index` run, because a target shed one.
    pub(super) fn note_shed(&self, index: &IndexName) {
        self.state.lock().controller.record_shed(index, self.clock.now());
    }

    fn permit(&self, request: AdmissionRequest) -> AdmissionPermit<'_> {
        AdmissionPermit { gate: self, request, started: self.clock.now() }
    }

    fn finish(&self, request: &AdmissionRequest, elapsed: Duration) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        for WaitOutcome { ticket, is_admitted: runs } in
            state.controller.finish(request, elapsed, now)
        {
            if let Some(sender) = state.parked.remove(&ticket) {
                // A receiver that left gives the turn back in its guard.
                let _ = sender.send(runs);
            }
        }
    }
}

impl Drop for AdmissionPermit<'_> {
    fn drop(&mut self) {
        let elapsed = self.gate.clock.now().since(self.started);
        self.gate.finish(&self.request, elapsed);
    }
}

impl<'a> ParkedGuard<'a> {
    fn take_permit(&mut self) -> AdmissionPermit<'a> {
        let request = self.request.take().expect("the turn comes once");
        self.gate.permit(request)
    }
}

impl Drop for ParkedGuard<'_> {
    fn drop(&mut self) {
        let Some(request) = self.request.take() else { return };
        let mut state = self.gate.state.lock();
        state.parked.remove(&self.ticket);
        let waited = state.controller.cancel(self.ticket);
        drop(state);
        if !waited && self.turn.try_recv() == Ok(true) {
            // The turn came at the same moment and must not be lost.
            self.gate.finish(&request, Duration::ZERO);
        }
    }
}

fn limits_of(settings: &FleetDefaults) -> AdmissionLimits {
    AdmissionLimits { max_running: settings.max_running, max_queued: settings.max_queued }
}
