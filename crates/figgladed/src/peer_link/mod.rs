//! Links to other instances over capnp-rpc on TCP.
//!
//! An instance connects to a peer on demand, when it has something to send, and closes the
//! connection after an idle timeout. The two sides authenticate each other with the peer key before
//! any other operation is available. Urgent frames and bulk frames use separate connections. The
//! RPC system is not `Send`, so links run on two dedicated threads; `docs/design/peer-links.md`
//! explains the design and its bounds.

mod accept;
mod auth;
mod codec;
mod connection;
mod dial;
mod gate;
mod generated;
mod link;
mod options;
mod queue;
mod roster;
mod stream;
mod table;
mod thread;
mod traffic;
mod types;

use std::{cell::Cell, net::SocketAddr, sync::Arc, time::Duration};

use figglade::{
    border::PeerLink,
    peer::{MAX_FRAME_BYTES, PeerFrame},
};
use tokio::{
    net::TcpListener,
    runtime,
    sync::{Semaphore, mpsc, oneshot, watch},
    time::{Instant, timeout_at},
};

use self::{
    accept::PeerAcceptor,
    auth::PeerKeys,
    queue::{CallState, OutboundCall},
    roster::ConnectionRoster,
    table::LinkTable,
    thread::{LinkContext, spawn_link_thread},
    traffic::TrafficCounters,
};

pub use self::{
    options::{MIN_PROTOCOL_VERSION, PROTOCOL_VERSION, PeerLimits, PeerOptions, VersionRange},
    traffic::PeerTraffic,
    types::{
        CallRefusal, NotSentReason, PeerCallError, PeerHandler, PeerLinkError, PeerSender,
        StampClock, UnknownReason,
    },
};

/// The names of the link threads, one per lane.
const THREAD_NAMES: [&str; 2] = ["peer-urgent", "peer-bulk"];

/// The commands that may wait for a link thread: new links and accepted connections.
const MAX_QUEUED_COMMANDS: usize = 4_096;

/// Exchanges frames with other instances.
pub struct PeerTransport {
    handle: PeerHandle,
    address: SocketAddr,
    /// Signals the threads to stop; dropping it stops them as well.
    stop: watch::Sender<bool>,
    /// Resolves when a thread has ended, one receiver per thread.
    done: Vec<oneshot::Receiver<()>>,
}

impl PeerTransport {
    /// Listens for peers and starts the link threads. Calls are handled on the current Tokio
    /// runtime.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be bound or a thread cannot be spawned.
    pub async fn start(
        options: PeerOptions,
        handler: Arc<dyn PeerHandler>,
        logger: slog::Logger,
    ) -> Result<Self, PeerLinkError> {
        let (listener, address) = listen(options.listen).await?;
        let traffic = Arc::new(TrafficCounters::default());
        let (senders, receivers): (Vec<_>, Vec<_>) =
            THREAD_NAMES.iter().map(|_| mpsc::channel(MAX_QUEUED_COMMANDS)).unzip();
        let table =
            Arc::new(LinkTable::new(&options.limits, senders.clone(), Arc::clone(&traffic)));
        let (stop, stopped) = watch::channel(false);
        let acceptor = PeerAcceptor {
            listener,
            threads: senders,
            connections: Arc::new(Semaphore::new(options.limits.max_inbound_connections)),
            unauthenticated: Arc::new(Semaphore::new(options.limits.max_unauthenticated)),
            traffic: Arc::clone(&traffic),
        };
        let context = LinkContext {
            id: options.id,
            incarnation: options.incarnation,
            address: options.advertise.unwrap_or(address),
            keys: PeerKeys::new(options.keys.as_ref()),
            clock: options.clock,
            roster: Arc::new(ConnectionRoster::new(options.limits.max_connections_per_peer)),
            last_refusal_log: Cell::new(None),
            versions: options.versions,
            limits: options.limits,
            handler,
            table: Arc::clone(&table),
            traffic: Arc::clone(&traffic),
            runtime: runtime::Handle::current(),
            stop: stopped,
            logger,
        };
        let mut acceptor = Some(acceptor);
        let mut done = Vec::new();
        for (name, commands) in THREAD_NAMES.into_iter().zip(receivers) {
            done.push(spawn_link_thread(name, context.clone(), commands, acceptor.take())?);
        }
        Ok(Self { handle: PeerHandle { table, traffic }, address, stop, done })
    }

    /// Returns the address the transport listens on.
    pub const fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that sends frames and calls until the transport is closed.
    pub fn handle(&self) -> PeerHandle {
        self.handle.clone()
    }

    /// Sends a call as [`PeerHandle::call`] does.
    ///
    /// # Errors
    ///
    /// Fails as [`PeerHandle::call`] does.
    pub async fn call(
        &self,
        to: SocketAddr,
        frame: PeerFrame,
        timeout: Duration,
    ) -> Result<PeerFrame, PeerCallError> {
        self.handle.call(to, frame, timeout).await
    }

    /// Returns the counters of the transport since its start.
    pub fn traffic(&self) -> PeerTraffic {
        self.handle.traffic()
    }

    /// Sends the queued frames for at most one second, then closes every connection.
    pub async fn close(self) {
        self.handle.table.close();
        self.stop.send_replace(true);
        for done in self.done {
            // An error means that the thread panicked and dropped the sender, so it has ended too.
            let _ = done.await;
        }
    }
}

impl PeerLink for PeerTransport {
    fn send(&self, address: SocketAddr, frame: PeerFrame) {
        self.handle.send(address, frame);
    }
}

/// Sends frames and calls to other instances.
#[derive(Clone)]
pub struct PeerHandle {
    table: Arc<LinkTable>,
    traffic: Arc<TrafficCounters>,
}

impl PeerHandle {
    /// Sends a call to the peer at `to` and waits for the answer for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Fails when no answer arrives; the error tells whether the peer may have handled the call.
    pub async fn call(
        &self,
        to: SocketAddr,
        frame: PeerFrame,
        timeout: Duration,
    ) -> Result<PeerFrame, PeerCallError> {
        if frame.payload.len() > MAX_FRAME_BYTES {
            return Err(PeerCallError::NotSent(NotSentReason::TooLarge));
        }
        let deadline = Instant::now() + timeout;
        let state = Arc::new(CallState::default());
        let (reply, answer) = oneshot::channel();
        self.table
            .push_call(to, OutboundCall { frame, deadline, state: Arc::clone(&state), reply });
        match timeout_at(deadline, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) if state.try_cancel() => Err(PeerCallError::NotSent(NotSentReason::Closed)),
            Ok(Err(_)) => Err(PeerCallError::Unknown(UnknownReason::Lost)),
            Err(_) if state.try_cancel() => Err(PeerCallError::NotSent(NotSentReason::TimedOut)),
            Err(_) => Err(PeerCallError::Unknown(UnknownReason::TimedOut)),
        }
    }

    /// Returns the counters of the transport since its start.
    pub fn traffic(&self) -> PeerTraffic {
        self.traffic.snapshot()
    }
}

impl PeerLink for PeerHandle {
    fn send(&self, address: SocketAddr, frame: PeerFrame) {
        if frame.payload.len() > MAX_FRAME_BYTES {
            return self.traffic.frames_dropped.add(1);
        }
        self.table.push_frame(address, frame);
    }
}

/// Binds the listener and returns it with the address it is bound to.
async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), PeerLinkError> {
    let describe =
        |error: std::io::Error| PeerLinkError::Listen { address, reason: error.to_string() };
    let listener = TcpListener::bind(address).await.map_err(describe)?;
    let bound = listener.local_addr().map_err(describe)?;
    Ok((listener, bound))
}
