//! Commands that start stand-in targets and make them misbehave.

use std::time::Duration;

use datadriven::TestCase;
use figglade::{IndexName, IndexVersion, PartitionEpoch, ShardId, TargetId, wire::LoadReport};

use super::{ScenarioError, lifecycle::TARGET_KEY_FILE, world::ScenarioWorld};
use crate::stand_in::{
    AnswerFault, IndexLayout, ResetPoint, ServiceKind, ServiceTime, StandIn, StandInFaults,
};

/// An index and its targets, replica by replica.
pub(super) struct ScenarioIndex {
    layout: IndexLayout,
    targets: Vec<TargetId>,
}

impl ScenarioWorld {
    /// `index NAME shards=2 replicas=2 [records=100] [version=1] [epoch=1] [service_us=200]`:
    /// starts stand-in targets that announce themselves to every instance in turn.
    pub(super) async fn start_index(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let index: IndexName = case.take_arg("name")?;
        let zones = ["norrhamn-a", "norrhamn-b", "norrhamn-c"];
        let layout = IndexLayout {
            index: index.clone(),
            shard_count: case.take_arg("shards")?,
            replica_count: case.take_arg("replicas")?,
            records: case.try_take_arg("records")?.unwrap_or(100),
            version: IndexVersion::new(case.try_take_arg("version")?.unwrap_or(1)),
            partition_epoch: PartitionEpoch::new(case.try_take_arg("epoch")?.unwrap_or(1)),
            zones: zones.iter().filter_map(|zone| zone.parse().ok()).collect(),
        };
        let mean_us = case.try_take_arg("service_us")?.unwrap_or(200);
        let addresses = self.harness()?.http_addresses();
        let key_file = self.harness()?.dir().join(TARGET_KEY_FILE);
        let settings =
            layout.targets(&addresses).map_err(|error| ScenarioError::usage(error.to_string()))?;
        let mut targets = Vec::new();
        for mut settings in settings {
            settings.service_time = ServiceTime { kind: ServiceKind::Fixed, mean_us };
            settings.target_key_file = Some(key_file.clone());
            let target = settings.target_id.clone();
            self.targets.insert(target.clone(), StandIn::start(settings).await?);
            targets.push(target);
        }
        self.indexes.insert(index.to_string(), ScenarioIndex { layout, targets });
        Ok(String::new())
    }

    /// `fault target=NAME KIND`: replaces the faults of a target; see [`take_faults`].
    pub(super) fn set_fault(&mut self, case: &mut TestCase) -> Result<String, ScenarioError> {
        let target: TargetId = case.take_arg("target")?;
        let faults = take_faults(case)?;
        self.target(&target)?
            .control()
            .set_faults(faults)
            .map_err(|error| ScenarioError::usage(error.to_string()))?;
        Ok(String::new())
    }

    /// `drain target=NAME`: drains a target and waits until its work is done.
    pub(super) async fn drain_target(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let target: TargetId = case.take_arg("target")?;
        self.target(&target)?.control().drain().await;
        Ok(String::new())
    }

    /// `kill-target target=NAME`: ends a target without a drain.
    pub(super) async fn kill_target(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let target: TargetId = case.take_arg("target")?;
        let stand_in = self
            .targets
            .remove(&target)
            .ok_or_else(|| ScenarioError::usage(format!("there is no target {target}")))?;
        self.ran_before.extend(stand_in.ran_actions());
        stand_in.close().await;
        Ok(String::new())
    }

    /// `flip index=NAME version=2 [target=NAME]`: replaces the version held by one target or by
    /// all of them, one after the other.
    pub(super) fn flip_version(&mut self, case: &mut TestCase) -> Result<String, ScenarioError> {
        let index: String = case.take_arg("index")?;
        let version = IndexVersion::new(case.take_arg("version")?);
        let only: Option<TargetId> = case.try_take_arg("target")?;
        let Some(entry) = self.indexes.get_mut(&index) else {
            return Err(ScenarioError::usage(format!("there is no index {index}")));
        };
        entry.layout.version = version;
        let shards = entry.layout.shard_count as usize;
        for (position, target) in entry.targets.iter().enumerate() {
            let replica = entry.layout.replica(ShardId::new((position % shards) as u32));
            let wanted = only.as_ref().is_none_or(|only| only == target);
            if let Some(stand_in) = self.targets.get(target).filter(|_| wanted) {
                stand_in.control().set_replicas(vec![replica]);
            }
        }
        Ok(String::new())
    }

    /// `repartition index=NAME shards=3 epoch=2`: cuts the index anew and spreads the shards over
    /// its targets in turn.
    pub(super) fn repartition_index(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let index: String = case.take_arg("index")?;
        let shards: u32 = case.take_arg("shards")?;
        let epoch = PartitionEpoch::new(case.take_arg("epoch")?);
        let Some(entry) = self.indexes.get_mut(&index) else {
            return Err(ScenarioError::usage(format!("there is no index {index}")));
        };
        entry.layout.shard_count = shards;
        entry.layout.partition_epoch = epoch;
        for (position, target) in entry.targets.iter().enumerate() {
            let replica = entry.layout.replica(ShardId::new(position as u32 % shards));
            if let Some(stand_in) = self.targets.get(target) {
                stand_in.control().set_replicas(vec![replica]);
            }
        }
        Ok(String::new())
    }

    /// `searches target=NAME` with the arguments of `query`: prints the answers and whether any of
    /// the searches reached the target.
    pub(super) async fn count_searches(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let target: TargetId = case.take_arg("target")?;
        let before = self.target(&target)?.state().searches_received;
        let shown = self.run_query(case).await?;
        let after = self.target(&target)?.state().searches_received;
        let reached = if after > before { "reached" } else { "spared" };
        Ok(format!("{shown}target {reached}\n"))
    }

    fn target(&self, target: &TargetId) -> Result<&StandIn, ScenarioError> {
        self.targets
            .get(target)
            .ok_or_else(|| ScenarioError::usage(format!("there is no target {target}")))
    }
}

/// Reads the faults of a target: `stall`, `shed`, `slow=FACTOR`, `answer=KIND`, `reset=POINT`,
/// `documents=SHARE`, `lies-idle` or nothing, which switches all faults off.
fn take_faults(case: &mut TestCase) -> Result<StandInFaults, ScenarioError> {
    let mut faults = StandInFaults {
        stall: case.take_flag("stall")?,
        shed: case.take_flag("shed")?,
        ..Default::default()
    };
    if let Some(factor) = case.try_take_arg("slow")? {
        faults.slow_factor = factor;
    }
    if let Some(share) = case.try_take_arg("documents")? {
        faults.documents_share = share;
    }
    if case.take_flag("lies-idle")? {
        faults.load_lie = Some(LoadReport { in_flight: 0, slots: 100, queue: 0 });
    }
    if let Some(kind) = case.try_take_arg::<String>("answer")? {
        faults.answer = parse_answer(&kind)?;
    }
    if let Some(point) = case.try_take_arg::<String>("reset")? {
        faults.reset = match point.as_str() {
            "before-run" => ResetPoint::BeforeRun,
            "after-run" => ResetPoint::AfterRun,
            other => return Err(ScenarioError::usage(format!("unknown reset point {other}"))),
        };
    }
    Ok(faults)
}

/// Reads what is wrong with the answers of a target.
fn parse_answer(kind: &str) -> Result<AnswerFault, ScenarioError> {
    Ok(match kind {
        "wrong-attempt" => AnswerFault::WrongAttempt,
        "wrong-version" => AnswerFault::WrongVersion,
        "wrong-shard" => AnswerFault::WrongShard,
        "doubled" => AnswerFault::Doubled,
        "doubled-hits" => AnswerFault::DoubledHits,
        "truncated" => AnswerFault::Truncated,
        "malformed" => AnswerFault::Malformed,
        "oversized" => AnswerFault::Oversized { bytes: 64 << 20 },
        "drip" => AnswerFault::Drip {
            piece_bytes: 16,
            pause_ms: Duration::from_millis(200).as_millis() as u64,
        },
        other => return Err(ScenarioError::usage(format!("unknown answer fault {other}"))),
    })
}
