//! What a connection offers before and after the peer proved a key.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use figglade::peer::{FrameKind, MAX_FRAME_BYTES, PeerFrame};
use tokio::{sync::OwnedSemaphorePermit, time::timeout};
use tokio_util::task::AbortOnDropHandle;

use super::{
    auth::{HandshakeRecord, PeerIdentity, ProofSide},
    codec,
    generated::peer_capnp::{Refusal, peer_gate, peer_session},
    options::VersionRange,
    stream::StreamGuard,
    thread::LinkContext,
    types::{CallRefusal, PeerSender},
};

/// The longest time a peer may ask a call to run.
const MAX_CALL_TIME: Duration = Duration::from_secs(60);

/// What the peer said before its proof.
struct GreetedPeer {
    offered: VersionRange,
    version: u16,
    dialer: PeerIdentity,
    acceptor: PeerIdentity,
}

/// What a new connection offers.
pub(super) struct PeerGateServer {
    context: Rc<LinkContext>,
    guard: Rc<StreamGuard>,
    greeted: RefCell<Option<GreetedPeer>>,
    unproved_permit: RefCell<Option<OwnedSemaphorePermit>>,
}

impl PeerGateServer {
    /// Builds what a new connection offers; the permit is given back with the proof.
    pub(super) fn new(
        context: Rc<LinkContext>,
        guard: Rc<StreamGuard>,
        unproved_permit: OwnedSemaphorePermit,
    ) -> Self {
        Self {
            context,
            guard,
            greeted: RefCell::new(None),
            unproved_permit: RefCell::new(Some(unproved_permit)),
        }
    }

    /// Answers an offer of versions, once a connection.
    fn greet(
        &self,
        params: peer_gate::hello_params::Reader<'_>,
        mut results: peer_gate::hello_results::Builder<'_>,
    ) {
        let offered = VersionRange { min: params.get_min_version(), max: params.get_version() };
        let Some(version) = self.context.versions.common_with(offered) else {
            return results.set_refusal(Refusal::UnsupportedVersion);
        };
        let dialer = params.get_dialer().and_then(codec::read_identity);
        let Ok(dialer) = dialer else { return results.set_refusal(Refusal::BadRequest) };
        let acceptor = self.context.make_identity();
        results.set_version(version);
        codec::write_identity(results.init_acceptor(), &acceptor);
        *self.greeted.borrow_mut() = Some(GreetedPeer { offered, version, dialer, acceptor });
    }

    /// Checks a proof and opens the session; a greeting serves for one proof only.
    fn admit(&self, proof: &[u8], mut results: peer_gate::prove_results::Builder<'_>) {
        let Some(greeted) = self.greeted.borrow_mut().take() else {
            return results.set_refusal(Refusal::BadRequest);
        };
        let GreetedPeer { offered, version, dialer, acceptor } = greeted;
        let record = HandshakeRecord { offered, version, dialer: &dialer, acceptor: &acceptor };
        let Some(key) = self.context.keys.find_proved(&record, proof) else {
            slog::debug!(self.context.logger, "peer: {} proved no key", dialer.id);
            return results.set_refusal(Refusal::BadProof);
        };
        self.guard.set_proved();
        self.unproved_permit.borrow_mut().take();
        self.context.traffic.connections_accepted.add(1);
        results.set_proof(&key.prove(ProofSide::Acceptor, &record));
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
        self.greet(params.get()?, results.get());
        Ok(())
    }

    async fn prove(
        self: Rc<Self>,
        params: peer_gate::ProveParams,
        mut results: peer_gate::ProveResults,
    ) -> capnp::Result<()> {
        self.admit(params.get()?.get_proof()?, results.get());
        Ok(())
    }
}

/// What a connection offers after the proof.
struct PeerSessionServer {
    context: Rc<LinkContext>,
    guard: Rc<StreamGuard>,
    sender: PeerSender,
}

impl PeerSessionServer {
    /// Reads a frame; `None` when this release does not know its kind.
    fn read_frame(&self, kind: u16, payload: &[u8]) -> capnp::Result<Option<PeerFrame>> {
        if payload.len() > MAX_FRAME_BYTES {
            let message = format!("a payload has at most {MAX_FRAME_BYTES} bytes");
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
            return Err(capnp::Error::overloaded("the time of the call is over".to_owned()));
        };
        joined.map_err(|_| capnp::Error::failed("the call failed".to_owned()))
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

    async fn call(
        self: Rc<Self>,
        params: peer_session::CallParams,
        mut results: peer_session::CallResults,
    ) -> capnp::Result<()> {
        let (frame, time) = {
            let params = params.get()?;
            self.context.observe_stamp(params.get_stamp());
            let time = Duration::from_millis(params.get_timeout_ms().into()).min(MAX_CALL_TIME);
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

/// Counts a call while it runs, also when it is dropped halfway.
struct RunningCall(Rc<StreamGuard>);

impl RunningCall {
    /// Counts a call that starts.
    fn begin(guard: &Rc<StreamGuard>) -> Self {
        guard.begin_call();
        Self(Rc::clone(guard))
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.end_call();
    }
}
