//! The command line of the figglade query tier.
//!
//! Each family of commands is a module: requests, views, configuration, control group, time
//! line, log files.
//! They use the published HTTP interface through [`client::OperatorClient`] and leave every decision
//! to the tier.

pub mod args;
pub mod client;
pub mod config;
pub mod control;
pub mod error;
pub mod explain;
pub mod output;
pub mod reply;
pub mod request;
pub mod status;
pub mod timeline;
pub mod try_tier;
pub mod view;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

use self::{
    args::{CliCommand, ConfigCommand, cli_command},
    error::CliError,
};

/// The exit code of a command that was refused or failed.
pub const EXIT_FAILED: u8 = 1;
/// The exit code of a command line that cannot be parsed.
pub const EXIT_USAGE: u8 = 2;
/// The maximum width of help lines, in columns.
const HELP_WIDTH: usize = 100;

/// Parses the arguments of this process and runs the command.
pub fn run_process() -> ExitCode {
    let command = match cli_command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return report_usage(&failure),
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("figglade: cannot start: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    match runtime.block_on(run_command(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("figglade: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Prints help, completions or a usage error and returns the matching exit code.
fn report_usage(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(EXIT_USAGE),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}

/// Runs one command.
///
/// # Errors
///
/// Fails when the command is refused or cannot be carried out.
pub async fn run_command(command: CliCommand) -> Result<(), CliError> {
    match command {
        CliCommand::Try => Ok(try_tier::run_try().await?),
        CliCommand::Query { query, connect } => request::run_query(query, connect).await,
        CliCommand::Lookup { lookup, connect } => request::run_lookup(lookup, connect).await,
        CliCommand::Action { action, connect } => request::run_action(action, connect).await,
        CliCommand::Status { connect } => status::show_status(connect).await,
        CliCommand::Targets { index, connect } => view::show_targets(index, connect).await,
        CliCommand::Members { connect } => view::show_members(connect).await,
        CliCommand::Timeline { timeline, connect } => {
            timeline::show_timeline(timeline, connect).await
        }
        CliCommand::Config(command) => run_config(command).await,
        CliCommand::Control(command) => control::run_control(command).await,
        CliCommand::Explain { log, request } => explain::explain_request(&log, &request),
    }
}

/// Runs a `figglade config` command.
async fn run_config(command: ConfigCommand) -> Result<(), CliError> {
    match command {
        ConfigCommand::Show { connect } => config::show_config(connect).await,
        ConfigCommand::Check { json, file } => config::check_file(&file, json),
        ConfigCommand::Apply { connect, apply } => config::apply_file(apply, connect).await,
        ConfigCommand::Except { connect, except } => config::add_exception(except, connect).await,
        ConfigCommand::History { connect } => config::show_history(connect).await,
        ConfigCommand::Wait { connect, wait } => config::wait_config(wait, connect).await,
    }
}
