//! Records, messages, actions and errors of the target directory.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    Incarnation, IndexName, InstanceId, TargetId, Timestamp, WallTime,
    controller::membership::{
        digest::{digest_record, hash_key},
        sync::{SyncMessage, SyncRecord},
    },
    wire::{Announcement, TargetState},
};

/// The reason an announcement was refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DirectoryError {
    /// A later start of the target has announced itself.
    #[display("incarnation is older than {current}")]
    #[error(ignore)]
    StaleIncarnation {
        /// The incarnation held.
        current: Incarnation,
    },
    /// A field holds what is not allowed.
    #[display("{field}: {reason}")]
    #[error(ignore)]
    Invalid {
        /// The field.
        field: String,
        /// What is allowed.
        reason: String,
    },
    /// The directory holds as many targets as it can.
    #[display("directory is full: at most {limit} targets")]
    #[error(ignore)]
    Full {
        /// The most targets held.
        limit: usize,
    },
}

impl DirectoryError {
    /// Returns the field that the refusal is about.
    pub fn field(&self) -> Option<&str> {
        match self {
            Self::StaleIncarnation { .. } => Some("incarnation"),
            Self::Invalid { field, .. } => Some(field),
            Self::Full { .. } => None,
        }
    }
}

/// What an accepted announcement did.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum AnnounceEffect {
    /// The target was not known.
    Added,
    /// The target started anew.
    Restarted,
    /// The target announced something new.
    Updated,
    /// The target announced what was known.
    Renewed,
    /// The target had lapsed and is back.
    Revived,
    /// The target announced something newer before; this is a late copy.
    Outdated,
}

/// Orders the announcements of one incarnation in the same state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AnnounceStamp {
    /// The wall time at the instance that received the announcement.
    #[serde(rename = "w")]
    pub wall: WallTime,
    /// The instance that received the announcement.
    #[serde(rename = "i")]
    pub instance: InstanceId,
}

/// Counts how often a target lapsed and came back within one incarnation.
///
/// Odd counts are lapses; the higher count wins wherever two meet.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct LapseCount(u32);

impl LapseCount {
    /// Returns whether the target has lapsed.
    pub const fn is_lapsed(self) -> bool {
        self.0 % 2 == 1
    }

    /// Returns the next count: lapsed when this one is not, live when it is.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns the plain number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

/// The state of a target with everything taken into account.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum EffectiveState {
    /// The target is not serving yet.
    Starting,
    /// The target takes new work.
    Ready,
    /// The target finishes its work and takes no more.
    Draining,
    /// The target has left.
    Gone,
    /// The target did not renew its announcement.
    Lapsed,
    /// Another target announced itself later at the same address.
    Displaced,
}

/// One target as instances exchange it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryRecord {
    /// What the target announced.
    #[serde(rename = "a", with = "super::compact")]
    pub announcement: Arc<Announcement>,
    /// When and where it was announced.
    #[serde(rename = "s")]
    pub stamp: AnnounceStamp,
    /// How often the target lapsed and came back.
    #[serde(rename = "l")]
    pub lapses: LapseCount,
    /// The time since the target lapsed or left, in milliseconds; 0 for others.
    #[serde(rename = "q", default)]
    pub quiet_ms: u64,
}

impl DirectoryRecord {
    /// Returns whether the target has lapsed or left.
    pub fn is_quiet(&self) -> bool {
        self.lapses.is_lapsed() || self.announcement.state == TargetState::Gone
    }

    /// Returns whether this announcement is newer than that of `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    /// Returns what orders the announcements of one target.
    fn order(&self) -> (Incarnation, TargetState, u64, &AnnounceStamp) {
        let announcement = &self.announcement;
        let sequence = announcement.sequence.unwrap_or(0);
        (announcement.incarnation, announcement.state, sequence, &self.stamp)
    }
}

impl SyncRecord for DirectoryRecord {
    fn key(&self) -> u64 {
        hash_key(self.announcement.target_id.as_str())
    }

    fn digest(&self) -> u64 {
        let order = [
            self.announcement.incarnation.get(),
            self.announcement.state as u64,
            self.announcement.sequence.unwrap_or(0),
            self.stamp.wall.as_millis(),
            hash_key(self.stamp.instance.as_str()),
            u64::from(self.lapses.get()),
        ];
        digest_record(self.key(), &order)
    }

    fn encoded_bytes(&self) -> usize {
        super::compact::encoded_bytes(&self.announcement) + self.stamp.instance.as_str().len() + 28
    }
}

/// One target as an instance holds it.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// The target as instances exchange it.
    pub record: DirectoryRecord,
    /// Whether another target announced itself later at the same address.
    pub displaced: bool,
    /// When the target was first seen ready in this incarnation, or again after a lapse.
    pub ready_since: Option<Timestamp>,
    /// When the target was seen to have lapsed or left.
    pub(super) quiet_at: Option<Timestamp>,
    /// Whether the entry no longer takes part in anti-entropy.
    pub(super) hidden: bool,
}

impl TargetEntry {
    /// Returns what the target announced.
    pub fn announcement(&self) -> &Arc<Announcement> {
        &self.record.announcement
    }

    /// Returns the state of the target with everything taken into account.
    pub fn effective_state(&self) -> EffectiveState {
        match self.record.announcement.state {
            TargetState::Gone => EffectiveState::Gone,
            _ if self.record.lapses.is_lapsed() => EffectiveState::Lapsed,
            _ if self.displaced => EffectiveState::Displaced,
            TargetState::Starting => EffectiveState::Starting,
            TargetState::Ready => EffectiveState::Ready,
            TargetState::Draining => EffectiveState::Draining,
        }
    }

    /// Returns whether the target takes new work.
    pub fn is_live(&self) -> bool {
        self.effective_state() == EffectiveState::Ready
    }

    /// Returns the time since the target lapsed or left.
    pub(super) fn quiet_for(&self, now: Timestamp) -> Option<Duration> {
        let since = self.quiet_at?;
        Some(now.since(since) + Duration::from_millis(self.record.quiet_ms))
    }
}

/// The lapse or the return of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LapseRumor {
    /// The hash of the target's identifier.
    #[serde(rename = "k")]
    pub key: u64,
    /// The incarnation that lapsed or returned.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// The count reached.
    #[serde(rename = "l")]
    pub lapses: LapseCount,
}

/// Names one incarnation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetKey(
    /// The hash of the target's identifier.
    pub u64,
    /// The incarnation.
    pub Incarnation,
);

/// A message of the target directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DirectoryMessage {
    /// News of targets.
    #[serde(rename = "N")]
    News {
        /// New and changed announcements.
        #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
        records: Vec<DirectoryRecord>,
        /// Lapses and returns.
        #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
        lapses: Vec<LapseRumor>,
    },
    /// Tells a watcher which targets renewed their announcements.
    #[serde(rename = "W")]
    Renewals {
        /// The targets, each with the time after which it announces itself again, in
        /// milliseconds.
        #[serde(rename = "t")]
        targets: Vec<(TargetKey, u32)>,
    },
    /// Asks the other watcher whether it heard of targets that seem to lapse.
    #[serde(rename = "Q")]
    LapseQuery {
        /// The targets.
        #[serde(rename = "t")]
        targets: Vec<TargetKey>,
    },
    /// Tells how long the targets of a query have left.
    #[serde(rename = "H")]
    LapseReply {
        /// The targets, each with the time until it lapses here, in milliseconds; 0 when this
        /// watcher did not hear of it either.
        #[serde(rename = "t")]
        targets: Vec<(TargetKey, u64)>,
    },
    /// A message of anti-entropy.
    #[serde(rename = "Y")]
    Sync(SyncMessage<DirectoryRecord>),
}

/// What the driver does for the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryAction {
    /// Sends a message; it may be lost.
    Send {
        /// Where the receiver listens.
        to: SocketAddr,
        /// The message.
        message: DirectoryMessage,
    },
    /// Targets changed.
    Changed {
        /// The indexes whose replicas changed.
        indexes: Vec<IndexName>,
        /// The targets that changed.
        targets: Vec<TargetId>,
    },
}

/// The settings of one instance that the directory needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectorySettings {
    /// The instance itself.
    pub id: InstanceId,
    /// Whether other instances are named to join; without any the directory is synced at once.
    pub expects_peers: bool,
    /// The periods and limits of the protocol.
    pub timing: DirectoryTiming,
}

/// The periods and limits of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryTiming {
    /// The time between gossip rounds while there is news.
    pub gossip_period: Duration,
    /// The instances that each gossip round goes to.
    pub gossip_fanout: usize,
    /// The time over which renewals for a watcher are gathered.
    pub renewal_period: Duration,
    /// The time between anti-entropy sessions.
    pub sync_period: Duration,
    /// The time after which a fleet without any loaded directory counts as loaded.
    pub cold_start_period: Duration,
    /// The time a target that lapsed or left is remembered.
    pub retention: Duration,
    /// The shortest time between announcements of a target.
    pub announce_period: Duration,
    /// The announcement periods after which a silent target lapses.
    pub lapse_periods: u32,
}

impl Default for DirectoryTiming {
    fn default() -> Self {
        Self {
            gossip_period: Duration::from_millis(200),
            gossip_fanout: 3,
            renewal_period: Duration::from_millis(500),
            sync_period: Duration::from_secs(10),
            cold_start_period: Duration::from_secs(3),
            retention: Duration::from_secs(600),
            announce_period: Duration::from_secs(1),
            lapse_periods: 3,
        }
    }
}
