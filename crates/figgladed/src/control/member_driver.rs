//! The main loop of a control member's thread.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, mpsc},
    time::Duration,
};

use bytes::Bytes;
use figglade::{
    InstanceId, Timestamp,
    border::LogStoreError,
    controller::{
        event::EventKind,
        group_keeper::tolerates_losses,
        ledger::{Ledger, LedgerCommand, LedgerError, LedgerReply},
        quorum::{
            EntryPayload, LogEntry, LogIndex, LogSnapshot, MemberChange, ProposeError,
            QuorumAction, QuorumNode, ReadTicket, Term,
        },
        share::ShareLeader,
    },
    peer::{FrameKind, PeerFrame, encode_payload},
};
use parking_lot::RwLock;
use slog::{error, info, warn};
use tokio::sync::oneshot;

use super::{
    member::{MemberInput, MemberParts, MemberView, load_member},
    message::{ControlReply, LeaderAddress, MemberRequest, RenewReply, RenewRequest},
};

/// The most queued inputs handled in one iteration; proposals among them are committed together.
const MAX_BATCH_INPUTS: usize = 1_024;
/// The number of applied entries after which a snapshot is taken.
const SNAPSHOT_ENTRIES: u64 = 20_000;
/// The maximum number of recent configuration changes in the view.
const MAX_HISTORY_CHANGES: usize = 100;

/// A proposal whose entry is in the log and not yet committed.
struct PendingProposal {
    term: Term,
    reply: oneshot::Sender<ControlReply>,
}

/// The number of appended bytes after which a snapshot is taken, which bounds the log's use of disk
/// and memory.
const SNAPSHOT_BYTES: usize = 4 << 20;
/// The duration of a write from which on it is logged: half of the shortest election timeout.
const SLOW_WRITE: Duration = Duration::from_millis(500);
/// How long to wait before each attempt to reopen a log whose disk failed.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// A read that waits for the quorum to confirm the leadership.
enum PendingRead {
    /// A renewal.
    Renewal { request: RenewRequest, reply: oneshot::Sender<ControlReply> },
    /// A read of the newest route set.
    Routes { reply: oneshot::Sender<ControlReply> },
    /// A read of the evacuated zones in force.
    Evacuations { reply: oneshot::Sender<ControlReply> },
}

/// The reason the member stops taking part in the group.
#[derive(Debug, derive_more::Display, derive_more::From)]
pub(super) enum MemberFailure {
    Store(LogStoreError),
    Ledger(LedgerError),
    State(figglade::controller::ledger::StateError),
}

/// Drives the quorum log, its storage and the ledger on the thread of a control member.
pub(super) struct MemberDriver {
    pub(super) node: QuorumNode,
    pub(super) ledger: Ledger,
    pub(super) parts: MemberParts,
    view: Arc<RwLock<MemberView>>,
    pending: BTreeMap<LogIndex, PendingProposal>,
    reads: HashMap<ReadTicket, PendingRead>,
    /// The leases on connection shares; set only at a leader that has confirmed its leadership.
    pub(super) shares: Option<ShareLeader>,
    snapshot_index: LogIndex,
    /// The bytes appended since the last snapshot.
    appended_bytes: usize,
    /// Whether every instance with a disk has long been a voter.
    is_group_settled: bool,
}

impl MemberDriver {
    /// Builds the driver from the state loaded from disk.
    pub(super) fn new(
        node: QuorumNode,
        ledger: Ledger,
        parts: MemberParts,
        view: Arc<RwLock<MemberView>>,
    ) -> Self {
        let snapshot_index = ledger.applied();
        Self {
            node,
            ledger,
            parts,
            view,
            pending: BTreeMap::new(),
            reads: HashMap::new(),
            shares: None,
            snapshot_index,
            appended_bytes: 0,
            is_group_settled: false,
        }
    }

    pub(super) fn run(&mut self, inputs: &mpsc::Receiver<MemberInput>) {
        self.publish_view(None);
        loop {
            match self.run_iteration(inputs) {
                Ok(true) => {}
                Ok(false) => break,
                Err(failure) => {
                    error!(self.parts.log, "quorum: the member failed and stops taking part";
                        "reason" => %failure);
                    (self.parts.record_event)(EventKind::DiskFault, failure.to_string());
                    self.publish_view(Some(failure.to_string()));
                    if !self.reopen(inputs) {
                        return;
                    }
                    self.publish_view(None);
                }
            }
        }
        info!(self.parts.log, "quorum: the member stopped");
    }

    /// Reloads the state from disk once the disk works, as a restart of the process would. Returns
    /// false if reopening is not configured or the member is told to stop.
    fn reopen(&mut self, inputs: &mpsc::Receiver<MemberInput>) -> bool {
        self.pending.clear();
        self.reads.clear();
        self.shares = None;
        while self.parts.reopen.is_some() {
            std::thread::sleep(REOPEN_DELAY);
            // Dropping the inputs drops their reply senders, so that each caller gets `Undecided`.
            if inputs.try_iter().any(|input| matches!(input, MemberInput::Stop)) {
                return false;
            }
            match self.reload() {
                Ok(()) => {
                    info!(
                        self.parts.log,
                        "quorum: the member reopened its log and takes part again"
                    );
                    return true;
                }
                Err(reason) => {
                    warn!(self.parts.log, "quorum: the log cannot be opened"; "reason" => reason);
                }
            }
        }
        false
    }

    fn reload(&mut self) -> Result<(), String> {
        let Some(open) = &mut self.parts.reopen else { return Err("reopen disabled".to_owned()) };
        self.parts.store = open().map_err(|error| error.to_string())?;
        let loaded = load_member(&mut self.parts).map_err(|error| error.to_string())?;
        (self.node, self.ledger) = loaded;
        self.snapshot_index = self.ledger.applied();
        self.appended_bytes = 0;
        Ok(())
    }

    /// Waits for inputs or the next deadline and handles them; returns false when the thread must
    /// stop.
    fn run_iteration(
        &mut self,
        inputs: &mpsc::Receiver<MemberInput>,
    ) -> Result<bool, MemberFailure> {
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
            MemberInput::Renew { request, reply } => {
                self.begin_read(PendingRead::Renewal { request, reply }, now)
            }
            MemberInput::ReadRoutes { reply } => {
                self.begin_read(PendingRead::Routes { reply }, now)
            }
            MemberInput::ReadEvacuations { reply } => {
                self.begin_read(PendingRead::Evacuations { reply }, now)
            }
            MemberInput::ChangeMember { request, reply } => self.change_member(request, reply, now),
            MemberInput::SetGroupSettled(is_settled) => {
                self.is_group_settled = is_settled;
                Ok(())
            }
            MemberInput::TransferLeadership => match self.node.transfer_leadership(None, now) {
                Ok(actions) => self.run_actions(actions),
                Err(_) => Ok(()),
            },
            MemberInput::Propose { .. } | MemberInput::Stop => Ok(()),
        }
    }

    /// Proposes the commands together, with one append and one sync.
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
                    answer(reply, self.refusal_reply(&refusal));
                }
                Ok(())
            }
        }
    }

    /// Checks a command before it enters the log: one that cannot be decoded would stop every member
    /// when it is applied.
    fn check_command(&self, command: &Bytes) -> Result<(), String> {
        let decoded = LedgerCommand::decode(command).map_err(|error| error.to_string())?;
        let may_grow = self.ledger.routes().is_none() && !self.is_group_settled;
        // What an operator orders is acknowledged only once it survives the losses.
        if matches!(decoded, LedgerCommand::PutRoutes(_) | LedgerCommand::SetEvacuation(_))
            && !tolerates_losses(&self.node.status(), self.parts.tolerated_losses, may_grow)
        {
            return Err(
                "the control group has too few members for the losses it must tolerate".into()
            );
        }
        if decoded.has_plausible_wall(self.parts.clock.wall()) {
            return Ok(());
        }
        Err("the wall clock of the instance is too far from that of the leader".to_owned())
    }

    fn begin_read(&mut self, read: PendingRead, now: Timestamp) -> Result<(), MemberFailure> {
        match self.node.begin_read(now) {
            Ok((ticket, actions)) => {
                self.reads.insert(ticket, read);
                self.run_actions(actions)
            }
            Err(refusal) => {
                answer(read.into_reply(), self.refusal_reply(&refusal));
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
                answer(reply, self.refusal_reply(&ProposeError::NotLeader { leader }));
            }
            Err(refusal) => answer(reply, ControlReply::Refused { reason: refusal.to_string() }),
        }
        Ok(())
    }

    fn refusal_reply(&self, refusal: &ProposeError) -> ControlReply {
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

    /// Carries out the actions in order.
    pub(super) fn run_actions(&mut self, actions: Vec<QuorumAction>) -> Result<(), MemberFailure> {
        for action in actions {
            self.run_action(action)?;
        }
        Ok(())
    }

    fn run_action(&mut self, action: QuorumAction) -> Result<(), MemberFailure> {
        match action {
            QuorumAction::SaveHardState(state) => {
                let started = self.now();
                self.parts.store.save_hard_state(&state)?;
                self.report_slow_write("term and vote", started);
            }
            QuorumAction::Append(entries) => {
                self.appended_bytes += entries.iter().map(payload_bytes).sum::<usize>();
                let started = self.now();
                self.parts.store.append(&entries)?;
                self.report_slow_write("entries", started);
            }
            QuorumAction::SaveSnapshot(snapshot) => {
                let started = self.now();
                self.parts.store.save_snapshot(&snapshot)?;
                self.report_slow_write("snapshot", started);
            }
            QuorumAction::Send { address, message, .. } => match encode_payload(&message) {
                Ok(payload) => {
                    let frame = PeerFrame { kind: FrameKind::Quorum, payload };
                    self.parts.link.send(address, frame);
                }
                Err(error) => warn!(self.parts.log, "quorum: cannot encode a message";
                    "error" => %error),
            },
            QuorumAction::Apply(entries) => self.apply_entries(entries)?,
            QuorumAction::Restore(snapshot) => self.restore_snapshot(&snapshot)?,
            QuorumAction::ReadReady { ticket, .. } => self.finish_read(ticket)?,
            QuorumAction::ReadFailed { ticket } => {
                if let Some(read) = self.reads.remove(&ticket) {
                    answer(read.into_reply(), ControlReply::NotLeader { leader: None });
                }
            }
            QuorumAction::LeaderChanged { leader, term } => self.handle_leader_change(leader, term),
            QuorumAction::MembersChanged(members) => {
                let names: Vec<_> = members.members.keys().map(ToString::to_string).collect();
                let detail = format!("members are {}", names.join(", "));
                info!(self.parts.log, "quorum: the member set changed, {}", detail);
                (self.parts.record_event)(EventKind::ControlGroupChanged, detail);
            }
        }
        Ok(())
    }

    /// Logs a write that took so long that elections may fail meanwhile: the thread answers nothing
    /// before a write is synced.
    fn report_slow_write(&self, what: &str, started: Timestamp) {
        let elapsed = self.now().since(started);
        if elapsed >= SLOW_WRITE {
            warn!(self.parts.log, "quorum: a write to the disk was slow"; "what" => what,
                "elapsed_ms" => elapsed.as_millis() as u64);
        }
    }

    fn apply_entries(&mut self, entries: Vec<LogEntry>) -> Result<(), MemberFailure> {
        let mut has_new_holders = false;
        let before = self.ledger.config().version;
        let revision = self.ledger.manifests().revision();
        for entry in entries {
            let EntryPayload::Command(command) = &entry.payload else {
                self.answer_proposal(entry.index, entry.term, None);
                continue;
            };
            let reply = self.ledger.apply(entry.index, command)?;
            has_new_holders |= matches!(reply, LedgerReply::Holders { accepted: true, .. });
            self.answer_proposal(entry.index, entry.term, Some(reply));
        }
        if has_new_holders {
            self.handle_committed_holders()?;
        }
        if self.ledger.config().version != before || self.ledger.manifests().revision() != revision
        {
            (self.parts.on_change)();
        }
        Ok(())
    }

    /// Replies to the proposal at `index`. A different term means that the entry of another leader
    /// replaced it.
    fn answer_proposal(&mut self, index: LogIndex, term: Term, reply: Option<LedgerReply>) {
        let Some(proposal) = self.pending.remove(&index) else { return };
        let outcome = match reply {
            Some(reply) if proposal.term == term => ControlReply::Applied(reply),
            _ => ControlReply::NotLeader { leader: None },
        };
        answer(proposal.reply, outcome);
    }

    fn restore_snapshot(&mut self, snapshot: &LogSnapshot) -> Result<(), MemberFailure> {
        self.ledger = Ledger::decode_state(&snapshot.state)?;
        self.snapshot_index = snapshot.last_index;
        (self.parts.on_change)();
        Ok(())
    }

    fn finish_read(&mut self, ticket: ReadTicket) -> Result<(), MemberFailure> {
        match self.reads.remove(&ticket) {
            Some(PendingRead::Renewal { request, reply }) => self.finish_renewal(&request, reply),
            Some(PendingRead::Routes { reply }) => {
                answer(reply, ControlReply::Routes(self.ledger.routes().cloned()));
                Ok(())
            }
            Some(PendingRead::Evacuations { reply }) => {
                answer(reply, ControlReply::Evacuations(self.ledger.evacuations().clone()));
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn finish_renewal(
        &mut self,
        request: &RenewRequest,
        reply: oneshot::Sender<ControlReply>,
    ) -> Result<(), MemberFailure> {
        let now = self.now();
        let (share, actions) = self.share_leader(now).handle_request(&request.share, now);
        let config = self.ledger.config();
        let is_config_current = request.config_version >= config.version;
        let manifests = self.ledger.manifests().updates_since(request.manifest_revision);
        let renewed = RenewReply {
            config: (!is_config_current).then(|| config.as_ref().clone()),
            has_more: manifests.revision < self.ledger.manifests().revision(),
            manifests,
            share,
        };
        answer(reply, ControlReply::Renewed(Box::new(renewed)));
        self.run_share_actions(actions)
    }

    fn handle_leader_change(&mut self, leader: Option<InstanceId>, term: Term) {
        let name = leader.as_ref().map_or("none".to_owned(), ToString::to_string);
        info!(self.parts.log, "quorum: the leader changed"; "leader" => &name, "term" => %term);
        (self.parts.record_event)(
            EventKind::LeaderChanged,
            format!("leader {name} in term {term}"),
        );
        if leader.as_ref() != Some(&self.parts.settings.id) {
            self.shares = None;
            // The next leader may still commit the entries, so the outcome is unknown.
            for (_, proposal) in std::mem::take(&mut self.pending) {
                answer(proposal.reply, ControlReply::Undecided);
            }
        }
    }

    fn take_snapshot(&mut self) -> Result<(), MemberFailure> {
        let applied = self.ledger.applied();
        let entries = applied.get() - self.snapshot_index.get();
        let is_due = entries >= SNAPSHOT_ENTRIES || self.appended_bytes >= SNAPSHOT_BYTES;
        if entries == 0 || !is_due {
            return Ok(());
        }
        self.snapshot_index = applied;
        self.appended_bytes = 0;
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
        let held = view.routes.as_ref().map(|routes| routes.version);
        if held != self.ledger.routes().map(|routes| routes.version) {
            view.routes = self.ledger.routes().cloned().map(Arc::new);
        }
        let has_new_evacuations =
            view.evacuations.revision() != self.ledger.evacuations().revision();
        if has_new_evacuations {
            view.evacuations = Arc::new(self.ledger.evacuations().clone());
        }
        let shown = view.history.last().map(|change| change.version);
        if shown.unwrap_or_default() != self.ledger.config().version {
            let latest = self.ledger.history().rev().take(MAX_HISTORY_CHANGES).cloned();
            view.history = latest.collect();
            view.history.reverse();
        }
        let has_new_routes = held != view.routes.as_ref().map(|routes| routes.version);
        drop(view);
        if has_new_routes || has_new_evacuations {
            (self.parts.on_change)();
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        self.parts.clock.now()
    }
}

impl PendingRead {
    fn into_reply(self) -> oneshot::Sender<ControlReply> {
        match self {
            Self::Renewal { reply, .. } | Self::Routes { reply } | Self::Evacuations { reply } => {
                reply
            }
        }
    }
}

/// Returns the payload size of an entry in bytes.
fn payload_bytes(entry: &LogEntry) -> usize {
    match &entry.payload {
        EntryPayload::Command(command) => command.len(),
        EntryPayload::Noop | EntryPayload::Members(_) => 0,
    }
}

/// Sends a reply; the caller may have stopped waiting.
fn answer(reply: oneshot::Sender<ControlReply>, outcome: ControlReply) {
    let _ = reply.send(outcome);
}
