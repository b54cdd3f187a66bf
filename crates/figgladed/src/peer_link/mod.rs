//! Links to other instances over capnp-rpc on TCP.
//!
//! Each instance connects to a peer when it has something to send and closes the connection when
//! it stays unused. Both sides prove that they hold the peer key before anything else is
//! reachable. Urgent frames and bulk travel on connections of their own. The RPC system cannot
//! move between threads, so links run on two threads of their own; `docs/design/peer-links.md`
//! gives the reasons and the bounds.

mod accept;
mod auth;
mod codec;
mod dial;
mod gate;
mod generated;
mod link;
mod options;
mod queue;
mod stream;
mod table;
mod thread;
mod traffic;
mod types;

use std::{net::SocketAddr, sync::Arc, time::Duration};

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
    auth::LinkKeys,
    queue::{DeliveryMark, OutboundCall},
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

/// The names of the threads, one for each lane.
const THREAD_NAMES: [&str; 2] = ["peer-urgent", "peer-bulk"];

/// The links and connections that wait for a thread to take them.
const MAX_WAITING_COMMANDS: usize = 4_096;

/// Exchanges frames with other instances.
pub struct PeerTransport {
    handle: PeerHandle,
    address: SocketAddr,
    /// Stops the threads; dropping it does so too.
    stop: watch::Sender<bool>,
    done: Vec<oneshot::Receiver<()>>,
}

impl PeerTransport {
    /// Listens for peers and starts the threads. Calls of `handler` run on the present runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on or a thread cannot be started.
    pub async fn start(
        options: PeerOptions,
        handler: Arc<dyn PeerHandler>,
        logger: slog::Logger,
    ) -> Result<Self, PeerLinkError> {
        let (listener, address) = listen(options.listen).await?;
        let traffic = Arc::new(TrafficCounters::default());
        let (senders, receivers): (Vec<_>, Vec<_>) =
            THREAD_NAMES.iter().map(|_| mpsc::channel(MAX_WAITING_COMMANDS)).unzip();
        let table =
            Arc::new(LinkTable::new(&options.limits, senders.clone(), Arc::clone(&traffic)));
        let (stop, stopped) = watch::channel(false);
        let acceptor = PeerAcceptor {
            listener,
            threads: senders,
            connections: Arc::new(Semaphore::new(options.limits.max_inbound_connections)),
            unproved: Arc::new(Semaphore::new(options.limits.max_unauthenticated)),
            traffic: Arc::clone(&traffic),
        };
        let context = LinkContext {
            id: options.id,
            incarnation: options.incarnation,
            address: options.advertise.unwrap_or(address),
            keys: LinkKeys::new(options.keys.as_ref()),
            clock: options.clock,
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

    /// Returns what the transport did since its start.
    pub fn traffic(&self) -> PeerTraffic {
        self.handle.traffic()
    }

    /// Sends what waits, for a second at most, then closes every connection.
    pub async fn close(self) {
        self.handle.table.close();
        self.stop.send_replace(true);
        for done in self.done {
            // The sender is dropped when the thread panicked; it is done then as well.
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
    /// Sends a call to the peer at `to` and waits at most `timeout` for the answer.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer; the error tells whether the peer may have handled the call.
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
        let mark = Arc::new(DeliveryMark::default());
        let (reply, answer) = oneshot::channel();
        self.table.push_call(to, OutboundCall { frame, deadline, mark: Arc::clone(&mark), reply });
        match timeout_at(deadline, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) if mark.try_cancel() => Err(PeerCallError::NotSent(NotSentReason::Closed)),
            Ok(Err(_)) => Err(PeerCallError::Unknown(UnknownReason::Lost)),
            Err(_) if mark.try_cancel() => Err(PeerCallError::NotSent(NotSentReason::TimedOut)),
            Err(_) => Err(PeerCallError::Unknown(UnknownReason::TimedOut)),
        }
    }

    /// Returns what the transport did since its start.
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

/// Listens for peers.
async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), PeerLinkError> {
    let describe =
        |error: std::io::Error| PeerLinkError::Listen { address, reason: error.to_string() };
    let listener = TcpListener::bind(address).await.map_err(describe)?;
    let bound = listener.local_addr().map_err(describe)?;
    Ok((listener, bound))
}
