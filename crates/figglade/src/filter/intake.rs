//! Division of the memory and the connections for callers.
//!
//! A process holds bytes for its callers: of requests that are being read, of requests that are being
//! served, and of responses that have not been taken. One bound applies to all of them, and one to the
//! open connections. Where a bound is exceeded, the connections that make the least progress give way.

use std::{collections::BTreeMap, time::Duration};

use derive_more::Display;

use crate::{FileLimit, MemorySize, Timestamp};

/// The bytes held for callers may take the memory of a process divided by this. The allocator holds
/// about three times the bytes of large buffers, so that they take three eighths of the memory.
const MEMORY_DIVISOR: u64 = 8;
/// Connections of callers may take the file descriptors of a process divided by this. The rest is left
/// for targets, peers and files.
const FILE_DIVISOR: u32 = 2;
/// The memory of a process that an open connection of a caller takes beside the bytes held for it, in
/// bytes: its task and its smallest buffer, about 6 KiB, and what the allocator holds beside them.
const CONNECTION_BYTES: u64 = 8 << 10;
/// The connections of callers may take the memory of a process divided by this.
const CONNECTION_MEMORY_DIVISOR: u64 = 8;
/// The number of bytes that a connection transfers before it counts as making progress, so that single
/// bytes do not keep it from giving way.
const PROGRESS_BYTES: usize = 4 << 10;
/// The receive buffer of a connection in the kernel, in bytes. What has arrived and was not read counts
/// as memory of the process, also before the connection is accepted.
pub const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Connections that wait to be accepted may take the memory of a process divided by this.
const BACKLOG_MEMORY_DIVISOR: u64 = 32;
/// The most connections that wait to be accepted.
const MAX_BACKLOG: u32 = 128;
/// The fewest connections that wait to be accepted.
const MIN_BACKLOG: u32 = 16;
/// One of this many connections is kept for those that are not served, so that a new one always finds a
/// place: a connection that is served does not give way.
const UNSERVED_DIVISOR: usize = 4;
/// How often a request takes its bytes while it is served: as received, and as written for targets, which
/// share the copy, or for an aggregator.
const SERVED_COPIES: usize = 2;

/// The bounds on what a process holds for its callers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{bytes} bytes and {connections} connections for callers")]
pub struct IntakeLimits {
    bytes: usize,
    connections: usize,
    backlog: u32,
}

impl IntakeLimits {
    /// Creates the limits of a process that may use `memory` and `files`.
    pub fn new(memory: MemorySize, files: FileLimit) -> Self {
        let by_memory = memory.get() / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        let by_files = u64::from(files.get() / FILE_DIVISOR);
        Self {
            bytes: usize::try_from(memory.get() / MEMORY_DIVISOR).unwrap_or(usize::MAX),
            connections: usize::try_from(by_memory.min(by_files)).unwrap_or(usize::MAX).max(1),
            backlog: MAX_BACKLOG,
        }
    }

    /// Lowers the numbers of connections, so that their receive buffers have room in `memory` too.
    #[must_use]
    pub fn with_receive_buffers(self, memory: MemorySize) -> Self {
        let buffer = RECEIVE_BUFFER_BYTES as u64;
        let open = memory.get() / CONNECTION_MEMORY_DIVISOR / (CONNECTION_BYTES + buffer);
        let waiting = memory.get() / BACKLOG_MEMORY_DIVISOR / buffer;
        let connections = usize::try_from(open).unwrap_or(usize::MAX).max(1);
        let backlog = u32::try_from(waiting).unwrap_or(u32::MAX);
        Self {
            connections: self.connections.min(connections),
            backlog: backlog.clamp(MIN_BACKLOG, MAX_BACKLOG),
            ..self
        }
    }

    /// Creates limits for listeners of the platform itself, such as that of readiness probes, which
    /// callers thus cannot exhaust.
    pub const fn for_probes(bytes: usize, connections: usize) -> Self {
        Self { bytes, connections, backlog: MIN_BACKLOG }
    }

    /// Returns the maximum number of open connections.
    pub const fn connections(&self) -> usize {
        self.connections
    }

    /// Returns the maximum number of connections that wait to be accepted.
    pub const fn backlog(&self) -> u32 {
        self.backlog
    }
}

/// Returns how many bytes a request with a head and a body of these sizes takes while it is served.
pub const fn served_bytes(head: usize, body: usize) -> usize {
    head.saturating_add(body).saturating_mul(SERVED_COPIES)
}

/// Returns how many bytes a response of this size takes until it is taken. The buffer in which the answer
/// of a target arrived grew by doubling and stays allocated with it.
pub const fn response_bytes(length: usize) -> usize {
    length.saturating_mul(2)
}

/// Identifies a connection of a caller within a process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(u64);

/// What a connection of a caller does.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum IntakeStage {
    /// Waits for a request.
    Idle,
    /// Receives a request.
    Reading,
    /// Waits for the response to a request, which may run at a target.
    Serving,
    /// Sends a response.
    Writing,
    /// Discards what still arrives after the last response.
    Closing,
}

#[derive(Clone, Debug)]
struct ConnectionState {
    stage: IntakeStage,
    held: usize,
    /// The bytes that it gave up and has not freed yet.
    releasing: usize,
    /// The bytes transferred since the last progress.
    moved: usize,
    progress_at: Timestamp,
    has_been_served: bool,
}

impl ConnectionState {
    /// Returns for how long it has made no progress.
    const fn stalled(&self, now: Timestamp) -> Duration {
        now.since(self.progress_at)
    }

    /// Returns how early it gives way to another connection: first one that only closes, then one that
    /// was never served a request, then the others. One that is served never gives way, as its request
    /// may run.
    const fn connection_rank(&self) -> Option<u8> {
        match self.stage {
            IntakeStage::Closing => Some(2),
            IntakeStage::Serving => None,
            _ if !self.has_been_served => Some(1),
            _ => Some(0),
        }
    }

    /// Returns the bytes it holds times how long it has made no progress, if it can give way.
    fn cost(&self, now: Timestamp) -> Option<u128> {
        let gives_way = matches!(self.stage, IntakeStage::Reading | IntakeStage::Writing);
        // One microsecond is added, so that the size decides among connections without a stall.
        let cost = self.held as u128 * (self.stalled(now).as_micros() + 1);
        (gives_way && self.held > 0).then_some(cost)
    }
}

/// The decision on bytes that a connection is to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntakeDecision {
    /// Whether the connection itself may go on.
    pub has_room: bool,
    /// The other connections that give way. What they hold counts no longer, but it is in memory until
    /// they free it (see [`IntakeLedger::is_releasing`]).
    pub given_up: Vec<ConnectionNumber>,
}

/// Accounts for what a process holds for its callers, and decides which connections give way.
#[derive(Debug)]
pub struct IntakeLedger {
    limits: IntakeLimits,
    connections: BTreeMap<ConnectionNumber, ConnectionState>,
    held: usize,
    /// The bytes held for requests that are being served, a part of `held`.
    serving: usize,
    /// The connections whose requests are being served.
    served_connections: usize,
    releasing: usize,
    next: u64,
}

impl IntakeLedger {
    /// Creates a ledger without connections.
    pub const fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            held: 0,
            serving: 0,
            served_connections: 0,
            releasing: 0,
            next: 0,
        }
    }

    /// Adds a connection. Returns its number, and the connection that must be closed for it, which is
    /// no longer part of the ledger. Returns `None` if all others are being served, so that the new one
    /// must be closed.
    pub fn open(&mut self, now: Timestamp) -> Option<(ConnectionNumber, Option<ConnectionNumber>)> {
        let mut closed = None;
        if self.connections.len() >= self.limits.connections {
            let ranked = self.connections.iter().filter_map(|(number, state)| {
                Some(((state.connection_rank()?, state.stalled(now)), *number))
            });
            let (_, number) = ranked.max()?;
            self.remove(number);
            closed = Some(number);
        }
        let number = ConnectionNumber(self.next);
        self.next += 1;
        let state = ConnectionState {
            stage: IntakeStage::Idle,
            held: 0,
            releasing: 0,
            moved: 0,
            progress_at: now,
            has_been_served: false,
        };
        self.connections.insert(number, state);
        Some((number, closed))
    }

    /// Records that a connection enters a stage. [`Self::serve`] decides whether a request is served.
    pub fn enter(&mut self, number: ConnectionNumber, stage: IntakeStage, now: Timestamp) {
        if let Some(state) = self.connections.get_mut(&number) {
            if state.stage == IntakeStage::Serving {
                state.has_been_served = true;
                self.serving -= state.held;
                self.served_connections -= 1;
            }
            if stage == IntakeStage::Serving {
                self.serving += state.held;
                self.served_connections += 1;
            }
            state.stage = stage;
            state.moved = 0;
            state.progress_at = now;
        }
    }

    /// Records that a connection has transferred bytes.
    pub fn record_progress(&mut self, number: ConnectionNumber, moved: usize, now: Timestamp) {
        if let Some(state) = self.connections.get_mut(&number) {
            state.moved += moved;
            if state.moved >= PROGRESS_BYTES {
                state.moved = 0;
                state.progress_at = now;
            }
        }
    }

    /// Records that a connection holds `bytes`, and decides which connections give way if the bound is
    /// exceeded. `largest` is the size of the largest request that is allowed; the bound is at least as
    /// high, so that such a request is served where there is no other.
    pub fn hold(
        &mut self,
        number: ConnectionNumber,
        bytes: usize,
        largest: usize,
        now: Timestamp,
    ) -> IntakeDecision {
        self.finish_release(number);
        self.set_held(number, bytes);
        let bound = self.limits.bytes.max(largest);
        let mut given_up = Vec::new();
        while self.held > bound {
            let costs = self.connections.iter();
            let costs = costs.filter_map(|(number, state)| Some((state.cost(now)?, *number)));
            match costs.max() {
                Some((_, costliest)) if costliest != number => {
                    self.give_up(costliest);
                    self.enter(costliest, IntakeStage::Closing, now);
                    given_up.push(costliest);
                }
                _ => return IntakeDecision { has_room: false, given_up },
            }
        }
        IntakeDecision { has_room: true, given_up }
    }

    /// Decides whether a complete request is served that takes `bytes` meanwhile, and records it.
    ///
    /// As such a request does not give way, it may take at most as much as it leaves for others. Beside
    /// large requests, small ones thus still find room. A part of the connections is not served, so that
    /// a new one finds a place, and its caller an answer, even if that is a refusal.
    pub fn serve(
        &mut self,
        number: ConnectionNumber,
        bytes: usize,
        largest: usize,
        now: Timestamp,
    ) -> IntakeDecision {
        let room = self.limits.bytes.max(largest).saturating_sub(self.serving);
        let max_served = self.limits.connections - self.limits.connections / UNSERVED_DIVISOR;
        if self.served_connections >= max_served || self.serving > 0 && bytes > room / 2 {
            return IntakeDecision { has_room: false, given_up: Vec::new() };
        }
        let decision = self.hold(number, bytes, largest, now);
        if decision.has_room {
            self.enter(number, IntakeStage::Serving, now);
        }
        decision
    }

    /// Returns whether a connection that is being served may read ahead. At most half of the bound is
    /// used for that, as such a connection does not give way.
    pub const fn allows_read_ahead(&self) -> bool {
        self.held < self.limits.bytes / 2
    }

    /// Returns whether connections that gave way have not freed their bytes yet. Until then no more of
    /// other requests should be read.
    pub const fn is_releasing(&self) -> bool {
        self.releasing > 0
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, number: ConnectionNumber) {
        self.finish_release(number);
        self.set_held(number, 0);
        let removed = self.connections.remove(&number);
        if removed.is_some_and(|state| state.stage == IntakeStage::Serving) {
            self.served_connections -= 1;
        }
    }

    /// Returns the number of bytes held for callers.
    pub const fn held_bytes(&self) -> usize {
        self.held
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    fn give_up(&mut self, number: ConnectionNumber) {
        if let Some(state) = self.connections.get_mut(&number) {
            let bytes = std::mem::take(&mut state.held);
            state.releasing += bytes;
            self.held -= bytes;
            self.releasing += bytes;
        }
    }

    fn finish_release(&mut self, number: ConnectionNumber) {
        if let Some(state) = self.connections.get_mut(&number) {
            self.releasing -= std::mem::take(&mut state.releasing);
        }
    }

    fn set_held(&mut self, number: ConnectionNumber, bytes: usize) {
        if let Some(state) = self.connections.get_mut(&number) {
            let former = std::mem::replace(&mut state.held, bytes);
            self.held = self.held - former + bytes;
            if state.stage == IntakeStage::Serving {
                self.serving = self.serving - former + bytes;
            }
        }
    }
}
