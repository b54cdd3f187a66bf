//! The messages about quotas between instances and hubs, and between hubs.

use std::net::SocketAddr;

use figglade::{
    CustomerName,
    controller::{
        quota::{RefillAsk, RefillGrant, TokenStamp},
        route_set::RouteSetVersion,
    },
    peer::{CodecError, FrameKind, PeerFrame, decode_payload, encode_compact},
};
use serde::{Deserialize, Serialize};

/// A request of an instance for a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeRequest {
    /// The customer.
    pub customer: CustomerName,
    /// The route set under which the customer has a quota.
    pub routes: RouteSetVersion,
}

/// An unused token that an instance returns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenReturn {
    /// The customer.
    pub customer: CustomerName,
    /// When the hub gave it.
    pub stamp: TokenStamp,
}

/// A message to a hub.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// An instance asks for a token.
    Take(TakeRequest),
    /// An instance returns a token; there is no answer.
    Return(TokenReturn),
    /// A hub asks the granter for the tokens missing from its reserves.
    Refill(Vec<RefillAsk>),
}

/// The answer of a hub.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaReply {
    /// The token for an instance.
    Taken {
        /// When the hub gave it.
        stamp: TokenStamp,
    },
    /// The quota of the customer is used up.
    Exhausted {
        /// The milliseconds until there is a token again.
        wait_ms: u32,
    },
    /// The hub cannot tell: its reserve is empty and no granter answers.
    Unavailable,
    /// The customer has no quota in the newest route set.
    Unlimited,
    /// The tokens for a hub.
    Refilled(Vec<RefillGrant>),
    /// The hub may not grant tokens.
    NotGranter {
        /// The hub whose member leads, if known.
        granter: Option<SocketAddr>,
    },
}

impl QuotaMessage {
    /// Encodes the message for a link.
    ///
    /// # Errors
    ///
    /// Fails when the codec refuses a value.
    pub fn to_frame(&self) -> Result<PeerFrame, CodecError> {
        Ok(PeerFrame { kind: FrameKind::Quota, payload: encode_compact(self)? })
    }
}

impl QuotaReply {
    /// Encodes the answer for a link.
    ///
    /// # Errors
    ///
    /// Fails when the codec refuses a value.
    pub fn to_frame(&self) -> Result<PeerFrame, CodecError> {
        Ok(PeerFrame { kind: FrameKind::Quota, payload: encode_compact(self)? })
    }

    /// Decodes an answer.
    ///
    /// # Errors
    ///
    /// Fails when the payload is not an answer about quotas.
    pub fn from_frame(frame: &PeerFrame) -> Result<Self, CodecError> {
        decode_payload(&frame.payload)
    }
}
