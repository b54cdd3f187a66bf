//! Shows the configuration in force and its history.

use figglade::controller::fleet::{FLEET_KEYS, FleetException, FleetKey};
use serde_json::{Map, Value, json};

use super::{ConfigError, apply::read_config};
use crate::{
    args::ConnectOptions,
    client::{Call, OperatorClient},
    error::CliError,
    output::{print_json, print_table},
    reply::{ConfigReply, MembersReply},
    timeline::format_time,
};

/// Shows the configuration in force.
///
/// # Errors
///
/// Fails when no instance answers.
pub async fn show_config(connect: ConnectOptions) -> Result<(), CliError> {
    let reply = OperatorClient::new(&connect)?.get("/v1/operator/config").await?;
    if connect.json {
        print_json(&reply.value()?);
        return Ok(());
    }
    let config: ConfigReply = reply.decode()?;
    let proof = if config.current {
        ""
    } else {
        " (may be outdated: the instance cannot prove that it is the latest)"
    };
    println!("version {}{proof}", config.version);
    print_table(&["key", "value", "built-in", "unit"], default_rows(&config.defaults));
    if !config.exceptions.is_empty() {
        let rows = config.exceptions.iter().map(exception_row).collect();
        print_table(&["scope", "set", "reason"], rows);
    }
    Ok(())
}

/// Lists the latest changes, from the first control member that is reached.
///
/// # Errors
///
/// Fails when no control member is reached.
pub async fn show_history(connect: ConnectOptions) -> Result<(), CliError> {
    let client = OperatorClient::new(&connect)?;
    let mut config = read_config(&client).await?;
    if !has_history(&config) {
        config = find_history(&client).await?;
    }
    let history = config.history.ok_or(ConfigError::NoHistory)?;
    if connect.json {
        print_json(&json!({ "version": config.version, "history": history }));
        return Ok(());
    }
    let rows = history.iter().rev().map(|change| {
        vec![
            change.version.to_string(),
            format_time(change.wall),
            change.instance.to_string(),
            change.change_id.to_string(),
            change.summary.clone(),
        ]
    });
    print_table(&["version", "time (UTC)", "taken by", "change", "summary"], rows.collect());
    Ok(())
}

/// Queries the live instances until one has a complete history.
async fn find_history(client: &OperatorClient) -> Result<ConfigReply, CliError> {
    let members: MembersReply = client.get("/v1/operator/members").await?.decode()?;
    for member in members.live() {
        let Ok(reply) = client.send(member.http, &Call::get("/v1/operator/config")).await else {
            continue;
        };
        let config: ConfigReply = reply.decode()?;
        if has_history(&config) {
            return Ok(config);
        }
    }
    Err(ConfigError::NoHistory.into())
}

/// Returns whether the history extends to the version in force. The history of an instance that has
/// a disk but is not in the control group does not.
fn has_history(config: &ConfigReply) -> bool {
    let Some(history) = &config.history else { return false };
    let latest = history.last().map(|change| change.version).unwrap_or_default();
    latest >= config.version
}

fn default_rows(defaults: &Map<String, Value>) -> Vec<Vec<String>> {
    let row = |key: &FleetKey| {
        let value = defaults.get(key.name).map_or_else(|| "?".to_owned(), show_value);
        let built_in = show_value(&key.default_value());
        let differs = if value == built_in { String::new() } else { built_in };
        vec![key.name.to_owned(), value, differs, key.unit.to_owned()]
    };
    FLEET_KEYS.iter().map(row).collect()
}

fn exception_row(exception: &FleetException) -> Vec<String> {
    let set = exception.set.iter().map(|(key, value)| format!("{key}={}", show_value(value)));
    let set = set.collect::<Vec<_>>().join(" ");
    vec![exception.scope.to_string(), set, exception.reason.clone()]
}

fn show_value(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
