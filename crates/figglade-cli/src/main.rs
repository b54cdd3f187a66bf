//! The command line of the figglade query tier.

mod try_tier;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Operates a figglade query tier.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum CliCommand {
    /// Starts an embedded tier with stand-in targets and runs a search, a lookup and an action.
    #[bpaf(command("try"))]
    Try,
}

/// The exit code of a command that was refused or failed.
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let command = cli_command().run();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("figglade: cannot start: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let ended = runtime.block_on(async {
        match command {
            CliCommand::Try => try_tier::run_try().await,
        }
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("figglade: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
