//! Tests without a tier: usage errors, offline checks, tables and HTML pages.

mod support;

use std::{collections::BTreeMap, fs, path::PathBuf};

use figglade::{
    WallTime,
    controller::{
        event::{EventKind, EventRecord, EventSource, HybridStamp},
        fleet::FleetException,
    },
};
use figglade_cli::{
    args::DurationArg,
    config::{merge_exception, still_applies},
    output::{Tone, paint, render_table},
    status::find_problems,
    timeline::{GatheredEvents, format_time, render_page},
};
use serde_json::json;
use support::{free_address, run_cli};
use tempfile::TempDir;

fn write_file(dir: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = dir.path().join(name);
    fs::write(&path, text).expect("file");
    path
}

#[tokio::test]
async fn usage_errors_exit_with_two_and_help_with_zero() {
    for args in [
        &["nonsense"][..],
        &["status", "--addr", "nowhere"],
        &["config", "except", "--scope", "shelf:a", "--set", "max_limit=1", "--reason", "r"],
        &["config", "except", "--scope", "index:a", "--reason", "r"],
        &["config", "wait", "--timeout", "5 minutes"],
        &["query", "--index", "a", "{not json"],
    ] {
        run_cli(args).await.expect_code(2);
    }
    let help = run_cli(&["config", "except", "--help"]).await.expect_code(0);
    assert!(help.out.contains("Example: figglade config except"), "{help:?}");
    let version = run_cli(&["--version"]).await.expect_code(0);
    assert!(version.out.contains("0.1.0"), "{version:?}");
}

#[tokio::test]
async fn completion_names_fleet_keys() {
    let args = ["--bpaf-complete-rev=8", "config", "except", "--set", "stale"];
    let run = run_cli(&args).await.expect_code(0);
    assert!(run.out.contains("staleness_bound_ms=") && run.out.contains("stale_query="), "{run:?}");
    assert!(!run.out.contains("hedge_budget"), "{run:?}");
    let args = ["--bpaf-complete-rev=8", "config", "except", "--scope", "ava"];
    let run = run_cli(&args).await.expect_code(0);
    assert!(run.out.contains("availability_zone:"), "{run:?}");
    let script = run_cli(&["--bpaf-complete-style-bash"]).await.expect_code(0);
    assert!(script.out.contains("figglade"), "{script:?}");
}

#[tokio::test]
async fn check_accepts_both_formats_and_names_what_is_wrong() {
    let dir = TempDir::new().expect("dir");
    let good = "[defaults]\nhedge_budget = 0.05\n[[exceptions]]\nscope = \"index:batch-ledger\"\n\
                reason = \"harvest week\"\n[exceptions.set]\nmax_attempts = 4\n";
    let toml = write_file(&dir, "good.toml", good);
    let toml = toml.to_str().expect("path");
    let run = run_cli(&["config", "check", toml]).await.expect_code(0);
    assert!(run.out.contains("ok, 1 exceptions"), "{run:?}");
    let document = json!({
        "change_id": "c1", "base_version": 3, "defaults": {}, "exceptions": [],
    });
    let json = write_file(&dir, "good.json", &document.to_string());
    let run = run_cli(&["config", "check", "--json", json.to_str().expect("path")]).await;
    assert_eq!(run.expect_code(0).json()["complete"], true);

    let cases = [
        ("range.toml", "[defaults]\nhedge_budget = 7\n", "defaults.hedge_budget: 7"),
        ("range.toml", "[defaults]\nhedge_budget = 7\n", "a number from 0 to 1"),
        ("key.toml", "[defaults]\nhedgebudget = 0\n", "known are max_deadline_ms"),
        ("text.toml", "[defaults]\nhedge_budget = \n", "line 2: not TOML"),
        ("text.json", "{\n\"defaults\": }", "line 2: not JSON"),
        ("field.json", "{\"default\": {}}", "known are change_id"),
    ];
    for (name, text, expected) in cases {
        let path = write_file(&dir, name, text);
        let run = run_cli(&["config", "check", path.to_str().expect("path")]).await.expect_code(1);
        assert!(run.err.contains(expected) && run.err.contains(name), "{expected}: {run:?}");
    }
    let run = run_cli(&["config", "check", "/nonexistent/fleet.toml"]).await.expect_code(1);
    assert!(run.err.contains("/nonexistent/fleet.toml: cannot read"), "{run:?}");
}

#[tokio::test]
async fn unreachable_tier_and_bad_keys_are_failures() {
    let address = free_address().to_string();
    let run = run_cli(&["status", "--addr", &address]).await.expect_code(1);
    assert!(run.err.contains(&address) && run.err.contains("cannot connect"), "{run:?}");
    let dir = TempDir::new().expect("dir");
    let empty = write_file(&dir, "operator.keys", "# none\n");
    let empty = empty.to_str().expect("path");
    let run = run_cli(&["status", "--addr", &address, "--key-file", empty]).await.expect_code(1);
    assert!(run.err.contains("operator.keys: the file holds no key"), "{run:?}");
}

#[test]
fn tables_fit_their_width() {
    let row = vec![
        "first name".to_owned(),
        "long words that must wrap ".repeat(20),
        "x\u{1b}[31m".to_owned(),
    ];
    for width in [40, 80, 120] {
        let table = render_table(&["key", "value", "unit"], vec![row.clone()], width);
        let widest = table.lines().map(|line| line.chars().count()).max().expect("lines");
        assert!(widest <= usize::from(width), "{widest} > {width}");
        assert!(table.lines().nth(1).is_some_and(|line| line.contains("first name ")), "{table}");
        assert!(!table.contains('\u{1b}'), "a control character was printed");
    }
}

#[test]
fn colours_appear_only_where_wanted() {
    assert_eq!(paint("bad", Tone::Bad, false), "bad");
    assert!(paint("bad", Tone::Bad, true).contains("\u{1b}[31mbad"));
}

#[test]
fn durations_are_parsed_and_shown_in_the_largest_unit() {
    for (text, millis) in [("250ms", 250), ("30s", 30_000), ("5m", 300_000), ("2h", 7_200_000)] {
        let duration: DurationArg = text.parse().expect("duration");
        assert_eq!(duration.0.as_millis(), millis);
        assert_eq!(duration.to_string(), text);
    }
    for text in
        ["", "5", "m", "-5m", "5 m", "400d", "99999999999999999999s", "18446744073709551615d"]
    {
        assert!(text.parse::<DurationArg>().is_err(), "{text}");
    }
}

#[test]
fn times_are_written_in_utc() {
    let format = |millis| format_time(WallTime::from_millis(millis));
    assert_eq!(format(0), "1970-01-01 00:00:00.000");
    assert_eq!(format(951_782_400_123), "2000-02-29 00:00:00.123");
    assert_eq!(format(1_798_761_599_999), "2026-12-31 23:59:59.999");
}

fn event(instance: &str, sequence: u64, detail: &str) -> EventRecord {
    EventRecord {
        stamp: HybridStamp::first_at(WallTime::from_millis(1_000 + sequence)),
        source: EventSource {
            instance: instance.parse().expect("instance"),
            incarnation: figglade::Incarnation::new(1),
        },
        sequence,
        kind: EventKind::DiskFault,
        request: None,
        detail: detail.to_owned(),
    }
}

#[test]
fn page_escapes_text_and_needs_nothing_from_outside() {
    let gathered = GatheredEvents {
        events: vec![
            event("i1", 1, "<script>alert('x')</script> & \"more\""),
            event("i2", 2, "ok"),
        ],
        unreachable: BTreeMap::from([("i3".to_owned(), "<b>lost</b>".to_owned())]),
        truncated: vec!["i2".to_owned()],
    };
    let page = render_page(&gathered);
    assert!(!page.contains("<script") && !page.contains("<b>"), "text was not escaped");
    assert!(page.contains("&lt;script&gt;alert(&#39;x&#39;)&lt;/script&gt; &amp; &quot;more"));
    for outside in ["http://", "https://", "src=", "href=", "@import", "url("] {
        assert!(!page.contains(outside), "{outside}");
    }
    assert!(page.contains("prefers-color-scheme: dark"));
    assert_eq!(page.matches("class=\"lane\"").count(), 2);
    assert_eq!(page.matches("<circle").count(), 2);
    assert!(page.contains("not reached: i3") && page.contains("not complete: i2"));
}

fn status_problems(leader: serde_json::Value) -> Vec<String> {
    let voter = |port: u16| json!({ "peer": format!("127.0.0.1:{port}"), "role": "voter" });
    let quorum = json!({
        "role": "follower", "term": 3, "leader": leader, "commit": 9,
        "members": { "i1": voter(1), "i2": voter(2) },
    });
    let status = json!({
        "instance": "i1", "ready": false, "unready_reason": "it starts",
        "config": { "version": 4, "in_force": 1, "instances": 2 },
        "indexes": [{ "index": "a", "covered": false, "uncovered_shards": [3, 5] }],
        "targets": { "ready": 2 },
        "control": { "quorum": quorum, "claims": 0, "failure": null },
    });
    let member = |id: &str, state: &str| {
        json!({
            "id": id, "state": state, "peer": "127.0.0.1:1", "http": "127.0.0.1:2",
            "availability_zone": "z", "config_version": 4, "ready": false,
        })
    };
    let members = json!({
        "members": [member("i1", "alive"), member("i2", "dead"), member("i3", "alive")],
    });
    let status = serde_json::from_value(status).expect("status");
    let members = serde_json::from_value(members).expect("members");
    let problems = find_problems(&status, &members);
    problems.into_iter().map(|problem| format!("{} -> {}", problem.what, problem.next)).collect()
}

#[test]
fn status_names_each_problem_once_with_the_next_command() {
    let expected = [
        "instance i1 takes no requests: it starts -> figglade members",
        "control member i2 does not answer -> restart it, or: figglade control replace i2 NEW PEER",
        "instance i3 is not ready -> figglade status --addr 127.0.0.1:2",
        "index a: no live replica of shard 3, 5 -> figglade targets --index a",
        "configuration 4 is in force at 1 of 2 instances -> figglade config wait --version 4",
    ];
    assert_eq!(status_problems(json!("i1")), expected);
}

#[test]
fn group_without_a_leader_is_not_asked_to_change_its_members() {
    let problems = status_problems(json!(null));
    assert!(problems[1].starts_with("the control group has no leader"), "{problems:?}");
    assert!(!problems.iter().any(|problem| problem.contains("control replace")), "{problems:?}");
}

fn exception(scope: &str, set: serde_json::Value, reason: &str) -> FleetException {
    let value = json!({ "scope": scope, "set": set, "reason": reason });
    serde_json::from_value(value).expect("exception")
}

#[test]
fn new_exception_takes_its_keys_from_older_ones_of_its_scope() {
    let older = vec![
        exception("index:a", json!({ "max_limit": 5 }), "first"),
        exception("index:a", json!({ "hedge_budget": 0.1, "max_attempts": 2 }), "second"),
        exception("index:b", json!({ "max_limit": 7 }), "other"),
    ];
    let new = exception("index:a", json!({ "max_limit": 9, "max_attempts": 3 }), "new");
    let merged = merge_exception(older.clone(), &new);
    let expected = vec![
        exception("index:a", json!({ "hedge_budget": 0.1 }), "second"),
        older[2].clone(),
        new.clone(),
    ];
    assert_eq!(merged, expected);
}

#[test]
fn exception_conflicts_only_with_changes_of_its_own_keys() {
    let before = vec![exception("index:a", json!({ "max_limit": 5 }), "first")];
    let new = exception("index:a", json!({ "max_limit": 9 }), "new");
    let mut after = before.clone();
    after.push(exception("index:b", json!({ "max_limit": 6 }), "other scope"));
    assert_eq!(still_applies(&before, &after, &new), Ok(()));
    let changed = vec![exception("index:a", json!({ "max_limit": 6 }), "first")];
    assert_eq!(still_applies(&before, &changed, &new), Err("max_limit".to_owned()));
    assert_eq!(still_applies(&before, &[], &new), Err("max_limit".to_owned()));
}
