//! Handles the messages from other processes to a hub.

use std::{net::SocketAddr, sync::Arc};

use figglade::{
    Timestamp,
    controller::{
        aggregators::digest_aggregators,
        hub_chooser::HubAddress,
        route_set::{RouteDocument, RouteSetVersion},
        service_directory::TargetRecord,
    },
};

use super::{HUB_LIST_INTERVAL_POLLS, HubNode, HubState, MIN_ROUTES_INTERVAL};
use crate::hub::{
    frames::HubInput,
    message::{HubGreeting, HubMessage, HubStatus, SubscribeRequest},
};

impl HubNode {
    pub(super) fn handle_input(&self, input: HubInput) {
        let HubInput { from, message, handled } = input;
        match message {
            HubMessage::Subscribe(request) => self.handle_subscribe(from.address, &request),
            HubMessage::Records(records) => self.handle_records(from.address, records),
            HubMessage::Routes(routes) => self.handle_routes(routes),
            HubMessage::Evacuations(evacuations) => self.handle_evacuations(&evacuations),
            HubMessage::Greeting(greeting) => self.handle_greeting(from.address, *greeting),
            HubMessage::Status(_) => {}
        }
        if let Some(handled) = handled {
            // The sender may have stopped waiting.
            let _ = handled.send(());
        }
    }

    fn handle_subscribe(&self, from: SocketAddr, request: &SubscribeRequest) {
        let now = self.now();
        let routes = self.routes();
        // They precede the route set: an instance that has just started must not use the targets of
        // an evacuated zone.
        self.send_newer_evacuations(from, request.evacuations);
        let mut state = self.state.borrow_mut();
        let digest = state.directory.digest();
        let version = routes.as_ref().map(|routes| routes.version);
        let is_behind = version > request.routes;
        if request.is_probe {
            if let Some(routes) = routes.filter(|_| is_behind) {
                self.send(from, HubMessage::Routes(routes.as_ref().clone()));
            }
            let status = self.build_status(&state, true, version, request, now);
            return self.send(from, HubMessage::Status(status));
        }
        let known_hubs = state.peers.addresses().filter(|hub| hub.zone.is_some()).count();
        let follower = state.followers.entry(from).or_default();
        follower.last_contact = now;
        follower.polls += 1;
        follower.member = request.zone.clone().map(|zone| (zone, request.cores));
        let hubs_changed =
            std::mem::replace(&mut follower.sent_hub_count, known_hubs) != known_hubs;
        let includes_hubs =
            request.is_new || hubs_changed || follower.polls % HUB_LIST_INTERVAL_POLLS == 1;
        let may_send_routes =
            follower.routes_sent_at.is_none_or(|at| now.since(at) >= MIN_ROUTES_INTERVAL);
        if let Some(routes) = routes.filter(|_| is_behind && (may_send_routes || request.is_new)) {
            follower.routes_sent_at = Some(now);
            self.send(from, HubMessage::Routes(routes.as_ref().clone()));
        }
        if follower.watch.compare(digest, request.digest, request.is_new, now) {
            self.send(from, HubMessage::Records(state.directory.records().cloned().collect()));
        }
        let status = self.build_status(&state, includes_hubs, version, request, now);
        self.send(from, HubMessage::Status(status));
    }

    fn build_status(
        &self,
        state: &HubState,
        includes_hubs: bool,
        routes: Option<RouteSetVersion>,
        request: &SubscribeRequest,
        now: Timestamp,
    ) -> HubStatus {
        let mut hubs = Vec::new();
        if includes_hubs {
            hubs.extend(state.peers.addresses());
            hubs.push(HubAddress { peer: self.parts.peer, zone: Some(self.parts.zone.clone()) });
        }
        let mut aggregators = state.aggregators.clone();
        if digest_aggregators(&aggregators) == request.aggregators {
            aggregators.clear();
        }
        HubStatus {
            aggregators,
            is_current: self.is_current(state, now),
            is_synced: state.is_synced,
            digest: state.directory.digest(),
            hubs,
            followers: self.count_followers(state, now),
            routes,
            poll_sent_at: Some(request.sent_at),
            evacuations: state.zones.held().revision(),
            is_unconfirmed: !self.has_confirmed_evacuations(state, now),
            poll: request.poll,
        }
    }

    fn handle_records(&self, from: SocketAddr, records: Vec<TargetRecord>) {
        let now = self.now();
        let changed = {
            let mut state = self.state.borrow_mut();
            let greeting = state.peers.peers.get(&from).and_then(|peer| peer.greeting.as_ref());
            let is_hub = greeting.is_some();
            if greeting.is_some_and(|greeting| greeting.is_synced) {
                state.is_synced = true;
            }
            let before = state.directory.digest();
            let mut changed = Vec::new();
            for record in records {
                changed.extend(state.directory.merge(record, now));
            }
            let is_cold = changed.iter().any(|record| record.warmup_ms > 0);
            if state.directory.digest() != before || is_cold {
                state.has_unsaved_targets = true;
                state.pending.for_followers.extend_from_slice(&changed);
            }
            if !is_hub {
                state.pending.for_hubs.extend_from_slice(&changed);
            }
            changed
        };
        self.log_changes(&changed, "peer");
        if changed.iter().any(|record| !record.is_usable()) {
            self.send_pending();
        }
    }

    fn handle_routes(&self, routes: RouteDocument) {
        let is_newer = self.routes().is_none_or(|held| routes.version > held.version);
        if is_newer {
            self.state.borrow_mut().received_routes = Some(Arc::new(routes));
            self.broadcast_routes();
        }
    }

    fn handle_greeting(&self, from: SocketAddr, greeting: HubGreeting) {
        let now = self.now();
        let routes = self.routes();
        // Also to a hub with a disk, whose member may lag.
        self.send_newer_evacuations(from, greeting.evacuations);
        let mut state = self.state.borrow_mut();
        if let Some(join) = &greeting.join {
            self.parts.group.update_members(std::iter::once((join.id.clone(), join.peer)));
            state.keeper.handle_greeting(join.clone(), now);
        }
        let is_behind = routes.as_ref().map(|routes| routes.version) > greeting.routes;
        if let Some(routes) = routes.filter(|_| is_behind && !greeting.has_disk) {
            self.send(from, HubMessage::Routes(routes.as_ref().clone()));
        }
        let (own, other, is_new) = (state.directory.digest(), greeting.digest, !greeting.is_synced);
        let is_synced = state.is_synced;
        state.peers.handle_greeting(from, greeting, now);
        let HubState { peers, directory, .. } = &mut *state;
        let Some(peer) = peers.peers.get_mut(&from) else { return };
        // A hub that has just started is sent the records even if the digests match, for example
        // of two empty directories: the message tells it that it is synced.
        let should_send = peer.watch.compare(own, other, is_new, now);
        if should_send || is_new && is_synced {
            self.send(from, HubMessage::Records(directory.records().cloned().collect()));
        }
    }
}
