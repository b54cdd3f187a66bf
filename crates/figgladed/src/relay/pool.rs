//! The connections to all targets.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use bytes::Bytes;
use figglade::{
    Timestamp,
    controller::route_set::RepeatRule,
    filter::scatter::{AttemptEnd, ReplicaState},
};
use slog::{Logger, debug};
use tokio::{
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{
    answer::{AttemptReport, AttemptSink, OpenLinks},
    headers::HeaderNames,
    link::{LinkOwner, TargetLink},
};
use crate::clock::ProcessClock;

/// The longest wait for a connection; targets in reach take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long written bytes may stay unacknowledged before the kernel gives a connection up.
const UNACKED_LIMIT: Duration = Duration::from_secs(2);
/// How long an unused connection is trusted where the target does not say.
const IDLE_TRUST: Duration = Duration::from_secs(8);
/// How long a connection may have been unused for a request that must not run twice: a reset would
/// leave its fate open.
const ONCE_IDLE_TRUST: Duration = Duration::from_secs(1);
/// How long a new connection is watched before a request that must not run twice goes out on it: a
/// target that accepts no more of them ends it at once, and the request has surely not run.
const ONCE_SETTLE: Duration = Duration::from_millis(4);
/// How much earlier than the target a connection is closed here.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// How long a connection is kept unused to a target that the instance does not keep to.
const UNKEPT_TRUST: Duration = Duration::from_millis(500);
/// A connection that ended without an answer within this time was of no use.
const USELESS_LIFE: Duration = Duration::from_millis(500);
/// The first pause of making connections ahead of requests after such a connection.
const FIRST_REST: Duration = Duration::from_millis(500);
/// The longest such pause.
const LONGEST_REST: Duration = Duration::from_secs(8);
/// How long after it turned a connection away a target is taken to accept no more of them.
const FULL_TIME: Duration = Duration::from_millis(250);
/// How long the loser of a hedge may still answer before its connection is closed.
const LOSER_GRACE: Duration = Duration::from_millis(400);

/// Writes the request of an attempt as late as possible, with the time that is then left.
pub(super) trait RequestWriter {
    /// Writes the request for a target.
    fn write_request(&self, replica: &ReplicaState, now: Timestamp) -> Bytes;

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
    /// The connections in a row that ended before they were of use.
    useless: Cell<u32>,
    /// Until when none is made ahead of requests.
    rests_until: Cell<Timestamp>,
    clock: ProcessClock,
}

impl LinkOwner for TargetPool {
    fn take_back(&self, link: Rc<TargetLink>) {
        self.free.borrow_mut().push(link);
    }

    fn forget(&self, link: &TargetLink) {
        let is_other = |held: &Rc<TargetLink>| !std::ptr::eq(Rc::as_ptr(held), link);
        self.free.borrow_mut().retain(is_other);
        self.open.borrow_mut().retain(is_other);
        self.note_end(link);
    }
}

impl TargetPool {
    /// Takes the connection that was used last and is fresh enough.
    fn take_free(&self, repeat: RepeatRule, now: Timestamp) -> Option<Rc<TargetLink>> {
        let mut free = self.free.borrow_mut();
        while let Some(link) = free.pop() {
            if link.is_closed() {
                continue;
            }
            let idle = now.since(link.free_since.get());
            if repeat == RepeatRule::Idempotent || idle < ONCE_IDLE_TRUST {
                return Some(link);
            }
            free.push(link);
            return None;
        }
        None
    }

    /// Rests, twice as long each time, after connections that the target closed at once: it accepts
    /// no more of them.
    fn note_end(&self, link: &TargetLink) {
        let now = self.clock.now();
        if link.has_answered.get() {
            self.useless.set(0);
        } else if now.since(link.made_at) < USELESS_LIFE {
            let times = self.useless.get();
            self.useless.set(times + 1);
            let rest = FIRST_REST.saturating_mul(1 << times.min(8)).min(LONGEST_REST);
            self.rests_until.set(now + rest);
            if link.is_turned_away() {
                // The connection that ended is not among the open ones any more.
                self.replica
                    .record_connection_refusal(self.open.borrow().len() as u32, now + FULL_TIME);
            }
        }
    }

    fn count(&self) -> u32 {
        self.open.borrow().len() as u32 + self.connecting.get()
    }
}

/// What the connections need to know.
#[derive(Clone)]
pub(super) struct LinkContext {
    pub(super) clock: ProcessClock,
    pub(super) names: HeaderNames,
    pub(super) log: Logger,
}

/// The connections to all targets.
pub(super) struct LinkPools {
    context: LinkContext,
    pools: RefCell<HashMap<SocketAddr, Rc<TargetPool>>>,
    /// The connections made so far.
    pub(super) made: Cell<u64>,
}

impl LinkPools {
    pub(super) fn new(context: LinkContext) -> Self {
        Self { context, pools: RefCell::default(), made: Cell::new(0) }
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
            // A free one that is too old for the request gives way.
            let oldest = pool.free.borrow().first().cloned();
            if let Some(link) = oldest {
                link.close();
            }
        }
        let connecting =
            Rc::clone(self).connect_and_send(pool, Rc::clone(writer), Rc::clone(links), sink);
        spawn_local(connecting);
    }

    /// Makes connections ahead of requests until `wanted` are open.
    pub(super) fn warm(self: &Rc<Self>, replica: &Rc<ReplicaState>, wanted: u32) {
        let pool = self.pool_of(replica);
        if self.context.clock.now() < pool.rests_until.get() {
            return;
        }
        let wanted = wanted.min(replica.connection_limit.get());
        for _ in pool.count()..wanted {
            let pools = Rc::clone(self);
            let pool = Rc::clone(&pool);
            spawn_local(async move {
                match pools.connect(&pool).await {
                    Some(link) => pool.take_back(link),
                    None => pool.replica.eject(pools.context.clock.now()),
                }
            });
        }
    }

    /// Closes what is dead, unused for too long or not waited for, and forgets targets that left.
    pub(super) fn maintain(&self, now: Timestamp) {
        self.pools.borrow_mut().retain(|_, pool| {
            for link in pool.open.borrow().iter() {
                maintain_link(pool, link, now);
            }
            let is_needed = pool.replica.is_usable.get() || pool.count() > 0;
            if !pool.replica.is_usable.get() {
                pool.free.borrow().iter().for_each(|link| link.close());
            }
            is_needed
        });
    }

    /// Returns the open connections.
    pub(super) fn open_count(&self) -> usize {
        self.pools.borrow().values().map(|pool| pool.open.borrow().len()).sum()
    }

    /// Ends the attempts of a request that was answered or given up. Where the caller left, what
    /// may be repeated stops at once; what may run only once goes on to its end.
    pub(super) fn release(&self, links: &OpenLinks, repeat: RepeatRule, has_caller_left: bool) {
        if repeat == RepeatRule::AtMostOnce {
            return;
        }
        let now = self.context.clock.now();
        for (_, link) in links.0.borrow().iter() {
            if has_caller_left {
                link.close();
            } else {
                link.abandon_at.set(Some(now + LOSER_GRACE));
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
            useless: Cell::new(0),
            rests_until: Cell::default(),
            clock: self.context.clock,
        });
        if let Some(former) = pools.insert(replica.spec.address, Rc::clone(&pool)) {
            former.free.borrow().iter().for_each(|link| link.close());
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
        let Some(link) = self.connect(&pool).await else {
            return self.end_unsent(sink, AttemptEnd::NotSent);
        };
        if writer.repeat() == RepeatRule::AtMostOnce {
            sleep(ONCE_SETTLE).await;
            if link.is_closed() {
                return self.end_unsent(sink, AttemptEnd::NotSent);
            }
        }
        if sink.inbox.is_closed() {
            pool.take_back(link);
            return self.end_unsent(sink, AttemptEnd::Cancelled);
        }
        let request = writer.write_request(&sink.replica, self.context.clock.now());
        let attempt = sink.attempt;
        match link.send(request, sink) {
            Ok(()) => links.add(attempt, link),
            Err(sink) => self.end_unsent(sink, AttemptEnd::NotSent),
        }
    }

    fn end_unsent(&self, sink: AttemptSink, end: AttemptEnd) {
        sink.replica.finish_attempt(sink.ticket, end, self.context.clock.now());
        sink.inbox.push(AttemptReport { attempt: sink.attempt, end, answer: None });
    }

    async fn connect(&self, pool: &Rc<TargetPool>) -> Option<Rc<TargetLink>> {
        let address = pool.replica.spec.address;
        pool.connecting.update(|count| count + 1);
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        pool.connecting.update(|count| count - 1);
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                debug!(self.context.log, "relay: no connection to a target";
                    "target" => %pool.replica.spec.id, "error" => %error);
                return None;
            }
            Err(_) => {
                debug!(self.context.log, "relay: no connection to a target in time";
                    "target" => %pool.replica.spec.id);
                return None;
            }
        };
        if let Err(error) = prepare_stream(&stream) {
            debug!(self.context.log, "relay: a connection has default options";
                "target" => %pool.replica.spec.id, "error" => %error);
        }
        self.made.update(|count| count + 1);
        let clock = self.context.clock;
        let link = Rc::new(TargetLink::new(stream, clock, self.context.names, clock.now()));
        pool.open.borrow_mut().push(Rc::clone(&link));
        let owner: Rc<dyn LinkOwner> = Rc::new(WeakOwner(Rc::downgrade(pool)));
        spawn_local(Rc::clone(&link).run(owner));
        Some(link)
    }
}

/// Keeps the task of a link from holding its pool.
struct WeakOwner(Weak<TargetPool>);

impl LinkOwner for WeakOwner {
    fn take_back(&self, link: Rc<TargetLink>) {
        match self.0.upgrade() {
            Some(pool) => pool.take_back(link),
            None => link.close(),
        }
    }

    fn forget(&self, link: &TargetLink) {
        if let Some(pool) = self.0.upgrade() {
            pool.forget(link);
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
    let trust = match link.keeps_for() {
        _ if !pool.replica.is_in_subset.get() => UNKEPT_TRUST,
        Some(keeps) => keeps.saturating_sub(IDLE_MARGIN),
        None => IDLE_TRUST,
    };
    if now.since(link.free_since.get()) > trust {
        link.close();
    }
}

fn prepare_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_LIMIT))
}
