//! Target records and the rules that merge them.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::unnamed::UnnamedRecords;
use crate::{
    Incarnation, InstanceId, ServiceName, TargetId, Timestamp, ZoneName,
    controller::service_directory::{TargetPhase, TargetReport},
};

/// How long the record of a gone target is kept, so that a late report does not revive it; far
/// longer than any report is delayed.
const TOMBSTONE_TTL: Duration = Duration::from_secs(120);
/// The maximum number of records of named services, and of others; records of further targets are
/// ignored until others are purged.
pub(super) const MAX_RECORDS: usize = 65_536;

/// The state of one target, as instances share it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The target.
    pub id: TargetId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The requests it runs at a time.
    pub slots: u32,
    /// The start of the target; a higher incarnation replaces a lower one.
    pub incarnation: Incarnation,
    /// The sequence of the report that changed the record last.
    pub sequence: u64,
    /// Which requests it accepts.
    pub phase: TargetPhase,
    /// Whether its reports stopped without a leave; it is used only when no other target is left.
    pub is_lapsed: bool,
    /// The remaining warm-up time at the moment of the report, in milliseconds.
    pub warmup_ms: u32,
    /// The control instance that receives its reports.
    pub holder: InstanceId,
}

impl TargetRecord {
    /// Builds the record of a report that `holder` received.
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

    /// Builds the record of a target that left before any report of it arrived, so that only its id
    /// and incarnation are known.
    pub fn departed(id: TargetId, incarnation: Incarnation, holder: InstanceId) -> Self {
        Self {
            id,
            service: ServiceName::unknown(),
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            zone: ZoneName::unknown(),
            slots: 0,
            incarnation,
            sequence: 0,
            phase: TargetPhase::Gone,
            is_lapsed: false,
            warmup_ms: 0,
            holder,
        }
    }

    /// Returns whether this record replaces `held`, a record of the same target.
    pub(super) fn replaces(&self, held: &Self) -> bool {
        if self.incarnation != held.incarnation {
            return self.incarnation > held.incarnation;
        }
        let is_gone = |record: &Self| record.phase == TargetPhase::Gone;
        if is_gone(self) != is_gone(held) {
            return is_gone(self);
        }
        // A draining target does not become ready again within one incarnation.
        if self.phase != held.phase {
            return self.phase > held.phase;
        }
        (self.sequence, self.is_lapsed) > (held.sequence, held.is_lapsed)
    }

    /// Returns whether requests may be sent to the target.
    pub fn is_usable(&self) -> bool {
        self.phase == TargetPhase::Ready
    }

    /// Returns whether only the id and the incarnation are known, as in [`Self::departed`].
    const fn is_departed(&self) -> bool {
        matches!(self.phase, TargetPhase::Gone) && self.address.port() == 0
    }

    /// Returns the digest of a target that is not gone, or 0.
    pub(super) fn live_digest(&self) -> u64 {
        if self.phase == TargetPhase::Gone { 0 } else { self.digest() }
    }

    /// Returns a digest of the fields that followers compare.
    fn digest(&self) -> u64 {
        let state = (self.phase as u64) << 1 | u64::from(self.is_lapsed);
        let seed = self.incarnation.get() ^ state.rotate_right(8);
        xxhash_rust::xxh3::xxh3_64_with_seed(self.id.as_str().as_bytes(), seed)
    }
}

#[derive(Clone, Debug)]
pub(super) struct HeldRecord {
    pub(super) record: TargetRecord,
    /// When it became gone, if it did.
    gone_at: Option<Timestamp>,
}

impl HeldRecord {
    pub(super) fn new(record: TargetRecord, now: Timestamp) -> Self {
        let gone_at = (record.phase == TargetPhase::Gone).then_some(now);
        Self { record, gone_at }
    }
}

/// The target records known to one instance.
#[derive(Clone, Debug, Default)]
pub struct ServiceDirectory {
    records: BTreeMap<TargetId, HeldRecord>,
    /// The live target at each address.
    addresses: HashMap<SocketAddr, TargetId>,
    digest: u64,
    /// The services that the route set in force names; `None` if every service counts as named.
    named: Option<HashSet<ServiceName>>,
    unnamed: UnnamedRecords,
}

impl ServiceDirectory {
    /// Creates an empty directory in which no service is named until [`Self::name_services`] is
    /// called. In a default one every service counts as named.
    pub fn without_services() -> Self {
        Self { named: Some(HashSet::new()), ..Self::default() }
    }

    /// Replaces the set of named services, and returns the targets that this ended.
    pub fn name_services(
        &mut self,
        services: HashSet<ServiceName>,
        now: Timestamp,
    ) -> Vec<TargetRecord> {
        let is_unnamed = |held: &HeldRecord| {
            !held.record.is_departed() && !services.contains(&held.record.service)
        };
        let leaving: Vec<_> = self.records.values().filter(|held| is_unnamed(held)).collect();
        let leaving: Vec<_> = leaving.into_iter().map(|held| held.record.clone()).collect();
        for record in leaving {
            self.remove_live(&record.id);
            self.records.remove(&record.id);
            self.unnamed.merge(record, now);
        }
        let joining = self.unnamed.take_named(&services);
        self.named = Some(services);
        let was_gone: HashSet<_> = joining
            .iter()
            .filter(|record| record.phase == TargetPhase::Gone)
            .map(|record| record.id.clone())
            .collect();
        let merged = joining.into_iter().flat_map(|record| self.merge(record, now));
        let ended = merged.filter(|record| record.phase == TargetPhase::Gone);
        ended.filter(|record| !was_gone.contains(&record.id)).collect()
    }

    /// Merges a record and returns the records that changed: none if it is already known or
    /// outdated. An older target at the same address becomes gone and is returned as well, if the
    /// service of the record is named.
    pub fn merge(&mut self, record: TargetRecord, now: Timestamp) -> Vec<TargetRecord> {
        if record.is_departed() {
            let mut changed = self.end_unnamed(&record, now);
            changed.extend(self.merge_named(record, now));
            return changed;
        }
        if self.is_named(&record.service) {
            return self.merge_named(record, now);
        }
        // A target that left before any report of it arrived is known by its id only.
        let left = self.records.get(&record.id).filter(|held| held.record.is_departed());
        if left.is_some_and(|held| !record.replaces(&held.record)) {
            return Vec::new();
        }
        let merged = self.unnamed.merge(record.clone(), now);
        if merged { vec![record] } else { Vec::new() }
    }

    /// Ends the targets of unnamed services that left, of which `gone` tells only the id.
    fn end_unnamed(&mut self, gone: &TargetRecord, now: Timestamp) -> Vec<TargetRecord> {
        let held = self.unnamed.of_target(&gone.id).cloned();
        let ended = held.map(|held| {
            let incarnation = gone.incarnation;
            TargetRecord { phase: TargetPhase::Gone, incarnation, ..held }
        });
        let mut ended: Vec<_> = ended.collect();
        ended.retain(|record| self.unnamed.merge(record.clone(), now));
        ended
    }

    fn is_named(&self, service: &ServiceName) -> bool {
        self.named.as_ref().is_none_or(|named| named.contains(service))
    }

    fn merge_named(&mut self, record: TargetRecord, now: Timestamp) -> Vec<TargetRecord> {
        let held = self.records.get(&record.id);
        let is_full = held.is_none() && self.records.len() >= MAX_RECORDS;
        if is_full || held.is_some_and(|held| !record.replaces(&held.record)) {
            return Vec::new();
        }
        let mut record = record;
        if record.phase == TargetPhase::Gone
            && let Some(HeldRecord { record: held, .. }) = held
        {
            // The instance that received the leave may not have known the target. Others remove it
            // from the service under which they know it.
            record.service = held.service.clone();
            record.address = held.address;
            record.zone = held.zone.clone();
        }
        let mut changed = Vec::new();
        if record.phase != TargetPhase::Gone
            && let Some(other) = self.other_at_address(&record)
        {
            if other.incarnation > record.incarnation {
                // A newer target listens at the address, so this one has ended.
                record.phase = TargetPhase::Gone;
            } else {
                let gone = TargetRecord { phase: TargetPhase::Gone, ..other };
                self.store(gone.clone(), now);
                changed.push(gone);
            }
        }
        self.store(record.clone(), now);
        changed.push(record);
        changed
    }

    /// Returns the record of a target that said that it is leaving, marked as draining; `None` if
    /// that start of the target is unknown, has been replaced, or is known to leave.
    pub fn drained(&self, id: &TargetId, incarnation: Incarnation) -> Option<TargetRecord> {
        let held = self.get(id)?;
        let is_news = held.incarnation == incarnation && held.phase == TargetPhase::Ready;
        is_news.then(|| TargetRecord { phase: TargetPhase::Draining, ..held.clone() })
    }

    /// Removes the records of gone targets once no late report of them is expected any more.
    pub fn purge_gone(&mut self, now: Timestamp) {
        let is_kept =
            |held: &HeldRecord| held.gone_at.is_none_or(|at| now.since(at) < TOMBSTONE_TTL);
        self.records.retain(|_, held| is_kept(held));
        self.unnamed.retain(is_kept);
    }

    /// Returns the record of a target, preferably that of a named service.
    pub fn get(&self, id: &TargetId) -> Option<&TargetRecord> {
        let named = self.records.get(id).map(|held| &held.record);
        named.or_else(|| self.unnamed.of_target(id).next())
    }

    /// Returns the record of a target that a report for `service` changes.
    pub fn get_for(&self, id: &TargetId, service: &ServiceName) -> Option<&TargetRecord> {
        if self.is_named(service) {
            self.records.get(id).map(|held| &held.record)
        } else {
            self.unnamed.get(id, service)
        }
    }

    /// Returns all records of a target, that of a named service first.
    pub fn all_of(&self, id: &TargetId) -> impl Iterator<Item = &TargetRecord> {
        let named = self.records.get(id).map(|held| &held.record);
        named.into_iter().chain(self.unnamed.of_target(id))
    }

    /// Returns all records, including those of gone targets.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values().map(|held| &held.record).chain(self.unnamed.iter())
    }

    /// Returns the number of records, including those of gone targets.
    pub fn len(&self) -> usize {
        self.records.len() + self.unnamed.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the records of targets that are not gone.
    pub fn live(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records().filter(|record| record.phase != TargetPhase::Gone)
    }

    /// Returns a digest of the live targets; it does not depend on which control instance receives
    /// their reports.
    pub const fn digest(&self) -> u64 {
        self.digest ^ self.unnamed.digest()
    }

    fn other_at_address(&self, record: &TargetRecord) -> Option<TargetRecord> {
        let id = self.addresses.get(&record.address).filter(|id| **id != record.id)?;
        self.get(id).cloned()
    }

    /// Removes a live target of a named service from the digest and the addresses.
    fn remove_live(&mut self, id: &TargetId) {
        if let Some(held) = self.records.get(id)
            && held.record.phase != TargetPhase::Gone
        {
            self.digest ^= held.record.digest();
            if self.addresses.get(&held.record.address) == Some(id) {
                self.addresses.remove(&held.record.address);
            }
        }
    }

    fn store(&mut self, record: TargetRecord, now: Timestamp) {
        self.remove_live(&record.id);
        let is_live = record.phase != TargetPhase::Gone;
        if is_live {
            self.digest ^= record.digest();
            self.addresses.insert(record.address, record.id.clone());
        }
        self.records.insert(record.id.clone(), HeldRecord::new(record, now));
    }
}
