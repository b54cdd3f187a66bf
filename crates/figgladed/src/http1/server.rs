//! Serves connections on the thread of the process.

use std::{cell::Cell, future::Future, io, pin::Pin, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use figglade::controller::route_set::CallerLimits;
use slog::{Logger, debug, warn};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::spawn_local,
    time::{Instant, sleep, timeout, timeout_at},
};

use super::{
    body::{BodyReader, frame_request},
    error::HttpError,
    head::RequestHead,
    message::{HttpRequest, HttpResponse},
};

/// The room made for a read, in bytes.
const READ_BYTES: usize = 4_096;
/// The most bytes read ahead while a request is served.
const MAX_READ_AHEAD: usize = 64 << 10;
/// How long a caller may take to read an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection that is closed from this side is still read, so that the kernel does not
/// reset it and with that the answer on its way.
const LINGER: Duration = Duration::from_millis(1_000);
/// The longest time for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The time in which every connection has noticed a change of the phase.
const NOTICE_TIME: Duration = Duration::from_millis(50);
/// The wait after a failed accept, such as one without a free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A future that stays on its thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Answers requests.
pub trait HttpHandler {
    /// Answers a request. The future is dropped when the caller leaves.
    fn handle(&self, request: HttpRequest) -> LocalFuture<'_, HttpResponse>;

    /// Returns what a caller may send at present.
    fn limits(&self) -> CallerLimits;
}

/// How far the stop of a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// Serves.
    Serving,
    /// Serves, and closes each connection behind its next answer.
    Draining,
    /// Finishes what was read, and reads nothing more.
    Finishing,
}

/// Moves the servers of a process towards their end.
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
    /// Moves on to a later phase.
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

    /// Returns the requests that were read and have no answer yet.
    pub const fn active(&self) -> usize {
        self.active.get()
    }

    /// Waits until no request is read or served, at most for `limit`. Connections first get the
    /// time to notice the phase: bytes that were already read belong to a request.
    pub async fn wait_idle(&self, limit: Duration) {
        let idle = async {
            sleep(NOTICE_TIME).await;
            while self.active.get() > 0 {
                self.idle.notified().await;
            }
        };
        // What is left then is cut off with the process, which logs it.
        let _ = timeout(limit, idle).await;
    }

    async fn wait_finishing(&self) {
        loop {
            let changed = self.changed.notified();
            if self.phase.get() == ServerPhase::Finishing {
                return;
            }
            changed.await;
        }
    }
}

/// Counts a request that was read until its answer is written.
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
    /// Where it listens.
    pub listener: TcpListener,
    /// Who answers.
    pub handler: Rc<dyn HttpHandler>,
    /// How it stops.
    pub switch: Rc<ShutdownSignal>,
    /// The log of the process.
    pub log: Logger,
}

impl HttpServer {
    /// Accepts connections until the process ends.
    pub async fn run(self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => self.serve(stream),
                Err(error) => {
                    warn!(self.log, "http: a connection was not accepted"; "error" => %error);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        if let Err(error) = stream.set_nodelay(true) {
            debug!(self.log, "http: a connection stays without nodelay"; "error" => %error);
        }
        let connection = ServerConnection {
            stream,
            buffer: BytesMut::new(),
            handler: Rc::clone(&self.handler),
            switch: Rc::clone(&self.switch),
        };
        spawn_local(connection.run());
    }
}

/// What a read brought.
enum HeadRead {
    Head(RequestHead),
    Closed,
}

struct ServerConnection {
    stream: TcpStream,
    buffer: BytesMut,
    handler: Rc<dyn HttpHandler>,
    switch: Rc<ShutdownSignal>,
}

impl ServerConnection {
    /// Serves requests until one side closes.
    async fn run(mut self) {
        loop {
            match self.serve_next().await {
                Ok(true) => {}
                Ok(false) => return,
                Err(error) => {
                    let response = HttpResponse::text(error.status(), error.to_string());
                    if self.write(&response, false, true).await.is_ok() {
                        self.linger().await;
                    }
                    return;
                }
            }
        }
    }

    /// Serves one request and returns whether the connection goes on.
    async fn serve_next(&mut self) -> Result<bool, HttpError> {
        if self.buffer.is_empty() && !self.wait_first_byte().await {
            return Ok(false);
        }
        // From its first byte on, a request is one that the process must not leave behind.
        let active = ActiveGuard::start(&self.switch);
        let head = match self.read_head().await? {
            HeadRead::Head(head) => head,
            HeadRead::Closed => return Ok(false),
        };
        let body = self.read_body(&head).await?;
        let keeps = head.keeps_connection();
        let is_head = &head.method[..] == b"HEAD";
        let handler = Rc::clone(&self.handler);
        let response = {
            let answering = handler.handle(HttpRequest { head, body });
            tokio::pin!(answering);
            tokio::select! {
                biased;
                response = &mut answering => response,
                () = wait_gone(&self.stream, &mut self.buffer) => return Ok(false),
            }
        };
        let is_last = !keeps || self.switch.phase() > ServerPhase::Serving;
        let written = self.write(&response, is_head, is_last).await;
        drop(active);
        if written.is_err() {
            return Ok(false);
        }
        if is_last {
            self.linger().await;
        }
        Ok(!is_last)
    }

    /// Reads the rest of a head, as long as that may take.
    async fn read_head(&mut self) -> Result<HeadRead, HttpError> {
        let limits = self.handler.limits();
        let deadline = Instant::now() + limits.header_timeout;
        loop {
            if let Some(head) = RequestHead::take(&mut self.buffer, limits.header_bytes)? {
                return Ok(HeadRead::Head(head));
            }
            match timeout_at(deadline, read_some(&self.stream, &mut self.buffer)).await {
                Ok(Ok(0) | Err(_)) => return Ok(HeadRead::Closed),
                Ok(Ok(_)) => {}
                Err(_) => return Err(HttpError::HeadTimedOut),
            }
        }
    }

    /// Returns whether bytes came before the connection ended, was unused for too long, or the
    /// server finished.
    async fn wait_first_byte(&mut self) -> bool {
        let idle = self.handler.limits().idle_timeout;
        tokio::select! {
            biased;
            read = timeout(idle, read_some(&self.stream, &mut self.buffer)) => {
                matches!(read, Ok(Ok(length)) if length > 0)
            }
            () = self.switch.wait_finishing() => false,
        }
    }

    async fn read_body(&mut self, head: &RequestHead) -> Result<Bytes, HttpError> {
        let limit = self.handler.limits().body_bytes;
        let mut reader = BodyReader::start(frame_request(head)?, limit)?;
        let mut is_continued = !head.headers.has_token("expect", "100-continue");
        let deadline = Instant::now() + BODY_TIMEOUT;
        while !reader.feed(&mut self.buffer)? {
            if !is_continued {
                is_continued = true;
                let line = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                line.await.map_err(|_| HttpError::Truncated)?;
            }
            match timeout_at(deadline, read_some(&self.stream, &mut self.buffer)).await {
                Ok(Ok(0) | Err(_)) => return Err(HttpError::Truncated),
                Ok(Ok(_)) => {}
                Err(_) => return Err(HttpError::BodyTimedOut),
            }
        }
        Ok(reader.into_body())
    }

    async fn write(
        &mut self,
        response: &HttpResponse,
        is_to_head: bool,
        is_last: bool,
    ) -> io::Result<()> {
        let encoded = response.encode(is_to_head, is_last);
        match timeout(WRITE_TIMEOUT, self.stream.write_all(&encoded)).await {
            Ok(written) => written,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Ends the sending side and reads what still comes, for a while.
    async fn linger(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            while matches!(read_some(&self.stream, &mut self.buffer).await, Ok(length) if length > 0)
            {
                self.buffer.clear();
            }
        };
        // After this time the connection is reset; the caller had long enough to read.
        let _ = timeout(LINGER, drain).await;
    }
}

/// Reads what is there into the buffer; zero bytes mean the end.
async fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        buffer.reserve(READ_BYTES);
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

/// Waits until the caller leaves; keeps what it sends ahead.
async fn wait_gone(stream: &TcpStream, buffer: &mut BytesMut) {
    while buffer.len() <= MAX_READ_AHEAD {
        match read_some(stream, buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    std::future::pending().await
}
