//! The binary `figglade`.

use std::process::ExitCode;

fn main() -> ExitCode {
    figglade_cli::run_process()
}
