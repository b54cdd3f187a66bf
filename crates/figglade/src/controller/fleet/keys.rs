//! The table of fleet keys: the single source of units, ranges and descriptions.

use std::fmt;

use serde::Deserialize;
use serde_json::Value;

use crate::controller::fleet::FleetDefaults;

/// The values that a key accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyRange {
    /// A whole number within inclusive bounds.
    Whole {
        /// The smallest value.
        min: u64,
        /// The largest value.
        max: u64,
    },
    /// A number within inclusive bounds.
    Fraction {
        /// The smallest value.
        min: f64,
        /// The largest value.
        max: f64,
    },
    /// One of a fixed set of words.
    Word(&'static [&'static str]),
}

impl KeyRange {
    /// Returns `value` in its canonical form, or `None` if it is outside the range.
    pub fn accept(&self, value: &Value) -> Option<Value> {
        match self {
            Self::Whole { min, max } => {
                let number = value.as_u64()?;
                (*min..=*max).contains(&number).then(|| Value::from(number))
            }
            Self::Fraction { min, max } => {
                let number = value.as_f64()?;
                (*min..=*max).contains(&number).then(|| Value::from(number))
            }
            Self::Word(words) => {
                let word = value.as_str()?;
                words.contains(&word).then(|| Value::from(word))
            }
        }
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole { min, max } => write!(f, "a whole number from {min} to {max}"),
            Self::Fraction { min, max } => write!(f, "a number from {min} to {max}"),
            Self::Word(words) => write!(f, "one of {}", words.join(", ")),
        }
    }
}

/// One key that operators can set.
#[derive(Clone, Copy, Debug)]
pub struct FleetKey {
    /// The name of the key in documents.
    pub name: &'static str,
    /// The unit of the value.
    pub unit: &'static str,
    /// The accepted values.
    pub range: KeyRange,
    /// The description of the key for operators.
    pub meaning: &'static str,
    /// Whether an exception may set it; otherwise the value applies to the whole fleet.
    pub in_exceptions: bool,
    /// Sets the field of the same name.
    set: fn(&mut FleetDefaults, &Value) -> Result<(), serde_json::Error>,
}

impl FleetKey {
    /// Returns the key with this name.
    pub fn find(name: &str) -> Option<&'static Self> {
        FLEET_KEYS.iter().find(|key| key.name == name)
    }

    /// Returns the built-in default.
    pub fn default_value(&self) -> Value {
        self.value_in(&FleetDefaults::default())
    }

    /// Returns the value of this key in `defaults`.
    pub fn value_in(&self, defaults: &FleetDefaults) -> Value {
        let mut object = serde_json::to_value(defaults).unwrap_or_default();
        object.get_mut(self.name).map(Value::take).unwrap_or_default()
    }

    /// Describes the values that the key accepts, with their unit.
    pub fn allowed(&self) -> String {
        match self.range {
            KeyRange::Word(_) => self.range.to_string(),
            _ => format!("{} ({})", self.range, self.unit),
        }
    }

    /// Sets the field of this key; a value of the wrong type leaves it unchanged.
    pub(super) fn apply(&self, defaults: &mut FleetDefaults, value: &Value) {
        let _ = (self.set)(defaults, value);
    }
}

/// Builds one entry of [`FLEET_KEYS`].
macro_rules! key {
    ($name:ident, $unit:literal, $range:expr, $meaning:literal) => {
        key!($name, $unit, $range, $meaning, true)
    };
    ($name:ident, $unit:literal, $range:expr, $meaning:literal, $in_exceptions:literal) => {
        FleetKey {
            name: stringify!($name),
            unit: $unit,
            range: $range,
            meaning: $meaning,
            in_exceptions: $in_exceptions,
            set: |defaults, value| {
                defaults.$name = Deserialize::deserialize(value)?;
                Ok(())
            },
        }
    };
}

/// Builds a [`KeyRange::Whole`].
const fn whole(min: u64, max: u64) -> KeyRange {
    KeyRange::Whole { min, max }
}

/// Builds a [`KeyRange::Fraction`].
const fn fraction(min: f64, max: f64) -> KeyRange {
    KeyRange::Fraction { min, max }
}

/// The serialized variants of [`StalePolicy`](super::StalePolicy).
const STALE_WORDS: KeyRange = KeyRange::Word(&["refuse", "answer_marked"]);

/// All keys of [`FleetDefaults`], in the order of its fields.
pub const FLEET_KEYS: &[FleetKey] = &[
    key!(max_deadline_ms, "ms", whole(10, 600_000), "the longest deadline a caller may ask for"),
    key!(max_limit, "hits", whole(1, 100_000), "the largest limit of hits a caller may ask for"),
    key!(
        min_coverage,
        "fraction of documents",
        fraction(0.0, 1.0),
        "the smallest accepted coverage where the caller names none"
    ),
    key!(
        answer_margin_ms,
        "ms",
        whole(0, 1_000),
        "the time kept back from the deadline for the way to the caller"
    ),
    key!(
        hedge_budget,
        "hedges per first attempt",
        fraction(0.0, 1.0),
        "the hedges allowed per first attempt"
    ),
    key!(
        hedge_tail,
        "fraction of shards",
        fraction(0.0, 1.0),
        "the share of shards still open below which hedging starts"
    ),
    key!(hedge_min_delay_ms, "ms", whole(0, 10_000), "the shortest wait before a hedge"),
    key!(
        retry_budget,
        "retries per first attempt",
        fraction(0.0, 1.0),
        "the retries allowed per first attempt"
    ),
    key!(max_attempts, "attempts", whole(1, 16), "the most attempts for one shard of one request"),
    key!(
        max_running,
        "requests",
        whole(1, 100_000),
        "the most requests one instance runs at a time"
    ),
    key!(
        max_queued,
        "requests",
        whole(0, 100_000),
        "the most requests that wait for admission at one instance"
    ),
    key!(
        max_ejected,
        "fraction of targets",
        fraction(0.0, 1.0),
        "the share of the targets of an index that may be ejected at a time"
    ),
    key!(
        cold_start_ms,
        "ms",
        whole(0, 600_000),
        "the time over which a new target reaches full weight"
    ),
    key!(
        connection_share,
        "fraction of connections",
        fraction(0.01, 1.0),
        "the share of a target's connections that the tier may use"
    ),
    key!(
        announce_period_ms,
        "ms",
        whole(100, 60_000),
        "the time between announcements of a target"
    ),
    key!(
        announce_lapse_periods,
        "announcement periods",
        whole(2, 100),
        "the announcement periods after which a silent target lapses"
    ),
    key!(
        staleness_bound_ms,
        "ms",
        whole(500, 600_000),
        "the age of the last proof of being current beyond which an instance is stale"
    ),
    key!(stale_query, "word", STALE_WORDS, "what a stale instance does with searches and lookups"),
    key!(stale_action, "word", STALE_WORDS, "what a stale instance does with actions"),
    key!(
        claim_window_ms,
        "ms",
        whole(60_000, 86_400_000),
        "the age beyond which a request identifier is refused",
        false
    ),
    key!(
        drain_wait_ms,
        "ms",
        whole(0, 600_000),
        "the time between turning not ready and closing at a planned stop"
    ),
];
