//! Messages, actions and settings of connection shares.

use std::{collections::BTreeSet, time::Duration};

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

use crate::{Incarnation, InstanceId, controller::quorum::Term};

/// Numbers the sets of holders; 0 precedes the first one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    FromStr,
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
pub struct ShareEpoch(u64);

impl ShareEpoch {
    /// Wraps a plain number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next epoch.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The maximum number of instances with reserved connections.
pub const MAX_RESERVED: usize = 10;
/// The smallest connection cap from which connections are reserved.
pub const MIN_RESERVED_CAP: u32 = 2 * MAX_RESERVED as u32;

/// A set of holders that the control group committed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderSet {
    /// The number of the set.
    pub epoch: ShareEpoch,
    /// The instances that may connect to targets.
    pub holders: BTreeSet<InstanceId>,
    /// The instances that keep one connection to each target after their lease has expired; at most
    /// [`MAX_RESERVED`].
    #[serde(default)]
    pub reserved: BTreeSet<InstanceId>,
}

/// A request to the leader to grant, renew or release a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The instance that sends the request.
    pub instance: InstanceId,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
    /// The latest epoch that the instance has acknowledged: its connections are within the shares.
    pub acked_epoch: ShareEpoch,
    /// The latest epoch whose holders the instance knows.
    pub known_epoch: ShareEpoch,
    /// Whether the instance has closed every connection and permanently releases its lease.
    #[serde(default)]
    pub release: bool,
}

/// The reply to a [`ShareRequest`]; it grants a lease unless `lease_ms` is zero.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The term of the leader; a holder ignores grants of earlier terms.
    pub term: Term,
    /// The latest epoch.
    pub epoch: ShareEpoch,
    /// The holders of that epoch, unless the instance already knows them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holders: Option<BTreeSet<InstanceId>>,
    /// The instances with reserved connections; set only together with `holders`.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub reserved: BTreeSet<InstanceId>,
    /// The latest epoch whose shares may be used regardless of earlier epochs.
    pub usable_epoch: ShareEpoch,
    /// The duration of the lease, counted from when the request was sent, in milliseconds.
    pub lease_ms: u64,
}

/// An action that the driver performs for the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShareAction {
    /// Proposes the next set of holders to the control group.
    ///
    /// The log must accept it only if its epoch directly follows the one in force.
    ProposeHolders(HolderSet),
}

/// The durations that govern the leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareTiming {
    /// The duration of a lease.
    pub lease: Duration,
    /// The time that the leader adds to a lease before it considers it expired, to allow for clock
    /// drift.
    pub margin: Duration,
    /// The last part of a lease, in which a holder opens no new connections and closes idle ones.
    pub closing: Duration,
    /// The time after which an uncommitted proposal is repeated.
    pub propose_period: Duration,
    /// The time for which a holder keeps its reserved connections after its lease has expired.
    pub reserve: Duration,
}

impl Default for ShareTiming {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            margin: Duration::from_millis(600),
            closing: Duration::from_secs(1),
            propose_period: Duration::from_secs(1),
            reserve: Duration::from_secs(3_600),
        }
    }
}

/// The phase of a lease, which determines what a holder may do with its connections.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum LeasePhase {
    /// The holder may use its shares.
    Held,
    /// The lease expires soon: no new connections may be opened, and idle ones must be closed.
    Closing,
    /// The lease has expired: all but reserved connections must be closed.
    Expired,
}
