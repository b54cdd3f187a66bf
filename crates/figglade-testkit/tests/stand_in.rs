//! Speaks to a stand-in target the way an instance does.

use std::{net::SocketAddr, sync::Arc};

use figglade::{
    AttemptId, IndexName, ShardId, shard_of_key,
    wire::{SearchReply, TargetState},
};
use figglade_testkit::{
    AnswerFault, ControlChange, IndexLayout, RegisterData, ResetPoint, StandIn, StandInFaults,
    StandInSettings, TestClient, TestClientError, TestReply,
    stand_in::{FleetSettings, ServiceTime},
};
use serde_json::{Value, json};
use tokio::net::TcpListener;

const SHARD_COUNT: u32 = 4;
const RECORDS: u64 = 40;

fn index() -> IndexName {
    "register-portal".parse().expect("index")
}

fn settings(announce_to: &[SocketAddr]) -> StandInSettings {
    let documents = RegisterData::count_documents(&index(), RECORDS, ShardId::new(0), SHARD_COUNT);
    let text = format!(
        r#"
        target_id = "t1"
        incarnation = 7
        availability_zone = "norrhamn-a"
        seed = 3
        announce_to = {announce_to:?}
        [[replicas]]
        index = "register-portal"
        shard = 0
        shard_count = {SHARD_COUNT}
        partition_epoch = 1
        versions = [{{ version = 5, documents = {documents} }}]
        "#,
        announce_to = announce_to.iter().map(ToString::to_string).collect::<Vec<_>>(),
    );
    FleetSettings::parse(&text).expect("settings").targets.remove(0)
}

fn with_service(mean_us: u64) -> StandInSettings {
    StandInSettings { service_time: ServiceTime { mean_us, ..Default::default() }, ..settings(&[]) }
}

fn attempt_text(attempt: u128) -> String {
    uuid::Uuid::from_u128(attempt).to_string()
}

fn search_body(attempt: u128, version: u64, query: &Value) -> Value {
    json!({
        "attempt_id": attempt_text(attempt), "index": index(), "shard": 0, "partition_epoch": 1,
        "version": version, "deadline_ms": 5_000, "limit": 100, "query": query,
    })
}

async fn search(target: &StandIn, attempt: u128) -> Result<TestReply, TestClientError> {
    let body = search_body(attempt, 5, &json!({ "all": true }));
    TestClient::new().post(target.address(), "/search", &body).await
}

async fn act(target: &StandIn, attempt: u128) -> Result<TestReply, TestClientError> {
    let body = json!({
        "attempt_id": attempt_text(attempt), "index": index(), "shard": 0, "key": "k",
        "request_id": "01890a5d-ac96-774b-bcce-b302099a8057", "body": {"sett": 1},
        "deadline_ms": 5_000,
    });
    TestClient::new().post(target.address(), "/act", &body).await
}

async fn start(settings: StandInSettings) -> StandIn {
    StandIn::start(settings).await.expect("stand-in starts")
}

fn set_faults(target: &StandIn, faults: StandInFaults) {
    target.control().set_faults(faults).expect("faults in range");
}

/// Waits until the counters satisfy `reached`.
async fn wait_for_state(
    target: &StandIn,
    reached: impl Fn(&figglade_testkit::StandInState) -> bool,
) {
    while !reached(&target.state()) {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn search_covers_the_records_of_the_shard() {
    let target = start(settings(&[])).await;
    let reply: SearchReply = search(&target, 9).await.expect("answer").json().expect("reply");
    assert_eq!(reply.attempt_id, AttemptId::new(9));
    assert_eq!(reply.documents_searched as usize, reply.hits.len());
    let expected: Vec<String> = (0..RECORDS)
        .map(|number| RegisterData::record_key(&index(), number))
        .filter(|key| shard_of_key(key.as_bytes(), SHARD_COUNT) == ShardId::new(0))
        .collect();
    let mut found: Vec<String> = reply.hits.iter().map(|hit| hit.id.clone()).collect();
    assert!(reply.hits.is_sorted_by(|left, right| left.score >= right.score));
    found.sort();
    assert_eq!(found, {
        let mut keys = expected.clone();
        keys.sort();
        keys
    });

    let body = search_body(10, 5, &json!({ "key": expected[0] }));
    let reply = TestClient::new().post(target.address(), "/search", &body).await.expect("answer");
    assert_eq!(reply.json::<SearchReply>().expect("reply").hits.len(), 1);
    target.close().await;
}

#[tokio::test]
async fn version_that_is_not_held_is_refused_until_it_is_added() {
    let target = start(settings(&[])).await;
    let body = search_body(1, 6, &json!({ "all": true }));
    let client = TestClient::new();
    let reply = client.post(target.address(), "/search", &body).await.expect("answer");
    assert_eq!(reply.status, 409);
    let mut replicas = target.control().replicas();
    replicas[0].versions[0].version = figglade::IndexVersion::new(6);
    let change = ControlChange { replicas: Some(replicas), ..Default::default() };
    client.post(target.address(), "/stand-in/control", &change).await.expect("control");
    let reply = client.post(target.address(), "/search", &body).await.expect("answer");
    assert_eq!(reply.status, 200);
    target.close().await;
}

#[tokio::test]
async fn every_action_sent_is_run_and_recorded() {
    let target = start(settings(&[])).await;
    for attempt in [1, 2] {
        assert_eq!(act(&target, attempt).await.expect("answer").status, 200);
    }
    let actions = target.ran_actions();
    assert_eq!(actions.len(), 2);
    assert_eq!(actions[0].request_id, actions[1].request_id);
    assert_eq!(actions[0].body, json!({ "sett": 1 }));
    target.close().await;
}

#[tokio::test]
async fn full_slots_queue_then_shed() {
    let one_slot = StandInSettings { slots: 1, queue: 1, ..with_service(60_000_000) };
    let target = Arc::new(start(one_slot).await);
    let mut running = tokio::task::JoinSet::new();
    for attempt in 1..=2 {
        let other = Arc::clone(&target);
        running.spawn(async move { search(&other, attempt).await });
        wait_for_state(&target, |state| state.searches_received == attempt as u64).await;
    }
    wait_for_state(&target, |state| state.searches_started == 1).await;
    assert_eq!(search(&target, 3).await.expect("answer").status, 429);
    assert_eq!(target.state().max_running, 1);
}

#[tokio::test]
async fn cancellation_frees_the_slot() {
    let target = Arc::new(start(StandInSettings { slots: 1, ..with_service(60_000_000) }).await);
    let other = Arc::clone(&target);
    let running = tokio::spawn(async move { search(&other, 1).await });
    wait_for_state(&target, |state| state.searches_started == 1).await;
    let cancel = json!({ "attempt_id": attempt_text(1) });
    TestClient::new().post(target.address(), "/cancel", &cancel).await.expect("cancel");
    assert_eq!(running.await.expect("task").expect("answer").status, 499);
    let state = target.state();
    assert_eq!((state.searches_cancelled, state.searches_finished), (1, 0));
    let load = TestClient::new().get(target.address(), "/load").await.expect("load");
    assert_eq!(load.json::<Value>().expect("json")["in_flight"], 0);
}

#[tokio::test]
async fn deadline_ends_the_work() {
    let target = start(with_service(60_000_000)).await;
    let mut body = search_body(1, 5, &json!({ "all": true }));
    body["deadline_ms"] = json!(20);
    let reply = TestClient::new().post(target.address(), "/search", &body).await.expect("answer");
    assert_eq!(reply.status, 504);
    assert_eq!(target.state().expired, 1);
}

#[tokio::test]
async fn connections_beyond_the_cap_are_closed() {
    let capped = StandInSettings { connections: 1, ..settings(&[]) };
    let target = start(capped).await;
    let held = tokio::net::TcpStream::connect(target.address()).await.expect("connect");
    wait_for_state(&target, |state| state.connections_open == 1).await;
    assert!(matches!(search(&target, 1).await, Err(TestClientError::Connection { .. })));
    assert_eq!(target.state().connections_max, 1);
    drop(held);
}

#[tokio::test]
async fn wrong_answers_name_something_else() {
    let target = start(settings(&[])).await;
    for (fault, field) in [
        (AnswerFault::WrongAttempt, "attempt_id"),
        (AnswerFault::WrongVersion, "version"),
        (AnswerFault::WrongShard, "shard"),
    ] {
        let right: Value = search(&target, 4).await.expect("answer").json().expect("json");
        set_faults(&target, StandInFaults { answer: fault, ..Default::default() });
        let wrong: Value = search(&target, 4).await.expect("answer").json().expect("json");
        assert_ne!(right[field], wrong[field], "{fault:?}");
        set_faults(&target, StandInFaults::default());
    }
    target.close().await;
}

#[tokio::test]
async fn broken_answers_are_broken() {
    let target = start(settings(&[])).await;
    let whole = search(&target, 1).await.expect("answer").body;
    let fault = |answer| StandInFaults { answer, ..Default::default() };

    set_faults(&target, fault(AnswerFault::Truncated));
    assert!(matches!(search(&target, 1).await, Err(TestClientError::Connection { .. })));
    set_faults(&target, fault(AnswerFault::Malformed));
    assert!(search(&target, 1).await.expect("answer").json::<Value>().is_err());
    set_faults(&target, fault(AnswerFault::Oversized { bytes: 1 << 20 }));
    assert!(search(&target, 1).await.expect("answer").body.len() > 1 << 20);
    set_faults(&target, fault(AnswerFault::Drip { piece_bytes: 64, pause_ms: 1 }));
    assert_eq!(search(&target, 1).await.expect("answer").body, whole);
    set_faults(&target, fault(AnswerFault::DoubledHits));
    let doubled: SearchReply = search(&target, 1).await.expect("answer").json().expect("reply");
    assert_eq!(doubled.hits[0].id, doubled.hits[1].id);
    set_faults(&target, StandInFaults { documents_share: 0.5, ..Default::default() });
    let partial: SearchReply = search(&target, 1).await.expect("answer").json().expect("reply");
    assert!(partial.documents_searched < doubled.documents_searched);
    target.close().await;
}

#[tokio::test]
async fn doubled_answer_is_on_the_wire_twice() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let target = start(settings(&[])).await;
    let faults = StandInFaults { answer: AnswerFault::Doubled, ..Default::default() };
    set_faults(&target, faults);
    let body = search_body(1, 5, &json!({ "all": true })).to_string();
    let request =
        format!("POST /search HTTP/1.1\r\nhost: t\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let mut stream = tokio::net::TcpStream::connect(target.address()).await.expect("connect");
    stream.write_all(request.as_bytes()).await.expect("write");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("read");
    assert_eq!(answer.matches("HTTP/1.1 200 OK").count(), 2);
    target.close().await;
}

#[tokio::test]
async fn resets_come_before_or_after_the_run() {
    let target = start(settings(&[])).await;
    for (reset, runs) in [(ResetPoint::BeforeRun, 0), (ResetPoint::AfterRun, 1)] {
        set_faults(&target, StandInFaults { reset, ..Default::default() });
        assert!(matches!(act(&target, 1).await, Err(TestClientError::Connection { .. })));
        assert_eq!(target.ran_actions().len(), runs);
    }
    target.close().await;
}

#[tokio::test]
async fn shedding_and_lies_are_switched_over_http() {
    let target = start(settings(&[])).await;
    let client = TestClient::new();
    let change = json!({ "faults": {
        "shed": true, "load_lie": { "in_flight": 0, "slots": 99, "queue": 0 },
    } });
    let reply = client.post(target.address(), "/stand-in/control", &change).await.expect("control");
    assert_eq!(reply.status, 200);
    assert_eq!(search(&target, 1).await.expect("answer").status, 429);
    let load = client.get(target.address(), "/load").await.expect("load");
    assert_eq!(load.json::<Value>().expect("json")["slots"], 99);
    let change = json!({ "faults": { "answer_share": 2.0 } });
    let reply = client.post(target.address(), "/stand-in/control", &change).await.expect("control");
    assert_eq!(reply.status, 400);
    assert!(String::from_utf8_lossy(&reply.body).contains("answer_share"));
    target.close().await;
}

#[tokio::test]
async fn stalled_target_takes_requests_and_never_answers() {
    let target = start(settings(&[])).await;
    set_faults(&target, StandInFaults { stall: true, ..Default::default() });
    let pending = search(&target, 1);
    tokio::pin!(pending);
    tokio::select! {
        _ = &mut pending => panic!("a stalled target answered"),
        () = wait_for_state(&target, |state| state.searches_received == 1) => {}
    }
    assert_eq!(target.state().searches_started, 0);
}

/// Accepts announcements and passes their states on.
async fn collect_states(listener: TcpListener, states: tokio::sync::mpsc::Sender<TargetState>) {
    use http_body_util::{BodyExt, Full};
    use hyper_util::rt::TokioIo;
    while let Ok((stream, _)) = listener.accept().await {
        let states = states.clone();
        let service = hyper::service::service_fn(move |request: hyper::Request<_>| {
            let states = states.clone();
            async move {
                let body: hyper::body::Incoming = request.into_body();
                let bytes = body.collect().await.expect("body").to_bytes();
                let announcement: figglade::wire::Announcement =
                    serde_json::from_slice(&bytes).expect("announcement");
                assert_eq!(announcement.incarnation.get(), 7);
                let _ = states.send(announcement.state).await;
                let body = Full::new(bytes::Bytes::from(r#"{"announce_again_ms":10}"#));
                Ok::<_, std::convert::Infallible>(hyper::Response::new(body))
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

#[tokio::test]
async fn target_announces_again_and_says_when_it_drains() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let (sender, mut states) = tokio::sync::mpsc::channel(64);
    let instance = tokio::spawn(collect_states(listener, sender));
    let target = Arc::new(start(settings(&[address])).await);
    for _ in 0..3 {
        assert_eq!(states.recv().await, Some(TargetState::Ready));
    }
    let control = target.control().clone();
    let drain = tokio::spawn(async move { control.drain().await });
    let mut seen = Vec::new();
    while seen.last() != Some(&TargetState::Gone) {
        seen.push(states.recv().await.expect("announcement"));
    }
    drain.await.expect("drain");
    assert!(seen.contains(&TargetState::Draining));
    assert_eq!(search(&target, 1).await.expect("answer").status, 503);
    instance.abort();
}

#[tokio::test]
async fn killed_target_drops_listener_and_connections() {
    let target = start(settings(&[])).await;
    let address = target.address();
    let mut held = tokio::net::TcpStream::connect(address).await.expect("connect");
    wait_for_state(&target, |state| state.connections_open == 1).await;
    target.close().await;
    let mut byte = [0];
    let read = tokio::io::AsyncReadExt::read(&mut held, &mut byte).await;
    assert!(matches!(read, Ok(0) | Err(_)));
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
}

#[test]
fn settings_out_of_range_are_refused_by_name() {
    let text = toml::to_string(&settings(&[])).expect("toml");
    let refused = FleetSettings::parse(&text.replace("slots = 3", "slots = 0"));
    assert!(refused.expect_err("no slots").reason.contains("slots"));
    let refused = FleetSettings::parse(&format!("colour = 1\n{text}"));
    assert!(refused.expect_err("unknown key").reason.contains("colour"));
}

#[test]
fn layout_places_every_record_once_for_each_replica() {
    let layout = IndexLayout {
        index: index(),
        shard_count: 10,
        replica_count: 3,
        records: 200,
        version: figglade::IndexVersion::new(1),
        partition_epoch: figglade::PartitionEpoch::new(1),
        zones: vec!["a".parse().expect("zone"), "b".parse().expect("zone")],
    };
    let targets = layout.targets(&[]).expect("targets");
    let documents: u64 = targets.iter().map(|t| t.replicas[0].versions[0].documents).sum();
    assert_eq!((targets.len(), documents), (30, 600));
    let names: std::collections::HashSet<_> = targets.iter().map(|t| &t.target_id).collect();
    assert_eq!(names.len(), 30);
}
