//! The `figglade` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    figglade_cli::run_process()
}
