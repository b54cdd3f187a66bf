//! Connects to a peer and proves the key to it.

use std::net::SocketAddr;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use derive_more::{Display, Error, From};
use tokio::{net::TcpStream, task::JoinSet, time::timeout};

use super::{
    auth::{HandshakeRecord, PROOF_BYTES, PeerIdentity, ProofSide},
    codec,
    generated::peer_capnp::{Refusal, peer_gate, peer_session},
    stream::{StreamGuard, split_stream},
    thread::LinkContext,
};

/// The reason a peer could not be connected to.
#[derive(Debug, Display, Error, From)]
pub(super) enum DialError {
    /// The connection was refused or lost.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The peer does not follow the protocol.
    #[display("{_0}")]
    Protocol(capnp::Error),
    /// The peer refused the handshake.
    #[display("the peer refused the handshake ({_0:?})")]
    #[error(ignore)]
    Refused(Refusal),
    /// The peer agreed on a version that was not offered.
    #[display("the peer agreed on protocol version {_0}, which was not offered")]
    #[error(ignore)]
    BadVersion(u16),
    /// The peer did not prove the key.
    #[display("the peer did not prove the key")]
    #[from(ignore)]
    BadProof,
    /// The handshake took too long.
    #[display("no connection in time")]
    #[from(ignore)]
    TimedOut,
}

/// A connection whose two sides proved a key to each other.
pub(super) struct DialedConnection {
    /// What the peer offers.
    pub(super) session: peer_session::Client,
    /// Runs the connection; ends when the connection is lost.
    pub(super) driver: JoinSet<()>,
}

/// Connects to the peer at `address` within the time that the limits allow.
pub(super) async fn dial_peer(
    context: &LinkContext,
    address: SocketAddr,
) -> Result<DialedConnection, DialError> {
    let limit = context.limits.handshake_timeout;
    let stream =
        timeout(limit, TcpStream::connect(address)).await.map_err(|_| DialError::TimedOut)??;
    stream.set_nodelay(true)?;
    timeout(limit, shake_hands(context, stream)).await.map_err(|_| DialError::TimedOut)?
}

/// Starts the RPC system on a new connection and proves the key.
async fn shake_hands(
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
        // A lost connection also fails the calls that run on it.
        let _ = system.await;
    });
    let session = prove_key(context, &gate).await?;
    Ok(DialedConnection { session, driver })
}

/// Exchanges proofs and returns what the peer offers then.
async fn prove_key(
    context: &LinkContext,
    gate: &peer_gate::Client,
) -> Result<peer_session::Client, DialError> {
    let dialer = context.make_identity();
    let (version, acceptor) = exchange_hello(context, gate, &dialer).await?;
    let record = HandshakeRecord {
        offered: context.versions,
        version,
        dialer: &dialer,
        acceptor: &acceptor,
    };
    let key = context.keys.first();
    let mut request = gate.prove_request();
    request.get().set_proof(&key.prove(ProofSide::Dialer, &record));
    let response = request.send().promise.await?;
    let reply = response.get()?;
    accept_refusal(reply.get_refusal())?;
    let proof = reply.get_proof()?;
    if proof.len() != PROOF_BYTES || !key.verify(ProofSide::Acceptor, &record, proof) {
        return Err(DialError::BadProof);
    }
    Ok(reply.get_session()?)
}

/// Agrees on a version and learns who the peer is.
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
    accept_refusal(reply.get_refusal())?;
    let version = reply.get_version();
    if !(context.versions.min..=context.versions.max).contains(&version) {
        return Err(DialError::BadVersion(version));
    }
    Ok((version, codec::read_identity(reply.get_acceptor()?)?))
}

/// Turns a refusal in an answer into an error.
fn accept_refusal(refusal: Result<Refusal, capnp::NotInSchema>) -> Result<(), DialError> {
    match refusal.map_err(capnp::Error::from)? {
        Refusal::None => Ok(()),
        refusal => Err(DialError::Refused(refusal)),
    }
}
