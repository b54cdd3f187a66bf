//! Tests the shutdown of the HTTP server.

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
