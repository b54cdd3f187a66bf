//! Admission to the request path. Requests wait here until the admission controller admits them.

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

/// The retry delay suggested to a caller whose request waited but was not admitted.
const RETRY_AFTER_WAIT: Duration = Duration::from_millis(500);

/// Holds requests until the admission controller admits or refuses them.
pub(super) struct AdmissionGate {
    clock: ProcessClock,
    state: Mutex<GateState>,
}

struct GateState {
    controller: AdmissionController,
    /// For each waiting request, the channel that tells it whether it is admitted.
    waiting: HashMap<AdmissionTicket, oneshot::Sender<bool>>,
}

/// The permit of a running request. Dropping it reports the end of the request to the admission
/// controller, which may then admit waiting ones.
pub(super) struct AdmissionPermit<'a> {
    gate: &'a AdmissionGate,
    request: AdmissionRequest,
    started: Timestamp,
}

/// A waiting request. Dropping the guard before the request is admitted removes it from the queue.
struct WaitGuard<'a> {
    gate: &'a AdmissionGate,
    ticket: AdmissionTicket,
    request: Option<AdmissionRequest>,
    admission: oneshot::Receiver<bool>,
}

impl AdmissionGate {
    pub(super) fn new(clock: ProcessClock) -> Self {
        let settings = FleetDefaults::default();
        let controller = AdmissionController::new(limits_of(&settings));
        let state = GateState { controller, waiting: HashMap::new() };
        Self { clock, state: Mutex::new(state) }
    }

    pub(super) fn load(&self) -> (u32, u32) {
        self.state.lock().controller.load()
    }

    /// Waits until `request` is admitted. Fails if it is refused or its deadline passes.
    pub(super) async fn acquire(
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
                    let (sender, admission) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    WaitGuard { gate: self, ticket, request: Some(request), admission }
                }
            }
        };
        match tokio::time::timeout_at(due, &mut guard.admission).await {
            Ok(Ok(true)) => Ok(guard.take_permit()),
            Ok(_) => Err(TierError::Overloaded { retry_after: RETRY_AFTER_WAIT }),
            Err(_) => Err(TierError::DeadlinePassed),
        }
    }

    /// Reports that a target shed a request of `index`, so that fewer of them are admitted.
    pub(super) fn record_shed(&self, index: &IndexName) {
        self.state.lock().controller.record_shed(index, self.clock.now());
    }

    fn permit(&self, request: AdmissionRequest) -> AdmissionPermit<'_> {
        AdmissionPermit { gate: self, request, started: self.clock.now() }
    }

    fn finish(&self, request: &AdmissionRequest, elapsed: Duration) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        for WaitOutcome { ticket, is_admitted } in state.controller.finish(request, elapsed, now) {
            if let Some(sender) = state.waiting.remove(&ticket) {
                // If the receiver is gone, the drop of its guard releases the permit.
                let _ = sender.send(is_admitted);
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

impl<'a> WaitGuard<'a> {
    fn take_permit(&mut self) -> AdmissionPermit<'a> {
        let request = self.request.take().expect("a request is admitted once");
        self.gate.permit(request)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let Some(request) = self.request.take() else { return };
        let mut state = self.gate.state.lock();
        state.waiting.remove(&self.ticket);
        let was_waiting = state.controller.cancel(self.ticket);
        drop(state);
        if !was_waiting && self.admission.try_recv() == Ok(true) {
            // The request was admitted before it was cancelled, so its permit must be released.
            self.gate.finish(&request, Duration::ZERO);
        }
    }
}

fn limits_of(settings: &FleetDefaults) -> AdmissionLimits {
    AdmissionLimits { max_running: settings.max_running, max_queued: settings.max_queued }
}
