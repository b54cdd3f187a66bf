//! Messages, actions and settings of connection shares.

use std::{collections::BTreeSet, time::Duration};

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

use crate::{Incarnation, InstanceId, controller::quorum::Term};

/// Numbers the sets of holders; 0 stands before the first.
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

/// The most instances with a reserved connection.
pub const MAX_RESERVED: usize = 10;
/// The smallest cap that connections are reserved of.
pub const MIN_RESERVED_CAP: u32 = 2 * MAX_RESERVED as u32;

/// A set of holders that the control group committed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderSet {
    /// The number of the set.
    pub epoch: ShareEpoch,
    /// The instances that may connect to targets.
    pub holders: BTreeSet<InstanceId>,
    /// The instances that keep one connection to each target when their lease is over, at most
    /// [`MAX_RESERVED`].
    #[serde(default)]
    pub reserved: BTreeSet<InstanceId>,
}

/// Asks the leader for a lease, or for its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The instance that asks.
    pub instance: InstanceId,
    /// The start of the instance.
    pub incarnation: Incarnation,
    /// The latest epoch whose shares the instance keeps to.
    pub acked_epoch: ShareEpoch,
    /// The latest epoch whose holders the instance knows.
    pub known_epoch: ShareEpoch,
    /// Whether the instance closed every connection and gives its lease back for good.
    #[serde(default)]
    pub release: bool,
}

/// Grants a lease, unless its time is zero.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The term of the leader; a holder ignores grants of an earlier one.
    pub term: Term,
    /// The latest epoch.
    pub epoch: ShareEpoch,
    /// Its holders, unless the instance knows them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holders: Option<BTreeSet<InstanceId>>,
    /// The instances with a reserved connection, wherever the holders are given.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub reserved: BTreeSet<InstanceId>,
    /// The latest epoch whose shares may be used without regard to earlier ones.
    pub usable_epoch: ShareEpoch,
    /// The time of the lease from the sending of the request, in milliseconds.
    pub lease_ms: u64,
}

/// What the driver does for the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShareAction {
    /// Proposes the next set of holders to the control group.
    ///
    /// The log must accept it only where its epoch follows the one in force.
    ProposeHolders(HolderSet),
}

/// The times of the leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareTiming {
    /// The time of a lease.
    pub lease: Duration,
    /// What the leader adds to a lease before it counts it as over, for clocks that run unevenly.
    pub margin: Duration,
    /// The last part of a lease, in which a holder takes no new connections and closes idle ones.
    pub closing: Duration,
    /// The time after which a proposal without an answer is repeated.
    pub propose_period: Duration,
    /// The time after the end of its lease in which a holder keeps its reserved connections.
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

/// What a holder may do with its connections.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum LeasePhase {
    /// The holder may use its shares.
    Held,
    /// The lease ends soon: no new connections, and idle ones must be closed.
    Closing,
    /// The lease is over: every connection must be closed.
    Expired,
}
