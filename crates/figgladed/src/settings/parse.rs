//! Parses the TOML text and reports problems with the name of the key.

use std::{fs::File, io::Read, path::Path};

use serde_path_to_error::{Path as KeyPath, Segment};
use toml::{Table, Value};

use super::{InstanceSettings, SettingsError, SettingsProblem};

/// The maximum size of a settings file, in bytes.
pub const MAX_SETTINGS_BYTES: u64 = 64 << 10;

/// The length at which a value in a message is cut, in characters.
const MAX_VALUE_CHARS: usize = 80;

/// A key of the settings.
struct KeySpec {
    /// The table of the key; empty for the top level.
    section: &'static str,
    /// The name of the key in its table.
    name: &'static str,
    /// Whether the key must be present.
    required: bool,
    /// The allowed values, for messages.
    allowed: &'static str,
}

/// Builds the specification of a required key.
const fn required(section: &'static str, name: &'static str, allowed: &'static str) -> KeySpec {
    KeySpec { section, name, required: true, allowed }
}

/// Builds the specification of an optional key.
const fn optional(section: &'static str, name: &'static str, allowed: &'static str) -> KeySpec {
    KeySpec { section, name, required: false, allowed }
}

const ID_TEXT: &str = "1 to 128 ASCII letters, digits and . _ : -";
const ADDRESS_TEXT: &str = "IP:PORT";
const FILE_TEXT: &str = "the path of a file with one key a line";

/// Every key of the settings.
const KEY_SPECS: &[KeySpec] = &[
    required("", "instance", "a table"),
    required("", "listen", "a table"),
    optional("", "peers", "a table"),
    optional("", "control", "a table"),
    optional("", "keys", "a table"),
    optional("", "log", "a table"),
    optional("", "limits", "a table"),
    required("instance", "id", ID_TEXT),
    required("instance", "availability_zone", ID_TEXT),
    optional("instance", "data_dir", "the path of a folder"),
    required("listen", "http", ADDRESS_TEXT),
    required("listen", "peer", ADDRESS_TEXT),
    optional("listen", "advertise_peer", ADDRESS_TEXT),
    optional("peers", "seeds", "a list of IP:PORT"),
    optional("control", "members", "a list of { id, peer }"),
    required("control.members", "id", ID_TEXT),
    required("control.members", "peer", ADDRESS_TEXT),
    optional("keys", "caller", FILE_TEXT),
    optional("keys", "target", FILE_TEXT),
    optional("keys", "operator", FILE_TEXT),
    optional("keys", "peer", FILE_TEXT),
    optional("log", "format", "json or text"),
    optional("log", "level", "error, warn, info or debug"),
    optional("limits", "max_body_bytes", "a whole number of bytes"),
    optional("limits", "max_answer_bytes", "a whole number of bytes"),
    optional("limits", "memory_mb", "a whole number of MiB"),
    optional("limits", "max_files", "a whole number of descriptors"),
    optional("limits", "worker_threads", "a whole number of threads"),
    optional("limits", "timeline_events", "a whole number of events"),
    optional("limits", "timeline_file_bytes", "a whole number of bytes"),
];

impl InstanceSettings {
    /// Reads, parses and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or [`InstanceSettings::from_text`] fails.
    pub fn from_file(path: &Path) -> Result<Self, SettingsError> {
        let text = read_bounded(path, MAX_SETTINGS_BYTES)
            .map_err(|problem| SettingsError::in_file(path, problem))?;
        Self::from_text(&text, path)
    }

    /// Parses and checks settings; `path` is the file named in errors.
    ///
    /// # Errors
    ///
    /// Fails with the line when the text is not TOML, and with the key, its value and the allowed
    /// values when a key is unknown or missing or a value is invalid.
    pub fn from_text(text: &str, path: &Path) -> Result<Self, SettingsError> {
        let settings =
            parse_settings(text).map_err(|problem| SettingsError::in_file(path, problem))?;
        settings.check().map_err(|error| SettingsError::in_file(path, error.problem))?;
        Ok(settings)
    }
}

/// Reads a file of at most `limit` bytes.
pub(super) fn read_bounded(path: &Path, limit: u64) -> Result<String, SettingsProblem> {
    let unreadable =
        |error: std::io::Error| SettingsProblem::Unreadable { reason: error.to_string() };
    let file = File::open(path).map_err(unreadable)?;
    let mut text = String::new();
    let length = file.take(limit + 1).read_to_string(&mut text).map_err(unreadable)?;
    if length as u64 > limit {
        return Err(SettingsProblem::TooLarge { limit });
    }
    Ok(text)
}

/// Parses the text and checks its keys.
fn parse_settings(text: &str) -> Result<InstanceSettings, SettingsProblem> {
    let table: Table = text.parse().map_err(|error| describe_syntax(text, &error))?;
    check_table("", "", &table)?;
    let value = Value::Table(table);
    serde_path_to_error::deserialize(value.clone())
        .map_err(|error| describe_value(&value, error.path()))
}

/// Converts a parser error to a problem with a line number.
fn describe_syntax(text: &str, error: &toml::de::Error) -> SettingsProblem {
    let offset = error.span().map_or(0, |span| span.start.min(text.len()));
    let line = text.as_bytes()[..offset].iter().filter(|byte| **byte == b'\n').count() + 1;
    SettingsProblem::Syntax { line, reason: error.message().replace('\n', "; ") }
}

/// Reports unknown and missing keys in `table` and its nested tables.
fn check_table(section: &str, path: &str, table: &Table) -> Result<(), SettingsProblem> {
    let specs = || KEY_SPECS.iter().filter(|spec| spec.section == section);
    for (name, value) in table {
        let key = join_key(path, name);
        if !specs().any(|spec| spec.name == name) {
            let allowed = specs().map(|spec| spec.name).collect::<Vec<_>>().join(", ");
            return Err(SettingsProblem::UnknownKey { key, allowed });
        }
        check_nested(&join_key(section, name), &key, value)?;
    }
    let missing = specs().find(|spec| spec.required && !table.contains_key(spec.name));
    missing.map_or(Ok(()), |spec| {
        let key = join_key(path, spec.name);
        Err(SettingsProblem::MissingKey { key, allowed: spec.allowed.to_owned() })
    })
}

/// Checks the tables nested in a value.
fn check_nested(section: &str, path: &str, value: &Value) -> Result<(), SettingsProblem> {
    match value {
        Value::Table(table) => check_table(section, path, table),
        Value::Array(items) => items.iter().enumerate().try_for_each(|(position, item)| {
            check_nested(section, &format!("{path}[{position}]"), item)
        }),
        _ => Ok(()),
    }
}

/// Describes the value at `path`, which could not be deserialized.
fn describe_value(root: &Value, path: &KeyPath) -> SettingsProblem {
    let mut value = Some(root);
    let mut spec_name = String::new();
    for segment in path {
        value = match segment {
            Segment::Seq { index } => value.and_then(|value| value.get(*index)),
            Segment::Map { key } => {
                spec_name = join_key(&spec_name, key);
                value.and_then(|value| value.get(key.as_str()))
            }
            Segment::Enum { .. } | Segment::Unknown => value,
        };
    }
    SettingsProblem::BadValue {
        key: path.to_string(),
        value: value.map(show_value).unwrap_or_default(),
        allowed: allowed_for(&spec_name).to_owned(),
    }
}

/// Returns the allowed values of the key with this name, which is without list positions.
fn allowed_for(name: &str) -> &'static str {
    KEY_SPECS
        .iter()
        .find(|spec| join_key(spec.section, spec.name) == name)
        .map_or("another value", |spec| spec.allowed)
}

/// Formats a value as TOML, cut to [`MAX_VALUE_CHARS`].
pub(super) fn show_value(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    text.chars().take(MAX_VALUE_CHARS).chain("...".chars()).collect()
}

/// Joins the name of a table and of a key in it.
fn join_key(table: &str, name: &str) -> String {
    if table.is_empty() { name.to_owned() } else { format!("{table}.{name}") }
}
