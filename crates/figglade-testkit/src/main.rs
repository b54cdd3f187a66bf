//! Runs the stand-in targets of a settings file until it is told to stop.
use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use derive_more::{Display, Error, From};
use figglade_testkit::stand_in::{FleetSettings, SettingsError, StandIn, StandInError};
use serde_json::json;
use tokio::{
    signal::unix::{SignalKind, signal},
    task::JoinSet,
};

/// Runs stand-in targets for tests of figglade.
///
/// Prints one JSON line with the addresses of each target. SIGTERM drains all targets and ends
/// the process.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct StandInOptions {
    /// The TOML file with one target, or several under `[[targets]]`
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

/// The reason the program failed.
#[derive(Debug, Display, Error, From)]
enum ProgramError {
    /// The file could not be read.
    #[display("reading {path} failed: {source}")]
    #[from(ignore)]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The settings were refused.
    #[display("{_0}")]
    Settings(SettingsError),
    /// A target did not start.
    #[display("{_0}")]
    Target(StandInError),
    /// The signal could not be watched.
    #[display("watching for SIGTERM failed: {_0}")]
    Signal(std::io::Error),
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = stand_in_options().run();
    match run_targets(options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stand-in: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs every target until SIGTERM, then drains them all.
async fn run_targets(options: StandInOptions) -> Result<(), ProgramError> {
    let path = options.settings;
    let text = std::fs::read_to_string(&path)
        .map_err(|source| ProgramError::Read { path: path.display().to_string(), source })?;
    let fleet = FleetSettings::parse(&text)?;
    let mut terminated = signal(SignalKind::terminate())?;
    let mut targets = Vec::new();
    for settings in fleet.targets {
        targets.push(start_target(settings).await?);
    }
    terminated.recv().await;
    drain_targets(targets).await;
    Ok(())
}

/// Starts one target and prints its addresses.
async fn start_target(
    settings: figglade_testkit::StandInSettings,
) -> Result<StandIn, StandInError> {
    let target_id = settings.target_id.clone();
    let target = StandIn::start(settings).await?;
    let line = json!({
        "target_id": target_id,
        "address": target.address(),
        "control_address": target.control_address(),
    });
    println!("{line}");
    Ok(target)
}

/// Drains all targets side by side.
async fn drain_targets(targets: Vec<StandIn>) {
    let mut drains = JoinSet::new();
    for target in targets {
        drains.spawn(async move {
            target.control().drain().await;
            target.close().await;
        });
    }
    while drains.join_next().await.is_some() {}
}
