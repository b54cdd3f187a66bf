//! Identifiers and counts, each a type of its own.

use std::{str::FromStr, sync::Arc};

use derive_more::{Display, Error, From, FromStr as DeriveFromStr, Into};
use serde::{Deserialize, Deserializer, Serialize};
use uuid::Uuid;

/// The longest accepted textual identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// The reason a textual identifier was refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum IdError {
    /// The text was empty.
    #[display("must not be empty")]
    Empty,
    /// The text was longer than [`MAX_ID_BYTES`].
    #[display("must have at most {MAX_ID_BYTES} bytes, has {length}")]
    TooLong {
        /// The length found, in bytes.
        length: usize,
    },
    /// The text held a character outside the allowed set.
    #[display("may hold ASCII letters, digits and . _ : - only, found {found:?}")]
    BadCharacter {
        /// The first character refused.
        found: char,
    },
}

/// Checks that `text` can serve as an identifier.
fn check_text(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong { length: text.len() });
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    match text.chars().find(|c| !allowed(c)) {
        Some(found) => Err(IdError::BadCharacter { found }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_text(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

text_id! {
    /// Names one instance of the tier.
    InstanceId
}
text_id! {
    /// Names one target process.
    TargetId
}
text_id! {
    /// Names one searchable data set.
    IndexName
}
text_id! {
    /// Names one availability zone.
    ZoneName
}
text_id! {
    /// Names one service: targets that answer alike.
    ServiceName
}
text_id! {
    /// Names one configuration change, chosen by the operator for safe resending.
    ChangeId
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, DeriveFromStr, From, Into, PartialEq, Eq,
            PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($repr);

        impl $name {
            /// Wraps a plain number.
            pub const fn new(value: $repr) -> Self {
                Self(value)
            }

            /// Returns the plain number.
            pub const fn get(self) -> $repr {
                self.0
            }
        }
    };
}

number_id! {
    /// Numbers a shard within one partition epoch of an index, from zero.
    ShardId, u32
}
number_id! {
    /// Numbers a version of an index; it rises with each snapshot.
    IndexVersion, u64
}
number_id! {
    /// Numbers a partitioning of an index; it rises with each repartitioning.
    PartitionEpoch, u64
}
number_id! {
    /// Numbers the starts of one process; a higher one replaces a lower one.
    Incarnation, u64
}
number_id! {
    /// Numbers the accepted configurations; it only rises.
    ConfigVersion, u64
}
number_id! {
    /// Numbers the route sets of an operator; the highest is in force.
    RouteSetVersion, u64
}
number_id! {
    /// The processor time of an instance, in thousandths of a core.
    CoreShare, u32
}
number_id! {
    /// Identifies one sending of one request to one target.
    AttemptId, u128
}

/// Identifies one request of a caller.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    DeriveFromStr,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(Uuid);

impl RequestId {
    /// Builds a time-ordered identifier from the wall time and 10 random bytes.
    pub fn from_parts(wall: crate::WallTime, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(wall.as_millis(), &random).into_uuid())
    }

    /// Returns the wall time the identifier was made at, or `None` when it is not a version 7 UUID.
    pub fn created_at(self) -> Option<crate::WallTime> {
        if self.0.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = self.0.get_timestamp()?.to_unix();
        Some(crate::WallTime::from_millis(seconds * 1_000 + u64::from(nanos) / 1_000_000))
    }

    /// Returns the 16 bytes of the identifier.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }
}
