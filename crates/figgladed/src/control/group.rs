//! The client of the control group: finds the leader and sends it requests.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use figglade::{
    InstanceId,
    controller::ledger::{LedgerCommand, LedgerReply},
    peer::{FrameKind, PeerFrame, decode_payload, encode_payload},
};
use parking_lot::Mutex;

use super::{
    error::ProposeFailure,
    member::{MemberHandle, MemberInput},
    message::{ControlReply, ControlRequest, LeaderAddress},
};
use crate::{
    clock::ProcessClock,
    peer_link::{PeerCallError, PeerHandle},
};

/// The timeout of one call to a control member.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long to wait before the next attempt while no leader is known.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Whether a request may be repeated when its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeMode {
    /// A repeated command has the same effect as the first, so a request is sent again when its
    /// outcome is unknown.
    Idempotent,
    /// An unknown outcome is returned to the caller.
    AtMostOnce,
}

/// Sends requests to the leader of the control group, wherever it runs.
pub struct ControlGroupClient {
    clock: ProcessClock,
    link: PeerHandle,
    /// The control member of this instance, if it has a disk; its handle is set once it has started.
    local_member: Option<(InstanceId, Arc<OnceLock<MemberHandle>>)>,
    known: Mutex<KnownGroup>,
}

struct KnownGroup {
    members: BTreeMap<InstanceId, SocketAddr>,
    leader: Option<LeaderAddress>,
    /// The position in `members` of the one called last while no leader was known.
    last_called: usize,
}

/// The outcome of one call.
enum CallOutcome {
    Reply(Box<ControlReply>),
    NotDelivered(String),
    Unknown,
}

impl ControlGroupClient {
    /// Builds a client from the initial list of members.
    pub fn new(
        clock: ProcessClock,
        link: PeerHandle,
        local_member: Option<(InstanceId, MemberHandle)>,
        members: BTreeMap<InstanceId, SocketAddr>,
    ) -> Self {
        let local_member = local_member.map(|(id, handle)| (id, Arc::new(OnceLock::from(handle))));
        Self::with_late_member(clock, link, local_member, members)
    }

    /// Builds a client whose local member may start later.
    pub fn with_late_member(
        clock: ProcessClock,
        link: PeerHandle,
        local_member: Option<(InstanceId, Arc<OnceLock<MemberHandle>>)>,
        members: BTreeMap<InstanceId, SocketAddr>,
    ) -> Self {
        let known = KnownGroup { members, leader: None, last_called: 0 };
        Self { clock, link, local_member, known: Mutex::new(known) }
    }

    /// Adds or replaces members; the initial list may be outdated.
    pub fn update_members(&self, members: impl Iterator<Item = (InstanceId, SocketAddr)>) {
        self.known.lock().members.extend(members);
    }

    /// Returns the last known leader.
    pub fn leader(&self) -> Option<LeaderAddress> {
        self.known.lock().leader.clone()
    }

    /// Proposes a command and waits for the reply until `timeout` has passed.
    ///
    /// # Errors
    ///
    /// Fails when no leader accepted the command in time or when its outcome is unknown.
    pub async fn propose(
        self: &Arc<Self>,
        command: &LedgerCommand,
        mode: ProposeMode,
        timeout: Duration,
    ) -> Result<LedgerReply, ProposeFailure> {
        let request = ControlRequest::Propose { command: command.encode()? };
        match self.ask(&request, mode, timeout).await? {
            ControlReply::Applied(reply) => Ok(reply),
            ControlReply::Refused { reason } => Err(ProposeFailure::NotProposed { reason }),
            _ => Err(ProposeFailure::Undecided),
        }
    }

    /// Sends a request to the leader, searching for it until `timeout` has passed.
    ///
    /// # Errors
    ///
    /// Fails when no leader answered in time or when the outcome of the request is unknown.
    pub async fn ask(
        self: &Arc<Self>,
        request: &ControlRequest,
        mode: ProposeMode,
        timeout: Duration,
    ) -> Result<ControlReply, ProposeFailure> {
        let payload = encode_payload(request)?;
        let frame = PeerFrame { kind: FrameKind::Control, payload };
        let deadline = self.clock.now() + timeout;
        let mut reason = "no control member is known".to_owned();
        loop {
            let remaining = deadline.since(self.clock.now());
            if remaining.is_zero() {
                return Err(ProposeFailure::NotProposed { reason });
            }
            let Some(member) = self.next_member() else {
                return Err(ProposeFailure::NotProposed { reason });
            };
            let outcome =
                self.call(&member, request, frame.clone(), remaining.min(CALL_TIMEOUT)).await;
            match outcome {
                CallOutcome::Unknown if mode == ProposeMode::AtMostOnce => {
                    self.forget_leader(&member);
                    return Err(ProposeFailure::Undecided);
                }
                CallOutcome::Unknown => {
                    reason = "the leader did not answer".to_owned();
                    self.forget_leader(&member);
                }
                CallOutcome::NotDelivered(error) => {
                    reason = error;
                    self.forget_leader(&member);
                }
                CallOutcome::Reply(reply) => match *reply {
                    ControlReply::NotLeader { leader } => {
                        reason = "no leader is known".to_owned();
                        self.follow_leader_hint(&member, leader);
                    }
                    reply => {
                        self.known.lock().leader = Some(member);
                        return Ok(reply);
                    }
                },
            }
            if self.known.lock().leader.is_none() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn call(
        &self,
        member: &LeaderAddress,
        request: &ControlRequest,
        frame: PeerFrame,
        timeout: Duration,
    ) -> CallOutcome {
        if let Some((id, handle)) = &self.local_member
            && *id == member.id
        {
            let Some(handle) = handle.get() else {
                return CallOutcome::NotDelivered(
                    "the local control member has not started".to_owned(),
                );
            };
            let answer = tokio::time::timeout(timeout, ask_member(handle, request.clone())).await;
            return answer.map_or(CallOutcome::Unknown, call_outcome);
        }
        match self.link.call(member.peer, frame, timeout).await {
            Ok(answer) => match decode_payload(&answer.payload) {
                Ok(reply) => call_outcome(reply),
                Err(_) => CallOutcome::Unknown,
            },
            Err(PeerCallError::Refused(refusal)) => CallOutcome::NotDelivered(refusal.to_string()),
            Err(error) if error.is_known_undelivered() => {
                CallOutcome::NotDelivered(error.to_string())
            }
            Err(_) => CallOutcome::Unknown,
        }
    }

    /// Returns the last known leader, or else the members in round-robin order.
    fn next_member(&self) -> Option<LeaderAddress> {
        let mut known = self.known.lock();
        if let Some(leader) = &known.leader {
            return Some(leader.clone());
        }
        let count = known.members.len();
        if count == 0 {
            return None;
        }
        known.last_called = (known.last_called + 1) % count;
        let (id, peer) = known.members.iter().nth(known.last_called)?;
        Some(LeaderAddress { id: id.clone(), peer: *peer })
    }

    fn follow_leader_hint(&self, called: &LeaderAddress, hint: Option<LeaderAddress>) {
        let mut known = self.known.lock();
        // A member that answers "not leader" and names itself has just lost the leadership.
        known.leader = hint.filter(|hint| hint.id != called.id);
        if let Some(leader) = known.leader.clone() {
            known.members.insert(leader.id, leader.peer);
        }
    }

    fn forget_leader(&self, called: &LeaderAddress) {
        let mut known = self.known.lock();
        if known.leader.as_ref() == Some(called) {
            known.leader = None;
        }
    }
}

/// Classifies a reply: one that is undecided leaves the outcome unknown.
fn call_outcome(reply: ControlReply) -> CallOutcome {
    match reply {
        ControlReply::Undecided => CallOutcome::Unknown,
        reply => CallOutcome::Reply(Box::new(reply)),
    }
}

/// Sends a request to the control member of this instance and waits for its reply.
pub async fn ask_member(handle: &MemberHandle, request: ControlRequest) -> ControlReply {
    match request {
        ControlRequest::Propose { command } => {
            handle.ask(|reply| MemberInput::Propose { command, reply }).await
        }
        ControlRequest::Renew(request) => {
            handle.ask(|reply| MemberInput::Renew { request, reply }).await
        }
        ControlRequest::ChangeMember(request) => {
            handle.ask(|reply| MemberInput::ChangeMember { request, reply }).await
        }
        ControlRequest::ReadRoutes => handle.ask(|reply| MemberInput::ReadRoutes { reply }).await,
        ControlRequest::ReadEvacuations => {
            handle.ask(|reply| MemberInput::ReadEvacuations { reply }).await
        }
    }
}
