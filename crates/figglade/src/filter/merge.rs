//! Merging of shard answers and accounting for coverage.

use std::collections::HashMap;

use crate::{
    ShardId,
    wire::{Coverage, MissingReason, MissingShard, SearchHit},
};

/// What one shard contributed.
#[derive(Clone, Debug)]
pub enum ShardResult {
    /// The shard answered.
    Answered {
        /// The documents it searched.
        documents_searched: u64,
        /// Its hits.
        hits: Vec<SearchHit>,
    },
    /// The shard did not answer.
    Missing(MissingReason),
}

/// The merged answer of all shards asked.
#[derive(Clone, Debug)]
pub struct MergedAnswer {
    /// The hits, best first, each id once.
    pub hits: Vec<SearchHit>,
    /// How much of the data they cover.
    pub coverage: Coverage,
    /// Whether every shard asked answered in full.
    pub complete: bool,
}

/// One shard that was asked.
#[derive(Clone, Debug)]
pub struct QueriedShard {
    /// The shard.
    pub shard: ShardId,
    /// The documents its manifest counts.
    pub documents: Option<u64>,
    /// What it contributed.
    pub result: ShardResult,
}

/// Merges the contributions of `shards` into at most `limit` hits.
pub fn merge_shards(shards: Vec<QueriedShard>, limit: usize) -> MergedAnswer {
    let coverage = count_coverage(&shards);
    let complete = coverage.missing.is_empty() && coverage.documents_total.is_some();
    let lists = shards.into_iter().filter_map(|shard| match shard.result {
        ShardResult::Answered { hits, .. } => Some(hits),
        ShardResult::Missing(_) => None,
    });
    MergedAnswer { hits: merge_hits(lists.flatten(), limit), coverage, complete }
}

/// Returns the best `limit` hits, highest score first, ties by id, each id once.
fn merge_hits(hits: impl Iterator<Item = SearchHit>, limit: usize) -> Vec<SearchHit> {
    let mut best: HashMap<String, SearchHit> = HashMap::new();
    // A score that is no number has no place in the order.
    for hit in hits.filter(|hit| hit.score.is_finite()) {
        match best.get(&hit.id) {
            Some(known) if known.score >= hit.score => {}
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

/// Counts documents and shards; an unknown total leaves the fraction unknown.
fn count_coverage(shards: &[QueriedShard]) -> Coverage {
    let mut searched = 0;
    let mut answered = 0;
    let mut total = Some(0_u64);
    let mut missing = Vec::new();
    for asked in shards {
        total = total.zip(asked.documents).map(|(sum, documents)| sum + documents);
        match &asked.result {
            ShardResult::Answered { documents_searched, .. } => {
                answered += 1;
                // A shard cannot make up for another by claiming more than its manifest counts.
                let counted = asked.documents.unwrap_or(u64::MAX).min(*documents_searched);
                searched += counted;
                if asked.documents.is_some_and(|documents| counted < documents) {
                    missing
                        .push(MissingShard { shard: asked.shard, reason: MissingReason::Partial });
                }
            }
            ShardResult::Missing(reason) => {
                missing.push(MissingShard { shard: asked.shard, reason: *reason });
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

/// Returns the searched share; an index without documents is covered when nothing is missing.
fn covered_fraction(searched: u64, total: u64, nothing_missing: bool) -> f64 {
    if total == 0 {
        return if nothing_missing { 1.0 } else { 0.0 };
    }
    searched as f64 / total as f64
}
