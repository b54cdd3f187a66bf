//! Records, messages and actions of the membership protocol.

use std::net::SocketAddr;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use super::{
    digest::{digest_record, hash_key},
    sync::{SyncMessage, SyncRecord},
};
use crate::{ConfigVersion, Incarnation, InstanceId, ZoneName, controller::quorum::Term};

/// The approximate size of a member record in a message without its names.
const RECORD_OVERHEAD_BYTES: usize = 96;

/// The state of a member as the fleet records it.
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
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member failed a probe and has not refuted the suspicion yet; it still counts as live.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it left; this ends its incarnation.
    Left,
}

impl MemberState {
    /// Returns whether the member still counts as part of the fleet.
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// The leader of the control group as a member knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHint {
    /// The term of the leadership.
    #[serde(rename = "t")]
    pub term: Term,
    /// The leader.
    #[serde(rename = "i")]
    pub instance: InstanceId,
}

/// The facts that a member publishes about itself in addition to its state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberFacts {
    /// The sequence number that orders the facts of one incarnation.
    #[serde(rename = "s")]
    pub sequence: u32,
    /// The configuration in force at the member.
    #[serde(rename = "c")]
    pub config_version: ConfigVersion,
    /// The leader known to the member.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<LeaderHint>,
    /// Whether the member accepts requests.
    #[serde(rename = "r")]
    pub ready: bool,
}

/// The record of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member.
    #[serde(rename = "i")]
    pub id: InstanceId,
    /// Identifies one start of the member; a higher incarnation replaces a lower one.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// How often the member refuted a suspicion within this incarnation.
    #[serde(rename = "r")]
    pub refutation: u32,
    /// The state of the member.
    #[serde(rename = "s")]
    pub state: MemberState,
    /// The address at which the member listens for other instances.
    #[serde(rename = "p")]
    pub peer: SocketAddr,
    /// The address at which the member listens for callers, targets and operators.
    #[serde(rename = "h")]
    pub http: SocketAddr,
    /// The availability zone of the member.
    #[serde(rename = "z")]
    pub availability_zone: ZoneName,
    /// The facts that the member publishes about itself.
    #[serde(rename = "f")]
    pub facts: MemberFacts,
}

impl MemberRecord {
    /// Returns the values that order the records of one member; the highest prevails.
    pub fn order(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.refutation, self.state)
    }
}

impl SyncRecord for MemberRecord {
    fn key(&self) -> u64 {
        hash_key(self.id.as_str())
    }

    fn digest(&self) -> u64 {
        let order = [self.incarnation.get(), u64::from(self.refutation), self.state as u64];
        digest_record(self.key(), &order)
    }

    fn encoded_bytes(&self) -> usize {
        let leader = self.facts.leader.as_ref().map_or(0, |hint| hint.instance.as_str().len() + 16);
        let names = self.id.as_str().len() + self.availability_zone.as_str().len();
        RECORD_OVERHEAD_BYTES + names + leader
    }
}

/// The identity of another instance and the address at which it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRef {
    /// The instance.
    pub id: InstanceId,
    /// The address at which it listens for other instances.
    pub peer: SocketAddr,
}

/// The membership settings of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// The instance itself.
    pub id: InstanceId,
    /// The incarnation of this process: the wall time of its start in milliseconds.
    pub incarnation: Incarnation,
    /// The address at which the instance listens for other instances.
    pub peer: SocketAddr,
    /// The address at which the instance listens for callers, targets and operators.
    pub http: SocketAddr,
    /// The availability zone of the instance.
    pub availability_zone: ZoneName,
    /// The periods and limits of the protocol.
    pub timing: MembershipTiming,
}

/// The periods and limits of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipTiming {
    /// The time between gossip rounds while updates are queued.
    pub gossip_period: std::time::Duration,
    /// The number of members contacted in each gossip round.
    pub gossip_fanout: usize,
    /// The time between probes.
    pub probe_period: std::time::Duration,
    /// The time without an answer to a direct probe after which indirect probes are requested.
    pub ack_timeout: std::time::Duration,
    /// The number of probe periods, for each decimal digit of the number of members, after which a
    /// suspect is declared dead.
    pub suspicion_periods: u32,
    /// The time between anti-entropy sessions.
    pub sync_period: std::time::Duration,
    /// The time between pings of dead members and of seeds that are not live members.
    pub rejoin_period: std::time::Duration,
    /// The time for which the record of a dead or departed member is kept.
    pub retention: std::time::Duration,
}

impl Default for MembershipTiming {
    fn default() -> Self {
        use std::time::Duration;
        Self {
            gossip_period: Duration::from_millis(200),
            gossip_fanout: 3,
            probe_period: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            suspicion_periods: 3,
            sync_period: Duration::from_secs(10),
            rejoin_period: Duration::from_secs(5),
            retention: Duration::from_secs(24 * 3_600),
        }
    }
}

/// A message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipMessage {
    /// The sender's record of itself.
    #[serde(rename = "f")]
    pub sender: MemberRecord,
    /// The highest configuration version that the sender knows to exist.
    #[serde(rename = "c")]
    pub highest_config: ConfigVersion,
    /// The request or answer.
    #[serde(rename = "b")]
    pub body: MembershipBody,
    /// Piggybacked updates of members.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<MemberRecord>,
}

/// The request or answer of a membership message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipBody {
    /// Asks for an answer.
    #[serde(rename = "P")]
    Ping {
        /// The sequence number, repeated in the answer.
        #[serde(rename = "s")]
        sequence: u32,
        /// The addressed member; if absent, any instance at the address answers.
        #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
        to: Option<InstanceId>,
    },
    /// Answers a ping.
    #[serde(rename = "A")]
    Ack {
        /// The sequence number of the ping.
        #[serde(rename = "s")]
        sequence: u32,
    },
    /// Asks the receiver to ping another member.
    #[serde(rename = "Q")]
    PingRequest {
        /// The sequence number, repeated in the answer.
        #[serde(rename = "s")]
        sequence: u32,
        /// The member to ping.
        #[serde(rename = "t")]
        to: InstanceId,
        /// The address at which it listens.
        #[serde(rename = "a")]
        address: SocketAddr,
    },
    /// Carries only piggybacked updates.
    #[serde(rename = "G")]
    Gossip,
    /// An anti-entropy message.
    #[serde(rename = "Y")]
    Sync(SyncMessage<MemberRecord>),
}

/// The kind of change of a member.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum MemberChange {
    /// The member was not known.
    Joined,
    /// The member restarted.
    Restarted,
    /// The state of the member changed, or it refuted a suspicion.
    StateChanged,
    /// The member published changed facts about itself.
    FactsChanged,
    /// The member was removed after it had been dead or gone for the retention period.
    Forgotten,
}

/// A change of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEvent {
    /// The member.
    pub id: InstanceId,
    /// Its current state.
    pub state: MemberState,
    /// Its previous state; `None` if it was not known.
    pub previous: Option<MemberState>,
    /// What changed.
    pub change: MemberChange,
    /// Its current record; for a removed member, the last one.
    pub record: MemberRecord,
}

/// An action that the driver performs for the membership controller.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Sends a message; the protocol tolerates its loss.
    Send {
        /// The address at which the receiver listens.
        to: SocketAddr,
        /// The message.
        message: MembershipMessage,
    },
    /// A member changed.
    Changed(MemberEvent),
    /// A higher configuration version than any known before exists; the instance should fetch it.
    NewerConfig {
        /// The configuration version.
        version: ConfigVersion,
        /// The instance that reported it.
        source: PeerRef,
    },
    /// Another process runs under this identifier with a higher incarnation; this one must stop.
    Superseded {
        /// The incarnation of the other process.
        incarnation: Incarnation,
    },
}
