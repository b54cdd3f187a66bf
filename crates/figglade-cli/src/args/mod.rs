//! Command-line arguments.

mod config;
mod control;
mod request;
mod value;

use std::{net::SocketAddr, path::PathBuf};

use bpaf::{Bpaf, ShellComp};
use figglade::IndexName;

use self::{
    config::config_command,
    control::control_command,
    request::{action_options, lookup_options, query_options, timeline_options},
};
pub use self::{
    config::{ApplyOptions, ConfigCommand, ExceptOptions, WaitOptions},
    control::ControlCommand,
    request::{ActionOptions, LookupOptions, QueryOptions, TimelineOptions},
    value::{DurationArg, DurationArgError, SettingArg, SettingArgError},
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
    /// Reads the record with the given key
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
    /// Lists the known targets
    #[bpaf(command("targets"), footer("Example: figglade targets --index register-portal"))]
    Targets {
        #[bpaf(external(connect_options))]
        /// Where the tier is.
        connect: ConnectOptions,
        /// Lists only the targets that serve this index
        #[bpaf(argument("INDEX"))]
        index: Option<IndexName>,
    },
    /// Lists the known instances and the control group
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
    /// Shows the log lines of one request and of the state changes before it
    #[bpaf(
        command("explain"),
        footer("Example: figglade explain --log edge-1.log --log hub-1.log 94189e891099f52c")
    )]
    Explain {
        /// A log file of a process; may be repeated
        #[bpaf(
            long,
            argument("FILE"),
            some("--log is needed"),
            complete_shell(ShellComp::File { mask: None })
        )]
        log: Vec<PathBuf>,
        /// The id of the request
        #[bpaf(positional("REQUEST_ID"))]
        request: String,
    },
}

/// The connection and the output format.
#[derive(Clone, Debug, Default, Bpaf)]
pub struct ConnectOptions {
    /// An instance; may be repeated, instances are tried in order [default: 127.0.0.1:7001]
    #[bpaf(long, argument("IP:PORT"))]
    pub addr: Vec<SocketAddr>,
    /// The file with the key to send
    #[bpaf(long, argument("FILE"), complete_shell(ShellComp::File { mask: None }))]
    pub key_file: Option<PathBuf>,
    /// Prints JSON instead of tables
    #[bpaf(long, switch)]
    pub json: bool,
}
