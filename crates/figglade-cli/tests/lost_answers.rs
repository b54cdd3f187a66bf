//! Commands whose answers are lost by a proxy.

mod support;

use std::fs;

use figglade_testkit::{FaultProxy, ProxyDirection, ProxyFault, RegisterData};
use support::{EmbeddedTier, run_cli, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn change_with_a_lost_answer_is_resent_with_the_same_id() {
    let tier = EmbeddedTier::start(1, 1).await;
    let proxy = FaultProxy::start(tier.http[0]).await.expect("proxy");
    // The proxy forwards every request and drops every answer.
    proxy.set_direction_fault(ProxyDirection::ToClient, ProxyFault::Truncate { bytes: 0 });
    let file = tier.folder.path().join("fleet.toml");
    fs::write(&file, "[defaults]\nmax_attempts = 4\n").expect("file");
    let file = file.to_str().expect("path");
    let (lossy, sound) = (proxy.address().to_string(), tier.http[0].to_string());
    let apply = ["config", "apply", "--addr", &lossy, file, "--base-version", "0"];
    let lost = run_cli(&apply).await.expect_code(1);
    let change = lost.err.lines().find_map(|line| line.strip_prefix("change_id: "));
    let change = change.expect("the change id is printed first");
    assert!(lost.err.contains(&format!("--change-id {change}")), "{lost:?}");
    assert!(proxy.accepted() > 1, "the change was resent");

    // The second address returns the outcome of the first attempt, although the current version has
    // changed since that attempt.
    let again = ["--change-id", change, "--json"];
    let apply =
        [&["config", "apply", "--addr", &lossy, "--addr", &sound, file][..], &again].concat();
    assert_eq!(run_cli(&apply).await.expect_code(0).json()["version"], 1);
    let history = tier.run(&["config", "history", "--json"]).await.expect_code(0).json();
    assert_eq!(history["history"].as_array().map(Vec::len), Some(1), "{history}");
    proxy.close().await;
    tier.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn action_with_a_lost_answer_runs_once() {
    let tier = EmbeddedTier::start(1, 1).await;
    let targets = tier.start_targets().await;
    let search = ["query", "--index", "register-portal", "--json", "{\"text\":\"indigo\"}"];
    wait_until("the search is complete", async || {
        let run = tier.run(&search).await;
        run.code == 0 && run.json()["complete"] == true
    })
    .await;
    let proxy = FaultProxy::start(tier.http[0]).await.expect("proxy");
    proxy.set_direction_fault(ProxyDirection::ToClient, ProxyFault::Truncate { bytes: 0 });
    let (lossy, sound) = (proxy.address().to_string(), tier.http[0].to_string());
    let key = RegisterData::record_key(&"register-portal".parse().expect("index"), 3);
    let action = ["action", "--addr", &lossy, "--addr", &sound, "--index", "register-portal"];
    let action = [&action[..], &["--key", &key, "--json", "{\"draft\":1}"]].concat();
    let run = run_cli(&action).await.expect_code(0);
    assert_eq!(run.json()["outcome"], "done");
    assert!(proxy.accepted() > 0, "the lossy address was tried first");
    let ran: usize = targets.iter().map(|target| target.control().ran_actions().len()).sum();
    assert_eq!(ran, 1);
    for target in targets {
        target.close().await;
    }
    proxy.close().await;
    tier.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replacement_completes_when_answers_are_lost() {
    let tier = EmbeddedTier::start(2, 1).await;
    tier.wait_members().await;
    let proxy = FaultProxy::start(tier.http[0]).await.expect("proxy");
    proxy.set_direction_fault(ProxyDirection::ToClient, ProxyFault::Truncate { bytes: 0 });
    let (lossy, sound) = (proxy.address().to_string(), tier.http[1].to_string());
    let peer = tier.peer[1].to_string();
    let replace = ["control", "replace", "--addr", &lossy, "--addr", &sound, "i0", "i1", &peer];
    let run = run_cli(&replace).await.expect_code(0);
    assert!(run.out.contains("i1 took the place of i0"), "{run:?}");
    let members = tier.run_at(1, &["members", "--json"]).await.expect_code(0).json();
    let group = members["control"]["members"].as_object().expect("group");
    assert_eq!(group.keys().collect::<Vec<_>>(), ["i1"]);
    assert!(proxy.accepted() > 0, "the lossy address was tried first");
    proxy.close().await;
    tier.close().await;
}
