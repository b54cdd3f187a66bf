//! Adds one exception to the configuration in force.

use std::time::{Duration, Instant};

use figglade::{
    ConfigVersion,
    controller::fleet::{FleetException, FleetScope, parse_draft},
};
use serde_json::{Map, Value, json};

use super::{
    ConfigError,
    apply::{ConfigPutCall, new_change_id, print_change_id, read_config, send_change, show_commit},
    file::explain_allowed,
};
use crate::{
    args::{ConnectOptions, ExceptOptions, SettingArg},
    client::OperatorClient,
    error::CliError,
    reply::ConfigReply,
};

/// How long the queried instance may take to receive the version that caused a conflict.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which its version is polled.
const PROPAGATION_POLL_PERIOD: Duration = Duration::from_millis(50);
/// How often an exception is tried, each time on a newer configuration.
const MAX_TRIES: u32 = 5;

/// Adds an exception to the configuration in force, or replaces its keys. After a conflict it is
/// tried again on the newer configuration, provided that no other operator changed the same keys.
///
/// # Errors
///
/// Fails when the exception is refused, another operator changed the same keys, or the outcome
/// stays unknown.
pub async fn add_exception(
    options: ExceptOptions,
    connect: ConnectOptions,
) -> Result<(), CliError> {
    let exception = build_exception(&options)?;
    let client = OperatorClient::new(&connect)?;
    let mut config = read_config(&client).await?;
    for _ in 0..MAX_TRIES {
        let seen = config.exceptions.clone();
        let change_id = new_change_id();
        print_change_id(&change_id);
        let put = ConfigPutCall {
            change_id,
            base_version: config.version,
            exceptions: merge_exception(config.exceptions, &exception),
            defaults: config.defaults,
        };
        let current = match send_change(&client, &put).await {
            Ok(reply) => return show_commit(&reply, connect.json),
            Err(CliError::Config(ConfigError::Conflict { current, .. })) => current,
            Err(error) => return Err(error),
        };
        config = read_newer(&client, current).await?;
        if let Err(key) = still_applies(&seen, &config.exceptions, &exception) {
            return Err(ConfigError::ConcurrentChange { key, scope: exception.scope }.into());
        }
    }
    Err(ConfigError::TooManyConflicts { tries: MAX_TRIES }.into())
}

/// Waits until the queried instance has `version`, the one that caused a conflict, and returns its
/// configuration. A change based on an older version would conflict again.
async fn read_newer(
    client: &OperatorClient,
    version: ConfigVersion,
) -> Result<ConfigReply, CliError> {
    let started = Instant::now();
    loop {
        let config = read_config(client).await?;
        if config.version >= version {
            return Ok(config);
        }
        if started.elapsed() >= PROPAGATION_TIMEOUT {
            return Err(ConfigError::NotPropagated { version, seen: config.version }.into());
        }
        tokio::time::sleep(PROPAGATION_POLL_PERIOD).await;
    }
}

/// Removes the keys of `new` from the exceptions of the same scope and appends `new`.
pub fn merge_exception(
    exceptions: Vec<FleetException>,
    new: &FleetException,
) -> Vec<FleetException> {
    let mut merged = Vec::with_capacity(exceptions.len() + 1);
    for mut old in exceptions {
        if old.scope == new.scope {
            old.set.retain(|key, _| !new.set.contains_key(key));
        }
        if !old.set.is_empty() {
            merged.push(old);
        }
    }
    merged.push(new.clone());
    merged
}

/// Checks that `before` and `after` agree on every key of `new` within its scope.
///
/// # Errors
///
/// Returns the first key that changed.
pub fn still_applies(
    before: &[FleetException],
    after: &[FleetException],
    new: &FleetException,
) -> Result<(), String> {
    for key in new.set.keys() {
        if find_setting(before, &new.scope, key) != find_setting(after, &new.scope, key) {
            return Err(key.clone());
        }
    }
    Ok(())
}

/// Returns the value and the reason of a key within a scope.
fn find_setting<'a>(
    exceptions: &'a [FleetException],
    scope: &FleetScope,
    key: &str,
) -> Option<(&'a Value, &'a str)> {
    let mut within = exceptions.iter().filter(|exception| exception.scope == *scope);
    within.find_map(|exception| Some((exception.set.get(key)?, exception.reason.as_str())))
}

/// Builds and validates the exception locally, without contact to the tier.
fn build_exception(options: &ExceptOptions) -> Result<FleetException, ConfigError> {
    let mut set = Map::new();
    for SettingArg { key, value } in &options.settings {
        if set.insert(key.clone(), value.clone()).is_some() {
            return Err(ConfigError::BadException {
                argument: "--set".to_owned(),
                value: key.clone(),
                allowed: "each key may be given once".to_owned(),
            });
        }
    }
    let entry = json!({ "scope": options.scope, "set": set, "reason": options.reason });
    let draft = parse_draft(&json!({ "exceptions": [entry] })).map_err(|error| {
        let allowed = explain_allowed(&error);
        let argument = name_argument(&error.field);
        ConfigError::BadException { argument, value: error.value, allowed }
    })?;
    draft.exceptions.into_iter().next().ok_or_else(|| ConfigError::BadException {
        argument: "--set".to_owned(),
        value: "nothing".to_owned(),
        allowed: "at least one key must be given".to_owned(),
    })
}

/// Returns the command-line argument that sets the field at this path.
fn name_argument(field: &str) -> String {
    let part = field.trim_start_matches("exceptions[0].");
    match part.strip_prefix("set.") {
        Some(key) => format!("--set {key}"),
        None => format!("--{part}"),
    }
}
