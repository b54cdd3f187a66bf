//! Tests of the request path with targets, claims and a control plane in memory.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use figglade::{
    AttemptId, ConfigVersion, Incarnation, IndexName, IndexVersion, PartitionEpoch, RequestId,
    ShardId, Timestamp, WallTime,
    border::{
        ActionRecord, AttemptError, BodyDigest, BoxFuture, ClaimDecision, ClaimError, ClaimRequest,
        ClaimStore, TargetClient, TargetEndpoint,
    },
    controller::{event::EventKind, fleet::FleetDefaults},
    filter::{
        picker::LoadRegistry,
        routing::{LiveTarget, TargetRoute, build_route},
    },
    wire::{
        ActCall, ActReply, ActionOutcome, ActionRequest, AnnouncedReplica, Announcement,
        CancelCall, HeldVersion, QueryRequest, SearchCall, SearchHit, SearchReply, TargetState,
    },
};
use figgladed::{
    clock::ProcessClock,
    metrics::TierMetrics,
    tier::{ControlView, IndexCatalog, QueryTier, SettingsSource, TierError, TierParts},
};
use parking_lot::Mutex;
use serde_json::value::RawValue;

const DOCUMENTS: u64 = 10;

/// How a target responds to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Answer,
    Fail(AttemptError),
    Stall,
    /// Fails calls for version 2 as status 409 does, with `VersionNotHeld`, and answers the others.
    LacksVersion2,
}

/// Targets in memory that record the calls they receive.
#[derive(Default)]
struct FakeClient {
    behaviours: Mutex<HashMap<String, Behaviour>>,
    searches: Mutex<Vec<(String, IndexVersion, AttemptId)>>,
    actions: Mutex<Vec<String>>,
    cancelled: Mutex<Vec<AttemptId>>,
}

impl FakeClient {
    fn set(&self, target: &str, behaviour: Behaviour) {
        self.behaviours.lock().insert(target.to_owned(), behaviour);
    }

    fn behaviour_of(&self, endpoint: &TargetEndpoint) -> Behaviour {
        let behaviours = self.behaviours.lock();
        behaviours.get(endpoint.target.as_str()).copied().unwrap_or(Behaviour::Answer)
    }
}

impl TargetClient for FakeClient {
    fn search(
        &self,
        endpoint: &TargetEndpoint,
        call: SearchCall,
        timeout: Duration,
    ) -> BoxFuture<Result<SearchReply, AttemptError>> {
        let search = (endpoint.target.to_string(), call.version, call.attempt_id);
        self.searches.lock().push(search);
        let behaviour = self.behaviour_of(endpoint);
        Box::pin(async move {
            match behaviour {
                Behaviour::Fail(error) => Err(error),
                Behaviour::Stall => {
                    tokio::time::sleep(timeout).await;
                    Err(AttemptError::TimedOut)
                }
                Behaviour::LacksVersion2 if call.version == IndexVersion::new(2) => {
                    Err(AttemptError::VersionNotHeld)
                }
                Behaviour::Answer | Behaviour::LacksVersion2 => Ok(answer_of(&call)),
            }
        })
    }

    fn act(
        &self,
        endpoint: &TargetEndpoint,
        call: ActCall,
        _timeout: Duration,
    ) -> BoxFuture<Result<ActReply, AttemptError>> {
        self.actions.lock().push(endpoint.target.to_string());
        let behaviour = self.behaviour_of(endpoint);
        Box::pin(async move {
            match behaviour {
                Behaviour::Fail(error) => Err(error),
                _ => Ok(ActReply {
                    attempt_id: call.attempt_id,
                    request_id: call.request_id,
                    result: raw("{}"),
                }),
            }
        })
    }

    fn cancel(&self, _endpoint: &TargetEndpoint, call: CancelCall) {
        self.cancelled.lock().push(call.attempt_id);
    }
}

/// Returns an answer with one hit, whose id names the shard and the version.
fn answer_of(call: &SearchCall) -> SearchReply {
    let id = format!("{}-v{}", call.shard, call.version);
    SearchReply {
        attempt_id: call.attempt_id,
        index: call.index.clone(),
        shard: call.shard,
        version: call.version,
        documents_searched: DOCUMENTS,
        hits: vec![SearchHit { id, score: 1.0, body: raw("null") }],
    }
}

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.to_owned()).expect("valid JSON")
}

/// A control plane that is always current.
#[derive(Default)]
struct FakeControl {
    events: Mutex<Vec<EventKind>>,
}

impl ControlView for FakeControl {
    fn refuse_query(&self, _settings: &FleetDefaults) -> Option<String> {
        None
    }

    fn refuse_action(&self, _settings: &FleetDefaults) -> Option<String> {
        None
    }

    fn is_stale(&self, _settings: &FleetDefaults) -> bool {
        false
    }

    fn connection_share(&self, route: &TargetRoute) -> u32 {
        route.connections
    }

    fn record_event(&self, kind: EventKind, _request: Option<RequestId>, _detail: String) {
        self.events.lock().push(kind);
    }
}

/// A claim store that grants every claim and keeps the records of the outcomes.
#[derive(Default)]
struct FakeClaims {
    begun: AtomicUsize,
    records: Mutex<Vec<ActionRecord>>,
}

struct SharedClaims(Arc<FakeClaims>);

impl ClaimStore for SharedClaims {
    fn begin_claim(&self, _claim: ClaimRequest) -> BoxFuture<Result<ClaimDecision, ClaimError>> {
        self.0.begun.fetch_add(1, Ordering::Relaxed);
        Box::pin(async { Ok(ClaimDecision::Granted) })
    }

    fn finish_claim(
        &self,
        _request: RequestId,
        _digest: BodyDigest,
        record: ActionRecord,
    ) -> BoxFuture<Result<(), ClaimError>> {
        self.0.records.lock().push(record);
        Box::pin(async { Ok(()) })
    }

    fn refuse_claim(
        &self,
        _request: RequestId,
        _digest: BodyDigest,
        reason: String,
    ) -> BoxFuture<Result<(), ClaimError>> {
        let outcome = ActionOutcome::NotRun;
        self.0.records.lock().push(ActionRecord { outcome, result: None, reason: Some(reason) });
        Box::pin(async { Ok(()) })
    }
}

struct FixedSettings(FleetDefaults);

impl SettingsSource for FixedSettings {
    fn version(&self) -> ConfigVersion {
        ConfigVersion::new(3)
    }

    fn settings_of(&self, _index: &IndexName) -> FleetDefaults {
        self.0.clone()
    }
}

/// A request path over an index of `shards` shards, each with replicas `a` and `b`.
struct TestTier {
    tier: QueryTier,
    client: Arc<FakeClient>,
    claims: Arc<FakeClaims>,
    control: Arc<FakeControl>,
    clock: ProcessClock,
}

fn index() -> IndexName {
    "register-portal".parse().expect("a valid name")
}

fn live_target(shard: u32, shards: u32, replica: &str, versions: &[u64]) -> LiveTarget {
    let held =
        |version: &u64| HeldVersion { version: IndexVersion::new(*version), documents: DOCUMENTS };
    let announcement = Announcement {
        target_id: format!("s{shard}-{replica}").parse().expect("a valid name"),
        incarnation: Incarnation::new(1),
        address: ([127, 0, 0, 1], 1).into(),
        availability_zone: "svealand-a".parse().expect("a valid name"),
        slots: 1,
        connections: 4,
        state: TargetState::Ready,
        sequence: None,
        replicas: vec![AnnouncedReplica {
            index: index(),
            shard: ShardId::new(shard),
            shard_count: shards,
            partition_epoch: PartitionEpoch::new(1),
            versions: versions.iter().map(held).collect(),
            key_ranges: None,
        }],
    };
    LiveTarget { announcement: Arc::new(announcement), ready_since: Timestamp::ZERO }
}

impl TestTier {
    fn new(shards: u32, versions: &[u64], change: impl FnOnce(&mut FleetDefaults)) -> Self {
        let mut settings = FleetDefaults::default();
        change(&mut settings);
        let settings: Arc<dyn SettingsSource> = Arc::new(FixedSettings(settings));
        let zone = "svealand-a".parse().expect("a valid name");
        let catalog = Arc::new(IndexCatalog::new(zone, Arc::clone(&settings)));
        let replicas = (0..shards).flat_map(|shard| [(shard, "a"), (shard, "b")]);
        let targets: Vec<_> =
            replicas.map(|(shard, name)| live_target(shard, shards, name, versions)).collect();
        catalog.publish_route(
            &index(),
            build_route(&index(), &targets, &[], &LoadRegistry::default()),
        );
        let (client, control) = (Arc::<FakeClient>::default(), Arc::<FakeControl>::default());
        let (claims, clock) = (Arc::<FakeClaims>::default(), ProcessClock::start());
        let parts = TierParts {
            clock,
            instance: "i1".parse().expect("a valid name"),
            incarnation: Incarnation::new(1),
            catalog,
            client: Arc::clone(&client) as _,
            claims: Arc::new(SharedClaims(Arc::clone(&claims))),
            control: Arc::clone(&control) as _,
            metrics: Arc::new(TierMetrics::new().expect("instruments")),
            log: slog::Logger::root(slog::Discard, slog::o!()),
        };
        Self { tier: QueryTier::new(parts, settings), client, claims, control, clock }
    }

    fn set_all(&self, shards: u32, behaviour: Behaviour) {
        for shard in 0..shards {
            for replica in ["a", "b"] {
                self.client.set(&format!("s{shard}-{replica}"), behaviour);
            }
        }
    }
}

fn query(deadline_ms: u64, min_coverage: Option<f64>) -> QueryRequest {
    QueryRequest {
        index: index(),
        query: raw("{}"),
        limit: 10,
        deadline_ms,
        min_coverage,
        request_id: None,
    }
}

fn action() -> ActionRequest {
    ActionRequest {
        request_id: RequestId::from_parts(WallTime::from_millis(1_700_000_000_000), [1; 10]),
        index: index(),
        key: "a".to_owned(),
        body: raw("{}"),
        deadline_ms: 5_000,
    }
}

#[tokio::test]
async fn test_a_lost_snapshot_is_replaced_whole_and_never_mixed_with_another() {
    let test = TestTier::new(3, &[1, 2], |_| {});
    for replica in ["s1-a", "s1-b"] {
        test.client.set(replica, Behaviour::LacksVersion2);
    }
    let answer = test.tier.run_query(query(5_000, None), test.clock.now()).await.expect("answer");
    assert_eq!(answer.index_version, IndexVersion::new(1));
    assert!(answer.complete);
    let ids: Vec<_> = answer.hits.iter().map(|hit| hit.id.as_str()).collect();
    assert_eq!(ids, ["0-v1", "1-v1", "2-v1"]);
    assert!(test.control.events.lock().contains(&EventKind::SnapshotRestarted));
}

#[tokio::test]
async fn test_a_shard_without_a_healthy_replica_is_named_in_a_partial_answer() {
    let test = TestTier::new(4, &[1], |_| {});
    for replica in ["s2-a", "s2-b"] {
        test.client.set(replica, Behaviour::Fail(AttemptError::Lost));
    }
    let answer = test.tier.run_query(query(5_000, None), test.clock.now()).await.expect("answer");
    assert_eq!(answer.coverage.fraction, Some(0.75));
    assert_eq!(answer.coverage.missing[0].shard, ShardId::new(2));
    assert!(!answer.complete);
    let refusal = test.tier.run_query(query(5_000, Some(0.9)), test.clock.now()).await;
    let error = refusal.expect_err("the coverage is too low").error;
    assert!(matches!(error, TierError::CoverageTooLow { .. }), "{error}");
}

#[tokio::test]
async fn test_a_partial_answer_comes_before_the_deadline() {
    let test = TestTier::new(2, &[1], |_| {});
    for replica in ["s1-a", "s1-b"] {
        test.client.set(replica, Behaviour::Stall);
    }
    let answer = test.tier.run_query(query(200, None), test.clock.now()).await.expect("answer");
    assert_eq!(answer.coverage.fraction, Some(0.5));
    let sent: Vec<_> = test.client.searches.lock().iter().map(|search| search.2).collect();
    let cancelled = test.client.cancelled.lock().clone();
    assert!(!cancelled.is_empty() && cancelled.iter().all(|attempt| sent.contains(attempt)));
}

#[tokio::test]
async fn test_a_caller_that_disconnects_cancels_every_attempt() {
    let test = TestTier::new(3, &[1], |_| {});
    test.set_all(3, Behaviour::Stall);
    let sent = {
        let running = test.tier.run_query(query(60_000, None), test.clock.now());
        tokio::pin!(running);
        assert!(futures::poll!(&mut running).is_pending());
        test.client.searches.lock().len()
    };
    assert_eq!(sent, 3);
    assert_eq!(test.client.cancelled.lock().len(), 3);
    assert_eq!(test.tier.load(), (0, 0));
}

#[tokio::test]
async fn test_a_request_beyond_the_limits_is_refused_as_not_run() {
    let test = TestTier::new(1, &[1], |settings| {
        settings.max_running = 1;
        settings.max_queued = 0;
    });
    test.set_all(1, Behaviour::Stall);
    let running = test.tier.run_query(query(60_000, None), test.clock.now());
    tokio::pin!(running);
    assert!(futures::poll!(&mut running).is_pending());
    let sent = test.client.searches.lock().len();
    let refusal = test.tier.run_query(query(60_000, None), test.clock.now()).await;
    let refusal = refusal.expect_err("the instance is full");
    assert!(matches!(refusal.error, TierError::Overloaded { .. }), "{refusal}");
    assert_eq!(refusal.outcome, ActionOutcome::NotRun);
    assert_eq!(test.client.searches.lock().len(), sent);
    assert!(test.control.events.lock().contains(&EventKind::AdmissionRefused));
}

#[tokio::test]
async fn test_an_action_is_sent_again_only_if_no_byte_was_sent() {
    let cases = [
        (AttemptError::NotSent, 2, ActionOutcome::NotRun),
        (AttemptError::Shed, 1, ActionOutcome::NotRun),
        (AttemptError::Draining, 1, ActionOutcome::NotRun),
        (AttemptError::Lost, 1, ActionOutcome::Unknown),
        (AttemptError::TimedOut, 1, ActionOutcome::Unknown),
        (AttemptError::VersionNotHeld, 1, ActionOutcome::Unknown),
        (AttemptError::Status { status: 500 }, 1, ActionOutcome::Unknown),
        (AttemptError::Malformed, 1, ActionOutcome::Unknown),
    ];
    for (error, attempts, outcome) in cases {
        let test = TestTier::new(1, &[1], |_| {});
        test.set_all(1, Behaviour::Fail(error));
        let response = test.tier.run_action(action(), test.clock.now()).await.expect("outcome");
        assert_eq!(response.outcome, outcome, "{error}");
        assert_eq!(test.client.actions.lock().len(), attempts, "{error}");
        assert_eq!(test.claims.records.lock().last().map(|record| record.outcome), Some(outcome));
        assert_eq!(test.claims.begun.load(Ordering::Relaxed), 1);
    }
}
