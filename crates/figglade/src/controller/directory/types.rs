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

/// The reason why an announcement was refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DirectoryError {
    /// A later incarnation of the target has announced itself.
    #[display("incarnation is older than {current}")]
    #[error(ignore)]
    StaleIncarnation {
        /// The incarnation in the directory.
        current: Incarnation,
    },
    /// A field has a value that is not allowed.
    #[display("{field}: {reason}")]
    #[error(ignore)]
    Invalid {
        /// The field.
        field: String,
        /// The violated constraint.
        reason: String,
    },
    /// The directory holds the maximum number of targets.
    #[display("directory is full: at most {limit} targets")]
    #[error(ignore)]
    Full {
        /// The maximum number of targets.
        limit: usize,
    },
}

impl DirectoryError {
    /// Returns the field that caused the refusal, if any.
    pub fn field(&self) -> Option<&str> {
        match self {
            Self::StaleIncarnation { .. } => Some("incarnation"),
            Self::Invalid { field, .. } => Some(field),
            Self::Full { .. } => None,
        }
    }
}

/// The effect of an accepted announcement.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum AnnounceEffect {
    /// The target was not known.
    Added,
    /// The target restarted with a higher incarnation.
    Restarted,
    /// The target announced changed content.
    Updated,
    /// The target announced the content already known.
    Renewed,
    /// The target had lapsed and has returned.
    Revived,
    /// The target announced a later state or sequence number before; this one arrived late and is
    /// ignored.
    Outdated,
}

/// The stamp that orders announcements of one incarnation with the same state and sequence number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AnnounceStamp {
    /// The wall time at the instance that received the announcement.
    #[serde(rename = "w")]
    pub wall: WallTime,
    /// The instance that received the announcement.
    #[serde(rename = "i")]
    pub instance: InstanceId,
}

/// The number of times that a target lapsed and returned within one incarnation.
///
/// An odd count means that the target has lapsed. When two counts are merged, the higher prevails.
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

    /// Returns the next count, which is lapsed if this one is not and vice versa.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns the count as a number.
    pub const fn get(self) -> u32 {
        self.0
    }
}

/// The state of a target, derived from its announced state, lapses and displacement.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum EffectiveState {
    /// The target is not serving yet.
    Starting,
    /// The target accepts new requests.
    Ready,
    /// The target finishes its requests and accepts no new ones.
    Draining,
    /// The target has left.
    Gone,
    /// The target did not renew its announcement in time.
    Lapsed,
    /// Another target announced itself later at the same address.
    Displaced,
}

/// The record of one target that instances exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectoryRecord {
    /// What the target announced.
    #[serde(rename = "a", with = "super::compact")]
    pub announcement: Arc<Announcement>,
    /// When and to which instance it was announced.
    #[serde(rename = "s")]
    pub stamp: AnnounceStamp,
    /// How often the target lapsed and returned.
    #[serde(rename = "l")]
    pub lapses: LapseCount,
    /// The time since the target lapsed or left, in milliseconds; 0 if it did neither.
    #[serde(rename = "q", default)]
    pub inactive_ms: u64,
}

impl DirectoryRecord {
    /// Returns whether the target has lapsed or left.
    pub fn is_inactive(&self) -> bool {
        self.lapses.is_lapsed() || self.announcement.state == TargetState::Gone
    }

    /// Returns whether this announcement is newer than that of `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    /// Returns the values that order the announcements of one target.
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

/// The directory entry of one target on one instance.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    /// The record that instances exchange.
    pub record: DirectoryRecord,
    /// Whether another target announced itself later at the same address.
    pub displaced: bool,
    /// When this instance first saw the target ready in this incarnation, or again after a lapse.
    pub ready_since: Option<Timestamp>,
    /// When this instance first saw that the target had lapsed or left.
    pub(super) inactive_since: Option<Timestamp>,
    /// Whether the entry is excluded from anti-entropy.
    pub(super) excluded_from_sync: bool,
}

impl TargetEntry {
    /// Returns what the target announced.
    pub fn announcement(&self) -> &Arc<Announcement> {
        &self.record.announcement
    }

    /// Returns the state derived from the announced state, lapses and displacement.
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

    /// Returns whether the target accepts new requests.
    pub fn is_live(&self) -> bool {
        self.effective_state() == EffectiveState::Ready
    }

    /// Returns the time since the target lapsed or left.
    pub(super) fn inactive_for(&self, now: Timestamp) -> Option<Duration> {
        let since = self.inactive_since?;
        Some(now.since(since) + Duration::from_millis(self.record.inactive_ms))
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

/// The key of one incarnation of a target.
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
    /// Disseminates updates of targets.
    #[serde(rename = "N")]
    Updates {
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
    /// Asks the other watcher whether it has later renewals of targets that are about to lapse.
    #[serde(rename = "Q")]
    LapseQuery {
        /// The targets.
        #[serde(rename = "t")]
        targets: Vec<TargetKey>,
    },
    /// Answers a query with the time until each target lapses at the responder.
    #[serde(rename = "H")]
    LapseReply {
        /// The targets, each with the time until it lapses at the responder, in milliseconds; 0 if
        /// the responder has no later renewal either.
        #[serde(rename = "t")]
        targets: Vec<(TargetKey, u64)>,
    },
    /// An anti-entropy message.
    #[serde(rename = "Y")]
    Sync(SyncMessage<DirectoryRecord>),
}

/// An action that the driver performs for the directory.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryAction {
    /// Sends a message; the protocol tolerates its loss.
    Send {
        /// The address at which the receiver listens.
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

/// The directory settings of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectorySettings {
    /// The instance itself.
    pub id: InstanceId,
    /// Whether other instances are configured as seeds; without any the directory counts as synced
    /// at once.
    pub expects_peers: bool,
    /// The periods and limits of the protocol.
    pub timing: DirectoryTiming,
}

/// The periods and limits of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryTiming {
    /// The time between gossip rounds while updates are queued.
    pub gossip_period: Duration,
    /// The number of instances contacted in each gossip round.
    pub gossip_fanout: usize,
    /// The time for which renewals are batched before they are forwarded to a watcher.
    pub renewal_period: Duration,
    /// The time between anti-entropy sessions.
    pub sync_period: Duration,
    /// The time after the start from which the directory counts as loaded even though no instance
    /// with a loaded directory was found.
    pub cold_start_period: Duration,
    /// The time for which the record of a target that lapsed or left is kept.
    pub retention: Duration,
    /// The shortest time between announcements of a target.
    pub announce_period: Duration,
    /// The number of announcement intervals without a renewal after which a target lapses.
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
