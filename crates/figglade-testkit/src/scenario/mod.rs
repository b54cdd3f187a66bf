//! Runs scenario files: scripts of commands against real instances, with what each must print.
//!
//! A command prints only facts that every correct run shares, such as outcomes, coverage and
//! counts; it waits for states and never for a time.

mod arguments;
mod background;
mod callers;
mod error;
mod lifecycle;
mod links;
mod operators;
mod targets;
mod world;

use std::path::{Path, PathBuf};

use datadriven::TestCase;

pub use self::error::ScenarioError;
use self::world::ScenarioWorld;

/// Runs the scenario file at `path` with the daemon `program`.
///
/// # Panics
///
/// Panics when the file cannot be read or a command prints something else than the file says.
pub fn run_scenario(path: &Path, program: &Path) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime starts");
    let name = path.to_string_lossy().into_owned();
    datadriven::walk(&name, |file| {
        let mut runner = ScenarioRunner::new(program.to_owned());
        file.run(|case| runtime.block_on(runner.run_command(case)));
        runtime.block_on(runner.close());
    });
}

/// Runs the commands of one file.
struct ScenarioRunner {
    world: ScenarioWorld,
    /// The first failure; later commands would only show what follows from it.
    failure: Option<String>,
}

impl ScenarioRunner {
    fn new(program: PathBuf) -> Self {
        Self { world: ScenarioWorld::new(program), failure: None }
    }

    /// Runs one command and returns what it prints.
    async fn run_command(&mut self, case: &mut TestCase) -> Result<String, ScenarioError> {
        if let Some(first) = &self.failure {
            return Err(ScenarioError::Skipped { first: first.clone() });
        }
        let directive = case.directive.clone();
        let ended = self.dispatch(&directive, case).await;
        let ended = ended.and_then(|output| {
            case.expect_empty()?;
            Ok(output)
        });
        if let Err(error) = &ended {
            let text = format!("{directive}: {error}");
            self.failure = Some(format!("{text}\n{}", self.world.recent_logs()));
            return Err(ScenarioError::Skipped { first: self.failure.clone().unwrap_or(text) });
        }
        ended
    }

    async fn dispatch(
        &mut self,
        directive: &str,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let world = &mut self.world;
        match directive {
            "start" => world.start_instances(case).await,
            "launch" => world.launch_instances(case),
            "restart" => world.restart_instances(case).await,
            "kill" => world.kill_instances(case).await,
            "freeze" => world.freeze_instances(case).await,
            "unfreeze" => world.unfreeze_instances(case).await,
            "terminate" => world.terminate_instance(case).await,
            "erase" => world.erase_disk(case),
            "cut" => world.cut_instances(case),
            "heal" => world.heal_links(),
            "wait" => world.wait_state(case).await,
            "index" => world.start_index(case).await,
            "fault" => world.set_fault(case),
            "drain" => world.drain_target(case).await,
            "kill-target" => world.kill_target(case).await,
            "flip" => world.flip_version(case),
            "repartition" => world.repartition_index(case),
            "searches" => world.count_searches(case).await,
            "query" => world.run_query(case).await,
            "lookup" => world.run_lookup(case).await,
            "action" => world.run_actions(case).await,
            "ran" => world.count_runs(case),
            "put-config" => world.put_configs(case).await,
            "race-config" => world.race_configs(case).await,
            "config" => world.show_config(case).await,
            "member" => world.change_member(case).await,
            "load" => world.control_load(case).await,
            other => Err(ScenarioError::usage(format!("unknown command {other}"))),
        }
    }

    async fn close(self) {
        self.world.close().await;
    }
}
