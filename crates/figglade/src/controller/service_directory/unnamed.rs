//! The records of targets whose service the route set does not name.

use std::collections::{BTreeMap, HashSet};

use super::records::{HeldRecord, MAX_RECORDS, TargetRecord};
use crate::{ServiceName, TargetId, Timestamp};

/// Records by target and service. They affect neither each other nor those of named services: an entry
/// of another writer may bear the id or the address of a sound target.
#[derive(Clone, Debug, Default)]
pub(super) struct UnnamedRecords {
    /// The records of each target, at most one for each service.
    records: BTreeMap<TargetId, Vec<HeldRecord>>,
    count: usize,
    digest: u64,
}

impl UnnamedRecords {
    /// Merges a record and returns whether it changed anything.
    pub(super) fn merge(&mut self, record: TargetRecord, now: Timestamp) -> bool {
        let held = self.get(&record.id, &record.service);
        let is_full = held.is_none() && self.count >= MAX_RECORDS;
        if is_full || held.is_some_and(|held| !record.replaces(held)) {
            return false;
        }
        let (held_digest, is_new) = (held.map_or(0, TargetRecord::live_digest), held.is_none());
        self.digest ^= held_digest ^ record.live_digest();
        self.count += usize::from(is_new);
        let records = self.records.entry(record.id.clone()).or_default();
        records.retain(|held| held.record.service != record.service);
        records.push(HeldRecord::new(record, now));
        true
    }

    /// Removes the records of the services that are named now, and returns them.
    pub(super) fn take_named(&mut self, named: &HashSet<ServiceName>) -> Vec<TargetRecord> {
        let is_named = |record: &TargetRecord| named.contains(&record.service);
        let taken: Vec<_> = self.iter().filter(|record| is_named(record)).cloned().collect();
        self.retain(|held| !is_named(&held.record));
        for record in &taken {
            self.digest ^= record.live_digest();
        }
        taken
    }

    pub(super) fn get(&self, id: &TargetId, service: &ServiceName) -> Option<&TargetRecord> {
        self.of_target(id).find(|record| record.service == *service)
    }

    /// Returns the records of one target.
    pub(super) fn of_target(&self, id: &TargetId) -> impl Iterator<Item = &TargetRecord> {
        self.records.get(id).into_iter().flatten().map(|held| &held.record)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values().flatten().map(|held| &held.record)
    }

    pub(super) const fn len(&self) -> usize {
        self.count
    }

    pub(super) const fn digest(&self) -> u64 {
        self.digest
    }

    /// Removes records without a change of the digest: those of gone targets, which are not in it,
    /// or those that the caller takes out of it.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&HeldRecord) -> bool) {
        self.records.retain(|_, records| {
            records.retain(&is_kept);
            !records.is_empty()
        });
        self.count = self.records.values().map(Vec::len).sum();
    }
}
