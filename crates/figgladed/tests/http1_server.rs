//! Tests the shutdown of the HTTP server, and what it answers where memory is used up.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use figglade::{controller::route_set::CallerLimits, filter::intake::IntakeLimits};
use figgladed::{
    clock::ProcessClock,
    http1::{
        HttpHandler, HttpRequest, HttpResponse, HttpServer, IntakeControl, LocalFuture,
        ServerPhase, ShutdownSignal,
    },
};
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::{LocalSet, spawn_local},
};

/// Counts the requests that it handles.
#[derive(Default)]
struct CountingHandler {
    handled: Cell<usize>,
}

impl HttpHandler for CountingHandler {
    fn handle(&self, _request: HttpRequest) -> LocalFuture<'_, HttpResponse> {
        self.handled.update(|count| count + 1);
        Box::pin(std::future::ready(HttpResponse::text(200, "handled")))
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }
}

/// Sends a request on a new connection and returns what arrives until the server closes it.
async fn request(to: SocketAddr) -> Vec<u8> {
    let mut answer = Vec::new();
    let Ok(mut stream) = TcpStream::connect(to).await else { return answer };
    if stream.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await.is_ok() {
        // A reset ends the answer as well.
        let _ = stream.read_to_end(&mut answer).await;
    }
    answer
}

/// Guards against requests that arrive between the end of the last request of a stopping process and
/// its exit: they were handled, and cut off by the exit.
#[tokio::test(flavor = "current_thread")]
async fn no_request_is_read_once_the_server_is_idle() {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let handler = Rc::new(CountingHandler::default());
        let switch = Rc::new(ShutdownSignal::default());
        let log = Logger::root(Discard, o!());
        let limits = IntakeLimits::for_probes(1 << 20, 4);
        let server = HttpServer {
            listener,
            handler: Rc::clone(&handler) as Rc<dyn HttpHandler>,
            switch: Rc::clone(&switch),
            intake: Rc::new(IntakeControl::new(limits, ProcessClock::start(), log.clone())),
            log,
        };
        spawn_local(server.run());
        switch.advance(ServerPhase::Draining);
        let answer = request(address).await;
        assert!(answer.starts_with(b"HTTP/1.1 200"), "{answer:?}");
        switch.advance(ServerPhase::Finishing);
        switch.close_when_idle(Duration::from_secs(10)).await;
        assert_eq!(handler.handled.get(), 1);
        assert!(request(address).await.is_empty());
        assert_eq!(handler.handled.get(), 1);
    };
    LocalSet::new().run_until(run).await;
}

/// The size of a body of which two fill the memory for callers, as it is counted twice while it is
/// served, and the bound is that of the largest request.
const LARGE_BODY: usize = 1 << 20;

/// Answers no request until it is told to.
#[derive(Default)]
struct WaitingHandler {
    handled: Cell<usize>,
    started: Notify,
    released: Notify,
}

impl HttpHandler for WaitingHandler {
    fn handle(&self, _request: HttpRequest) -> LocalFuture<'_, HttpResponse> {
        self.handled.update(|count| count + 1);
        self.started.notify_one();
        Box::pin(async {
            self.released.notified().await;
            HttpResponse::text(200, "handled")
        })
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }
}

/// Starts a server with little memory for callers.
async fn start_small(handler: Rc<dyn HttpHandler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let log = Logger::root(Discard, o!());
    let limits = IntakeLimits::for_probes(1 << 10, 8);
    let intake = Rc::new(IntakeControl::new(limits, ProcessClock::start(), log.clone()));
    spawn_local(HttpServer { listener, handler, intake, switch: Rc::default(), log }.run());
    address
}

/// Connects and sends the first `sent` bytes of a body of `length` bytes.
async fn send_body(to: SocketAddr, length: usize, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let head = format!("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    // The server may refuse the request before it has read all of it.
    let _ = stream.write_all(&vec![b'a'; sent]).await;
    stream
}

/// Reads the head of an answer.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).await.unwrap(), 1, "the answer has a whole head");
        answer.push(byte[0]);
    }
    String::from_utf8(answer).unwrap()
}

/// Guards against a request that is refused for want of memory and runs all the same, and against one
/// that takes the memory of a request that may be running.
#[tokio::test(flavor = "current_thread")]
async fn a_request_without_room_is_refused_and_does_not_run() {
    let run = async {
        let handler = Rc::new(WaitingHandler::default());
        let address = start_small(Rc::clone(&handler) as Rc<dyn HttpHandler>).await;
        let mut first = send_body(address, LARGE_BODY, LARGE_BODY).await;
        handler.started.notified().await;
        let mut second = send_body(address, LARGE_BODY, LARGE_BODY).await;
        let answer = read_head(&mut second).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains("\r\nretry-after: 1\r\n"), "{answer}");
        handler.released.notify_one();
        assert!(read_head(&mut first).await.starts_with("HTTP/1.1 200 "));
        assert_eq!(handler.handled.get(), 1);
    };
    LocalSet::new().run_until(run).await;
}

/// Guards against incomplete requests that keep others from being served.
#[tokio::test(flavor = "current_thread")]
async fn a_stalled_request_is_given_up_for_another_one() {
    let run = async {
        let handler = Rc::new(CountingHandler::default());
        let address = start_small(Rc::clone(&handler) as Rc<dyn HttpHandler>).await;
        let mut stalled = Vec::new();
        for _ in 0..4 {
            stalled.push(send_body(address, LARGE_BODY, LARGE_BODY - 1).await);
        }
        // The first two were given up for the last two at the latest.
        let answer = read_head(&mut stalled[0]).await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        assert_eq!(handler.handled.get(), 0);
        let mut ordinary = send_body(address, LARGE_BODY, LARGE_BODY).await;
        let answer = read_head(&mut ordinary).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert_eq!(handler.handled.get(), 1);
    };
    LocalSet::new().run_until(run).await;
}
