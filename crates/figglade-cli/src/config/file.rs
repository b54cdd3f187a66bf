//! Reads configuration files and validates them without contact to the tier.

use std::{fs::File, io::Read, path::Path};

use figglade::controller::fleet::{
    FLEET_KEYS, FleetDraft, FleetError, MAX_DOCUMENT_BYTES, parse_document_value, parse_draft,
};
use serde_json::{Value, json};

use super::ConfigError;
use crate::{error::CliError, output::print_json};

/// Validates the file and prints a summary of it.
///
/// # Errors
///
/// Fails with the file, the field, its value and what is allowed.
pub fn check_file(path: &Path, as_json: bool) -> Result<(), CliError> {
    let value = read_value(path)?;
    let draft = check_value(path, &value)?;
    let exceptions = draft.exceptions.len();
    // A file with a change id and a base version can be sent to the HTTP interface unchanged.
    let complete = parse_document_value(&value).is_ok();
    if as_json {
        print_json(&json!({ "ok": true, "exceptions": exceptions, "complete": complete }));
    } else {
        println!("{}: ok, {exceptions} exceptions", path.display());
    }
    Ok(())
}

/// Reads and checks a file in JSON, where its name ends in `.json`, or in TOML.
///
/// # Errors
///
/// Fails with the file, the field, its value and what is allowed.
pub fn read_draft(path: &Path) -> Result<FleetDraft, ConfigError> {
    check_value(path, &read_value(path)?)
}

fn check_value(path: &Path, value: &Value) -> Result<FleetDraft, ConfigError> {
    parse_draft(value).map_err(|error| name_file(path, error))
}

fn read_value(path: &Path) -> Result<Value, ConfigError> {
    let text = read_text(path)?;
    match path.extension().is_some_and(|extension| extension == "json") {
        true => parse_json(path, &text),
        false => parse_toml(path, &text),
    }
}

fn read_text(path: &Path) -> Result<String, ConfigError> {
    let unreadable = |reason: String| ConfigError::Unreadable { path: path.to_owned(), reason };
    let file = File::open(path).map_err(|error| unreadable(error.to_string()))?;
    let mut text = String::new();
    let limit = MAX_DOCUMENT_BYTES as u64;
    let length = file
        .take(limit + 1)
        .read_to_string(&mut text)
        .map_err(|error| unreadable(error.to_string()))?;
    match length as u64 > limit {
        true => Err(unreadable(format!("the file may have at most {limit} bytes"))),
        false => Ok(text),
    }
}

fn parse_json(path: &Path, text: &str) -> Result<Value, ConfigError> {
    serde_json::from_str(text).map_err(|error| ConfigError::Syntax {
        path: path.to_owned(),
        line: error.line(),
        format: "JSON",
        reason: error.to_string(),
    })
}

fn parse_toml(path: &Path, text: &str) -> Result<Value, ConfigError> {
    toml::from_str(text).map_err(|error: toml::de::Error| {
        let offset = error.span().map_or(0, |span| span.start.min(text.len()));
        ConfigError::Syntax {
            path: path.to_owned(),
            line: text.as_bytes()[..offset].iter().filter(|byte| **byte == b'\n').count() + 1,
            format: "TOML",
            reason: error.message().replace('\n', "; "),
        }
    })
}

fn name_file(path: &Path, error: FleetError) -> ConfigError {
    let allowed = explain_allowed(&error);
    ConfigError::Refused { path: path.to_owned(), field: error.field, value: error.value, allowed }
}

/// Returns what is allowed; for an unknown key, the known ones.
pub(super) fn explain_allowed(error: &FleetError) -> String {
    if error.allowed != "unknown key" {
        return error.allowed.clone();
    }
    let names: Vec<_> = FLEET_KEYS.iter().map(|key| key.name).collect();
    format!("unknown key; known are {}", names.join(", "))
}
