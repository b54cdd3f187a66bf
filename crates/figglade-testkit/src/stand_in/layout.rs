//! Settings for all the stand-in targets of one index.

use std::net::SocketAddr;

use figglade::{
    IndexName, IndexVersion, PartitionEpoch, ShardId, TargetId, ZoneName,
    wire::{AnnouncedReplica, HeldVersion},
};

use super::{
    register::RegisterData,
    settings::{SettingsError, StandInSettings},
};

/// How an index is spread over stand-in targets, one replica to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexLayout {
    /// The index.
    pub index: IndexName,
    /// The shards.
    pub shard_count: u32,
    /// The replicas of each shard.
    pub replica_count: u32,
    /// The records of the whole index.
    pub records: u64,
    /// The version that every replica holds.
    pub version: IndexVersion,
    /// The partition epoch.
    pub partition_epoch: PartitionEpoch,
    /// The availability zones, taken in turn by the replicas of a shard.
    pub zones: Vec<ZoneName>,
}

impl IndexLayout {
    /// Returns the replica of a shard as its targets announce it.
    pub fn replica(&self, shard: ShardId) -> AnnouncedReplica {
        let documents =
            RegisterData::count_documents(&self.index, self.records, shard, self.shard_count);
        AnnouncedReplica {
            index: self.index.clone(),
            shard,
            shard_count: self.shard_count,
            partition_epoch: self.partition_epoch,
            versions: vec![HeldVersion { version: self.version, documents }],
            key_ranges: None,
        }
    }

    /// Returns settings for every target, replica by replica; each listens at a free port.
    ///
    /// # Errors
    ///
    /// Fails when there is no availability zone or the index name is too long for target names.
    pub fn targets(
        &self,
        announce_to: &[SocketAddr],
    ) -> Result<Vec<StandInSettings>, SettingsError> {
        let mut targets = Vec::new();
        for replica in 0..self.replica_count {
            for shard in 0..self.shard_count {
                targets.push(self.target(ShardId::new(shard), replica, announce_to)?);
            }
        }
        Ok(targets)
    }

    /// Returns settings for the target with one replica of a shard.
    ///
    /// # Errors
    ///
    /// Fails when there is no availability zone or the index name is too long for target names.
    pub fn target(
        &self,
        shard: ShardId,
        replica: u32,
        announce_to: &[SocketAddr],
    ) -> Result<StandInSettings, SettingsError> {
        let refuse = |reason: String| SettingsError { reason };
        let name = format!("{}-s{shard}-r{replica}", self.index);
        let target_id: TargetId =
            name.parse().map_err(|error| refuse(format!("target_id {error}")))?;
        let zone = (shard.get() + replica) as usize;
        let availability_zone = match self.zones.len() {
            0 => return Err(refuse("zones must name at least one".to_owned())),
            count => self.zones[zone % count].clone(),
        };
        let seed = u64::from(shard.get()) << 32 | u64::from(replica);
        Ok(StandInSettings {
            announce_to: announce_to.to_vec(),
            seed,
            replicas: vec![self.replica(shard)],
            ..StandInSettings::new(target_id, availability_zone)
        })
    }
}
