//! The queue of news that gossip still has to send.

use std::collections::{BTreeMap, BTreeSet};

/// The most rumors held; anti-entropy carries what is dropped.
const MAX_RUMORS: usize = 4_096;

/// The sends of a rumor for each digit of the number of members.
const SENDS_PER_DIGIT: u32 = 4;

/// Returns how often one instance sends a rumor in a fleet of `members` instances.
pub fn send_limit(members: usize) -> u32 {
    let digits = (members + 1).max(2).ilog10() + 1;
    SENDS_PER_DIGIT * digits
}

/// Orders rumors; urgent ones leave first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RumorUrgency {
    /// Sent before everything else, such as a drain.
    Urgent,
    /// Sent in turn.
    Normal,
}

/// How far one rumor has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RumorProgress {
    urgency: RumorUrgency,
    sends: u32,
}

/// The keys of changed records, each sent a bounded number of times.
#[derive(Clone, Debug, Default)]
pub struct RumorQueue {
    rumors: BTreeMap<u64, RumorProgress>,
    /// The same rumors, in the order in which they leave.
    ordered: BTreeSet<(RumorProgress, u64)>,
}

impl RumorQueue {
    /// Queues the record with `key` anew.
    pub fn push(&mut self, key: u64, urgency: RumorUrgency) {
        self.remove(key);
        self.insert(key, RumorProgress { urgency, sends: 0 });
        if self.rumors.len() > MAX_RUMORS
            && let Some((_, least_needed)) = self.ordered.last().copied()
        {
            // The rumor that was sent most among the least urgent.
            self.remove(least_needed);
        }
    }

    /// Returns whether nothing is left to send.
    pub fn is_empty(&self) -> bool {
        self.rumors.is_empty()
    }

    /// Returns the number of rumors left to send.
    pub fn len(&self) -> usize {
        self.rumors.len()
    }

    /// Takes the keys for one message of at most `budget` bytes, urgent and least sent first, and
    /// drops the rumors that reached `limit` sends. The first rumor is taken whatever its size.
    ///
    /// `size_of` returns the bytes of a record, or `None` when it no longer exists.
    pub fn take(
        &mut self,
        budget: usize,
        limit: u32,
        size_of: impl Fn(u64) -> Option<usize>,
    ) -> Vec<u64> {
        let (mut taken, mut absent) = (Vec::new(), Vec::new());
        let mut used = 0;
        for (_, key) in &self.ordered {
            let Some(size) = size_of(*key) else {
                absent.push(*key);
                continue;
            };
            if !taken.is_empty() && used + size > budget {
                break;
            }
            used += size;
            taken.push(*key);
        }
        for key in absent {
            self.remove(key);
        }
        for key in &taken {
            self.count_send(*key, limit);
        }
        taken
    }

    /// Counts one send of a rumor and drops it at the limit.
    fn count_send(&mut self, key: u64, limit: u32) {
        let Some(rumor) = self.remove(key) else { return };
        let sends = rumor.sends + 1;
        if sends < limit {
            self.insert(key, RumorProgress { sends, ..rumor });
        }
    }

    fn insert(&mut self, key: u64, rumor: RumorProgress) {
        self.rumors.insert(key, rumor);
        self.ordered.insert((rumor, key));
    }

    fn remove(&mut self, key: u64) -> Option<RumorProgress> {
        let rumor = self.rumors.remove(&key)?;
        self.ordered.remove(&(rumor, key));
        Some(rumor)
    }
}
