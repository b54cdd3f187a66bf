//! Tests of `figglade explain`.

mod support;

use std::fs;

use figglade_cli::explain::{ExplainLine, select_lines};
use support::run_cli;

fn line(time: &str, text: &str) -> ExplainLine {
    ExplainLine { time: time.to_owned(), file: "edge.log".to_owned(), text: text.to_owned() }
}

const ENDED: &str = r#"{"msg":"relay: a request ended","request":"r1","attempts":"first at 0 ms to i-7 (local): lost after 3 ms; retry at 3 ms to i-8 (remote): open"}"#;

#[test]
fn request_is_shown_with_its_targets_and_earlier_state_changes() {
    let drained = r#"{"msg":"relay: a target changed","target":"i-7","phase":"draining"}"#;
    let other = r#"{"msg":"relay: a target changed","target":"i-9","phase":"gone"}"#;
    let in_force = r#"{"msg":"relay: a route set is in force","version":"7"}"#;
    let later = r#"{"msg":"relay: a route set is in force","version":"8"}"#;
    let another = r#"{"msg":"relay: a request ended","request":"r2","attempts":""}"#;
    let lines = vec![
        line("05", later),
        line("04", ENDED),
        line("03", another),
        line("02", drained),
        line("02", other),
        line("01", in_force),
        line("00", "not a JSON line"),
    ];
    let chosen = select_lines(lines.clone(), "r1");
    let texts: Vec<_> = chosen.iter().map(|line| line.text.as_str()).collect();
    assert_eq!(texts, [in_force, drained, ENDED]);
    assert!(select_lines(lines, "r3").is_empty());
}

#[tokio::test]
async fn command_reads_files_and_reports_a_missing_request() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("edge.log");
    let stamped = ENDED.replacen('{', r#"{"ts":"2026-12-04T12:00:00Z","#, 1);
    fs::write(&path, format!("  36.3120 edge-1 {stamped}\n")).unwrap();
    let file = path.to_str().unwrap();
    let found = run_cli(&["explain", "--log", file, "r1"]).await;
    assert_eq!(found.code, 0, "{found:?}");
    assert!(found.out.contains("i-7"), "{found:?}");
    let missing = run_cli(&["explain", "--log", file, "r9"]).await;
    assert_ne!(missing.code, 0);
    assert!(missing.err.contains("r9"), "{missing:?}");
}
