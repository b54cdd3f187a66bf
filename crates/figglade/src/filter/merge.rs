//! Merges shard answers and computes their coverage.

use std::collections::HashMap;

use crate::{
    ShardId,
    wire::{Coverage, MissingReason, MissingShard, SearchHit},
};

/// The result of one shard.
#[derive(Clone, Debug)]
pub enum ShardResult {
    /// The shard answered.
    Answered {
        /// The number of documents it searched.
        documents_searched: u64,
        /// Its hits.
        hits: Vec<SearchHit>,
    },
    /// The shard did not answer.
    Missing(MissingReason),
}

/// The merged answer of all queried shards.
#[derive(Clone, Debug)]
pub struct MergedAnswer {
    /// The hits, best first, each id at most once.
    pub hits: Vec<SearchHit>,
    /// The coverage of the answer.
    pub coverage: Coverage,
    /// Whether every queried shard answered in full.
    pub complete: bool,
}

/// One queried shard.
#[derive(Clone, Debug)]
pub struct QueriedShard {
    /// The shard.
    pub shard: ShardId,
    /// The number of documents in its manifest; `None` if unknown.
    pub documents: Option<u64>,
    /// Its result.
    pub result: ShardResult,
}

/// Merges the results of `shards` into at most `limit` hits.
pub fn merge_shards(shards: Vec<QueriedShard>, limit: usize) -> MergedAnswer {
    let coverage = count_coverage(&shards);
    let complete = coverage.missing.is_empty() && coverage.documents_total.is_some();
    let lists = shards.into_iter().filter_map(|shard| match shard.result {
        ShardResult::Answered { hits, .. } => Some(hits),
        ShardResult::Missing(_) => None,
    });
    MergedAnswer { hits: merge_hits(lists.flatten(), limit), coverage, complete }
}

/// Returns the best `limit` hits in descending order of score, ties by id, each id at most once.
fn merge_hits(hits: impl Iterator<Item = SearchHit>, limit: usize) -> Vec<SearchHit> {
    let mut best: HashMap<String, SearchHit> = HashMap::new();
    // NaN and infinite scores have no meaningful rank.
    for hit in hits.filter(|hit| hit.score.is_finite()) {
        match best.get(&hit.id) {
            Some(existing) if existing.score >= hit.score => {}
            _ => {
                best.insert(hit.id.clone(), hit);
            }
        }
    }
    let mut merged: Vec<_> = best.into_values().collect();
    merged.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
    merged.truncate(limit);
    merged
}

/// Computes the coverage of documents and shards. An unknown total leaves the fraction unknown.
fn count_coverage(shards: &[QueriedShard]) -> Coverage {
    let mut searched = 0;
    let mut answered = 0;
    let mut total = Some(0_u64);
    let mut missing = Vec::new();
    for queried in shards {
        total = total.zip(queried.documents).map(|(sum, documents)| sum + documents);
        match &queried.result {
            ShardResult::Answered { documents_searched, .. } => {
                answered += 1;
                // The count is capped at the manifest, so that a shard that reports too many
                // documents does not compensate for another.
                let counted = queried.documents.unwrap_or(u64::MAX).min(*documents_searched);
                searched += counted;
                if queried.documents.is_some_and(|documents| counted < documents) {
                    missing.push(MissingShard {
                        shard: queried.shard,
                        reason: MissingReason::Partial,
                    });
                }
            }
            ShardResult::Missing(reason) => {
                missing.push(MissingShard { shard: queried.shard, reason: *reason });
            }
        }
    }
    Coverage {
        documents_searched: searched,
        documents_total: total,
        fraction: total.map(|total| covered_fraction(searched, total, missing.is_empty())),
        shards_answered: answered,
        shards_total: Some(shards.len() as u32),
        missing,
    }
}

/// Returns the fraction of documents searched. An index without documents is fully covered if no
/// shard is missing.
fn covered_fraction(searched: u64, total: u64, is_complete: bool) -> f64 {
    if total == 0 {
        return if is_complete { 1.0 } else { 0.0 };
    }
    searched as f64 / total as f64
}
