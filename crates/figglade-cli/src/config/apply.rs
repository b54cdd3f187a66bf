//! Sends a configuration change and retries until its outcome is known.

use std::time::Duration;

use figglade::{ChangeId, ConfigVersion, controller::fleet::FleetException};
use hyper::{Method, StatusCode};
use serde_json::{Map, Value, json};
use uuid::Uuid;

use super::{ConfigError, file::read_draft};
use crate::{
    args::{ApplyOptions, ConnectOptions},
    client::{Call, ClientError, OperatorClient, Reply},
    error::CliError,
    output::print_json,
    reply::{CommitReply, ConfigReply},
};

/// How often a change is sent while its outcome is unknown.
const MAX_ATTEMPTS: u32 = 5;
/// The delay before a change is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The content of a configuration change.
#[derive(Clone, Debug)]
pub(super) struct ConfigPutCall {
    /// The id of the change, which is the same in every attempt.
    pub change_id: ChangeId,
    /// The version it is based on.
    pub base_version: ConfigVersion,
    /// The defaults that it sets.
    pub defaults: Map<String, Value>,
    /// The exceptions that it sets.
    pub exceptions: Vec<FleetException>,
}

/// Replaces the configuration by that of a file.
///
/// # Errors
///
/// Fails when the file is refused, another change was committed first or the outcome stays
/// unknown.
pub async fn apply_file(options: ApplyOptions, connect: ConnectOptions) -> Result<(), CliError> {
    let draft = read_draft(&options.file)?;
    let client = OperatorClient::new(&connect)?;
    let change_id = options.change_id.or(draft.change_id).unwrap_or_else(new_change_id);
    print_change_id(&change_id);
    let base_version = match options.base_version.or(draft.base_version) {
        Some(version) => version,
        None => read_config(&client).await?.version,
    };
    // Sends every key, so that the document has the same meaning in every release.
    let defaults = match serde_json::to_value(&draft.defaults) {
        Ok(Value::Object(defaults)) => defaults,
        _ => Map::new(),
    };
    let exceptions = draft.exceptions;
    let put = ConfigPutCall { change_id, base_version, defaults, exceptions };
    let reply = send_change(&client, &put).await?;
    show_commit(&reply, connect.json)
}

/// Prints the id of the change, so that the operator can resend it after an interruption.
pub(super) fn print_change_id(change_id: &ChangeId) {
    eprintln!("change_id: {change_id}");
}

/// Generates the id of a change.
pub(super) fn new_change_id() -> ChangeId {
    let text = Uuid::now_v7().to_string();
    text.parse().expect("a UUID has allowed characters")
}

/// Reads the configuration in force.
pub(super) async fn read_config(client: &OperatorClient) -> Result<ConfigReply, ClientError> {
    client.get("/v1/operator/config").await?.decode()
}

/// Sends a change, and resends it with the same id while its outcome is unknown.
pub(super) async fn send_change(
    client: &OperatorClient,
    put: &ConfigPutCall,
) -> Result<Reply, CliError> {
    let body = json!({
        "change_id": put.change_id, "base_version": put.base_version,
        "defaults": put.defaults, "exceptions": put.exceptions,
    });
    let call = Call::with_body(Method::PUT, "/v1/operator/config", &body);
    let mut uncertain = None;
    let mut attempt = 0;
    loop {
        attempt += 1;
        let error = match client.send_in_turn(&call).await {
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        if let Some(conflict) = read_conflict(put, &error) {
            return Err(conflict.into());
        }
        let is_last = attempt >= MAX_ATTEMPTS || !error.may_succeed_elsewhere();
        if error.is_uncertain() {
            uncertain = Some(error.clone());
        }
        match uncertain.take() {
            // A refusal of this attempt does not prove that an earlier one had no effect.
            Some(cause) if is_last => {
                let change_id = put.change_id.clone();
                return Err(ConfigError::Undecided { change_id, cause }.into());
            }
            None if is_last => return Err(error.into()),
            pending => uncertain = pending,
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Prints the committed version and the number of instances that have it in force.
pub(super) fn show_commit(reply: &Reply, as_json: bool) -> Result<(), CliError> {
    if as_json {
        print_json(&reply.value()?);
        return Ok(());
    }
    let commit: CommitReply = reply.decode()?;
    let CommitReply { version, in_force, instances } = commit;
    println!("version {version} committed; in force at {in_force} of {instances} instances");
    if in_force < instances {
        println!("next: figglade config wait --version {version}");
    }
    Ok(())
}

fn read_conflict(put: &ConfigPutCall, error: &ClientError) -> Option<ConfigError> {
    let refusal = error.refusal()?;
    if refusal.status != StatusCode::CONFLICT || refusal.code != "version_conflict" {
        return None;
    }
    let current = refusal.body.get("version").and_then(Value::as_u64).unwrap_or_default();
    Some(ConfigError::Conflict {
        change_id: put.change_id.clone(),
        base: put.base_version,
        current: ConfigVersion::new(current),
    })
}
