//! Decides when a search is answered without waiting for its remaining shards.

use crate::Timestamp;

/// The progress of a search over its shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoverageState {
    /// The shards that have answered.
    pub answered: usize,
    /// The shards that may still answer.
    pub pending: usize,
    /// The fewest shards that must have answered for the search to be answered.
    pub required: usize,
}

/// The times that bound a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutoffTimes {
    /// When the answer must be sent to reach the caller within the latency goal of the route.
    pub goal: Timestamp,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// What to do with a search at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutoffAction {
    /// Wait for the pending shards.
    Wait,
    /// Answer with the records received so far.
    Answer,
    /// Fail the search: too few shards have answered or can still answer in time.
    Abort,
}

/// Decides whether a search waits, is answered or fails.
///
/// | answered | answered and pending | time | decision |
/// |---|---|---|---|
/// | required or more, none pending | required or more | any | answer |
/// | fewer than required | fewer than required | any | abort at once instead of at the deadline |
/// | required or more | required or more | before the goal | wait: until then waiting costs nothing |
/// | required or more | required or more | from the goal on | answer: a late answer is worse than a missing shard |
/// | fewer than required | required or more | before the deadline | wait |
/// | fewer than required | required or more | from the deadline on | abort |
pub fn decide_cutoff(coverage: CoverageState, times: CutoffTimes, now: Timestamp) -> CutoffAction {
    let has_enough = coverage.answered >= coverage.required;
    if coverage.answered + coverage.pending < coverage.required {
        CutoffAction::Abort
    } else if has_enough && (coverage.pending == 0 || now >= times.goal) {
        CutoffAction::Answer
    } else if now >= times.deadline {
        CutoffAction::Abort
    } else {
        CutoffAction::Wait
    }
}
