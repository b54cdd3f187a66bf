//! The targets that this instance watches and the deadlines after which they lapse.

use std::{collections::BTreeMap, time::Duration};

use crate::{Incarnation, Timestamp};

/// The time that the other watcher has to answer a query before it counts as unanswered.
pub(super) const LAPSE_QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// The number of unanswered queries after which a target lapses without an answer.
pub(super) const MAX_UNANSWERED_QUERIES: u8 = 3;

/// The phase of a watch, from the last renewal to the lapse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchPhase {
    /// The target renewed its announcement and the other watcher was not queried since.
    Renewed,
    /// The other watcher was queried and may still answer.
    Queried {
        /// The number of queries sent so far.
        queries: u8,
    },
    /// The other watcher did not answer; it is queried again after another full lapse timeout.
    Unanswered {
        /// The number of queries sent so far.
        queries: u8,
    },
    /// The other watcher has a later renewal of the target; the target lapses here when it would
    /// lapse there.
    Extended,
}

/// The watch of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetWatch {
    /// The watched incarnation of the target.
    pub(super) incarnation: Incarnation,
    /// When the phase ends.
    pub(super) deadline: Timestamp,
    /// The phase of the watch.
    pub(super) phase: WatchPhase,
}

/// The targets that this instance watches.
#[derive(Clone, Debug, Default)]
pub(super) struct WatchTable {
    watches: BTreeMap<u64, TargetWatch>,
    earliest: Option<Timestamp>,
}

impl WatchTable {
    /// Returns the watch of the target with `key`.
    pub(super) fn watch(&self, key: u64) -> Option<TargetWatch> {
        self.watches.get(&key).copied()
    }

    /// Returns the number of watched targets.
    pub(super) fn len(&self) -> usize {
        self.watches.len()
    }

    /// Returns a time that is not after the earliest deadline, or `None` if no target is watched.
    pub(super) fn earliest(&self) -> Option<Timestamp> {
        self.earliest
    }

    /// Starts to watch a target, or restarts its watch after a renewal.
    pub(super) fn restart(&mut self, key: u64, incarnation: Incarnation, deadline: Timestamp) {
        self.set(key, TargetWatch { incarnation, deadline, phase: WatchPhase::Renewed });
    }

    /// Inserts or replaces a watch.
    pub(super) fn set(&mut self, key: u64, watch: TargetWatch) {
        let earliest = self.earliest.map_or(watch.deadline, |held| held.min(watch.deadline));
        self.earliest = Some(earliest);
        self.watches.insert(key, watch);
    }

    /// Ends the watch of a target.
    pub(super) fn remove(&mut self, key: u64) {
        self.watches.remove(&key);
    }

    /// Removes and returns the watches whose deadline has passed.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<(u64, TargetWatch)> {
        if self.earliest.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let due: Vec<_> = self
            .watches
            .iter()
            .filter(|(_, watch)| watch.deadline <= now)
            .map(|(key, watch)| (*key, *watch))
            .collect();
        for (key, _) in &due {
            self.watches.remove(key);
        }
        self.earliest = self.watches.values().map(|watch| watch.deadline).min();
        due
    }
}
