//! One event and what it is about.

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
    /// The instance turned ready.
    InstanceReady,
    /// The instance turned not ready.
    InstanceNotReady,
    /// The instance began a planned stop.
    InstanceStopping,
    /// The instance finished a planned stop.
    InstanceStopped,
    /// A request was refused at admission.
    AdmissionRefused,
    /// A request was pinned to a snapshot.
    SnapshotPinned,
    /// A request started again on another snapshot.
    SnapshotRestarted,
    /// A second attempt was sent beside a slow one.
    HedgeSent,
    /// An attempt was sent after a failed one.
    RetrySent,
    /// An answer was discarded.
    AnswerDiscarded,
    /// A caller got an answer that does not cover all of the data.
    AnswerPartial,
    /// A target was ejected from replica choice.
    TargetEjected,
    /// An ejected target takes work again.
    TargetReturned,
    /// A target announced itself for the first time, or a new incarnation of it did.
    TargetJoined,
    /// A target drains.
    TargetDraining,
    /// A target left.
    TargetGone,
    /// The announcement of a target was not renewed.
    TargetLapsed,
    /// An instance joined.
    MemberJoined,
    /// An instance does not answer and may have failed.
    MemberSuspected,
    /// An instance failed.
    MemberFailed,
    /// An instance left as planned.
    MemberLeft,
    /// Another control member leads, or none.
    LeaderChanged,
    /// The members of the control group changed.
    ControlGroupChanged,
    /// A configuration came into force here.
    ConfigInForce,
    /// The instance cannot prove any more that it is current.
    StaleEntered,
    /// The instance is proved current again.
    StaleLeft,
    /// The right to run an action was granted.
    ClaimGranted,
    /// The end of an action was recorded.
    ClaimEnded,
    /// The connections that this instance may hold to a target changed.
    ShareChanged,
    /// A file could not be read or written.
    DiskFault,
    /// An event of a kind that a newer release introduced.
    #[serde(other)]
    Other,
}

/// The run of an instance that an event belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EventSource {
    /// The instance.
    pub instance: InstanceId,
    /// Its start.
    pub incarnation: Incarnation,
}

/// One event of the time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// When it happened, on the hybrid clocks of the fleet.
    pub stamp: HybridStamp,
    /// The run of the instance where it happened.
    pub source: EventSource,
    /// Numbers the events of that run, from 1.
    pub sequence: u64,
    /// What happened.
    pub kind: EventKind,
    /// The request it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// More about it, for people, at most [`MAX_DETAIL_BYTES`].
    #[serde(default)]
    pub detail: String,
}

impl EventRecord {
    /// Cuts the detail to its bound.
    pub fn with_bounded_detail(mut self) -> Self {
        let length = self.detail.floor_char_boundary(MAX_DETAIL_BYTES);
        self.detail.truncate(length);
        self
    }

    /// Returns roughly what the event takes in memory, in bytes.
    pub fn size_bytes(&self) -> usize {
        size_of::<Self>() + self.detail.len()
    }
}
