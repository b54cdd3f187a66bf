//! Newtypes for identifiers and counts.

use std::{str::FromStr, sync::Arc};

use derive_more::{Display, Error, From, FromStr as DeriveFromStr, Into};
use serde::{Deserialize, Deserializer, Serialize};
use uuid::Uuid;

/// The maximum length of a textual identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// The reason why a textual identifier was refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty.
    #[display("must not be empty")]
    Empty,
    /// The text is longer than [`MAX_ID_BYTES`].
    #[display("must have at most {MAX_ID_BYTES} bytes, has {length}")]
    TooLong {
        /// The length of the text, in bytes.
        length: usize,
    },
    /// The text contains a character outside the allowed set.
    #[display("may contain only ASCII letters, digits and . _ : -, found {found:?}")]
    BadCharacter {
        /// The first refused character.
        found: char,
    },
}

/// Checks that `text` is a valid identifier.
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

            /// Returns the placeholder for an identifier that is not known.
            pub fn unknown() -> Self {
                Self(Arc::from("unknown"))
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
    /// Identifies one instance of the tier.
    InstanceId
}
text_id! {
    /// Identifies one target process.
    TargetId
}
text_id! {
    /// Identifies one searchable data set.
    IndexName
}
text_id! {
    /// Identifies one availability zone.
    ZoneName
}
text_id! {
    /// Identifies one service: a set of interchangeable targets.
    ServiceName
}
text_id! {
    /// Identifies one customer of the callers.
    CustomerName
}
text_id! {
    /// Identifies one configuration change; chosen by the operator, so that the change can be
    /// resent safely.
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
    /// The number of a shard within one partition epoch of an index, starting at zero.
    ShardId, u32
}
number_id! {
    /// The version of an index; it increases with each snapshot.
    IndexVersion, u64
}
number_id! {
    /// The number of a partitioning of an index; it increases with each repartitioning.
    PartitionEpoch, u64
}
number_id! {
    /// The number of a start of one process; a higher one replaces a lower one.
    Incarnation, u64
}
number_id! {
    /// The version of an accepted configuration; it only increases.
    ConfigVersion, u64
}
number_id! {
    /// The version of a route set; the highest is in force.
    RouteSetVersion, u64
}
number_id! {
    /// The CPU capacity of an instance, in thousandths of a core.
    CoreShare, u32
}
number_id! {
    /// An amount of memory, in bytes.
    MemorySize, u64
}
number_id! {
    /// A number of file descriptors that a process may have open.
    FileLimit, u32
}
number_id! {
    /// Identifies one attempt: the transmission of one request to one target.
    AttemptId, u128
}

/// A number of requests per second.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    DeriveFromStr,
    From,
    Into,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{_0}/s")]
#[serde(transparent)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Wraps a number of requests per second.
    pub const fn new(per_second: f64) -> Self {
        Self(per_second)
    }

    /// Returns the number of requests per second.
    pub const fn get(self) -> f64 {
        self.0
    }
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

    /// Returns the wall time at which the identifier was created, or `None` if it is not a version
    /// 7 UUID.
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
