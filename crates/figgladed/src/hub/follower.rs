//! Keeps an edge instance up to date from the hub that it follows.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use figglade::{
    Timestamp,
    border::PeerLink,
    controller::{
        hub_chooser::{HubAddress, HubChooser},
        route_set::{RouteCodec, RouteDocument},
        service_directory::TargetRecord,
    },
};
use slog::{Logger, error, info, warn};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use super::{
    frames::HubInput,
    message::{HubMessage, HubStatus, SubscribeRequest},
};
use crate::{clock::ProcessClock, peer_link::PeerHandle, relay::EdgeState};

/// The time between two polls while the followed hub is current.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// The time between two polls while no current hub is followed, or none has confirmed the evacuated
/// zones.
const SEARCH_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// How long the target digests may differ before the follower sends its targets. The hub sends its
/// own targets sooner, but that does not help if the hub is the side with missing targets.
const MISMATCH_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Subscribes an instance to a hub and applies the hub's updates to the data path.
pub struct HubFollower {
    edge: Rc<EdgeState>,
    codec: Box<dyn RouteCodec>,
    clock: ProcessClock,
    link: PeerHandle,
    log: Logger,
    chooser: RefCell<HubChooser>,
    mismatch_since: RefCell<Option<Timestamp>>,
}

impl HubFollower {
    /// Builds a follower that chooses its hub with `chooser`.
    pub fn new(
        edge: Rc<EdgeState>,
        codec: Box<dyn RouteCodec>,
        clock: ProcessClock,
        link: PeerHandle,
        chooser: HubChooser,
        log: Logger,
    ) -> Self {
        Self {
            edge,
            codec,
            clock,
            link,
            log,
            chooser: RefCell::new(chooser),
            mismatch_since: RefCell::default(),
        }
    }

    /// Adds the seeds of the settings to the known hubs.
    pub fn update_seeds(&self, seeds: &[SocketAddr]) {
        let hubs = seeds.iter().map(|peer| HubAddress { peer: *peer, zone: None });
        self.chooser.borrow_mut().update_hubs(hubs);
    }

    /// Returns the hub to call: the followed one, or another one if `is_avoided` holds for it.
    pub fn choose_for_call(&self, is_avoided: impl Fn(&SocketAddr) -> bool) -> Option<SocketAddr> {
        self.chooser.borrow().choose_for_call(is_avoided)
    }

    /// Polls the followed hub and handles messages until the process ends.
    pub async fn run(self: Rc<Self>, mut inputs: mpsc::Receiver<HubInput>) {
        let mut next_poll = Instant::now();
        loop {
            tokio::select! {
                Some(input) = inputs.recv() => {
                    let followed = self.chooser.borrow().followed();
                    self.handle_input(input);
                    if self.chooser.borrow().followed() != followed {
                        next_poll = Instant::now();
                    }
                }
                draining = self.edge.wait_drained() => self.report_drains(draining),
                () = sleep_until(next_poll) => next_poll = Instant::now() + self.poll(),
            }
        }
    }

    /// Polls the followed hub and probes others if needed; returns the time to the next poll.
    fn poll(&self) -> Duration {
        self.edge.record_poll();
        let now = self.clock.now();
        let chosen = self.chooser.borrow_mut().choose(now);
        let Some((hub, is_new)) = chosen else { return SEARCH_POLL_INTERVAL };
        if is_new {
            info!(self.log, "hub: another hub is followed"; "hub" => %hub);
        }
        let request = SubscribeRequest {
            digest: self.edge.directory().borrow().digest(),
            routes: self.edge.route_version(),
            is_new,
            is_probe: false,
            zone: Some(self.edge.zone().clone()),
            cores: self.edge.cores(),
            aggregators: self.edge.aggregators().borrow().digest(),
            sent_at: now,
            evacuations: self.edge.evacuation_revision(),
            poll: self.edge.last_poll(),
        };
        let others = self.chooser.borrow_mut().probe_others(now);
        for other in others {
            let request = SubscribeRequest { is_probe: true, ..request.clone() };
            self.send(other, HubMessage::Subscribe(request));
        }
        self.send(hub, HubMessage::Subscribe(request));
        if !self.chooser.borrow().is_current(now) {
            self.edge.mark_outdated();
            return SEARCH_POLL_INTERVAL;
        }
        if self.edge.knows_evacuations() { POLL_INTERVAL } else { SEARCH_POLL_INTERVAL }
    }

    /// Reports targets that said that they are leaving to the followed hub, which spreads them. If
    /// the message is lost, the comparison of digests repairs that.
    fn report_drains(&self, draining: Vec<TargetRecord>) {
        let followed = self.chooser.borrow().followed();
        if let Some(hub) = followed.filter(|_| !draining.is_empty()) {
            self.send(hub, HubMessage::Records(draining));
        }
    }

    fn handle_input(&self, input: HubInput) {
        let HubInput { from, message, .. } = input;
        match message {
            HubMessage::Status(status) => self.handle_status(from.address, status),
            HubMessage::Records(records) => {
                self.edge.apply_records(records);
            }
            HubMessage::Routes(document) => self.handle_routes(&document),
            HubMessage::Evacuations(evacuations) => self.edge.apply_evacuations(&evacuations),
            HubMessage::Subscribe(_) | HubMessage::Greeting(_) => {}
        }
    }

    fn handle_status(&self, from: SocketAddr, status: HubStatus) {
        let now = self.clock.now();
        let is_usable = status.is_current && status.is_synced;
        if status.is_current && !status.is_unconfirmed {
            self.edge.confirm_evacuations(status.evacuations, status.poll);
        }
        let is_current = {
            let mut chooser = self.chooser.borrow_mut();
            chooser.update_hubs(status.hubs.into_iter());
            chooser.handle_reply(from, is_usable, now);
            // Only the followed hub counts, not one that was only probed or was followed before.
            chooser.is_current(now)
        };
        // The answer to a poll from before a suspension proves nothing of the time since, and one to a
        // former run of this process, whose clock was further on, proves nothing at all.
        let proved_at = status.poll_sent_at.unwrap_or(now);
        // A hub that does not know all targets yet still knows the newest route set.
        if status.is_current && proved_at <= now {
            self.edge.record_route_proof(status.routes, proved_at);
        }
        self.edge.update_aggregators(status.aggregators);
        self.edge.update_hub_status(status.followers as usize, is_current);
        self.compare_digests(from, status.digest, now);
    }

    /// Sends all known targets to the hub if the digests differ for [`MISMATCH_TIMEOUT`]. The hubs
    /// may have lost targets, for example if all of them were killed at the same time.
    fn compare_digests(&self, hub: SocketAddr, digest: u64, now: Timestamp) {
        let directory = self.edge.directory().borrow();
        let mut mismatch_since = self.mismatch_since.borrow_mut();
        if directory.digest() == digest {
            *mismatch_since = None;
            return;
        }
        let since = *mismatch_since.get_or_insert(now);
        if now.since(since) >= MISMATCH_TIMEOUT {
            *mismatch_since = None;
            self.send(hub, HubMessage::Records(directory.records().cloned().collect()));
        }
    }

    fn handle_routes(&self, document: &RouteDocument) {
        if self.edge.route_version().is_some_and(|held| held >= document.version) {
            return;
        }
        let decoded = document
            .unpack()
            .map_err(|error| error.to_string())
            .and_then(|text| self.codec.decode_routes(&text).map_err(|error| error.to_string()));
        match decoded {
            Ok(set) => self.edge.apply_route_set(set),
            // Unexpected: a hub validates each document before it proposes it.
            Err(reason) => error!(self.log, "hub: cannot decode a committed route set";
                "version" => %document.version, "reason" => %reason),
        }
    }

    fn send(&self, to: SocketAddr, message: HubMessage) {
        match message.into_frame() {
            Ok(frame) => self.link.send(to, frame),
            Err(error) => warn!(self.log, "hub: cannot encode a message"; "error" => %error),
        }
    }
}
