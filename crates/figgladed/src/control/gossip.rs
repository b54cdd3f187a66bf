//! Drives the membership and target directory controllers: passes them the time and received
//! messages, sends their messages and publishes routes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use figglade::{
    IndexName, TargetId, Timestamp,
    border::PeerLink,
    controller::{
        directory::{
            AnnounceEffect, DirectoryAction, DirectoryError, DirectoryMessage, DirectorySettings,
            EffectiveState, TargetDirectory, TargetEntry,
        },
        event::EventKind,
        membership::{
            LeaderHint, MemberEvent, MemberRecord, MemberState, MembershipAction,
            MembershipController, MembershipMessage, MembershipSettings,
        },
    },
    filter::routing::{LiveTarget, build_route},
    peer::{FrameKind, PeerFrame, decode_payload, encode_payload},
    wire::Announcement,
};
use parking_lot::Mutex;
use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use super::state::ControlState;
use crate::{clock::ProcessClock, tier::IndexCatalog};

/// The longest sleep between ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// The shortest sleep between ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(5);

/// The dependencies of a [`GossipDriver`].
pub struct GossipParts {
    /// The clocks.
    pub clock: ProcessClock,
    /// The links to other instances.
    pub link: Arc<dyn PeerLink>,
    /// The state received from the control group.
    pub state: Arc<ControlState>,
    /// Where routes are published.
    pub catalog: Arc<IndexCatalog>,
    /// Records an event on the time line.
    pub record_event: Box<dyn Fn(EventKind, String) + Send + Sync>,
    /// Called with the address of each target that is gone or has lapsed.
    pub forget_target: Box<dyn Fn(SocketAddr) + Send + Sync>,
    /// The log of the process.
    pub log: Logger,
}

/// Membership and the target directory of this instance.
pub struct GossipDriver {
    parts: GossipParts,
    controllers: Mutex<GossipControllers>,
    /// Wakes the tick loop before the next deadline.
    wake: Notify,
    /// Wakes the renewal loop when another instance reports a newer configuration.
    pub newer_config: Notify,
    /// Wakes the process when another one runs with this identifier and a higher incarnation.
    pub superseded: Notify,
}

struct GossipControllers {
    membership: MembershipController,
    directory: TargetDirectory,
}

impl GossipDriver {
    /// Builds both controllers; `seeds` are the first instances contacted to join the fleet.
    pub fn new(parts: GossipParts, settings: MembershipSettings, seeds: &[SocketAddr]) -> Self {
        let now = parts.clock.now();
        let own = settings.peer;
        let directory = DirectorySettings {
            id: settings.id.clone(),
            expects_peers: seeds.iter().any(|seed| *seed != own),
            timing: Default::default(),
        };
        let mut membership = MembershipController::new(settings, now);
        membership.join(seeds, now);
        let directory = TargetDirectory::new(directory, now);
        Self {
            parts,
            controllers: Mutex::new(GossipControllers { membership, directory }),
            wake: Notify::new(),
            newer_config: Notify::new(),
            superseded: Notify::new(),
        }
    }

    /// Ticks both controllers until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let wait = self.tick().clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL);
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Runs what is due and returns the time until the next deadline.
    fn tick(&self) -> Duration {
        let now = self.parts.clock.now();
        let mut rng = rand::rng();
        let mut controllers = self.controllers.lock();
        let actions = controllers.membership.handle_tick(now, &mut rng);
        self.run_membership_actions(actions);
        let peers = controllers.membership.peers();
        let actions = controllers.directory.handle_tick(now, &peers, &mut rng);
        self.run_directory_actions(&controllers.directory, actions);
        let due = controllers.membership.next_deadline().min(controllers.directory.next_deadline());
        due.since(now)
    }

    /// Handles a frame of the membership protocol.
    pub fn handle_membership(&self, from: SocketAddr, payload: &[u8]) {
        let message: MembershipMessage = match decode_payload(payload) {
            Ok(message) => message,
            Err(error) => return self.warn_malformed(from, &error.to_string()),
        };
        let now = self.parts.clock.now();
        let mut controllers = self.controllers.lock();
        let actions = controllers.membership.handle_message(from, message, now, &mut rand::rng());
        self.run_membership_actions(actions);
        drop(controllers);
        self.wake.notify_one();
    }

    /// Handles a frame of the target directory.
    pub fn handle_directory(&self, from: SocketAddr, payload: &[u8]) {
        let message: DirectoryMessage = match decode_payload(payload) {
            Ok(message) => message,
            Err(error) => return self.warn_malformed(from, &error.to_string()),
        };
        let now = self.parts.clock.now();
        let mut controllers = self.controllers.lock();
        let peers = controllers.membership.peers();
        let directory = &mut controllers.directory;
        let actions = directory.handle_message(from, message, now, &peers, &mut rand::rng());
        self.run_directory_actions(&controllers.directory, actions);
        drop(controllers);
        self.wake.notify_one();
    }

    /// Applies the announcement of a target and returns the time until its next one.
    ///
    /// # Errors
    ///
    /// Fails as [`TargetDirectory::apply_announcement`] does.
    pub fn announce(
        &self,
        announcement: Announcement,
    ) -> Result<(AnnounceEffect, Duration), DirectoryError> {
        let now = self.parts.clock.now();
        let wall = self.parts.clock.wall();
        let mut controllers = self.controllers.lock();
        let effect = controllers.directory.apply_announcement(announcement, now, wall)?;
        let peers = controllers.membership.peers();
        let actions = controllers.directory.handle_tick(now, &peers, &mut rand::rng());
        self.run_directory_actions(&controllers.directory, actions);
        let interval = controllers.directory.announce_interval();
        drop(controllers);
        self.wake.notify_one();
        Ok((effect, interval))
    }

    /// Publishes the routes of every index.
    pub fn publish_all(&self) {
        let controllers = self.controllers.lock();
        let mut indexes: Vec<_> = controllers.directory.indexes().cloned().collect();
        indexes.extend(self.parts.state.manifests().indexes().cloned());
        indexes.sort();
        indexes.dedup();
        self.publish(&controllers.directory, &indexes);
    }

    /// Updates the facts that gossip spreads about this instance, and the announcement timing of
    /// the directory.
    pub fn set_facts(&self, leader: Option<LeaderHint>, ready: bool) {
        let now = self.parts.clock.now();
        let version = self.parts.state.config().version;
        let settings = self.parts.state.settings();
        let mut controllers = self.controllers.lock();
        controllers.membership.set_facts(version, leader, ready, now);
        let period = Duration::from_millis(settings.announce_period_ms);
        controllers.directory.set_announce_timing(period, settings.announce_lapse_periods);
        drop(controllers);
        self.wake.notify_one();
    }

    /// Returns whether the target directory is loaded; see [`TargetDirectory::is_synced`].
    pub fn is_synced(&self) -> bool {
        self.controllers.lock().directory.is_synced()
    }

    /// Returns the live instances, including this one.
    pub fn alive(&self) -> Vec<MemberRecord> {
        self.controllers.lock().membership.alive().cloned().collect()
    }

    /// Returns every instance, live or not.
    pub fn members(&self) -> Vec<MemberRecord> {
        self.controllers.lock().membership.members().cloned().collect()
    }

    /// Calls `visit` with the identifier, address and connection cap of each target.
    pub fn visit_caps(&self, mut visit: impl FnMut(&TargetId, SocketAddr, u32)) {
        let controllers = self.controllers.lock();
        for entry in controllers.directory.records() {
            let announcement = entry.announcement();
            visit(&announcement.target_id, announcement.address, announcement.connections);
        }
    }

    /// Returns every target, whatever its state.
    pub fn targets(&self) -> Vec<TargetEntry> {
        self.controllers.lock().directory.records().cloned().collect()
    }

    /// Returns the number of targets that are ready.
    pub fn count_ready(&self) -> usize {
        let controllers = self.controllers.lock();
        let records = controllers.directory.records();
        records.filter(|entry| entry.effective_state() == EffectiveState::Ready).count()
    }

    /// Starts to announce that the instance leaves.
    pub fn begin_leave(&self) {
        let now = self.parts.clock.now();
        self.controllers.lock().membership.begin_leave(now);
        self.wake.notify_one();
    }

    /// Returns whether gossip has sent the announcement that the instance leaves, or no instance is
    /// live.
    pub fn has_left(&self) -> bool {
        let controllers = self.controllers.lock();
        controllers.membership.has_left() || controllers.membership.len_alive() == 0
    }

    fn run_membership_actions(&self, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    self.send(to, FrameKind::Membership, &message);
                }
                MembershipAction::Changed(event) => self.record_member_event(&event),
                MembershipAction::NewerConfig { .. } => self.newer_config.notify_one(),
                MembershipAction::Superseded { incarnation } => {
                    warn!(self.parts.log, "membership: another process runs under this identifier";
                        "incarnation" => %incarnation);
                    self.superseded.notify_one();
                }
            }
        }
    }

    fn record_member_event(&self, event: &MemberEvent) {
        if event.previous == Some(event.state) {
            return;
        }
        let detail = format!("instance {} is {}", event.id, event.state);
        info!(self.parts.log, "membership: {}", detail);
        let kind = match event.state {
            MemberState::Alive => EventKind::MemberJoined,
            MemberState::Suspect => EventKind::MemberSuspected,
            MemberState::Dead => EventKind::MemberFailed,
            MemberState::Left => EventKind::MemberLeft,
        };
        (self.parts.record_event)(kind, detail);
    }

    fn run_directory_actions(&self, directory: &TargetDirectory, actions: Vec<DirectoryAction>) {
        for action in actions {
            match action {
                DirectoryAction::Send { to, message } => {
                    self.send(to, FrameKind::Directory, &message);
                }
                DirectoryAction::Changed { indexes, targets } => {
                    for entry in targets.iter().filter_map(|id| directory.record(id)) {
                        self.record_target_event(entry);
                    }
                    self.publish(directory, &indexes);
                }
            }
        }
    }

    fn record_target_event(&self, entry: &TargetEntry) {
        let announcement = entry.announcement();
        let state = entry.effective_state();
        let detail = format!("target {} is {state}", announcement.target_id);
        let kind = match state {
            EffectiveState::Starting | EffectiveState::Ready => EventKind::TargetJoined,
            EffectiveState::Draining => EventKind::TargetDraining,
            EffectiveState::Gone | EffectiveState::Displaced => EventKind::TargetGone,
            EffectiveState::Lapsed => EventKind::TargetLapsed,
        };
        (self.parts.record_event)(kind, detail);
        if matches!(kind, EventKind::TargetGone | EventKind::TargetLapsed) {
            (self.parts.forget_target)(announcement.address);
        }
    }

    fn publish(&self, directory: &TargetDirectory, indexes: &[IndexName]) {
        for index in indexes {
            let live = |entry: &TargetEntry| LiveTarget {
                announcement: Arc::clone(entry.announcement()),
                ready_since: entry.ready_since.unwrap_or(Timestamp::ZERO),
            };
            let targets: Vec<_> = directory.live_records_for(index).map(live).collect();
            let manifests = self.parts.state.recorded_manifests(index);
            let route = build_route(index, &targets, &manifests, &self.parts.catalog.registry);
            self.parts.catalog.publish_route(index, route);
        }
    }

    fn send<T: Serialize>(&self, to: SocketAddr, kind: FrameKind, message: &T) {
        match encode_payload(message) {
            Ok(payload) => self.parts.link.send(to, PeerFrame { kind, payload }),
            Err(error) => {
                warn!(self.parts.log, "membership: cannot encode a message"; "error" => %error);
            }
        }
    }

    fn warn_malformed(&self, from: SocketAddr, error: &str) {
        warn!(self.parts.log, "membership: cannot decode a message";
            "from" => %from, "error" => error);
    }
}
