//! Commands that act as callers.

use std::{
    collections::BTreeSet,
    time::{SystemTime, UNIX_EPOCH},
};

use datadriven::TestCase;
use figglade::{
    RequestId, WallTime,
    wire::{ActionResponse, ErrorBody, QueryResponse},
};
use futures::future::join_all;
use serde_json::{Value, json};

use super::{
    ScenarioError,
    arguments::{take_instance, take_instances},
    world::ScenarioWorld,
};
use crate::client::{TestClientError, TestReply};

/// The deadline of requests that name none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 5_000;

impl ScenarioWorld {
    /// `query i1 index=NAME [deadline=MS] [min_coverage=X] [times=N]`: searches every record.
    ///
    /// With `times` the answers of all searches must be alike, and are printed once.
    pub(super) async fn run_query(&mut self, case: &mut TestCase) -> Result<String, ScenarioError> {
        let number = take_instance(case)?;
        let times: usize = case.try_take_arg("times")?.unwrap_or(1);
        let mut body = json!({
            "index": case.take_arg::<String>("index")?,
            "query": { "all": true },
            "limit": case.try_take_arg::<u32>("limit")?.unwrap_or(1_000),
            "deadline_ms": take_deadline(case)?,
        });
        if let Some(fraction) = case.try_take_arg::<f64>("min_coverage")? {
            body["min_coverage"] = json!(fraction);
        }
        let mut seen = BTreeSet::new();
        for _ in 0..times {
            let reply = self.post(number, "/v1/query", &body).await?;
            seen.insert(describe_query(&reply)?);
        }
        Ok(seen.into_iter().collect())
    }

    /// `lookup i1 index=NAME key=KEY`: reads one record.
    pub(super) async fn run_lookup(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let number = take_instance(case)?;
        let body = json!({
            "index": case.take_arg::<String>("index")?,
            "key": case.take_arg::<String>("key")?,
            "deadline_ms": take_deadline(case)?,
        });
        let reply = self.post(number, "/v1/lookup", &body).await?;
        describe_query(&reply)
    }

    /// `action i1 i2 id=NAME index=NAME key=KEY [body=TEXT] [deadline=MS]`: sends an action to
    /// every instance named, at once; prints the different outcomes.
    ///
    /// The same name of the identifier is the same identifier throughout the scenario.
    pub(super) async fn run_actions(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let numbers = take_instances(case);
        let id = self.request_id(&case.take_arg::<String>("id")?);
        let body = json!({
            "request_id": id,
            "index": case.take_arg::<String>("index")?,
            "key": case.take_arg::<String>("key")?,
            "body": case.try_take_arg::<String>("body")?.unwrap_or("draft".to_owned()),
            "deadline_ms": take_deadline(case)?,
        });
        let mut addresses = Vec::new();
        for number in numbers {
            addresses.push(self.http(number)?);
        }
        let client = &self.client;
        let sendings =
            addresses.into_iter().map(|address| client.post(address, "/v1/action", &body));
        let replies = join_all(sendings).await;
        let mut outcomes = BTreeSet::new();
        for reply in replies {
            outcomes.insert(describe_action(reply)?);
        }
        Ok(outcomes.into_iter().collect())
    }

    /// `ran id=NAME`: prints how many times targets ran an action.
    pub(super) fn count_runs(&mut self, case: &mut TestCase) -> Result<String, ScenarioError> {
        let id = self.request_id(&case.take_arg::<String>("id")?);
        let live = self.targets.values().flat_map(|target| target.ran_actions());
        let all = live.chain(self.ran_before.iter().cloned());
        Ok(format!("ran={}\n", all.filter(|action| action.request_id == id).count()))
    }

    /// Returns the identifier that a scenario calls `name`.
    fn request_id(&mut self, name: &str) -> RequestId {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let wall = WallTime::from_millis(elapsed.as_millis() as u64);
        let make = || RequestId::from_parts(wall, rand::random());
        *self.requests.entry(name.to_owned()).or_insert_with(make)
    }

    /// Posts to an instance.
    pub(super) async fn post(
        &mut self,
        number: usize,
        path: &str,
        body: &Value,
    ) -> Result<TestReply, ScenarioError> {
        let address = self.http(number)?;
        Ok(self.client.post(address, path, body).await?)
    }
}

/// Takes the deadline of a request, in milliseconds.
fn take_deadline(case: &mut TestCase) -> Result<u64, ScenarioError> {
    Ok(case.try_take_arg("deadline")?.unwrap_or(DEFAULT_DEADLINE_MS))
}

/// Describes the answer to a search or lookup.
pub(super) fn describe_query(reply: &TestReply) -> Result<String, ScenarioError> {
    if reply.status != 200 {
        return describe_refusal(reply);
    }
    let answer: QueryResponse = reply.json()?;
    let coverage = &answer.coverage;
    let show = |value: Option<String>| value.unwrap_or_else(|| "unknown".to_owned());
    let missing: Vec<String> = coverage
        .missing
        .iter()
        .map(|missing| format!("{}:{}", missing.shard, missing.reason))
        .collect();
    let ids: BTreeSet<&str> = answer.hits.iter().map(|hit| hit.id.as_str()).collect();
    let mixed = answer.hits.iter().filter(|hit| !is_of_version(hit.body.get(), &answer)).count();
    let mut text = format!(
        "complete={} version={} epoch={} documents={}/{} hits={}",
        answer.complete,
        answer.index_version,
        answer.partition_epoch,
        coverage.documents_searched,
        show(coverage.documents_total.map(|total| total.to_string())),
        answer.hits.len(),
    );
    if !missing.is_empty() {
        text.push_str(&format!(" missing={}", missing.join(",")));
    }
    if ids.len() != answer.hits.len() {
        text.push_str(&format!(" repeated={}", answer.hits.len() - ids.len()));
    }
    if mixed > 0 {
        text.push_str(&format!(" other-version={mixed}"));
    }
    text.push('\n');
    Ok(text)
}

/// Returns whether a record says that it is of the version the answer names.
fn is_of_version(body: &str, answer: &QueryResponse) -> bool {
    let record: Value = serde_json::from_str(body).unwrap_or_default();
    record["index_version"] == answer.index_version.get()
}

/// Describes the answer to an action; a lost connection is an outcome, too.
fn describe_action(reply: Result<TestReply, TestClientError>) -> Result<String, ScenarioError> {
    let reply = match reply {
        Ok(reply) => reply,
        Err(TestClientError::Connection { .. }) => return Ok("connection lost\n".to_owned()),
        Err(error) => return Err(error.into()),
    };
    if reply.status != 200 {
        return describe_refusal(&reply);
    }
    let answer: ActionResponse = reply.json()?;
    Ok(format!("outcome={}\n", answer.outcome))
}

/// Describes a refusal.
fn describe_refusal(reply: &TestReply) -> Result<String, ScenarioError> {
    let error: ErrorBody = reply.json()?;
    let field = error.field.map(|field| format!(" field={field}")).unwrap_or_default();
    let (status, code, outcome) = (reply.status, error.error_code, error.outcome);
    Ok(format!("refused {status} {code}{field} outcome={outcome}\n"))
}
