//! The thread of a control member: it drives the quorum log, its storage and the ledger.

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

/// The inputs that may wait for the thread.
const MAX_WAITING_INPUTS: usize = 8_192;

/// What the thread is asked to do.
pub enum MemberInput {
    /// Takes a message of another member.
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
        /// Takes the answer.
        reply: oneshot::Sender<ControlReply>,
    },
    /// Proves that the asking instance is current.
    Renew {
        /// What it holds.
        request: RenewRequest,
        /// Takes the answer.
        reply: oneshot::Sender<ControlReply>,
    },
    /// Changes the members.
    ChangeMember {
        /// The change.
        request: MemberRequest,
        /// Takes the answer.
        reply: oneshot::Sender<ControlReply>,
    },
    /// Reads the newest route set.
    ReadRoutes {
        /// Takes the answer.
        reply: oneshot::Sender<ControlReply>,
    },
    /// Hands the leadership to another member.
    TransferLeadership,
    /// Ends the thread.
    Stop,
}

/// What others may read of the member at any time.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    /// The state of the quorum log.
    pub status: Option<QuorumStatus>,
    /// The latest changes of the configuration, oldest first.
    pub history: Vec<ConfigChange>,
    /// The claims held.
    pub claims: usize,
    /// The newest route set that this member knows to be committed.
    pub routes: Option<Arc<RouteDocument>>,
    /// Why the member stopped taking part.
    pub failure: Option<String>,
}

/// A running control member.
pub struct ControlMember {
    inputs: mpsc::SyncSender<MemberInput>,
    view: Arc<RwLock<MemberView>>,
    thread: thread::JoinHandle<()>,
}

/// A handle that reaches the thread of a control member.
#[derive(Clone)]
pub struct MemberHandle {
    inputs: mpsc::SyncSender<MemberInput>,
    view: Arc<RwLock<MemberView>>,
}

/// Opens the log on disk.
pub type StoreOpener = Box<dyn FnMut() -> Result<Box<dyn LogStore>, LogStoreError> + Send>;

/// The parts of a control member.
pub struct MemberParts {
    /// Its settings.
    pub settings: QuorumSettings,
    /// The members where the log is empty.
    pub initial: MemberSet,
    /// The log on disk.
    pub store: Box<dyn LogStore>,
    /// Opens the log again after the disk failed; without it the member stops for good.
    pub reopen: Option<StoreOpener>,
    /// The members that may be lost at once without losing what was acknowledged: a route set is
    /// refused while the group cannot bear that.
    pub tolerated_losses: usize,
    /// The way to the others.
    pub link: Arc<dyn PeerLink>,
    /// The clocks.
    pub clock: ProcessClock,
    /// Called when the ledger changed what instances hold.
    pub on_change: Box<dyn Fn() + Send>,
    /// Takes events for the time line.
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
        let (inputs, receiver) = mpsc::sync_channel(MAX_WAITING_INPUTS);
        let mut driver = MemberDriver::new(node, ledger, parts, Arc::clone(&view));
        let builder = thread::Builder::new().name("control-member".to_owned());
        let thread = builder.spawn(move || driver.run(&receiver))?;
        Ok(Self { inputs, view, thread })
    }

    /// Returns a handle.
    pub fn handle(&self) -> MemberHandle {
        MemberHandle { inputs: self.inputs.clone(), view: Arc::clone(&self.view) }
    }

    /// Ends the thread after what it has begun.
    pub fn close(self) {
        // A thread that ended on its own takes no input.
        let _ = self.inputs.send(MemberInput::Stop);
        let _ = self.thread.join();
    }
}

impl MemberHandle {
    /// Hands an input to the thread; drops it when too many wait or the thread has ended.
    pub fn send(&self, input: MemberInput) -> bool {
        self.inputs.try_send(input).is_ok()
    }

    /// Hands over a request and waits for its answer.
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

    /// Returns what the member shows of itself.
    pub fn view(&self) -> MemberView {
        self.view.read().clone()
    }
}

/// Builds the state of a member from what is on its disk.
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

/// The time between heartbeats of the leader.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// The shortest time without a leader before an election.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The part of the election timeout kept off the lease against clock drift.
pub const LEASE_MARGIN: Duration = Duration::from_millis(150);
