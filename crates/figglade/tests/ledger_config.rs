//! Configuration changes: compare-and-set, resends and history.

#[allow(dead_code, reason = "the helpers serve several test files")]
mod ledger_common;

use figglade::{
    ConfigVersion,
    controller::ledger::{ConfigOutcome, Ledger, MAX_HISTORY_CHANGES, MAX_REMEMBERED_CHANGES},
};
use ledger_common::TestLedger;
use serde_json::json;

/// Returns the outcome of a change that created `version`.
fn committed(version: u64) -> ConfigOutcome {
    ConfigOutcome::Committed { version: ConfigVersion::new(version) }
}

/// Returns the outcome of a change whose base version was not the latest, `current`.
fn conflict(current: u64) -> ConfigOutcome {
    ConfigOutcome::Conflict { current: ConfigVersion::new(current) }
}

#[test]
fn one_of_two_racing_operators_wins() {
    let mut ledger = TestLedger::default();
    assert_eq!(ledger.put("a", 0, json!({"max_limit": 5}), json!([])), committed(1));
    assert_eq!(ledger.put("b", 0, json!({"max_limit": 9}), json!([])), conflict(1));
    assert_eq!(ledger.ledger.config().defaults.max_limit, 5);
    assert_eq!(ledger.put("c", 1, json!({"max_limit": 9}), json!([])), committed(2));
    assert_eq!(ledger.put("d", 7, json!({}), json!([])), conflict(2));
    assert_eq!(ledger.ledger.config().version, ConfigVersion::new(2));
}

#[test]
fn resend_returns_the_first_outcome() {
    let mut ledger = TestLedger::default();
    assert_eq!(ledger.put("a", 0, json!({"max_limit": 5}), json!([])), committed(1));
    assert_eq!(ledger.put("b", 0, json!({"max_limit": 9}), json!([])), conflict(1));
    assert_eq!(ledger.put("c", 1, json!({"max_limit": 6}), json!([])), committed(2));
    for base in [0, 1, 2] {
        assert_eq!(ledger.put("a", base, json!({"max_limit": 5}), json!([])), committed(1));
        assert_eq!(ledger.put("b", base, json!({"max_limit": 9}), json!([])), conflict(1));
    }
    assert_eq!(ledger.ledger.config().defaults.max_limit, 6);
    assert_eq!(ledger.ledger.history().count(), 2);
}

#[test]
fn change_id_with_another_document_is_refused() {
    let mut ledger = TestLedger::default();
    let exception =
        |reason| json!([{"scope": "index:x", "set": {"max_limit": 1}, "reason": reason}]);
    assert_eq!(ledger.put("a", 0, json!({}), exception("first")), committed(1));
    let reused = ConfigOutcome::ChangeIdReused { change_id: "a".parse().unwrap() };
    assert_eq!(ledger.put("a", 1, json!({}), exception("second")), reused);
    assert_eq!(ledger.put("a", 1, json!({"max_limit": 2}), exception("first")), reused);
    assert_eq!(ledger.put("a", 1, json!({}), exception("first")), committed(1));
    assert_eq!(ledger.ledger.config().version, ConfigVersion::new(1));
}

#[test]
fn put_replaces_the_whole_configuration() {
    let mut ledger = TestLedger::default();
    let exceptions = json!([{"scope": "index:x", "set": {"max_limit": 1}, "reason": "r"}]);
    ledger.put("a", 0, json!({"max_limit": 5}), exceptions);
    ledger.put("b", 1, json!({"max_attempts": 2}), json!([]));
    let config = ledger.ledger.config();
    assert_eq!((config.defaults.max_limit, config.defaults.max_attempts), (1_000, 2));
    assert_eq!(config.exceptions, Vec::new());
}

#[test]
fn history_describes_changes_and_is_bounded() {
    let mut ledger = TestLedger::default();
    let exceptions = json!([{"scope": "index:x", "set": {"max_limit": 1}, "reason": "slow rack"}]);
    ledger.put("a", 0, json!({"hedge_budget": 0.5}), exceptions);
    let change = ledger.ledger.history().next().unwrap().clone();
    assert_eq!((change.change_id.as_str(), change.instance.as_str()), ("a", "i1"));
    assert_eq!(change.summary, "hedge_budget 0.02 -> 0.5; exception index:x set (slow rack)");
    for version in 1..MAX_HISTORY_CHANGES as u64 + 5 {
        let outcome = ledger.put(&format!("c{version}"), version, json!({}), json!([]));
        assert_eq!(outcome, committed(version + 1));
    }
    let versions: Vec<u64> = ledger.ledger.history().map(|change| change.version.get()).collect();
    assert_eq!(versions, (6..=MAX_HISTORY_CHANGES as u64 + 5).collect::<Vec<_>>());
}

#[test]
fn evicted_change_cannot_take_effect_twice() {
    let mut ledger = TestLedger::default();
    assert_eq!(ledger.put("first", 0, json!({"max_limit": 5}), json!([])), committed(1));
    for number in 1..MAX_REMEMBERED_CHANGES {
        assert_eq!(ledger.put(&format!("c{number}"), 0, json!({}), json!([])), conflict(1));
    }
    assert_eq!(ledger.put("first", 0, json!({"max_limit": 5}), json!([])), committed(1));
    assert_eq!(ledger.put("one-more", 0, json!({}), json!([])), conflict(1));
    assert_eq!(ledger.put("first", 0, json!({"max_limit": 5}), json!([])), conflict(1));
    assert_eq!(ledger.ledger.config().version, ConfigVersion::new(1));
}

#[test]
fn outcomes_survive_a_snapshot() {
    let mut ledger = TestLedger::default();
    ledger.put("a", 0, json!({"max_limit": 5}), json!([]));
    ledger.put("b", 0, json!({}), json!([]));
    let restored = Ledger::decode_state(&ledger.ledger.encode_state().unwrap()).unwrap();
    assert_eq!(restored, ledger.ledger);
    ledger.ledger = restored;
    assert_eq!(ledger.put("a", 1, json!({"max_limit": 5}), json!([])), committed(1));
    assert_eq!(ledger.put("b", 1, json!({}), json!([])), conflict(1));
}
