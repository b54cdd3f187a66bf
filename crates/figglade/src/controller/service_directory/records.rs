//! The records of targets, merged from whatever arrives.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    Incarnation, InstanceId, ServiceName, TargetId, Timestamp, ZoneName,
    controller::service_directory::{TargetPhase, TargetReport},
};

/// How long the end of a target is remembered, so that a late report does not revive it; far
/// longer than a report is ever late.
const END_MEMORY: Duration = Duration::from_secs(120);
/// The most records held; further targets are refused until others end.
const MAX_RECORDS: usize = 65_536;

/// What instances know of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The target.
    pub id: TargetId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The requests it runs at a time.
    pub slots: u32,
    /// When it started; a later start is another target.
    pub incarnation: Incarnation,
    /// The sequence of the report that changed the record last.
    pub sequence: u64,
    /// What it takes.
    pub phase: TargetPhase,
    /// Whether its reports stopped without a word; it is used only where nothing else is left.
    pub is_lapsed: bool,
    /// How much longer it is slow after its start, in milliseconds, as of the report.
    pub warmup_ms: u32,
    /// The control instance that takes its reports.
    pub holder: InstanceId,
}

impl TargetRecord {
    /// Builds the record of a report that `holder` took.
    pub fn from_report(report: &TargetReport, holder: InstanceId) -> Self {
        Self {
            id: report.id.clone(),
            service: report.service.clone(),
            address: report.address,
            zone: report.zone.clone(),
            slots: report.slots,
            incarnation: report.incarnation,
            sequence: report.sequence,
            phase: report.phase,
            is_lapsed: false,
            warmup_ms: report.warmup_ms,
            holder,
        }
    }

    /// Returns whether this record replaces `held`, which is of the same target.
    fn replaces(&self, held: &Self) -> bool {
        if self.incarnation != held.incarnation {
            return self.incarnation > held.incarnation;
        }
        let ended = |record: &Self| record.phase == TargetPhase::Gone;
        if ended(self) != ended(held) {
            return ended(self);
        }
        // A target that drains does not become ready again in the same life.
        if self.phase != held.phase {
            return self.phase > held.phase;
        }
        (self.sequence, self.is_lapsed) > (held.sequence, held.is_lapsed)
    }

    /// Returns whether requests may be sent to the target.
    pub fn is_usable(&self) -> bool {
        self.phase == TargetPhase::Ready
    }

    /// Digests what followers see.
    fn digest(&self) -> u64 {
        let state = (self.phase as u64) << 1 | u64::from(self.is_lapsed);
        let seed = self.incarnation.get() ^ state.rotate_right(8);
        xxhash_rust::xxh3::xxh3_64_with_seed(self.id.as_str().as_bytes(), seed)
    }
}

#[derive(Clone, Debug)]
struct HeldRecord {
    record: TargetRecord,
    /// When it ended, where it did.
    ended: Option<Timestamp>,
}

/// The targets that an instance knows.
#[derive(Clone, Debug, Default)]
pub struct ServiceDirectory {
    records: BTreeMap<TargetId, HeldRecord>,
    /// The live target at each address.
    addresses: HashMap<SocketAddr, TargetId>,
    digest: u64,
}

impl ServiceDirectory {
    /// Takes a record and returns those that changed: none where it is known or outdated, and also
    /// an older target whose address it took over.
    pub fn merge(&mut self, record: TargetRecord, now: Timestamp) -> Vec<TargetRecord> {
        let held = self.records.get(&record.id);
        let is_full = held.is_none() && self.records.len() >= MAX_RECORDS;
        if is_full || held.is_some_and(|held| !record.replaces(&held.record)) {
            return Vec::new();
        }
        let mut record = record;
        let mut changed = Vec::new();
        if record.phase != TargetPhase::Gone
            && let Some(other) = self.other_at(&record)
        {
            if other.incarnation > record.incarnation {
                // The address went to a younger target; this one can only have ended.
                record.phase = TargetPhase::Gone;
            } else {
                let ended = TargetRecord { phase: TargetPhase::Gone, ..other };
                self.store(ended.clone(), now);
                changed.push(ended);
            }
        }
        self.store(record.clone(), now);
        changed.push(record);
        changed
    }

    /// Drops the memory of targets that ended long ago.
    pub fn purge_gone(&mut self, now: Timestamp) {
        let is_kept = |held: &HeldRecord| held.ended.is_none_or(|at| now.since(at) < END_MEMORY);
        self.records.retain(|_, held| is_kept(held));
    }

    /// Returns the record of a target.
    pub fn get(&self, id: &TargetId) -> Option<&TargetRecord> {
        self.records.get(id).map(|held| &held.record)
    }

    /// Returns all records, those of ended targets among them.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values().map(|held| &held.record)
    }

    /// Returns the records of targets that have not ended.
    pub fn live(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records().filter(|record| record.phase != TargetPhase::Gone)
    }

    /// Returns a digest of the live targets as instances use them; who takes their reports does not
    /// count.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    fn other_at(&self, record: &TargetRecord) -> Option<TargetRecord> {
        let id = self.addresses.get(&record.address).filter(|id| **id != record.id)?;
        self.get(id).cloned()
    }

    fn store(&mut self, record: TargetRecord, now: Timestamp) {
        if let Some(held) = self.records.get(&record.id)
            && held.record.phase != TargetPhase::Gone
        {
            self.digest ^= held.record.digest();
            if self.addresses.get(&held.record.address) == Some(&record.id) {
                self.addresses.remove(&held.record.address);
            }
        }
        let is_live = record.phase != TargetPhase::Gone;
        if is_live {
            self.digest ^= record.digest();
            self.addresses.insert(record.address, record.id.clone());
        }
        let ended = (!is_live).then_some(now);
        self.records.insert(record.id.clone(), HeldRecord { record, ended });
    }
}
