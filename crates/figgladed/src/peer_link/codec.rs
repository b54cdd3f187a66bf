//! Turns schema types into the types of the transport and back.

use capnp::message::ReaderOptions;
use figglade::{Incarnation, WallTime, controller::event::HybridStamp, peer::MAX_FRAME_BYTES};

use super::{
    auth::{PROOF_BYTES, PeerIdentity},
    generated::peer_capnp::{Refusal, identity, stamp},
    types::CallRefusal,
};

/// The room for everything in a message but the payload, in bytes.
const ENVELOPE_BYTES: usize = 64 << 10;

/// The size of a word of a message, in bytes.
const WORD_BYTES: usize = 8;

/// The deepest nesting of a message.
const MAX_NESTING: i32 = 16;

/// The longest reason of a refusal, in bytes.
const MAX_REASON_BYTES: usize = 512;

/// Returns the bounds of a message that is read.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some((MAX_FRAME_BYTES + ENVELOPE_BYTES) / WORD_BYTES));
    options.nesting_limit(MAX_NESTING);
    options
}

/// Reads what the other side says of itself.
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

/// Writes what this side says of itself.
pub(super) fn write_identity(mut builder: identity::Builder<'_>, identity: &PeerIdentity) {
    builder.set_instance(identity.id.as_str());
    builder.set_incarnation(identity.incarnation.get());
    builder.set_address(identity.address.to_string().as_str());
    builder.set_nonce(&identity.nonce);
}

/// Reads a stamp.
pub(super) fn read_stamp(reader: stamp::Reader<'_>) -> HybridStamp {
    HybridStamp { wall: WallTime::from_millis(reader.get_wall_ms()), logical: reader.get_logical() }
}

/// Writes a stamp.
pub(super) fn write_stamp(mut builder: stamp::Builder<'_>, stamp: HybridStamp) {
    builder.set_wall_ms(stamp.wall.as_millis());
    builder.set_logical(stamp.logical);
}

/// Returns the number and the reason that stand for a refusal in a message.
pub(super) fn encode_refusal(refusal: &CallRefusal) -> (Refusal, &str) {
    match refusal {
        CallRefusal::UnknownKind => (Refusal::UnknownKind, ""),
        CallRefusal::Busy => (Refusal::Busy, ""),
        CallRefusal::Refused { reason } => {
            (Refusal::Refused, &reason[..reason.floor_char_boundary(MAX_REASON_BYTES)])
        }
    }
}

/// Returns the refusal that a message holds, or `None` when it holds an answer.
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
