//! The configuration document that operators put, and its validation.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{
    ChangeId, ConfigVersion,
    controller::fleet::{FleetDefaults, FleetException, FleetKey, FleetScope},
};

/// The maximum size of a document, in bytes of JSON text.
pub const MAX_DOCUMENT_BYTES: usize = 512 * 1024;
/// The maximum number of exceptions in a document.
pub const MAX_EXCEPTIONS: usize = 1_000;
/// The maximum length of the reason of an exception, in bytes.
pub const MAX_REASON_BYTES: usize = 1_000;
/// The maximum length of a value quoted in an error, in bytes.
const MAX_QUOTED_BYTES: usize = 80;

/// The reason why a document was refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{field}: {value} is refused; {allowed}")]
pub struct FleetError {
    /// The path of the field, such as `exceptions[2].set.hedge_budget`.
    pub field: String,
    /// The refused value, truncated.
    pub value: String,
    /// The allowed values, with their unit.
    pub allowed: String,
}

impl FleetError {
    /// Builds an error about `field`.
    fn new(field: impl Into<String>, value: &Value, allowed: impl Into<String>) -> Self {
        Self { field: field.into(), value: quote(value), allowed: allowed.into() }
    }
}

/// A configuration as an operator puts it. It replaces the previous configuration completely: a key
/// missing from `defaults` returns to its built-in default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetDocument {
    /// Identifies the change, so that a resent document is distinguished from a second change.
    pub change_id: ChangeId,
    /// The version that the operator's changes are based on.
    pub base_version: ConfigVersion,
    /// The defaults of the fleet.
    pub defaults: FleetDefaults,
    /// The exceptions, each with its reason.
    pub exceptions: Vec<FleetException>,
}

/// A document in which `change_id` and `base_version` may be missing, as stored in a file.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetDraft {
    /// Identifies the change.
    pub change_id: Option<ChangeId>,
    /// The version that the operator's changes are based on.
    pub base_version: Option<ConfigVersion>,
    /// The defaults of the fleet.
    pub defaults: FleetDefaults,
    /// The exceptions, each with its reason.
    pub exceptions: Vec<FleetException>,
}

/// Parses and validates a JSON document.
///
/// # Errors
///
/// Fails with the first refused field, its value and the allowed values.
pub fn parse_document(body: &[u8]) -> Result<FleetDocument, FleetError> {
    if body.len() > MAX_DOCUMENT_BYTES {
        let found = Value::from(format!("{} bytes", body.len()));
        return Err(FleetError::new("document", &found, allowed_size()));
    }
    let value: Value = serde_json::from_slice(body).map_err(|error| FleetError {
        field: "document".to_owned(),
        value: format!("text ({error})"),
        allowed: "must be one JSON object".to_owned(),
    })?;
    parse_document_value(&value)
}

/// Validates a document that was parsed from another format, such as TOML.
///
/// # Errors
///
/// Fails with the first refused field, its value and the allowed values.
pub fn parse_document_value(value: &Value) -> Result<FleetDocument, FleetError> {
    let draft = parse_draft(value)?;
    let missing = |field: &str| FleetError::new(field, &Value::Null, "must be given");
    Ok(FleetDocument {
        change_id: draft.change_id.ok_or_else(|| missing("change_id"))?,
        base_version: draft.base_version.ok_or_else(|| missing("base_version"))?,
        defaults: draft.defaults,
        exceptions: draft.exceptions,
    })
}

/// Validates a draft, in which `change_id` and `base_version` are optional.
///
/// # Errors
///
/// Fails with the first refused field, its value and the allowed values.
pub fn parse_draft(value: &Value) -> Result<FleetDraft, FleetError> {
    const FIELDS: &[&str] = &["change_id", "base_version", "defaults", "exceptions"];
    let object = expect_object("document", value)?;
    reject_unknown("", object, FIELDS)?;
    Ok(FleetDraft {
        change_id: object.get("change_id").map(parse_change_id).transpose()?,
        base_version: object.get("base_version").map(parse_base_version).transpose()?,
        defaults: parse_defaults(object.get("defaults"))?,
        exceptions: parse_exceptions(object.get("exceptions"))?,
    })
}

fn parse_change_id(value: &Value) -> Result<ChangeId, FleetError> {
    let text = value.as_str().ok_or_else(|| FleetError::new("change_id", value, "must be text"))?;
    text.parse().map_err(|error| FleetError::new("change_id", value, format!("{error}")))
}

fn parse_base_version(value: &Value) -> Result<ConfigVersion, FleetError> {
    let number = value.as_u64().ok_or_else(|| {
        FleetError::new("base_version", value, "must be a whole number, 0 or more")
    })?;
    Ok(ConfigVersion::new(number))
}

/// Parses the defaults; missing keys take their built-in default.
fn parse_defaults(value: Option<&Value>) -> Result<FleetDefaults, FleetError> {
    let mut defaults = FleetDefaults::default();
    let Some(value) = value else { return Ok(defaults) };
    for (name, value) in expect_object("defaults", value)? {
        let (key, value) = parse_setting("defaults", name, value)?;
        key.apply(&mut defaults, &value);
    }
    Ok(defaults)
}

/// Parses the value of the key `name` in the object at `path`.
fn parse_setting(
    path: &str,
    name: &str,
    value: &Value,
) -> Result<(&'static FleetKey, Value), FleetError> {
    let field = format!("{path}.{}", truncate(name));
    let Some(key) = FleetKey::find(name) else {
        return Err(FleetError::new(field, value, "unknown key"));
    };
    match key.range.accept(value) {
        Some(value) => Ok((key, value)),
        None => Err(FleetError::new(field, value, format!("must be {}", key.allowed()))),
    }
}

fn parse_exceptions(value: Option<&Value>) -> Result<Vec<FleetException>, FleetError> {
    let Some(value) = value else { return Ok(Vec::new()) };
    let items =
        value.as_array().ok_or_else(|| FleetError::new("exceptions", value, "must be a list"))?;
    if items.len() > MAX_EXCEPTIONS {
        let found = Value::from(items.len());
        let allowed = format!("must have at most {MAX_EXCEPTIONS} exceptions");
        return Err(FleetError::new("exceptions", &found, allowed));
    }
    let mut seen = BTreeSet::new();
    let mut exceptions = Vec::with_capacity(items.len());
    for (position, item) in items.iter().enumerate() {
        let path = format!("exceptions[{position}]");
        let exception = parse_exception(&path, item)?;
        reject_repeated(&path, &exception, &mut seen)?;
        exceptions.push(exception);
    }
    Ok(exceptions)
}

fn parse_exception(path: &str, value: &Value) -> Result<FleetException, FleetError> {
    let object = expect_object(path, value)?;
    reject_unknown(path, object, &["scope", "set", "reason"])?;
    Ok(FleetException {
        scope: parse_scope(path, object.get("scope").unwrap_or(&Value::Null))?,
        set: parse_set(path, object.get("set").unwrap_or(&Value::Null))?,
        reason: parse_reason(path, object.get("reason").unwrap_or(&Value::Null))?,
    })
}

fn parse_scope(path: &str, value: &Value) -> Result<FleetScope, FleetError> {
    FleetScope::deserialize(value)
        .map_err(|error| FleetError::new(format!("{path}.scope"), value, error.to_string()))
}

/// Parses the settings of an exception; the keys are returned in alphabetical order.
fn parse_set(path: &str, value: &Value) -> Result<Map<String, Value>, FleetError> {
    let path = format!("{path}.set");
    let object = expect_object(&path, value)?;
    if object.is_empty() {
        return Err(FleetError::new(path, value, "must set at least one key"));
    }
    let mut settings = BTreeMap::new();
    for (name, value) in object {
        let (key, accepted) = parse_setting(&path, name, value)?;
        if !key.in_exceptions {
            let field = format!("{path}.{name}");
            return Err(FleetError::new(field, value, "can be set in defaults only"));
        }
        settings.insert(name.clone(), accepted);
    }
    Ok(settings.into_iter().collect())
}

fn parse_reason(path: &str, value: &Value) -> Result<String, FleetError> {
    let allowed = format!("must be text that is not blank, at most {MAX_REASON_BYTES} bytes");
    match value.as_str() {
        Some(reason) if !reason.trim().is_empty() && reason.len() <= MAX_REASON_BYTES => {
            Ok(reason.to_owned())
        }
        _ => Err(FleetError::new(format!("{path}.reason"), value, allowed)),
    }
}

/// Rejects a key that an earlier exception sets for the same scope.
fn reject_repeated(
    path: &str,
    exception: &FleetException,
    seen: &mut BTreeSet<(FleetScope, String)>,
) -> Result<(), FleetError> {
    for (name, value) in &exception.set {
        if !seen.insert((exception.scope.clone(), name.clone())) {
            let allowed = format!("an earlier exception sets it for {}", exception.scope);
            return Err(FleetError::new(format!("{path}.set.{name}"), value, allowed));
        }
    }
    Ok(())
}

/// Returns `value` as an object, or an error about `field` if it is not one.
fn expect_object<'a>(field: &str, value: &'a Value) -> Result<&'a Map<String, Value>, FleetError> {
    value.as_object().ok_or_else(|| FleetError::new(field, value, "must be an object"))
}

/// Rejects the first field of `object` that is not in `known`.
fn reject_unknown(
    path: &str,
    object: &Map<String, Value>,
    known: &[&str],
) -> Result<(), FleetError> {
    match object.iter().find(|(name, _)| !known.contains(&name.as_str())) {
        Some((name, value)) => {
            let dot = if path.is_empty() { "" } else { "." };
            let field = format!("{path}{dot}{}", truncate(name));
            let allowed = format!("unknown field; known are {}", known.join(", "));
            Err(FleetError::new(field, value, allowed))
        }
        None => Ok(()),
    }
}

/// Describes the maximum size of a document.
fn allowed_size() -> String {
    format!("must have at most {MAX_DOCUMENT_BYTES} bytes")
}

/// Renders a value for an error, truncated.
fn quote(value: &Value) -> String {
    match value {
        Value::Null => "nothing".to_owned(),
        value => truncate(&value.to_string()),
    }
}

/// Truncates a text to [`MAX_QUOTED_BYTES`] and marks the truncation.
fn truncate(text: &str) -> String {
    if text.len() <= MAX_QUOTED_BYTES {
        return text.to_owned();
    }
    format!("{}...", &text[..text.floor_char_boundary(MAX_QUOTED_BYTES)])
}
