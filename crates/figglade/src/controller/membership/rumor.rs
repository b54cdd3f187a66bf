//! The queue of news that gossip still has to send.

use std::collections::BTreeMap;

use rand::{Rng, seq::SliceRandom};

/// The most rumors held; anti-entropy carries what is dropped.
const MAX_RUMORS: usize = 4_096;

/// The expected number of instances in the whole fleet that a rumor may miss.
const MISSED_INSTANCES: f64 = 0.007;

/// Returns how often one instance sends a rumor in a fleet of `members` instances.
///
/// Where each instance sends `c` copies to different peers, one of `p` peers is missed by all with
/// a probability of about `(1 - c / p)^p`; the result is the least `c` that keeps the expected
/// number of missed instances within bounds. It grows with the logarithm of the fleet.
pub fn send_limit(members: usize) -> u32 {
    let peers = members.saturating_sub(1).max(1) as f64;
    let miss_probability = MISSED_INSTANCES / members.max(1) as f64;
    let copies = peers * (1.0 - miss_probability.powf(1.0 / peers));
    (copies.ceil() as u32).max(1)
}

/// The order in which an instance gossips with its peers: each once in a round, in random order.
#[derive(Clone, Debug)]
pub struct GossipRound<T> {
    pending: Vec<T>,
}

impl<T> Default for GossipRound<T> {
    fn default() -> Self {
        Self { pending: Vec::new() }
    }
}

impl<T: Clone + PartialEq> GossipRound<T> {
    /// Takes the next `count` peers that are still present; `all` returns every peer.
    pub fn take(
        &mut self,
        count: usize,
        rng: &mut impl Rng,
        all: impl Fn() -> Vec<T>,
        is_present: impl Fn(&T) -> bool,
    ) -> Vec<T> {
        let mut taken = Vec::with_capacity(count);
        let mut refilled = false;
        while taken.len() < count {
            match self.pending.pop() {
                Some(peer) if !taken.contains(&peer) && is_present(&peer) => taken.push(peer),
                Some(_) => {}
                None if refilled => break,
                None => {
                    self.pending = all();
                    self.pending.shuffle(rng);
                    refilled = true;
                }
            }
        }
        taken
    }
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
}

impl RumorQueue {
    /// Queues the record with `key` anew.
    pub fn push(&mut self, key: u64, urgency: RumorUrgency) {
        self.rumors.insert(key, RumorProgress { urgency, sends: 0 });
        if self.rumors.len() > MAX_RUMORS {
            self.drop_most_sent();
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
        let mut ordered: Vec<_> = self.rumors.iter().map(|(key, rumor)| (*rumor, *key)).collect();
        ordered.sort_unstable();
        let mut taken = Vec::new();
        let mut used = 0;
        for (_, key) in ordered {
            let Some(size) = size_of(key) else {
                self.rumors.remove(&key);
                continue;
            };
            if !taken.is_empty() && used + size > budget {
                break;
            }
            used += size;
            taken.push(key);
            self.count_send(key, limit);
        }
        taken
    }

    /// Drops every rumor that is not urgent.
    pub fn drop_normal(&mut self) {
        self.rumors.retain(|_, rumor| rumor.urgency == RumorUrgency::Urgent);
    }

    /// Counts one send of a rumor and drops it at the limit.
    fn count_send(&mut self, key: u64, limit: u32) {
        if let Some(rumor) = self.rumors.get_mut(&key) {
            rumor.sends += 1;
            if rumor.sends >= limit {
                self.rumors.remove(&key);
            }
        }
    }

    /// Drops the rumor that was sent most among the least urgent.
    fn drop_most_sent(&mut self) {
        let most_sent = self.rumors.iter().max_by_key(|(_, rumor)| **rumor).map(|(key, _)| *key);
        if let Some(key) = most_sent {
            self.rumors.remove(&key);
        }
    }
}
