//! A budget of extra attempts for one service over a sliding window.
//!
//! Every instance spends a share of its own first attempts, so that the sum over all instances
//! keeps the bound without a word between them.

use std::time::Duration;

use crate::{Timestamp, filter::scatter::InstanceShare};

/// The parts of a window that are counted apart.
const WINDOW_PARTS: usize = 20;
/// The share of the allowance that is spent; the rest covers the edges of the window, which slides
/// in steps here and freely where it is judged.
const SPENT_SHARE: f64 = 0.9;

/// The bound on extra attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRules {
    /// The extra attempts for each first attempt.
    pub ratio: f64,
    /// The extra attempts that are always allowed in a window, at this instance.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
    /// From when on the slack may be used: a process that was killed and started again does not
    /// know how much of it its former life has just spent.
    pub slack_from: Timestamp,
}

impl BudgetRules {
    /// Builds the rules of an instance with its part of `slack`, in its first life.
    pub fn shared(ratio: f64, slack: f64, window: Duration, share: &InstanceShare) -> Self {
        let slack = slack * share.part();
        Self { ratio, slack, window, slack_from: Timestamp::ZERO }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct WindowPart {
    number: u64,
    firsts: u32,
    extras: u32,
}

/// Counts first and extra attempts of one service.
#[derive(Clone, Debug, Default)]
pub struct ExtraBudget {
    parts: [WindowPart; WINDOW_PARTS],
}

impl ExtraBudget {
    /// Counts a first attempt.
    pub fn count_first(&mut self, rules: &BudgetRules, now: Timestamp) {
        self.part(rules, now).firsts += 1;
    }

    /// Counts an extra attempt and returns true, where the budget allows it.
    pub fn try_spend(&mut self, rules: &BudgetRules, now: Timestamp) -> bool {
        let current = part_number(rules, now);
        let is_recent = |part: &&WindowPart| part.number + WINDOW_PARTS as u64 > current;
        let (firsts, extras) =
            self.parts.iter().filter(is_recent).fold((0, 0), |(firsts, extras), part| {
                (firsts + part.firsts, extras + part.extras)
            });
        let slack = if now < rules.slack_from { 0.0 } else { rules.slack };
        let allowed = SPENT_SHARE * (rules.ratio * f64::from(firsts) + slack);
        if f64::from(extras + 1) > allowed {
            return false;
        }
        self.part(rules, now).extras += 1;
        true
    }

    fn part(&mut self, rules: &BudgetRules, now: Timestamp) -> &mut WindowPart {
        let number = part_number(rules, now);
        let part = &mut self.parts[number as usize % WINDOW_PARTS];
        if part.number != number {
            *part = WindowPart { number, ..WindowPart::default() };
        }
        part
    }
}

/// Numbers the parts from one window after the start on, so that an unused part is never recent.
fn part_number(rules: &BudgetRules, now: Timestamp) -> u64 {
    let part_micros = (rules.window.as_micros() as u64 / WINDOW_PARTS as u64).max(1);
    now.as_micros() / part_micros + WINDOW_PARTS as u64
}
