//! Accepts connections and closes those that fail to authenticate, stall or stay idle.

use std::{rc::Rc, sync::Arc, time::Duration};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc},
    time::{Instant, sleep},
};

use super::{
    codec,
    gate::PeerGateServer,
    generated::peer_capnp::peer_gate,
    stream::{StreamGuard, split_stream},
    thread::{LinkContext, ThreadCommand},
    traffic::TrafficCounters,
};

/// The delay before the next `accept` after an error of the operating system.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The factor by which the idle timeout of an accepted connection exceeds that of an outgoing one,
/// so that the dialer, which knows whether more frames are queued, closes first.
const INBOUND_IDLE_FACTOR: u32 = 2;

/// How often a connection is checked within one stall timeout.
const CHECKS_PER_STALL_TIMEOUT: u32 = 4;

/// An accepted connection that has not authenticated.
pub(super) struct AcceptedConnection {
    /// The connection, not registered with the Tokio runtime of any thread.
    pub(super) stream: std::net::TcpStream,
    /// Counts towards the limit of accepted connections until the connection is closed.
    pub(super) connection_permit: OwnedSemaphorePermit,
    /// Counts towards the limit of unauthenticated connections until the peer authenticates.
    pub(super) unauthenticated_permit: OwnedSemaphorePermit,
}

/// Distributes accepted connections over the link threads in round-robin order.
pub(super) struct PeerAcceptor {
    pub(super) listener: TcpListener,
    pub(super) threads: Vec<mpsc::Sender<ThreadCommand>>,
    pub(super) connections: Arc<Semaphore>,
    pub(super) unauthenticated: Arc<Semaphore>,
    pub(super) traffic: Arc<TrafficCounters>,
}

impl PeerAcceptor {
    /// Accepts connections until the task is dropped.
    pub(super) async fn run(self) {
        for thread in self.threads.iter().cycle() {
            let stream = loop {
                match self.listener.accept().await {
                    Ok((stream, _)) => break stream,
                    Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
                }
            };
            let is_queued = self
                .admit(stream)
                .is_some_and(|accepted| thread.try_send(ThreadCommand::Accept(accepted)).is_ok());
            if !is_queued {
                self.traffic.connections_refused.add(1);
            }
        }
    }

    /// Acquires the permits of a connection; returns `None` when a limit is reached or the socket
    /// cannot be set up.
    fn admit(&self, stream: TcpStream) -> Option<AcceptedConnection> {
        let connection_permit = Arc::clone(&self.connections).try_acquire_owned().ok()?;
        let unauthenticated_permit = Arc::clone(&self.unauthenticated).try_acquire_owned().ok()?;
        stream.set_nodelay(true).ok()?;
        let stream = stream.into_std().ok()?;
        Some(AcceptedConnection { stream, connection_permit, unauthenticated_permit })
    }
}

/// Serves an accepted connection until it is lost, replaced, stalled or idle.
pub(super) async fn serve_connection(context: Rc<LinkContext>, accepted: AcceptedConnection) {
    let AcceptedConnection { stream, connection_permit, unauthenticated_permit } = accepted;
    let Ok(stream) = TcpStream::from_std(stream) else { return };
    let guard = StreamGuard::for_acceptor(context.limits.max_calls);
    let (reader, writer) = split_stream(stream, context.traffic.clone(), &guard);
    let network = VatNetwork::new(reader, writer, Side::Server, codec::reader_options());
    let replaced = Arc::new(Notify::new());
    let server = PeerGateServer::new(
        Rc::clone(&context),
        Rc::clone(&guard),
        unauthenticated_permit,
        Arc::clone(&replaced),
    );
    let gate: peer_gate::Client = capnp_rpc::new_client(server);
    let mut system = RpcSystem::new(Box::new(network), Some(gate.client));
    system.set_background_error_handler(|_| {});
    tokio::select! {
        _ = system => {}
        () = watch_connection(&context, &guard) => {}
        () = replaced.notified() => {}
    }
    if guard.is_authenticated() {
        context.traffic.connections_closed.add(1);
    } else {
        context.traffic.connections_refused.add(1);
    }
    drop(connection_permit);
}

/// Returns when a connection must be closed: it did not authenticate in time, stalled or is idle.
async fn watch_connection(context: &LinkContext, guard: &StreamGuard) {
    let limits = &context.limits;
    sleep(limits.handshake_timeout).await;
    if !guard.is_authenticated() {
        return;
    }
    loop {
        let now = Instant::now();
        if guard.is_stalled(now, limits.stall_timeout) {
            return context.traffic.connections_stalled.add(1);
        }
        if guard.is_idle(now, limits.idle_timeout * INBOUND_IDLE_FACTOR) {
            return;
        }
        sleep(limits.stall_timeout / CHECKS_PER_STALL_TIMEOUT).await;
    }
}
