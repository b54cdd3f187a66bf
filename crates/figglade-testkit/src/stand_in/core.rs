//! The state that the tasks of one stand-in target share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use figglade::{
    AttemptId, Incarnation, IndexName, PartitionEpoch, RequestId, ShardId,
    wire::{AnnouncedReplica, Announcement, TargetState},
};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::{oneshot, watch};

use super::{
    register::RegisterData,
    settings::{ServiceKind, StandInFaults, StandInSettings},
    slots::SlotPool,
};

/// The most actions that are recorded; later ones are still counted.
const MAX_RECORDED_ACTIONS: usize = 1 << 20;

/// One action that a stand-in target ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RanAction {
    /// The request of the caller.
    pub request_id: RequestId,
    /// The attempt, as a plain number in text.
    pub attempt_id: String,
    /// The index.
    pub index: IndexName,
    /// The shard.
    pub shard: ShardId,
    /// The key.
    pub key: String,
    /// The body.
    pub body: Value,
    /// The result.
    pub result: Value,
}

/// Counters of one stand-in target.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) searches_received: AtomicU64,
    pub(super) searches_started: AtomicU64,
    pub(super) searches_finished: AtomicU64,
    pub(super) searches_cancelled: AtomicU64,
    pub(super) actions_received: AtomicU64,
    pub(super) actions_run: AtomicU64,
    pub(super) cancels_received: AtomicU64,
    pub(super) shed: AtomicU64,
    pub(super) expired: AtomicU64,
    pub(super) connections_accepted: AtomicU64,
    pub(super) connections_refused: AtomicU64,
    pub(super) connections_open: AtomicU64,
    pub(super) connections_max: AtomicU64,
    pub(super) announcements_sent: AtomicU64,
}

/// Adds one to a counter.
pub(super) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::SeqCst);
}

/// What a stand-in target did so far.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StandInState {
    /// The target.
    pub target_id: figglade::TargetId,
    /// The announced state.
    pub state: TargetState,
    /// The searches that arrived.
    pub searches_received: u64,
    /// The searches that got a slot.
    pub searches_started: u64,
    /// The searches that ran to their end.
    pub searches_finished: u64,
    /// The searches stopped by a cancellation.
    pub searches_cancelled: u64,
    /// The actions that arrived.
    pub actions_received: u64,
    /// The actions that ran.
    pub actions_run: u64,
    /// The cancellations that arrived.
    pub cancels_received: u64,
    /// The requests answered with 429.
    pub shed: u64,
    /// The requests answered with 504.
    pub expired: u64,
    /// The most requests that ran at a time.
    pub max_running: u32,
    /// The connections accepted.
    pub connections_accepted: u64,
    /// The connections closed at once because the cap was reached.
    pub connections_refused: u64,
    /// The connections open now.
    pub connections_open: u64,
    /// The most connections open at a time.
    pub connections_max: u64,
    /// The announcements an instance accepted.
    pub announcements_sent: u64,
    /// The requests whose actions ran, in order.
    pub ran_requests: Vec<RequestId>,
}

/// The state that the tasks of one stand-in target share.
#[derive(Debug)]
pub(super) struct StandInCore {
    pub(super) settings: StandInSettings,
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) started: Instant,
    pub(super) slots: SlotPool,
    pub(super) register: RegisterData,
    pub(super) counters: Counters,
    /// Rises with each change worth announcing.
    pub(super) changes: watch::Sender<u64>,
    /// Turns true when every task must end at once.
    pub(super) killed: watch::Sender<bool>,
    state: Mutex<TargetState>,
    replicas: Mutex<Vec<AnnouncedReplica>>,
    faults: Mutex<StandInFaults>,
    rng: Mutex<ChaCha8Rng>,
    attempts: Mutex<HashMap<AttemptId, oneshot::Sender<()>>>,
    actions: Mutex<Vec<RanAction>>,
}

impl StandInCore {
    /// Creates the state of a target that listens at `address`.
    pub(super) fn new(
        settings: StandInSettings,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Self {
        let state =
            if settings.starting_ms == 0 { TargetState::Ready } else { TargetState::Starting };
        Self {
            address,
            incarnation,
            started: Instant::now(),
            slots: SlotPool::new(settings.slots, settings.queue),
            register: RegisterData::default(),
            counters: Counters::default(),
            changes: watch::Sender::new(0),
            killed: watch::Sender::new(false),
            state: Mutex::new(state),
            replicas: Mutex::new(settings.replicas.clone()),
            faults: Mutex::new(settings.faults),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed)),
            attempts: Mutex::default(),
            actions: Mutex::default(),
            settings,
        }
    }

    /// Returns the announced state.
    pub(super) fn state(&self) -> TargetState {
        *self.state.lock()
    }

    /// Moves to a later state; a target never goes back.
    pub(super) fn advance_state(&self, next: TargetState) {
        let mut state = self.state.lock();
        if next <= *state {
            return;
        }
        *state = next;
        drop(state);
        self.note_change();
    }

    /// Returns the faults that are switched on.
    pub(super) fn faults(&self) -> StandInFaults {
        *self.faults.lock()
    }

    /// Replaces the faults.
    pub(super) fn set_faults(&self, faults: StandInFaults) {
        *self.faults.lock() = faults;
    }

    /// Replaces the replicas and announces them.
    pub(super) fn set_replicas(&self, replicas: Vec<AnnouncedReplica>) {
        *self.replicas.lock() = replicas;
        self.note_change();
    }

    /// Returns the replicas held.
    pub(super) fn replicas(&self) -> Vec<AnnouncedReplica> {
        self.replicas.lock().clone()
    }

    /// Finds the replica of a shard in a partition epoch.
    pub(super) fn find_replica(
        &self,
        index: &IndexName,
        shard: ShardId,
        epoch: Option<PartitionEpoch>,
    ) -> Option<AnnouncedReplica> {
        self.replicas
            .lock()
            .iter()
            .find(|replica| {
                replica.index == *index
                    && replica.shard == shard
                    && epoch.is_none_or(|epoch| replica.partition_epoch == epoch)
            })
            .cloned()
    }

    /// Wakes the announcer.
    fn note_change(&self) {
        self.changes.send_modify(|change| *change += 1);
    }

    /// Builds the announcement of the present state.
    pub(super) fn announcement(&self) -> Announcement {
        // Read first, so that a change in between is sent again under its own number.
        let sequence = *self.changes.borrow();
        Announcement {
            sequence: Some(sequence),
            target_id: self.settings.target_id.clone(),
            incarnation: self.incarnation,
            address: self.settings.announced_address.unwrap_or(self.address),
            availability_zone: self.settings.availability_zone.clone(),
            slots: self.settings.slots,
            connections: self.settings.connections,
            state: self.state(),
            replicas: self.replicas(),
        }
    }

    /// Draws the time that the next request takes.
    fn draw_service_time(&self, now: Instant) -> Duration {
        let faults = self.faults();
        let mut micros = self.settings.service_time.mean_us as f64;
        if self.settings.service_time.kind == ServiceKind::Exponential {
            let uniform: f64 = self.rng.lock().random();
            micros *= -(1.0 - uniform).ln();
        }
        let cold = self.settings.cold_start;
        if now.duration_since(self.started) < Duration::from_millis(cold.duration_ms) {
            micros *= cold.factor;
        }
        if self.draw_share(faults.slow_share) {
            micros *= faults.slow_share_factor;
        }
        Duration::from_micros((micros * faults.slow_factor) as u64)
    }

    /// Spends the time that a request takes.
    pub(super) async fn work(&self) {
        let time = self.draw_service_time(Instant::now());
        // Even the shortest sleep waits for the next tick of the timer.
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
    }

    /// Returns true for a share of the calls.
    pub(super) fn draw_share(&self, share: f64) -> bool {
        if share <= 0.0 {
            return false;
        }
        share >= 1.0 || self.rng.lock().random::<f64>() < share
    }

    /// Registers an attempt; the receiver hears of its cancellation.
    pub(super) fn register_attempt(&self, attempt: AttemptId) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.attempts.lock().insert(attempt, sender);
        receiver
    }

    /// Forgets an attempt that ended.
    pub(super) fn forget_attempt(&self, attempt: AttemptId) {
        self.attempts.lock().remove(&attempt);
    }

    /// Stops an attempt; returns whether it was known.
    pub(super) fn cancel_attempt(&self, attempt: AttemptId) -> bool {
        let sender = self.attempts.lock().remove(&attempt);
        sender.is_some_and(|sender| sender.send(()).is_ok())
    }

    /// Records an action at the moment it runs.
    pub(super) fn record_action(&self, action: RanAction) {
        count(&self.counters.actions_run);
        let mut actions = self.actions.lock();
        if actions.len() < MAX_RECORDED_ACTIONS {
            actions.push(action);
        }
    }

    /// Returns the recorded actions in order.
    pub(super) fn ran_actions(&self) -> Vec<RanAction> {
        self.actions.lock().clone()
    }

    /// Returns the counters.
    pub(super) fn report_state(&self) -> StandInState {
        let read = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        let counters = &self.counters;
        StandInState {
            target_id: self.settings.target_id.clone(),
            state: self.state(),
            searches_received: read(&counters.searches_received),
            searches_started: read(&counters.searches_started),
            searches_finished: read(&counters.searches_finished),
            searches_cancelled: read(&counters.searches_cancelled),
            actions_received: read(&counters.actions_received),
            actions_run: read(&counters.actions_run),
            cancels_received: read(&counters.cancels_received),
            shed: read(&counters.shed),
            expired: read(&counters.expired),
            max_running: self.slots.max_running(),
            connections_accepted: read(&counters.connections_accepted),
            connections_refused: read(&counters.connections_refused),
            connections_open: read(&counters.connections_open),
            connections_max: read(&counters.connections_max),
            announcements_sent: read(&counters.announcements_sent),
            ran_requests: self.actions.lock().iter().map(|action| action.request_id).collect(),
        }
    }
}
