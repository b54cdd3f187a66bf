//! Quorums of a member set, and the history of member sets in the log.

use std::collections::BTreeMap;

use crate::{
    InstanceId,
    controller::quorum::{EntryPayload, LogEntry, LogIndex, MemberRole, MemberSet, StorageId},
};

impl MemberSet {
    /// Returns the voters, ordered by name.
    pub fn voters(&self) -> impl Iterator<Item = &InstanceId> {
        let members = self.members.iter();
        members.filter(|(_, spec)| spec.role == MemberRole::Voter).map(|(id, _)| id)
    }

    /// Returns whether the instance is a voter.
    pub fn is_voter(&self, id: &InstanceId) -> bool {
        self.members.get(id).is_some_and(|spec| spec.role == MemberRole::Voter)
    }

    /// Returns the storage recorded for the instance.
    pub fn storage_of(&self, id: &InstanceId) -> Option<StorageId> {
        self.members.get(id).and_then(|spec| spec.storage)
    }

    /// Returns how many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether any voter has no recorded storage yet.
    pub fn has_unrecorded_storage(&self) -> bool {
        self.voters().any(|id| self.storage_of(id).is_none())
    }

    /// Returns whether these votes win an election.
    ///
    /// A majority suffices once the storage of every voter is recorded. Until then every voter must
    /// grant its vote: a member that lost its disk cannot be told from a new one, and together with
    /// a member that never started it could otherwise bootstrap the group a second time.
    pub(super) fn is_elected_by(&self, votes: &BTreeMap<InstanceId, StorageId>) -> bool {
        let counted = self.voters().filter(|id| votes.contains_key(*id)).count();
        let needed =
            if self.has_unrecorded_storage() { self.voters().count() } else { self.majority() };
        counted > 0 && counted >= needed
    }

    /// Returns the greatest value that a majority of the voters has reached.
    pub(super) fn majority_value<T: Ord>(
        &self,
        value_of: impl Fn(&InstanceId) -> Option<T>,
    ) -> Option<T> {
        let mut values: Vec<_> = self.voters().map(value_of).collect();
        values.sort_by(|left, right| right.cmp(left));
        values.into_iter().nth(self.majority() - 1).flatten()
    }
}

/// The member sets of the log, each with the index of its entry.
#[derive(Clone, Debug)]
pub(super) struct MemberHistory {
    base: MemberSet,
    changes: Vec<(LogIndex, MemberSet)>,
}

impl MemberHistory {
    /// Creates a history that starts with the set in use before the first entry in memory.
    pub(super) const fn new(base: MemberSet) -> Self {
        Self { base, changes: Vec::new() }
    }

    /// Returns the set in use: the last one in the log, committed or not.
    pub(super) fn current(&self) -> &MemberSet {
        self.changes.last().map_or(&self.base, |(_, set)| set)
    }

    /// Returns the set in use at an index.
    pub(super) fn at(&self, index: LogIndex) -> &MemberSet {
        let before = self.changes.iter().rev().find(|(at, _)| *at <= index);
        before.map_or(&self.base, |(_, set)| set)
    }

    /// Returns the index of the last change after `commit`.
    pub(super) fn pending_after(&self, commit: LogIndex) -> Option<LogIndex> {
        self.changes.last().map(|(at, _)| *at).filter(|at| *at > commit)
    }

    /// Updates the history for appended entries; returns whether the set in use changed.
    pub(super) fn record_append(&mut self, entries: &[LogEntry]) -> bool {
        let Some(first) = entries.first() else { return false };
        let kept = self.changes.partition_point(|(at, _)| *at < first.index);
        let is_member_entry = |entry: &LogEntry| matches!(entry.payload, EntryPayload::Members(_));
        if kept == self.changes.len() && !entries.iter().any(is_member_entry) {
            return false;
        }
        let before = self.current().clone();
        self.changes.truncate(kept);
        for entry in entries {
            if let EntryPayload::Members(set) = &entry.payload {
                self.changes.push((entry.index, set.clone()));
            }
        }
        *self.current() != before
    }

    /// Drops the sets that a snapshot at `upto` covers.
    pub(super) fn compact(&mut self, upto: LogIndex) {
        self.base = self.at(upto).clone();
        self.changes.retain(|(at, _)| *at > upto);
    }
}
