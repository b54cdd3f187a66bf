//! Commands of the ledger and their versioned encoding.

use bytes::Bytes;
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use crate::{
    Incarnation, InstanceId, RequestId, WallTime,
    border::{ActionRecord, BodyDigest, ClaimRequest},
    controller::{
        evacuation::EvacuationOrder, fleet::FleetDocument, ledger::ManifestReport,
        route_set::RoutePut, share::HolderSet,
    },
    peer::{CodecError, decode_payload, encode_payload},
};

/// The highest version of the commands. It must be raised whenever a release adds a command or
/// changes the effect of one, so that a member with an older release stops instead of computing
/// another state. A command is encoded with the lowest version that supports it, so that members of
/// an earlier release still apply all others.
pub const COMMAND_VERSION: u16 = 3;
/// The version of the commands that precede [`LedgerCommand::SetEvacuation`].
const BASE_COMMAND_VERSION: u16 = 2;
/// The maximum size of an encoded command, in bytes.
pub const MAX_COMMAND_BYTES: usize = 768 * 1024;
/// The maximum difference between the wall times of a command and the leader, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// A command that changes the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Replaces the configuration of the fleet.
    PutConfig(ConfigPut),
    /// Claims the right to run an action.
    BeginClaim(ClaimRequest),
    /// Records the outcome of an action as its holder reports it.
    FinishClaim(ClaimFinish),
    /// Records that an action that nobody claimed will never run.
    RefuseClaim(ClaimRefusal),
    /// Ends the open claims of earlier incarnations of an instance as unknown.
    AbandonClaims(ClaimAbandon),
    /// Records the shards and document counts that targets announced for snapshots.
    RecordManifests(Vec<ManifestReport>),
    /// Replaces the set of instances that share the connection limits of the targets.
    SetHolders(HolderSet),
    /// Replaces the route set with a newer one.
    PutRoutes(RoutePut),
    /// Starts or finishes the evacuation of a zone.
    SetEvacuation(EvacuationOrder),
}

/// A configuration change by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigPut {
    /// The validated document.
    pub document: FleetDocument,
    /// The wall time at the instance.
    pub wall: WallTime,
    /// The instance that accepted the document.
    pub instance: InstanceId,
}

/// The outcome of an action as its holder reports it, or the refusal of an action that nobody
/// claimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimFinish {
    /// The request.
    pub request: RequestId,
    /// The digest of its body.
    pub digest: BodyDigest,
    /// The outcome of the action.
    pub record: ActionRecord,
    /// The reporting instance.
    pub instance: InstanceId,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
    /// The wall time at the instance.
    pub wall: WallTime,
}

/// The refusal of an action by an instance for a copy of the request that does not hold the claim.
/// Another copy at the same instance may hold it, so a refusal never ends an open claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRefusal {
    /// The request.
    pub request: RequestId,
    /// The digest of its body.
    pub digest: BodyDigest,
    /// Why the action was refused.
    pub reason: String,
    /// The wall time at the instance.
    pub wall: WallTime,
}

/// Ends the claims that earlier incarnations of an instance left open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAbandon {
    /// The instance.
    pub instance: InstanceId,
    /// Claims of incarnations before this one are ended.
    pub before_incarnation: Incarnation,
    /// The wall time at the reporting instance.
    pub wall: WallTime,
}

/// A command as it is stored in the log.
#[derive(Serialize, Deserialize)]
struct CommandEnvelope {
    /// The lowest version that supports the command.
    version: u16,
    /// The encoded command.
    command: Bytes,
}

/// The reason a command cannot be encoded or decoded.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum CommandError {
    /// A newer release encoded the command.
    #[display("command version {version} is newer than the supported version {COMMAND_VERSION}")]
    #[from(ignore)]
    TooNew {
        /// The version found.
        version: u16,
    },
    /// The command is larger than [`MAX_COMMAND_BYTES`].
    #[display("command is too large: {length} bytes, at most {MAX_COMMAND_BYTES} are allowed")]
    #[from(ignore)]
    TooLarge {
        /// The length found, in bytes.
        length: usize,
    },
    /// The payload codec failed.
    #[display("{_0}")]
    Codec(CodecError),
}

impl LedgerCommand {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// Fails when the command is larger than [`MAX_COMMAND_BYTES`].
    pub fn encode(&self) -> Result<Bytes, CommandError> {
        let command = encode_payload(self)?;
        let bytes = encode_payload(&CommandEnvelope { version: self.version(), command })?;
        check_length(bytes.len())?;
        Ok(bytes)
    }

    /// Decodes a command. A leader decodes each command before it appends it to the log, because a
    /// command that the members cannot decode stops all of them.
    ///
    /// # Errors
    ///
    /// Fails when the command is too large, malformed or encoded by a newer release.
    pub fn decode(bytes: &[u8]) -> Result<Self, CommandError> {
        check_length(bytes.len())?;
        let envelope: CommandEnvelope = decode_payload(bytes)?;
        if envelope.version > COMMAND_VERSION {
            return Err(CommandError::TooNew { version: envelope.version });
        }
        Ok(decode_payload(&envelope.command)?)
    }

    /// Returns the lowest version that supports the command.
    const fn version(&self) -> u16 {
        match self {
            Self::PutConfig(_)
            | Self::BeginClaim(_)
            | Self::FinishClaim(_)
            | Self::RefuseClaim(_)
            | Self::AbandonClaims(_)
            | Self::RecordManifests(_)
            | Self::SetHolders(_)
            | Self::PutRoutes(_) => BASE_COMMAND_VERSION,
            Self::SetEvacuation(_) => COMMAND_VERSION,
        }
    }

    /// Returns the wall time of the command, if it advances the clock of the ledger.
    pub const fn wall(&self) -> Option<WallTime> {
        match self {
            Self::PutConfig(put) => Some(put.wall),
            Self::BeginClaim(claim) => Some(claim.wall),
            Self::FinishClaim(finish) => Some(finish.wall),
            Self::RefuseClaim(refusal) => Some(refusal.wall),
            Self::AbandonClaims(abandon) => Some(abandon.wall),
            // None of these depends on wall time. A route set or an evacuation must be accepted
            // even if clocks step while operators work.
            Self::RecordManifests(_)
            | Self::SetHolders(_)
            | Self::PutRoutes(_)
            | Self::SetEvacuation(_) => None,
        }
    }

    /// Returns whether the wall time of the command is within [`MAX_CLOCK_SKEW_MS`] of that of the
    /// leader. A leader refuses other commands, because a single clock that runs ahead would
    /// advance the claim window past the requests of all instances.
    pub const fn has_plausible_wall(&self, leader_wall: WallTime) -> bool {
        match self.wall() {
            Some(wall) => wall.as_millis().abs_diff(leader_wall.as_millis()) <= MAX_CLOCK_SKEW_MS,
            None => true,
        }
    }
}

/// Checks an encoded length against [`MAX_COMMAND_BYTES`].
const fn check_length(length: usize) -> Result<(), CommandError> {
    if length > MAX_COMMAND_BYTES { Err(CommandError::TooLarge { length }) } else { Ok(()) }
}
