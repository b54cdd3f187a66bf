//! Conversions between schema types and the types of the transport.

use capnp::message::ReaderOptions;
use figglade::{Incarnation, WallTime, controller::event::HybridStamp, peer::MAX_FRAME_BYTES};

use super::{
    auth::{PROOF_BYTES, PeerIdentity},
    generated::peer_capnp::{Refusal, identity, stamp},
    types::CallRefusal,
};

/// The size allowance for everything in a message except the payload, in bytes.
const ENVELOPE_BYTES: usize = 64 << 10;

/// The size of a Cap'n Proto word, in bytes.
const WORD_BYTES: usize = 8;

/// The maximum nesting depth of a message.
const MAX_NESTING: i32 = 16;

/// The maximum length of a refusal reason, in bytes; longer reasons are truncated.
const MAX_REASON_BYTES: usize = 512;

/// Returns the size and nesting limits for reading messages.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some((MAX_FRAME_BYTES + ENVELOPE_BYTES) / WORD_BYTES));
    options.nesting_limit(MAX_NESTING);
    options
}

/// Decodes the identity that a peer declares.
pub(super) fn read_identity(reader: identity::Reader<'_>) -> capnp::Result<PeerIdentity> {
    let malformed = |field: &str| capnp::Error::failed(format!("malformed {field}"));
    let nonce: [u8; PROOF_BYTES] =
        reader.get_nonce()?.try_into().map_err(|_| malformed("nonce"))?;
    Ok(PeerIdentity {
        id: reader.get_instance()?.to_str()?.parse().map_err(|_| malformed("instance"))?,
        incarnation: Incarnation::new(reader.get_incarnation()),
        address: reader.get_address()?.to_str()?.parse().map_err(|_| malformed("address"))?,
        nonce,
    })
}

/// Encodes an identity.
pub(super) fn write_identity(mut builder: identity::Builder<'_>, identity: &PeerIdentity) {
    builder.set_instance(identity.id.as_str());
    builder.set_incarnation(identity.incarnation.get());
    builder.set_address(identity.address.to_string().as_str());
    builder.set_nonce(&identity.nonce);
}

/// Decodes a stamp.
pub(super) fn read_stamp(reader: stamp::Reader<'_>) -> HybridStamp {
    HybridStamp { wall: WallTime::from_millis(reader.get_wall_ms()), logical: reader.get_logical() }
}

/// Encodes a stamp.
pub(super) fn write_stamp(mut builder: stamp::Builder<'_>, stamp: HybridStamp) {
    builder.set_wall_ms(stamp.wall.as_millis());
    builder.set_logical(stamp.logical);
}

/// Encodes a refusal as its schema code and its reason.
pub(super) fn encode_refusal(refusal: &CallRefusal) -> (Refusal, &str) {
    match refusal {
        CallRefusal::UnknownKind => (Refusal::UnknownKind, ""),
        CallRefusal::Busy => (Refusal::Busy, ""),
        CallRefusal::Refused { reason } => {
            (Refusal::Refused, &reason[..reason.floor_char_boundary(MAX_REASON_BYTES)])
        }
    }
}

/// Decodes a refusal; returns `None` when the message holds an answer.
pub(super) fn decode_refusal(refusal: Refusal, reason: &str) -> Option<CallRefusal> {
    match refusal {
        Refusal::None => None,
        Refusal::UnknownKind => Some(CallRefusal::UnknownKind),
        Refusal::Busy => Some(CallRefusal::Busy),
        Refusal::UnsupportedVersion
        | Refusal::BadRequest
        | Refusal::BadProof
        | Refusal::Refused => Some(CallRefusal::Refused { reason: reason.to_owned() }),
    }
}
