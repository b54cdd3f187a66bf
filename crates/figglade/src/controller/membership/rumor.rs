//! The queue of updates that gossip still has to send.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, seq::SliceRandom};

/// The maximum number of rumors in a queue; anti-entropy delivers the records of dropped rumors.
const MAX_RUMORS: usize = 4_096;

/// The maximum expected number of instances in the whole fleet that a rumor does not reach.
const MAX_EXPECTED_MISSES: f64 = 0.007;

/// Returns how often one instance sends a rumor in a fleet of `members` instances.
///
/// If each instance sends `c` copies to different peers, the probability that none of them reaches
/// a given one of `p` peers is about `(1 - c / p)^p`. The result is the smallest `c` that keeps the
/// expected number of missed instances within `MAX_EXPECTED_MISSES`. It grows with the logarithm
/// of the fleet size.
pub fn send_limit(members: usize) -> u32 {
    let peers = members.saturating_sub(1).max(1) as f64;
    let miss_probability = MAX_EXPECTED_MISSES / members.max(1) as f64;
    let copies = peers * (1.0 - miss_probability.powf(1.0 / peers));
    (copies.ceil() as u32).max(1)
}

/// The order in which an instance contacts its peers: each once per round, in random order.
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
    /// Takes the next `count` peers that are still present; `all` lists the peers of a new round.
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

/// The priority of a rumor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RumorUrgency {
    /// Sent before all normal rumors, for example the drain of a target.
    Urgent,
    /// Sent after the urgent rumors, where the message has room.
    Normal,
}

/// The priority of a rumor and how often it was sent; a rumor that orders lower is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RumorProgress {
    urgency: RumorUrgency,
    sends: u32,
}

/// The keys of changed records, each sent a bounded number of times.
#[derive(Clone, Debug, Default)]
pub struct RumorQueue {
    rumors: BTreeMap<u64, RumorProgress>,
    /// The same rumors in the order in which they are sent.
    ordered: BTreeSet<(RumorProgress, u64)>,
}

impl RumorQueue {
    /// Queues the record with `key`; a rumor already queued for it starts over.
    pub fn push(&mut self, key: u64, urgency: RumorUrgency) {
        self.remove(key);
        self.insert(key, RumorProgress { urgency, sends: 0 });
        if self.rumors.len() > MAX_RUMORS
            && let Some((_, least_needed)) = self.ordered.last().copied()
        {
            // Drops the most-sent of the least urgent rumors, which has reached the most peers.
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

    /// Takes the keys for one message of at most `budget` bytes, urgent and least-sent rumors
    /// first, and drops the rumors that were sent `limit` times. The first rumor is taken whatever
    /// its size.
    ///
    /// `size_of` returns the size of a record in bytes, or `None` if it no longer exists.
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

    /// Drops every rumor that is not urgent.
    pub fn drop_normal(&mut self) {
        self.rumors.retain(|_, rumor| rumor.urgency == RumorUrgency::Urgent);
        self.ordered.retain(|(rumor, _)| rumor.urgency == RumorUrgency::Urgent);
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
