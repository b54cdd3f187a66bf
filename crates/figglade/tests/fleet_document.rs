//! Tests the validation of fleet configuration documents and the fields named in refusals.

use figglade::controller::fleet::{
    FLEET_KEYS, FleetDefaults, FleetError, FleetScope, KeyRange, MAX_DOCUMENT_BYTES,
    MAX_EXCEPTIONS, MAX_REASON_BYTES, StalePolicy, parse_document, parse_document_value,
    parse_draft,
};
use serde_json::{Value, json};

/// Builds a document with these defaults and exceptions.
fn document(defaults: Value, exceptions: Value) -> Value {
    json!({
        "change_id": "c1",
        "base_version": 3,
        "defaults": defaults,
        "exceptions": exceptions,
    })
}

/// Builds an exception of one index.
fn exception(set: Value, reason: &str) -> Value {
    json!({"scope": "index:batch-ledger", "set": set, "reason": reason})
}

/// Returns the error of a document that must be refused.
fn refusal(value: &Value) -> FleetError {
    parse_document(value.to_string().as_bytes()).expect_err("the document must be refused")
}

#[test]
fn omitted_defaults_take_the_built_in_value() {
    let value = document(json!({"max_limit": 50, "stale_action": "answer_marked"}), json!([]));
    let parsed = parse_document(value.to_string().as_bytes()).unwrap();
    let expected = FleetDefaults {
        max_limit: 50,
        stale_action: StalePolicy::AnswerMarked,
        ..FleetDefaults::default()
    };
    assert_eq!(parsed.defaults, expected);
    assert_eq!(parsed.change_id.as_str(), "c1");
    assert_eq!(parsed.base_version.get(), 3);
}

#[test]
fn table_covers_every_default_and_accepts_it() {
    let defaults = serde_json::to_value(FleetDefaults::default()).unwrap();
    let names: Vec<&str> = FLEET_KEYS.iter().map(|key| key.name).collect();
    let mut sorted = names.clone();
    sorted.sort_unstable();
    let mut fields: Vec<&String> = defaults.as_object().unwrap().keys().collect();
    fields.sort_unstable();
    assert_eq!(sorted, fields);
    for key in FLEET_KEYS {
        let value = key.default_value();
        assert_eq!(value, defaults[key.name], "{}", key.name);
        assert_eq!(key.range.accept(&value), Some(value), "{}", key.name);
        assert!(!key.unit.is_empty() && !key.meaning.is_empty(), "{}", key.name);
    }
}

#[test]
fn every_key_refuses_values_just_outside_its_range() {
    for key in FLEET_KEYS {
        let refused = match key.range {
            KeyRange::Whole { min, max } => {
                vec![json!(max + 1), json!(min as i64 - 1), json!(1.5), json!("1")]
            }
            KeyRange::Fraction { min, max } => vec![json!(max + 0.01), json!(min - 0.01)],
            KeyRange::Word(_) => vec![json!("maybe"), json!(1)],
        };
        for value in refused {
            let error = refusal(&document(json!({key.name: value}), json!([])));
            assert_eq!(error.field, format!("defaults.{}", key.name));
            assert_eq!(error.value, value.to_string());
            assert!(error.allowed.contains(&key.range.to_string()), "{error}");
        }
    }
}

#[test]
fn refusal_names_path_value_and_allowed_range() {
    let good = exception(json!({"hedge_budget": 0.1}), "a slow rack");
    let bad = json!({"scope": "target:t1", "set": {"hedge_budget": 7}, "reason": "r"});
    let error = refusal(&document(json!({}), json!([good, bad])));
    assert_eq!(error.field, "exceptions[1].set.hedge_budget");
    assert_eq!(error.value, "7");
    assert_eq!(error.allowed, "must be a number from 0 to 1 (hedges per first attempt)");
}

#[test]
fn unknown_names_are_refused_by_name() {
    let cases = [
        (document(json!({"hedge_bugdet": 0.1}), json!([])), "defaults.hedge_bugdet"),
        (
            document(json!({}), json!([exception(json!({"colour": 1}), "r")])),
            "exceptions[0].set.colour",
        ),
        (
            document(
                json!({}),
                json!([{"scope": "index:a", "set": {"max_limit": 1}, "reason": "r", "note": 1}]),
            ),
            "exceptions[0].note",
        ),
        (json!({"change_id": "c", "base_version": 0, "default": {}}), "default"),
    ];
    for (value, field) in cases {
        let error = refusal(&value);
        assert_eq!(error.field, field);
        assert!(error.allowed.contains("unknown"), "{error}");
    }
}

#[test]
fn exception_needs_a_reason_a_scope_and_a_setting() {
    let set = json!({"max_limit": 10});
    let long = "r".repeat(MAX_REASON_BYTES + 1);
    for reason in ["", "  \t ", long.as_str()] {
        let error = refusal(&document(json!({}), json!([exception(set.clone(), reason)])));
        assert_eq!(error.field, "exceptions[0].reason");
    }
    let cases = [
        (json!({"scope": "index:a", "set": set}), "exceptions[0].reason"),
        (json!({"set": set, "reason": "r"}), "exceptions[0].scope"),
        (json!({"scope": "rack:a", "set": set, "reason": "r"}), "exceptions[0].scope"),
        (json!({"scope": "index:", "set": set, "reason": "r"}), "exceptions[0].scope"),
        (
            json!({"scope": {"index": "a", "target": "b"}, "set": set, "reason": "r"}),
            "exceptions[0].scope",
        ),
        (json!({"scope": "index:a", "set": {}, "reason": "r"}), "exceptions[0].set"),
        (json!({"scope": "index:a", "reason": "r"}), "exceptions[0].set"),
    ];
    for (value, field) in cases {
        assert_eq!(refusal(&document(json!({}), json!([value]))).field, field);
    }
}

#[test]
fn fleet_wide_key_is_refused_in_an_exception() {
    let value = document(json!({}), json!([exception(json!({"claim_window_ms": 60_000}), "r")]));
    let error = refusal(&value);
    assert_eq!(error.field, "exceptions[0].set.claim_window_ms");
    assert_eq!(error.allowed, "can be set in defaults only");
}

#[test]
fn second_exception_for_the_same_scope_and_key_is_refused() {
    let first = exception(json!({"max_limit": 10}), "r");
    let second = exception(json!({"max_limit": 20, "max_attempts": 2}), "r");
    let error = refusal(&document(json!({}), json!([first, second])));
    assert_eq!(error.field, "exceptions[1].set.max_limit");
    assert!(error.allowed.contains("index:batch-ledger"));
}

#[test]
fn sizes_are_bounded() {
    let many = vec![exception(json!({"max_limit": 10}), "r"); MAX_EXCEPTIONS + 1];
    assert_eq!(refusal(&document(json!({}), json!(many))).field, "exceptions");
    let error = parse_document(&vec![b' '; MAX_DOCUMENT_BYTES + 1]).unwrap_err();
    assert_eq!(error.field, "document");
    let name = "k".repeat(10_000);
    assert!(refusal(&document(json!({name: 1}), json!([]))).to_string().len() < 400);
}

#[test]
fn text_that_is_no_document_is_refused() {
    for body in ["", "{", "[]", "null", "7", "{\"change_id\": \"c\"} x"] {
        let error = parse_document(body.as_bytes()).unwrap_err();
        assert_eq!(error.field, "document", "{body}");
    }
    let cases = [
        (json!({"base_version": 1}), "change_id"),
        (json!({"change_id": "c"}), "base_version"),
        (json!({"change_id": "a b", "base_version": 1}), "change_id"),
        (json!({"change_id": "c", "base_version": -1}), "base_version"),
        (json!({"change_id": "c", "base_version": 1, "defaults": []}), "defaults"),
        (json!({"change_id": "c", "base_version": 1, "exceptions": {}}), "exceptions"),
    ];
    for (value, field) in cases {
        assert_eq!(refusal(&value).field, field);
    }
}

#[test]
fn draft_needs_neither_change_nor_version() {
    let value = json!({"defaults": {"max_attempts": 2}});
    let draft = parse_draft(&value).unwrap();
    assert_eq!(draft.defaults.max_attempts, 2);
    assert_eq!((draft.change_id, draft.base_version), (None, None));
    assert_eq!(parse_document_value(&value).unwrap_err().field, "change_id");
}

#[test]
fn scope_has_a_text_form_and_an_object_form() {
    for text in ["index:a", "target:t:1", "availability_zone:norrhamn-a", "instance:i1"] {
        let scope: FleetScope = text.parse().unwrap();
        assert_eq!(scope.to_string(), text);
        assert_eq!(serde_json::to_value(&scope).unwrap(), json!(text));
        let (kind, name) = text.split_once(':').unwrap();
        let object: FleetScope = serde_json::from_value(json!({kind: name})).unwrap();
        assert_eq!(object, scope);
    }
}
