//! Accounting of the bytes and connections that a process holds for its callers.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt::Write,
    rc::Rc,
    time::Duration,
};

use figglade::{
    Timestamp,
    filter::intake::{ConnectionNumber, IntakeDecision, IntakeLedger, IntakeLimits, IntakeStage},
};
use slog::{Logger, warn};
use tokio::{sync::Notify, task::yield_now};

use crate::clock::ProcessClock;

/// The minimum time between two log lines about connections that gave way.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Tells a connection that it gives way.
#[derive(Debug, Default)]
struct GiveWaySignal {
    changed: Notify,
    /// Whether the connection must end at once, as another one has its place.
    must_close: Cell<bool>,
}

#[derive(Debug, Default)]
struct IntakeCounters {
    given_up: Cell<u64>,
    closed: Cell<u64>,
    refused: Cell<u64>,
}

impl IntakeCounters {
    const fn total(&self) -> u64 {
        self.given_up.get() + self.closed.get() + self.refused.get()
    }
}

/// Accounts for what the servers of a process hold for their callers, and makes connections give way
/// as [`IntakeLedger`] decides.
pub struct IntakeControl {
    ledger: RefCell<IntakeLedger>,
    signals: RefCell<HashMap<ConnectionNumber, Rc<GiveWaySignal>>>,
    counters: IntakeCounters,
    logged_at: Cell<Option<Timestamp>>,
    logged_total: Cell<u64>,
    clock: ProcessClock,
    log: Logger,
}

impl IntakeControl {
    /// Creates the accounts of a process.
    pub fn new(limits: IntakeLimits, clock: ProcessClock, log: Logger) -> Self {
        Self {
            ledger: RefCell::new(IntakeLedger::new(limits)),
            signals: RefCell::default(),
            counters: IntakeCounters::default(),
            logged_at: Cell::new(None),
            logged_total: Cell::new(0),
            clock,
            log,
        }
    }

    /// Adds a connection, and returns whether another one must close for it. Returns `None` if there is
    /// no place for it.
    pub(super) fn open(self: &Rc<Self>) -> Option<(ConnectionIntake, bool)> {
        let opened = self.ledger.borrow_mut().open(self.clock.now());
        let Some((number, closed)) = opened else {
            self.count(&self.counters.refused);
            return None;
        };
        if let Some(closed) = closed {
            self.count(&self.counters.closed);
            self.signal(closed, true);
        }
        let signal = Rc::new(GiveWaySignal::default());
        self.signals.borrow_mut().insert(number, Rc::clone(&signal));
        let intake = ConnectionIntake { control: Rc::clone(self), number, signal };
        Some((intake, closed.is_some()))
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let ledger = self.ledger.borrow();
        let (held, open) = (ledger.held_bytes() as u64, ledger.open_connections() as u64);
        let counters = &self.counters;
        let values = [
            ("held_bytes", "gauge", "Bytes held for callers.", held),
            ("open_connections", "gauge", "Connections of callers.", open),
            (
                "given_up_total",
                "counter",
                "Requests and responses given up because the memory for callers was used up.",
                counters.given_up.get(),
            ),
            (
                "closed_connections_total",
                "counter",
                "Connections of callers closed for newer ones.",
                counters.closed.get(),
            ),
            (
                "refused_total",
                "counter",
                "Requests and connections refused because nothing could give way.",
                counters.refused.get(),
            ),
        ];
        let mut out = String::new();
        for (name, kind, help, value) in values {
            // Writing to a string does not fail.
            let _ = writeln!(
                out,
                "# HELP figglade_intake_{name} {help}\n# TYPE figglade_intake_{name} {kind}\n\
                 figglade_intake_{name} {value}"
            );
        }
        out
    }

    /// Tells the connections that give way, and returns whether there is room.
    fn apply(&self, decision: IntakeDecision) -> bool {
        for number in decision.given_up {
            self.count(&self.counters.given_up);
            self.signal(number, false);
        }
        decision.has_room
    }

    fn signal(&self, number: ConnectionNumber, must_close: bool) {
        if let Some(signal) = self.signals.borrow().get(&number) {
            if must_close {
                signal.must_close.set(true);
            }
            signal.changed.notify_one();
        }
    }

    /// Counts a connection that gave way, and logs a summary at most once in [`LOG_INTERVAL`].
    fn count(&self, counter: &Cell<u64>) {
        counter.update(|count| count + 1);
        let now = self.clock.now();
        if self.logged_at.get().is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        let total = self.counters.total();
        let new = total - self.logged_total.replace(total);
        self.logged_at.set(Some(now));
        let ledger = self.ledger.borrow();
        warn!(self.log, "http: connections of callers gave way"; "since_last_line" => new,
            "given_up" => self.counters.given_up.get(), "closed" => self.counters.closed.get(),
            "refused" => self.counters.refused.get(), "held_bytes" => ledger.held_bytes(),
            "open_connections" => ledger.open_connections());
    }
}

/// The account of one connection, which is closed when it is dropped.
pub(super) struct ConnectionIntake {
    control: Rc<IntakeControl>,
    number: ConnectionNumber,
    signal: Rc<GiveWaySignal>,
}

impl ConnectionIntake {
    /// Records that the connection enters a stage.
    pub(super) fn enter(&self, stage: IntakeStage) {
        let now = self.control.clock.now();
        self.control.ledger.borrow_mut().enter(self.number, stage, now);
    }

    /// Records that the connection has transferred bytes.
    pub(super) fn record_progress(&self, moved: usize) {
        let now = self.control.clock.now();
        self.control.ledger.borrow_mut().record_progress(self.number, moved, now);
    }

    /// Records that the connection holds `bytes`, and returns whether there is room for them.
    pub(super) fn hold(&self, bytes: usize, largest: usize) -> bool {
        let now = self.control.clock.now();
        let decision = self.control.ledger.borrow_mut().hold(self.number, bytes, largest, now);
        self.control.apply(decision)
    }

    /// Returns whether a complete request is served that takes `bytes` meanwhile, and records it.
    pub(super) fn serve(&self, bytes: usize, largest: usize) -> bool {
        let now = self.control.clock.now();
        let decision = self.control.ledger.borrow_mut().serve(self.number, bytes, largest, now);
        self.control.apply(decision)
    }

    /// Counts that the connection itself found no room.
    pub(super) fn count_refusal(&self) {
        self.control.count(&self.control.counters.refused);
    }

    /// Returns whether the connection may read ahead while its request is served.
    pub(super) fn allows_read_ahead(&self) -> bool {
        self.control.ledger.borrow().allows_read_ahead()
    }

    /// Waits until the connections that gave way have freed their bytes.
    pub(super) async fn wait_released(&self) {
        while self.control.ledger.borrow().is_releasing() {
            yield_now().await;
        }
    }

    /// Waits until the connection gives way.
    pub(super) async fn wait_given_up(&self) {
        self.signal.changed.notified().await;
    }

    /// Returns whether the connection must end at once, without a response.
    pub(super) fn must_close(&self) -> bool {
        self.signal.must_close.get()
    }
}

impl Drop for ConnectionIntake {
    fn drop(&mut self) {
        self.control.ledger.borrow_mut().remove(self.number);
        self.control.signals.borrow_mut().remove(&self.number);
    }
}
