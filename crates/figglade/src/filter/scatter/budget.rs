//! Budget of extra attempts (hedges and retries) for one service over a sliding window.
//!
//! Each instance bounds its extra attempts by a ratio of its own first attempts, so that the sum
//! over all instances stays within the bound without coordination between them.

use std::time::Duration;

use crate::{Timestamp, filter::scatter::InstanceShare};

/// The number of buckets that a window is divided into.
const WINDOW_BUCKETS: usize = 20;
/// The fraction of the budget that is spent. The rest is a margin at the edges of the window, which
/// advances here by whole buckets, whereas the bound has to hold for a window at any position.
const USABLE_FRACTION: f64 = 0.9;

/// The bound on extra attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRules {
    /// The extra attempts allowed per first attempt.
    pub ratio: f64,
    /// The extra attempts that this instance may make in each window regardless of first attempts.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
    /// When the slack becomes available: a process that was killed and restarted does not know how
    /// much of it the previous process has just spent.
    pub slack_from: Timestamp,
}

impl BudgetRules {
    /// Builds the rules of an instance that has not run before, with its fraction of `slack`.
    pub fn shared(ratio: f64, slack: f64, window: Duration, share: &InstanceShare) -> Self {
        let slack = slack * share.fraction();
        Self { ratio, slack, window, slack_from: Timestamp::ZERO }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowBucket {
    index: u64,
    firsts: u32,
    extras: u32,
}

/// Counts first and extra attempts of one service.
#[derive(Clone, Debug, Default)]
pub struct ExtraBudget {
    buckets: [WindowBucket; WINDOW_BUCKETS],
}

impl ExtraBudget {
    /// Counts a first attempt.
    pub fn count_first(&mut self, rules: &BudgetRules, now: Timestamp) {
        self.bucket(rules, now).firsts += 1;
    }

    /// Counts an extra attempt and returns true if the budget allows it, otherwise returns false.
    pub fn try_spend(&mut self, rules: &BudgetRules, now: Timestamp) -> bool {
        let current = bucket_index(rules, now);
        let is_recent = |bucket: &&WindowBucket| bucket.index + WINDOW_BUCKETS as u64 > current;
        let (firsts, extras) =
            self.buckets.iter().filter(is_recent).fold((0, 0), |(firsts, extras), bucket| {
                (firsts + bucket.firsts, extras + bucket.extras)
            });
        let slack = if now < rules.slack_from { 0.0 } else { rules.slack };
        let allowed = USABLE_FRACTION * (rules.ratio * f64::from(firsts) + slack);
        if f64::from(extras + 1) > allowed {
            return false;
        }
        self.bucket(rules, now).extras += 1;
        true
    }

    fn bucket(&mut self, rules: &BudgetRules, now: Timestamp) -> &mut WindowBucket {
        let index = bucket_index(rules, now);
        let bucket = &mut self.buckets[index as usize % WINDOW_BUCKETS];
        if bucket.index != index {
            *bucket = WindowBucket { index, ..WindowBucket::default() };
        }
        bucket
    }
}

/// Returns the index of the bucket that covers `now`. The indexes start one window above zero, so
/// that a bucket that was never used, whose index is zero, does not count as recent.
fn bucket_index(rules: &BudgetRules, now: Timestamp) -> u64 {
    let bucket_micros = (rules.window.as_micros() as u64 / WINDOW_BUCKETS as u64).max(1);
    now.as_micros() / bucket_micros + WINDOW_BUCKETS as u64
}
