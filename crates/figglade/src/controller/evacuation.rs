//! The availability zones that operators have evacuated.
//!
//! No request is sent to a target of an evacuated zone. The quorum log orders the starts and the
//! finishes of evacuations; the last one committed is in force. Each change raises the revision, so
//! that processes tell from two revisions which set is newer.

use std::{collections::BTreeSet, time::Duration};

use derive_more::{Display, Error, From, Into};
use serde::{Deserialize, Serialize};

use crate::{InstanceId, Timestamp, ZoneName};

/// The maximum number of evacuated zones; bounds the replicated state.
pub const MAX_EVACUATED_ZONES: usize = 256;

/// The number of changes of the evacuated zones so far.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct EvacuationRevision(u64);

impl EvacuationRevision {
    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// What an operator orders for a zone.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "snake_case")]
pub enum EvacuationAction {
    /// No request may be sent to the targets of the zone.
    Start,
    /// The targets of the zone may be used again.
    Finish,
}

/// An order of an operator to start or to finish the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// The zone.
    pub zone: ZoneName,
    /// What is ordered.
    pub action: EvacuationAction,
    /// The instance that accepted the order.
    pub instance: InstanceId,
}

/// The reply of the ledger to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReply {
    /// The revision in force.
    pub revision: EvacuationRevision,
    /// Whether the order changed the evacuated zones.
    pub is_changed: bool,
    /// Whether the order is in force; false if [`MAX_EVACUATED_ZONES`] are evacuated already.
    pub is_in_force: bool,
}

/// The reason an order is rejected before it is proposed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum EvacuationError {
    /// The settings do not name the zone.
    #[display("zone {zone:?} is not one of the zones of the settings: {known}")]
    UnknownZone {
        /// The zone of the order.
        zone: String,
        /// The zones of the settings, separated by commas.
        known: String,
    },
}

/// Checks the zone of an order against the zones of the settings. If the settings name no zones,
/// each valid zone name is accepted.
///
/// # Errors
///
/// Fails when the settings do not name the zone, or when it is not a valid zone name.
pub fn check_zone(zone: &str, known: &BTreeSet<ZoneName>) -> Result<ZoneName, EvacuationError> {
    let accepted = zone.parse::<ZoneName>().ok();
    accepted.filter(|zone| known.is_empty() || known.contains(zone)).ok_or_else(|| {
        let names: Vec<_> = known.iter().map(ZoneName::as_str).collect();
        EvacuationError::UnknownZone { zone: zone.to_owned(), known: names.join(", ") }
    })
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationSet {
    revision: EvacuationRevision,
    zones: BTreeSet<ZoneName>,
}

impl EvacuationSet {
    /// Creates the set that is in force before the first order.
    pub const fn new() -> Self {
        Self { revision: EvacuationRevision(0), zones: BTreeSet::new() }
    }

    /// Carries out an order. One that changes nothing keeps the revision.
    pub fn apply(&mut self, order: EvacuationOrder) -> EvacuationReply {
        let has_room = self.zones.len() < MAX_EVACUATED_ZONES || self.contains(&order.zone);
        let is_in_force = order.action == EvacuationAction::Finish || has_room;
        let is_changed = is_in_force
            && match order.action {
                EvacuationAction::Start => self.zones.insert(order.zone),
                EvacuationAction::Finish => self.zones.remove(&order.zone),
            };
        if is_changed {
            self.revision.0 += 1;
        }
        EvacuationReply { revision: self.revision, is_changed, is_in_force }
    }

    /// Returns the revision; it is zero until the first evacuation starts.
    pub const fn revision(&self) -> EvacuationRevision {
        self.revision
    }

    /// Returns whether no evacuation was ever started.
    pub const fn is_unused(&self) -> bool {
        self.revision.0 == 0
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the evacuated zones in the order of their names.
    pub fn zones(&self) -> impl ExactSizeIterator<Item = &ZoneName> {
        self.zones.iter()
    }

    /// Replaces this set by `other` if that one is newer, and returns whether it was.
    pub fn adopt(&mut self, other: &Self) -> bool {
        let is_newer = other.revision > self.revision;
        if is_newer {
            *self = other.clone();
        }
        is_newer
    }
}

impl std::fmt::Display for EvacuationSet {
    /// Writes the names of the evacuated zones, or `none`.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.zones.is_empty() {
            return formatter.write_str("none");
        }
        for (position, zone) in self.zones.iter().enumerate() {
            let separator = if position == 0 { "" } else { ", " };
            write!(formatter, "{separator}{zone}")?;
        }
        Ok(())
    }
}

/// The time between two polls of the hubs from which an instance counts as having been suspended. A
/// working instance polls several times a second; together with one poll the time stays below the
/// 5 s within which an evacuation is in force everywhere. It holds for the ticks of a hub as well.
pub const MAX_POLL_GAP: Duration = Duration::from_millis(2_500);

/// Decides whether an instance knows the evacuated zones well enough to serve requests: not before a
/// hub has confirmed them since its start, and not after a suspension, in which it may have missed
/// an order, until a hub confirms them again.
///
/// An instance that runs and reaches no hub goes on serving with the zones that it knows.
#[derive(Clone, Debug, Default)]
pub struct EvacuationGate {
    is_confirmed: bool,
    polled_at: Timestamp,
    /// The number of polls so far.
    polls: u64,
    /// The first poll whose answer opens the gate; earlier answers may be from before a suspension.
    first_valid_poll: u64,
}

impl EvacuationGate {
    /// Records a poll of the hubs. Returns whether the gate closes because the instance was
    /// suspended.
    pub fn record_poll(&mut self, now: Timestamp) -> bool {
        let is_overdue = self.is_poll_overdue(now);
        let is_closed = self.is_confirmed && is_overdue;
        self.polls += 1;
        if is_overdue {
            self.is_confirmed = false;
            self.first_valid_poll = self.polls;
        }
        self.polled_at = now;
        is_closed
    }

    /// Returns the number of the last poll, which the hubs repeat in their answers.
    pub const fn last_poll(&self) -> u64 {
        self.polls
    }

    /// Records that a hub has proved in its answer to the poll `poll` that the evacuated zones held
    /// are the newest. A hub of an earlier release answers with poll 0. Returns whether the gate
    /// opens.
    pub fn confirm(&mut self, poll: u64) -> bool {
        let is_valid = poll == 0 || (self.first_valid_poll..=self.polls).contains(&poll);
        is_valid && !std::mem::replace(&mut self.is_confirmed, true)
    }

    /// Returns whether requests may be served.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.is_confirmed && !self.is_poll_overdue(now)
    }

    fn is_poll_overdue(&self, now: Timestamp) -> bool {
        now.since(self.polled_at) > MAX_POLL_GAP
    }
}
