//! Tests the peer protocol with a hand-written client: authentication, unknown frame kinds,
//! backpressure and repeated connections.

/// The generated code refers to its own types by this module path.
#[path = "../src/peer_link"]
mod peer_link {
    pub mod generated {
        #[rustfmt::skip]
        #[allow(clippy::all, clippy::use_self, dead_code, missing_docs, unused)]
        pub mod peer_capnp;
    }
}

use std::{
    cell::Cell,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use figglade::{
    Incarnation,
    border::BoxFuture,
    peer::{MAX_FRAME_BYTES, PeerFrame},
};
use figgladed::peer_link::{
    CallRefusal, PeerHandler, PeerLimits, PeerOptions, PeerSender, PeerTraffic, PeerTransport,
};
use peer_link::generated::peer_capnp::{Refusal, peer_gate, peer_session};
use tokio::{
    io::{AsyncRead, ReadBuf},
    net::{TcpStream, tcp::OwnedReadHalf},
    task::{JoinHandle, LocalSet},
};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers each call with the frame of the call.
struct EchoHandler;

impl PeerHandler for EchoHandler {
    fn handle_frame(&self, _from: PeerSender, _frame: PeerFrame) {}

    fn handle_call(
        &self,
        _from: PeerSender,
        frame: PeerFrame,
    ) -> BoxFuture<Result<PeerFrame, CallRefusal>> {
        Box::pin(async { Ok(frame) })
    }
}

async fn start_transport(limits: PeerLimits) -> PeerTransport {
    let listen = "127.0.0.1:0".parse().unwrap();
    let mut options = PeerOptions::new(listen, "b".parse().unwrap(), Incarnation::new(1), None);
    options.limits = limits;
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    PeerTransport::start(options, Arc::new(EchoHandler), logger).await.unwrap()
}

/// Runs a test on a single thread, because the RPC system is not `Send`.
fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

async fn wait_for(transport: &PeerTransport, condition: impl Fn(&PeerTraffic) -> bool) {
    let reached = async {
        while !condition(&transport.traffic()) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let outcome = tokio::time::timeout(TEST_TIMEOUT, reached).await;
    assert!(outcome.is_ok(), "{:?}", transport.traffic());
}

/// A reader that reads nothing while `stopped` is set.
struct StoppableReader {
    reader: OwnedReadHalf,
    stopped: Rc<Cell<bool>>,
}

impl AsyncRead for StoppableReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.stopped.get() {
            return Poll::Pending;
        }
        Pin::new(&mut self.reader).poll_read(context, buffer)
    }
}

/// Connects and spawns the RPC system, which runs until the connection is lost.
async fn connect(address: SocketAddr) -> (peer_gate::Client, JoinHandle<()>) {
    connect_stoppable(address, &Rc::default()).await
}

/// Connects with a reader that reads nothing while `stopped` is set.
async fn connect_stoppable(
    address: SocketAddr,
    stopped: &Rc<Cell<bool>>,
) -> (peer_gate::Client, JoinHandle<()>) {
    let (reader, writer) = TcpStream::connect(address).await.unwrap().into_split();
    let reader = StoppableReader { reader, stopped: Rc::clone(stopped) };
    let network = VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        Side::Client,
        capnp::message::ReaderOptions::new(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    system.set_background_error_handler(|_| {});
    let gate = system.bootstrap(Side::Server);
    let driver = tokio::task::spawn_local(async move {
        // The result is ignored: the tests wait for the end of the connection only.
        let _ = system.await;
    });
    (gate, driver)
}

const ID: &str = "stranger";
const ADDRESS: &str = "127.0.0.1:9";

/// Sends a hello and returns the proof that the protocol requires of an instance without keys.
async fn send_hello(gate: &peer_gate::Client) -> [u8; 32] {
    let mut request = gate.hello_request();
    let mut hello = request.get();
    hello.set_version(1);
    hello.set_min_version(1);
    let mut dialer = hello.init_dialer();
    dialer.set_instance(ID);
    dialer.set_incarnation(7);
    dialer.set_address(ADDRESS);
    dialer.set_nonce(&[5; 32]);
    let response = request.send().promise.await.unwrap();
    let reply = response.get().unwrap();
    assert_eq!(reply.get_refusal().unwrap(), Refusal::None);
    let acceptor = reply.get_acceptor().unwrap();
    let mut hasher = blake3::Hasher::new_keyed(&[0; 32]);
    hasher.update(b"figglade dialer  ");
    [1_u16, 1, 1].iter().for_each(|number| _ = hasher.update(&number.to_le_bytes()));
    let mut add_identity = |texts: [&str; 2], incarnation: u64, nonce: &[u8]| {
        for text in texts {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(&incarnation.to_le_bytes());
        hasher.update(nonce);
    };
    add_identity([ID, ADDRESS], 7, &[5; 32]);
    let text = |text: capnp::Result<capnp::text::Reader<'_>>| text.unwrap().to_string().unwrap();
    let texts = [text(acceptor.get_instance()), text(acceptor.get_address())];
    let nonce = acceptor.get_nonce().unwrap();
    add_identity([&texts[0], &texts[1]], acceptor.get_incarnation(), nonce);
    *hasher.finalize().as_bytes()
}

async fn prove(gate: &peer_gate::Client, proof: &[u8]) -> Result<peer_session::Client, Refusal> {
    let mut request = gate.prove_request();
    request.get().set_proof(proof);
    let response = request.send().promise.await.unwrap();
    let reply = response.get().unwrap();
    match reply.get_refusal().unwrap() {
        Refusal::None => Ok(reply.get_session().unwrap()),
        refusal => Err(refusal),
    }
}

#[test]
fn proof_is_valid_once_and_only_after_a_hello() {
    run_local(async {
        let transport = start_transport(PeerLimits::default()).await;
        let (gate, _driver) = connect(transport.local_address()).await;
        assert_eq!(prove(&gate, &[0; 32]).await.err(), Some(Refusal::BadRequest));
        let mut proof = send_hello(&gate).await;
        proof[0] ^= 1;
        assert_eq!(prove(&gate, &proof).await.err(), Some(Refusal::BadProof));
        proof[0] ^= 1;
        assert_eq!(
            prove(&gate, &proof).await.err(),
            Some(Refusal::BadRequest),
            "the hello was already used by a proof"
        );
        assert_eq!(transport.traffic().connections_accepted, 0);
        let proof = send_hello(&gate).await;
        assert!(prove(&gate, &proof).await.is_ok());
        let (other, _driver) = connect(transport.local_address()).await;
        send_hello(&other).await;
        assert_eq!(
            prove(&other, &proof).await.err(),
            Some(Refusal::BadProof),
            "a proof replayed on another connection"
        );
        transport.close().await;
    });
}

#[test]
fn unknown_kinds_are_ignored_and_counted() {
    run_local(async {
        let transport = start_transport(PeerLimits::default()).await;
        let (gate, _driver) = connect(transport.local_address()).await;
        let session = prove(&gate, &send_hello(&gate).await).await.unwrap();
        let mut frame = session.send_request();
        frame.get().set_kind(60_000);
        frame.send().promise.await.unwrap();
        let mut call = session.call_request();
        call.get().set_kind(60_000);
        call.get().set_timeout_ms(10_000);
        let response = call.send().promise.await.unwrap();
        assert_eq!(response.get().unwrap().get_refusal().unwrap(), Refusal::UnknownKind);
        let mut large = session.send_request();
        large.get().set_kind(1);
        large.get().init_payload(MAX_FRAME_BYTES as u32 + 1);
        assert!(large.send().promise.await.is_err(), "the payload exceeds the maximum by one byte");
        assert_eq!((transport.traffic().unknown_kinds, transport.traffic().frames_in), (2, 0));
        transport.close().await;
    });
}

#[test]
fn peer_that_does_not_read_answers_is_not_read_from_and_then_disconnected() {
    run_local(async {
        let limits = PeerLimits { stall_timeout: Duration::from_millis(500), ..Default::default() };
        let transport = start_transport(limits).await;
        let stopped = Rc::new(Cell::new(false));
        let (gate, driver) = connect_stoppable(transport.local_address(), &stopped).await;
        let session = prove(&gate, &send_hello(&gate).await).await.unwrap();
        stopped.set(true);
        let calls: Vec<_> = (0..64)
            .map(|_| {
                let mut call = session.call_request();
                call.get().set_kind(1);
                call.get().set_timeout_ms(60_000);
                call.get().init_payload(MAX_FRAME_BYTES as u32);
                call.send().promise
            })
            .collect();
        wait_for(&transport, |traffic| traffic.connections_stalled == 1).await;
        wait_for(&transport, |traffic| traffic.connections_open == 0).await;
        assert!(transport.traffic().frames_in < 48, "{:?}", transport.traffic());
        drop((calls, driver));
        transport.close().await;
    });
}

#[test]
fn repeated_connections_of_a_peer_replace_its_oldest_ones() {
    run_local(async {
        let limits = PeerLimits { max_connections_per_peer: 3, ..Default::default() };
        let transport = start_transport(limits).await;
        let mut connections = Vec::new();
        for _ in 0..5 {
            let (gate, driver) = connect(transport.local_address()).await;
            let session = prove(&gate, &send_hello(&gate).await).await.unwrap();
            connections.push((session, driver));
        }
        wait_for(&transport, |traffic| traffic.connections_open == 3).await;
        for (_, driver) in &mut connections[..2] {
            tokio::time::timeout(TEST_TIMEOUT, driver)
                .await
                .expect("the connection is still open")
                .unwrap();
        }
        let (newest, _driver) = &connections[4];
        let mut frame = newest.send_request();
        frame.get().set_kind(1);
        frame.send().promise.await.unwrap();
        transport.close().await;
    });
}
