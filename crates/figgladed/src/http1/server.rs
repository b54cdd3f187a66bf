//! An HTTP server that handles its connections on the thread it runs on.

use std::{cell::Cell, future::Future, io, io::IoSlice, pin::Pin, rc::Rc, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use figglade::{
    controller::route_set::CallerLimits,
    filter::intake::{IntakeStage, response_bytes, served_bytes},
};
use slog::{Logger, debug, warn};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::{spawn_local, yield_now},
    time::{Instant, sleep, timeout, timeout_at},
};

use super::{
    body::{BodyReader, frame_request},
    error::HttpError,
    head::RequestHead,
    intake::{ConnectionIntake, IntakeControl},
    message::{HttpRequest, HttpResponse, text_field},
    read::read_available,
};

/// The buffer capacity reserved for a read, in bytes.
const READ_BYTES: usize = 4_096;
/// The maximum number of bytes of one read. The bound on what is held for callers is checked after each
/// read, so that this is the most by which each connection exceeds it.
const MAX_READ_BYTES: usize = 16 << 10;
/// The maximum number of bytes read ahead while a request is handled.
const MAX_READ_AHEAD: usize = 64 << 10;
/// The time between two checks of whether there is room again to read ahead.
const READ_AHEAD_DELAY: Duration = Duration::from_millis(100);
/// The time limit for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection is still read after the server has closed its sending side. Closing it with
/// unread data would make the kernel reset it, and the response in flight would be lost.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The time limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The time after which a caller whose request finds no memory is asked to retry, in seconds. By then
/// the connections that take the memory have given way or timed out.
const NO_ROOM_RETRY_AFTER: &str = "1";
/// The time after which every connection has observed a change of the phase.
const PHASE_CHANGE_DELAY: Duration = Duration::from_millis(50);
/// The delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A boxed future that is not `Send`.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Handles requests.
pub trait HttpHandler {
    /// Handles a request. The future is dropped when the caller disconnects.
    fn handle(&self, request: HttpRequest) -> LocalFuture<'_, HttpResponse>;

    /// Returns the current limits on requests.
    fn limits(&self) -> CallerLimits;

    /// Returns the response to a request that was not read completely, so that it has not run.
    fn refuse(&self, error: &HttpError) -> HttpResponse {
        HttpResponse::text(error.status(), error.to_string())
    }
}

/// The phase of a server's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// Handles requests.
    Serving,
    /// Handles requests and closes each connection after its next response.
    Draining,
    /// Closes idle connections and completes the requests that are being read or handled, and those
    /// that still arrive.
    Finishing,
    /// Reads no further requests.
    Closed,
}

/// Shuts the servers of a process down phase by phase and counts their active requests.
#[derive(Debug)]
pub struct ShutdownSignal {
    phase: Cell<ServerPhase>,
    changed: Notify,
    active: Cell<usize>,
    idle: Notify,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self {
            phase: Cell::new(ServerPhase::Serving),
            changed: Notify::new(),
            active: Cell::new(0),
            idle: Notify::new(),
        }
    }
}

impl ShutdownSignal {
    /// Advances to a later phase; an earlier one is ignored.
    pub fn advance(&self, phase: ServerPhase) {
        if phase > self.phase.get() {
            self.phase.set(phase);
            self.changed.notify_waiters();
        }
    }

    /// Returns the phase.
    pub const fn phase(&self) -> ServerPhase {
        self.phase.get()
    }

    /// Returns the number of requests that are being read or handled.
    pub const fn active(&self) -> usize {
        self.active.get()
    }

    /// Waits until no request is being read or handled, at most for `limit`, and then reads no further
    /// requests. Connections first get the time to observe the phase, since bytes that were already
    /// read belong to a request.
    pub async fn close_when_idle(&self, limit: Duration) {
        let idle = async {
            sleep(PHASE_CHANGE_DELAY).await;
            while self.active.get() > 0 {
                self.idle.notified().await;
            }
        };
        // Requests still active after the limit end with the process, which logs them.
        let _ = timeout(limit, idle).await;
        self.advance(ServerPhase::Closed);
    }

    async fn wait_finishing(&self) {
        loop {
            let changed = self.changed.notified();
            if self.phase.get() >= ServerPhase::Finishing {
                return;
            }
            changed.await;
        }
    }
}

/// Counts a request as active from its first byte until its response is written.
struct ActiveGuard(Rc<ShutdownSignal>);

impl ActiveGuard {
    fn start(switch: &Rc<ShutdownSignal>) -> Self {
        switch.active.update(|count| count + 1);
        Self(Rc::clone(switch))
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.update(|count| count - 1);
        if self.0.active.get() == 0 {
            self.0.idle.notify_one();
        }
    }
}

/// Accepts connections for one handler.
pub struct HttpServer {
    /// The listening socket.
    pub listener: TcpListener,
    /// The handler of the requests.
    pub handler: Rc<dyn HttpHandler>,
    /// The accounts of what is held for callers.
    pub intake: Rc<IntakeControl>,
    /// The shutdown signal.
    pub switch: Rc<ShutdownSignal>,
    /// The log of the process.
    pub log: Logger,
}

impl HttpServer {
    /// Accepts connections until the process ends.
    pub async fn run(self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    if self.serve(stream) {
                        // Lets the connection that gives way close before the next one is accepted.
                        yield_now().await;
                    }
                }
                Err(error) => {
                    warn!(self.log, "http: accept failed"; "error" => %error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves a connection, and returns whether another one must close for it.
    fn serve(&self, stream: TcpStream) -> bool {
        let Some((intake, closes_another)) = self.intake.open() else {
            // All others are being served; the caller sees a closed connection.
            return false;
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!(self.log, "http: cannot set TCP_NODELAY on a connection"; "error" => %error);
        }
        let connection = ServerConnection {
            stream,
            buffer: BytesMut::new(),
            handler: Rc::clone(&self.handler),
            switch: Rc::clone(&self.switch),
            has_served: false,
            intake,
        };
        spawn_local(connection.run());
        closes_another
    }
}

/// The result of reading a request head.
enum HeadRead {
    /// The head and its size in bytes.
    Head(RequestHead, usize),
    Closed,
}

struct ServerConnection {
    stream: TcpStream,
    buffer: BytesMut,
    handler: Rc<dyn HttpHandler>,
    switch: Rc<ShutdownSignal>,
    /// Whether a request was read on this connection before.
    has_served: bool,
    intake: ConnectionIntake,
}

impl ServerConnection {
    /// Handles requests until one side closes the connection.
    async fn run(mut self) {
        loop {
            match self.serve_next().await {
                Ok(true) => {}
                Ok(false) => return,
                Err(error) => {
                    self.buffer = BytesMut::new();
                    self.intake.hold(0, self.largest_request());
                    if self.intake.must_close() {
                        return;
                    }
                    let mut response = self.handler.refuse(&error);
                    if error == HttpError::NoRoom {
                        self.intake.count_refusal();
                        response = response.with(text_field("retry-after", NO_ROOM_RETRY_AFTER));
                    }
                    if self.write(response, false, true).await.is_ok() {
                        self.linger().await;
                    }
                    return;
                }
            }
        }
    }

    /// Handles one request and returns whether the connection stays open.
    async fn serve_next(&mut self) -> Result<bool, HttpError> {
        self.intake.enter(IntakeStage::Idle);
        if self.buffer.is_empty() {
            // An idle connection does not keep the buffer of its last request.
            self.buffer = BytesMut::new();
            self.intake.hold(0, self.largest_request());
            if !self.wait_first_byte().await {
                return Ok(false);
            }
        }
        self.intake.enter(IntakeStage::Reading);
        // From its first byte on, a request is active, and shutdown waits for it.
        let active = ActiveGuard::start(&self.switch);
        let (head, head_bytes) = match self.read_head().await? {
            HeadRead::Head(head, length) => (head, length),
            HeadRead::Closed => return Ok(false),
        };
        let body = self.read_body(&head, head_bytes).await?;
        let served = served_bytes(head_bytes, body.len());
        if head_bytes + body.len() > READ_BYTES {
            // Bytes of a further request share the allocation of this one and would keep it in memory
            // after the response, uncounted.
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        if !self.intake.serve(served + self.buffer.len(), self.largest_request()) {
            return Err(HttpError::NoRoom);
        }
        let keeps_connection = head.keeps_connection();
        let is_head_request = &head.method[..] == b"HEAD";
        let handler = Rc::clone(&self.handler);
        let is_first = !std::mem::replace(&mut self.has_served, true);
        let largest = self.largest_request();
        let response = {
            let answering = handler.handle(HttpRequest { head, body, is_first });
            tokio::pin!(answering);
            tokio::select! {
                biased;
                response = &mut answering => response,
                () = wait_disconnected(&self.stream, &mut self.buffer, &self.intake, served, largest) => {
                    return Ok(false);
                }
            }
        };
        let is_last = !keeps_connection || self.switch.phase() > ServerPhase::Serving;
        let written = self.write(response, is_head_request, is_last).await;
        drop(active);
        if written.is_err() {
            return Ok(false);
        }
        if is_last {
            self.linger().await;
        }
        Ok(!is_last)
    }

    /// Reads the rest of a head within the header timeout.
    async fn read_head(&mut self) -> Result<HeadRead, HttpError> {
        let limits = self.handler.limits();
        let deadline = Instant::now() + limits.header_timeout;
        loop {
            let received = self.buffer.len();
            if let Some(head) = RequestHead::take(&mut self.buffer, limits.header_bytes)? {
                return Ok(HeadRead::Head(head, received - self.buffer.len()));
            }
            self.hold_request(received)?;
            match timeout_at(deadline, self.read_more()).await {
                Ok(Ok(0)) => return Ok(HeadRead::Closed),
                Ok(read) => read?,
                Err(_) => return Err(HttpError::HeadTimedOut),
            };
        }
    }

    /// Returns whether bytes arrived before the connection closed, the idle timeout passed or the
    /// server entered [`ServerPhase::Finishing`]. In [`ServerPhase::Closed`] nothing is read, as the
    /// process exits before the request would have ended.
    async fn wait_first_byte(&mut self) -> bool {
        if self.switch.phase() == ServerPhase::Closed {
            return false;
        }
        let idle = self.handler.limits().idle_timeout;
        tokio::select! {
            biased;
            () = self.intake.wait_given_up() => false,
            read = timeout(idle, read_some(&self.stream, &mut self.buffer)) => {
                matches!(read, Ok(Ok(length)) if length > 0)
            }
            () = self.switch.wait_finishing() => false,
        }
    }

    async fn read_body(
        &mut self,
        head: &RequestHead,
        head_bytes: usize,
    ) -> Result<Bytes, HttpError> {
        let limit = self.handler.limits().body_bytes;
        let mut reader = BodyReader::start(frame_request(head)?, limit)?;
        let mut is_continued = !head.headers.has_token("expect", "100-continue");
        let deadline = Instant::now() + BODY_TIMEOUT;
        while !reader.feed(&mut self.buffer)? {
            if !is_continued {
                is_continued = true;
                let line = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                tokio::select! {
                    biased;
                    () = self.intake.wait_given_up() => return Err(HttpError::GivenUp),
                    written = timeout_at(deadline, line) => match written {
                        Ok(written) => written.map_err(|_| HttpError::Truncated)?,
                        Err(_) => return Err(HttpError::BodyTimedOut),
                    },
                }
            }
            self.hold_request(head_bytes + self.buffer.len() + reader.held_bytes())?;
            match timeout_at(deadline, self.read_more()).await {
                Ok(Ok(0)) => return Err(HttpError::Truncated),
                Ok(read) => read?,
                Err(_) => return Err(HttpError::BodyTimedOut),
            };
        }
        Ok(reader.into_body())
    }

    /// Returns the most bytes that one request takes within the limits.
    fn largest_request(&self) -> usize {
        let limits = self.handler.limits();
        served_bytes(limits.header_bytes, limits.body_bytes) + MAX_READ_AHEAD
    }

    /// Records the bytes of a request that is being read.
    fn hold_request(&self, bytes: usize) -> Result<(), HttpError> {
        let has_room = self.intake.hold(bytes, self.largest_request());
        if has_room { Ok(()) } else { Err(HttpError::NoRoom) }
    }

    /// Reads more of a request; returns 0 at the end of the stream, also if it is broken.
    async fn read_more(&mut self) -> Result<usize, HttpError> {
        tokio::select! {
            biased;
            () = self.intake.wait_given_up() => Err(HttpError::GivenUp),
            read = async {
                self.intake.wait_released().await;
                read_some(&self.stream, &mut self.buffer).await
            } => {
                let length = read.unwrap_or(0);
                self.intake.record_progress(length);
                Ok(length)
            }
        }
    }

    async fn write(
        &mut self,
        response: HttpResponse,
        is_to_head: bool,
        is_last: bool,
    ) -> io::Result<()> {
        let mut rest = response.encode(is_to_head, is_last);
        let held = response_bytes(rest.remaining());
        self.intake.enter(IntakeStage::Writing);
        let deadline = Instant::now() + WRITE_TIMEOUT;
        loop {
            let mut slices = [IoSlice::new(&[]); 2];
            let count = rest.chunks_vectored(&mut slices);
            match self.stream.try_write_vectored(&slices[..count]) {
                Ok(written) => {
                    self.intake.record_progress(written);
                    rest.advance(written);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
            if !rest.has_remaining() {
                return Ok(());
            }
            // Only what the kernel does not take at once needs room.
            // A response alone always finds room.
            let largest = self.largest_request().max(held + self.buffer.len());
            if !self.intake.hold(held + self.buffer.len(), largest) {
                self.intake.count_refusal();
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            tokio::select! {
                biased;
                () = self.intake.wait_given_up() => return Err(io::ErrorKind::OutOfMemory.into()),
                ready = timeout_at(deadline, self.stream.writable()) => match ready {
                    Ok(ready) => ready?,
                    Err(_) => return Err(io::ErrorKind::TimedOut.into()),
                },
            }
        }
    }

    /// Closes the sending side and discards what still arrives, for at most [`LINGER_TIMEOUT`].
    async fn linger(&mut self) {
        self.intake.enter(IntakeStage::Closing);
        self.intake.hold(0, self.largest_request());
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            while matches!(read_some(&self.stream, &mut self.buffer).await, Ok(length) if length > 0)
            {
                self.buffer.clear();
                // A client that sends faster than it is read must not keep the thread.
                yield_now().await;
            }
        };
        // Dropping the connection after the timeout may reset it; by then the caller has had time to
        // read the response.
        tokio::select! {
            biased;
            () = self.intake.wait_given_up() => {}
            _ = timeout(LINGER_TIMEOUT, drain) => {}
        }
    }
}

/// Waits for available bytes and reads them into the buffer; returns 0 at the end of the stream.
async fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match read_available(stream, buffer, READ_BYTES, MAX_READ_BYTES) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

/// Waits until the caller disconnects; keeps pipelined bytes in the buffer as far as there is room for
/// them beside the `served` bytes of the request.
async fn wait_disconnected(
    stream: &TcpStream,
    buffer: &mut BytesMut,
    intake: &ConnectionIntake,
    served: usize,
    largest: usize,
) {
    while buffer.len() <= MAX_READ_AHEAD {
        if !intake.allows_read_ahead() {
            // Without room for further bytes, only the end of the stream is looked for.
            match stream.peek(&mut [0]).await {
                Ok(0) | Err(_) => return,
                Ok(_) => sleep(READ_AHEAD_DELAY).await,
            }
            continue;
        }
        match read_some(stream, buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) if intake.hold(served + buffer.len(), largest) => {}
            Ok(_) => break,
        }
    }
    std::future::pending().await
}
