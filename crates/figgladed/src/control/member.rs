//! The thread of a control member, which drives the quorum log, its storage and the ledger.

use std::{
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use bytes::Bytes;
use figglade::{
    InstanceId,
    border::{LogStore, LogStoreError, PeerLink},
    controller::{
        evacuation::EvacuationSet,
        event::EventKind,
        ledger::{ConfigChange, Ledger},
        quorum::{MemberSet, QuorumMessage, QuorumNode, QuorumSettings, QuorumStatus},
        route_set::RouteDocument,
    },
};
use parking_lot::RwLock;
use slog::Logger;
use tokio::sync::oneshot;

use super::{
    error::ControlError,
    member_driver::MemberDriver,
    message::{ControlReply, MemberRequest, RenewRequest},
};
use crate::clock::ProcessClock;

/// The capacity of the input queue of the thread.
const MAX_QUEUED_INPUTS: usize = 8_192;

/// An input of the thread.
pub enum MemberInput {
    /// Handles a message of another member.
    Message {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: QuorumMessage,
    },
    /// Proposes an encoded command.
    Propose {
        /// The command.
        command: Bytes,
        /// Receives the reply.
        reply: oneshot::Sender<ControlReply>,
    },
    /// Proves that the requesting instance is current and returns what changed.
    Renew {
        /// The state that the instance holds.
        request: RenewRequest,
        /// Receives the reply.
        reply: oneshot::Sender<ControlReply>,
    },
    /// Changes the member set.
    ChangeMember {
        /// The change.
        request: MemberRequest,
        /// Receives the reply.
        reply: oneshot::Sender<ControlReply>,
    },
    /// Reads the newest committed route set.
    ReadRoutes {
        /// Receives the reply.
        reply: oneshot::Sender<ControlReply>,
    },
    /// Reads the evacuated zones in force.
    ReadEvacuations {
        /// Receives the reply.
        reply: oneshot::Sender<ControlReply>,
    },
    /// Tells whether every instance with a disk has long been a voter. The first route set does not
    /// wait for a larger group then.
    SetGroupSettled(bool),
    /// Transfers the leadership to another member, if this one leads.
    TransferLeadership,
    /// Stops the thread.
    Stop,
}

/// A snapshot of the member's state that can be read at any time.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    /// The state of the quorum log.
    pub status: Option<QuorumStatus>,
    /// The latest changes of the configuration, oldest first.
    pub history: Vec<ConfigChange>,
    /// The number of claims in the ledger.
    pub claims: usize,
    /// The newest route set that this member knows to be committed.
    pub routes: Option<Arc<RouteDocument>>,
    /// The evacuated zones that this member knows to be committed.
    pub evacuations: Arc<EvacuationSet>,
    /// Why the member stopped taking part in the group, if it did.
    pub failure: Option<String>,
}

/// A running control member.
pub struct ControlMember {
    inputs: mpsc::SyncSender<MemberInput>,
    view: Arc<RwLock<MemberView>>,
    thread: thread::JoinHandle<()>,
}

/// Sends inputs to the thread of a control member.
#[derive(Clone)]
pub struct MemberHandle {
    inputs: mpsc::SyncSender<MemberInput>,
    view: Arc<RwLock<MemberView>>,
}

/// Opens the log on disk.
pub type StoreOpener = Box<dyn FnMut() -> Result<Box<dyn LogStore>, LogStoreError> + Send>;

/// The parts of a control member.
pub struct MemberParts {
    /// The settings of the quorum log.
    pub settings: QuorumSettings,
    /// The member set to start with when the log is empty.
    pub initial: MemberSet,
    /// The log on disk.
    pub store: Box<dyn LogStore>,
    /// Reopens the log after a disk failure; without it the member stops for good.
    pub reopen: Option<StoreOpener>,
    /// The number of members that may be lost at once without losing acknowledged changes. A route
    /// set or an evacuation is refused while the group cannot tolerate that.
    pub tolerated_losses: usize,
    /// The links to other members.
    pub link: Arc<dyn PeerLink>,
    /// The clocks.
    pub clock: ProcessClock,
    /// Called when the configuration, the manifests, the route set or the evacuated zones changed.
    pub on_change: Box<dyn Fn() + Send>,
    /// Records an event on the time line.
    pub record_event: Box<dyn Fn(EventKind, String) + Send>,
    /// The log of the process.
    pub log: Logger,
}

impl ControlMember {
    /// Reads the log and starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when the log on disk is damaged or cannot be read.
    pub fn start(mut parts: MemberParts) -> Result<Self, ControlError> {
        let (node, ledger) = load_member(&mut parts)?;
        let view = Arc::new(RwLock::new(MemberView::default()));
        let (inputs, receiver) = mpsc::sync_channel(MAX_QUEUED_INPUTS);
        let mut driver = MemberDriver::new(node, ledger, parts, Arc::clone(&view));
        let builder = thread::Builder::new().name("control-member".to_owned());
        let thread = builder.spawn(move || driver.run(&receiver))?;
        Ok(Self { inputs, view, thread })
    }

    /// Returns a handle that sends inputs to the thread.
    pub fn handle(&self) -> MemberHandle {
        MemberHandle { inputs: self.inputs.clone(), view: Arc::clone(&self.view) }
    }

    /// Stops the thread and waits until it has finished what it began.
    pub fn close(self) {
        // Sending fails when the thread has already ended.
        let _ = self.inputs.send(MemberInput::Stop);
        let _ = self.thread.join();
    }
}

impl MemberHandle {
    /// Queues an input and returns whether it was queued; one that finds the queue full or the
    /// thread ended is dropped.
    pub fn send(&self, input: MemberInput) -> bool {
        self.inputs.try_send(input).is_ok()
    }

    /// Queues a request and waits for its reply.
    pub async fn ask(
        &self,
        make: impl FnOnce(oneshot::Sender<ControlReply>) -> MemberInput,
    ) -> ControlReply {
        let (reply, answer) = oneshot::channel();
        if !self.send(make(reply)) {
            let reason = "the control member is busy or has stopped".to_owned();
            return ControlReply::Refused { reason };
        }
        answer.await.unwrap_or(ControlReply::Undecided)
    }

    /// Returns the latest published state of the member.
    pub fn view(&self) -> MemberView {
        self.view.read().clone()
    }
}

/// Builds the quorum node and the ledger of a member from its log on disk.
pub(super) fn load_member(parts: &mut MemberParts) -> Result<(QuorumNode, Ledger), ControlError> {
    let stored = parts.store.load()?;
    let ledger = match &stored.snapshot {
        Some(snapshot) => Ledger::decode_state(&snapshot.state)?,
        None => Ledger::default(),
    };
    let now = parts.clock.now();
    let initial = parts.initial.clone();
    let node = QuorumNode::new(parts.settings.clone(), initial, stored, now, &mut rand::rng());
    Ok((node, ledger))
}

/// The interval between heartbeats of the leader.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// The minimum time without contact with a leader before a member starts an election.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// By how much the leader's lease is shorter than the election timeout, to allow for clock drift.
pub const LEASE_MARGIN: Duration = Duration::from_millis(150);
