//! The targets this instance watches, and when each of them lapses.

use std::{collections::BTreeMap, time::Duration};

use crate::{Incarnation, Timestamp};

/// The time that the other watcher has to answer before a target lapses.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// The queries without an answer after which a target lapses all the same.
pub(super) const MAX_UNANSWERED: u8 = 3;

/// How far a watched target is on its way to lapse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchPhase {
    /// The target renewed and the other watcher was not asked since.
    Heard,
    /// The other watcher was asked, `queries` times so far, and may still answer.
    Asked {
        /// The queries sent.
        queries: u8,
    },
    /// The other watcher did not answer; it is asked again after another full period.
    Unanswered {
        /// The queries sent.
        queries: u8,
    },
    /// The other watcher had heard of the target; it lapses here when it does there.
    Extended,
}

/// One watched target.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetWatch {
    /// The incarnation watched.
    pub(super) incarnation: Incarnation,
    /// When the target was last heard of.
    pub(super) heard_at: Timestamp,
    /// When the phase ends.
    pub(super) deadline: Timestamp,
    /// How far the target is on its way to lapse.
    pub(super) phase: WatchPhase,
}

/// The targets this instance watches.
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

    /// Returns the number of targets watched.
    pub(super) fn len(&self) -> usize {
        self.watches.len()
    }

    /// Returns a point no later than the first deadline.
    pub(super) fn earliest(&self) -> Option<Timestamp> {
        self.earliest
    }

    /// Starts the watch of a target or its next period, which takes `period` from `now`.
    pub(super) fn restart(
        &mut self,
        key: u64,
        incarnation: Incarnation,
        now: Timestamp,
        period: Duration,
    ) {
        let deadline = now + period;
        let phase = WatchPhase::Heard;
        self.set(key, TargetWatch { incarnation, heard_at: now, deadline, phase });
    }

    /// Puts a watch in place.
    pub(super) fn set(&mut self, key: u64, watch: TargetWatch) {
        let earliest = self.earliest.map_or(watch.deadline, |held| held.min(watch.deadline));
        self.earliest = Some(earliest);
        self.watches.insert(key, watch);
    }

    /// Ends the watch of a target.
    pub(super) fn remove(&mut self, key: u64) {
        self.watches.remove(&key);
    }

    /// Takes out the watches whose deadline has passed.
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
