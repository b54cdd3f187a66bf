//! Searches, lookups and actions.

use std::time::Duration;

use figglade::{
    RequestId,
    wire::{ActionOutcome, ActionResponse, QueryResponse},
};
use hyper::Method;
use serde_json::{Value, json};
use uuid::Uuid;

use crate::{
    args::{ActionOptions, ConnectOptions, LookupOptions, QueryOptions},
    client::{Call, OperatorClient, Reply},
    error::CliError,
    output::{clean_text, or_unknown, print_json, print_table},
};

/// Runs a search and prints its hits with their coverage.
///
/// # Errors
///
/// Fails when the query is not JSON or the tier refuses.
pub async fn run_query(options: QueryOptions, connect: ConnectOptions) -> Result<(), CliError> {
    let mut body = json!({
        "index": options.index, "query": parse_json("QUERY", &options.query)?,
        "limit": options.limit, "deadline_ms": options.deadline_ms,
    });
    set_optional(&mut body, "min_coverage", options.min_coverage.map(Value::from));
    set_optional(&mut body, "request_id", options.request_id.map(|id| id.to_string().into()));
    let reply = send_request("/v1/query", &body, options.deadline_ms, &connect).await?;
    show_answer(&reply, connect.json)
}

/// Runs a lookup and prints the record.
///
/// # Errors
///
/// Fails when the tier refuses.
pub async fn run_lookup(options: LookupOptions, connect: ConnectOptions) -> Result<(), CliError> {
    let mut body = json!({
        "index": options.index, "key": options.key, "deadline_ms": options.deadline_ms,
    });
    set_optional(&mut body, "request_id", options.request_id.map(|id| id.to_string().into()));
    let reply = send_request("/v1/lookup", &body, options.deadline_ms, &connect).await?;
    show_answer(&reply, connect.json)
}

/// Runs an action and prints its outcome. The request id is printed before the action is sent and
/// is the same in every attempt, so that the operator can repeat the command safely.
///
/// # Errors
///
/// Fails when the body is not JSON, the tier refuses or the outcome is not `done`.
pub async fn run_action(options: ActionOptions, connect: ConnectOptions) -> Result<(), CliError> {
    let content = parse_json("BODY", &options.body)?;
    let request = options.request_id.unwrap_or_else(|| RequestId::from(Uuid::now_v7()));
    eprintln!("request_id: {request}");
    let body = json!({
        "request_id": request, "index": options.index, "key": options.key, "body": content,
        "deadline_ms": options.deadline_ms,
    });
    let reply = send_request("/v1/action", &body, options.deadline_ms, &connect).await?;
    let answer: ActionResponse = reply.decode()?;
    if connect.json {
        print_json(&reply.value()?);
    } else if answer.outcome == ActionOutcome::Done {
        println!("action {request}: done");
        let result = answer.result.as_ref().map_or("null", |result| result.get());
        println!("result: {}", clean_text(result));
    }
    if answer.outcome == ActionOutcome::Done {
        return Ok(());
    }
    let reason = answer.reason.unwrap_or_else(|| "no reason given".to_owned());
    Err(CliError::NotDone { request, outcome: answer.outcome, reason })
}

async fn send_request(
    path: &str,
    body: &Value,
    deadline_ms: u64,
    connect: &ConnectOptions,
) -> Result<Reply, CliError> {
    let client = OperatorClient::new(connect)?;
    let wait = Duration::from_millis(deadline_ms);
    let call = Call::with_body(Method::POST, path, body).waiting(wait);
    Ok(client.send_in_turn(&call).await?)
}

fn show_answer(reply: &Reply, as_json: bool) -> Result<(), CliError> {
    let answer: QueryResponse = reply.decode()?;
    if as_json {
        print_json(&reply.value()?);
        return Ok(());
    }
    let coverage = &answer.coverage;
    println!(
        "version {}, {} of {} documents in {} of {} shards, {}, {:.1} ms",
        answer.index_version,
        coverage.documents_searched,
        or_unknown(coverage.documents_total),
        coverage.shards_answered,
        or_unknown(coverage.shards_total),
        if answer.complete { "complete" } else { "PARTIAL" },
        answer.elapsed_ms,
    );
    if answer.stale {
        println!("stale: the instance cannot prove that its configuration is the latest");
    }
    for missing in &coverage.missing {
        println!("missing: shard {} ({})", missing.shard, missing.reason);
    }
    let rows = answer
        .hits
        .iter()
        .map(|hit| vec![format!("{:.3}", hit.score), hit.id.clone(), hit.body.get().to_owned()]);
    print_table(&["score", "id", "body"], rows.collect());
    Ok(())
}

fn set_optional(body: &mut Value, name: &str, value: Option<Value>) {
    if let Some(value) = value {
        body[name] = value;
    }
}

fn parse_json(name: &'static str, text: &str) -> Result<Value, CliError> {
    serde_json::from_str(text).map_err(|error| CliError::Usage {
        name,
        value: text.to_owned(),
        allowed: format!("it must be JSON ({error})"),
    })
}
