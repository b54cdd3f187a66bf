//! Runs each command against embedded instances.

mod support;

use std::fs;

use figglade::RequestId;
use figglade_testkit::RegisterData;
use serde_json::json;
use support::{EmbeddedTier, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_and_shown() {
    let tier = EmbeddedTier::start(1, 1).await;
    let targets = tier.start_targets().await;
    let search = ["query", "--index", "register-portal", "--json", "{\"text\":\"indigo\"}"];
    wait_until("the search is complete", async || {
        let run = tier.run(&search).await;
        run.code == 0 && run.json()["complete"] == true
    })
    .await;
    let run = tier.run(&["query", "--index", "register-portal", "{\"text\":\"indigo\"}"]).await;
    let run = run.expect_code(0);
    assert!(run.out.contains("40 of 40 documents in 2 of 2 shards, complete"), "{run:?}");

    let index = "register-portal".parse().expect("index");
    let key = RegisterData::record_key(&index, 7);
    let lookup = tier.run(&["lookup", "--index", "register-portal", &key, "--json"]).await;
    assert_eq!(lookup.expect_code(0).json()["hits"].as_array().map(Vec::len), Some(1));

    let action = ["action", "--index", "register-portal", "--key", &key, "{\"draft\":1}"];
    let first = tier.run(&action).await.expect_code(0);
    assert!(first.out.contains("done"), "{first:?}");
    let request = first.err.trim().strip_prefix("request_id: ").expect("printed first").to_owned();
    let mut again = action.to_vec();
    again.extend(["--request-id", &request, "--json"]);
    assert_eq!(tier.run(&again).await.expect_code(0).json()["outcome"], "done");
    let ran: usize = targets.iter().map(|target| target.control().ran_actions().len()).sum();
    assert_eq!(ran, 1, "a resent action must not run again");
    let mut other = again.clone();
    other[5] = "{\"draft\":2}";
    let refused = tier.run(&other).await.expect_code(1);
    assert!(refused.err.contains("409"), "{refused:?}");

    let unknown = tier.run(&["query", "--index", "nothing", "{}"]).await.expect_code(1);
    assert!(unknown.err.contains("404"), "{unknown:?}");
    let listed = tier.run(&["targets", "--index", "register-portal"]).await.expect_code(0);
    assert!(listed.out.contains("4 targets"), "{listed:?}");
    let none = tier.run(&["targets", "--index", "nothing", "--json"]).await.expect_code(0);
    assert_eq!(none.json()["targets"], json!([]));
    let status = tier.run(&["status"]).await.expect_code(0);
    assert!(status.out.contains("no problem found"), "{status:?}");

    let events = tier.run(&["timeline", "--since", "1h", "--request", &request, "--json"]).await;
    let events = events.expect_code(0).json();
    let kinds: Vec<_> =
        events["events"].as_array().expect("events").iter().map(|event| &event["kind"]).collect();
    assert!(kinds.contains(&&json!("claim_granted")), "{events}");
    for target in targets {
        target.close().await;
    }
    tier.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_applied_resent_and_listed_with_exceptions() {
    let tier = EmbeddedTier::start(2, 1).await;
    tier.wait_members().await;
    let file = tier.folder.path().join("fleet.toml");
    fs::write(&file, "[defaults]\nhedge_budget = 0.05\n").expect("file");
    let file = file.to_str().expect("path");
    let first = tier.run_at(1, &["config", "apply", file]).await.expect_code(0);
    assert!(first.out.contains("version 1 committed; in force at 2 of 2"), "{first:?}");
    let change = first.err.lines().find_map(|line| line.strip_prefix("change_id: "));
    let change = change.expect("the change id is printed first").to_owned();
    // Resending the same change through the other instance returns the first outcome and creates no
    // second version.
    let resent = tier.run(&["config", "apply", file, "--change-id", &change, "--json"]).await;
    assert_eq!(resent.expect_code(0).json()["version"], 1);
    fs::write(file, "[defaults]\nhedge_budget = 0.07\n").expect("file");
    let reused = tier.run(&["config", "apply", file, "--change-id", &change]).await.expect_code(1);
    assert!(reused.err.contains("change_id_reused"), "{reused:?}");
    let stale = tier.run(&["config", "apply", file, "--base-version", "0"]).await.expect_code(1);
    assert!(stale.err.contains("started from version 0, and the latest is 1"), "{stale:?}");

    let except = ["config", "except", "--scope", "index:batch-ledger", "--reason", "harvest week"];
    let mut good = except.to_vec();
    good.extend(["--set", "max_attempts=4", "--set", "stale_query=refuse"]);
    let run = tier.run(&good).await.expect_code(0);
    assert!(run.out.contains("version 2 committed"), "{run:?}");
    let mut bad = except.to_vec();
    bad.extend(["--set", "max_attempts=99"]);
    let run = tier.run(&bad).await.expect_code(1);
    assert!(run.err.contains("--set max_attempts: 99") && run.err.contains("1 to 16"), "{run:?}");

    let wait = tier.run(&["config", "wait", "--version", "2"]).await.expect_code(0);
    assert!(wait.out.contains("in force at 2 of 2"), "{wait:?}");
    let late = ["config", "wait", "--version", "9", "--timeout", "50ms"];
    let late = tier.run(&late).await.expect_code(1);
    assert!(late.err.contains("version 9 is not in force at i0, i1"), "{late:?}");

    let shown = tier.run(&["config", "show", "--json"]).await.expect_code(0).json();
    assert_eq!(
        shown["defaults"]["hedge_budget"], 0.05,
        "an exception must not change the defaults"
    );
    let set = json!({ "max_attempts": 4, "stale_query": "refuse" });
    assert_eq!(shown["exceptions"][0]["set"], set);
    let table = tier.run(&["config", "show"]).await.expect_code(0);
    assert!(table.out.contains("harvest week"), "{table:?}");
    assert!(table.out.lines().all(|line| line.chars().count() <= 90), "{table:?}");
    let history = tier.run_at(1, &["config", "history", "--json"]).await.expect_code(0).json();
    assert_eq!(history["history"].as_array().map(Vec::len), Some(2));
    assert_eq!(history["history"][0]["change_id"], json!(change));
    tier.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_exceptions_are_all_applied() {
    let tier = EmbeddedTier::start(2, 1).await;
    tier.wait_members().await;
    // A command conflicts at most once with each of the three others, fewer times than it tries.
    let scopes = ["index:a", "index:b", "instance:i0", "target:c"];
    let commands = scopes.iter().enumerate().map(|(number, scope)| {
        let args = ["config", "except", "--scope", scope, "--set", "max_attempts=2"];
        let args = [&args[..], &["--reason", "race"]].concat();
        let tier = &tier;
        async move { tier.run_at(number % 2, &args).await.expect_code(0) }
    });
    futures::future::join_all(commands).await;
    let shown = tier.run(&["config", "show", "--json"]).await.expect_code(0).json();
    assert_eq!(shown["version"], 4);
    let exceptions = shown["exceptions"].as_array().expect("exceptions");
    let mut applied: Vec<_> =
        exceptions.iter().filter_map(|entry| entry["scope"].as_str()).collect();
    applied.sort();
    assert_eq!(applied, scopes);
    tier.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn control_member_is_replaced_and_refusals_are_reported() {
    let tier = EmbeddedTier::start(2, 1).await;
    tier.wait_members().await;
    let peer = tier.peer[1].to_string();
    let early = tier.run(&["control", "promote", "i1"]).await.expect_code(1);
    assert!(early.err.contains("i1 is not a member"), "{early:?}");
    let last = tier.run(&["control", "remove", "i0"]).await.expect_code(1);
    assert!(last.err.contains("the last voter cannot be removed"), "{last:?}");
    let same = tier.run(&["control", "replace", "i0", "i0", &peer]).await.expect_code(1);
    assert!(same.err.contains("cannot replace itself"), "{same:?}");

    tier.run(&["control", "add", "i1", &peer]).await.expect_code(0);
    // Repeating a command, as after an interruption, succeeds.
    tier.run(&["control", "add", "i1", &peer]).await.expect_code(0);
    let other = tier.peer[0].to_string();
    let moved = tier.run(&["control", "add", "i1", &other]).await.expect_code(1);
    assert!(moved.err.contains("is a member already, at"), "{moved:?}");
    let replace = ["control", "replace", "i0", "i1", &peer, "--json"];
    let done = tier.run(&replace).await.expect_code(0).json();
    let members: Vec<_> = done["members"].as_array().expect("members").iter().collect();
    assert_eq!(members.len(), 1, "{done}");
    assert_eq!((&members[0]["id"], &members[0]["role"]), (&json!("i1"), &json!("voter")));
    tier.run(&replace).await.expect_code(0);
    tier.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn time_line_merges_instances_in_order() {
    let mut tier = EmbeddedTier::start(2, 1).await;
    tier.wait_members().await;
    let page = tier.folder.path().join("timeline.html");
    let args = ["timeline", "--since", "1h", "--html", page.to_str().expect("path")];
    let run = tier.run(&args).await.expect_code(0);
    assert!(run.out.contains("instance_started"), "{run:?}");
    assert!(!run.err.contains("not reached"), "{run:?}");
    let text = fs::read_to_string(&page).expect("page");
    assert!(text.contains(">i0</text>") && text.contains(">i1</text>"), "one lane each");
    let all = tier.run(&["timeline", "--since", "1h", "--json"]).await.expect_code(0).json();
    let stamps: Vec<_> = all["events"].as_array().expect("events").iter().collect();
    let order = |event: &&serde_json::Value| {
        (event["stamp"]["wall"].as_u64(), event["stamp"]["logical"].as_u64())
    };
    assert!(stamps.is_sorted_by_key(order), "{all}");

    let unknown = RequestId::from_parts(figglade::WallTime::from_millis(1), [0; 10]).to_string();
    let none = tier.run(&["timeline", "--request", &unknown, "--json"]).await.expect_code(0);
    assert_eq!(none.json()["events"], json!([]));
    tier.stop(1).await;
    let status = tier.run(&["status", "--json"]).await.expect_code(0);
    assert_eq!(status.json()["status"]["instance"], "i0");
    tier.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn time_line_names_instances_that_do_not_answer() {
    let keys = tempfile::tempdir().expect("dir");
    let file = keys.path().join("operator.keys");
    fs::write(&file, "# operators\nan-operator-key-of-the-test\n").expect("file");
    let file = file.to_str().expect("path");
    // The second instance requires an operator key; the first does not.
    let tier = EmbeddedTier::start_with(2, 1, |number| match number {
        1 => format!("[keys]\noperator = \"{file}\"\n"),
        _ => String::new(),
    })
    .await;
    wait_until("both are known", async || {
        let run = tier.run(&["members", "--json"]).await;
        run.code == 0 && run.json()["members"].as_array().map(Vec::len) == Some(2)
    })
    .await;
    let page = keys.path().join("timeline.html");
    let args = ["timeline", "--since", "1h", "--html", page.to_str().expect("path")];
    let run = tier.run(&args).await.expect_code(0);
    assert!(run.err.contains("not reached: i1") && run.err.contains("401"), "{run:?}");
    assert!(fs::read_to_string(&page).expect("page").contains("not reached: i1"));
    let all = tier.run(&["timeline", "--since", "1h", "--json", "--key-file", file]).await;
    let all = all.expect_code(0);
    assert_eq!(all.json()["unreachable"], json!({}));
    let refused = tier.run_at(1, &["status"]).await.expect_code(1);
    assert!(refused.err.contains("key_missing"), "{refused:?}");
    assert!(!all.err.contains("an-operator-key"), "the key was printed");
    tier.close().await;
}
