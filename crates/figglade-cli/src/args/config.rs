//! Arguments of `figglade config`.

use std::{path::PathBuf, time::Duration};

use bpaf::{Bpaf, ShellComp};
use figglade::{
    ChangeId, ConfigVersion,
    controller::fleet::{FLEET_KEYS, FleetScope},
};

use super::{ConnectOptions, DurationArg, SettingArg, connect_options};

/// Commands of the fleet configuration.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigCommand {
    /// Shows the configuration in force
    #[bpaf(command("show"), footer("Example: figglade config show --json > fleet.json"))]
    Show {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
    },
    /// Checks a file without contact to the tier
    #[bpaf(command("check"), footer("Example: figglade config check fleet.toml"))]
    Check {
        /// Prints JSON instead of a sentence
        #[bpaf(long, switch)]
        json: bool,
        /// The file, in JSON where its name ends in .json, otherwise in TOML
        #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: None }))]
        file: PathBuf,
    },
    /// Replaces the configuration by that of a file
    #[bpaf(
        command("apply"),
        footer(
            "After a lost answer, repeat the command with the --change-id that it printed. \
             Example: figglade config apply fleet.toml"
        )
    )]
    Apply {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        #[bpaf(external(apply_options))]
        /// The change.
        apply: ApplyOptions,
    },
    /// Adds an exception, or replaces keys of an existing one
    #[bpaf(
        command("except"),
        footer(
            "Example: figglade config except --scope index:batch-ledger --set hedge_budget=0.05 \
             --reason 'harvest week'"
        )
    )]
    Except {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        #[bpaf(external(except_options))]
        /// The exception.
        except: ExceptOptions,
    },
    /// Lists the latest changes
    #[bpaf(command("history"), footer("Example: figglade config history"))]
    History {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
    },
    /// Waits until every live instance has a version in force
    #[bpaf(command("wait"), footer("Example: figglade config wait --version 12 --timeout 30s"))]
    Wait {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        #[bpaf(external(wait_options))]
        /// What to wait for.
        wait: WaitOptions,
    },
}

/// The change of the whole configuration.
#[derive(Clone, Debug, Bpaf)]
pub struct ApplyOptions {
    /// The version that the change is based on [default: that in the file, else the current one]
    #[bpaf(long, argument("VERSION"))]
    pub base_version: Option<ConfigVersion>,
    /// The id of the change; generated and printed if omitted
    #[bpaf(long, argument("ID"))]
    pub change_id: Option<ChangeId>,
    /// The file, in JSON where its name ends in .json, otherwise in TOML
    #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: None }))]
    pub file: PathBuf,
}

/// The exception to add.
#[derive(Clone, Debug, Bpaf)]
pub struct ExceptOptions {
    /// What it applies to: index:NAME, target:NAME, availability_zone:NAME or instance:NAME
    #[bpaf(
        long,
        argument::<String>("KIND:NAME"),
        complete(|given: &String| complete_scope(given)),
        parse(|text| text.parse::<FleetScope>())
    )]
    pub scope: FleetScope,
    /// A key and its value; may be repeated
    #[bpaf(
        long("set"),
        argument::<String>("KEY=VALUE"),
        complete(|given: &String| complete_setting(given)),
        parse(|text| text.parse::<SettingArg>()),
        some("--set is needed")
    )]
    pub settings: Vec<SettingArg>,
    /// Why the exception exists
    #[bpaf(long, argument("TEXT"))]
    pub reason: String,
}

/// What `config wait` waits for.
#[derive(Clone, Debug, Bpaf)]
pub struct WaitOptions {
    /// The version to wait for [default: the current one]
    #[bpaf(long, argument("VERSION"))]
    pub version: Option<ConfigVersion>,
    /// The maximum time to wait, such as 30s or 2m
    #[bpaf(
        long,
        argument("AGE"),
        fallback(DurationArg(Duration::from_secs(30))),
        display_fallback
    )]
    pub timeout: DurationArg,
}

/// A shell completion and its description.
type Completion = (String, Option<String>);

/// Returns the scope kinds that start with `given`.
fn complete_scope(given: &str) -> Vec<Completion> {
    let kinds = ["index:", "target:", "availability_zone:", "instance:"];
    let matching = kinds.iter().filter(|kind| kind.starts_with(given));
    matching.map(|kind| (kind.to_string(), None)).collect()
}

/// Returns the fleet keys that start with `given`, with their meaning.
fn complete_setting(given: &str) -> Vec<Completion> {
    let matching = FLEET_KEYS.iter().filter(|key| key.name.starts_with(given));
    matching.map(|key| (format!("{}=", key.name), Some(key.meaning.to_owned()))).collect()
}
