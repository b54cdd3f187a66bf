//! The daemon: runs one instance until it receives SIGTERM or SIGINT.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use figgladed::{logs::build_logger, runtime::InstanceRuntime, settings::InstanceSettings};
use tokio::signal::unix::{SignalKind, signal};

/// Runs one instance of the figglade query tier.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct DaemonOptions {
    /// The settings file of the instance.
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Only checks the settings and the key files.
    check: bool,
}

fn main() -> ExitCode {
    let options = daemon_options().run();
    match run_daemon(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("figgladed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_daemon(options: &DaemonOptions) -> Result<(), Box<dyn std::error::Error>> {
    let settings = InstanceSettings::from_file(&options.settings)?;
    if options.check {
        figgladed::settings::LoadedKeys::load(&settings)?;
        println!("{}: settings are valid", options.settings.display());
        return Ok(());
    }
    let (log, guard) = build_logger(&settings.log);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.limits.worker_threads)
        .enable_all()
        .build()?;
    let result = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let instance = InstanceRuntime::start(settings, log).await?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        instance.close().await;
        Ok(())
    });
    drop(guard);
    result
}
