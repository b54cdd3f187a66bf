//! The route set document that the quorum log stores.

use std::io::{Read, Write};

use bytes::Bytes;
use derive_more::{Display, Error};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};

use crate::{InstanceId, RouteSetVersion, WallTime};

/// The maximum size of a route set document, in bytes; with its envelope it fits into one log
/// entry.
pub const MAX_ROUTE_DOCUMENT_BYTES: usize = 448 << 10;

/// A route set put by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutePut {
    /// The document that the operator sent.
    pub document: RouteDocument,
    /// The wall time at the instance that received it.
    pub wall: WallTime,
    /// The instance that received it.
    pub instance: InstanceId,
}

/// A route set as the operator sent it. It is compressed, because it is sent to every member and
/// instance and repeats the same service names many times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteDocument {
    /// The version stated in the document.
    pub version: RouteSetVersion,
    /// The document, compressed if `is_packed` is set.
    text: Bytes,
    /// Whether the document is compressed; logs of earlier releases hold uncompressed ones.
    #[serde(default)]
    is_packed: bool,
}

/// The reason why a compressed document cannot be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("cannot decompress route set {version}: {reason}")]
pub struct UnpackError {
    version: RouteSetVersion,
    /// The error of the decoder.
    reason: String,
}

impl RouteDocument {
    /// Compresses the text of a document.
    pub fn pack(version: RouteSetVersion, text: &[u8]) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        // Writing to memory does not fail; if it does, the document is stored uncompressed.
        match encoder.write_all(text).and_then(|()| encoder.finish()) {
            Ok(packed) => Self { version, text: Bytes::from(packed), is_packed: true },
            Err(_) => Self { version, text: Bytes::copy_from_slice(text), is_packed: false },
        }
    }

    /// Returns the text as the operator sent it.
    ///
    /// # Errors
    ///
    /// Fails if the compressed data is damaged or expands to more than
    /// [`MAX_ROUTE_DOCUMENT_BYTES`].
    pub fn unpack(&self) -> Result<Bytes, UnpackError> {
        if !self.is_packed {
            return Ok(self.text.clone());
        }
        let fail = |reason: String| UnpackError { version: self.version, reason };
        let mut text = Vec::new();
        let bound = MAX_ROUTE_DOCUMENT_BYTES as u64 + 1;
        let mut reader = DeflateDecoder::new(&self.text[..]).take(bound);
        reader.read_to_end(&mut text).map_err(|error| fail(error.to_string()))?;
        if text.len() > MAX_ROUTE_DOCUMENT_BYTES {
            return Err(fail(format!("it must have at most {MAX_ROUTE_DOCUMENT_BYTES} bytes")));
        }
        Ok(Bytes::from(text))
    }

    /// Returns the size of the document in the log and on peer links, in bytes.
    pub const fn packed_len(&self) -> usize {
        self.text.len()
    }
}

/// The reply to a route set put by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteReply {
    /// The version in force.
    pub in_force: RouteSetVersion,
    /// Whether the document was put into force; false if its version is not the highest.
    pub is_adopted: bool,
}

/// The route set in force: the highest version put so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentRouteSet {
    current: Option<RouteDocument>,
}

impl CurrentRouteSet {
    /// Replaces the document in force if `document` has a higher version; otherwise changes
    /// nothing.
    pub fn put(&mut self, document: RouteDocument) -> RouteReply {
        let held = self.current.as_ref().map(|held| held.version);
        let is_adopted = held.is_none_or(|held| document.version > held);
        let in_force = if is_adopted { document.version } else { held.unwrap_or_default() };
        if is_adopted {
            self.current = Some(document);
        }
        RouteReply { in_force, is_adopted }
    }

    /// Returns the document in force.
    pub const fn current(&self) -> Option<&RouteDocument> {
        self.current.as_ref()
    }
}
