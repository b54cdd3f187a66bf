//! The way from an instance to the leader of the control group.

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

/// How long one call of a control member may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long to wait before asking again when no leader was found.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How a command may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeMode {
    /// A second copy in the log does the same as the first; an open fate is retried.
    Idempotent,
    /// An open fate is reported.
    AtMostOnce,
}

/// The control group as seen from this instance.
pub struct ControlGroupClient {
    clock: ProcessClock,
    link: PeerHandle,
    /// The member at this instance, if it has a disk; it may start later.
    own: Option<(InstanceId, Arc<OnceLock<MemberHandle>>)>,
    known: Mutex<KnownGroup>,
}

struct KnownGroup {
    members: BTreeMap<InstanceId, SocketAddr>,
    leader: Option<LeaderAddress>,
    /// The member asked next when no leader is known.
    turn: usize,
}

/// The outcome of one call.
enum CallEnd {
    Reply(Box<ControlReply>),
    NotDelivered(String),
    Unknown,
}

impl ControlGroupClient {
    /// Starts with the first list of members.
    pub fn new(
        clock: ProcessClock,
        link: PeerHandle,
        own: Option<(InstanceId, MemberHandle)>,
        members: BTreeMap<InstanceId, SocketAddr>,
    ) -> Self {
        let own = own.map(|(id, handle)| (id, Arc::new(OnceLock::from(handle))));
        Self::with_late_member(clock, link, own, members)
    }

    /// Starts with a member at this instance that may start later.
    pub fn with_late_member(
        clock: ProcessClock,
        link: PeerHandle,
        own: Option<(InstanceId, Arc<OnceLock<MemberHandle>>)>,
        members: BTreeMap<InstanceId, SocketAddr>,
    ) -> Self {
        let known = KnownGroup { members, leader: None, turn: 0 };
        Self { clock, link, own, known: Mutex::new(known) }
    }

    /// Adds members heard of; the first list may be outdated.
    pub fn update_members(&self, members: impl Iterator<Item = (InstanceId, SocketAddr)>) {
        self.known.lock().members.extend(members);
    }

    /// Returns the leader last heard of.
    pub fn leader(&self) -> Option<LeaderAddress> {
        self.known.lock().leader.clone()
    }

    /// Proposes a command and waits for its answer until `timeout` has passed.
    ///
    /// # Errors
    ///
    /// Fails when no leader took the command in time or when its fate is open.
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

    /// Asks the leader, looking for it until `timeout` has passed.
    ///
    /// # Errors
    ///
    /// Fails when no leader answered in time or when the fate of the request is open.
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
            let left = deadline.since(self.clock.now());
            if left.is_zero() {
                return Err(ProposeFailure::NotProposed { reason });
            }
            let Some(member) = self.next_member() else {
                return Err(ProposeFailure::NotProposed { reason });
            };
            let end = self.call(&member, request, frame.clone(), left.min(CALL_TIMEOUT)).await;
            match end {
                CallEnd::Unknown if mode == ProposeMode::AtMostOnce => {
                    self.forget_leader(&member);
                    return Err(ProposeFailure::Undecided);
                }
                CallEnd::Unknown => {
                    reason = "the leader did not answer".to_owned();
                    self.forget_leader(&member);
                }
                CallEnd::NotDelivered(error) => {
                    reason = error;
                    self.forget_leader(&member);
                }
                CallEnd::Reply(reply) => match *reply {
                    ControlReply::NotLeader { leader } => {
                        reason = "no leader is known".to_owned();
                        self.follow_hint(&member, leader);
                    }
                    reply => {
                        self.known.lock().leader = Some(member);
                        return Ok(reply);
                    }
                },
            }
            if self.known.lock().leader.is_none() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn call(
        &self,
        member: &LeaderAddress,
        request: &ControlRequest,
        frame: PeerFrame,
        timeout: Duration,
    ) -> CallEnd {
        if let Some((id, handle)) = &self.own
            && *id == member.id
        {
            let Some(handle) = handle.get() else {
                return CallEnd::NotDelivered("the member has not started".to_owned());
            };
            let answer = tokio::time::timeout(timeout, ask_member(handle, request.clone())).await;
            return answer.map_or(CallEnd::Unknown, end_of);
        }
        match self.link.call(member.peer, frame, timeout).await {
            Ok(answer) => match decode_payload(&answer.payload) {
                Ok(reply) => end_of(reply),
                Err(_) => CallEnd::Unknown,
            },
            Err(PeerCallError::Refused(refusal)) => CallEnd::NotDelivered(refusal.to_string()),
            Err(error) if error.is_surely_not_delivered() => {
                CallEnd::NotDelivered(error.to_string())
            }
            Err(_) => CallEnd::Unknown,
        }
    }

    /// Returns the leader last heard of, or the members in turn.
    fn next_member(&self) -> Option<LeaderAddress> {
        let mut known = self.known.lock();
        if let Some(leader) = &known.leader {
            return Some(leader.clone());
        }
        let count = known.members.len();
        if count == 0 {
            return None;
        }
        known.turn = (known.turn + 1) % count;
        let (id, peer) = known.members.iter().nth(known.turn)?;
        Some(LeaderAddress { id: id.clone(), peer: *peer })
    }

    fn follow_hint(&self, asked: &LeaderAddress, hint: Option<LeaderAddress>) {
        let mut known = self.known.lock();
        // A member that names itself has just lost the leadership.
        known.leader = hint.filter(|hint| hint.id != asked.id);
        if let Some(leader) = known.leader.clone() {
            known.members.insert(leader.id, leader.peer);
        }
    }

    fn forget_leader(&self, asked: &LeaderAddress) {
        let mut known = self.known.lock();
        if known.leader.as_ref() == Some(asked) {
            known.leader = None;
        }
    }
}

/// Returns what a reply means for the search of a leader.
fn end_of(reply: ControlReply) -> CallEnd {
    match reply {
        ControlReply::Undecided => CallEnd::Unknown,
        reply => CallEnd::Reply(Box::new(reply)),
    }
}

/// Hands a request to the member at this instance.
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
    }
}
