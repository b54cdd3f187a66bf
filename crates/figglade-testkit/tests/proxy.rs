//! Sends bytes through the proxy under each of its faults.

use std::{net::SocketAddr, time::Duration};

use figglade_testkit::{FaultProxy, ProxyDirection, ProxyFault};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::Instant,
};

/// A server that echoes what it reads and reports the bytes it has read so far.
struct EchoServer {
    address: SocketAddr,
    read_totals: mpsc::UnboundedReceiver<usize>,
}

impl EchoServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (sender, read_totals) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(echo(stream, sender.clone()));
            }
        });
        Self { address, read_totals }
    }

    async fn wait_for_total(&mut self, total: usize) {
        while self.read_totals.recv().await != Some(total) {}
    }
}

async fn echo(mut stream: TcpStream, totals: mpsc::UnboundedSender<usize>) {
    let mut total = 0;
    let mut buffer = [0; 64];
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        total += length;
        let _ = totals.send(total);
        if stream.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

async fn connect(proxy: &FaultProxy) -> TcpStream {
    TcpStream::connect(proxy.address()).await.expect("connect")
}

/// Sends four bytes and reads them back.
async fn round_trip(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    stream.write_all(b"ping").await?;
    let mut answer = [0; 4];
    stream.read_exact(&mut answer).await?;
    Ok(answer)
}

#[tokio::test]
async fn faultless_proxy_passes_bytes_and_ends() {
    let server = EchoServer::start().await;
    let proxy = FaultProxy::start(server.address).await.expect("proxy");
    let mut stream = connect(&proxy).await;
    assert_eq!(round_trip(&mut stream).await.expect("echo"), *b"ping");
    stream.shutdown().await.expect("shutdown");
    assert_eq!(stream.read(&mut [0; 1]).await.expect("end"), 0);
    assert_eq!(proxy.accepted(), 1);
    proxy.close().await;
}

#[tokio::test]
async fn delay_holds_bytes_for_its_time() {
    let server = EchoServer::start().await;
    let proxy = FaultProxy::start(server.address).await.expect("proxy");
    let mut stream = connect(&proxy).await;
    let delay = Duration::from_millis(30);
    proxy.set_direction_fault(ProxyDirection::ToClient, ProxyFault::Delay { delay });
    let start = Instant::now();
    round_trip(&mut stream).await.expect("echo");
    assert!(start.elapsed() >= delay);
    proxy.close().await;
}

#[tokio::test]
async fn reset_breaks_the_connection_at_the_next_byte() {
    let server = EchoServer::start().await;
    let proxy = FaultProxy::start(server.address).await.expect("proxy");
    for direction in [ProxyDirection::ToTarget, ProxyDirection::ToClient] {
        let mut stream = connect(&proxy).await;
        round_trip(&mut stream).await.expect("echo");
        proxy.set_direction_fault(direction, ProxyFault::Reset);
        let error = round_trip(&mut stream).await.expect_err("reset");
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
        proxy.set_fault(ProxyFault::None);
    }
    proxy.close().await;
}

#[tokio::test]
async fn stalled_bytes_arrive_once_the_stall_ends() {
    let server = EchoServer::start().await;
    let proxy = FaultProxy::start(server.address).await.expect("proxy");
    let mut stream = connect(&proxy).await;
    round_trip(&mut stream).await.expect("echo");
    proxy.set_direction_fault(ProxyDirection::ToTarget, ProxyFault::Stall);
    let mut echoed = Box::pin(round_trip(&mut stream));
    let early = tokio::time::timeout(Duration::from_millis(20), &mut echoed).await;
    assert!(early.is_err(), "bytes passed a stall");
    proxy.set_fault(ProxyFault::None);
    assert_eq!(echoed.await.expect("echo"), *b"ping");
    proxy.close().await;
}

#[tokio::test]
async fn one_way_cut_passes_the_other_way_and_resets_when_healed() {
    let mut server = EchoServer::start().await;
    let proxy = FaultProxy::start(server.address).await.expect("proxy");
    let mut stream = connect(&proxy).await;
    round_trip(&mut stream).await.expect("echo");
    proxy.set_direction_fault(ProxyDirection::ToClient, ProxyFault::Cut);
    stream.write_all(b"lost").await.expect("write");
    server.wait_for_total(8).await;
    let mut buffer = [0; 4];
    let early = tokio::time::timeout(Duration::from_millis(20), stream.read(&mut buffer)).await;
    assert!(early.is_err(), "bytes passed a cut");
    proxy.set_fault(ProxyFault::None);
    assert!(stream.read(&mut buffer).await.is_err(), "a stream with a hole went on");
    proxy.close().await;
}

#[tokio::test]
async fn cut_towards_the_target_keeps_bytes_from_it() {
    let mut server = EchoServer::start().await;
    let proxy = FaultProxy::start(server.address).await.expect("proxy");
    proxy.set_direction_fault(ProxyDirection::ToTarget, ProxyFault::Cut);
    let mut cut = connect(&proxy).await;
    cut.write_all(b"lost").await.expect("write");
    let early = tokio::time::timeout(Duration::from_millis(20), server.read_totals.recv()).await;
    assert!(early.is_err(), "bytes passed a cut");
    proxy.set_fault(ProxyFault::None);
    round_trip(&mut connect(&proxy).await).await.expect("a new connection works");
    proxy.close().await;
}

#[tokio::test]
async fn truncation_delivers_the_first_bytes_only() {
    let server = EchoServer::start().await;
    let proxy = FaultProxy::start(server.address).await.expect("proxy");
    proxy.set_direction_fault(ProxyDirection::ToClient, ProxyFault::Truncate { bytes: 3 });
    let mut stream = connect(&proxy).await;
    stream.write_all(b"ping").await.expect("write");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("orderly end");
    assert_eq!(answer, b"pin");
    proxy.close().await;
}

#[tokio::test]
async fn drip_delivers_every_byte_slowly() {
    let server = EchoServer::start().await;
    let proxy = FaultProxy::start(server.address).await.expect("proxy");
    let pause = Duration::from_millis(5);
    let fault = ProxyFault::Drip { piece_bytes: 1, pause };
    proxy.set_direction_fault(ProxyDirection::ToClient, fault);
    let mut stream = connect(&proxy).await;
    let start = Instant::now();
    assert_eq!(round_trip(&mut stream).await.expect("echo"), *b"ping");
    assert!(start.elapsed() >= 4 * pause);
    proxy.close().await;
}

#[tokio::test]
async fn refusal_spares_open_connections() {
    let server = EchoServer::start().await;
    let proxy = FaultProxy::start(server.address).await.expect("proxy");
    let mut open = connect(&proxy).await;
    round_trip(&mut open).await.expect("echo");
    proxy.set_fault(ProxyFault::Refuse);
    if let Ok(mut refused) = TcpStream::connect(proxy.address()).await {
        assert!(round_trip(&mut refused).await.is_err());
    }
    round_trip(&mut open).await.expect("an open connection goes on");
    proxy.reset_connections();
    // The reset travels on its own; every connection must meet it in the end.
    while round_trip(&mut open).await.is_ok() {}
    proxy.close().await;
}
