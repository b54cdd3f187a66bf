//! The state and the periodic tasks of a hub.

mod evacuation;
mod group;
mod hubs;
mod inputs;
mod replication;
mod services;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashSet},
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, OnceLock},
    time::Duration,
};

use derive_more::{Display, Error};
use figglade::{
    InstanceId, Timestamp, ZoneName,
    border::PeerLink,
    controller::{
        aggregators::{
            AggregatorAddress, AggregatorCandidate, ZoneMembers, choose_aggregators,
            summarize_members,
        },
        evacuation::EvacuationError,
        group_keeper::{GroupKeeper, JoinRequest, SeedKind},
        ledger::{LedgerCommand, LedgerReply},
        quorum::StorageId,
        route_set::{RouteCodec, RouteDocument, RoutePut, RouteSetVersion},
        service_directory::{
            ReportTracker, ServiceDirectory, TargetCapacity, TargetLeave, TargetRecord,
            TargetReport,
        },
    },
};
use slog::{Logger, info, warn};
use tokio::{sync::mpsc, task::spawn_local, time::interval};

use self::evacuation::ZoneState;
use super::{
    frames::HubInput,
    message::{HubGreeting, HubMessage},
    peers::{HubFollowerState, HubPeers},
    target_store::TargetStore,
};
use crate::{
    clock::ProcessClock,
    control::{
        ControlGroupClient, ControlReply, ControlRequest, MemberHandle, MemberInput, ProposeMode,
    },
    peer_link::PeerHandle,
};

/// The time between two runs of the periodic tasks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The ticks between two attempts to read the evacuated zones after the start.
const CONFIRM_INTERVAL_TICKS: u64 = 2;
/// The ticks between two greetings.
const GREETING_INTERVAL_TICKS: u64 = 7;
/// The ticks between two checks for targets that are not yet written to the disk.
const WRITE_INTERVAL_TICKS: u64 = 10;
/// The polls of a follower between two transfers of the hub list.
const HUB_LIST_INTERVAL_POLLS: u32 = 25;
/// The ticks between two checks for targets, followers and hubs that are no longer reachable.
const CLEAN_UP_INTERVAL_TICKS: u64 = 5;
/// The time within which another hub must acknowledge a record.
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(500);
/// The time within which a route set must be committed: enough for an election and a commit.
const PUT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The time within which a read of the newest route set must complete.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a hub waits after its start for another hub that knows the targets, in addition to one
/// report period, in which every target reports once.
const SYNC_TIMEOUT: Duration = Duration::from_millis(300);
/// The minimum time between two transfers of a route set to one follower.
const MIN_ROUTES_INTERVAL: Duration = Duration::from_millis(700);

/// The reason a call to a hub failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum HubError {
    /// Too few other hubs hold the change.
    #[display("only {held} of {required} required other hubs hold the change")]
    NotReplicated {
        /// The number of other hubs that hold it.
        held: usize,
        /// The number of other hubs that must hold it.
        required: usize,
    },
    /// The directory has no room for a further target.
    #[display("the directory has the maximum of {capacity}")]
    Full {
        /// The bound.
        capacity: TargetCapacity,
    },
    /// The control group did not confirm the route set.
    #[display("the control group did not confirm the route set: {reason}")]
    NotCommitted {
        /// The reason.
        reason: String,
    },
    /// The control group did not confirm which route set is the newest.
    #[display("cannot confirm the newest route set: {reason}")]
    NotCurrent {
        /// The reason.
        reason: String,
    },
    /// An order for a zone was rejected.
    #[display("{_0}")]
    BadZone(EvacuationError),
    /// The control group did not confirm an order for a zone.
    #[display("the control group did not confirm the order: {reason}")]
    NotOrdered {
        /// The reason.
        reason: String,
    },
}

/// The settings and dependencies of a hub.
pub struct HubParts {
    /// The instance.
    pub id: InstanceId,
    /// The address on which it listens for peers.
    pub peer: SocketAddr,
    /// The address on which it serves targets and operators.
    pub admin: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The availability zones of the settings; an empty set allows every zone to be evacuated.
    pub zones: BTreeSet<ZoneName>,
    /// Whether it has a disk.
    pub has_disk: bool,
    /// The number of members that may be lost at once.
    pub tolerated_losses: usize,
    /// The time between two reports of a target.
    pub report_period: Duration,
    /// The bound on the targets that it accepts reports of.
    pub capacity: TargetCapacity,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// The clocks.
    pub clock: ProcessClock,
    /// The links to other processes.
    pub link: PeerHandle,
    /// The client of the control group.
    pub group: Arc<ControlGroupClient>,
    /// The control group member in this process; set once the member has started.
    pub member: Arc<OnceLock<MemberHandle>>,
    /// The store of the targets; `None` without a disk.
    pub target_store: Option<TargetStore>,
    /// Decodes the committed route sets.
    pub codec: Rc<dyn RouteCodec>,
    /// The log of the process.
    pub log: Logger,
}

struct HubState {
    directory: ServiceDirectory,
    /// The route set whose services the directory knows.
    named_by: Option<RouteSetVersion>,
    reports: ReportTracker,
    keeper: GroupKeeper,
    peers: HubPeers,
    followers: BTreeMap<SocketAddr, HubFollowerState>,
    /// The instances that scatter searches for other instances.
    aggregators: Vec<AggregatorAddress>,
    /// The newest route set received from another hub; the own member's view may be newer.
    received_routes: Option<Arc<RouteDocument>>,
    /// The evacuated zones as far as this hub knows, and those of the settings.
    zones: ZoneState,
    storage: Option<StorageId>,
    /// The changes to send with the next tick.
    pending: PendingUpdates,
    /// Whether the member was last told that the control group is complete.
    is_group_settled: bool,
    is_synced: bool,
    is_leaving: bool,
    /// Whether the targets changed since they were last written to the disk.
    has_unsaved_targets: bool,
    ticks: u64,
}

/// The changes of targets that have not been sent yet.
#[derive(Default)]
struct PendingUpdates {
    for_followers: Vec<TargetRecord>,
    for_hubs: Vec<TargetRecord>,
}

/// A hub; runs on one thread.
pub struct HubNode {
    parts: HubParts,
    started: Timestamp,
    state: RefCell<HubState>,
    /// Whether the directory had no room for unknown targets at the last report or leave.
    is_full: Cell<bool>,
}

impl HubNode {
    /// Builds a hub with the targets on the disk, if any.
    pub fn new(parts: HubParts) -> Self {
        let state = HubState {
            directory: ServiceDirectory::without_services(),
            named_by: None,
            reports: ReportTracker::new(parts.id.clone(), parts.report_period),
            keeper: GroupKeeper::new(parts.id.clone(), parts.tolerated_losses),
            peers: HubPeers::new(parts.peer),
            followers: BTreeMap::new(),
            aggregators: Vec::new(),
            received_routes: None,
            zones: ZoneState::new(parts.zones.clone()),
            pending: PendingUpdates::default(),
            storage: None,
            is_group_settled: false,
            is_synced: parts.is_first_start,
            is_leaving: false,
            has_unsaved_targets: false,
            ticks: 0,
        };
        let (started, state) = (parts.clock.now(), RefCell::new(state));
        let node = Self { started, parts, state, is_full: Cell::new(false) };
        node.restore_targets();
        node
    }

    /// Restores the targets from the disk; a file that cannot be loaded is ignored.
    fn restore_targets(&self) {
        let Some(store) = &self.parts.target_store else { return };
        match store.load() {
            Ok(records) => {
                let now = self.now();
                let mut state = self.state.borrow_mut();
                info!(self.parts.log, "hub: loaded targets from the disk";
                    "targets" => records.len());
                for record in records {
                    state.directory.merge(record, now);
                }
            }
            Err(reason) => warn!(self.parts.log, "hub: cannot load targets from the disk";
                "reason" => %reason),
        }
    }

    /// Writes the targets to the disk, if there is one.
    async fn write_targets(&self) {
        let Some(store) = &self.parts.target_store else { return };
        let records: Vec<_> = {
            let mut state = self.state.borrow_mut();
            state.has_unsaved_targets = false;
            state.directory.records().cloned().collect()
        };
        if let Err(reason) = store.write(&records).await {
            warn!(self.parts.log, "hub: cannot write targets to the disk"; "reason" => %reason);
        }
    }

    /// Replaces the seeds by those of the settings.
    pub fn update_seeds(&self, seeds: &[SocketAddr]) {
        self.state.borrow_mut().peers.update_seeds(seeds, self.now());
    }

    /// Returns what is known about the seeds before this instance in the list, or `None` if it is
    /// not a seed.
    pub fn earlier_seeds(&self, seeds: &[SocketAddr]) -> Option<Vec<SeedKind>> {
        let own = seeds.iter().position(|seed| *seed == self.parts.peer)?;
        let state = self.state.borrow();
        Some(seeds[..own].iter().map(|seed| state.peers.seed_kind(seed)).collect())
    }

    /// Requests membership in the control group with this storage, from the next greeting on.
    pub fn request_membership(&self, storage: StorageId) {
        self.state.borrow_mut().storage = Some(storage);
    }

    /// Notifies the other hubs that this one is about to stop, and hands the leadership over.
    pub fn leave(&self) {
        self.state.borrow_mut().is_leaving = true;
        self.greet_peers();
        if let Some(member) = self.parts.member.get() {
            member.send(MemberInput::TransferLeadership);
        }
    }

    /// Handles messages and runs the periodic tasks until the process ends.
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

    /// Sends the newest known route set to all followers.
    pub fn broadcast_routes(&self) {
        self.refresh_services();
        let Some(routes) = self.routes() else { return };
        info!(self.parts.log, "hub: a route set is committed"; "version" => %routes.version);
        let now = self.now();
        let mut state = self.state.borrow_mut();
        for (address, follower) in &mut state.followers {
            follower.routes_sent_at = Some(now);
            self.send(*address, HubMessage::Routes(routes.as_ref().clone()));
        }
    }

    /// Handles the report of a target and returns the address to which it should report next.
    ///
    /// # Errors
    ///
    /// Fails when the target stops accepting requests and too few other hubs hold that change, or when
    /// the target is unknown and the directory is full.
    pub async fn handle_report(&self, report: &TargetReport) -> Result<SocketAddr, HubError> {
        let now = self.now();
        let outcome = {
            let mut state = self.state.borrow_mut();
            let HubState { reports, directory, pending, has_unsaved_targets, .. } = &mut *state;
            self.log_capacity(directory);
            if !self.parts.capacity.allows_report(directory, &report.id, &report.service) {
                return Err(HubError::Full { capacity: self.parts.capacity });
            }
            let before = directory.digest();
            let outcome = reports.handle_report(report, directory, now);
            pending.for_hubs.extend_from_slice(&outcome.changed);
            let is_cold = outcome.changed.iter().any(|record| record.warmup_ms > 0);
            if directory.digest() != before || is_cold {
                pending.for_followers.extend_from_slice(&outcome.changed);
                *has_unsaved_targets = true;
            }
            outcome
        };
        self.log_changes(&outcome.changed, "report");
        if outcome.must_replicate {
            self.replicate(&outcome.changed).await?;
        }
        let state = self.state.borrow();
        let local_hub = state.peers.hub_in_zone(&report.zone, now);
        let is_local = report.zone == self.parts.zone;
        Ok(local_hub.filter(|_| !is_local).unwrap_or(self.parts.admin))
    }

    /// Logs when the directory becomes full, and when it has room again.
    fn log_capacity(&self, directory: &ServiceDirectory) {
        let (capacity, is_full) = (&self.parts.capacity, !self.parts.capacity.has_room(directory));
        if self.is_full.replace(is_full) == is_full {
            return;
        }
        if is_full {
            warn!(self.parts.log, "hub: the directory is full; unknown targets are refused";
                "records" => directory.len(), "capacity" => %capacity);
        } else {
            info!(self.parts.log, "hub: the directory has room for unknown targets again";
                "records" => directory.len(), "capacity" => %capacity);
        }
    }

    /// Handles the message of a target that it leaves.
    ///
    /// # Errors
    ///
    /// Fails when too few other hubs hold that change, or when the target is unknown and the directory is
    /// full.
    pub async fn handle_leave(&self, leave: &TargetLeave) -> Result<(), HubError> {
        let outcome = {
            let mut state = self.state.borrow_mut();
            let HubState { reports, directory, pending, .. } = &mut *state;
            self.log_capacity(directory);
            if !self.parts.capacity.allows_leave(directory, &leave.id) {
                return Err(HubError::Full { capacity: self.parts.capacity });
            }
            let outcome = reports.handle_leave(leave, directory, self.now());
            pending.for_followers.extend_from_slice(&outcome.changed);
            outcome
        };
        self.log_changes(&outcome.changed, "leave");
        self.replicate(&outcome.changed).await
    }

    /// Proposes a validated route set and returns the version in force; a set that is not newer
    /// changes nothing.
    ///
    /// # Errors
    ///
    /// Fails when the control group did not confirm it in time.
    pub async fn put_routes(&self, document: RouteDocument) -> Result<RouteSetVersion, HubError> {
        let held = self.routes().map(|routes| routes.version);
        if let Some(held) = held.filter(|held| *held >= document.version) {
            info!(self.parts.log, "hub: ignored a route set that is not newer";
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
                info!(self.parts.log, "hub: put a route set"; "version" => %version,
                    "in_force" => %reply.in_force, "adopted" => reply.is_adopted);
                return Ok(reply.in_force);
            }
            Ok(_) => "unexpected reply of the leader".to_owned(),
            Err(failure) => failure.to_string(),
        };
        warn!(self.parts.log, "hub: the control group did not confirm a route set";
            "version" => %version, "reason" => &refusal);
        Err(HubError::NotCommitted { reason: refusal })
    }

    /// Returns the newest route set, confirmed by a majority of the control group.
    ///
    /// # Errors
    ///
    /// Fails when no majority confirms it in time.
    pub async fn read_routes(&self) -> Result<Option<RouteDocument>, HubError> {
        let reply = self.parts.group.ask(
            &ControlRequest::ReadRoutes,
            ProposeMode::Idempotent,
            READ_TIMEOUT,
        );
        match reply.await {
            Ok(ControlReply::Routes(document)) => Ok(document),
            Ok(_) => Err(HubError::NotCurrent { reason: "the leader refused".to_owned() }),
            Err(failure) => Err(HubError::NotCurrent { reason: failure.to_string() }),
        }
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        let now = self.now();
        let state = self.state.borrow();
        let live = state.directory.live().count();
        let lapsed = state.directory.live().filter(|record| record.is_lapsed).count();
        let reachable = state.peers.live(now).count();
        let version = self.routes().map_or(0, |routes| routes.version.get());
        let evacuated = state.zones.held().zones().len() as u64;
        let losses = self.borne_losses();
        let gauges = [
            ("targets", "Targets that are not gone.", live as u64),
            ("lapsed_targets", "Targets whose reports stopped.", lapsed as u64),
            ("followers", "Instances that follow this hub.", state.followers.len() as u64),
            ("heard_hubs", "Other hubs that are reachable.", reachable as u64),
            ("route_set_version", "The route set known to be committed.", version),
            (
                "durable_losses",
                "Voters of the control group whose loss loses no acknowledged change.",
                losses.durable as u64,
            ),
            (
                "available_losses",
                "Voters of the control group whose loss leaves it able to decide.",
                losses.available as u64,
            ),
            ("evacuated_zones", "Availability zones that are evacuated.", evacuated),
            (
                "current",
                "Whether the control group is reachable.",
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
        self.refresh_services();
        self.send_pending();
        self.repair_group(now);
        if ticks % CONFIRM_INTERVAL_TICKS == 1 {
            self.refresh_evacuations();
            self.confirm_evacuations();
        }
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
                info!(self.parts.log, "hub: no other hub sent targets; starting without them");
                state.is_synced = true;
            }
            state.followers.retain(|_, follower| follower.is_present(now));
            state.peers.evict_unreachable(now);
            state.directory.purge_gone(now);
            let HubState { reports, directory, peers, .. } = &mut *state;
            reports.mark_lapsed(directory, |holder| peers.is_reachable(holder, now), now)
        };
        self.log_changes(&lapsed, "silence");
        let pending = &mut self.state.borrow_mut().pending;
        pending.for_followers.extend_from_slice(&lapsed);
        pending.for_hubs.extend_from_slice(&lapsed);
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
            hubs: state.peers.live(now).map(|(address, _)| address).collect(),
            members: self.summarize_followers(&state, now),
            evacuations: state.zones.held().revision(),
            is_unconfirmed: !self.has_confirmed_evacuations(&state, now),
        };
        let message = HubMessage::Greeting(Box::new(greeting));
        let Some(frame) = self.encode(message) else { return };
        for address in state.peers.peers.keys() {
            self.parts.link.send(*address, frame.clone());
        }
    }

    /// Summarizes the instances that follow this hub, by availability zone.
    fn summarize_followers(&self, state: &HubState, now: Timestamp) -> Vec<ZoneMembers> {
        let hubs = state.peers.peers.keys().chain([&self.parts.peer]);
        let hub_machines: HashSet<_> = hubs.map(SocketAddr::ip).collect();
        let present = state.followers.iter().filter(|(_, follower)| follower.is_present(now));
        summarize_members(present.filter_map(|(peer, follower)| {
            let (zone, cores) = follower.member.clone()?;
            let candidate = AggregatorCandidate { peer: *peer, cores };
            let is_shared = hub_machines.contains(&peer.ip());
            Some((zone, if is_shared { candidate.beside_control() } else { candidate }))
        }))
    }

    /// Chooses the aggregators from the followers of all reachable hubs.
    fn choose_aggregators(&self, now: Timestamp) {
        let mut state = self.state.borrow_mut();
        let own = self.summarize_followers(&state, now);
        let others = state.peers.live(now).flat_map(|(_, greeting)| &greeting.members);
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
        let others: u32 = state.peers.live(now).map(|(_, greeting)| greeting.followers).sum();
        own as u32 + others
    }

    /// Returns whether the control group is reachable. With a disk, the member must work and know a
    /// leader. Without one, a reachable hub with a disk must be current, and neither its route set nor
    /// its evacuated zones may be newer than the own ones.
    fn is_current(&self, state: &HubState, now: Timestamp) -> bool {
        if !self.parts.has_disk {
            let held = state.received_routes.as_ref().map(|routes| routes.version);
            return state.peers.live(now).any(|(_, greeting)| {
                greeting.has_disk
                    && greeting.is_current
                    && greeting.routes <= held
                    && greeting.evacuations <= state.zones.held().revision()
            });
        }
        self.knows_leader()
    }

    /// Returns the newest route set known to be committed.
    pub(in crate::hub) fn routes(&self) -> Option<Arc<RouteDocument>> {
        let own = self.parts.member.get().and_then(|member| member.view().routes);
        let Ok(state) = self.state.try_borrow() else { return own };
        let received = state.received_routes.clone();
        match (own, received) {
            (Some(own), Some(received)) if received.version > own.version => Some(received),
            (Some(own), _) => Some(own),
            (None, received) => received,
        }
    }

    fn now(&self) -> Timestamp {
        self.parts.clock.now()
    }
}

fn format_addresses(aggregators: &[AggregatorAddress]) -> String {
    aggregators.iter().map(|held| held.peer.to_string()).collect::<Vec<_>>().join(" ")
}
