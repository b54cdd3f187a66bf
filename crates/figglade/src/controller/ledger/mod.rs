//! The replicated state machine that applies the quorum log: configuration, claims, manifests,
//! share holders, route sets and evacuated zones.
//!
//! Every member applies the same commands in the same order and must reach the same state. The code
//! is therefore deterministic: it reads no clock, generates no random numbers and does not depend
//! on the iteration order of hash tables.

mod buckets;
mod claim_table;
mod claims;
mod command;
mod config;
mod manifest_set;
mod manifests;

use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    RequestId, WallTime,
    controller::{
        evacuation::{EvacuationReply, EvacuationSet},
        fleet::FleetConfig,
        quorum::LogIndex,
        route_set::{CurrentRouteSet, RouteDocument, RouteReply},
        share::HolderSet,
    },
};

use self::{
    claim_table::{ClaimLimits, ClaimTable},
    config::ConfigState,
};

pub use self::{
    buckets::{BucketMove, CLAIM_BUCKETS, ClaimBucket, ClaimBuckets, ClaimGroup},
    claims::{
        CLAIM_GRACE_MS, ClaimHolder, ClaimReply, ClaimStatus, FinishReply, MAX_CLAIMS,
        MAX_FUTURE_MS, MAX_FUTURE_REFUSALS, MAX_RECORD_REASON_BYTES, MAX_RESULT_BYTES,
        MAX_TOTAL_RESULT_BYTES,
    },
    command::{
        COMMAND_VERSION, ClaimAbandon, ClaimFinish, ClaimRefusal, CommandError, ConfigPut,
        LedgerCommand, MAX_CLOCK_SKEW_MS, MAX_COMMAND_BYTES,
    },
    config::{ConfigChange, ConfigOutcome, MAX_HISTORY_CHANGES, MAX_REMEMBERED_CHANGES},
    manifest_set::ManifestSet,
    manifests::{
        MAX_EPOCHS_PER_INDEX, MAX_INDEXES, MAX_REPORTS_PER_COMMAND, MAX_SHARD_DOCUMENTS,
        MAX_SHARDS_PER_INDEX, MAX_TOTAL_SHARDS, MAX_VERSIONS_PER_EPOCH, Manifest, ManifestRefusal,
        ManifestReply, ManifestReport, ManifestRevision, ManifestUpdates, SnapshotKey,
    },
};

/// The highest version of the encoded state. It must be raised whenever the meaning of the state
/// changes. A state is encoded with the lowest version that supports it, so that members of an
/// earlier release still decode a state without anything newer.
pub const STATE_VERSION: u16 = 3;
/// The version of a state without evacuations.
const BASE_STATE_VERSION: u16 = 2;
/// The maximum number of instances in a holder set.
pub const MAX_HOLDERS: usize = 10_000;

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The reply to a configuration change.
    Config(ConfigOutcome),
    /// The reply to a claim.
    Claim(ClaimReply),
    /// The reply to the outcome or the refusal of an action.
    Finish(FinishReply),
    /// The reply to the abandonment of claims.
    Abandoned {
        /// The number of claims that were ended as unknown.
        claims: u64,
    },
    /// The reply to manifest reports.
    Manifests(ManifestReply),
    /// The reply to a holder set.
    Holders {
        /// Whether the set replaced the previous one.
        accepted: bool,
        /// The epoch of the holder set in force.
        epoch: u64,
    },
    /// The reply to a route set.
    Routes(RouteReply),
    /// The reply to the start or finish of an evacuation.
    Evacuation(EvacuationReply),
}

/// The reason the ledger stopped. A member whose ledger stopped must not participate further,
/// because its state would diverge from that of the other members.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum LedgerError {
    /// This release cannot decode a command.
    #[display("cannot decode the command at index {index}: {error}")]
    Unreadable {
        /// The index of the command.
        index: LogIndex,
        /// Why it cannot be decoded.
        error: CommandError,
    },
    /// A command was applied a second time or out of order.
    #[display("command at index {index} is out of order: index {applied} is already applied")]
    OutOfOrder {
        /// The index of the command.
        index: LogIndex,
        /// The last index applied.
        applied: LogIndex,
    },
    /// An earlier command stopped the ledger.
    #[display("the ledger was stopped by the command at index {index}")]
    Stopped {
        /// The index of that command.
        index: LogIndex,
    },
}

/// The reason a state could not be encoded or decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StateError {
    /// A newer release encoded the state.
    #[display("state version {version} is newer than the supported version {STATE_VERSION}")]
    TooNew {
        /// The version found.
        version: u16,
    },
    /// The state is malformed, or a value cannot be encoded.
    #[display("cannot encode or decode the ledger state: {reason}")]
    Codec {
        /// The error of the codec.
        reason: String,
    },
}

impl StateError {
    /// Builds the error from one of the codec.
    fn from_codec(error: impl std::error::Error) -> Self {
        Self::Codec { reason: error.to_string() }
    }
}

/// The state that every member computes from the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The last index applied.
    applied: LogIndex,
    /// The configuration and its history.
    config: ConfigState,
    /// The claims on actions and their outcomes.
    claims: ClaimTable,
    /// The manifests of snapshots.
    manifests: ManifestSet,
    /// The instances that hold shares.
    holders: HolderSet,
    /// The route set.
    #[serde(default)]
    routes: CurrentRouteSet,
    /// The evacuated zones.
    #[serde(default, skip_serializing_if = "EvacuationSet::is_unused")]
    evacuations: EvacuationSet,
    /// The index of the command that stopped the ledger, if one did.
    #[serde(skip)]
    stopped: Option<LogIndex>,
}

impl Ledger {
    /// Applies the command of the entry at `index`.
    ///
    /// # Errors
    ///
    /// Fails when this release cannot decode the command or when it is out of order. The ledger
    /// then rejects every later command, and the member must stop.
    pub fn apply(&mut self, index: LogIndex, command: &[u8]) -> Result<LedgerReply, LedgerError> {
        if let Some(index) = self.stopped {
            return Err(LedgerError::Stopped { index });
        }
        if index <= self.applied {
            self.stopped = Some(index);
            return Err(LedgerError::OutOfOrder { index, applied: self.applied });
        }
        let command = LedgerCommand::decode(command).map_err(|error| {
            self.stopped = Some(index);
            LedgerError::Unreadable { index, error }
        })?;
        self.applied = index;
        Ok(self.apply_command(command))
    }

    /// Applies a decoded command.
    fn apply_command(&mut self, command: LedgerCommand) -> LedgerReply {
        let limits = self.claim_limits();
        if let Some(wall) = command.wall() {
            self.claims.advance(wall, limits);
        }
        match command {
            LedgerCommand::PutConfig(put) => LedgerReply::Config(self.config.put(put)),
            LedgerCommand::BeginClaim(claim) => {
                LedgerReply::Claim(self.claims.begin(claim, limits))
            }
            LedgerCommand::FinishClaim(finish) => LedgerReply::Finish(self.claims.finish(finish)),
            LedgerCommand::RefuseClaim(refusal) => LedgerReply::Finish(self.claims.refuse(refusal)),
            LedgerCommand::AbandonClaims(abandon) => {
                LedgerReply::Abandoned { claims: self.claims.abandon(&abandon) }
            }
            LedgerCommand::RecordManifests(reports) => {
                LedgerReply::Manifests(self.manifests.record(&reports))
            }
            LedgerCommand::SetHolders(holders) => self.set_holders(holders),
            LedgerCommand::PutRoutes(put) => LedgerReply::Routes(self.routes.put(put.document)),
            LedgerCommand::SetEvacuation(order) => {
                LedgerReply::Evacuation(self.evacuations.apply(order))
            }
        }
    }

    /// Replaces the holders if the epoch of the set directly follows the one in force.
    fn set_holders(&mut self, holders: HolderSet) -> LedgerReply {
        let follows = holders.epoch == self.holders.epoch.next();
        let accepted = follows && holders.holders.len() <= MAX_HOLDERS;
        if accepted {
            self.holders = holders;
        }
        LedgerReply::Holders { accepted, epoch: self.holders.epoch.get() }
    }

    /// Returns the limits that the latest configuration sets for claims.
    fn claim_limits(&self) -> ClaimLimits {
        let defaults = &self.config().defaults;
        ClaimLimits {
            window_ms: defaults.claim_window_ms,
            max_deadline_ms: defaults.max_deadline_ms,
        }
    }

    /// Encodes the state for a snapshot, prefixed by its version.
    ///
    /// # Errors
    ///
    /// Fails when the codec cannot encode a value.
    pub fn encode_state(&self) -> Result<Bytes, StateError> {
        let version = if self.evacuations.is_unused() { BASE_STATE_VERSION } else { STATE_VERSION };
        let mut state = version.to_be_bytes().to_vec();
        rmp_serde::encode::write_named(&mut state, self).map_err(StateError::from_codec)?;
        Ok(Bytes::from(state))
    }

    /// Decodes the state of a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the state is malformed or was encoded by a newer release.
    pub fn decode_state(bytes: &[u8]) -> Result<Self, StateError> {
        let Some((version, state)) = bytes.split_first_chunk() else {
            return Err(StateError::Codec { reason: "the version is missing".to_owned() });
        };
        let version = u16::from_be_bytes(*version);
        if version > STATE_VERSION {
            return Err(StateError::TooNew { version });
        }
        rmp_serde::from_slice(state).map_err(StateError::from_codec)
    }

    /// Returns the last index applied.
    pub const fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the latest configuration.
    pub const fn config(&self) -> &Arc<FleetConfig> {
        self.config.current()
    }

    /// Returns the latest changes of the configuration, oldest first, at most
    /// [`MAX_HISTORY_CHANGES`].
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &ConfigChange> {
        self.config.history()
    }

    /// Returns the manifests.
    pub const fn manifests(&self) -> &ManifestSet {
        &self.manifests
    }

    /// Returns the share holders.
    pub const fn holders(&self) -> &HolderSet {
        &self.holders
    }

    /// Returns the route set in force.
    pub const fn routes(&self) -> Option<&RouteDocument> {
        self.routes.current()
    }

    /// Returns the evacuated zones.
    pub const fn evacuations(&self) -> &EvacuationSet {
        &self.evacuations
    }

    /// Returns the status of the claim of a request.
    pub fn claim_status(&self, request: RequestId) -> Option<&ClaimStatus> {
        self.claims.status(request)
    }

    /// Returns the open claims, oldest first.
    pub fn open_claims(&self) -> impl Iterator<Item = (RequestId, &ClaimHolder)> {
        self.claims.open()
    }

    /// Returns the number of claims in the table.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the clock of the ledger: the highest wall time of any applied command.
    pub const fn clock(&self) -> WallTime {
        self.claims.clock()
    }
}
