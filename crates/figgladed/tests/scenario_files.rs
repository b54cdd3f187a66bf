//! Runs every scenario file against real instances.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
    sync::{Condvar, Mutex},
};

use figglade_testkit::run_scenario;

/// The maximum number of scenarios that run at the same time, each with its own processes.
const MAX_RUNNING: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// A permit to run one scenario, released on drop.
struct RunPermit;

impl RunPermit {
    fn acquire() -> Self {
        let running = RUNNING.lock().expect("no holder panics while it counts");
        let mut running =
            ENDED.wait_while(running, |running| *running >= MAX_RUNNING).expect("as above");
        *running += 1;
        Self
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        *RUNNING.lock().expect("no holder panics while it counts") -= 1;
        ENDED.notify_one();
    }
}

fn scenario_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios")
}

fn run_file(name: &str) {
    let _permit = RunPermit::acquire();
    let program = Path::new(env!("CARGO_BIN_EXE_figgladed"));
    run_scenario(&scenario_dir().join(name), program);
}

/// Defines one test per scenario file, so that the scenarios run concurrently and a failure names
/// the scenario.
macro_rules! scenario_tests {
    ($($name:ident)*) => {
        const NAMES: &[&str] = &[$(stringify!($name)),*];

        $(
            #[test]
            fn $name() {
                run_file(stringify!($name));
            }
        )*
    };
}

scenario_tests! {
    snapshot_version_flip_with_stalled_replica
    snapshot_repartition
    coverage_lost_shard
    coverage_outlives_every_instance
    answers_wrong_late_and_doubled
    answers_stalled_replica
    not_run_recorded_refusal
    once_resent_after_kill
    once_raced_at_three_instances
    once_leader_lost
    once_unknown_is_never_rerun
    target_drain
    target_drain_during_planned_stop
    stop_under_load
    config_race_of_operators
    config_race_with_cut_member
    config_frozen_member
    config_resend_after_lost_answer
    config_restart_after_many_changes
    config_second_loss_after_repair
    config_erased_disk
}

#[test]
fn every_file_is_a_test() {
    let entries = fs::read_dir(scenario_dir()).expect("the folder of scenarios");
    let files: BTreeSet<String> = entries
        .map(|entry| entry.expect("an entry").file_name().to_string_lossy().into_owned())
        .collect();
    let tests: BTreeSet<String> = NAMES.iter().map(|name| (*name).to_owned()).collect();
    assert_eq!(files, tests);
}
