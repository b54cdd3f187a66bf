//! The `/metrics` endpoint of running instances, as a metrics collector reads it.

use std::{collections::BTreeMap, path::PathBuf, time::Duration};

use figglade_testkit::{HarnessOptions, ProcessHarness};
use serde_json::json;

/// The bound on each wait, which is reached only when a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Scrapes an instance and returns its samples by name and labels.
async fn scrape(harness: &ProcessHarness, number: usize) -> BTreeMap<String, f64> {
    let reply = harness.client().get(harness.http_address(number), "/metrics").await.unwrap();
    assert_eq!(reply.status, 200);
    let text = String::from_utf8(reply.body.to_vec()).unwrap();
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let samples = lines.map(|line| line.rsplit_once(' ').unwrap());
    samples.map(|(name, value)| (name.to_owned(), value.parse().unwrap())).collect()
}

/// Scrapes an instance until its samples satisfy `holds`.
async fn wait_for(
    harness: &ProcessHarness,
    number: usize,
    holds: impl Fn(&BTreeMap<String, f64>) -> bool,
) -> BTreeMap<String, f64> {
    let waiting = async {
        loop {
            let samples = scrape(harness, number).await;
            if holds(&samples) {
                return samples;
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the samples did not reach the expected state in time")
}

#[tokio::test]
async fn scrape_reports_peer_control_target_and_timeline_values() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_figgladed"));
    let options = HarnessOptions::new(program, 2);
    let harness = ProcessHarness::start(options, WAIT_TIMEOUT).await.unwrap();
    let announcement = json!({
        "target_id": "t1", "incarnation": 1, "address": "127.0.0.1:9",
        "availability_zone": "norrhamn-a", "slots": 3, "connections": 30, "state": "ready",
        "replicas": [{
            "index": "batch-ledger", "shard": 0, "shard_count": 1, "partition_epoch": 1,
            "versions": [{ "version": 1, "documents": 10 }],
        }],
    });
    let reply = harness.client().post(harness.http_address(0), "/v1/announce", &announcement).await;
    assert_eq!(reply.unwrap().status, 200);
    let document = json!({
        "change_id": "one", "base_version": 0, "defaults": { "max_limit": 10 }, "exceptions": [],
    });
    let reply =
        harness.client().put(harness.http_address(1), "/v1/operator/config", &document).await;
    assert_eq!(reply.unwrap().status, 200);

    let mut leaders = 0.0;
    for number in 0..2 {
        let samples = wait_for(&harness, number, |samples| {
            samples["figglade_members_alive"] == 2.0
                && samples["figglade_targets_ready"] == 1.0
                && samples["figglade_config_version"] == 1.0
                && samples["figglade_current"] == 1.0
        })
        .await;
        assert!(samples["figglade_peer_bytes_out_total"] > 0.0, "{samples:#?}");
        assert!(samples["figglade_peer_bytes_in_total"] > 0.0, "{samples:#?}");
        assert!(samples["figglade_peer_connections_open"] >= 1.0, "{samples:#?}");
        assert!(samples["figglade_log_commit_index"] >= 1.0, "{samples:#?}");
        assert!(samples["figglade_timeline_recorded_total"] >= 1.0, "{samples:#?}");
        assert_eq!(samples["figglade_target_connections_open"], 0.0);
        leaders += samples["figglade_leader"];
    }
    assert_eq!(leaders, 1.0, "exactly one of the two instances leads the control group");
    harness.close().await;
}
