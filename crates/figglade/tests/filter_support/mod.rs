//! A small in-memory index for the tests of the filter modules.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{sync::Arc, time::Duration};

use figglade::{
    AttemptId, IndexName, IndexVersion, PartitionEpoch, ShardId, Timestamp,
    filter::{
        budget::AttemptBudget,
        fanout::{AttemptKind, FanoutAction, FanoutContext, FanoutPolicy, FanoutRun},
        latency::LatencyTracker,
        picker::{EjectionCounter, LiveTargets, ReplicaPicker},
        routing::{SnapshotKey, SnapshotRoute, TargetRoute},
    },
    wire::{SearchHit, SearchReply},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The number of documents of every shard.
pub const SHARD_DOCUMENTS: u64 = 100;
/// The deadline of every run.
pub const DEADLINE: Timestamp = Timestamp::from_millis(1_000);

pub fn index() -> IndexName {
    "register-portal".parse().expect("a valid name")
}

pub fn seeded_rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

pub fn snapshot_key(version: u64) -> SnapshotKey {
    SnapshotKey { version: IndexVersion::new(version), epoch: PartitionEpoch::new(1) }
}

/// Builds `count` replicas of a shard in the zone `svealand-a`.
pub fn replicas(shard: u32, count: u32) -> Vec<Arc<TargetRoute>> {
    (0..count).map(|replica| Arc::new(target(shard, replica))).collect()
}

fn target(shard: u32, replica: u32) -> TargetRoute {
    TargetRoute {
        target: format!("s{shard}-r{replica}").parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "svealand-a".parse().expect("a valid name"),
        slots: 3,
        connections: 30,
        ready_since: Timestamp::ZERO,
        load: Arc::default(),
    }
}

pub fn snapshot(shards: u32, replica_count: u32) -> Arc<SnapshotRoute> {
    Arc::new(SnapshotRoute {
        key: snapshot_key(7),
        replicas: (0..shards).map(|shard| replicas(shard, replica_count)).collect(),
        documents: vec![Some(SHARD_DOCUMENTS); shards as usize],
        min_slots: 3 * replica_count,
    })
}

pub fn picker(targets: u32) -> ReplicaPicker {
    let ejections = Arc::new(EjectionCounter::default());
    ejections.set_target_count(targets);
    ReplicaPicker {
        zone: "svealand-a".parse().expect("a valid name"),
        cold_start: Duration::ZERO,
        ejections,
        live: LiveTargets::default(),
    }
}

pub fn context(targets: u32) -> Arc<FanoutContext> {
    Arc::new(FanoutContext {
        picker: picker(targets),
        hedges: AttemptBudget::default(),
        probes: AttemptBudget::default(),
        retries: AttemptBudget::default(),
        latency: LatencyTracker::default(),
    })
}

pub fn policy() -> FanoutPolicy {
    FanoutPolicy {
        hedge_tail: 0.2,
        hedge_budget: 0.02,
        hedge_min_delay: Duration::from_millis(1),
        retry_budget: 0.1,
        max_attempts: 3,
        max_ejected: 0.3,
    }
}

/// One attempt that a run sent.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub attempt: AttemptId,
    pub shard: ShardId,
    pub route: Arc<TargetRoute>,
    pub kind: AttemptKind,
}

/// Returns the attempts that `actions` send, including probes.
pub fn sent(actions: &[FanoutAction]) -> Vec<SentAttempt> {
    let mut attempts = Vec::new();
    for action in actions {
        let (attempt, shard, route, kind) = match action {
            FanoutAction::Send { attempt, shard, route, kind } => (attempt, shard, route, *kind),
            FanoutAction::Probe { attempt, shard, route } => {
                (attempt, shard, route, AttemptKind::Probe)
            }
            _ => continue,
        };
        let route = Arc::clone(route);
        attempts.push(SentAttempt { attempt: *attempt, shard: *shard, route, kind });
    }
    attempts
}

/// Returns the attempts that `actions` cancel.
pub fn cancelled(actions: &[FanoutAction]) -> Vec<AttemptId> {
    let cancel = |action: &FanoutAction| match action {
        FanoutAction::Cancel { attempt, .. } => Some(*attempt),
        _ => None,
    };
    actions.iter().filter_map(cancel).collect()
}

/// A fan-out with its random number generator and its first attempts.
pub struct TestRun {
    pub run: FanoutRun,
    pub rng: ChaCha8Rng,
    pub first: Vec<SentAttempt>,
    pub context: Arc<FanoutContext>,
}

impl TestRun {
    pub fn start(route: &Arc<SnapshotRoute>, context: &Arc<FanoutContext>, now: Timestamp) -> Self {
        let mut rng = seeded_rng(1);
        let shards = (0..route.shard_count()).map(ShardId::new);
        let mut run = FanoutRun::new(
            index(),
            Arc::clone(route),
            shards,
            Arc::clone(context),
            policy(),
            DEADLINE,
            &mut rng,
        );
        let first = sent(&run.start(now, &mut rng));
        Self { run, rng, first, context: Arc::clone(context) }
    }

    pub fn timer(&mut self, now: Timestamp) -> Vec<FanoutAction> {
        self.run.handle_timer(now, &mut self.rng)
    }

    pub fn answer(&mut self, sent: &SentAttempt, now: Timestamp) -> Vec<FanoutAction> {
        self.answer_partially(sent, SHARD_DOCUMENTS, now)
    }

    pub fn answer_partially(
        &mut self,
        sent: &SentAttempt,
        documents: u64,
        now: Timestamp,
    ) -> Vec<FanoutAction> {
        let reply = reply(sent, documents);
        self.run.handle_reply(sent.attempt, Ok(reply), now, &mut self.rng).1
    }
}

/// Builds a valid answer to an attempt, with one hit whose id contains the shard and `documents`.
pub fn reply(sent: &SentAttempt, documents: u64) -> SearchReply {
    SearchReply {
        attempt_id: sent.attempt,
        index: index(),
        shard: sent.shard,
        version: IndexVersion::new(7),
        documents_searched: documents,
        hits: vec![hit(&format!("{}-{documents}", sent.shard), 1.0)],
    }
}

pub fn hit(id: &str, score: f64) -> SearchHit {
    SearchHit { id: id.to_owned(), score, body: serde_json::value::RawValue::NULL.to_owned() }
}
