//! The record of one event.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use super::HybridStamp;
use crate::{Incarnation, InstanceId, RequestId};

/// The longest detail of an event, in bytes.
pub const MAX_DETAIL_BYTES: usize = 512;

/// What happened.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum EventKind {
    /// The instance started.
    InstanceStarted,
    /// The instance became ready.
    InstanceReady,
    /// The instance stopped being ready.
    InstanceNotReady,
    /// The instance began a planned stop.
    InstanceStopping,
    /// The instance finished a planned stop.
    InstanceStopped,
    /// A request was refused at admission.
    AdmissionRefused,
    /// A request was pinned to a snapshot.
    SnapshotPinned,
    /// A request was restarted on another snapshot.
    SnapshotRestarted,
    /// A second attempt was sent in parallel to a slow one.
    HedgeSent,
    /// An attempt was sent after another one failed.
    RetrySent,
    /// An answer was discarded.
    AnswerDiscarded,
    /// A caller received an answer that does not cover all of the data.
    AnswerPartial,
    /// A target was ejected from replica selection.
    TargetEjected,
    /// An ejected target is selected again.
    TargetReturned,
    /// A target, or a new incarnation of it, announced itself for the first time.
    TargetJoined,
    /// A target started draining.
    TargetDraining,
    /// A target left.
    TargetGone,
    /// The announcement of a target was not renewed in time.
    TargetLapsed,
    /// An instance joined.
    MemberJoined,
    /// An instance is suspected to have failed because it does not answer.
    MemberSuspected,
    /// An instance was declared failed.
    MemberFailed,
    /// An instance left in a planned stop.
    MemberLeft,
    /// Another control member became leader, or there is no leader.
    LeaderChanged,
    /// The members of the control group changed.
    ControlGroupChanged,
    /// A configuration took effect at this instance.
    ConfigInForce,
    /// The instance can no longer prove that its control state is current.
    StaleEntered,
    /// The instance proved again that its control state is current.
    StaleLeft,
    /// The right to run an action was granted.
    ClaimGranted,
    /// The outcome of an action was recorded.
    ClaimEnded,
    /// The number of connections that this instance may hold to a target changed.
    ShareChanged,
    /// A file could not be read or written.
    DiskFault,
    /// A kind of event that only newer releases know.
    #[serde(other)]
    Other,
}

/// The incarnation of an instance that recorded an event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EventSource {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
}

/// One event of the time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// When it happened, by the hybrid clock of the instance.
    pub stamp: HybridStamp,
    /// Where it happened.
    pub source: EventSource,
    /// The number of the event among those of its source, from 1.
    pub sequence: u64,
    /// What happened.
    pub kind: EventKind,
    /// The request that it belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// A human-readable description of at most [`MAX_DETAIL_BYTES`] bytes.
    #[serde(default)]
    pub detail: String,
}

impl EventRecord {
    /// Truncates the detail to [`MAX_DETAIL_BYTES`] bytes.
    pub fn with_bounded_detail(mut self) -> Self {
        let length = self.detail.floor_char_boundary(MAX_DETAIL_BYTES);
        self.detail.truncate(length);
        self
    }

    /// Returns the approximate size of the event in memory, in bytes.
    pub fn size_bytes(&self) -> usize {
        size_of::<Self>() + self.detail.len()
    }
}
