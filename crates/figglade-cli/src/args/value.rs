//! Types of argument values.

use std::{fmt, str::FromStr, time::Duration};

use derive_more::{Display, Error};

/// A duration in an argument, such as `500ms`, `30s`, `5m`, `2h` or `1d`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationArg(pub Duration);

impl fmt::Display for DurationArg {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis();
        let unit =
            DURATION_UNITS.iter().rev().find(|(_, size)| millis.is_multiple_of(u128::from(*size)));
        let (name, size) = unit.copied().unwrap_or(DURATION_UNITS[0]);
        write!(f, "{}{name}", millis / u128::from(size))
    }
}

/// The text is not a valid duration.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "expected a whole number with ms, s, m, h or d, such as 5m, at most {MAX_DURATION_DAYS}d"
)]
pub struct DurationArgError;

/// The units of a duration and their sizes in milliseconds, smallest first.
const DURATION_UNITS: [(&str, u64); 5] =
    [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000), ("d", 86_400_000)];

/// The longest accepted duration, in days.
const MAX_DURATION_DAYS: u64 = 366;

impl FromStr for DurationArg {
    type Err = DurationArgError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.find(|c: char| !c.is_ascii_digit()).ok_or(DurationArgError)?;
        let (number, unit) = text.split_at(digits);
        let number: u64 = number.parse().map_err(|_| DurationArgError)?;
        let (_, size) =
            DURATION_UNITS.iter().find(|(name, _)| *name == unit).ok_or(DurationArgError)?;
        let millis = number.checked_mul(*size).ok_or(DurationArgError)?;
        let longest = MAX_DURATION_DAYS * DURATION_UNITS[4].1;
        if millis > longest {
            Err(DurationArgError)
        } else {
            Ok(Self(Duration::from_millis(millis)))
        }
    }
}

/// A `KEY=VALUE` argument of an exception.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingArg {
    /// The fleet key.
    pub key: String,
    /// The value; text that is not a JSON number is taken as a string.
    pub value: serde_json::Value,
}

/// The text has no `=` or no key before it.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("expected KEY=VALUE, such as hedge_budget=0.05")]
pub struct SettingArgError;

impl FromStr for SettingArg {
    type Err = SettingArgError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (key, value) = text.split_once('=').ok_or(SettingArgError)?;
        if key.is_empty() {
            return Err(SettingArgError);
        }
        let number = serde_json::from_str::<serde_json::Number>(value).ok();
        let value = number.map_or_else(|| value.into(), serde_json::Value::Number);
        Ok(Self { key: key.to_owned(), value })
    }
}
