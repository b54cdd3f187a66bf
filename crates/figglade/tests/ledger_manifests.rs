//! Manifests: the denominators of coverage.

#[allow(dead_code, reason = "the helpers serve several test files")]
mod ledger_common;

use figglade::{
    IndexName, ShardId,
    controller::ledger::{
        LedgerCommand, LedgerReply, MAX_EPOCHS_PER_INDEX, MAX_INDEXES, MAX_SHARD_DOCUMENTS,
        MAX_SHARDS_PER_INDEX, MAX_TOTAL_SHARDS, MAX_VERSIONS_PER_EPOCH, Manifest, ManifestRefusal,
        ManifestReply, ManifestReport, ManifestSet, ManifestUpdates, SnapshotKey,
    },
    peer::{MAX_FRAME_BYTES, encode_payload},
    wire::Announcement,
};
use ledger_common::TestLedger;
use serde_json::json;

/// Builds a report for an index with 2 shards.
fn report(epoch: u64, version: u64, shard: u32, documents: u64) -> ManifestReport {
    ManifestReport {
        snapshot: SnapshotKey {
            index: index(),
            partition_epoch: epoch.into(),
            version: version.into(),
        },
        shard_count: 2,
        shard: shard.into(),
        documents,
    }
}

/// Returns the index of the tests.
fn index() -> IndexName {
    "register-portal".parse().unwrap()
}

/// Records reports and returns the reply.
fn record(ledger: &mut TestLedger, reports: &[ManifestReport]) -> ManifestReply {
    match ledger.apply(&LedgerCommand::RecordManifests(reports.to_vec())) {
        LedgerReply::Manifests(reply) => reply,
        other => panic!("unexpected reply to reports: {other:?}"),
    }
}

/// Returns the total number of documents of a snapshot that has a manifest.
fn total(ledger: &TestLedger, epoch: u64, version: u64) -> Option<u64> {
    let manifests = ledger.ledger.manifests();
    manifests.manifest(&index(), epoch.into(), version.into()).unwrap().total_documents()
}

#[test]
fn total_is_known_once_every_shard_is_reported() {
    let mut ledger = TestLedger::default();
    assert_eq!(ledger.ledger.manifests().manifest(&index(), 1.into(), 1.into()), None);
    record(&mut ledger, &[report(1, 1, 1, 30)]);
    assert_eq!(total(&ledger, 1, 1), None);
    record(&mut ledger, &[report(1, 1, 0, 12)]);
    assert_eq!(total(&ledger, 1, 1), Some(42));
    let manifest = ledger.ledger.manifests().manifest(&index(), 1.into(), 1.into()).unwrap();
    assert_eq!(manifest.shard_documents(ShardId::new(1)), Some(30));
    assert_eq!(manifest.shard_documents(ShardId::new(2)), None);
}

#[test]
fn documents_of_a_shard_never_shrink() {
    let mut ledger = TestLedger::default();
    record(&mut ledger, &[report(1, 1, 0, 10), report(1, 1, 1, 10)]);
    assert_eq!(record(&mut ledger, &[report(1, 1, 0, 4)]), ManifestReply::default());
    assert_eq!(total(&ledger, 1, 1), Some(20));
    assert_eq!(record(&mut ledger, &[report(1, 1, 0, 15)]).recorded, 1);
    assert_eq!(total(&ledger, 1, 1), Some(25));
}

#[test]
fn conflicting_or_out_of_range_reports_are_refused() {
    let mut ledger = TestLedger::default();
    record(&mut ledger, &[report(1, 1, 0, 10)]);
    let three_shards = ManifestReport { shard_count: 3, ..report(1, 2, 0, 10) };
    let no_shards = ManifestReport { shard_count: 0, ..report(2, 1, 0, 10) };
    let many_shards =
        ManifestReport { shard_count: MAX_SHARDS_PER_INDEX + 1, ..report(2, 1, 0, 10) };
    let many_documents = report(2, 1, 0, MAX_SHARD_DOCUMENTS + 1);
    let reply = record(
        &mut ledger,
        &[
            three_shards,
            no_shards,
            many_shards,
            many_documents,
            report(2, 1, 2, 1),
            report(2, 1, 1, 1),
        ],
    );
    let mut expected = vec![(0, ManifestRefusal::ShardCount { recorded: 2 })];
    expected.extend((1..=4).map(|position| (position, ManifestRefusal::OutOfRange)));
    assert_eq!(reply, ManifestReply { recorded: 1, refused: expected });
    assert_eq!(total(&ledger, 1, 1), None);
}

#[test]
fn newest_versions_and_epochs_are_kept() {
    let mut ledger = TestLedger::default();
    for version in 1..=MAX_VERSIONS_PER_EPOCH as u64 + 2 {
        record(&mut ledger, &[report(1, version, 0, version)]);
    }
    let old = record(&mut ledger, &[report(1, 2, 1, 1)]);
    assert_eq!(old.refused, [(0, ManifestRefusal::Retired)]);
    let versions: Vec<u64> = ledger
        .ledger
        .manifests()
        .snapshots(&index())
        .map(|(_, version, _)| version.get())
        .collect();
    assert_eq!(versions, (3..=MAX_VERSIONS_PER_EPOCH as u64 + 2).collect::<Vec<_>>());
    for epoch in 2..=MAX_EPOCHS_PER_INDEX as u64 + 1 {
        record(&mut ledger, &[report(epoch, 1, 0, 1)]);
    }
    let old = record(&mut ledger, &[report(1, 99, 0, 1)]);
    assert_eq!(old.refused, [(0, ManifestRefusal::Retired)]);
    assert_eq!(ledger.ledger.manifests().snapshots(&index()).count(), MAX_EPOCHS_PER_INDEX);
}

#[test]
fn memory_of_manifests_is_bounded() {
    let mut ledger = TestLedger::default();
    let named = |number: usize, shard_count| {
        let mut report = ManifestReport { shard_count, ..report(1, 1, 0, 1) };
        report.snapshot.index = format!("index-{number}").parse().unwrap();
        report
    };
    let many: Vec<_> = (0..=MAX_INDEXES).map(|number| named(number, 2)).collect();
    let reply = record(&mut ledger, &many);
    assert_eq!(reply.recorded as usize, MAX_INDEXES);
    assert_eq!(reply.refused, [(MAX_INDEXES as u32, ManifestRefusal::Full)]);

    let mut ledger = TestLedger::default();
    let fitting = MAX_TOTAL_SHARDS / MAX_SHARDS_PER_INDEX as usize;
    let large: Vec<_> =
        (0..fitting + 3).map(|number| named(number, MAX_SHARDS_PER_INDEX)).collect();
    let reply = record(&mut ledger, &large);
    assert_eq!(reply.recorded as usize, fitting);
    assert!(reply.refused.iter().all(|(_, refusal)| *refusal == ManifestRefusal::Full));
    assert_eq!(ledger.ledger.manifests().unrecorded(&large), Vec::new());

    // A newer version replaces an older one of the same index.
    let mut newer = named(0, MAX_SHARDS_PER_INDEX);
    newer.snapshot.version = 2.into();
    assert_eq!(record(&mut ledger, &[newer.clone()]).recorded, 1);
    let manifests = ledger.ledger.manifests();
    let held: Vec<u64> =
        manifests.snapshots(&newer.snapshot.index).map(|held| held.1.get()).collect();
    assert_eq!(held, [2]);
    assert_eq!(manifests.unrecorded(&large), Vec::new());
}

#[test]
fn updates_synchronize_another_set_in_bounded_messages() {
    let mut ledger = TestLedger::default();
    let mut copy = ManifestSet::default();
    for number in 0..20 {
        let mut report =
            ManifestReport { shard_count: MAX_SHARDS_PER_INDEX, ..report(1, 1, 0, 1 << 40) };
        report.snapshot.index = format!("index-{number}").parse().unwrap();
        record(&mut ledger, &[report]);
    }
    let manifests = ledger.ledger.manifests();
    let mut messages = 0;
    while copy.revision() < manifests.revision() {
        let updates = manifests.updates_since(copy.revision());
        assert!(encode_payload(&updates).unwrap().len() < MAX_FRAME_BYTES / 2);
        copy.apply_updates(&updates);
        messages += 1;
    }
    assert_eq!(messages, 4);
    assert!(copy.indexes().eq(manifests.indexes()));
    record(&mut ledger, &[report(1, 1, 1, 5), report(1, 1, 0, 7)]);
    let updates = ledger.ledger.manifests().updates_since(copy.revision());
    assert_eq!(updates.manifests.len(), 1);
    copy.apply_updates(&updates);
    let total = copy.manifest(&index(), 1.into(), 1.into()).unwrap().total_documents();
    assert_eq!(total, Some(12));
    let empty = ledger.ledger.manifests().updates_since(copy.revision());
    assert_eq!((empty.manifests.len(), empty.revision), (0, copy.revision()));
}

#[test]
fn malformed_updates_are_skipped() {
    let mut copy = ManifestSet::default();
    let key = report(1, 1, 0, 0).snapshot;
    let malformed = [(3, vec![None]), (0, vec![]), (MAX_SHARDS_PER_INDEX + 1, vec![None])];
    for (shard_count, documents) in malformed {
        let manifests = vec![(key.clone(), Manifest { shard_count, documents })];
        copy.apply_updates(&ManifestUpdates { manifests, ..ManifestUpdates::default() });
        assert_eq!(copy, ManifestSet::default());
    }
}

#[test]
fn announcement_yields_only_unrecorded_reports() {
    let mut ledger = TestLedger::default();
    let announcement: Announcement = serde_json::from_value(json!({
        "target_id": "t1", "incarnation": 1, "address": "127.0.0.1:9000",
        "availability_zone": "norrhamn-a", "slots": 3, "connections": 30, "state": "ready",
        "replicas": [
            {"index": "register-portal", "shard": 0, "shard_count": 2, "partition_epoch": 1,
             "versions": [{"version": 1, "documents": 5}, {"version": 2, "documents": 6}]},
            {"index": "register-portal", "shard": 0, "shard_count": 2, "partition_epoch": 1,
             "versions": [{"version": 1, "documents": 5}]},
            {"index": "register-portal", "shard": 7, "shard_count": 2, "partition_epoch": 1,
             "versions": [{"version": 1, "documents": 5}]},
        ],
    }))
    .unwrap();
    let reports = ManifestReport::from_announcement(&announcement);
    assert_eq!(reports.len(), 4);
    let unrecorded = ledger.ledger.manifests().unrecorded(&reports);
    assert_eq!(unrecorded, [report(1, 1, 0, 5), report(1, 2, 0, 6)]);
    assert_eq!(record(&mut ledger, &unrecorded).recorded, 2);
    assert_eq!(ledger.ledger.manifests().unrecorded(&reports), Vec::new());
    let higher = report(1, 1, 0, 9);
    assert_eq!(ledger.ledger.manifests().unrecorded(std::slice::from_ref(&higher)), [higher]);
}
