//! Commands that act as operators.

use std::{collections::BTreeMap, time::Duration};

use datadriven::TestCase;
use futures::future::join_all;
use serde_json::{Value, json};

use super::{
    ScenarioError,
    arguments::{take_instance, take_instances, take_patience, take_rest},
    world::ScenarioWorld,
};
use crate::client::{TestClientError, TestReply};

/// Where operators read and change the configuration.
const CONFIG_PATH: &str = "/v1/operator/config";

/// The time between two tries of a change of members.
const MEMBER_POLL: Duration = Duration::from_millis(100);

impl ScenarioWorld {
    /// `put-config i1 change=NAME base=VERSION [count=N] KEY=VALUE ...`: proposes a configuration;
    /// with `count` that many in turn, each on top of the one before. Prints the last answer.
    pub(super) async fn put_configs(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let number = take_instance(case)?;
        let change: String = case.take_arg("change")?;
        let base: u64 = case.take_arg("base")?;
        let count: u64 = case.try_take_arg("count")?.unwrap_or(1);
        let address = self.http(number)?;
        let defaults = Value::Object(take_rest(case));
        let mut shown = String::new();
        for step in 0..count {
            let name = if step == 0 { change.clone() } else { format!("{change}-{step}") };
            let body = config_body(&name, base + step, &defaults);
            shown = describe_change(self.client.put(address, CONFIG_PATH, &body).await)?;
        }
        Ok(shown)
    }

    /// `race-config i1 i2 base=VERSION KEY=VALUE ...`: operators at all the instances named propose
    /// different changes of the same version at once. Prints each kind of answer with its count.
    pub(super) async fn race_configs(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let numbers = take_instances(case);
        let base: u64 = case.take_arg("base")?;
        let defaults = Value::Object(take_rest(case));
        let mut changes = Vec::new();
        for number in numbers {
            let body = config_body(&format!("race-{base}-{number}"), base, &defaults);
            changes.push((self.http(number)?, body));
        }
        let client = &self.client;
        let sendings = changes
            .iter()
            .map(|(address, body)| async { client.put(*address, CONFIG_PATH, body).await });
        let mut counts = BTreeMap::<String, usize>::new();
        for reply in join_all(sendings).await {
            *counts.entry(describe_change(reply)?).or_default() += 1;
        }
        Ok(counts.into_iter().map(|(text, count)| format!("{count} x {text}")).collect())
    }

    /// `config i1 [key=NAME]`: prints the version in force, a default and whether it is current.
    pub(super) async fn show_config(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let number = take_instance(case)?;
        let key: Option<String> = case.try_take_arg("key")?;
        let page = self.read_page(number, CONFIG_PATH).await?;
        let value = key.map(|key| format!(" {key}={}", page["defaults"][&key])).unwrap_or_default();
        Ok(format!("version={}{value} current={}\n", page["version"], page["current"]))
    }

    /// `member i1 change=add|promote|remove id=i4`: changes the control group at an instance. Tries
    /// again while the group refuses because an earlier change has not settled.
    pub(super) async fn change_member(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let number = take_instance(case)?;
        let patience = take_patience(case)?;
        let change: String = case.take_arg("change")?;
        let id: String = case.take_arg("id")?;
        let mut body = json!({ "change": change, "id": id });
        if change == "add" {
            let member = id.strip_prefix('i').and_then(|number| number.parse::<usize>().ok());
            let member = member.ok_or_else(|| ScenarioError::usage("id must be like i4"))?;
            body["peer"] = json!(self.switchboard.addresses()[member - 1]);
        }
        let deadline = tokio::time::Instant::now() + patience;
        loop {
            let reply = self.post(number, "/v1/operator/members", &body).await?;
            if reply.status == 200 {
                return Ok("accepted\n".to_owned());
            }
            if tokio::time::Instant::now() >= deadline {
                return Err(ScenarioError::TimedOut {
                    what: format!("{change} of {id}"),
                    waited: patience,
                    seen: String::from_utf8_lossy(&reply.body).into_owned(),
                });
            }
            tokio::time::sleep(MEMBER_POLL).await;
        }
    }
}

/// Builds the document of a change.
fn config_body(change: &str, base: u64, defaults: &Value) -> Value {
    json!({ "change_id": change, "base_version": base, "defaults": defaults, "exceptions": [] })
}

/// Describes the answer to a change of the configuration.
fn describe_change(reply: Result<TestReply, TestClientError>) -> Result<String, ScenarioError> {
    let reply = match reply {
        Ok(reply) => reply,
        Err(TestClientError::Connection { .. }) => return Ok("connection lost\n".to_owned()),
        Err(error) => return Err(error.into()),
    };
    let body: Value = reply.json()?;
    let text = |field: &str| body[field].as_str().unwrap_or_default().to_owned();
    Ok(match reply.status {
        200 => format!("committed version={}\n", body["version"]),
        409 if body["version"].is_u64() => {
            format!("refused 409 {} latest={}\n", text("error_code"), body["version"])
        }
        // Whether a cut-off member led decides if it can tell that the change was not proposed.
        status => format!("refused {status} {}\n", text("error_code")),
    })
}
