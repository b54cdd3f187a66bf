//! Accepts connections of a stand-in target and serves HTTP on them.

use std::{
    future::poll_fn,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use super::{
    core::{StandInCore, count},
    service::{ServiceEnd, StandInService},
};

/// The pause after a failed accept, such as when no file handle is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Which listener a connection came in on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// The listener for instances, under the connection cap.
    Target,
    /// The listener for test control, outside the cap.
    Control,
}

/// Accepts connections until the target is killed.
pub(super) async fn run_listener(
    listener: TcpListener,
    service: Arc<StandInService>,
    kind: ListenerKind,
) {
    let mut killed = service.core().killed.subscribe();
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = killed.wait_for(|killed| *killed) => break,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if let Some(guard) = ConnectionGuard::admit(service.core(), kind) {
            connections.spawn(serve_connection(stream, Arc::clone(&service), guard));
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
struct ConnectionGuard {
    core: Arc<StandInCore>,
    kind: ListenerKind,
}

impl ConnectionGuard {
    /// Admits a connection unless the cap is reached.
    fn admit(core: &Arc<StandInCore>, kind: ListenerKind) -> Option<Self> {
        if kind == ListenerKind::Control {
            return Some(Self { core: Arc::clone(core), kind });
        }
        let counters = &core.counters;
        let open = counters.connections_open.fetch_add(1, Ordering::SeqCst) + 1;
        let guard = Self { core: Arc::clone(core), kind };
        if open > u64::from(core.settings.connections) {
            count(&counters.connections_refused);
            return None;
        }
        counters.connections_max.fetch_max(open, Ordering::SeqCst);
        count(&counters.connections_accepted);
        Some(guard)
    }

    /// Returns the time before the connection is served.
    fn connect_cost(&self) -> Duration {
        match self.kind {
            ListenerKind::Target => Duration::from_millis(self.core.settings.connect_cost_ms),
            ListenerKind::Control => Duration::ZERO,
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if self.kind == ListenerKind::Target {
            self.core.counters.connections_open.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

/// Serves one connection until it ends or the target is killed.
async fn serve_connection(stream: TcpStream, service: Arc<StandInService>, guard: ConnectionGuard) {
    let mut killed = service.core().killed.subscribe();
    tokio::select! {
        () = serve_requests(stream, Arc::clone(&service), guard.connect_cost()) => {}
        _ = killed.wait_for(|killed| *killed) => {}
    }
}

/// Serves requests, then ends the connection in the way the last one asked for.
async fn serve_requests(stream: TcpStream, service: Arc<StandInService>, cost: Duration) {
    let peer: Option<SocketAddr> = stream.peer_addr().ok();
    if peer.is_none() || stream.set_nodelay(true).is_err() {
        return;
    }
    tokio::time::sleep(cost).await;
    let end = Arc::new(Mutex::new(None));
    let handler = service_fn(|request: Request<Incoming>| {
        let service = Arc::clone(&service);
        let end = Arc::clone(&end);
        Box::pin(async move {
            service.handle(request).await.inspect_err(|reason| *end.lock() = Some(reason.clone()))
        })
    });
    let mut connection = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
    let result = poll_fn(|context| connection.poll_without_shutdown(context)).await;
    let stream = connection.into_parts().io.into_inner();
    let end = end.lock().take();
    match (result, end) {
        (_, Some(ServiceEnd::Raw(bytes))) => write_raw(stream, bytes).await,
        (Err(_), _) | (_, Some(ServiceEnd::Reset)) => reset_stream(&stream),
        (Ok(()), None) => {}
    }
}

/// Writes bytes that no HTTP library would write, then closes.
async fn write_raw(mut stream: TcpStream, bytes: Bytes) {
    if stream.write_all(&bytes).await.is_ok() {
        let _ = stream.shutdown().await;
    }
}

/// Makes the close of a stream a reset.
fn reset_stream(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}
