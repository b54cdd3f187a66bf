//! One hub.

mod inputs;
mod replication;

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, OnceLock},
    time::Duration,
};

use derive_more::{Display, Error};
use figglade::{
    InstanceId, TargetId, Timestamp, ZoneName,
    border::PeerLink,
    controller::{
        aggregators::{
            AggregatorAddress, AggregatorCandidate, ZoneMembers, choose_aggregators,
            summarize_members,
        },
        group_keeper::{GroupKeeper, JoinRequest, SeedKind},
        ledger::{LedgerCommand, LedgerReply},
        quorum::{MemberChange, StorageId},
        route_set::{RouteDocument, RoutePut, RouteSetVersion},
        service_directory::{ReportTracker, ServiceDirectory, TargetRecord, TargetReport},
    },
};
use slog::{Logger, info, warn};
use tokio::{sync::mpsc, task::spawn_local, time::interval};

use super::{
    frames::HubInput,
    message::{HubGreeting, HubMessage},
    peers::{HubFollowerState, HubPeers},
    target_store::TargetStore,
};
use crate::{
    clock::ProcessClock,
    control::{
        ControlGroupClient, ControlReply, ControlRequest, MemberHandle, MemberInput, MemberRequest,
        ProposeMode,
    },
    peer_link::PeerHandle,
};

/// The time between two looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The ticks between two greetings.
const GREETING_INTERVAL_TICKS: u64 = 7;
/// The ticks between two looks at whether the targets must be written.
const WRITE_INTERVAL_TICKS: u64 = 10;
/// The polls of a follower after which it is told all hubs again.
const HUB_LIST_INTERVAL_POLLS: u32 = 25;
/// The ticks between two looks at reports that stopped.
const CLEAN_UP_INTERVAL_TICKS: u64 = 5;
/// How long another hub may take to hold a record.
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a route set may take to be committed: an election and a commit.
const PUT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a read of the newest route set may take.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a hub waits after its start for another that knows the targets, beside the time in
/// which every target reports once.
const SYNC_TIMEOUT: Duration = Duration::from_millis(300);
/// The shortest time between two transfers of a route set to one follower.
const MIN_ROUTES_INTERVAL: Duration = Duration::from_millis(700);

/// The reason a hub does not take something.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum HubError {
    /// Too few other hubs hold the change.
    #[display("{held} of {wanted} other hubs hold the change")]
    NotReplicated {
        /// The hubs that hold it.
        held: usize,
        /// The hubs that must.
        wanted: usize,
    },
    /// The control group did not take the route set.
    #[display("the control group did not take the route set: {reason}")]
    NotCommitted {
        /// Why.
        reason: String,
    },
    /// The newest route set is not known for sure.
    #[display("the newest route set is not known for sure: {reason}")]
    NotCurrent {
        /// Why.
        reason: String,
    },
}

/// What a hub is made of.
pub struct HubParts {
    /// The instance.
    pub id: InstanceId,
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// Where targets and operators reach it.
    pub admin: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it has a disk.
    pub has_disk: bool,
    /// The members that may be lost at once.
    pub tolerated_losses: usize,
    /// The time between two reports of a target.
    pub report_period: Duration,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// The clocks.
    pub clock: ProcessClock,
    /// The links to other processes.
    pub link: PeerHandle,
    /// The way to the control group.
    pub group: Arc<ControlGroupClient>,
    /// The member in this process, once it runs.
    pub member: Arc<OnceLock<MemberHandle>>,
    /// Where the targets are written, with a disk.
    pub target_store: Option<TargetStore>,
    /// The log of the process.
    pub log: Logger,
}

struct HubState {
    directory: ServiceDirectory,
    book: ReportTracker,
    keeper: GroupKeeper,
    peers: HubPeers,
    followers: BTreeMap<SocketAddr, HubFollowerState>,
    /// The instances that scatter searches for others.
    aggregators: Vec<AggregatorAddress>,
    /// The newest route set heard of; a member's own view may be newer.
    received_routes: Option<Arc<RouteDocument>>,
    storage: Option<StorageId>,
    /// Changes that go out with the next tick.
    waiting: PendingUpdates,
    is_synced: bool,
    is_leaving: bool,
    /// Whether the targets changed since they were last written.
    has_unsaved_targets: bool,
    ticks: u64,
}

/// Changes of targets that have not been sent yet.
#[derive(Default)]
struct PendingUpdates {
    for_followers: Vec<TargetRecord>,
    for_hubs: Vec<TargetRecord>,
}

/// One hub; on one thread.
pub struct HubNode {
    parts: HubParts,
    started: Timestamp,
    state: RefCell<HubState>,
}

impl HubNode {
    /// Starts without targets.
    pub fn new(parts: HubParts) -> Self {
        let state = HubState {
            directory: ServiceDirectory::default(),
            book: ReportTracker::new(parts.id.clone(), parts.report_period),
            keeper: GroupKeeper::new(parts.id.clone(), parts.tolerated_losses),
            peers: HubPeers::new(parts.peer),
            followers: BTreeMap::new(),
            aggregators: Vec::new(),
            received_routes: None,
            waiting: PendingUpdates::default(),
            storage: None,
            is_synced: parts.is_first_start,
            is_leaving: false,
            has_unsaved_targets: false,
            ticks: 0,
        };
        let node = Self { started: parts.clock.now(), parts, state: RefCell::new(state) };
        node.restore_targets();
        node
    }

    /// Starts from the targets on the disk.
    fn restore_targets(&self) {
        let Some(store) = &self.parts.target_store else { return };
        match store.load() {
            Ok(records) => {
                let now = self.now();
                let mut state = self.state.borrow_mut();
                info!(self.parts.log, "hub: targets are recalled"; "targets" => records.len());
                for record in records {
                    state.directory.merge(record, now);
                }
            }
            Err(reason) => warn!(self.parts.log, "hub: no targets are recalled";
                "reason" => %reason),
        }
    }

    /// Writes the targets to the disk, where there is one.
    async fn write_targets(&self) {
        let Some(store) = &self.parts.target_store else { return };
        let records: Vec<_> = {
            let mut state = self.state.borrow_mut();
            state.has_unsaved_targets = false;
            state.directory.records().cloned().collect()
        };
        if let Err(reason) = store.write(&records).await {
            warn!(self.parts.log, "hub: the targets were not written"; "reason" => %reason);
        }
    }

    /// Takes the seeds of the settings.
    pub fn update_seeds(&self, seeds: &[SocketAddr]) {
        self.state.borrow_mut().peers.update_seeds(seeds, self.now());
    }

    /// Returns what the seeds before this instance are known to be, or `None` where it is no seed.
    pub fn earlier_seeds(&self, seeds: &[SocketAddr]) -> Option<Vec<SeedKind>> {
        let own = seeds.iter().position(|seed| *seed == self.parts.peer)?;
        let state = self.state.borrow();
        Some(seeds[..own].iter().map(|seed| state.peers.seed_kind(seed)).collect())
    }

    /// Asks for membership in the control group with this storage from now on.
    pub fn request_membership(&self, storage: StorageId) {
        self.state.borrow_mut().storage = Some(storage);
    }

    /// Tells the other hubs that this one is about to stop, and hands the leadership over.
    pub fn leave(&self) {
        self.state.borrow_mut().is_leaving = true;
        self.greet_peers();
        if let Some(member) = self.parts.member.get() {
            member.send(MemberInput::TransferLeadership);
        }
    }

    /// Takes messages and follows the time until the process ends.
    pub async fn run(self: Rc<Self>, mut inputs: mpsc::Receiver<HubInput>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(input) = inputs.recv() => self.handle_input(input),
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    /// Sends a newer route set to all followers.
    pub fn broadcast_routes(&self) {
        let Some(routes) = self.routes() else { return };
        info!(self.parts.log, "hub: a route set is committed"; "version" => %routes.version);
        let now = self.now();
        let mut state = self.state.borrow_mut();
        for (address, follower) in &mut state.followers {
            follower.routes_sent_at = Some(now);
            self.send(*address, HubMessage::Routes(routes.as_ref().clone()));
        }
    }

    /// Takes the report of a target and returns where it should report from now on.
    ///
    /// # Errors
    ///
    /// Fails when a target stops taking requests and too few other hubs know that yet.
    pub async fn handle_report(&self, report: &TargetReport) -> Result<SocketAddr, HubError> {
        let now = self.now();
        let outcome = {
            let mut state = self.state.borrow_mut();
            let HubState { book, directory, waiting, has_unsaved_targets, .. } = &mut *state;
            let before = directory.digest();
            let outcome = book.handle_report(report, directory, now);
            waiting.for_hubs.extend_from_slice(&outcome.changed);
            if directory.digest() != before {
                waiting.for_followers.extend_from_slice(&outcome.changed);
                *has_unsaved_targets = true;
            }
            outcome
        };
        self.log_changes(&outcome.changed, "report");
        if outcome.must_replicate {
            self.replicate(&outcome.changed).await?;
        }
        let state = self.state.borrow();
        let near = state.peers.hub_in_zone(&report.zone, now);
        let is_near = report.zone == self.parts.zone;
        Ok(near.filter(|_| !is_near).unwrap_or(self.parts.admin))
    }

    /// Takes the word of a target that it leaves.
    ///
    /// # Errors
    ///
    /// Fails when too few other hubs know that yet.
    pub async fn handle_leave(&self, id: &TargetId) -> Result<(), HubError> {
        let outcome = {
            let mut state = self.state.borrow_mut();
            let HubState { book, directory, waiting, .. } = &mut *state;
            let outcome = book.handle_leave(id, directory, self.now());
            waiting.for_followers.extend_from_slice(&outcome.changed);
            outcome
        };
        self.log_changes(&outcome.changed, "leave");
        self.replicate(&outcome.changed).await
    }

    /// Puts a route set that was checked; one that is not newer changes nothing.
    ///
    /// # Errors
    ///
    /// Fails when the control group did not confirm it in time.
    pub async fn put_routes(&self, document: RouteDocument) -> Result<RouteSetVersion, HubError> {
        let held = self.routes().map(|routes| routes.version);
        if let Some(held) = held.filter(|held| *held >= document.version) {
            info!(self.parts.log, "hub: a route set is not newer and changes nothing";
                "version" => %document.version, "held" => %held);
            return Ok(held);
        }
        let version = document.version;
        let put =
            RoutePut { document, wall: self.parts.clock.wall(), instance: self.parts.id.clone() };
        let command = LedgerCommand::PutRoutes(put);
        let proposed = self.parts.group.propose(&command, ProposeMode::Idempotent, PUT_TIMEOUT);
        let refusal = match proposed.await {
            Ok(LedgerReply::Routes(reply)) => {
                info!(self.parts.log, "hub: a route set was put"; "version" => %version,
                    "in_force" => %reply.in_force, "adopted" => reply.is_adopted);
                return Ok(reply.in_force);
            }
            Ok(_) => "another answer than asked for".to_owned(),
            Err(failure) => failure.to_string(),
        };
        warn!(self.parts.log, "hub: a route set was not put"; "version" => %version,
            "reason" => &refusal);
        Err(HubError::NotCommitted { reason: refusal })
    }

    /// Returns the newest route set, as a majority of the control group confirms.
    ///
    /// # Errors
    ///
    /// Fails when no majority confirms it in time.
    pub async fn read_routes(&self) -> Result<Option<RouteDocument>, HubError> {
        let asked = self.parts.group.ask(
            &ControlRequest::ReadRoutes,
            ProposeMode::Idempotent,
            READ_TIMEOUT,
        );
        match asked.await {
            Ok(ControlReply::Routes(document)) => Ok(document),
            Ok(_) => Err(HubError::NotCurrent { reason: "the leader refused".to_owned() }),
            Err(failure) => Err(HubError::NotCurrent { reason: failure.to_string() }),
        }
    }

    /// Returns lines of metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        let now = self.now();
        let state = self.state.borrow();
        let live = state.directory.live().count();
        let lapsed = state.directory.live().filter(|record| record.is_lapsed).count();
        let heard = state.peers.reachable(now).count();
        let version = self.routes().map_or(0, |routes| routes.version.get());
        let gauges = [
            ("targets", "Targets that have not ended.", live as u64),
            ("lapsed_targets", "Targets whose reports stopped.", lapsed as u64),
            ("followers", "Instances that follow this hub.", state.followers.len() as u64),
            ("heard_hubs", "Other hubs heard from lately.", heard as u64),
            ("route_set_version", "The route set known to be committed.", version),
            (
                "current",
                "Whether the control group is in reach.",
                u64::from(self.is_current(&state, now)),
            ),
        ];
        let lines = gauges.iter().map(|(name, help, value)| {
            format!(
                "# HELP figglade_hub_{name} {help}\n# TYPE figglade_hub_{name} gauge\n\
                 figglade_hub_{name} {value}\n"
            )
        });
        lines.collect()
    }

    fn tick(self: &Rc<Self>) {
        let now = self.now();
        let ticks = {
            let mut state = self.state.borrow_mut();
            state.ticks += 1;
            state.ticks
        };
        if ticks % GREETING_INTERVAL_TICKS == 1 {
            self.choose_aggregators(now);
            self.greet_peers();
        }
        if ticks % CLEAN_UP_INTERVAL_TICKS == 2 {
            self.clean_up(now);
        }
        self.send_pending();
        self.repair_group(now);
        if ticks % WRITE_INTERVAL_TICKS == 3 && self.state.borrow().has_unsaved_targets {
            let node = Rc::clone(self);
            spawn_local(async move { node.write_targets().await });
        }
    }

    fn clean_up(&self, now: Timestamp) {
        let lapsed = {
            let mut state = self.state.borrow_mut();
            if !state.is_synced && now.since(self.started) > self.parts.report_period + SYNC_TIMEOUT
            {
                info!(self.parts.log, "hub: no other hub knows the targets; it starts from none");
                state.is_synced = true;
            }
            state.followers.retain(|_, follower| follower.is_present(now));
            state.peers.evict_unreachable(now);
            state.directory.purge_gone(now);
            let HubState { book, directory, peers, .. } = &mut *state;
            book.mark_lapsed(directory, |holder| peers.is_reachable(holder, now), now)
        };
        self.log_changes(&lapsed, "silence");
        let waiting = &mut self.state.borrow_mut().waiting;
        waiting.for_followers.extend_from_slice(&lapsed);
        waiting.for_hubs.extend_from_slice(&lapsed);
    }

    /// Proposes the next change of the control group, at its leader.
    fn repair_group(&self, now: Timestamp) {
        let Some(member) = self.parts.member.get() else { return };
        let Some(status) = member.view().status else { return };
        let change = self.state.borrow_mut().keeper.next_change(&status, now);
        let Some(change) = change else { return };
        info!(self.parts.log, "hub: the control group changes"; "change" => format!("{change:?}"));
        let request = match change {
            MemberChange::AddLearner { id, peer, storage } => {
                MemberRequest::Add { id, peer, storage }
            }
            MemberChange::Promote { id } => MemberRequest::Promote { id },
            MemberChange::Remove { id } => MemberRequest::Remove { id },
        };
        let (member, log) = (member.clone(), self.parts.log.clone());
        spawn_local(async move {
            let ask = member.ask(|reply| MemberInput::ChangeMember { request, reply });
            if let ControlReply::Refused { reason } = ask.await {
                info!(log, "hub: the change was refused"; "reason" => reason);
            }
        });
    }

    fn greet_peers(&self) {
        let now = self.now();
        let state = self.state.borrow();
        let join = state.storage.map(|storage| JoinRequest {
            id: self.parts.id.clone(),
            peer: self.parts.peer,
            storage,
            is_leaving: state.is_leaving,
        });
        let present = state.followers.values().filter(|follower| follower.is_present(now));
        let greeting = HubGreeting {
            id: self.parts.id.clone(),
            admin: self.parts.admin,
            zone: self.parts.zone.clone(),
            join,
            has_disk: self.parts.has_disk,
            followers: present.count() as u32,
            digest: state.directory.digest(),
            routes: self.routes().map(|routes| routes.version),
            is_synced: state.is_synced,
            is_current: self.is_current(&state, now),
            hubs: state.peers.reachable(now).map(|(address, _)| address).collect(),
            members: Self::summarize_followers(&state, now),
        };
        let message = HubMessage::Greeting(Box::new(greeting));
        let Some(frame) = self.encode(message) else { return };
        for address in state.peers.peers.keys() {
            self.parts.link.send(*address, frame.clone());
        }
    }

    /// Summarizes the instances that follow this hub.
    fn summarize_followers(state: &HubState, now: Timestamp) -> Vec<ZoneMembers> {
        let present = state.followers.iter().filter(|(_, follower)| follower.is_present(now));
        summarize_members(present.filter_map(|(peer, follower)| {
            let (zone, cores) = follower.member.clone()?;
            Some((zone, AggregatorCandidate { peer: *peer, cores }))
        }))
    }

    /// Chooses the aggregators from the instances that any hub hears of.
    fn choose_aggregators(&self, now: Timestamp) {
        let mut state = self.state.borrow_mut();
        let own = Self::summarize_followers(&state, now);
        let others = state.peers.reachable(now).flat_map(|(_, greeting)| &greeting.members);
        let chosen = choose_aggregators(own.iter().chain(others));
        if chosen != state.aggregators {
            info!(self.parts.log, "hub: the aggregators changed";
                "former" => format_addresses(&state.aggregators),
                "aggregators" => format_addresses(&chosen));
            state.aggregators = chosen;
        }
    }

    fn log_changes(&self, changed: &[TargetRecord], cause: &str) {
        for record in changed {
            info!(self.parts.log, "hub: a target changed"; "target" => %record.id,
                "service" => %record.service, "phase" => %record.phase, "cause" => cause,
                "address" => %record.address, "lapsed" => record.is_lapsed,
                "holder" => %record.holder, "incarnation" => %record.incarnation,
                "sequence" => record.sequence);
        }
    }

    fn count_followers(&self, state: &HubState, now: Timestamp) -> u32 {
        let own = state.followers.values().filter(|follower| follower.is_present(now)).count();
        let others: u32 = state.peers.reachable(now).map(|(_, greeting)| greeting.followers).sum();
        own as u32 + others
    }

    /// Returns whether the control group is in reach: a member hears a leader, any other hub hears
    /// such a member.
    fn is_current(&self, state: &HubState, now: Timestamp) -> bool {
        if !self.parts.has_disk {
            let held = state.received_routes.as_ref().map(|routes| routes.version);
            return state.peers.reachable(now).any(|(_, greeting)| {
                greeting.has_disk && greeting.is_current && greeting.routes <= held
            });
        }
        let view = self.parts.member.get().map(MemberHandle::view);
        view.is_some_and(|view| {
            view.failure.is_none() && view.status.is_some_and(|status| status.leader.is_some())
        })
    }

    /// Returns the newest route set known to be committed.
    fn routes(&self) -> Option<Arc<RouteDocument>> {
        let own = self.parts.member.get().and_then(|member| member.view().routes);
        let Ok(state) = self.state.try_borrow() else { return own };
        let heard = state.received_routes.clone();
        match (own, heard) {
            (Some(own), Some(heard)) if heard.version > own.version => Some(heard),
            (Some(own), _) => Some(own),
            (None, heard) => heard,
        }
    }

    fn now(&self) -> Timestamp {
        self.parts.clock.now()
    }
}

fn format_addresses(aggregators: &[AggregatorAddress]) -> String {
    aggregators.iter().map(|held| held.peer.to_string()).collect::<Vec<_>>().join(" ")
}
