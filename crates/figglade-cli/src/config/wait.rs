//! Waits until a version is in force at every live instance.

use std::time::{Duration, Instant};

use figglade::ConfigVersion;
use serde_json::json;

use super::{ConfigError, apply::read_config};
use crate::{
    args::{ConnectOptions, WaitOptions},
    client::OperatorClient,
    error::CliError,
    output::print_json,
    reply::MembersReply,
};

/// The interval at which the instances are polled.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// Waits until every live instance has a version in force.
///
/// # Errors
///
/// Fails with the names of the instances that do not have it within the timeout.
pub async fn wait_config(options: WaitOptions, connect: ConnectOptions) -> Result<(), CliError> {
    let client = OperatorClient::new(&connect)?;
    let version = match options.version {
        Some(version) => version,
        None => read_config(&client).await?.version,
    };
    let started = Instant::now();
    let mut shown = None;
    loop {
        let members: MembersReply = client.get("/v1/operator/members").await?.decode()?;
        let instances = members.live().count();
        let missing = list_missing(&members, version);
        if missing.is_empty() {
            show_in_force(version, instances, connect.json);
            return Ok(());
        }
        if started.elapsed() >= options.timeout.0 {
            return Err(ConfigError::NotInForce {
                version,
                missing: missing.join(", "),
                waited_ms: started.elapsed().as_millis(),
            }
            .into());
        }
        if shown.as_ref() != Some(&missing) {
            eprintln!("waiting for {} of {instances}: {}", missing.len(), missing.join(", "));
            shown = Some(missing);
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Lists the live instances that have an older version in force.
fn list_missing(members: &MembersReply, version: ConfigVersion) -> Vec<String> {
    let lagging = members.live().filter(|member| member.config_version < version);
    let mut missing: Vec<_> = lagging.map(|member| member.id.to_string()).collect();
    missing.sort();
    missing
}

fn show_in_force(version: ConfigVersion, instances: usize, as_json: bool) {
    if as_json {
        print_json(&json!({ "version": version, "in_force": instances, "instances": instances }));
    } else {
        println!("version {version} is in force at {instances} of {instances} instances");
    }
}
