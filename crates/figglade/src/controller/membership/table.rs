//! The members known to an instance, and the merge of two records of the same member.

use std::collections::BTreeMap;

use super::{
    digest::{DigestTree, LeafId, hash_key},
    sync::{SyncRecord, SyncTable},
    types::{MemberChange, MemberEvent, MemberRecord, MemberState, PeerRef},
};
use crate::{InstanceId, Timestamp};

/// The maximum number of members in the table, live and dead.
pub const MAX_MEMBERS: usize = 16_384;

/// One member and when its state last changed.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The member.
    pub record: MemberRecord,
    /// When this instance last recorded a change of its state.
    pub changed_at: Timestamp,
}

/// The members known to an instance, including itself.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<u64, MemberEntry>,
    tree: DigestTree,
    live: Vec<u64>,
}

impl MemberTable {
    /// Returns the member with `key`.
    pub fn entry(&self, key: u64) -> Option<&MemberEntry> {
        self.entries.get(&key)
    }

    /// Returns the member named `id`.
    pub fn member(&self, id: &InstanceId) -> Option<&MemberRecord> {
        let entry = self.entries.get(&hash_key(id.as_str()))?;
        (entry.record.id == *id).then_some(&entry.record)
    }

    /// Returns every member.
    pub fn entries(&self) -> impl Iterator<Item = (u64, &MemberEntry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    /// Returns the keys of the live members in ascending order.
    pub fn live_keys(&self) -> &[u64] {
        &self.live
    }

    /// Returns the live members.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.live.iter().filter_map(|key| self.entries.get(key)).map(|entry| &entry.record)
    }

    /// Returns the live members except the one with the key `own`.
    pub fn peers(&self, own: u64) -> Vec<PeerRef> {
        self.live
            .iter()
            .filter(|key| **key != own)
            .filter_map(|key| self.entries.get(key))
            .map(|entry| PeerRef { id: entry.record.id.clone(), peer: entry.record.peer })
            .collect()
    }

    /// Merges a received record and returns the change, if any.
    pub fn merge(&mut self, received: &MemberRecord, now: Timestamp) -> Option<MemberEvent> {
        let key = received.key();
        let Some(entry) = self.entries.get(&key) else {
            return self.insert_new(key, received, now);
        };
        let held = &entry.record;
        if held.id != received.id {
            return None;
        }
        let previous = held.state;
        let merged = merge_records(held, received);
        let change = if merged.incarnation > held.incarnation {
            MemberChange::Restarted
        } else if merged.state != held.state || merged.refutation != held.refutation {
            MemberChange::StateChanged
        } else if merged.facts != held.facts {
            MemberChange::FactsChanged
        } else {
            return None;
        };
        let changed_at = if change == MemberChange::FactsChanged { entry.changed_at } else { now };
        self.store(key, MemberEntry { record: merged.clone(), changed_at });
        Some(event_of(merged, Some(previous), change))
    }

    /// Removes the member with `key` from the table.
    pub fn forget(&mut self, key: u64) -> Option<MemberEvent> {
        let entry = self.entries.remove(&key)?;
        self.tree.toggle(key, entry.record.digest());
        self.refresh_live(key, false);
        let previous = Some(entry.record.state);
        Some(event_of(entry.record, previous, MemberChange::Forgotten))
    }

    /// Adds a member that was not known, unless the table is full.
    fn insert_new(
        &mut self,
        key: u64,
        received: &MemberRecord,
        now: Timestamp,
    ) -> Option<MemberEvent> {
        if self.entries.len() >= MAX_MEMBERS {
            return None;
        }
        self.store(key, MemberEntry { record: received.clone(), changed_at: now });
        Some(event_of(received.clone(), None, MemberChange::Joined))
    }

    /// Inserts or replaces an entry and updates the digests and the list of live members.
    fn store(&mut self, key: u64, entry: MemberEntry) {
        let is_live = entry.record.state.is_live();
        self.tree.toggle(key, entry.record.digest());
        if let Some(replaced) = self.entries.insert(key, entry) {
            self.tree.toggle(key, replaced.record.digest());
        }
        self.refresh_live(key, is_live);
    }

    /// Adds `key` to the list of live members or removes it.
    fn refresh_live(&mut self, key: u64, is_live: bool) {
        match (self.live.binary_search(&key), is_live) {
            (Err(position), true) => self.live.insert(position, key),
            (Ok(position), false) => {
                self.live.remove(position);
            }
            _ => {}
        }
    }
}

impl SyncTable for MemberTable {
    type Record = MemberRecord;

    fn digests(&self) -> &DigestTree {
        &self.tree
    }

    fn records_in(&self, leaf: LeafId) -> Vec<MemberRecord> {
        self.entries.range(leaf.keys()).map(|(_, entry)| entry.record.clone()).collect()
    }
}

/// Merges two records of the same member; the merge is commutative.
fn merge_records(held: &MemberRecord, received: &MemberRecord) -> MemberRecord {
    let newer_order = received.order() > held.order();
    let mut merged = if newer_order { received.clone() } else { held.clone() };
    let other = if newer_order { held } else { received };
    let same_incarnation = other.incarnation == merged.incarnation;
    if same_incarnation && other.facts.sequence > merged.facts.sequence {
        merged.facts = other.facts.clone();
    }
    merged
}

/// Builds the event that reports a change.
fn event_of(
    record: MemberRecord,
    previous: Option<MemberState>,
    change: MemberChange,
) -> MemberEvent {
    MemberEvent { id: record.id.clone(), state: record.state, previous, change, record }
}
