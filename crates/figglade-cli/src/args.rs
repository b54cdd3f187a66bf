//! The arguments of every command.

use std::{net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use bpaf::{Bpaf, ShellComp};
use derive_more::{Display, Error};
use figglade::{
    ChangeId, ConfigVersion, IndexName, InstanceId, RequestId,
    controller::{
        fleet::{FLEET_KEYS, FleetScope},
        quorum::StorageId,
    },
};

/// Operates a figglade query tier.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer("Exit codes: 0 done, 1 refused or failed, 2 usage."))]
pub enum CliCommand {
    /// Starts an embedded tier with stand-in targets and runs a search, a lookup and an action
    #[bpaf(command("try"))]
    Try,
    /// Searches every shard of an index
    #[bpaf(
        command("query"),
        footer("Example: figglade query --index register-portal '{\"text\":\"indigo\"}'")
    )]
    Query {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        #[bpaf(external(query_options))]
        /// The search.
        query: QueryOptions,
    },
    /// Reads the record that a key names
    #[bpaf(
        command("lookup"),
        footer("Example: figglade lookup --index register-portal register-portal-7")
    )]
    Lookup {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        #[bpaf(external(lookup_options))]
        /// The lookup.
        lookup: LookupOptions,
    },
    /// Runs an action at most once
    #[bpaf(
        command("action"),
        footer(
            "After a lost answer, repeat the command with the --request-id that it printed. \
             Example: figglade action --index certificate-desk --key sett-7 '{\"draft\":\"certificate\"}'"
        )
    )]
    Action {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        #[bpaf(external(action_options))]
        /// The action.
        action: ActionOptions,
    },
    /// Shows what is wrong and what to do next
    #[bpaf(command("status"), footer("Example: figglade status --addr 10.0.0.1:7001"))]
    Status {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
    },
    /// Lists the targets known
    #[bpaf(command("targets"), footer("Example: figglade targets --index register-portal"))]
    Targets {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        /// Lists only the targets that serve this index
        #[bpaf(argument("INDEX"))]
        index: Option<IndexName>,
    },
    /// Lists the instances known and the control group
    #[bpaf(command("members"), footer("Example: figglade members --json"))]
    Members {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
    },
    /// Shows the events of all reachable instances in causal order
    #[bpaf(
        command("timeline"),
        footer("Example: figglade timeline --since 5m --html timeline.html")
    )]
    Timeline {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        #[bpaf(external(timeline_options))]
        /// The events.
        timeline: TimelineOptions,
    },
    /// Shows and changes the fleet configuration
    #[bpaf(command("config"))]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Changes the members of the control group
    #[bpaf(command("control"))]
    Control(#[bpaf(external(control_command))] ControlCommand),
}

/// Where the tier is and how its answers are shown.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct ConnectOptions {
    /// An instance; repeat it to have others tried in turn [default: 127.0.0.1:7001]
    #[bpaf(long, argument("IP:PORT"))]
    pub addr: Vec<SocketAddr>,
    /// The file with the key to send
    #[bpaf(long, argument("FILE"), complete_shell(ShellComp::File { mask: None }))]
    pub key_file: Option<PathBuf>,
    /// Prints JSON instead of tables
    #[bpaf(long, switch)]
    pub json: bool,
}

/// A search.
#[derive(Clone, Debug, Bpaf)]
pub struct QueryOptions {
    /// The index to search
    #[bpaf(long, argument("INDEX"))]
    pub index: IndexName,
    /// The largest number of hits
    #[bpaf(long, argument("N"), fallback(10), display_fallback)]
    pub limit: u32,
    /// The time to wait for the answer, in milliseconds
    #[bpaf(long, argument("MS"), fallback(2_000), display_fallback)]
    pub deadline_ms: u64,
    /// The smallest accepted share of the documents, from 0 to 1
    #[bpaf(long, argument("FRACTION"))]
    pub min_coverage: Option<f64>,
    /// The identifier of the request
    #[bpaf(long, argument("UUID"))]
    pub request_id: Option<RequestId>,
    /// The query, in JSON
    #[bpaf(positional("QUERY"))]
    pub query: String,
}

/// A lookup.
#[derive(Clone, Debug, Bpaf)]
pub struct LookupOptions {
    /// The index to read
    #[bpaf(long, argument("INDEX"))]
    pub index: IndexName,
    /// The time to wait for the answer, in milliseconds
    #[bpaf(long, argument("MS"), fallback(2_000), display_fallback)]
    pub deadline_ms: u64,
    /// The identifier of the request
    #[bpaf(long, argument("UUID"))]
    pub request_id: Option<RequestId>,
    /// The key of the record
    #[bpaf(positional("KEY"))]
    pub key: String,
}

/// An action.
#[derive(Clone, Debug, Bpaf)]
pub struct ActionOptions {
    /// The index whose targets run the action
    #[bpaf(long, argument("INDEX"))]
    pub index: IndexName,
    /// The key that chooses the shard
    #[bpaf(long, argument("KEY"))]
    pub key: String,
    /// The time to wait for the answer, in milliseconds
    #[bpaf(long, argument("MS"), fallback(5_000), display_fallback)]
    pub deadline_ms: u64,
    /// The identifier of the request, a version 7 UUID; made and printed where it is left out
    #[bpaf(long, argument("UUID"))]
    pub request_id: Option<RequestId>,
    /// The body, in JSON
    #[bpaf(positional("BODY"))]
    pub body: String,
}

/// Selects events.
#[derive(Clone, Debug, Bpaf)]
pub struct TimelineOptions {
    /// How far back the events go, such as 30s, 5m or 2h
    #[bpaf(long, argument("AGE"), fallback(SpanArg(Duration::from_secs(300))), display_fallback)]
    pub since: SpanArg,
    /// Shows only the events of this request
    #[bpaf(long, argument("UUID"))]
    pub request: Option<RequestId>,
    /// Writes a page with a lane for each instance
    #[bpaf(long, argument("FILE"), complete_shell(ShellComp::File { mask: Some("*.html") }))]
    pub html: Option<PathBuf>,
}

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
    /// Adds an exception, or replaces its keys
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

/// A change of the whole configuration.
#[derive(Clone, Debug, Bpaf)]
pub struct ApplyOptions {
    /// The version that the change starts from [default: that in the file, else the current one]
    #[bpaf(long, argument("VERSION"))]
    pub base_version: Option<ConfigVersion>,
    /// The name of the change; made and printed where it is left out
    #[bpaf(long, argument("ID"))]
    pub change_id: Option<ChangeId>,
    /// The file, in JSON where its name ends in .json, otherwise in TOML
    #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: None }))]
    pub file: PathBuf,
}

/// One exception.
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
    /// The longest wait, such as 30s or 2m
    #[bpaf(long, argument("AGE"), fallback(SpanArg(Duration::from_secs(30))), display_fallback)]
    pub timeout: SpanArg,
}

/// Commands of the control group. Each may be interrupted and repeated.
#[derive(Clone, Debug, Bpaf)]
pub enum ControlCommand {
    /// Adds an instance as a learner, which receives the log and does not vote
    #[bpaf(command("add"), footer("Example: figglade control add i4 10.0.0.4:7101"))]
    Add {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        /// The identity of its data folder, where known
        #[bpaf(long, argument("UUID"))]
        storage: Option<StorageId>,
        /// The instance
        #[bpaf(positional("ID"))]
        id: InstanceId,
        /// Where it listens for peers
        #[bpaf(positional("PEER"))]
        peer: SocketAddr,
    },
    /// Waits until a learner has caught up and makes it a voter
    #[bpaf(command("promote"), footer("Example: figglade control promote i4"))]
    Promote {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        /// The longest wait, such as 30s or 10m
        #[bpaf(long, argument("AGE"), fallback(DEFAULT_CATCH_UP), display_fallback)]
        timeout: SpanArg,
        /// The instance
        #[bpaf(positional("ID"))]
        id: InstanceId,
    },
    /// Removes a member
    #[bpaf(command("remove"), footer("Example: figglade control remove i2"))]
    Remove {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        /// The longest wait, such as 30s or 10m
        #[bpaf(long, argument("AGE"), fallback(DEFAULT_CATCH_UP), display_fallback)]
        timeout: SpanArg,
        /// The instance
        #[bpaf(positional("ID"))]
        id: InstanceId,
    },
    /// Adds NEW, waits until it has caught up, promotes it and removes OLD
    #[bpaf(command("replace"), footer("Example: figglade control replace i2 i4 10.0.0.4:7101"))]
    Replace {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        /// The longest wait of the whole command, such as 30s or 10m
        #[bpaf(long, argument("AGE"), fallback(DEFAULT_CATCH_UP), display_fallback)]
        timeout: SpanArg,
        /// The member that goes
        #[bpaf(positional("OLD"))]
        old: InstanceId,
        /// The instance that comes
        #[bpaf(positional("NEW"))]
        new: InstanceId,
        /// Where the new one listens for peers
        #[bpaf(positional("PEER"))]
        peer: SocketAddr,
    },
}

/// How long a learner may take to catch up unless told otherwise.
const DEFAULT_CATCH_UP: SpanArg = SpanArg(Duration::from_secs(600));

/// A length of time in an argument, such as `500ms`, `30s`, `5m`, `2h` or `1d`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpanArg(pub Duration);

impl std::fmt::Display for SpanArg {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let millis = self.0.as_millis();
        let unit =
            SPAN_UNITS.iter().rev().find(|(_, size)| millis.is_multiple_of(u128::from(*size)));
        let (name, size) = unit.copied().unwrap_or(SPAN_UNITS[0]);
        write!(f, "{}{name}", millis / u128::from(size))
    }
}

/// The text is not a length of time.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("expected a whole number with ms, s, m, h or d, such as 5m, at most {MAX_SPAN_DAYS}d")]
pub struct SpanError;

/// The units of a span and their sizes in milliseconds, smallest first.
const SPAN_UNITS: [(&str, u64); 5] =
    [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000), ("d", 86_400_000)];

/// The longest span, in days.
const MAX_SPAN_DAYS: u64 = 366;

impl FromStr for SpanArg {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.find(|c: char| !c.is_ascii_digit()).ok_or(SpanError)?;
        let (number, unit) = text.split_at(digits);
        let number: u64 = number.parse().map_err(|_| SpanError)?;
        let (_, size) = SPAN_UNITS.iter().find(|(name, _)| *name == unit).ok_or(SpanError)?;
        let millis = number.checked_mul(*size).ok_or(SpanError)?;
        let longest = MAX_SPAN_DAYS * SPAN_UNITS[4].1;
        if millis > longest { Err(SpanError) } else { Ok(Self(Duration::from_millis(millis))) }
    }
}

/// One `KEY=VALUE` of an exception.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingArg {
    /// The fleet key.
    pub key: String,
    /// The value; text that is not a JSON number counts as a word.
    pub value: serde_json::Value,
}

/// The text has no `=`.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("expected KEY=VALUE, such as hedge_budget=0.05")]
pub struct SettingArgError;

impl FromStr for SettingArg {
    type Err = SettingArgError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (key, value) = text.split_once('=').ok_or(SettingArgError)?;
        if key.is_empty() {
            return Err(SettingArgError);
        }
        let number = serde_json::from_str::<serde_json::Number>(value).ok();
        let value = number.map_or_else(|| value.into(), serde_json::Value::Number);
        Ok(Self { key: key.to_owned(), value })
    }
}

/// A completion and what it means.
type Completion = (String, Option<String>);

/// Completes the kinds of a scope.
fn complete_scope(given: &str) -> Vec<Completion> {
    let kinds = ["index:", "target:", "availability_zone:", "instance:"];
    let matching = kinds.iter().filter(|kind| kind.starts_with(given));
    matching.map(|kind| (kind.to_string(), None)).collect()
}

/// Completes the names of fleet keys.
fn complete_setting(given: &str) -> Vec<Completion> {
    let matching = FLEET_KEYS.iter().filter(|key| key.name.starts_with(given));
    matching.map(|key| (format!("{}=", key.name), Some(key.meaning.to_owned()))).collect()
}
