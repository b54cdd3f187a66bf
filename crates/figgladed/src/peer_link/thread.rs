//! The threads that run links. The RPC system is not `Send`, so each connection stays on one thread.

use std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use figglade::{Incarnation, InstanceId};
use tokio::{
    runtime,
    sync::{mpsc, oneshot, watch},
    task::{JoinSet, LocalSet},
    time::{Instant, timeout},
};

use super::{
    accept::{AcceptedConnection, PeerAcceptor, serve_connection},
    auth::{PeerIdentity, PeerKeys},
    codec,
    generated::peer_capnp::stamp,
    link::PeerLinkTask,
    options::{PeerLimits, VersionRange},
    queue::OutboundQueue,
    roster::ConnectionRoster,
    table::{LinkKey, LinkTable},
    traffic::TrafficCounters,
    types::{PeerHandler, PeerLinkError, StampClock},
};

/// How long closing waits for queued frames to be sent.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The minimum interval between two log lines about refused connections.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A command to a link thread.
pub(super) enum ThreadCommand {
    /// Runs the task of a new link.
    Dial {
        /// The key of the link.
        key: LinkKey,
        /// The queue of the link.
        queue: Arc<OutboundQueue>,
    },
    /// Serves an accepted connection.
    Accept(AcceptedConnection),
}

/// The context that all links and connections of a thread share.
#[derive(Clone)]
pub(super) struct LinkContext {
    pub(super) id: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) address: SocketAddr,
    pub(super) keys: PeerKeys,
    pub(super) clock: Option<Arc<dyn StampClock>>,
    pub(super) versions: VersionRange,
    pub(super) limits: PeerLimits,
    pub(super) handler: Arc<dyn PeerHandler>,
    pub(super) table: Arc<LinkTable>,
    pub(super) roster: Arc<ConnectionRoster>,
    pub(super) traffic: Arc<TrafficCounters>,
    pub(super) runtime: runtime::Handle,
    pub(super) stop: watch::Receiver<bool>,
    pub(super) logger: slog::Logger,
    /// When this thread last logged a refusal.
    pub(super) last_refusal_log: Cell<Option<Instant>>,
}

impl LinkContext {
    /// Builds the identity of this instance with a new nonce.
    pub(super) fn make_identity(&self) -> PeerIdentity {
        PeerIdentity {
            id: self.id.clone(),
            incarnation: self.incarnation,
            address: self.address,
            nonce: rand::random(),
        }
    }

    /// Stamps an outgoing message, if there is a clock.
    pub(super) fn write_stamp(&self, builder: stamp::Builder<'_>) {
        if let Some(clock) = &self.clock {
            codec::write_stamp(builder, clock.stamp());
        }
    }

    /// Advances the clock past the stamp of a received message. A message without a stamp holds
    /// zeros, which do not advance the clock.
    pub(super) fn observe_stamp(&self, reader: capnp::Result<stamp::Reader<'_>>) {
        if let (Some(clock), Ok(reader)) = (&self.clock, reader) {
            clock.observe(codec::read_stamp(reader));
        }
    }

    /// Logs a refused connection; the rate is limited so that unauthenticated peers cannot flood
    /// the log.
    pub(super) fn log_refusal(&self, reason: &str) {
        let now = Instant::now();
        let recent = |last: Instant| now.duration_since(last) < REFUSAL_LOG_INTERVAL;
        if !self.last_refusal_log.get().is_some_and(recent) {
            self.last_refusal_log.set(Some(now));
            slog::warn!(self.logger, "peer: refused a connection: {reason}");
        }
    }

    /// Returns whether the transport is closing.
    pub(super) fn is_closing(&self) -> bool {
        *self.stop.borrow() || self.stop.has_changed().is_err()
    }
}

/// Spawns a thread that runs links until the transport is closed; the returned receiver resolves
/// when the thread is done.
pub(super) fn spawn_link_thread(
    name: &str,
    context: LinkContext,
    commands: mpsc::Receiver<ThreadCommand>,
    acceptor: Option<PeerAcceptor>,
) -> Result<oneshot::Receiver<()>, PeerLinkError> {
    let describe = |error: std::io::Error| PeerLinkError::Thread { reason: error.to_string() };
    let runtime = runtime::Builder::new_current_thread().enable_all().build().map_err(describe)?;
    let (done_sender, done) = oneshot::channel();
    let run = move || {
        let local = LocalSet::new();
        local.block_on(&runtime, run_commands(Rc::new(context), commands, acceptor));
        drop(local);
        // The transport may have been dropped without being closed.
        let _ = done_sender.send(());
    };
    std::thread::Builder::new().name(name.to_owned()).spawn(run).map_err(describe)?;
    Ok(done)
}

/// Runs links and connections until the transport is closed.
async fn run_commands(
    context: Rc<LinkContext>,
    mut commands: mpsc::Receiver<ThreadCommand>,
    acceptor: Option<PeerAcceptor>,
) {
    let mut links = JoinSet::new();
    let mut connections = JoinSet::new();
    let mut acceptors = JoinSet::new();
    if let Some(acceptor) = acceptor {
        acceptors.spawn_local(acceptor.run());
    }
    let mut stop = context.stop.clone();
    loop {
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => break,
            Some(command) = commands.recv() => match command {
                ThreadCommand::Dial { key, queue } => start_link(&mut links, &context, key, queue),
                ThreadCommand::Accept(accepted) => {
                    connections.spawn_local(serve_connection(Rc::clone(&context), accepted));
                }
            },
            Some(_) = links.join_next() => {}
            Some(_) = connections.join_next() => {}
        }
    }
    drop(acceptors);
    context.table.close();
    while let Ok(command) = commands.try_recv() {
        if let ThreadCommand::Dial { key, queue } = command {
            start_link(&mut links, &context, key, queue);
        }
    }
    // Delivery of frames is best effort: those not sent in time are lost.
    let _ = timeout(CLOSE_TIMEOUT, async { while links.join_next().await.is_some() {} }).await;
}

/// Spawns the task of a link.
fn start_link(
    links: &mut JoinSet<()>,
    context: &Rc<LinkContext>,
    key: LinkKey,
    queue: Arc<OutboundQueue>,
) {
    let task = PeerLinkTask::new(Rc::clone(context), key, queue);
    links.spawn_local(task.run());
}
