//! The metrics in the text exposition format.

use std::{collections::BTreeMap, time::Duration};

use figglade::border::AttemptError;
use figgladed::{
    metrics::{AttemptKind, ControlGauges, PoolGauges, RequestKind, TierMetrics},
    peer_link::PeerTraffic,
    timeline::TimelineCounts,
};

/// Renders the metrics and returns the samples by name and labels.
fn samples(metrics: &TierMetrics) -> BTreeMap<String, f64> {
    let text = metrics.render().unwrap();
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .map(|line| {
            let (name, value) = line.rsplit_once(' ').unwrap();
            (name.to_owned(), value.parse().unwrap())
        })
        .collect()
}

#[track_caller]
fn assert_sample(samples: &BTreeMap<String, f64>, name: &str, value: f64) {
    assert_eq!(samples.get(name), Some(&value), "{name} in {samples:#?}");
}

#[test]
fn requests_are_labelled_by_kind() {
    let metrics = TierMetrics::new().unwrap();
    metrics.record_request(RequestKind::Query, Duration::from_millis(30));
    metrics.record_request(RequestKind::Query, Duration::from_millis(500));
    metrics.record_request(RequestKind::Action, Duration::from_millis(3));
    metrics.record_coverage(RequestKind::Query, Some(0.95));
    metrics.record_coverage(RequestKind::Query, Some(1.0));
    metrics.record_coverage(RequestKind::Query, None);
    metrics.record_extra_load(RequestKind::Query, 102, 100);
    metrics.record_extra_load(RequestKind::Lookup, 0, 0);
    let samples = samples(&metrics);
    assert_sample(&samples, r#"figglade_requests_total{kind="query"}"#, 2.0);
    assert_sample(&samples, r#"figglade_requests_total{kind="action"}"#, 1.0);
    assert_sample(&samples, r#"figglade_latency_seconds_bucket{kind="query",le="0.04"}"#, 1.0);
    assert_sample(&samples, r#"figglade_latency_seconds_sum{kind="query"}"#, 0.53);
    assert_sample(&samples, r#"figglade_coverage_count{kind="query"}"#, 2.0);
    assert_sample(&samples, r#"figglade_coverage_bucket{kind="query",le="0.9999"}"#, 1.0);
    assert_sample(&samples, r#"figglade_extra_load_bucket{kind="query",le="0.01"}"#, 0.0);
    assert_sample(&samples, r#"figglade_extra_load_bucket{kind="query",le="0.03"}"#, 1.0);
    assert!(
        !samples.keys().any(|name| name.contains("lookup")),
        "a request without shards records no load"
    );
    metrics.close().unwrap();
}

#[test]
fn counters_are_labelled_by_kind_code_and_reason() {
    let metrics = TierMetrics::new().unwrap();
    metrics.count_attempts(AttemptKind::First, 790);
    metrics.count_attempts(AttemptKind::Hedge, 8);
    metrics.count_refusal("overloaded");
    metrics.count_discard(AttemptError::Mismatched);
    for status in [500, 501] {
        metrics.count_discard(AttemptError::Status { status });
    }
    let samples = samples(&metrics);
    assert_sample(&samples, r#"figglade_attempts_total{kind="first"}"#, 790.0);
    assert_sample(&samples, r#"figglade_attempts_total{kind="hedge"}"#, 8.0);
    assert_sample(&samples, r#"figglade_refusals_total{code="overloaded"}"#, 1.0);
    assert_sample(&samples, r#"figglade_discards_total{reason="mismatched"}"#, 1.0);
    assert_sample(&samples, r#"figglade_discards_total{reason="status"}"#, 2.0);
    metrics.close().unwrap();
}

#[test]
fn values_counted_elsewhere_are_rendered() {
    let metrics = TierMetrics::new().unwrap();
    let traffic =
        PeerTraffic { bytes_in: 10, bytes_out: 20, connections_open: 3, ..Default::default() };
    metrics.set_peer_traffic(&traffic);
    metrics.set_peer_traffic(&PeerTraffic { bytes_in: 15, connections_open: 1, ..traffic });
    metrics.set_control(&ControlGauges {
        config_version: 7,
        is_leader: true,
        ..Default::default()
    });
    metrics.set_pool(&PoolGauges { open: 4, busy: 2, share: 30, made: 9 });
    metrics.set_timeline(&TimelineCounts { recorded: 5, ..Default::default() });
    let samples = samples(&metrics);
    for (name, value) in [
        ("figglade_peer_bytes_in_total", 15.0),
        ("figglade_peer_bytes_out_total", 20.0),
        ("figglade_peer_connections_open", 1.0),
        ("figglade_config_version", 7.0),
        ("figglade_leader", 1.0),
        ("figglade_current", 0.0),
        ("figglade_target_connections_share", 30.0),
        ("figglade_target_connections_made_total", 9.0),
        ("figglade_timeline_recorded_total", 5.0),
    ] {
        assert_sample(&samples, name, value);
    }
    metrics.close().unwrap();
}
