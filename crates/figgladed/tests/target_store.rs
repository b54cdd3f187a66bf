//! Tests of the store of targets on a hub's disk.

use figglade::{
    Incarnation,
    controller::service_directory::{TargetPhase, TargetRecord},
};
use figgladed::hub::TargetStore;

fn record(id: &str, phase: TargetPhase) -> TargetRecord {
    TargetRecord {
        id: id.parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 3,
        incarnation: Incarnation::new(7),
        sequence: 9,
        phase,
        is_lapsed: false,
        warmup_ms: 0,
        holder: "h1".parse().unwrap(),
    }
}

#[tokio::test]
async fn loaded_targets_are_lapsed_and_keep_their_phase() {
    let folder = tempfile::tempdir().unwrap();
    let store = TargetStore::new(folder.path());
    assert!(store.load().unwrap().is_empty(), "a store without a file");
    let written = [record("t1", TargetPhase::Ready), record("t2", TargetPhase::Draining)];
    store.write(&written).await.unwrap();
    let loaded = TargetStore::new(folder.path()).load().unwrap();
    assert!(loaded.iter().all(|record| record.is_lapsed && record.sequence == 0));
    assert_eq!(loaded[0].phase, TargetPhase::Ready);
    assert_eq!(loaded[1].phase, TargetPhase::Draining);
}

#[tokio::test]
async fn a_damaged_file_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let store = TargetStore::new(folder.path());
    store.write(&[record("t1", TargetPhase::Ready)]).await.unwrap();
    let path = folder.path().join("targets");
    let mut bytes = std::fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    assert!(store.load().is_err());
}
