//! The RPC interfaces of an accepted connection, before and after authentication.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use figglade::peer::{FrameKind, MAX_FRAME_BYTES, PeerFrame};
use tokio::{
    sync::{Notify, OwnedSemaphorePermit},
    time::timeout,
};
use tokio_util::task::AbortOnDropHandle;

use super::{
    auth::{HandshakeTranscript, PeerIdentity, ProofSide},
    codec,
    generated::peer_capnp::{Refusal, peer_gate, peer_session},
    options::VersionRange,
    roster::RosterEntry,
    stream::StreamGuard,
    thread::LinkContext,
    types::{CallRefusal, PeerSender},
};

/// The maximum timeout that a peer may request for a call.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The handshake between the hello and the proof of the dialer.
struct PendingHandshake {
    offered: VersionRange,
    version: u16,
    dialer: PeerIdentity,
    acceptor: PeerIdentity,
}

/// The interface of a connection before authentication.
pub(super) struct PeerGateServer {
    context: Rc<LinkContext>,
    guard: Rc<StreamGuard>,
    pending_handshake: RefCell<Option<PendingHandshake>>,
    unauthenticated_permit: RefCell<Option<OwnedSemaphorePermit>>,
    replaced: Arc<Notify>,
    entry: RefCell<Option<RosterEntry>>,
}

impl PeerGateServer {
    /// Builds the interface of a new connection. `unauthenticated_permit` is released when the peer
    /// has authenticated; `replaced` signals that a newer connection of the peer replaces this one,
    /// which then must be closed.
    pub(super) fn new(
        context: Rc<LinkContext>,
        guard: Rc<StreamGuard>,
        unauthenticated_permit: OwnedSemaphorePermit,
        replaced: Arc<Notify>,
    ) -> Self {
        Self {
            context,
            guard,
            pending_handshake: RefCell::new(None),
            unauthenticated_permit: RefCell::new(Some(unauthenticated_permit)),
            replaced,
            entry: RefCell::new(None),
        }
    }

    /// Negotiates the protocol version and stores the handshake until the proof arrives.
    fn handle_hello(
        &self,
        params: peer_gate::hello_params::Reader<'_>,
        mut results: peer_gate::hello_results::Builder<'_>,
    ) {
        let offered = VersionRange { min: params.get_min_version(), max: params.get_version() };
        let Some(version) = self.context.versions.common_with(offered) else {
            self.context.log_refusal("no common protocol version");
            return results.set_refusal(Refusal::UnsupportedVersion);
        };
        let dialer = params.get_dialer().and_then(codec::read_identity);
        let Ok(dialer) = dialer else { return results.set_refusal(Refusal::BadRequest) };
        let acceptor = self.context.make_identity();
        results.set_version(version);
        codec::write_identity(results.init_acceptor(), &acceptor);
        *self.pending_handshake.borrow_mut() =
            Some(PendingHandshake { offered, version, dialer, acceptor });
    }

    /// Verifies a proof and opens the session. A hello is valid for a single proof.
    fn handle_proof(&self, proof: &[u8], mut results: peer_gate::prove_results::Builder<'_>) {
        let Some(pending) = self.pending_handshake.borrow_mut().take() else {
            return results.set_refusal(Refusal::BadRequest);
        };
        let PendingHandshake { offered, version, dialer, acceptor } = pending;
        let transcript =
            HandshakeTranscript { offered, version, dialer: &dialer, acceptor: &acceptor };
        let Some(key) = self.context.keys.find_by_proof(&transcript, proof) else {
            self.context
                .log_refusal(&format!("{} presented a proof that matches no key", dialer.id));
            return results.set_refusal(Refusal::BadProof);
        };
        self.guard.set_authenticated();
        self.unauthenticated_permit.borrow_mut().take();
        let entry = self.context.roster.register(dialer.id.clone(), Arc::clone(&self.replaced));
        *self.entry.borrow_mut() = Some(entry);
        self.context.traffic.connections_accepted.add(1);
        results.set_proof(&key.prove(ProofSide::Acceptor, &transcript));
        let PeerIdentity { id, incarnation, address, .. } = dialer;
        results.set_session(capnp_rpc::new_client(PeerSessionServer {
            context: Rc::clone(&self.context),
            guard: Rc::clone(&self.guard),
            sender: PeerSender { id, incarnation, address },
        }));
    }
}

impl peer_gate::Server for PeerGateServer {
    async fn hello(
        self: Rc<Self>,
        params: peer_gate::HelloParams,
        mut results: peer_gate::HelloResults,
    ) -> capnp::Result<()> {
        self.handle_hello(params.get()?, results.get());
        Ok(())
    }

    async fn prove(
        self: Rc<Self>,
        params: peer_gate::ProveParams,
        mut results: peer_gate::ProveResults,
    ) -> capnp::Result<()> {
        self.handle_proof(params.get()?.get_proof()?, results.get());
        Ok(())
    }
}

/// The interface of an authenticated connection.
struct PeerSessionServer {
    context: Rc<LinkContext>,
    guard: Rc<StreamGuard>,
    sender: PeerSender,
}

impl PeerSessionServer {
    /// Decodes a frame; returns `None` when this release does not know its kind.
    fn read_frame(&self, kind: u16, payload: &[u8]) -> capnp::Result<Option<PeerFrame>> {
        if payload.len() > MAX_FRAME_BYTES {
            let message = format!("the payload exceeds {MAX_FRAME_BYTES} bytes");
            return Err(capnp::Error::failed(message));
        }
        let Some(kind) = FrameKind::from_number(kind) else {
            self.context.traffic.unknown_kinds.add(1);
            return Ok(None);
        };
        self.context.traffic.frames_in.add(1);
        Ok(Some(PeerFrame { kind, payload: Bytes::copy_from_slice(payload) }))
    }

    /// Runs the handler on the runtime that started the transport.
    async fn run_call(
        &self,
        frame: PeerFrame,
        time: Duration,
    ) -> capnp::Result<Result<PeerFrame, CallRefusal>> {
        let future = self.context.handler.handle_call(self.sender.clone(), frame);
        let task = AbortOnDropHandle::new(self.context.runtime.spawn(future));
        let Ok(joined) = timeout(time, task).await else {
            return Err(capnp::Error::overloaded("the call timed out".to_owned()));
        };
        joined.map_err(|_| capnp::Error::failed("the call handler failed".to_owned()))
    }
}

impl peer_session::Server for PeerSessionServer {
    async fn send(
        self: Rc<Self>,
        params: peer_session::SendParams,
        _results: peer_session::SendResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        self.context.observe_stamp(params.get_stamp());
        if let Some(frame) = self.read_frame(params.get_kind(), params.get_payload()?)? {
            self.context.handler.handle_frame(self.sender.clone(), frame);
        }
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _params: peer_session::PingParams,
        _results: peer_session::PingResults,
    ) -> capnp::Result<()> {
        Ok(())
    }

    async fn call(
        self: Rc<Self>,
        params: peer_session::CallParams,
        mut results: peer_session::CallResults,
    ) -> capnp::Result<()> {
        let (frame, time) = {
            let params = params.get()?;
            self.context.observe_stamp(params.get_stamp());
            let time = Duration::from_millis(params.get_timeout_ms().into()).min(MAX_CALL_TIMEOUT);
            (self.read_frame(params.get_kind(), params.get_payload()?)?, time)
        };
        drop(params);
        let answer = match frame {
            None => Err(CallRefusal::UnknownKind),
            Some(frame) => {
                let _running = RunningCall::begin(&self.guard);
                self.run_call(frame, time).await?
            }
        };
        let mut reply = results.get();
        self.context.write_stamp(reply.reborrow().init_stamp());
        match answer {
            Ok(frame) => {
                reply.set_kind(frame.kind.number());
                reply.set_payload(&frame.payload);
            }
            Err(refusal) => {
                let (refusal, reason) = codec::encode_refusal(&refusal);
                reply.set_refusal(refusal);
                reply.set_reason(reason);
            }
        }
        Ok(())
    }
}

/// Counts a running call; dropping it ends the count, also when the call is cancelled.
struct RunningCall(Rc<StreamGuard>);

impl RunningCall {
    /// Counts a call that begins.
    fn begin(guard: &Rc<StreamGuard>) -> Self {
        guard.begin_call();
        Self(Rc::clone(guard))
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.finish_call();
    }
}
