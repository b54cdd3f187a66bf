//! Values of arguments.

use std::{fmt, str::FromStr, time::Duration};

use derive_more::{Display, Error};

/// A length of time in an argument, such as `500ms`, `30s`, `5m`, `2h` or `1d`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpanArg(pub Duration);

impl fmt::Display for SpanArg {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis();
        let unit =
            SPAN_UNITS.iter().rev().find(|(_, size)| millis.is_multiple_of(u128::from(*size)));
        let (name, size) = unit.copied().unwrap_or(SPAN_UNITS[0]);
        write!(f, "{}{name}", millis / u128::from(size))
    }
}

/// The text is not a length of time.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("expected a whole number with ms, s, m, h or d, such as 5m, at most {MAX_SPAN_DAYS}d")]
pub struct SpanError;

/// The units of a span and their sizes in milliseconds, smallest first.
const SPAN_UNITS: [(&str, u64); 5] =
    [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000), ("d", 86_400_000)];

/// The longest span, in days.
const MAX_SPAN_DAYS: u64 = 366;

impl FromStr for SpanArg {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.find(|c: char| !c.is_ascii_digit()).ok_or(SpanError)?;
        let (number, unit) = text.split_at(digits);
        let number: u64 = number.parse().map_err(|_| SpanError)?;
        let (_, size) = SPAN_UNITS.iter().find(|(name, _)| *name == unit).ok_or(SpanError)?;
        let millis = number.checked_mul(*size).ok_or(SpanError)?;
        let longest = MAX_SPAN_DAYS * SPAN_UNITS[4].1;
        if millis > longest { Err(SpanError) } else { Ok(Self(Duration::from_millis(millis))) }
    }
}

/// One `KEY=VALUE` of an exception.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingArg {
    /// The fleet key.
    pub key: String,
    /// The value; text that is not a JSON number counts as a word.
    pub value: serde_json::Value,
}

/// The text has no `=`.
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
