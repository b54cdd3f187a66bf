//! An instance that follows a hub.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use figglade::{
    Timestamp,
    border::PeerLink,
    controller::{
        hub_chooser::{HubAddress, HubChooser},
        route_set::{RouteCodec, RouteDocument},
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

/// The time between two polls of a hub that is trusted.
const POLL_PERIOD: Duration = Duration::from_millis(400);
/// The time between two polls while no hub is trusted.
const SEARCH_PERIOD: Duration = Duration::from_millis(150);
/// How long the digests may differ before this side sends its targets: the hub does so sooner, but
/// it may be the one that lacks some.
const MISMATCH_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Keeps the data path of an instance in step with a hub.
pub struct HubFollower {
    edge: Rc<EdgeState>,
    codec: Box<dyn RouteCodec>,
    clock: ProcessClock,
    link: PeerHandle,
    log: Logger,
    chooser: RefCell<HubChooser>,
    differs_since: RefCell<Option<Timestamp>>,
}

impl HubFollower {
    /// Starts with the hubs of the settings.
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
            differs_since: RefCell::default(),
        }
    }

    /// Takes the seeds of the settings.
    pub fn update_seeds(&self, seeds: &[SocketAddr]) {
        let hubs = seeds.iter().map(|peer| HubAddress { peer: *peer, zone: None });
        self.chooser.borrow_mut().update_hubs(hubs);
    }

    /// Polls and takes messages until the process ends.
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
                () = sleep_until(next_poll) => next_poll = Instant::now() + self.poll(),
            }
        }
    }

    /// Polls and returns the time to the next poll.
    fn poll(&self) -> Duration {
        let now = self.clock.now();
        let chosen = self.chooser.borrow_mut().choose(now);
        let Some((hub, is_new)) = chosen else { return SEARCH_PERIOD };
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
        };
        let others = self.chooser.borrow_mut().probe_others(now);
        for other in others {
            let request = SubscribeRequest { is_probe: true, ..request.clone() };
            self.send(other, HubMessage::Subscribe(request));
        }
        self.send(hub, HubMessage::Subscribe(request));
        if self.chooser.borrow().is_current(now) {
            POLL_PERIOD
        } else {
            self.edge.mark_outdated();
            SEARCH_PERIOD
        }
    }

    fn handle_input(&self, input: HubInput) {
        let HubInput { from, message, .. } = input;
        match message {
            HubMessage::Status(standing) => self.handle_status(from.address, standing),
            HubMessage::Records(records) => {
                self.edge.apply_records(records);
            }
            HubMessage::Routes(document) => self.handle_routes(&document),
            HubMessage::Subscribe(_) | HubMessage::Greeting(_) => {}
        }
    }

    fn handle_status(&self, from: SocketAddr, standing: HubStatus) {
        let now = self.clock.now();
        let is_trusted = standing.is_current && standing.is_synced;
        let is_current = {
            let mut chooser = self.chooser.borrow_mut();
            chooser.update_hubs(standing.hubs.into_iter());
            chooser.handle_reply(from, is_trusted, now);
            // The word of a hub that was only asked, or is followed no more, says nothing here.
            chooser.is_current(now)
        };
        self.edge.update_aggregators(standing.aggregators);
        self.edge.update_hub_status(standing.followers as usize, is_current);
        self.compare_digests(from, standing.digest, now);
    }

    /// Sends the targets known here to a hub that lacks some for long: all hubs may have been
    /// killed together.
    fn compare_digests(&self, hub: SocketAddr, digest: u64, now: Timestamp) {
        let directory = self.edge.directory().borrow();
        let mut since = self.differs_since.borrow_mut();
        if directory.digest() == digest {
            *since = None;
            return;
        }
        let began = *since.get_or_insert(now);
        if now.since(began) >= MISMATCH_TIMEOUT {
            *since = None;
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
            // Every document was checked before it was put.
            Err(reason) => error!(self.log, "hub: a committed route set cannot be used";
                "version" => %document.version, "reason" => %reason),
        }
    }

    fn send(&self, to: SocketAddr, message: HubMessage) {
        match message.into_frame() {
            Ok(frame) => self.link.send(to, frame),
            Err(error) => warn!(self.log, "hub: a message was not sent"; "error" => %error),
        }
    }
}
