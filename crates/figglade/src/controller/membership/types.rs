//! Records, messages and actions of the membership protocol.

use std::net::SocketAddr;

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use super::{
    digest::{digest_record, hash_key},
    sync::{SyncMessage, SyncRecord},
};
use crate::{ConfigVersion, Incarnation, InstanceId, ZoneName, controller::quorum::Term};

/// The bytes of a member record in a message besides its names.
const RECORD_OVERHEAD_BYTES: usize = 96;

/// What the fleet believes of a member.
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
    /// The member failed a probe and has not refuted yet; it still counts as live.
    Suspect,
    /// The member did not refute in time.
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

/// Who leads the control group, as far as a member knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHint {
    /// The term of the leadership.
    #[serde(rename = "t")]
    pub term: Term,
    /// The leader.
    #[serde(rename = "i")]
    pub instance: InstanceId,
}

/// What a member tells about itself besides being there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberFacts {
    /// Orders the facts of one incarnation.
    #[serde(rename = "s")]
    pub sequence: u32,
    /// The configuration in force at the member.
    #[serde(rename = "c")]
    pub config_version: ConfigVersion,
    /// The leader the member knows.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<LeaderHint>,
    /// Whether the member takes requests.
    #[serde(rename = "r")]
    pub ready: bool,
}

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member.
    #[serde(rename = "i")]
    pub id: InstanceId,
    /// The start of the member; a higher one replaces a lower one.
    #[serde(rename = "n")]
    pub incarnation: Incarnation,
    /// How often the member refuted within this incarnation.
    #[serde(rename = "r")]
    pub refutation: u32,
    /// What is believed of the member.
    #[serde(rename = "s")]
    pub state: MemberState,
    /// Where the member listens for other instances.
    #[serde(rename = "p")]
    pub peer: SocketAddr,
    /// Where the member listens for callers, targets and operators.
    #[serde(rename = "h")]
    pub http: SocketAddr,
    /// The availability zone of the member.
    #[serde(rename = "z")]
    pub availability_zone: ZoneName,
    /// What the member tells about itself.
    #[serde(rename = "f")]
    pub facts: MemberFacts,
}

impl MemberRecord {
    /// Returns the numbers that order the beliefs about one member, highest last.
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

/// The identity of another instance and where it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRef {
    /// The instance.
    pub id: InstanceId,
    /// Where it listens for other instances.
    pub peer: SocketAddr,
}

/// The settings of one instance that membership needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// The instance itself.
    pub id: InstanceId,
    /// The start of this process, the wall time of the start in milliseconds.
    pub incarnation: Incarnation,
    /// Where the instance listens for other instances.
    pub peer: SocketAddr,
    /// Where the instance listens for callers, targets and operators.
    pub http: SocketAddr,
    /// The availability zone of the instance.
    pub availability_zone: ZoneName,
    /// The periods and limits of the protocol.
    pub timing: MembershipTiming,
}

/// The periods of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipTiming {
    /// The time between gossip rounds while there is news.
    pub gossip_period: std::time::Duration,
    /// The members that each gossip round goes to.
    pub gossip_fanout: usize,
    /// The time between probes.
    pub probe_period: std::time::Duration,
    /// The time a direct probe may take before others are asked to probe.
    pub ack_timeout: std::time::Duration,
    /// The probe periods, for each digit of the number of members, until a suspect is dead.
    pub suspicion_periods: u32,
    /// The time between anti-entropy sessions.
    pub sync_period: std::time::Duration,
    /// The time between retries of dead members and absent seeds.
    pub rejoin_period: std::time::Duration,
    /// The time a dead or departed member is remembered.
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
    /// The sender, first-hand.
    #[serde(rename = "f")]
    pub sender: MemberRecord,
    /// The highest configuration the sender has heard of.
    #[serde(rename = "c")]
    pub highest_config: ConfigVersion,
    /// What the message asks or answers.
    #[serde(rename = "b")]
    pub body: MembershipBody,
    /// News of other members.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<MemberRecord>,
}

/// What a message asks or answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipBody {
    /// Asks for an answer.
    #[serde(rename = "P")]
    Ping {
        /// Repeated in the answer.
        #[serde(rename = "s")]
        sequence: u32,
        /// The member meant; any instance at the address answers when it is not named.
        #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
        to: Option<InstanceId>,
    },
    /// Answers a ping.
    #[serde(rename = "A")]
    Ack {
        /// The sequence of the ping.
        #[serde(rename = "s")]
        sequence: u32,
    },
    /// Asks the receiver to ping another member.
    #[serde(rename = "Q")]
    PingRequest {
        /// Repeated in the answer.
        #[serde(rename = "s")]
        sequence: u32,
        /// The member to ping.
        #[serde(rename = "t")]
        to: InstanceId,
        /// Where it listens.
        #[serde(rename = "a")]
        address: SocketAddr,
    },
    /// Carries news only.
    #[serde(rename = "G")]
    Gossip,
    /// A message of anti-entropy.
    #[serde(rename = "Y")]
    Sync(SyncMessage<MemberRecord>),
}

/// What changed about a member.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum MemberChange {
    /// The member was not known.
    Joined,
    /// The member started anew.
    Restarted,
    /// The belief about the member changed.
    StateChanged,
    /// The member tells something new about itself.
    FactsChanged,
    /// The member was dead or gone for so long that it was forgotten.
    Forgotten,
}

/// A change of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEvent {
    /// The member.
    pub id: InstanceId,
    /// What is believed of it now.
    pub state: MemberState,
    /// What was believed of it before, unless it was not known.
    pub previous: Option<MemberState>,
    /// What changed.
    pub change: MemberChange,
    /// The member as it is known now.
    pub record: MemberRecord,
}

/// What the driver does for the membership controller.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Sends a message; it may be lost.
    Send {
        /// Where the receiver listens.
        to: SocketAddr,
        /// The message.
        message: MembershipMessage,
    },
    /// A member changed.
    Changed(MemberEvent),
    /// A higher configuration than any before was heard of; the instance should fetch it.
    ConfigHeard {
        /// The configuration.
        version: ConfigVersion,
        /// The instance that knows of it.
        source: PeerRef,
    },
    /// Another process with this identifier and a higher incarnation runs; this one must stop.
    Superseded {
        /// The incarnation of the other process.
        incarnation: Incarnation,
    },
}
