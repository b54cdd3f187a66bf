//! Tests of merging and coverage with answers that report too many or too few documents or repeat
//! hits.

mod filter_support;

use figglade::{
    ShardId,
    filter::merge::{QueriedShard, ShardResult, merge_shards},
    wire::{MissingReason, SearchHit},
};
use filter_support::{hit, seeded_rng};
use rand::RngExt;

fn answered(
    shard: u32,
    documents: Option<u64>,
    searched: u64,
    hits: Vec<SearchHit>,
) -> QueriedShard {
    let result = ShardResult::Answered { documents_searched: searched, hits };
    QueriedShard { shard: ShardId::new(shard), documents, result }
}

fn missing(shard: u32, documents: Option<u64>) -> QueriedShard {
    let result = ShardResult::Missing(MissingReason::Deadline);
    QueriedShard { shard: ShardId::new(shard), documents, result }
}

#[test]
fn test_each_id_is_returned_once_with_its_best_score() {
    let lists = vec![
        answered(0, Some(1), 1, vec![hit("b", 2.0), hit("a", 1.0), hit("a", 1.0)]),
        answered(1, Some(1), 1, vec![hit("a", 3.0), hit("c", 2.0), hit("d", -1.0)]),
    ];
    let mut reversed = lists.clone();
    reversed.reverse();
    for lists in [lists, reversed] {
        let merged = merge_shards(lists, 3);
        let hits: Vec<_> = merged.hits.iter().map(|hit| (hit.id.as_str(), hit.score)).collect();
        assert_eq!(hits, [("a", 3.0), ("b", 2.0), ("c", 2.0)]);
    }
}

#[test]
fn test_non_finite_scores_are_dropped_and_hits_are_limited() {
    let scores = [f64::MAX, f64::MIN, f64::INFINITY, f64::NEG_INFINITY, -0.0, 0.0, f64::NAN];
    let hits = scores.iter().enumerate().map(|(number, score)| hit(&number.to_string(), *score));
    let merged = merge_shards(vec![answered(0, Some(1), 1, hits.collect())], 3);
    let ids: Vec<_> = merged.hits.iter().map(|hit| hit.id.as_str()).collect();
    assert_eq!(ids, ["0", "5", "4"]);
}

#[test]
fn test_excess_documents_of_a_shard_do_not_compensate_for_another() {
    let merged =
        merge_shards(vec![answered(0, Some(10), 1_000, Vec::new()), missing(1, Some(30))], 10);
    assert_eq!(merged.coverage.documents_searched, 10);
    assert_eq!(merged.coverage.documents_total, Some(40));
    assert_eq!(merged.coverage.fraction, Some(0.25));
    assert!(!merged.complete);
}

#[test]
fn test_unknown_total_is_none_and_never_complete() {
    let merged = merge_shards(vec![answered(0, None, 10, Vec::new())], 10);
    assert_eq!(merged.coverage.documents_total, None);
    assert_eq!(merged.coverage.fraction, None);
    assert!(!merged.complete);
}

#[test]
fn test_coverage_of_random_answers_matches_a_reference_count() {
    let mut rng = seeded_rng(11);
    for _ in 0..500 {
        let mut shards = Vec::new();
        let (mut searched, mut total, mut is_full) = (0, 0, true);
        for shard in 0..rng.random_range(1..20) {
            let documents = rng.random_range(0..100);
            total += documents;
            if rng.random_bool(0.2) {
                shards.push(missing(shard, Some(documents)));
                is_full = false;
                continue;
            }
            let reported = rng.random_range(0..120);
            searched += reported.min(documents);
            is_full &= reported >= documents;
            shards.push(answered(shard, Some(documents), reported, Vec::new()));
        }
        let merged = merge_shards(shards, 1);
        assert_eq!(merged.coverage.documents_searched, searched);
        assert_eq!(merged.coverage.documents_total, Some(total));
        assert_eq!(merged.complete, is_full);
        assert_eq!(
            merged.coverage.fraction == Some(1.0),
            searched == total && (total > 0 || is_full)
        );
    }
}
