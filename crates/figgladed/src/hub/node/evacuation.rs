//! The evacuated zones at a hub: the orders of operators, and what the other processes are told.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc};

use figglade::{
    RouteSetVersion, Timestamp, ZoneName,
    controller::{
        evacuation::{
            EvacuationAction, EvacuationOrder, EvacuationRevision, EvacuationSet, MAX_POLL_GAP,
            check_zone,
        },
        ledger::{LedgerCommand, LedgerReply},
    },
};
use slog::{info, warn};
use tokio::task::spawn_local;

use super::{HubError, HubNode, HubState, PUT_TIMEOUT, READ_TIMEOUT};
use crate::{
    control::{ControlReply, ControlRequest, MemberHandle, ProposeMode},
    hub::message::HubMessage,
};

/// The number of reads that fail in succession, although a leader is known, after which the own
/// member's evacuated zones are used: a leader of an earlier release does not know the read, and has
/// no evacuations. Each read takes up to [`READ_TIMEOUT`].
const MAX_FAILED_READS: u32 = 5;

/// What a hub knows of the zones.
pub(super) struct ZoneState {
    /// The zones of the settings.
    known: BTreeSet<ZoneName>,
    /// The newest evacuated zones known to be committed.
    held: EvacuationSet,
    /// Whether the evacuated zones have been read from the control group since the start or the last
    /// suspension.
    is_confirmed: bool,
    is_reading: bool,
    /// When the need of a read was last checked.
    checked_at: Timestamp,
    failed_reads: u32,
    /// The version of the route set that was last broadcast after a commit.
    broadcast_routes: Option<RouteSetVersion>,
}

impl ZoneState {
    pub(super) const fn new(known: BTreeSet<ZoneName>) -> Self {
        Self {
            known,
            held: EvacuationSet::new(),
            is_confirmed: false,
            is_reading: false,
            checked_at: Timestamp::ZERO,
            failed_reads: 0,
            broadcast_routes: None,
        }
    }

    /// Returns the newest evacuated zones known to be committed.
    pub(super) const fn held(&self) -> &EvacuationSet {
        &self.held
    }
}

impl HubNode {
    /// Replaces the zones of the settings.
    pub fn update_zones(&self, zones: BTreeSet<ZoneName>) {
        self.state.borrow_mut().zones.known = zones;
    }

    /// Proposes to start or to finish the evacuation of a zone, and returns the revision in force.
    /// An order that changes nothing is confirmed as well.
    ///
    /// An order whose outcome is unknown is not proposed again: a copy that is committed late would
    /// replace a newer order.
    ///
    /// # Errors
    ///
    /// Fails when the settings do not name the zone or the control group did not confirm the order
    /// in time.
    pub async fn order_evacuation(
        &self,
        zone: &str,
        action: EvacuationAction,
    ) -> Result<EvacuationRevision, HubError> {
        let zone = check_zone(zone, &self.state.borrow().zones.known).map_err(HubError::BadZone)?;
        let instance = self.parts.id.clone();
        let order = EvacuationOrder { zone: zone.clone(), action, instance };
        let command = LedgerCommand::SetEvacuation(order);
        let proposed = self.parts.group.propose(&command, ProposeMode::AtMostOnce, PUT_TIMEOUT);
        let refusal = match proposed.await {
            Ok(LedgerReply::Evacuation(reply)) if reply.is_in_force => {
                info!(self.parts.log, "hub: ordered an evacuation"; "zone" => %zone,
                    "action" => %action, "revision" => %reply.revision,
                    "changed" => reply.is_changed);
                return Ok(reply.revision);
            }
            Ok(LedgerReply::Evacuation(_)) => "too many zones are evacuated".to_owned(),
            Ok(_) => "unexpected reply of the leader".to_owned(),
            Err(failure) => failure.to_string(),
        };
        warn!(self.parts.log, "hub: the control group did not confirm an evacuation";
            "zone" => %zone, "action" => %action, "reason" => &refusal);
        Err(HubError::NotOrdered { reason: refusal })
    }

    /// Sends what the own member has newly committed to all followers: the evacuated zones first,
    /// then the route set.
    pub fn broadcast_changes(&self) {
        self.refresh_evacuations();
        let version = self.routes().map(|routes| routes.version);
        let previous =
            std::mem::replace(&mut self.state.borrow_mut().zones.broadcast_routes, version);
        if previous != version {
            self.broadcast_routes();
        }
    }

    /// Adopts the evacuated zones of the own member.
    pub(super) fn refresh_evacuations(&self) {
        if let Some(member) = self.parts.member.get() {
            self.handle_evacuations(&member.view().evacuations);
        }
    }

    /// Adopts evacuated zones that are newer than the known ones, and sends them to all followers.
    pub(super) fn handle_evacuations(&self, evacuations: &EvacuationSet) {
        let mut state = self.state.borrow_mut();
        if !state.zones.held.adopt(evacuations) {
            return;
        }
        info!(self.parts.log, "hub: the evacuated zones changed"; "zones" => %evacuations,
            "revision" => %evacuations.revision());
        for address in state.followers.keys() {
            self.send(*address, HubMessage::Evacuations(evacuations.clone()));
        }
    }

    /// Sends the evacuated zones to a process that holds an older revision of them.
    pub(super) fn send_newer_evacuations(&self, to: SocketAddr, revision: EvacuationRevision) {
        let state = self.state.borrow();
        let held = state.zones.held();
        if held.revision() > revision {
            self.send(to, HubMessage::Evacuations(held.clone()));
        }
    }

    /// Returns whether the evacuated zones are at least as new as those in force when this hub started.
    /// Without a disk, a hub with one that is current must have confirmed the same ones.
    pub(super) fn has_confirmed_evacuations(&self, state: &HubState, now: Timestamp) -> bool {
        if self.parts.has_disk {
            // A suspension is noticed here before the next check.
            let is_recent = now.since(state.zones.checked_at) <= MAX_POLL_GAP;
            return state.zones.is_confirmed && is_recent;
        }
        let held = state.zones.held().revision();
        state.peers.live(now).any(|(_, greeting)| {
            let is_confirmed = !greeting.is_unconfirmed && greeting.evacuations <= held;
            greeting.has_disk && greeting.is_current && is_confirmed
        })
    }

    /// Reads the evacuated zones from the control group, until that succeeded once since the start or
    /// the last suspension. The log on the disk may end before the latest order, and the hub must not
    /// prove to instances that they know all evacuations before it does.
    pub(super) fn confirm_evacuations(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let now = self.now();
        let zones = &mut state.zones;
        if now.since(std::mem::replace(&mut zones.checked_at, now)) > MAX_POLL_GAP {
            zones.is_confirmed = false;
        }
        if !self.parts.has_disk || zones.is_confirmed || zones.is_reading {
            return;
        }
        zones.is_reading = true;
        let node = Rc::clone(self);
        spawn_local(async move { node.read_evacuations().await });
    }

    /// Returns whether the own member works and knows a leader.
    pub(super) fn knows_leader(&self) -> bool {
        let view = self.parts.member.get().map(MemberHandle::view);
        view.is_some_and(|view| {
            view.failure.is_none() && view.status.is_some_and(|status| status.leader.is_some())
        })
    }

    async fn read_evacuations(&self) {
        let reply = self.parts.group.ask(
            &ControlRequest::ReadEvacuations,
            ProposeMode::Idempotent,
            READ_TIMEOUT,
        );
        let is_read = match reply.await {
            Ok(ControlReply::Evacuations(evacuations)) => {
                self.handle_evacuations(&evacuations);
                true
            }
            Ok(_) | Err(_) => false,
        };
        let knows_leader = self.knows_leader();
        let mut state = self.state.borrow_mut();
        let zones = &mut state.zones;
        zones.is_reading = false;
        let has_failed = !is_read && knows_leader;
        zones.failed_reads = if has_failed { zones.failed_reads + 1 } else { 0 };
        if is_read {
            zones.is_confirmed = true;
        } else if zones.failed_reads >= MAX_FAILED_READS {
            warn!(
                self.parts.log,
                "hub: the leader does not answer reads of the evacuated zones; \
                those of the own member are used"
            );
            zones.is_confirmed = true;
        }
    }
}
