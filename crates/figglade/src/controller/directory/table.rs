//! The targets known to an instance, and the merge of two records of the same target.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{
    compact,
    types::{DirectoryRecord, LapseRumor, TargetEntry},
};
use crate::{
    IndexName, TargetId, Timestamp,
    controller::membership::{
        digest::{DigestTree, LeafId, hash_key},
        sync::{SyncRecord, SyncTable},
    },
    wire::TargetState,
};

/// The maximum number of targets in the table, including those that lapsed or left.
pub const MAX_TARGETS: usize = 65_536;

/// The approximate memory of an entry without its announcement: maps, digests and bookkeeping.
const ENTRY_OVERHEAD_BYTES: usize = 320;

/// The indexes and targets that changed since they were last taken.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingChange {
    pub(super) indexes: BTreeSet<IndexName>,
    pub(super) targets: BTreeSet<TargetId>,
}

/// The targets known to an instance.
#[derive(Clone, Debug, Default)]
pub struct DirectoryTable {
    entries: BTreeMap<u64, TargetEntry>,
    by_index: BTreeMap<IndexName, BTreeSet<u64>>,
    by_address: BTreeMap<SocketAddr, BTreeSet<u64>>,
    tree: DigestTree,
    bytes: usize,
    now: Timestamp,
    change: PendingChange,
}

impl DirectoryTable {
    /// Advances the current time, which determines how long ago a target lapsed or left.
    pub(super) fn set_now(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
    }

    /// Takes the changes since the last call.
    pub(super) fn take_change(&mut self) -> PendingChange {
        std::mem::take(&mut self.change)
    }

    /// Returns whether a target changed since the changes were last taken.
    pub(super) fn has_change(&self) -> bool {
        !self.change.targets.is_empty()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the approximate memory of the table in bytes.
    pub fn approximate_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the target with `key`.
    pub fn entry(&self, key: u64) -> Option<&TargetEntry> {
        self.entries.get(&key)
    }

    /// Returns the target named `id`.
    pub fn target(&self, id: &TargetId) -> Option<&TargetEntry> {
        self.entries
            .get(&hash_key(id.as_str()))
            .filter(|entry| entry.announcement().target_id == *id)
    }

    /// Returns every target.
    pub fn entries(&self) -> impl Iterator<Item = (u64, &TargetEntry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    /// Returns the targets after `key` in ascending order of their keys.
    pub(super) fn entries_after(
        &self,
        key: Option<u64>,
    ) -> impl Iterator<Item = (u64, &TargetEntry)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let first = key.map_or(Unbounded, Excluded);
        self.entries.range((first, Unbounded)).map(|(key, entry)| (*key, entry))
    }

    /// Returns the indexes of which some target announced replicas.
    pub fn indexes(&self) -> impl Iterator<Item = &IndexName> {
        self.by_index.keys()
    }

    /// Returns the targets that announced replicas of `index`.
    pub fn targets_of(&self, index: &IndexName) -> impl Iterator<Item = &TargetEntry> {
        self.by_index.get(index).into_iter().flatten().filter_map(|key| self.entries.get(key))
    }

    /// Returns the record of the target with `key` as it is sent at the current time.
    pub(super) fn record_to_send(&self, key: u64) -> Option<DirectoryRecord> {
        self.entries.get(&key).map(|entry| self.record_of(entry))
    }

    /// Merges a record received from another instance and returns whether it changed the table.
    pub(super) fn merge(&mut self, received: &DirectoryRecord) -> bool {
        let key = received.key();
        let Some(entry) = self.entries.get(&key) else {
            return self.make_room() && self.put(key, received.clone());
        };
        let held = &entry.record;
        if held.announcement.target_id != received.announcement.target_id {
            return false;
        }
        let same_incarnation = held.announcement.incarnation == received.announcement.incarnation;
        let lapses = held.lapses.max(received.lapses);
        if received.is_newer_than(held) {
            let lapses = if same_incarnation { lapses } else { received.lapses };
            return self.put(key, DirectoryRecord { lapses, ..received.clone() });
        }
        if same_incarnation && lapses > held.lapses {
            let inactive_ms = received.inactive_ms;
            return self.put(key, DirectoryRecord { lapses, inactive_ms, ..held.clone() });
        }
        false
    }

    /// Merges the lapse or the return of a target and returns whether it changed the table.
    pub(super) fn merge_lapse(&mut self, rumor: &LapseRumor) -> bool {
        let Some(entry) = self.entries.get(&rumor.key) else { return false };
        let held = &entry.record;
        let same_incarnation = held.announcement.incarnation == rumor.incarnation;
        if !same_incarnation || rumor.lapses <= held.lapses {
            return false;
        }
        let record = DirectoryRecord { lapses: rumor.lapses, inactive_ms: 0, ..held.clone() };
        self.put(rumor.key, record)
    }

    /// Inserts or replaces a record; always returns `true`.
    pub(super) fn put(&mut self, key: u64, record: DirectoryRecord) -> bool {
        let replaced = self.remove(key);
        let entry = self.build_entry(record, replaced.as_ref());
        self.tree.toggle(key, entry.record.digest());
        self.bytes += entry_bytes(&entry);
        let address = entry.announcement().address;
        for replica in &entry.announcement().replicas {
            self.by_index.entry(replica.index.clone()).or_default().insert(key);
        }
        self.by_address.entry(address).or_default().insert(key);
        self.entries.insert(key, entry);
        self.record_change(key);
        self.update_displaced(address);
        if let Some(other) = replaced.map(|entry| entry.announcement().address)
            && other != address
        {
            self.update_displaced(other);
        }
        true
    }

    /// Excludes entries that lapsed or left at least half of `retention` ago from anti-entropy, and
    /// drops those that did so at least `retention` ago.
    ///
    /// By the time an entry is dropped, the other instances exclude their copies from anti-entropy,
    /// so no copy can restore the entry.
    pub(super) fn sweep(&mut self, retention: std::time::Duration) {
        let now = self.now;
        let inactive: Vec<_> = self
            .entries
            .iter()
            .filter_map(|(key, entry)| Some((*key, entry.inactive_for(now)?)))
            .collect();
        for (key, age) in inactive {
            if age >= retention {
                self.evict(key);
            } else if age >= retention / 2 {
                self.exclude_from_sync(key);
            }
        }
    }

    /// Ensures that the table has room for one more target, by dropping the one that lapsed or left
    /// first if the table is full. Returns whether there is room.
    pub(super) fn make_room(&mut self) -> bool {
        if self.entries.len() < MAX_TARGETS {
            return true;
        }
        let now = self.now;
        let oldest = self
            .entries
            .iter()
            .filter_map(|(key, entry)| Some((entry.inactive_for(now)?, *key)))
            .max();
        oldest.is_some_and(|(_, key)| {
            self.evict(key);
            true
        })
    }

    /// Builds the entry of `record` and carries over the times of `replaced` if it is of the same
    /// incarnation.
    fn build_entry(&self, record: DirectoryRecord, replaced: Option<&TargetEntry>) -> TargetEntry {
        let same_incarnation = |entry: &&TargetEntry| {
            entry.announcement().incarnation == record.announcement.incarnation
        };
        let earlier = replaced.filter(same_incarnation);
        let is_inactive = record.is_inactive();
        let inactive_since = is_inactive.then(|| {
            earlier
                .filter(|entry| entry.record.is_inactive())
                .and_then(|entry| entry.inactive_since)
                .unwrap_or(self.now)
        });
        let is_ready = !is_inactive && record.announcement.state == TargetState::Ready;
        let ready_since =
            is_ready.then(|| earlier.and_then(|entry| entry.ready_since).unwrap_or(self.now));
        TargetEntry {
            record,
            displaced: false,
            ready_since,
            inactive_since,
            excluded_from_sync: false,
        }
    }

    /// Removes the entry with `key` from the table, its lookup maps and the digests.
    fn remove(&mut self, key: u64) -> Option<TargetEntry> {
        let entry = self.entries.remove(&key)?;
        if !entry.excluded_from_sync {
            self.tree.toggle(key, entry.record.digest());
        }
        self.bytes -= entry_bytes(&entry);
        for replica in &entry.announcement().replicas {
            remove_key(&mut self.by_index, &replica.index, key);
            self.change.indexes.insert(replica.index.clone());
        }
        remove_key(&mut self.by_address, &entry.announcement().address, key);
        Some(entry)
    }

    /// Drops the entry with `key` and records the change.
    fn evict(&mut self, key: u64) {
        if let Some(entry) = self.remove(key) {
            self.change.targets.insert(entry.announcement().target_id.clone());
        }
    }

    /// Excludes the entry with `key` from anti-entropy.
    fn exclude_from_sync(&mut self, key: u64) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if !entry.excluded_from_sync {
            entry.excluded_from_sync = true;
            self.tree.toggle(key, entry.record.digest());
        }
    }

    /// Records that the target with `key` and its indexes changed.
    fn record_change(&mut self, key: u64) {
        let Some(entry) = self.entries.get(&key) else { return };
        let announcement = entry.announcement();
        self.change.targets.insert(announcement.target_id.clone());
        let indexes = announcement.replicas.iter().map(|replica| replica.index.clone());
        self.change.indexes.extend(indexes);
    }

    /// Marks every target at `address` as displaced except the one announced last among those that
    /// have neither lapsed nor left.
    fn update_displaced(&mut self, address: SocketAddr) {
        let Some(keys) = self.by_address.get(&address) else { return };
        let keys: Vec<u64> = keys.iter().copied().collect();
        let present = |key: &u64| self.entries.get(key).filter(|entry| !entry.record.is_inactive());
        let newest = keys
            .iter()
            .filter(|key| present(key).is_some())
            .max_by_key(|key| present(key).map(|entry| (&entry.record.stamp, **key)))
            .copied();
        for key in keys {
            let displaced = newest.is_some_and(|newest| newest != key);
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            if entry.displaced != displaced {
                entry.displaced = displaced;
                self.record_change(key);
            }
        }
    }

    /// Returns the record of `entry` as it is sent at the current time.
    fn record_of(&self, entry: &TargetEntry) -> DirectoryRecord {
        let inactive_ms = entry.inactive_for(self.now).map_or(0, |age| age.as_millis() as u64);
        DirectoryRecord { inactive_ms, ..entry.record.clone() }
    }
}

impl SyncTable for DirectoryTable {
    type Record = DirectoryRecord;

    fn digests(&self) -> &DigestTree {
        &self.tree
    }

    fn records_in(&self, leaf: LeafId) -> Vec<DirectoryRecord> {
        self.entries
            .range(leaf.keys())
            .filter(|(_, entry)| !entry.excluded_from_sync)
            .map(|(_, entry)| self.record_of(entry))
            .collect()
    }
}

/// Removes `key` from the set at `place`, and the set if it becomes empty.
fn remove_key<K: Ord>(map: &mut BTreeMap<K, BTreeSet<u64>>, place: &K, key: u64) {
    if let Some(keys) = map.get_mut(place) {
        keys.remove(&key);
        if keys.is_empty() {
            map.remove(place);
        }
    }
}

/// Returns the approximate memory of an entry in bytes.
fn entry_bytes(entry: &TargetEntry) -> usize {
    let replicas = entry.announcement().replicas.len();
    let wire = compact::encoded_bytes(entry.announcement());
    ENTRY_OVERHEAD_BYTES + 2 * wire + 64 * replicas
}
