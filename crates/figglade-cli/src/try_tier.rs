//! The embedded tier of `figglade try`.

use std::{net::SocketAddr, path::Path, time::Duration};

use derive_more::{Display, Error, From};
use figglade::{
    IndexName, IndexVersion, PartitionEpoch, RequestId, ZoneName,
    wire::{ActionOutcome, ActionResponse, QueryResponse},
};
use figglade_testkit::{
    IndexLayout, RegisterData, StandIn, StandInError, TestClient, TestClientError, stand_in,
};
use figgladed::{
    runtime::{InstanceRuntime, RuntimeError},
    settings::{InstanceSettings, SettingsError},
};
use serde_json::json;

use crate::timeline::wall_now;

/// The index that the embedded tier serves.
const INDEX: &str = "register-portal";
/// The shards of the index.
const SHARDS: u32 = 10;
/// The replicas of each shard.
const REPLICAS: u32 = 3;
/// The records of the index.
const RECORDS: u64 = 400;
/// The interval at which the search is repeated until it covers every shard.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// How long the embedded tier may take to cover every shard.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The deadline of every request, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// The reason `figglade try` failed.
#[derive(Debug, Display, Error, From)]
pub enum TryError {
    /// The settings are invalid.
    Settings(SettingsError),
    /// The instance did not start.
    Runtime(RuntimeError),
    /// The settings of the stand-in targets are invalid.
    Layout(stand_in::SettingsError),
    /// A stand-in target did not start.
    StandIn(StandInError),
    /// The data folder could not be created.
    Folder(std::io::Error),
    /// A request failed.
    Client(TestClientError),
    /// An answer was not as expected.
    #[display("{what}")]
    #[from(ignore)]
    Unexpected {
        /// What was wrong with it.
        #[error(not(source))]
        what: String,
    },
}

/// Starts an embedded tier and prints the answers to three requests.
///
/// # Errors
///
/// Fails when the tier does not start or an answer is not as expected.
pub async fn run_try() -> Result<(), TryError> {
    let folder = tempfile::tempdir()?;
    let settings = embedded_settings(folder.path())?;
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let instance = InstanceRuntime::start(settings, log).await?;
    let address = instance.http_address();
    println!("started one instance at {address}");
    let targets = start_targets(address).await?;
    println!("announced {} stand-in targets: {SHARDS} shards x {REPLICAS}", targets.len());
    let client = TestClient::new();
    let result = run_requests(&client, address).await;
    for target in targets {
        target.close().await;
    }
    instance.close().await;
    result
}

/// Returns settings of a control member on free loopback ports that keeps its log in `folder`.
fn embedded_settings(folder: &Path) -> Result<InstanceSettings, TryError> {
    let peer = free_address()?;
    let folder = folder.display().to_string();
    let text = SETTINGS.replace("PEER", &peer.to_string()).replace("FOLDER", &folder);
    Ok(InstanceSettings::from_text(&text, Path::new("embedded settings"))?)
}

/// Returns a loopback address whose port is currently free.
fn free_address() -> Result<SocketAddr, std::io::Error> {
    std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Settings of an instance on free loopback ports.
const SETTINGS: &str = r#"
[instance]
id = "embedded"
availability_zone = "local"
data_dir = "FOLDER"
[listen]
http = "127.0.0.1:0"
peer = "PEER"
[control]
members = [{ id = "embedded", peer = "PEER" }]
"#;

async fn start_targets(address: SocketAddr) -> Result<Vec<StandIn>, TryError> {
    let layout = IndexLayout {
        index: index_name(),
        shard_count: SHARDS,
        replica_count: REPLICAS,
        records: RECORDS,
        version: IndexVersion::new(1),
        partition_epoch: PartitionEpoch::new(1),
        zones: vec![zone_name()],
    };
    let mut targets = Vec::new();
    for settings in layout.targets(&[address])? {
        targets.push(StandIn::start(settings).await?);
    }
    Ok(targets)
}

async fn run_requests(client: &TestClient, address: SocketAddr) -> Result<(), TryError> {
    let found = search_covered(client, address).await?;
    print_answer("search", &found)?;
    let key = RegisterData::record_key(&index_name(), 7);
    let body = json!({ "index": INDEX, "key": key, "deadline_ms": DEADLINE_MS });
    let record: QueryResponse = client.post(address, "/v1/lookup", &body).await?.json()?;
    print_answer("lookup", &record)?;
    expect(record.complete && record.hits.len() == 1, "the lookup found no record")?;
    run_action(client, address).await
}

/// Repeats a search until it covers every shard.
async fn search_covered(
    client: &TestClient,
    address: SocketAddr,
) -> Result<QueryResponse, TryError> {
    let query = json!({ "text": "indigo" });
    let body = json!({ "index": INDEX, "query": query, "limit": 3, "deadline_ms": DEADLINE_MS });
    let deadline = tokio::time::Instant::now() + START_TIMEOUT;
    loop {
        let reply = client.post(address, "/v1/query", &body).await?;
        if let Ok(answer) = reply.json::<QueryResponse>()
            && answer.complete
            && answer.coverage.shards_total == Some(SHARDS)
        {
            return Ok(answer);
        }
        expect(
            tokio::time::Instant::now() < deadline,
            "the search did not cover every shard in time",
        )?;
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

async fn run_action(client: &TestClient, address: SocketAddr) -> Result<(), TryError> {
    let request = RequestId::from_parts(wall_now(), *b"figglade-1");
    let key = RegisterData::record_key(&index_name(), 7);
    let body = json!({
        "request_id": request, "index": INDEX, "key": key,
        "body": { "draft": "certificate" }, "deadline_ms": DEADLINE_MS,
    });
    let first: ActionResponse = client.post(address, "/v1/action", &body).await?.json()?;
    println!("action {request}: {}", first.outcome);
    let resent: ActionResponse = client.post(address, "/v1/action", &body).await?.json()?;
    println!("action {request} resent: {} (recorded, not run again)", resent.outcome);
    let done = first.outcome == ActionOutcome::Done && resent.outcome == ActionOutcome::Done;
    expect(done, "the action did not run")
}

fn print_answer(kind: &str, answer: &QueryResponse) -> Result<(), TryError> {
    let coverage = &answer.coverage;
    println!(
        "{kind}: {} hits from version {}, {} of {} documents in {} shards, complete: {}, {:.1} ms",
        answer.hits.len(),
        answer.index_version,
        coverage.documents_searched,
        coverage.documents_total.map_or("?".to_owned(), |total| total.to_string()),
        coverage.shards_answered,
        answer.complete,
        answer.elapsed_ms,
    );
    for hit in &answer.hits {
        println!("  {:.3} {} {}", hit.score, hit.id, hit.body);
    }
    expect(!answer.hits.is_empty(), "an answer had no hits")
}

fn expect(holds: bool, what: &str) -> Result<(), TryError> {
    if holds { Ok(()) } else { Err(TryError::Unexpected { what: what.to_owned() }) }
}

fn index_name() -> IndexName {
    INDEX.parse().expect("the name has allowed characters")
}

fn zone_name() -> ZoneName {
    "local".parse().expect("the name has allowed characters")
}
