//! Tests peer links between transports on loopback, with peers that stall, restart or send invalid
//! data.

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

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const FIRST_KEY: &str = "first-peer-key-0123456789";
const SECOND_KEY: &str = "second-peer-key-0123456789";

/// Passes received frames to the test; answers calls as their payload requests.
struct TestHandler {
    frames: mpsc::UnboundedSender<(PeerSender, PeerFrame)>,
    running: Arc<AtomicUsize>,
}

/// Counts a running call handler; dropping it ends the count.
struct RunningCall(Arc<AtomicUsize>);

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl PeerHandler for TestHandler {
    fn handle_frame(&self, from: PeerSender, frame: PeerFrame) {
        // The test may have dropped the receiver.
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

/// A transport and the frames it received.
struct TestPeer {
    transport: PeerTransport,
    frames: mpsc::UnboundedReceiver<(PeerSender, PeerFrame)>,
    /// The number of call handlers that are running.
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
        tokio::time::timeout(TEST_TIMEOUT, self.frames.recv())
            .await
            .expect("no frame arrived")
            .unwrap()
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
        let outcome = tokio::time::timeout(TEST_TIMEOUT, reached).await;
        assert!(outcome.is_ok(), "{what}: {:?}", self.transport.traffic());
    }
}

fn frame(kind: FrameKind, text: &str) -> PeerFrame {
    PeerFrame { kind, payload: Bytes::copy_from_slice(text.as_bytes()) }
}

fn not_sent(reason: NotSentReason) -> Result<PeerFrame, PeerCallError> {
    Err(PeerCallError::NotSent(reason))
}

/// Starts a TCP proxy that can stop forwarding bytes while its connections stay open.
async fn start_proxy(to: SocketAddr) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (forwarding, is_forwarding) = watch::channel(true);
    tokio::spawn(async move {
        loop {
            let (inbound, _) = listener.accept().await.unwrap();
            let Ok(outbound) = TcpStream::connect(to).await else { continue };
            let (client_read, client_write) = inbound.into_split();
            let (server_read, server_write) = outbound.into_split();
            tokio::spawn(forward_bytes(client_read, server_write, is_forwarding.clone()));
            tokio::spawn(forward_bytes(server_read, client_write, is_forwarding.clone()));
        }
    });
    (address, forwarding)
}

async fn forward_bytes(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut is_forwarding: watch::Receiver<bool>,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = vec![0; 16 << 10];
    while is_forwarding.wait_for(|forwarding| *forwarding).await.is_ok() {
        let Ok(length @ 1..) = from.read(&mut buffer).await else { return };
        if is_forwarding.wait_for(|forwarding| *forwarding).await.is_err() {
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
    assert!(!refused.is_known_undelivered());
    let large = PeerFrame { kind: FrameKind::Events, payload: vec![7; MAX_FRAME_BYTES].into() };
    let answer = a.transport.call(b.address(), large.clone(), TEST_TIMEOUT).await;
    assert_eq!(answer, Ok(large));
    let traffic = b.transport.traffic();
    assert_eq!(traffic.frames_in, 4);
    assert!(traffic.bytes_in > MAX_FRAME_BYTES as u64 && traffic.bytes_out > traffic.frames_in);
    a.transport.close().await;
    b.transport.close().await;
}

#[tokio::test]
async fn peer_with_another_key_is_refused_in_both_directions() {
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
    a.wait_for("both peers with other keys are refused", |traffic| {
        traffic.connections_refused >= 2
    })
    .await;
    assert_eq!(a.transport.traffic().frames_in, 0);
    assert_eq!(a.transport.traffic().connections_accepted, 0);
}

#[tokio::test]
async fn keys_can_be_rotated_without_losing_links() {
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
async fn links_require_a_common_protocol_version() {
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
async fn stalled_peer_does_not_delay_others_and_recovers() {
    let limits = PeerLimits { stall_timeout: Duration::from_millis(300), ..PeerLimits::default() };
    let a = TestPeer::start_with("a", |options| options.limits = limits).await;
    let (mut stalled, mut healthy) = (TestPeer::start("s").await, TestPeer::start("h").await);
    let (proxy, forwarding) = start_proxy(stalled.address()).await;
    a.transport.send(proxy, frame(FrameKind::Directory, "before"));
    stalled.next_frame().await;
    forwarding.send_replace(false);
    let bulk = PeerFrame { kind: FrameKind::Directory, payload: vec![1; 256 << 10].into() };
    for number in 0..200 {
        a.transport.send(proxy, bulk.clone());
        a.transport.send(healthy.address(), frame(FrameKind::Directory, &number.to_string()));
        let (_, received) = healthy.next_frame().await;
        assert_eq!(received.payload, number.to_string().as_bytes());
    }
    a.wait_for("the stall is detected", |traffic| traffic.connections_stalled >= 1).await;
    assert!(a.transport.traffic().frames_dropped > 100, "frames above the queue limit are dropped");
    forwarding.send_replace(true);
    loop {
        a.transport.send(proxy, frame(FrameKind::Directory, "after"));
        if stalled.next_frame().await.1.payload == "after" {
            break;
        }
    }
}

#[tokio::test]
async fn urgent_frames_overtake_bulk_frames_that_the_peer_does_not_read() {
    let a = TestPeer::start("a").await;
    let mut b = TestPeer::start("b").await;
    let (proxy, forwarding) = start_proxy(b.address()).await;
    a.transport.send(proxy, frame(FrameKind::Quorum, "first"));
    a.transport.send(proxy, frame(FrameKind::Directory, "first"));
    b.next_frame().await;
    b.next_frame().await;
    forwarding.send_replace(false);
    let bulk = PeerFrame { kind: FrameKind::Directory, payload: vec![1; MAX_FRAME_BYTES].into() };
    (0..4).for_each(|_| a.transport.send(proxy, bulk.clone()));
    a.transport.send(proxy, frame(FrameKind::Quorum, "vote"));
    a.wait_for("the vote is sent while bulk frames are blocked", |traffic| traffic.frames_out >= 4)
        .await;
    forwarding.send_replace(true);
    let mut bulk_frames = 0;
    while b.next_frame().await.1.kind != FrameKind::Quorum {
        bulk_frames += 1;
    }
    assert!(bulk_frames < 4, "the vote was delivered after all bulk frames");
}

#[tokio::test]
async fn hanging_calls_do_not_block_frames() {
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
    assert!(answer.is_ok(), "finished calls free capacity: {answer:?}");
}

#[tokio::test]
async fn dropped_call_is_cancelled_at_the_peer() {
    let a = TestPeer::start("a").await;
    let mut b = TestPeer::start("b").await;
    let handle = a.transport.handle();
    let to = b.address();
    let call = tokio::spawn(async move {
        handle.call(to, frame(FrameKind::Control, "hang"), TEST_TIMEOUT).await
    });
    assert_eq!(b.next_frame().await.1.payload, "hang");
    assert_eq!(b.running.load(Ordering::SeqCst), 1);
    call.abort();
    let cancelled = async {
        while b.running.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, cancelled).await.expect("the handler is dropped");
    assert!(a.call(b.address(), "x", 10_000).await.is_ok(), "the link stays usable");
}

#[tokio::test]
async fn dead_connection_is_dropped_after_a_call_times_out() {
    let limits = PeerLimits { ping_timeout: Duration::from_secs(1), ..PeerLimits::default() };
    let a = TestPeer::start_with("a", |options| options.limits = limits).await;
    let b = TestPeer::start("b").await;
    let (proxy, forwarding) = start_proxy(b.address()).await;
    assert!(a.call(proxy, "x", 10_000).await.is_ok());
    let lost = Err(PeerCallError::Unknown(UnknownReason::TimedOut));
    assert_eq!(a.call(proxy, "hang", 50).await, lost, "a slow handler");
    forwarding.send_replace(false);
    assert_eq!(a.call(proxy, "x", 50).await, lost, "a dead connection");
    a.wait_for("the dead connection is dropped", |traffic| traffic.connections_stalled >= 1).await;
    forwarding.send_replace(true);
    while a.call(proxy, "x", 10_000).await.is_err() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert!(a.transport.traffic().connections_made >= 2);
}

#[tokio::test]
async fn call_errors_distinguish_not_sent_from_unknown() {
    let a = TestPeer::start("a").await;
    let mut b = TestPeer::start("b").await;
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = unused.local_addr().unwrap();
    assert_eq!(
        a.call(address, "x", 50).await,
        not_sent(NotSentReason::TimedOut),
        "a peer that does not answer the handshake"
    );
    drop(unused);
    let gone = "127.0.0.1:1".parse().unwrap();
    assert_eq!(a.call(gone, "x", 10_000).await, not_sent(NotSentReason::Unreachable));
    let lost = {
        let (handle, to) = (a.transport.handle(), b.address());
        tokio::spawn(async move {
            handle.call(to, frame(FrameKind::Control, "hang"), TEST_TIMEOUT).await
        })
    };
    b.next_frame().await;
    b.transport.close().await;
    assert_eq!(lost.await.unwrap(), Err(PeerCallError::Unknown(UnknownReason::Lost)));
    let handle = a.transport.handle();
    a.transport.close().await;
    let late = handle.call(gone, frame(FrameKind::Control, "x"), TEST_TIMEOUT).await;
    assert_eq!(late, not_sent(NotSentReason::Closed));
}

#[tokio::test]
async fn oversized_payloads_are_refused_on_both_sides() {
    let (a, b) = (TestPeer::start("a").await, TestPeer::start("b").await);
    let large = PeerFrame { kind: FrameKind::Quorum, payload: vec![0; MAX_FRAME_BYTES + 1].into() };
    let refused = a.transport.call(b.address(), large.clone(), TEST_TIMEOUT).await;
    assert_eq!(refused, not_sent(NotSentReason::TooLarge));
    a.transport.send(b.address(), large);
    assert_eq!(a.transport.traffic().frames_dropped, 1);
    // A message header that announces one segment of 2 MiB.
    let claims = [0_u32.to_le_bytes(), ((2 << 20) / 8_u32).to_le_bytes()].concat();
    assert_closed_by(&b, claims).await;
    // Many small messages before authentication.
    let empty_message = [0_u32.to_le_bytes(), 1_u32.to_le_bytes(), [0; 4], [0; 4]].concat();
    assert_closed_by(&b, empty_message.repeat(1_000)).await;
}

/// Sends bytes to a peer and waits until it closes the connection.
async fn assert_closed_by(peer: &TestPeer, bytes: Vec<u8>) {
    let address = peer.address();
    let closed = tokio::task::spawn_blocking(move || {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        // The peer may close the connection before all bytes are written.
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
async fn unauthenticated_connections_are_limited_and_closed() {
    let limits = PeerLimits { max_unauthenticated: 2, ..PeerLimits::default() };
    let b = TestPeer::start_with("b", |options| options.limits = limits).await;
    let first = TcpStream::connect(b.address()).await.unwrap();
    let second = TcpStream::connect(b.address()).await.unwrap();
    assert_closed_by(&b, Vec::new()).await;
    for mut silent in [first, second] {
        let mut sink = Vec::new();
        let read = tokio::io::AsyncReadExt::read_to_end(&mut silent, &mut sink);
        let closed =
            tokio::time::timeout(TEST_TIMEOUT, read).await.expect("the connection stayed open");
        assert_eq!(closed.unwrap(), 0);
    }
    b.wait_for("all three connections are refused", |traffic| traffic.connections_refused == 3)
        .await;
    let a = TestPeer::start("a").await;
    assert!(a.call(b.address(), "x", 10_000).await.is_ok(), "closed connections free capacity");
}

#[tokio::test]
async fn restarted_peer_at_the_same_address_is_reconnected() {
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
async fn idle_connections_are_closed_and_reopened() {
    let limits = PeerLimits { idle_timeout: Duration::from_millis(50), ..PeerLimits::default() };
    let a = TestPeer::start_with("a", |options| options.limits = limits).await;
    let b = TestPeer::start("b").await;
    for round in 1..=3 {
        assert!(a.call(b.address(), "x", 10_000).await.is_ok());
        a.wait_for("the idle connection is closed", |traffic| traffic.connections_open == 0).await;
        b.wait_for("the idle connection is closed", |traffic| traffic.connections_open == 0).await;
        assert_eq!(a.transport.traffic().connections_made, round);
    }
}

#[tokio::test]
async fn close_sends_queued_frames() {
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
async fn calls_and_answers_carry_stamps() {
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
