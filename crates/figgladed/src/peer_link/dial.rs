//! Connects to a peer and performs the handshake.

use std::net::SocketAddr;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use derive_more::{Display, Error, From};
use tokio::{net::TcpStream, task::JoinSet, time::timeout};

use super::{
    auth::{HandshakeTranscript, PROOF_BYTES, PeerIdentity, ProofSide},
    codec,
    generated::peer_capnp::{Refusal, peer_gate, peer_session},
    stream::{StreamGuard, split_stream},
    thread::LinkContext,
};

/// The reason a peer could not be connected to.
#[derive(Debug, Display, Error, From)]
pub(super) enum DialError {
    /// The TCP connection failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The connection was lost during the handshake, or the peer violated the protocol.
    #[display("{_0}")]
    Protocol(capnp::Error),
    /// The peer refused the handshake.
    #[display("the peer refused the handshake ({_0:?})")]
    #[error(ignore)]
    Refused(Refusal),
    /// The peer selected a version that was not offered.
    #[display("the peer selected protocol version {_0}, which was not offered")]
    #[error(ignore)]
    BadVersion(u16),
    /// The proof of the peer does not match the key.
    #[display("the proof of the peer does not match the key")]
    #[from(ignore)]
    BadProof,
    /// Connecting or the handshake exceeded its time limit.
    #[display("connecting or the handshake timed out")]
    #[from(ignore)]
    TimedOut,
}

/// An outgoing connection whose two sides have authenticated each other.
pub(super) struct DialedConnection {
    /// The interface of the peer.
    pub(super) session: peer_session::Client,
    /// The task that runs the RPC system; it ends when the connection is lost.
    pub(super) driver: JoinSet<()>,
}

/// Connects to the peer at `address` and performs the handshake, each within the handshake
/// timeout.
pub(super) async fn dial_peer(
    context: &LinkContext,
    address: SocketAddr,
) -> Result<DialedConnection, DialError> {
    let limit = context.limits.handshake_timeout;
    let stream =
        timeout(limit, TcpStream::connect(address)).await.map_err(|_| DialError::TimedOut)??;
    stream.set_nodelay(true)?;
    timeout(limit, perform_handshake(context, stream)).await.map_err(|_| DialError::TimedOut)?
}

/// Starts the RPC system on a new connection and authenticates.
async fn perform_handshake(
    context: &LinkContext,
    stream: TcpStream,
) -> Result<DialedConnection, DialError> {
    let guard = StreamGuard::for_dialer();
    let (reader, writer) = split_stream(stream, context.traffic.clone(), &guard);
    let network = VatNetwork::new(reader, writer, Side::Client, codec::reader_options());
    let mut system = RpcSystem::new(Box::new(network), None);
    system.set_background_error_handler(|_| {});
    let gate: peer_gate::Client = system.bootstrap(Side::Server);
    let mut driver = JoinSet::new();
    driver.spawn_local(async move {
        // The error is ignored because the calls in flight fail with it as well.
        let _ = system.await;
    });
    let session = authenticate(context, &gate).await?;
    Ok(DialedConnection { session, driver })
}

/// Exchanges proofs and returns the session of the peer.
async fn authenticate(
    context: &LinkContext,
    gate: &peer_gate::Client,
) -> Result<peer_session::Client, DialError> {
    let dialer = context.make_identity();
    let (version, acceptor) = exchange_hello(context, gate, &dialer).await?;
    let transcript = HandshakeTranscript {
        offered: context.versions,
        version,
        dialer: &dialer,
        acceptor: &acceptor,
    };
    let key = context.keys.dial_key();
    let mut request = gate.prove_request();
    request.get().set_proof(&key.prove(ProofSide::Dialer, &transcript));
    let response = request.send().promise.await?;
    let reply = response.get()?;
    check_refusal(reply.get_refusal())?;
    let proof = reply.get_proof()?;
    if proof.len() != PROOF_BYTES || !key.verify(ProofSide::Acceptor, &transcript, proof) {
        return Err(DialError::BadProof);
    }
    Ok(reply.get_session()?)
}

/// Negotiates the version and returns it with the identity of the peer.
async fn exchange_hello(
    context: &LinkContext,
    gate: &peer_gate::Client,
    dialer: &PeerIdentity,
) -> Result<(u16, PeerIdentity), DialError> {
    let mut request = gate.hello_request();
    let mut hello = request.get();
    hello.set_version(context.versions.max);
    hello.set_min_version(context.versions.min);
    codec::write_identity(hello.init_dialer(), dialer);
    let response = request.send().promise.await?;
    let reply = response.get()?;
    check_refusal(reply.get_refusal())?;
    let version = reply.get_version();
    if !(context.versions.min..=context.versions.max).contains(&version) {
        return Err(DialError::BadVersion(version));
    }
    Ok((version, codec::read_identity(reply.get_acceptor()?)?))
}

/// Converts a refusal in an answer to an error.
fn check_refusal(refusal: Result<Refusal, capnp::NotInSchema>) -> Result<(), DialError> {
    match refusal.map_err(capnp::Error::from)? {
        Refusal::None => Ok(()),
        refusal => Err(DialError::Refused(refusal)),
    }
}
