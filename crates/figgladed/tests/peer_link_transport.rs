//! Peer links between transports on loopback, and peers that fail.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use figglade::{
    Incarnation, WallTime,
    border::{BoxFuture, PeerLink},
    peer::{FrameKind, MAX_FRAME_BYTES, PeerFrame},
};
use figgladed::{
    peer_link::{
        CallRefusal, NotSentReason, PeerCallError, PeerHandler, PeerLimits, PeerOptions,
        PeerSender, PeerTraffic, PeerTransport, StampClock, UnknownReason, VersionRange,
    },
    settings::KeySet,
    timeline::{TimelineOptions, TimelineRecorder, TimelineStore},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
};

const PATIENCE: Duration = Duration::from_secs(30);
const FIRST_KEY: &str = "first-peer-key-0123456789";
const SECOND_KEY: &str = "second-peer-key-0123456789";

/// Hands frames to the test; answers calls by what their payload asks.
struct TestHandler {
    frames: mpsc::UnboundedSender<(PeerSender, PeerFrame)>,
    running: Arc<AtomicUsize>,
}

/// Counts a call while its handler runs.
struct RunningCall(Arc<AtomicUsize>);

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl PeerHandler for TestHandler {
    fn handle_frame(&self, from: PeerSender, frame: PeerFrame) {
        // A test may have stopped listening.
        let _ = self.frames.send((from, frame));
    }

    fn handle_call(
        &self,
        from: PeerSender,
        frame: PeerFrame,
    ) -> BoxFuture<Result<PeerFrame, CallRefusal>> {
        self.running.fetch_add(1, Ordering::SeqCst);
        let running = RunningCall(Arc::clone(&self.running));
        self.handle_frame(from, frame.clone());
        Box::pin(async move {
            let _running = running;
            match &frame.payload[..] {
                b"refuse" => Err(CallRefusal::Refused { reason: "no".to_owned() }),
                b"hang" => std::future::pending().await,
                _ => Ok(frame),
            }
        })
    }
}

/// A transport and what it received.
struct TestPeer {
    transport: PeerTransport,
    frames: mpsc::UnboundedReceiver<(PeerSender, PeerFrame)>,
    /// The calls whose handlers run.
    running: Arc<AtomicUsize>,
}

impl TestPeer {
    async fn start(id: &str) -> Self {
        Self::start_with(id, |_| {}).await
    }

    async fn start_with(id: &str, change: impl FnOnce(&mut PeerOptions)) -> Self {
        let listen = "127.0.0.1:0".parse().unwrap();
        let keys = KeySet::from_text(FIRST_KEY).unwrap();
        let mut options =
            PeerOptions::new(listen, id.parse().unwrap(), Incarnation::new(1), Some(keys));
        change(&mut options);
        let (sender, frames) = mpsc::unbounded_channel();
        let running = Arc::new(AtomicUsize::new(0));
        let handler = Arc::new(TestHandler { frames: sender, running: Arc::clone(&running) });
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let transport = PeerTransport::start(options, handler, logger).await.unwrap();
        Self { transport, frames, running }
    }

    fn address(&self) -> SocketAddr {
        self.transport.local_address()
    }

    async fn next_frame(&mut self) -> (PeerSender, PeerFrame) {
        tokio::time::timeout(PATIENCE, self.frames.recv()).await.expect("no frame").unwrap()
    }

    async fn call(&self, to: SocketAddr, text: &str, ms: u64) -> Result<PeerFrame, PeerCallError> {
        self.transport.call(to, frame(FrameKind::Control, text), Duration::from_millis(ms)).await
    }

    async fn wait_for(&self, what: &str, condition: impl Fn(&PeerTraffic) -> bool) {
        let reached = async {
            while !condition(&self.transport.traffic()) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let outcome = tokio::time::timeout(PATIENCE, reached).await;
        assert!(outcome.is_ok(), "{what}: {:?}", self.transport.traffic());
    }
}

fn frame(kind: FrameKind, text: &str) -> PeerFrame {
    PeerFrame { kind, payload: Bytes::copy_from_slice(text.as_bytes()) }
}

fn not_sent(reason: NotSentReason) -> Result<PeerFrame, PeerCallError> {
    Err(PeerCallError::NotSent(reason))
}

/// A relay that can stop moving bytes while its connections stay open.
async fn start_relay(to: SocketAddr) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (flows, flowing) = watch::channel(true);
    tokio::spawn(async move {
        loop {
            let (inbound, _) = listener.accept().await.unwrap();
            let Ok(outbound) = TcpStream::connect(to).await else { continue };
            let (near_in, near_out) = inbound.into_split();
            let (far_in, far_out) = outbound.into_split();
            tokio::spawn(relay_bytes(near_in, far_out, flowing.clone()));
            tokio::spawn(relay_bytes(far_in, near_out, flowing.clone()));
        }
    });
    (address, flows)
}

async fn relay_bytes(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut flowing: watch::Receiver<bool>,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = vec![0; 16 << 10];
    while flowing.wait_for(|flows| *flows).await.is_ok() {
        let Ok(length @ 1..) = from.read(&mut buffer).await else { return };
        if flowing.wait_for(|flows| *flows).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

#[tokio::test]
async fn frames_and_calls_reach_the_peer_with_its_sender() {
    let (a, mut b) = (TestPeer::start("a").await, TestPeer::start("b").await);
    a.transport.send(b.address(), frame(FrameKind::Quorum, "vote"));
    let (sender, received) = b.next_frame().await;
    assert_eq!(received, frame(FrameKind::Quorum, "vote"));
    assert_eq!((sender.id.as_str(), sender.address), ("a", a.address()));
    assert_eq!(a.call(b.address(), "echo", 10_000).await, Ok(frame(FrameKind::Control, "echo")));
    let refused = a.call(b.address(), "refuse", 10_000).await.unwrap_err();
    let refusal = CallRefusal::Refused { reason: "no".to_owned() };
    assert_eq!(refused, PeerCallError::Refused(refusal));
    assert!(!refused.is_surely_not_delivered());
    let large = PeerFrame { kind: FrameKind::Events, payload: vec![7; MAX_FRAME_BYTES].into() };
    let answer = a.transport.call(b.address(), large.clone(), PATIENCE).await;
    assert_eq!(answer, Ok(large));
    let traffic = b.transport.traffic();
    assert_eq!(traffic.frames_in, 4);
    assert!(traffic.bytes_in > MAX_FRAME_BYTES as u64 && traffic.bytes_out > traffic.frames_in);
    a.transport.close().await;
    b.transport.close().await;
}

#[tokio::test]
async fn peer_with_another_key_is_refused_both_ways() {
    let a = TestPeer::start("a").await;
    let change =
        |options: &mut PeerOptions| options.keys = Some(KeySet::from_text(SECOND_KEY).unwrap());
    let mut stranger = TestPeer::start_with("stranger", change).await;
    let mut open = TestPeer::start_with("open", |options| options.keys = None).await;
    for other in [&mut stranger, &mut open] {
        let refused = not_sent(NotSentReason::Unreachable);
        assert_eq!(other.call(a.address(), "x", 10_000).await, refused);
        assert_eq!(a.call(other.address(), "x", 10_000).await, refused);
        assert!(other.frames.try_recv().is_err());
    }
    a.wait_for("two strangers are refused", |traffic| traffic.connections_refused >= 2).await;
    assert_eq!(a.transport.traffic().frames_in, 0);
    assert_eq!(a.transport.traffic().connections_accepted, 0);
}

#[tokio::test]
async fn keys_are_replaced_without_losing_links() {
    let both =
        |first: &str, second: &str| KeySet::from_text(&format!("{first}\n{second}\n")).unwrap();
    let old = TestPeer::start("old").await;
    let mixed =
        TestPeer::start_with("mixed", |options| options.keys = Some(both(SECOND_KEY, FIRST_KEY)))
            .await;
    let early =
        TestPeer::start_with("early", |options| options.keys = Some(both(FIRST_KEY, SECOND_KEY)))
            .await;
    assert!(old.call(mixed.address(), "x", 10_000).await.is_ok());
    assert!(early.call(mixed.address(), "x", 10_000).await.is_ok());
    assert!(mixed.call(early.address(), "x", 10_000).await.is_ok());
}

#[tokio::test]
async fn only_common_protocol_versions_link() {
    let versions =
        |min, max| move |options: &mut PeerOptions| options.versions = VersionRange { min, max };
    let present = TestPeer::start_with("present", versions(1, 2)).await;
    let next = TestPeer::start_with("next", versions(2, 3)).await;
    let late = TestPeer::start_with("late", versions(3, 4)).await;
    assert!(present.call(next.address(), "x", 10_000).await.is_ok());
    assert!(next.call(present.address(), "x", 10_000).await.is_ok());
    let refused = not_sent(NotSentReason::Unreachable);
    assert_eq!(present.call(late.address(), "x", 10_000).await, refused);
    assert_eq!(late.call(present.address(), "x", 10_000).await, refused);
}

#[tokio::test]
async fn stalled_peer_delays_no_other_and_recovers() {
    let limits = PeerLimits { stall_timeout: Duration::from_millis(300), ..PeerLimits::default() };
    let a = TestPeer::start_with("a", |options| options.limits = limits).await;
    let (mut stalled, mut healthy) = (TestPeer::start("s").await, TestPeer::start("h").await);
    let (relay, flows) = start_relay(stalled.address()).await;
    a.transport.send(relay, frame(FrameKind::Directory, "before"));
    stalled.next_frame().await;
    flows.send_replace(false);
    let bulk = PeerFrame { kind: FrameKind::Directory, payload: vec![1; 256 << 10].into() };
    for number in 0..200 {
        a.transport.send(relay, bulk.clone());
        a.transport.send(healthy.address(), frame(FrameKind::Directory, &number.to_string()));
        let (_, received) = healthy.next_frame().await;
        assert_eq!(received.payload, number.to_string().as_bytes());
    }
    a.wait_for("the stall is noticed", |traffic| traffic.connections_stalled >= 1).await;
    assert!(a.transport.traffic().frames_dropped > 100, "the queue is bounded");
    flows.send_replace(true);
    loop {
        a.transport.send(relay, frame(FrameKind::Directory, "after"));
        if stalled.next_frame().await.1.payload == "after" {
            break;
        }
    }
}

#[tokio::test]
async fn urgent_frames_pass_bulk_that_the_peer_does_not_take() {
    let a = TestPeer::start("a").await;
    let mut b = TestPeer::start("b").await;
    let (relay, flows) = start_relay(b.address()).await;
    a.transport.send(relay, frame(FrameKind::Quorum, "first"));
    a.transport.send(relay, frame(FrameKind::Directory, "first"));
    b.next_frame().await;
    b.next_frame().await;
    flows.send_replace(false);
    let bulk = PeerFrame { kind: FrameKind::Directory, payload: vec![1; MAX_FRAME_BYTES].into() };
    (0..4).for_each(|_| a.transport.send(relay, bulk.clone()));
    a.transport.send(relay, frame(FrameKind::Quorum, "vote"));
    a.wait_for("the vote is sent beside the bulk", |traffic| traffic.frames_out >= 4).await;
    flows.send_replace(true);
    let mut bulk_frames = 0;
    while b.next_frame().await.1.kind != FrameKind::Quorum {
        bulk_frames += 1;
    }
    assert!(bulk_frames < 4, "the vote waited for all of the bulk");
}

#[tokio::test]
async fn calls_that_hang_hold_up_no_frames() {
    let limits = PeerLimits { max_calls: 4, ..PeerLimits::default() };
    let a = TestPeer::start_with("a", |options| options.limits = limits).await;
    let mut b = TestPeer::start("b").await;
    let handle = a.transport.handle();
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..4 {
        let (handle, to) = (handle.clone(), b.address());
        calls.spawn(async move {
            handle.call(to, frame(FrameKind::Control, "hang"), Duration::from_secs(2)).await
        });
    }
    for _ in 0..4 {
        assert_eq!(b.next_frame().await.1.payload, "hang");
    }
    assert_eq!(a.call(b.address(), "x", 10_000).await, not_sent(NotSentReason::Busy));
    a.transport.send(b.address(), frame(FrameKind::Quorum, "vote"));
    assert_eq!(b.next_frame().await.1.payload, "vote");
    while let Some(answer) = calls.join_next().await {
        assert_eq!(answer.unwrap(), Err(PeerCallError::Unknown(UnknownReason::TimedOut)));
    }
    let busy = not_sent(NotSentReason::Busy);
    let mut answer = a.call(b.address(), "x", 10_000).await;
    while answer == busy {
        answer = a.call(b.address(), "x", 10_000).await;
    }
    assert!(answer.is_ok(), "ended calls make room: {answer:?}");
}

#[tokio::test]
async fn a_call_whose_caller_left_is_cancelled_at_the_peer() {
    let a = TestPeer::start("a").await;
    let mut b = TestPeer::start("b").await;
    let handle = a.transport.handle();
    let to = b.address();
    let call =
        tokio::spawn(
            async move { handle.call(to, frame(FrameKind::Control, "hang"), PATIENCE).await },
        );
    assert_eq!(b.next_frame().await.1.payload, "hang");
    assert_eq!(b.running.load(Ordering::SeqCst), 1);
    call.abort();
    let cancelled = async {
        while b.running.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(PATIENCE, cancelled).await.expect("the handler is dropped");
    assert!(a.call(b.address(), "x", 10_000).await.is_ok(), "the link goes on");
}

#[tokio::test]
async fn dead_connection_is_given_up_after_a_call_without_answer() {
    let limits = PeerLimits { ping_timeout: Duration::from_secs(1), ..PeerLimits::default() };
    let a = TestPeer::start_with("a", |options| options.limits = limits).await;
    let b = TestPeer::start("b").await;
    let (relay, flows) = start_relay(b.address()).await;
    assert!(a.call(relay, "x", 10_000).await.is_ok());
    let lost = Err(PeerCallError::Unknown(UnknownReason::TimedOut));
    assert_eq!(a.call(relay, "hang", 50).await, lost, "a slow handler");
    flows.send_replace(false);
    assert_eq!(a.call(relay, "x", 50).await, lost, "a dead connection");
    a.wait_for("the connection is given up", |traffic| traffic.connections_stalled >= 1).await;
    flows.send_replace(true);
    while a.call(relay, "x", 10_000).await.is_err() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert!(a.transport.traffic().connections_made >= 2);
}

#[tokio::test]
async fn calls_tell_not_sent_from_unknown() {
    let a = TestPeer::start("a").await;
    let mut b = TestPeer::start("b").await;
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = unused.local_addr().unwrap();
    assert_eq!(a.call(address, "x", 50).await, not_sent(NotSentReason::TimedOut), "a silent peer");
    drop(unused);
    let gone = "127.0.0.1:1".parse().unwrap();
    assert_eq!(a.call(gone, "x", 10_000).await, not_sent(NotSentReason::Unreachable));
    let lost = {
        let (handle, to) = (a.transport.handle(), b.address());
        tokio::spawn(
            async move { handle.call(to, frame(FrameKind::Control, "hang"), PATIENCE).await },
        )
    };
    b.next_frame().await;
    b.transport.close().await;
    assert_eq!(lost.await.unwrap(), Err(PeerCallError::Unknown(UnknownReason::Lost)));
    let handle = a.transport.handle();
    a.transport.close().await;
    let late = handle.call(gone, frame(FrameKind::Control, "x"), PATIENCE).await;
    assert_eq!(late, not_sent(NotSentReason::Closed));
}

#[tokio::test]
async fn oversized_payloads_are_refused_on_both_sides() {
    let (a, b) = (TestPeer::start("a").await, TestPeer::start("b").await);
    let large = PeerFrame { kind: FrameKind::Quorum, payload: vec![0; MAX_FRAME_BYTES + 1].into() };
    let refused = a.transport.call(b.address(), large.clone(), PATIENCE).await;
    assert_eq!(refused, not_sent(NotSentReason::TooLarge));
    a.transport.send(b.address(), large);
    assert_eq!(a.transport.traffic().frames_dropped, 1);
    // A message of one segment that claims 2 MiB.
    let claims = [0_u32.to_le_bytes(), ((2 << 20) / 8_u32).to_le_bytes()].concat();
    assert_closed_by(&b, claims).await;
    // Small messages without end, before any proof.
    let empty_message = [0_u32.to_le_bytes(), 1_u32.to_le_bytes(), [0; 4], [0; 4]].concat();
    assert_closed_by(&b, empty_message.repeat(1_000)).await;
}

/// Sends bytes to a peer and waits until it closes the connection.
async fn assert_closed_by(peer: &TestPeer, bytes: Vec<u8>) {
    let address = peer.address();
    let closed = tokio::task::spawn_blocking(move || {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        // The peer may close before it read everything.
        let _ = stream.write_all(&bytes);
        let mut sink = Vec::new();
        match stream.read_to_end(&mut sink) {
            Ok(_) => true,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    });
    assert!(closed.await.unwrap(), "the connection stayed open");
}

#[tokio::test]
async fn connections_without_proof_are_few_and_dropped() {
    let limits = PeerLimits { max_unauthenticated: 2, ..PeerLimits::default() };
    let b = TestPeer::start_with("b", |options| options.limits = limits).await;
    let first = TcpStream::connect(b.address()).await.unwrap();
    let second = TcpStream::connect(b.address()).await.unwrap();
    assert_closed_by(&b, Vec::new()).await;
    for mut silent in [first, second] {
        let mut sink = Vec::new();
        let read = tokio::io::AsyncReadExt::read_to_end(&mut silent, &mut sink);
        let closed =
            tokio::time::timeout(PATIENCE, read).await.expect("the connection stayed open");
        assert_eq!(closed.unwrap(), 0);
    }
    b.wait_for("all three are refused", |traffic| traffic.connections_refused == 3).await;
    let a = TestPeer::start("a").await;
    assert!(a.call(b.address(), "x", 10_000).await.is_ok(), "dropped connections make room");
}

#[tokio::test]
async fn restarted_peer_at_the_same_address_is_found_again() {
    let a = TestPeer::start("a").await;
    let b = TestPeer::start("b").await;
    let address = b.address();
    assert!(a.call(address, "x", 10_000).await.is_ok());
    b.transport.close().await;
    let restart = |options: &mut PeerOptions| {
        options.listen = address;
        options.incarnation = Incarnation::new(2);
    };
    let mut b = TestPeer::start_with("b", restart).await;
    while a.call(address, "again", 10_000).await.is_err() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(b.next_frame().await.1.payload, "again");
    assert!(b.call(a.address(), "x", 10_000).await.is_ok());
}

#[tokio::test]
async fn unused_connections_are_closed_and_made_again() {
    let limits = PeerLimits { idle_timeout: Duration::from_millis(50), ..PeerLimits::default() };
    let a = TestPeer::start_with("a", |options| options.limits = limits).await;
    let b = TestPeer::start("b").await;
    for round in 1..=3 {
        assert!(a.call(b.address(), "x", 10_000).await.is_ok());
        a.wait_for("unused", |traffic| traffic.connections_open == 0).await;
        b.wait_for("unused", |traffic| traffic.connections_open == 0).await;
        assert_eq!(a.transport.traffic().connections_made, round);
    }
}

#[tokio::test]
async fn closing_sends_what_waits() {
    let (a, mut b) = (TestPeer::start("a").await, TestPeer::start("b").await);
    for number in 0..200 {
        a.transport.send(b.address(), frame(FrameKind::Membership, &number.to_string()));
    }
    a.transport.close().await;
    for number in 0..200 {
        assert_eq!(b.next_frame().await.1.payload, number.to_string().as_bytes());
    }
}

#[tokio::test]
async fn stamps_travel_with_messages_and_answers() {
    let timeline = |id: &str, wall: u64| {
        let options = TimelineOptions {
            instance: id.parse().unwrap(),
            incarnation: Incarnation::new(1),
            max_events: 16,
            data_dir: None,
            max_file_bytes: 1 << 16,
            wall: Arc::new(move || WallTime::from_millis(wall)),
        };
        TimelineStore::open(options, slog::Logger::root(slog::Discard, slog::o!())).unwrap()
    };
    let (slow, fast) = (timeline("slow", 1_000).recorder(), timeline("fast", 3_000).recorder());
    let clock = |recorder: &TimelineRecorder| {
        let clock = Arc::new(recorder.clone());
        move |options: &mut PeerOptions| options.clock = Some(clock)
    };
    let a = TestPeer::start_with("slow", clock(&slow)).await;
    let b = TestPeer::start_with("fast", clock(&fast)).await;
    let cause = fast.stamp();
    b.call(a.address(), "x", 10_000).await.unwrap();
    let received = slow.stamp();
    assert!(received > cause, "{received} after the call, {cause} before it");
    a.call(b.address(), "x", 10_000).await.unwrap();
    assert!(fast.stamp() > received);
    let plain = TestPeer::start("plain").await;
    plain.call(a.address(), "x", 10_000).await.unwrap();
    assert_eq!(slow.counts().clock_drifts + fast.counts().clock_drifts, 0);
}
