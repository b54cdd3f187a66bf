//! The frames that instances exchange, and their codec.

use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Serialize, de::DeserializeOwned};

/// The maximum size of the payload of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// The type of the payload of a frame; the numbers are part of the peer protocol.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[repr(u16)]
pub enum FrameKind {
    /// A message of the membership protocol.
    Membership = 1,
    /// A message of the target directory.
    Directory = 2,
    /// A message of the quorum log.
    Quorum = 3,
    /// A request to the control group, such as propose, read or renew.
    Control = 4,
    /// A request for the events of the peer.
    Events = 5,
    /// Updates of the targets of services, route sets and hubs.
    Registry = 6,
    /// A search that one instance runs on behalf of another.
    Search = 7,
    /// A request for tokens of a customer's quota.
    Quota = 8,
}

impl FrameKind {
    /// Returns the kind with this number, or `None` if the number is unknown, such as that of a kind
    /// added by a newer release.
    pub const fn from_number(number: u16) -> Option<Self> {
        match number {
            1 => Some(Self::Membership),
            2 => Some(Self::Directory),
            3 => Some(Self::Quorum),
            4 => Some(Self::Control),
            5 => Some(Self::Events),
            6 => Some(Self::Registry),
            7 => Some(Self::Search),
            8 => Some(Self::Quota),
            _ => None,
        }
    }

    /// Returns the number of the kind in the peer protocol.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

/// One message between instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerFrame {
    /// The type of the payload.
    pub kind: FrameKind,
    /// The encoded message.
    pub payload: Bytes,
}

/// The reason why a payload could not be encoded or decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("peer payload: {reason}")]
pub struct CodecError {
    /// The error of the codec.
    reason: String,
}

/// Encodes a message with field names, so that adjacent releases can exchange messages after fields
/// were added.
///
/// # Errors
///
/// Fails if the value cannot be represented, such as a map with keys of an unsupported type.
pub fn encode_payload<T: Serialize>(value: &T) -> Result<Bytes, CodecError> {
    rmp_serde::to_vec_named(value)
        .map(Bytes::from)
        .map_err(|error| CodecError { reason: error.to_string() })
}

/// Encodes a message without field names, for messages that are sent frequently. New fields may be
/// added only at the end and need a default; earlier releases refuse a message with more fields than
/// they know, so a message with new fields is encoded by [`encode_payload`].
///
/// # Errors
///
/// Fails under the same conditions as [`encode_payload`].
pub fn encode_compact<T: Serialize>(value: &T) -> Result<Bytes, CodecError> {
    rmp_serde::to_vec(value)
        .map(Bytes::from)
        .map_err(|error| CodecError { reason: error.to_string() })
}

/// Decodes a message; unknown fields are ignored if they are named.
///
/// # Errors
///
/// Fails if the payload is truncated or holds a message of another type.
pub fn decode_payload<T: DeserializeOwned>(payload: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(payload).map_err(|error| CodecError { reason: error.to_string() })
}
