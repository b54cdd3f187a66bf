//! Tests the precedence among the exceptions of a configuration.

use figglade::controller::fleet::{FleetConfig, FleetDefaults, ResolveScope, parse_draft};
use serde_json::json;

/// Builds a configuration with one exception of each kind; each sets `max_limit` and one more key.
fn config() -> FleetConfig {
    let draft = parse_draft(&json!({
        "defaults": {"max_limit": 1, "max_attempts": 1},
        "exceptions": [
            {"scope": "target:t", "set": {"max_limit": 50}, "reason": "r"},
            {"scope": "index:x", "set": {"max_limit": 40, "max_queued": 4}, "reason": "r"},
            {"scope": "instance:i", "set": {"max_limit": 30, "max_queued": 3}, "reason": "r"},
            {"scope": "availability_zone:z", "set": {"max_limit": 20, "max_running": 2}, "reason": "r"},
        ],
    }))
    .unwrap();
    FleetConfig { defaults: draft.defaults, exceptions: draft.exceptions, ..FleetConfig::default() }
}

#[test]
fn target_takes_precedence_over_index_instance_and_zone() {
    let (index, target) = ("x".parse().unwrap(), "t".parse().unwrap());
    let (instance, zone) = ("i".parse().unwrap(), "z".parse().unwrap());
    let mut scope = ResolveScope {
        index: Some(&index),
        target: Some(&target),
        zone: Some(&zone),
        instance: Some(&instance),
    };
    let config = config();
    let all = config.resolve(&scope);
    assert_eq!((all.max_limit, all.max_queued, all.max_running), (50, 4, 2));
    scope.target = None;
    assert_eq!(config.resolve(&scope).max_limit, 40);
    scope.index = None;
    assert_eq!(config.resolve(&scope).max_limit, 30);
    assert_eq!(config.resolve(&scope).max_queued, 3);
    scope.instance = None;
    assert_eq!(config.resolve(&scope).max_limit, 20);
}

#[test]
fn names_without_exceptions_take_the_defaults() {
    let (index, target) = ("y".parse().unwrap(), "u".parse().unwrap());
    let scope = ResolveScope { index: Some(&index), target: Some(&target), ..Default::default() };
    let expected = FleetDefaults { max_limit: 1, max_attempts: 1, ..FleetDefaults::default() };
    assert_eq!(config().resolve(&scope), expected);
}
