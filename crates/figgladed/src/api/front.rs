//! The listener of the HTTP interface.
//!
//! The server behind it collects a body for each request and accepts any number of connections. The front
//! therefore reads the requests, bounds what is held for them, and passes complete ones on over loopback.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, thread, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use figglade::{
    FileLimit, MemorySize,
    controller::route_set::CallerLimits,
    filter::intake::IntakeLimits,
    wire::{ActionOutcome, ErrorBody},
};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use slog::{Logger, warn};
use tokio::{
    net::TcpListener,
    runtime,
    sync::oneshot,
    task::{LocalSet, spawn_local},
};

use crate::{
    clock::ProcessClock,
    http1::{
        HeaderField, HttpError, HttpHandler, HttpRequest, HttpResponse, HttpServer, IntakeControl,
        LocalFuture, ServerPhase, ShutdownSignal, is_hop_by_hop_header, text_field,
    },
    sockets,
};

/// How long an idle connection to the server is kept; well below the time after which the server closes
/// it, which could meet a request.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest wait for the requests in progress when the front closes; longer than any deadline.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(120);
/// Requests in progress take two descriptors each beside that of their connection, and connections may
/// take a quarter of the descriptors, so that requests may be this part of them.
const ACTIVE_FILE_DIVISOR: u32 = 8;
/// The time after which a caller whose request finds no place is asked to retry, in seconds.
const RETRY_AFTER: &str = "1";

/// The bounds on what the HTTP interface holds.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{intake}, {max_active} requests in progress")]
pub struct FrontLimits {
    /// The bounds on connections and their bytes.
    intake: IntakeLimits,
    /// The maximum number of requests in progress.
    max_active: usize,
    /// The maximum size of a request body, in bytes.
    max_body_bytes: usize,
}

impl FrontLimits {
    /// Creates the bounds of a process that may use `memory` and `files`.
    pub fn new(memory: MemorySize, files: FileLimit, max_body_bytes: usize) -> Self {
        let shared = FileLimit::new(files.get() / 2);
        let intake = IntakeLimits::new(memory, shared).with_receive_buffers(memory);
        let max_active = (files.get() / ACTIVE_FILE_DIVISOR).max(1) as usize;
        Self { intake, max_active, max_body_bytes }
    }

    /// Returns the maximum size of a request body, in bytes.
    pub const fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }
}

/// The running front, with a thread of its own.
#[derive(Debug)]
pub struct ApiFront {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    ended: oneshot::Receiver<()>,
}

impl ApiFront {
    /// Listens on `address` and passes requests on to `server`. It must be called within a runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn start(
        address: SocketAddr,
        server: SocketAddr,
        limits: FrontLimits,
        clock: ProcessClock,
        log: &Logger,
    ) -> io::Result<Self> {
        let listener = sockets::listen(address, &limits.intake, log)?;
        let address = listener.local_addr()?;
        let listener = listener.into_std()?;
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let ((stop, stopped), (end, ended)) = (oneshot::channel(), oneshot::channel());
        let log = log.clone();
        thread::Builder::new().name("api-front".to_owned()).spawn(move || {
            let serving = serve(listener, server, limits, clock, log.clone(), stopped);
            if let Err(error) = LocalSet::new().block_on(&runtime, serving) {
                warn!(log, "api: the HTTP interface cannot be served"; "error" => %error);
            }
            // Nobody waits for it if the front was dropped.
            let _ = end.send(());
        })?;
        Ok(Self { address, stop, ended })
    }

    /// Returns the address on which it listens.
    pub const fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Completes the requests that are being read or handled, and stops listening.
    pub async fn close(self) {
        // Errors mean that the thread has already ended.
        let _ = self.stop.send(());
        let _ = self.ended.await;
    }
}

/// Serves until `stopped` is sent or dropped.
async fn serve(
    listener: std::net::TcpListener,
    server: SocketAddr,
    limits: FrontLimits,
    clock: ProcessClock,
    log: Logger,
    stopped: oneshot::Receiver<()>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let switch = Rc::<ShutdownSignal>::default();
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .build(connector);
    let handler = FrontHandler { client, server, limits, active: Cell::new(0), log: log.clone() };
    let intake = Rc::new(IntakeControl::new(limits.intake, clock, log.clone()));
    let http =
        HttpServer { listener, handler: Rc::new(handler), intake, switch: Rc::clone(&switch), log };
    spawn_local(http.run());
    // An error means that the front was dropped without being closed.
    if stopped.await.is_ok() {
        switch.advance(ServerPhase::Finishing);
        switch.close_when_idle(CLOSE_TIMEOUT).await;
    }
    Ok(())
}

/// Passes requests on to the server.
struct FrontHandler {
    client: Client<HttpConnector, Full<Bytes>>,
    server: SocketAddr,
    limits: FrontLimits,
    active: Cell<usize>,
    log: Logger,
}

/// Counts a request in progress.
struct ActiveRequest<'a>(&'a Cell<usize>);

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.update(|count| count - 1);
    }
}

impl FrontHandler {
    async fn forward(&self, request: HttpRequest) -> HttpResponse {
        if self.active.get() >= self.limits.max_active {
            let message = "too many requests are in progress";
            return refuse_with(503, "unavailable", message, ActionOutcome::Unknown)
                .with(text_field("retry-after", RETRY_AFTER));
        }
        self.active.update(|count| count + 1);
        let _active = ActiveRequest(&self.active);
        let request = match self.build_request(request) {
            Ok(request) => request,
            Err(error) => {
                return refuse_with(400, "bad_request", &error.to_string(), ActionOutcome::NotRun);
            }
        };
        // Dropping the call when the caller disconnects closes the connection, which cancels the handler.
        match self.call(request).await {
            Ok(response) => response,
            Err(error) => {
                warn!(self.log, "api: a request was not answered"; "error" => &error);
                refuse_with(502, "unavailable", &error, ActionOutcome::Unknown)
            }
        }
    }

    fn build_request(&self, request: HttpRequest) -> http::Result<http::Request<Full<Bytes>>> {
        let HttpRequest { head, body, .. } = request;
        let target = String::from_utf8_lossy(&head.target);
        let mut builder = http::Request::builder()
            .method(&head.method[..])
            .uri(format!("http://{}{target}", self.server));
        for field in &head.headers.0 {
            if !head.headers.is_hop_by_hop_field(field) {
                builder = builder.header(&field.name[..], &field.value[..]);
            }
        }
        builder.body(Full::new(body))
    }

    async fn call(&self, request: http::Request<Full<Bytes>>) -> Result<HttpResponse, String> {
        let response = self.client.request(request).await.map_err(|error| error.to_string())?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
        let fields = head.headers.iter().filter(|(name, _)| !is_hop_by_hop_header(name.as_ref()));
        let headers = fields.map(|(name, value)| HeaderField {
            name: Bytes::copy_from_slice(name.as_ref()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
        Ok(HttpResponse { status: head.status.as_u16(), headers: headers.collect(), body })
    }
}

impl HttpHandler for FrontHandler {
    fn handle(&self, request: HttpRequest) -> LocalFuture<'_, HttpResponse> {
        Box::pin(self.forward(request))
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits { body_bytes: self.limits.max_body_bytes, ..CallerLimits::default() }
    }

    fn refuse(&self, error: &HttpError) -> HttpResponse {
        let (code, outcome) = match error {
            // Another copy of an action may run elsewhere under the same identifier.
            HttpError::NoRoom => ("unavailable", ActionOutcome::Unknown),
            HttpError::GivenUp
            | HttpError::HeadTimedOut
            | HttpError::BodyTimedOut
            | HttpError::Truncated => ("bad_request", ActionOutcome::Unknown),
            HttpError::BodyTooLarge => ("body_too_large", ActionOutcome::NotRun),
            _ => ("bad_request", ActionOutcome::NotRun),
        };
        refuse_with(error.status(), code, &error.to_string(), outcome)
    }
}

fn refuse_with(status: u16, code: &str, message: &str, outcome: ActionOutcome) -> HttpResponse {
    let body = ErrorBody {
        error_code: code.to_owned(),
        message: message.to_owned(),
        field: None,
        outcome,
    };
    // A struct of texts always serializes.
    HttpResponse::json(status, serde_json::to_vec(&body).unwrap_or_default())
}
