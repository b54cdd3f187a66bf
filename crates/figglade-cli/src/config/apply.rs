//! Sends a change until its outcome is known.

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

/// How often one change is sent while its outcome is open.
const MAX_SENDINGS: u32 = 5;
/// The pause before a change is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(300);

/// One change of the configuration.
#[derive(Clone, Debug)]
pub(super) struct ConfigPutCall {
    /// Names the change; every sending carries it.
    pub change_id: ChangeId,
    /// The version it starts from.
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
/// Fails when the file is refused, another change came first or the outcome stays open.
pub async fn apply_file(options: ApplyOptions, connect: ConnectOptions) -> Result<(), CliError> {
    let draft = read_draft(&options.file)?;
    let client = OperatorClient::new(&connect)?;
    let change_id = options.change_id.or(draft.change_id).unwrap_or_else(new_change_id);
    announce_change(&change_id);
    let base_version = match options.base_version.or(draft.base_version) {
        Some(version) => version,
        None => read_config(&client).await?.version,
    };
    // Every key is sent, so that the document means the same to each release.
    let defaults = match serde_json::to_value(&draft.defaults) {
        Ok(Value::Object(defaults)) => defaults,
        _ => Map::new(),
    };
    let exceptions = draft.exceptions;
    let put = ConfigPutCall { change_id, base_version, defaults, exceptions };
    let reply = send_change(&client, &put).await?;
    show_commit(&reply, connect.json)
}

/// Prints the name of the change, so that the operator can resend it after any interruption.
pub(super) fn announce_change(change_id: &ChangeId) {
    eprintln!("change_id: {change_id}");
}

/// Makes a name for a change.
pub(super) fn new_change_id() -> ChangeId {
    let text = Uuid::now_v7().to_string();
    text.parse().expect("a UUID has allowed characters")
}

/// Reads the configuration in force.
pub(super) async fn read_config(client: &OperatorClient) -> Result<ConfigReply, ClientError> {
    client.get("/v1/operator/config").await?.decode()
}

/// Sends one change, and again under the same name while its outcome is open.
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
    let mut sending = 0;
    loop {
        sending += 1;
        let error = match client.send_in_turn(&call).await {
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        if let Some(conflict) = read_conflict(put, &error) {
            return Err(conflict.into());
        }
        let is_last = sending >= MAX_SENDINGS || !error.may_pass_elsewhere();
        if error.is_uncertain() {
            uncertain = Some(error.clone());
        }
        match uncertain.take() {
            // A refusal of one sending says nothing of an earlier one.
            Some(cause) if is_last => {
                let change_id = put.change_id.clone();
                return Err(ConfigError::Undecided { change_id, cause }.into());
            }
            None if is_last => return Err(error.into()),
            open => uncertain = open,
        }
        tokio::time::sleep(RESEND_PAUSE).await;
    }
}

/// Prints the version made and how far it is in force.
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
