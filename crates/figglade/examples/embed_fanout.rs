//! Embeds the library: runs one search over two in-memory shards.
//!
//! The library makes the decisions; the embedding program owns the clock, the random number
//! generator and the transport. One replica of shard 1 always fails, so the search is retried on
//! the other one.
//!
//! Run it with `cargo run -p figglade --example embed_fanout`.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use figglade::{
    AttemptId, IndexName, IndexVersion, PartitionEpoch, ShardId, TargetId, Timestamp, ZoneName,
    border::AttemptError,
    controller::fleet::FleetDefaults,
    filter::{
        budget::AttemptBudget,
        fanout::{FanoutAction, FanoutContext, FanoutPolicy, FanoutRun},
        latency::LatencyTracker,
        picker::{EjectionCounter, LiveTargets, ReplicaPicker},
        routing::{SnapshotKey, SnapshotRoute, TargetRoute},
    },
    wire::{SearchHit, SearchReply},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::value::RawValue;

/// The version that both shards hold.
const VERSION: IndexVersion = IndexVersion::new(7);
/// The records of each shard.
const RECORDS: [&[&str]; 2] = [&["indigo twill", "madder check"], &["indigo herringbone"]];
/// The time between sending a search and its answer.
const ANSWER_TIME: Duration = Duration::from_millis(2);
/// The time by which the search must complete.
const DEADLINE: Timestamp = Timestamp::from_millis(50);

/// A search that was sent to a target and has not been answered yet.
struct SentSearch {
    attempt: AttemptId,
    shard: ShardId,
    target: TargetId,
}

fn main() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let index: IndexName = "sett-archive".parse().expect("the name has allowed characters");
    let shards = (0..RECORDS.len() as u32).map(ShardId::new);
    let mut run = FanoutRun::new(
        index.clone(),
        Arc::new(make_snapshot()),
        shards,
        Arc::new(make_tools()),
        make_policy(&FleetDefaults::default()),
        DEADLINE,
        &mut rng,
    );

    let mut now = Timestamp::ZERO;
    let mut pending = VecDeque::new();
    queue_searches(run.start(now, &mut rng), &mut pending);
    while !run.is_done() {
        let next = match pending.pop_front() {
            Some(sent) => {
                now = now + ANSWER_TIME;
                run.handle_reply(sent.attempt, answer(&index, &sent), now, &mut rng).1
            }
            None => {
                now = run.next_timer();
                run.handle_timer(now, &mut rng)
            }
        };
        queue_searches(next, &mut pending);
    }

    let attempts = run.attempt_count();
    let merged = run.finish(10);
    println!("{attempts} attempts, complete: {}, {:?}", merged.complete, merged.coverage);
    for hit in &merged.hits {
        println!("  {:.1} {}", hit.score, hit.id);
    }
    assert!(merged.complete, "both shards have a healthy replica");
}

/// Queues the searches that the run sends. Cancellations are ignored: a queued search is answered
/// as soon as it is taken from the queue.
fn queue_searches(actions: Vec<FanoutAction>, pending: &mut VecDeque<SentSearch>) {
    for action in actions {
        if let FanoutAction::Send { attempt, shard, route, kind } = action {
            println!("{kind} attempt for shard {shard} to {}", route.target);
            pending.push_back(SentSearch { attempt, shard, target: route.target.clone() });
        }
    }
}

/// Searches one shard in memory; the first replica of shard 1 always fails.
fn answer(index: &IndexName, sent: &SentSearch) -> Result<SearchReply, AttemptError> {
    if sent.target.as_str() == "s1-r0" {
        return Err(AttemptError::Lost);
    }
    let records = RECORDS[sent.shard.get() as usize];
    let matching = records.iter().filter(|record| record.contains("indigo"));
    let hits = matching.map(|record| SearchHit {
        id: (*record).to_owned(),
        score: 1.0 / record.len() as f64,
        body: RawValue::NULL.to_owned(),
    });
    Ok(SearchReply {
        attempt_id: sent.attempt,
        index: index.clone(),
        shard: sent.shard,
        version: VERSION,
        documents_searched: records.len() as u64,
        hits: hits.collect(),
    })
}

/// Builds a snapshot with two replicas of each shard.
fn make_snapshot() -> SnapshotRoute {
    let replicas = (0..RECORDS.len()).map(|shard| {
        (0..2).map(|replica| Arc::new(make_target(&format!("s{shard}-r{replica}")))).collect()
    });
    SnapshotRoute {
        key: SnapshotKey { version: VERSION, epoch: PartitionEpoch::new(1) },
        replicas: replicas.collect(),
        documents: RECORDS.iter().map(|records| Some(records.len() as u64)).collect(),
        min_slots: 6,
    }
}

fn make_target(name: &str) -> TargetRoute {
    TargetRoute {
        target: name.parse().expect("the name has allowed characters"),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: zone_name(),
        slots: 3,
        connections: 30,
        ready_since: Timestamp::ZERO,
        load: Arc::default(),
    }
}

/// Builds the state that the requests of one index share.
fn make_tools() -> FanoutContext {
    let ejections = Arc::new(EjectionCounter::default());
    ejections.set_target_count(4);
    FanoutContext {
        picker: ReplicaPicker {
            zone: zone_name(),
            cold_start: Duration::ZERO,
            ejections,
            live: LiveTargets::default(),
        },
        hedges: AttemptBudget::default(),
        retries: AttemptBudget::default(),
        latency: LatencyTracker::default(),
        probes: Default::default(),
    }
}

/// Takes the limits of the fan-out from the fleet defaults.
fn make_policy(defaults: &FleetDefaults) -> FanoutPolicy {
    FanoutPolicy {
        hedge_tail: defaults.hedge_tail,
        hedge_budget: defaults.hedge_budget,
        hedge_min_delay: Duration::from_millis(defaults.hedge_min_delay_ms),
        retry_budget: defaults.retry_budget,
        max_attempts: defaults.max_attempts,
        max_ejected: defaults.max_ejected,
    }
}

fn zone_name() -> ZoneName {
    "norrhamn-a".parse().expect("the name has allowed characters")
}
