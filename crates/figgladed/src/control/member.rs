//! The thread of a control member: it drives the quorum log, its storage and the ledger.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use bytes::Bytes;
use figglade::{
    InstanceId, Timestamp,
    border::{LogStore, LogStoreError, PeerLink},
    controller::{
        event::EventKind,
        ledger::{ConfigChange, Ledger, LedgerCommand, LedgerError, LedgerReply},
        quorum::{
            EntryPayload, LogEntry, LogIndex, LogSnapshot, MemberChange, MemberSet, ProposeError,
            QuorumAction, QuorumMessage, QuorumNode, QuorumSettings, QuorumStatus, ReadTicket,
            Term,
        },
        share::{ShareAction, ShareLeader, ShareTiming},
    },
    peer::{FrameKind, PeerFrame, encode_payload},
};
use parking_lot::RwLock;
use slog::{Logger, error, info, warn};
use tokio::sync::oneshot;

use super::{
    error::ControlError,
    message::{ControlReply, LeaderAddress, MemberRequest, RenewReply, RenewRequest},
};
use crate::clock::ProcessClock;

/// The inputs that may wait for the thread.
const MAX_WAITING_INPUTS: usize = 8_192;
/// The inputs taken at a time, so that proposals are committed in groups.
const MAX_BATCH_INPUTS: usize = 1_024;
/// The entries applied between snapshots.
const SNAPSHOT_ENTRIES: u64 = 20_000;
/// The changes shown in the history.
const SHOWN_CHANGES: usize = 100;

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
    /// Hands the leadership to another member.
    HandOver,
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

/// The parts of a control member.
pub struct MemberParts {
    /// Its settings.
    pub settings: QuorumSettings,
    /// The members where the log is empty.
    pub initial: MemberSet,
    /// The log on disk.
    pub store: Box<dyn LogStore>,
    /// The way to the others.
    pub link: Arc<dyn PeerLink>,
    /// The clocks.
    pub clock: ProcessClock,
    /// Called when the ledger changed what instances hold.
    pub on_change: Box<dyn Fn() + Send>,
    /// Takes events for the time line.
    pub note: Box<dyn Fn(EventKind, String) + Send>,
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
        let stored = parts.store.load()?;
        let ledger = match &stored.snapshot {
            Some(snapshot) => Ledger::decode_state(&snapshot.state)?,
            None => Ledger::default(),
        };
        let now = parts.clock.now();
        let initial = parts.initial.clone();
        let mut rng = rand::rng();
        let node = QuorumNode::new(parts.settings.clone(), initial, stored, now, &mut rng);
        let view = Arc::new(RwLock::new(MemberView::default()));
        let (inputs, receiver) = mpsc::sync_channel(MAX_WAITING_INPUTS);
        let snapshot_at = ledger.applied();
        let mut driver = MemberDriver {
            node,
            ledger,
            parts,
            view: Arc::clone(&view),
            pending: BTreeMap::new(),
            reads: HashMap::new(),
            shares: None,
            snapshot_at,
        };
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

/// A proposal whose entry is in the log.
struct PendingProposal {
    term: Term,
    reply: oneshot::Sender<ControlReply>,
}

/// A renewal whose read is not confirmed yet.
struct PendingRead {
    request: RenewRequest,
    reply: oneshot::Sender<ControlReply>,
}

/// The reason the member takes no further part.
#[derive(Debug, derive_more::Display, derive_more::From)]
enum MemberFailure {
    Store(LogStoreError),
    Ledger(LedgerError),
    State(figglade::controller::ledger::StateError),
}

struct MemberDriver {
    node: QuorumNode,
    ledger: Ledger,
    parts: MemberParts,
    view: Arc<RwLock<MemberView>>,
    pending: BTreeMap<LogIndex, PendingProposal>,
    reads: HashMap<ReadTicket, PendingRead>,
    /// The leases on shares; only at a leader that has confirmed its leadership.
    shares: Option<ShareLeader>,
    snapshot_at: LogIndex,
}

impl MemberDriver {
    fn run(&mut self, inputs: &mpsc::Receiver<MemberInput>) {
        self.publish_view(None);
        loop {
            match self.run_round(inputs) {
                Ok(true) => {}
                Ok(false) => break,
                Err(failure) => {
                    error!(self.parts.log, "quorum: the member stops taking part";
                        "reason" => %failure);
                    (self.parts.note)(EventKind::DiskFault, failure.to_string());
                    self.publish_view(Some(failure.to_string()));
                    return;
                }
            }
        }
        info!(self.parts.log, "quorum: the member stopped");
    }

    /// Waits for inputs or the next deadline and handles them; returns false at the end.
    fn run_round(&mut self, inputs: &mpsc::Receiver<MemberInput>) -> Result<bool, MemberFailure> {
        let wait = self.node.next_deadline().since(self.now());
        let first = match inputs.recv_timeout(wait) {
            Ok(input) => Some(input),
            Err(mpsc::RecvTimeoutError::Timeout) => None,
            Err(mpsc::RecvTimeoutError::Disconnected) => return Ok(false),
        };
        let rest = inputs.try_iter().take(MAX_BATCH_INPUTS);
        let batch: Vec<_> = first.into_iter().chain(rest).collect();
        let mut proposals = Vec::new();
        for input in batch {
            match input {
                MemberInput::Stop => return Ok(false),
                MemberInput::Propose { command, reply } => proposals.push((command, reply)),
                other => self.handle_input(other)?,
            }
        }
        self.propose(proposals)?;
        let now = self.now();
        if now >= self.node.next_deadline() {
            let actions = self.node.handle_tick(now, &mut rand::rng());
            self.run_actions(actions)?;
        }
        self.tick_shares(now)?;
        self.take_snapshot()?;
        self.publish_view(None);
        Ok(true)
    }

    fn handle_input(&mut self, input: MemberInput) -> Result<(), MemberFailure> {
        let now = self.now();
        match input {
            MemberInput::Message { from, message } => {
                let actions = self.node.handle_message(&from, message, now, &mut rand::rng());
                self.run_actions(actions)
            }
            MemberInput::Renew { request, reply } => self.begin_renewal(request, reply, now),
            MemberInput::ChangeMember { request, reply } => self.change_member(request, reply, now),
            MemberInput::HandOver => match self.node.transfer_leadership(None, now) {
                Ok(actions) => self.run_actions(actions),
                Err(_) => Ok(()),
            },
            MemberInput::Propose { .. } | MemberInput::Stop => Ok(()),
        }
    }

    /// Proposes a group of commands in one append and one sync.
    fn propose(
        &mut self,
        proposals: Vec<(Bytes, oneshot::Sender<ControlReply>)>,
    ) -> Result<(), MemberFailure> {
        let mut commands = Vec::new();
        let mut replies = Vec::new();
        for (command, reply) in proposals {
            match self.check_command(&command) {
                Ok(()) => {
                    commands.push(command);
                    replies.push(reply);
                }
                Err(reason) => answer(reply, ControlReply::Refused { reason }),
            }
        }
        if commands.is_empty() {
            return Ok(());
        }
        match self.node.propose(commands, self.now()) {
            Ok(accepted) => {
                let mut index = accepted.first_index;
                for reply in replies {
                    let term = accepted.term;
                    self.pending.insert(index, PendingProposal { term, reply });
                    index = index.next();
                }
                self.run_actions(accepted.actions)
            }
            Err(refusal) => {
                for reply in replies {
                    answer(reply, self.refuse(&refusal));
                }
                Ok(())
            }
        }
    }

    /// Checks a command before it enters the log, where one that cannot be read stops everybody.
    fn check_command(&self, command: &Bytes) -> Result<(), String> {
        let decoded = LedgerCommand::decode(command).map_err(|error| error.to_string())?;
        if decoded.has_plausible_wall(self.parts.clock.wall()) {
            return Ok(());
        }
        Err("the wall clock of the instance is too far from that of the leader".to_owned())
    }

    fn begin_renewal(
        &mut self,
        request: RenewRequest,
        reply: oneshot::Sender<ControlReply>,
        now: Timestamp,
    ) -> Result<(), MemberFailure> {
        match self.node.begin_read(now) {
            Ok((ticket, actions)) => {
                self.reads.insert(ticket, PendingRead { request, reply });
                self.run_actions(actions)
            }
            Err(refusal) => {
                answer(reply, self.refuse(&refusal));
                Ok(())
            }
        }
    }

    fn change_member(
        &mut self,
        request: MemberRequest,
        reply: oneshot::Sender<ControlReply>,
        now: Timestamp,
    ) -> Result<(), MemberFailure> {
        let change = match request {
            MemberRequest::Add { id, peer, storage } => {
                MemberChange::AddLearner { id, peer, storage }
            }
            MemberRequest::Promote { id } => MemberChange::Promote { id },
            MemberRequest::Remove { id } => MemberChange::Remove { id },
        };
        use figglade::controller::quorum::MemberChangeError;
        match self.node.change_members(change, now) {
            Ok((index, actions)) => {
                self.run_actions(actions)?;
                answer(reply, ControlReply::MemberChanged { index });
            }
            Err(MemberChangeError::NotLeader { leader }) => {
                answer(reply, self.refuse(&ProposeError::NotLeader { leader }));
            }
            Err(refusal) => answer(reply, ControlReply::Refused { reason: refusal.to_string() }),
        }
        Ok(())
    }

    fn refuse(&self, refusal: &ProposeError) -> ControlReply {
        match refusal {
            ProposeError::NotLeader { leader } => {
                let leader = leader.as_ref().and_then(|id| self.address_of(id));
                ControlReply::NotLeader { leader }
            }
            other => ControlReply::Refused { reason: other.to_string() },
        }
    }

    fn address_of(&self, id: &InstanceId) -> Option<LeaderAddress> {
        let members = self.node.status().members;
        let spec = members.members.get(id)?;
        Some(LeaderAddress { id: id.clone(), peer: spec.peer })
    }

    /// Carries out actions in their order.
    fn run_actions(&mut self, actions: Vec<QuorumAction>) -> Result<(), MemberFailure> {
        for action in actions {
            self.run_action(action)?;
        }
        Ok(())
    }

    fn run_action(&mut self, action: QuorumAction) -> Result<(), MemberFailure> {
        match action {
            QuorumAction::SaveHardState(state) => self.parts.store.save_hard_state(&state)?,
            QuorumAction::Append(entries) => self.parts.store.append(&entries)?,
            QuorumAction::SaveSnapshot(snapshot) => self.parts.store.save_snapshot(&snapshot)?,
            QuorumAction::Send { address, message, .. } => match encode_payload(&message) {
                Ok(payload) => {
                    let frame = PeerFrame { kind: FrameKind::Quorum, payload };
                    self.parts.link.send(address, frame);
                }
                Err(error) => warn!(self.parts.log, "quorum: a message was not sent";
                    "error" => %error),
            },
            QuorumAction::Apply(entries) => self.apply_entries(entries)?,
            QuorumAction::Restore(snapshot) => self.restore(&snapshot)?,
            QuorumAction::ReadReady { ticket, .. } => self.finish_read(ticket)?,
            QuorumAction::ReadFailed { ticket } => {
                if let Some(read) = self.reads.remove(&ticket) {
                    answer(read.reply, ControlReply::NotLeader { leader: None });
                }
            }
            QuorumAction::LeaderChanged { leader, term } => self.follow_leader(leader, term),
            QuorumAction::MembersChanged(members) => {
                let names: Vec<_> = members.members.keys().map(ToString::to_string).collect();
                let detail = format!("members are {}", names.join(", "));
                info!(self.parts.log, "quorum: the member set changed, {}", detail);
                (self.parts.note)(EventKind::ControlGroupChanged, detail);
            }
        }
        Ok(())
    }

    fn apply_entries(&mut self, entries: Vec<LogEntry>) -> Result<(), MemberFailure> {
        let mut new_holders = false;
        let before = self.ledger.config().version;
        let revision = self.ledger.manifests().revision();
        for entry in entries {
            let EntryPayload::Command(command) = &entry.payload else {
                self.resolve(entry.index, entry.term, None);
                continue;
            };
            let reply = self.ledger.apply(entry.index, command)?;
            new_holders |= matches!(reply, LedgerReply::Holders { accepted: true, .. });
            self.resolve(entry.index, entry.term, Some(reply));
        }
        if new_holders {
            self.follow_holders()?;
        }
        if self.ledger.config().version != before || self.ledger.manifests().revision() != revision
        {
            (self.parts.on_change)();
        }
        Ok(())
    }

    /// Answers the proposal at `index`; another term there means that it was replaced.
    fn resolve(&mut self, index: LogIndex, term: Term, reply: Option<LedgerReply>) {
        let Some(proposal) = self.pending.remove(&index) else { return };
        let outcome = match reply {
            Some(reply) if proposal.term == term => ControlReply::Applied(reply),
            _ => ControlReply::NotLeader { leader: None },
        };
        answer(proposal.reply, outcome);
    }

    fn restore(&mut self, snapshot: &LogSnapshot) -> Result<(), MemberFailure> {
        self.ledger = Ledger::decode_state(&snapshot.state)?;
        self.snapshot_at = snapshot.last_index;
        (self.parts.on_change)();
        Ok(())
    }

    fn finish_read(&mut self, ticket: ReadTicket) -> Result<(), MemberFailure> {
        let Some(read) = self.reads.remove(&ticket) else { return Ok(()) };
        let now = self.now();
        let (share, actions) = self.share_leader(now).handle_request(&read.request.share, now);
        let config = self.ledger.config();
        let has_config = read.request.config_version >= config.version;
        let manifests = self.ledger.manifests().news_since(read.request.manifest_revision);
        let renewed = RenewReply {
            config: (!has_config).then(|| config.as_ref().clone()),
            has_more: manifests.revision < self.ledger.manifests().revision(),
            manifests,
            share,
        };
        answer(read.reply, ControlReply::Renewed(Box::new(renewed)));
        self.run_share_actions(actions)
    }

    /// Returns the leases of this term; the read that comes first proves that the ledger holds
    /// every holder set of earlier terms.
    fn share_leader(&mut self, now: Timestamp) -> &mut ShareLeader {
        let term = self.node.status().term;
        let committed = self.ledger.holders().clone();
        let start = || ShareLeader::new(term, committed, ShareTiming::default(), now);
        self.shares.get_or_insert_with(start)
    }

    fn tick_shares(&mut self, now: Timestamp) -> Result<(), MemberFailure> {
        let Some(shares) = &mut self.shares else { return Ok(()) };
        if shares.next_deadline(now).is_none_or(|due| now < due) {
            return Ok(());
        }
        let actions = shares.handle_tick(now);
        self.run_share_actions(actions)
    }

    fn run_share_actions(&mut self, actions: Vec<ShareAction>) -> Result<(), MemberFailure> {
        for ShareAction::ProposeHolders(holders) in actions {
            let Ok(command) = LedgerCommand::SetHolders(holders).encode() else { continue };
            // A proposal that is refused is repeated by the controller after a while.
            if let Ok(accepted) = self.node.propose(vec![command], self.now()) {
                self.run_actions(accepted.actions)?;
            }
        }
        Ok(())
    }

    fn follow_holders(&mut self) -> Result<(), MemberFailure> {
        let now = self.now();
        let committed = self.ledger.holders().clone();
        let Some(shares) = &mut self.shares else { return Ok(()) };
        let actions = shares.handle_committed(committed, now);
        self.run_share_actions(actions)
    }

    fn follow_leader(&mut self, leader: Option<InstanceId>, term: Term) {
        let name = leader.as_ref().map_or("none".to_owned(), ToString::to_string);
        info!(self.parts.log, "quorum: the leader changed"; "leader" => &name, "term" => %term);
        (self.parts.note)(EventKind::LeaderChanged, format!("leader {name} in term {term}"));
        if leader.as_ref() != Some(&self.parts.settings.id) {
            self.shares = None;
            // The entries may still be committed by the next leader.
            for (_, proposal) in std::mem::take(&mut self.pending) {
                answer(proposal.reply, ControlReply::Undecided);
            }
        }
    }

    fn take_snapshot(&mut self) -> Result<(), MemberFailure> {
        let applied = self.ledger.applied();
        if applied.get() < self.snapshot_at.get() + SNAPSHOT_ENTRIES {
            return Ok(());
        }
        self.snapshot_at = applied;
        let state = self.ledger.encode_state()?;
        let actions = self.node.compact(applied, state);
        self.run_actions(actions)
    }

    fn publish_view(&self, failure: Option<String>) {
        let status = Some(self.node.status());
        let mut view = self.view.write();
        view.status = status;
        view.claims = self.ledger.claim_count();
        view.failure = failure;
        let shown = view.history.last().map(|change| change.version);
        if shown.unwrap_or_default() != self.ledger.config().version {
            let latest = self.ledger.history().rev().take(SHOWN_CHANGES).cloned();
            view.history = latest.collect();
            view.history.reverse();
        }
    }

    fn now(&self) -> Timestamp {
        self.parts.clock.now()
    }
}

/// Sends an answer to an asker that may have left.
fn answer(reply: oneshot::Sender<ControlReply>, outcome: ControlReply) {
    let _ = reply.send(outcome);
}

/// The time between heartbeats of the leader.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// The shortest time without a leader before an election.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The part of the election timeout kept off the lease against clock drift.
pub const LEASE_MARGIN: Duration = Duration::from_millis(150);
