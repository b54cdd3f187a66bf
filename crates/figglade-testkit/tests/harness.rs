//! Starts, signals and ends real processes.

use std::{fs, os::unix::fs::PermissionsExt, path::PathBuf, time::Duration};

use figglade_testkit::{
    AnswerFault, ControlChange, HarnessError, HarnessOptions, IndexLayout, ProcessHarness,
    StandInFaults, StandInProcess,
};
use serde_json::json;
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// The bound on each wait; it is reached only where something is broken.
const PATIENCE: Duration = Duration::from_secs(60);

fn stand_in_program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_figglade-stand-in"))
}

fn layout() -> IndexLayout {
    IndexLayout {
        index: "batch-ledger".parse().expect("index"),
        shard_count: 2,
        replica_count: 2,
        records: 20,
        version: figglade::IndexVersion::new(1),
        partition_epoch: figglade::PartitionEpoch::new(1),
        zones: vec!["tihany".parse().expect("zone")],
    }
}

/// Writes a program that ignores its arguments and runs `body`.
fn write_script(dir: &TempDir, body: &str) -> PathBuf {
    let path = dir.path().join("instance");
    fs::write(&path, format!("#!/bin/sh\n{body}\n")).expect("script");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).expect("permissions");
    path
}

/// Answers each connection with one of the statuses in turn, the last one for ever.
async fn answer_statuses(listener: TcpListener, mut statuses: Vec<u16>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let status = if statuses.len() > 1 { statuses.remove(0) } else { statuses[0] };
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
        let _ = stream.read(&mut [0; 1024]).await;
        let _ = stream.write_all(head.as_bytes()).await;
    }
}

#[tokio::test]
async fn settings_files_name_every_member_once() {
    let options = HarnessOptions::new(PathBuf::from("unused"), 4);
    let harness = ProcessHarness::prepare(options).expect("harness");
    let text = fs::read_to_string(harness.settings_path(3)).expect("settings");
    let table: toml::Table = text.parse().expect("toml");
    let members = table["control"]["members"].as_array().expect("members");
    assert_eq!(members.len(), 3);
    assert!(!table["instance"].as_table().expect("table").contains_key("data_dir"));
    assert_eq!(table["listen"]["http"].as_str(), Some(&*harness.http_address(3).to_string()));
    let mut addresses = harness.http_addresses();
    addresses.extend((0..4).map(|number| harness.peer_address(number)));
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), 8);
    harness
        .edit_settings(0, |table| {
            table.insert("extra".to_owned(), toml::Value::Boolean(true));
        })
        .expect("edit");
    let edited = fs::read_to_string(harness.settings_path(0)).expect("settings");
    assert!(edited.contains("extra = true"));
}

#[tokio::test]
async fn instance_is_waited_for_killed_and_terminated() {
    let dir = TempDir::new().expect("dir");
    let program =
        write_script(&dir, "trap 'echo bye; exit 7' TERM\necho up\nwhile :; do sleep 0.01; done");
    let mut harness = ProcessHarness::prepare(HarnessOptions::new(program, 1)).expect("harness");
    let listener = TcpListener::bind(harness.http_address(0)).await.expect("bind");
    let server = tokio::spawn(answer_statuses(listener, vec![503, 503, 200]));
    harness.start_instance(0).expect("start");
    harness.wait_ready(0, PATIENCE).await.expect("ready");
    harness.kill(0).await.expect("kill");
    assert!(matches!(harness.kill(0).await, Err(HarnessError::NotRunning { .. })));

    harness.restart(0, PATIENCE).await.expect("restart");
    while harness.log(0).matches("up").count() < 2 {
        tokio::task::yield_now().await;
    }
    let status = harness.terminate(0, PATIENCE).await.expect("terminate");
    assert_eq!(status.code(), Some(7));
    assert!(harness.log(0).contains("bye"));
    server.abort();
}

#[tokio::test]
async fn instance_that_ends_by_itself_is_reported_with_its_log() {
    let dir = TempDir::new().expect("dir");
    let program = write_script(&dir, "echo bad settings; exit 2");
    let harness = ProcessHarness::start(HarnessOptions::new(program, 1), PATIENCE).await;
    let error = harness.expect_err("an instance that ended is not ready");
    assert!(error.to_string().contains("bad settings"), "{error}");
}

#[tokio::test]
async fn stand_in_process_runs_many_targets_and_comes_back() {
    let dir = TempDir::new().expect("dir");
    let mut targets = layout().targets(&[]).expect("targets");
    targets[0].control_listen = Some("127.0.0.1:0".parse().expect("address"));
    let mut process = StandInProcess::start("targets", &stand_in_program(), targets, dir.path())
        .await
        .expect("start");
    assert_eq!(process.addresses().len(), 4);
    let before = process.addresses().to_vec();
    let faults = StandInFaults { answer: AnswerFault::Malformed, ..Default::default() };
    let change = ControlChange { faults: Some(faults), ..Default::default() };
    process.control(0, &change).await.expect("control");
    assert_eq!(process.state(0).await.expect("state").connections_accepted, 0);
    assert!(process.ran_actions(1).await.expect("actions").is_empty());
    assert!(process.process().resident_bytes().expect("memory") > 0);
    assert!(process.process().cpu_time().is_some());

    let status = process.terminate(PATIENCE).await.expect("drain");
    assert!(status.success());
    process.start_again().await.expect("start again");
    assert_eq!(process.addresses(), before);
    let search = json!({
        "attempt_id": "00000000-0000-0000-0000-000000000001", "index": "batch-ledger",
        "shard": 0, "partition_epoch": 1, "version": 1, "deadline_ms": 5_000, "limit": 5,
        "query": {"all": true},
    });
    let client = figglade_testkit::TestClient::new();
    let reply = client.post(before[0].address, "/search", &search).await.expect("answer");
    assert_eq!(reply.status, 200);
    process.kill().await.expect("kill");
}
