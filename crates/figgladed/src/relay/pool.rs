//! The connections to all targets.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use figglade::{
    Timestamp,
    controller::route_set::RepeatRule,
    filter::{
        answer_buffers::BufferLimit,
        link_limit::LinkLimit,
        scatter::{AttemptEnd, ReplicaState},
    },
};
use slog::{Logger, debug};
use tokio::{
    net::TcpStream,
    task::{spawn_local, yield_now},
    time::{sleep, timeout},
};

use super::{
    answer::{AttemptReport, AttemptSink, BufferShare, OpenLinks},
    drain_inbox::DrainInbox,
    headers::HeaderNames,
    link::{LinkOwner, OutgoingRequest, TargetLink},
    metrics::RelayMetrics,
};
use crate::{clock::ProcessClock, sockets};

/// The timeout for making a connection; reachable targets take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long written bytes may stay unacknowledged before the kernel closes a connection.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is kept if the target does not announce a timeout.
const DEFAULT_MAX_IDLE: Duration = Duration::from_secs(8);
/// How long a connection may have been idle to carry a request that must not run twice. After a
/// longer time the target may reset the connection, which leaves unknown whether the request ran.
const AT_MOST_ONCE_MAX_IDLE: Duration = Duration::from_secs(1);
/// How long a new connection is observed before a request that must not run twice is sent on it. A
/// target that accepts no more connections closes it at once, and the request has then certainly
/// not run.
const AT_MOST_ONCE_SETTLE_TIME: Duration = Duration::from_millis(4);
/// How much earlier than the target this side closes an idle connection.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// How long an idle connection is kept to a target outside the subset of the instance.
const OUTSIDE_SUBSET_MAX_IDLE: Duration = Duration::from_millis(500);
/// The age below which the end of a connection that received nothing counts as an early close.
const EARLY_CLOSE_MAX_AGE: Duration = Duration::from_millis(500);
/// The first backoff of opening connections ahead of requests after an early close.
const MIN_PRECONNECT_BACKOFF: Duration = Duration::from_millis(500);
/// The longest such backoff.
const MAX_PRECONNECT_BACKOFF: Duration = Duration::from_secs(8);
/// How long a target that turned a connection away is assumed to accept no more of them.
const CONNECTION_REFUSAL_COOLDOWN: Duration = Duration::from_millis(250);
/// How long an attempt that lost against its hedge may still answer before its connection is
/// closed.
const ABANDON_DELAY: Duration = Duration::from_millis(400);

/// Writes the request of an attempt just before it is sent, so that it states the time that is left
/// then.
pub(super) trait RequestWriter {
    /// Writes the request for a target.
    fn write_request(&self, replica: &ReplicaState, now: Timestamp) -> OutgoingRequest;

    /// Returns whether the request may run more than once.
    fn repeat(&self) -> RepeatRule;
}

/// The connections to one target.
struct TargetPool {
    replica: Rc<ReplicaState>,
    free: RefCell<Vec<Rc<TargetLink>>>,
    /// Every open connection.
    open: RefCell<Vec<Rc<TargetLink>>>,
    connecting: Cell<u32>,
    /// The number of consecutive early closes.
    early_closes: Cell<u32>,
    /// The time until which no connection is opened ahead of requests.
    preconnect_after: Cell<Timestamp>,
    clock: ProcessClock,
}

impl LinkOwner for TargetPool {
    fn put_back(&self, link: Rc<TargetLink>) {
        self.free.borrow_mut().push(link);
    }

    fn remove(&self, link: &TargetLink) {
        let is_other = |held: &Rc<TargetLink>| !std::ptr::eq(Rc::as_ptr(held), link);
        self.free.borrow_mut().retain(is_other);
        self.open.borrow_mut().retain(is_other);
        self.record_close(link);
    }
}

impl TargetPool {
    /// Takes the most recently used free connection, unless it has been idle too long for the
    /// request.
    fn take_free(&self, repeat: RepeatRule, now: Timestamp) -> Option<Rc<TargetLink>> {
        let mut free = self.free.borrow_mut();
        while let Some(link) = free.pop() {
            if link.is_closed() {
                continue;
            }
            let idle = now.since(link.free_since.get());
            if repeat == RepeatRule::Idempotent || idle < AT_MOST_ONCE_MAX_IDLE {
                return Some(link);
            }
            free.push(link);
            return None;
        }
        None
    }

    /// Records the end of a connection. After an early close the target accepts no more
    /// connections, so opening them ahead of requests backs off, twice as long each time.
    fn record_close(&self, link: &TargetLink) {
        let now = self.clock.now();
        if link.has_received.get() {
            self.early_closes.set(0);
        } else if now.since(link.made_at) < EARLY_CLOSE_MAX_AGE {
            let count = self.early_closes.get();
            self.early_closes.set(count + 1);
            let backoff = MIN_PRECONNECT_BACKOFF
                .saturating_mul(1 << count.min(8))
                .min(MAX_PRECONNECT_BACKOFF);
            self.preconnect_after.set(now + backoff);
            if link.is_turned_away() {
                // The closed connection has already been removed from the open ones.
                self.replica.record_connection_refusal(
                    self.open.borrow().len() as u32,
                    now + CONNECTION_REFUSAL_COOLDOWN,
                );
            }
        }
    }

    fn count(&self) -> u32 {
        self.open.borrow().len() as u32 + self.connecting.get()
    }
}

/// The context that all connections share.
#[derive(Clone, Debug)]
pub(super) struct LinkContext {
    pub(super) clock: ProcessClock,
    pub(super) names: HeaderNames,
    pub(super) log: Logger,
    /// Receives the targets that say that they are leaving.
    pub(super) drains: Rc<DrainInbox>,
    pub(super) metrics: Rc<RelayMetrics>,
    pub(super) buffer_limit: BufferLimit,
    pub(super) link_limit: LinkLimit,
    /// The size of the incomplete answers on all connections, and of what requests hold of complete ones,
    /// in bytes.
    pub(super) buffered: Rc<Cell<usize>>,
}

/// The connections to all targets.
pub(super) struct LinkPools {
    context: LinkContext,
    pools: RefCell<HashMap<SocketAddr, Rc<TargetPool>>>,
    /// The number of connections made so far.
    pub(super) made: Cell<u64>,
    /// The number of connections that are open or being made.
    places: Rc<Cell<usize>>,
}

/// The place of one connection among those that the process may have; free again when it is dropped.
#[derive(Debug)]
pub(super) struct LinkPlace(Rc<Cell<usize>>);

impl LinkPlace {
    fn take(places: &Rc<Cell<usize>>) -> Self {
        places.update(|count| count + 1);
        Self(Rc::clone(places))
    }
}

impl Drop for LinkPlace {
    fn drop(&mut self) {
        self.0.update(|count| count - 1);
    }
}

/// The reason a connection was not made.
enum ConnectError {
    /// The target cannot be reached.
    Unreachable,
    /// The process may have no further connection to the target.
    NoPlace,
}

impl LinkPools {
    pub(super) fn new(context: LinkContext) -> Self {
        Self { context, pools: RefCell::default(), made: Cell::new(0), places: Rc::default() }
    }

    /// Returns the account of a new request for the answers that it holds.
    pub(super) fn open_share(&self) -> BufferShare {
        BufferShare::new(self.context.buffer_limit, Rc::clone(&self.context.buffered))
    }

    /// Sends an attempt on a free connection, or on a new one.
    pub(super) fn send(
        self: &Rc<Self>,
        writer: &Rc<dyn RequestWriter>,
        links: &Rc<OpenLinks>,
        sink: AttemptSink,
    ) {
        let pool = self.pool_of(&sink.replica);
        let now = self.context.clock.now();
        let mut sink = sink;
        while let Some(link) = pool.take_free(writer.repeat(), now) {
            let request = writer.write_request(&sink.replica, now);
            let attempt = sink.attempt;
            match link.send(request, sink) {
                Ok(()) => return links.add(attempt, link),
                Err(returned) => sink = returned,
            }
        }
        if pool.count() >= pool.replica.connection_limit.get() {
            // Closes a free connection that has been idle too long for the request, to make room
            // for a new one.
            let oldest = pool.free.borrow().first().cloned();
            if let Some(link) = oldest {
                link.close();
            }
        }
        let connecting =
            Rc::clone(self).connect_and_send(pool, Rc::clone(writer), Rc::clone(links), sink);
        spawn_local(connecting);
    }

    /// Opens connections ahead of requests until `wanted` are open.
    pub(super) fn preconnect(self: &Rc<Self>, replica: &Rc<ReplicaState>, wanted: u32) {
        let pool = self.pool_of(replica);
        if self.context.clock.now() < pool.preconnect_after.get() {
            return;
        }
        let wanted = wanted.min(replica.connection_limit.get());
        for _ in pool.count()..wanted {
            if !self.has_place(&pool) {
                return;
            }
            let pools = Rc::clone(self);
            let pool = Rc::clone(&pool);
            spawn_local(async move {
                match pools.connect(&pool).await {
                    Ok(link) => pool.put_back(link),
                    Err(ConnectError::Unreachable) => pool.replica.eject(pools.context.clock.now()),
                    Err(ConnectError::NoPlace) => {}
                }
            });
        }
    }

    /// Closes connections that are abandoned or have been idle for too long, ejects targets with an
    /// overdue request, closes free connections to targets of evacuated zones, and removes targets
    /// that left.
    pub(super) fn maintain(&self, now: Timestamp) {
        self.pools.borrow_mut().retain(|_, pool| {
            for link in pool.open.borrow().iter() {
                maintain_link(pool, link, now);
            }
            let is_needed = pool.replica.is_usable.get() || pool.count() > 0;
            if !pool.replica.takes_requests() {
                pool.free.borrow().iter().for_each(|link| link.close());
            }
            is_needed
        });
    }

    /// Returns the number of open connections.
    pub(super) fn open_count(&self) -> usize {
        self.pools.borrow().values().map(|pool| pool.open.borrow().len()).sum()
    }

    /// Releases the open attempts of a request that was answered or abandoned. If the caller
    /// disconnected, attempts that may be repeated are closed immediately; attempts that must run
    /// at most once may continue to the deadline of the request.
    pub(super) fn release(
        &self,
        links: &OpenLinks,
        repeat: RepeatRule,
        deadline: Timestamp,
        has_caller_left: bool,
    ) {
        let now = self.context.clock.now();
        for (_, link) in links.0.borrow().iter() {
            match repeat {
                RepeatRule::AtMostOnce => {
                    link.abandon_at.set(Some(deadline.max(now) + ABANDON_DELAY));
                }
                RepeatRule::Idempotent if has_caller_left => link.close(),
                RepeatRule::Idempotent => link.abandon_at.set(Some(now + ABANDON_DELAY)),
            }
        }
    }

    fn pool_of(&self, replica: &Rc<ReplicaState>) -> Rc<TargetPool> {
        let mut pools = self.pools.borrow_mut();
        let held = pools.get(&replica.spec.address);
        if let Some(pool) = held.filter(|pool| Rc::ptr_eq(&pool.replica, replica)) {
            return Rc::clone(pool);
        }
        let pool = Rc::new(TargetPool {
            replica: Rc::clone(replica),
            free: RefCell::default(),
            open: RefCell::default(),
            connecting: Cell::new(0),
            early_closes: Cell::new(0),
            preconnect_after: Cell::default(),
            clock: self.context.clock,
        });
        if let Some(previous) = pools.insert(replica.spec.address, Rc::clone(&pool)) {
            previous.free.borrow().iter().for_each(|link| link.close());
        }
        pool
    }

    async fn connect_and_send(
        self: Rc<Self>,
        pool: Rc<TargetPool>,
        writer: Rc<dyn RequestWriter>,
        links: Rc<OpenLinks>,
        sink: AttemptSink,
    ) {
        let link = match self.connect(&pool).await {
            Ok(link) => link,
            Err(ConnectError::Unreachable) => {
                return self.finish_unsent(sink, AttemptEnd::NotSent);
            }
            Err(ConnectError::NoPlace) => {
                // This says nothing of the target, which must not be ejected for it.
                let now = self.context.clock.now();
                sink.replica.finish_attempt(sink.ticket, AttemptEnd::Cancelled, now);
                let (attempt, end) = (sink.attempt, AttemptEnd::NotSent);
                return sink.inbox.push(AttemptReport { attempt, end, answer: None });
            }
        };
        if writer.repeat() == RepeatRule::AtMostOnce {
            sleep(AT_MOST_ONCE_SETTLE_TIME).await;
            if link.is_closed() {
                return self.finish_unsent(sink, AttemptEnd::NotSent);
            }
        }
        if sink.inbox.is_closed() {
            pool.put_back(link);
            return self.finish_unsent(sink, AttemptEnd::Cancelled);
        }
        let request = writer.write_request(&sink.replica, self.context.clock.now());
        let attempt = sink.attempt;
        match link.send(request, sink) {
            Ok(()) => links.add(attempt, link),
            Err(sink) => self.finish_unsent(sink, AttemptEnd::NotSent),
        }
    }

    fn finish_unsent(&self, sink: AttemptSink, end: AttemptEnd) {
        sink.replica.finish_attempt(sink.ticket, end, self.context.clock.now());
        sink.inbox.push(AttemptReport { attempt: sink.attempt, end, answer: None });
    }

    /// Returns whether the target of a pool may get a further connection.
    fn has_place(&self, pool: &TargetPool) -> bool {
        self.context.link_limit.allows(pool.count() as usize, self.places.get())
    }

    /// Takes the place of a new connection. If there is none, the free connection that has been idle
    /// longest is closed for it.
    async fn take_place(&self, pool: &TargetPool) -> Option<LinkPlace> {
        if !self.has_place(pool) {
            self.close_idlest();
            // The place is free once the task of that connection has run.
            yield_now().await;
        }
        if !self.has_place(pool) {
            self.context.metrics.count_link_shortage();
            return None;
        }
        Some(LinkPlace::take(&self.places))
    }

    fn close_idlest(&self) {
        let pools = self.pools.borrow();
        let oldest = pools.values().filter_map(|pool| pool.free.borrow().first().cloned());
        if let Some(link) = oldest.min_by_key(|link| link.free_since.get()) {
            link.close();
        }
    }

    async fn connect(&self, pool: &Rc<TargetPool>) -> Result<Rc<TargetLink>, ConnectError> {
        let Some(place) = self.take_place(pool).await else { return Err(ConnectError::NoPlace) };
        let address = pool.replica.spec.address;
        pool.connecting.update(|count| count + 1);
        let connected =
            timeout(CONNECT_TIMEOUT, sockets::connect(address, &self.context.log)).await;
        pool.connecting.update(|count| count - 1);
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                debug!(self.context.log, "relay: connecting to a target failed";
                    "target" => %pool.replica.spec.id, "error" => %error);
                return Err(ConnectError::Unreachable);
            }
            Err(_) => {
                debug!(self.context.log, "relay: connecting to a target timed out";
                    "target" => %pool.replica.spec.id);
                return Err(ConnectError::Unreachable);
            }
        };
        if let Err(error) = prepare_stream(&stream) {
            debug!(self.context.log, "relay: socket options could not be set on a connection";
                "target" => %pool.replica.spec.id, "error" => %error);
        }
        self.made.update(|count| count + 1);
        let link = Rc::new(TargetLink::new(stream, place, self.context.clone()));
        pool.open.borrow_mut().push(Rc::clone(&link));
        let owner: Rc<dyn LinkOwner> = Rc::new(WeakOwner(Rc::downgrade(pool)));
        spawn_local(Rc::clone(&link).run(owner));
        Ok(link)
    }
}

/// A weak reference to a pool, so that the task of a link does not keep its pool alive.
struct WeakOwner(Weak<TargetPool>);

impl LinkOwner for WeakOwner {
    fn put_back(&self, link: Rc<TargetLink>) {
        match self.0.upgrade() {
            Some(pool) => pool.put_back(link),
            None => link.close(),
        }
    }

    fn remove(&self, link: &TargetLink) {
        if let Some(pool) = self.0.upgrade() {
            pool.remove(link);
        }
    }
}

fn maintain_link(pool: &TargetPool, link: &TargetLink, now: Timestamp) {
    if link.is_busy() {
        let is_abandoned = link.abandon_at.get().is_some_and(|at| at <= now);
        let is_overdue = link.is_overdue(now);
        if is_overdue && !is_abandoned {
            pool.replica.eject(now);
        }
        if is_abandoned {
            link.close();
        }
        return;
    }
    let max_idle = match link.idle_timeout() {
        _ if !pool.replica.is_in_subset.get() => OUTSIDE_SUBSET_MAX_IDLE,
        Some(timeout) => timeout.saturating_sub(IDLE_MARGIN),
        None => DEFAULT_MAX_IDLE,
    };
    if now.since(link.free_since.get()) > max_idle {
        link.close();
    }
}

fn prepare_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}
