//! The route set that the quorum log keeps.

use std::io::{Read, Write};

use bytes::Bytes;
use derive_more::{Display, Error};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};

use crate::{InstanceId, RouteSetVersion, WallTime};

/// The largest document of a route set, in bytes: with its envelope it fits one entry of the log.
pub const MAX_ROUTE_DOCUMENT_BYTES: usize = 448 << 10;

/// A route set put by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutePut {
    /// What the operator sent.
    pub document: RouteDocument,
    /// The wall time at the instance that took it.
    pub wall: WallTime,
    /// That instance.
    pub instance: InstanceId,
}

/// A route set as the operator sent it, packed: it goes to every member and instance, and names the
/// same services again and again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteDocument {
    /// The version that the document names.
    pub version: RouteSetVersion,
    /// The document, packed or not.
    text: Bytes,
    /// Whether it is packed; a log of an earlier release holds plain ones.
    #[serde(default)]
    is_packed: bool,
}

/// The reason a packed document cannot be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("the packed route set {version} cannot be read: {reason}")]
pub struct UnpackError {
    /// The version.
    version: RouteSetVersion,
    /// What the codec said.
    reason: String,
}

impl RouteDocument {
    /// Packs the text of a document.
    pub fn pack(version: RouteSetVersion, text: &[u8]) -> Self {
        let mut packer = DeflateEncoder::new(Vec::new(), Compression::fast());
        // Writing to memory does not fail; if it did, the plain text would serve as well.
        match packer.write_all(text).and_then(|()| packer.finish()) {
            Ok(packed) => Self { version, text: Bytes::from(packed), is_packed: true },
            Err(_) => Self { version, text: Bytes::copy_from_slice(text), is_packed: false },
        }
    }

    /// Returns the text as the operator sent it.
    ///
    /// # Errors
    ///
    /// Fails when the packed form is damaged or holds more than [`MAX_ROUTE_DOCUMENT_BYTES`].
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
            return Err(fail(format!("it has at most {MAX_ROUTE_DOCUMENT_BYTES} bytes")));
        }
        Ok(Bytes::from(text))
    }

    /// Returns the bytes that it takes on the disk and on links.
    pub const fn packed_len(&self) -> usize {
        self.text.len()
    }
}

/// The answer to a route set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteReply {
    /// The version in force.
    pub in_force: RouteSetVersion,
    /// Whether the document replaced an older one.
    pub is_adopted: bool,
}

/// The route set in force: the highest version that was put.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentRouteSet {
    current: Option<RouteDocument>,
}

impl CurrentRouteSet {
    /// Takes a document; one that is not newer than the one held changes nothing.
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
