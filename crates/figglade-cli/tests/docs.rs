//! Checks that the documentation matches the code.

mod support;

use std::{collections::BTreeSet, fmt::Write, fs, path::Path};

use figglade::controller::fleet::{FLEET_KEYS, FleetKey};
use figglade_cli::config::read_draft;
use figgladed::settings::InstanceSettings;
use serde_json::Value;

const BEGIN: &str = "<!-- fleet keys: begin -->\n";
const END: &str = "<!-- fleet keys: end -->";
/// The smallest settings that the daemon accepts.
const MINIMAL_SETTINGS: &str = "[instance]\nid = \"a\"\navailability_zone = \"z\"\n\
                        [listen]\nhttp = \"127.0.0.1:1\"\npeer = \"127.0.0.1:2\"\n";
/// If this variable is set, the test writes the table of fleet keys into the page.
const WRITE_VARIABLE: &str = "FIGGLADE_WRITE_DOCS";

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn read_page(name: &str) -> String {
    fs::read_to_string(root().join(name)).expect("page")
}

/// Returns the first block of code in `language` that contains `part`.
fn find_block<'a>(page: &'a str, language: &str, part: &str) -> &'a str {
    let fence = format!("```{language}\n");
    let blocks = page.split(fence.as_str()).skip(1).filter_map(|rest| rest.split("```").next());
    blocks.into_iter().find(|block| block.contains(part)).expect("block")
}

fn render_keys() -> String {
    let mut table = String::from(
        "| Key | Default | Allowed | Meaning | In exceptions |\n|---|---|---|---|---|\n",
    );
    let show = |key: &FleetKey| match key.default_value() {
        Value::String(word) => word,
        number => number.to_string(),
    };
    for key in FLEET_KEYS {
        let (name, allowed, meaning) = (key.name, key.allowed(), key.meaning);
        let excepted = if key.in_exceptions { "yes" } else { "no" };
        let default = show(key);
        writeln!(table, "| `{name}` | {default} | {allowed} | {meaning} | {excepted} |")
            .expect("text grows");
    }
    table
}

#[test]
fn table_of_fleet_keys_is_that_of_the_code() {
    let page = read_page("docs/OPERATORS.md");
    let (before, rest) = page.split_once(BEGIN).expect("begin");
    let (shown, after) = rest.split_once(END).expect("end");
    let expected = render_keys();
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        let page = format!("{before}{BEGIN}{expected}{END}{after}");
        fs::write(root().join("docs/OPERATORS.md"), page).expect("page");
        return;
    }
    assert_eq!(shown, expected, "run this test with {WRITE_VARIABLE}=1");
}

#[test]
fn examples_of_files_are_accepted() {
    let page = read_page("docs/OPERATORS.md");
    let settings = find_block(&page, "toml", "[instance]");
    let settings = InstanceSettings::from_text(settings, Path::new("docs/OPERATORS.md"));
    assert_eq!(settings.expect("settings").control.members.len(), 3);
    let dir = tempfile::tempdir().expect("dir");
    let path = dir.path().join("fleet.toml");
    fs::write(&path, find_block(&page, "toml", "[[exceptions]]")).expect("file");
    assert_eq!(read_draft(&path).expect("document").exceptions.len(), 1);
}

#[test]
fn settings_table_names_every_key_that_the_daemon_knows() {
    let page = read_page("docs/OPERATORS.md");
    for table in ["instance", "listen", "peers", "control", "keys", "log", "limits"] {
        // For an unknown key the daemon reports the known keys of the table.
        let header = format!("[{table}]\n");
        let text = match MINIMAL_SETTINGS.contains(&header) {
            true => MINIMAL_SETTINGS.replace(&header, &format!("{header}nothing = 1\n")),
            false => format!("{MINIMAL_SETTINGS}{header}nothing = 1\n"),
        };
        let error = InstanceSettings::from_text(&text, Path::new("test")).expect_err("unknown key");
        let message = error.to_string();
        let (_, known) = message.split_once("allowed here: ").expect("list of keys");
        for key in known.split(", ") {
            assert!(page.contains(&format!("`{table}.{key}`")), "{table}.{key} is not documented");
        }
    }
}

#[tokio::test]
async fn every_documented_command_exists() {
    let mut commands = BTreeSet::new();
    for page in ["docs/OPERATORS.md", "README.md"] {
        for block in read_page(page).split("```sh\n").skip(1) {
            let lines = block.split("```").next().expect("block").lines();
            let named = lines.filter_map(|line| line.strip_prefix("figglade "));
            commands.extend(named.map(command_names));
        }
    }
    assert!(commands.len() >= 10, "{commands:?}");
    for command in commands {
        let mut args: Vec<_> = command.split(' ').collect();
        args.push("--help");
        let run = support::run_cli(&args).await.expect_code(0);
        assert!(run.out.contains(&format!("Usage: figglade {command}")), "{run:?}");
    }
}

/// Returns the names of a command without its arguments.
fn command_names(line: &str) -> String {
    let words: Vec<_> = line.split(' ').collect();
    let names = if matches!(words[0], "config" | "control") { 2 } else { 1 };
    words[..names].join(" ")
}

#[test]
fn links_between_pages_lead_to_files() {
    for page in
        ["README.md", "CONTRIBUTING.md", "docs/API.md", "docs/DESIGN.md", "docs/OPERATORS.md"]
    {
        let text = read_page(page);
        let folder = root().join(page).parent().expect("folder").to_owned();
        for link in text.split("](").skip(1).filter_map(|rest| rest.split(')').next()) {
            assert!(folder.join(link).is_file(), "{page} links to {link}");
        }
    }
}
