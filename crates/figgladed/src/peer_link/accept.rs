//! Accepts connections and drops those that prove no key, take nothing or stay unused.

use std::{rc::Rc, sync::Arc, time::Duration};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
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

/// The wait after the system refused to hand out a connection.
const ACCEPT_RETRY_WAIT: Duration = Duration::from_millis(50);

/// How much longer an accepted connection may stay unused than one that this side made, so that
/// the side that knows closes first.
const IDLE_FACTOR: u32 = 2;

/// How often a connection is looked at within the time of a stall.
const CHECKS_PER_STALL: u32 = 4;

/// A connection that was accepted and has not proved a key.
pub(super) struct AcceptedConnection {
    /// The connection, not bound to the runtime of any thread.
    pub(super) stream: std::net::TcpStream,
    /// Counts the connection among the accepted ones until it is closed.
    pub(super) connection_permit: OwnedSemaphorePermit,
    /// Counts the connection among the unproved ones until it proves a key.
    pub(super) unproved_permit: OwnedSemaphorePermit,
}

/// Hands accepted connections to the threads in turn.
pub(super) struct PeerAcceptor {
    pub(super) listener: TcpListener,
    pub(super) threads: Vec<mpsc::Sender<ThreadCommand>>,
    pub(super) connections: Arc<Semaphore>,
    pub(super) unproved: Arc<Semaphore>,
    pub(super) traffic: Arc<TrafficCounters>,
}

impl PeerAcceptor {
    /// Accepts connections for as long as the thread runs.
    pub(super) async fn run(self) {
        for thread in self.threads.iter().cycle() {
            let stream = loop {
                match self.listener.accept().await {
                    Ok((stream, _)) => break stream,
                    Err(_) => sleep(ACCEPT_RETRY_WAIT).await,
                }
            };
            let handed = self
                .admit(stream)
                .is_some_and(|accepted| thread.try_send(ThreadCommand::Accept(accepted)).is_ok());
            if !handed {
                self.traffic.connections_refused.add(1);
            }
        }
    }

    /// Counts a connection, or drops it when there are too many.
    fn admit(&self, stream: TcpStream) -> Option<AcceptedConnection> {
        let connection_permit = Arc::clone(&self.connections).try_acquire_owned().ok()?;
        let unproved_permit = Arc::clone(&self.unproved).try_acquire_owned().ok()?;
        stream.set_nodelay(true).ok()?;
        let stream = stream.into_std().ok()?;
        Some(AcceptedConnection { stream, connection_permit, unproved_permit })
    }
}

/// Serves an accepted connection until it is lost or must be dropped.
pub(super) async fn serve_connection(context: Rc<LinkContext>, accepted: AcceptedConnection) {
    let AcceptedConnection { stream, connection_permit, unproved_permit } = accepted;
    let Ok(stream) = TcpStream::from_std(stream) else { return };
    let guard = StreamGuard::for_acceptor(context.limits.max_calls);
    let (reader, writer) = split_stream(stream, context.traffic.clone(), &guard);
    let network = VatNetwork::new(reader, writer, Side::Server, codec::reader_options());
    let server = PeerGateServer::new(Rc::clone(&context), Rc::clone(&guard), unproved_permit);
    let gate: peer_gate::Client = capnp_rpc::new_client(server);
    let mut system = RpcSystem::new(Box::new(network), Some(gate.client));
    system.set_background_error_handler(|_| {});
    tokio::select! {
        _ = system => {}
        () = watch_connection(&context, &guard) => {}
    }
    if guard.is_proved() {
        context.traffic.connections_closed.add(1);
    } else {
        context.traffic.connections_refused.add(1);
    }
    drop(connection_permit);
}

/// Returns when a connection must be dropped.
async fn watch_connection(context: &LinkContext, guard: &StreamGuard) {
    let limits = &context.limits;
    sleep(limits.handshake_timeout).await;
    if !guard.is_proved() {
        return;
    }
    loop {
        let now = Instant::now();
        if guard.is_stalled(now, limits.stall_timeout) {
            return context.traffic.connections_stalled.add(1);
        }
        if guard.is_idle(now, limits.idle_timeout * IDLE_FACTOR) {
            return;
        }
        sleep(limits.stall_timeout / CHECKS_PER_STALL).await;
    }
}
