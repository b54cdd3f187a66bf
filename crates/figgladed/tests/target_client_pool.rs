//! Tests of the pool of connections to a target over real TCP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use figglade::{
    AttemptId, IndexVersion, PartitionEpoch, RequestId, ShardId, WallTime,
    border::{AttemptError, TargetClient, TargetEndpoint},
    wire::{ActCall, SearchCall},
};
use figglade_testkit::{
    FaultProxy, IndexLayout, ProxyFault, StandIn, StandInSettings,
    stand_in::{ServiceKind, ServiceTime, StandInFaults},
};
use figgladed::target_client::HttpTargetClient;
use serde_json::value::RawValue;
use tokio::{io::AsyncReadExt, net::TcpListener};

const TIMEOUT: Duration = Duration::from_secs(20);

fn settings() -> StandInSettings {
    let layout = IndexLayout {
        index: "register-portal".parse().expect("a valid name"),
        shard_count: 1,
        replica_count: 1,
        records: 100,
        version: IndexVersion::new(1),
        partition_epoch: PartitionEpoch::new(1),
        zones: vec!["svealand-a".parse().expect("a valid name")],
    };
    layout.targets(&[]).expect("a valid layout").remove(0)
}

async fn start_target(change: impl FnOnce(&mut StandInSettings)) -> StandIn {
    let mut settings = settings();
    change(&mut settings);
    StandIn::start(settings).await.expect("the target starts")
}

fn endpoint(address: SocketAddr, connection_share: u32) -> TargetEndpoint {
    let target = "register-portal-s0-r0".parse().expect("a valid name");
    TargetEndpoint { target, address, connection_share }
}

fn search_call(number: u128) -> SearchCall {
    SearchCall {
        attempt_id: AttemptId::new(number),
        index: "register-portal".parse().expect("a valid name"),
        shard: ShardId::new(0),
        partition_epoch: PartitionEpoch::new(1),
        version: IndexVersion::new(1),
        deadline_ms: 10_000,
        limit: 10,
        query: RawValue::from_string(r#"{"all":true}"#.to_owned()).expect("valid JSON"),
    }
}

fn act_call(number: u128) -> ActCall {
    let wall = WallTime::from_millis(1_700_000_000_000 + number as u64);
    ActCall {
        attempt_id: AttemptId::new(number),
        request_id: RequestId::from_parts(wall, [7; 10]),
        index: "register-portal".parse().expect("a valid name"),
        shard: ShardId::new(0),
        key: "a".to_owned(),
        body: RawValue::from_string("{}".to_owned()).expect("valid JSON"),
        deadline_ms: 10_000,
    }
}

/// Waits until `is_met` holds. Only the timeout can fail it, not the polling interval.
async fn wait_until(what: &str, is_met: impl Fn() -> bool) {
    let waiting = async {
        while !is_met() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, waiting).await.unwrap_or_else(|_| panic!("{what}"));
}

#[tokio::test]
async fn test_connections_are_reused_and_never_exceed_the_share() {
    let target = start_target(|settings| {
        settings.service_time = ServiceTime { kind: ServiceKind::Fixed, mean_us: 5_000 };
    })
    .await;
    let client = Arc::new(HttpTargetClient::new(1 << 20));
    let endpoint = endpoint(target.address(), 2);
    let calls: Vec<_> =
        (0..12).map(|number| client.search(&endpoint, search_call(number), TIMEOUT)).collect();
    for (number, call) in calls.into_iter().enumerate() {
        let reply = call.await.expect("an answer");
        assert_eq!(reply.attempt_id, AttemptId::new(number as u128));
        assert!(client.open_connections() <= 2);
    }
    assert_eq!(client.pool_gauges().made, 2);
    target.close().await;
}

#[tokio::test]
async fn test_lowering_the_share_closes_connections_and_raising_it_wakes_waiters() {
    let target = start_target(|_| {}).await;
    let client = HttpTargetClient::new(1 << 20);
    client.warm(&endpoint(target.address(), 4), 4);
    wait_until("four connections are made", || client.pool_gauges().made == 4).await;
    client.warm(&endpoint(target.address(), 1), 1);
    assert_eq!(client.open_connections(), 1);
    client.warm(&endpoint(target.address(), 0), 0);
    assert_eq!(client.open_connections(), 0);
    let waiting = client.search(&endpoint(target.address(), 0), search_call(1), TIMEOUT);
    tokio::pin!(waiting);
    assert!(futures::poll!(&mut waiting).is_pending());
    client.warm(&endpoint(target.address(), 1), 0);
    assert!(waiting.await.is_ok());
    target.close().await;
}

#[tokio::test]
async fn test_a_cancelled_search_closes_its_connection_to_a_stalled_target() {
    let target =
        start_target(|settings| settings.faults = StandInFaults { stall: true, ..settings.faults })
            .await;
    let client = HttpTargetClient::new(1 << 20);
    let endpoint = endpoint(target.address(), 1);
    let search = client.search(&endpoint, search_call(1), TIMEOUT);
    wait_until("the search is at the target", || client.pool_gauges().busy == 1).await;
    drop(search);
    wait_until("the connection is closed", || client.open_connections() == 0).await;
    target.close().await;
}

#[tokio::test]
async fn test_a_search_cancelled_while_it_waits_is_never_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let client = HttpTargetClient::new(1 << 20);
    let search = client.search(&endpoint(address, 0), search_call(1), TIMEOUT);
    drop(search);
    let second = client.search(&endpoint(address, 1), search_call(2), TIMEOUT);
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut bytes = vec![0; 4_096];
    let mut text = String::new();
    while !text.contains("deadline_ms") {
        let count = stream.read(&mut bytes).await.expect("a request");
        assert!(count > 0, "the connection ended after {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    let attempt = serde_json::to_string(&AttemptId::new(2)).expect("JSON");
    assert!(text.contains(&attempt), "{text}");
    drop(stream);
    assert_eq!(second.await.map(|_| ()), Err(AttemptError::Lost));
}

#[tokio::test]
async fn test_no_action_is_lost_on_connections_that_the_target_closed() {
    let target = start_target(|_| {}).await;
    let proxy = FaultProxy::start(target.address()).await.expect("the proxy starts");
    let client = HttpTargetClient::new(1 << 20);
    let endpoint = endpoint(proxy.address(), 4);
    for number in 0..20 {
        let reply = client.act(&endpoint, act_call(number), TIMEOUT).await;
        assert!(reply.is_ok(), "action {number}: {reply:?}");
        proxy.reset_connections();
        wait_until("the closed connections are removed", || {
            client.warm(&endpoint, 0);
            client.open_connections() == 0
        })
        .await;
    }
    assert_eq!(target.ran_actions().len(), 20);
    proxy.close().await;
    target.close().await;
}

#[tokio::test]
async fn test_not_sent_is_reported_only_if_no_byte_was_sent() {
    let target = start_target(|_| {}).await;
    let proxy = FaultProxy::start(target.address()).await.expect("the proxy starts");
    let client = HttpTargetClient::new(1 << 20);
    let through = endpoint(proxy.address(), 4);
    proxy.set_fault(ProxyFault::Reset);
    let reply = client.act(&through, act_call(1), TIMEOUT).await;
    assert_eq!(reply.map(|_| ()), Err(AttemptError::Lost));
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = closed.local_addr().expect("an address");
    drop(closed);
    let reply = client.act(&endpoint(address, 4), act_call(2), TIMEOUT).await;
    assert_eq!(reply.map(|_| ()), Err(AttemptError::NotSent));
    assert!(target.ran_actions().is_empty());
    proxy.close().await;
    target.close().await;
}

#[tokio::test]
async fn test_an_oversized_answer_is_rejected_and_its_connection_closed() {
    let target = start_target(|_| {}).await;
    let client = HttpTargetClient::new(64);
    let reply =
        client.search(&endpoint(target.address(), 2), search_call(1), TIMEOUT).await.map(|_| ());
    assert_eq!(reply, Err(AttemptError::Oversized));
    wait_until("the connection is closed", || client.open_connections() == 0).await;
    target.close().await;
}

#[tokio::test]
async fn test_an_action_that_times_out_waiting_for_a_connection_is_not_sent() {
    let target = start_target(|_| {}).await;
    let client = HttpTargetClient::new(1 << 20);
    let short_timeout = Duration::from_millis(20);
    let waited = client.act(&endpoint(target.address(), 0), act_call(1), short_timeout).await;
    assert_eq!(waited.map(|_| ()), Err(AttemptError::NotSent));
    // A connection is available from here on, but the timed-out action must not be sent over it.
    let second = client.act(&endpoint(target.address(), 1), act_call(2), TIMEOUT).await;
    assert!(second.is_ok(), "{second:?}");
    assert_eq!(target.ran_actions().len(), 1);
    target.close().await;
}

#[tokio::test]
async fn test_requests_waiting_for_a_target_that_left_fail_at_once() {
    let target = start_target(|_| {}).await;
    let client = HttpTargetClient::new(1 << 20);
    let endpoint = endpoint(target.address(), 0);
    let waiting = client.search(&endpoint, search_call(1), TIMEOUT);
    tokio::pin!(waiting);
    assert!(futures::poll!(&mut waiting).is_pending());
    client.forget_target(target.address());
    assert_eq!(waiting.await.map(|_| ()), Err(AttemptError::NotSent));
    target.close().await;
}
