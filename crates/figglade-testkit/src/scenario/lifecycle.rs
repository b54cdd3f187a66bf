//! Commands that start, stop, cut off and wait for instances.

use std::{path::Path, time::Duration};

use datadriven::TestCase;
use serde_json::Value;

use super::{
    ScenarioError,
    arguments::{take_instance, take_instances, take_patience},
    links::PeerSwitchboard,
    world::ScenarioWorld,
};
use crate::harness::{HarnessOptions, ProcessHarness};

/// The bound on starts and stops; it is reached only where something is broken.
const START_PATIENCE: Duration = Duration::from_secs(60);

/// The file with the key of the targets, in the folder of the run.
pub(super) const TARGET_KEY_FILE: &str = "target.key";

impl ScenarioWorld {
    /// `start instances=3 disks=3 [spare=1]`: starts instances; spare ones are prepared only.
    pub(super) async fn start_instances(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let count: usize = case.take_arg("instances")?;
        let disks = case.try_take_arg("disks")?.unwrap_or(count.min(3));
        let spare: usize = case.try_take_arg("spare")?.unwrap_or(0);
        let mut options = HarnessOptions::new(self.program.clone(), count);
        options.control_members = disks;
        let harness = ProcessHarness::prepare(options)?;
        // Targets of another run that announce to a reused port must be refused.
        let key_file = harness.dir().join(TARGET_KEY_FILE);
        std::fs::write(&key_file, format!("{:032x}\n", rand::random::<u128>()))?;
        let peers: Vec<_> = (0..count).map(|number| harness.peer_address(number)).collect();
        self.switchboard = PeerSwitchboard::start(&peers).await?;
        for number in 0..count {
            harness.edit_settings(number, |table| self.advertise_links(table, number))?;
            harness.edit_settings(number, |table| set_target_key(table, &key_file))?;
        }
        for number in count - spare..count {
            harness.edit_settings(number, |table| add_disk(table, &harness.data_dir(number)))?;
        }
        self.harness = Some(harness);
        for number in 0..count - spare {
            self.launch(number)?;
        }
        for number in 0..count - spare {
            self.harness()?.wait_ready(number, START_PATIENCE).await?;
        }
        Ok(String::new())
    }

    /// Replaces every peer address in a settings file by that of the switchboard.
    fn advertise_links(&self, table: &mut toml::Table, number: usize) {
        let addresses = self.switchboard.addresses();
        let text = |number: usize| toml::Value::from(addresses[number].to_string());
        if let Some(listen) = table.get_mut("listen").and_then(toml::Value::as_table_mut) {
            listen.insert("advertise_peer".to_owned(), text(number));
        }
        if let Some(peers) = table.get_mut("peers").and_then(toml::Value::as_table_mut) {
            let seeds = (0..addresses.len().min(3)).map(text).collect();
            peers.insert("seeds".to_owned(), toml::Value::Array(seeds));
        }
        let members = table
            .get_mut("control")
            .and_then(|control| control.get_mut("members"))
            .and_then(toml::Value::as_array_mut);
        for (position, member) in members.into_iter().flatten().enumerate() {
            if let Some(member) = member.as_table_mut() {
                member.insert("peer".to_owned(), text(position));
            }
        }
    }

    fn launch(&mut self, number: usize) -> Result<(), ScenarioError> {
        let harness = self.harness()?;
        harness.start_instance(number)?;
        let process = harness.process(number)?.pid();
        self.switchboard.note_process(number, process);
        Ok(())
    }

    /// `launch i1`: starts instances that do not run, without waiting for them.
    pub(super) fn launch_instances(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        for number in take_instances(case) {
            self.launch(number)?;
        }
        Ok(String::new())
    }

    /// `restart i1`: kills instances where they run, starts them and waits until they are ready.
    pub(super) async fn restart_instances(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let numbers = take_instances(case);
        for number in &numbers {
            if self.harness()?.process(*number).is_ok() {
                self.harness()?.kill(*number).await?;
            }
        }
        for number in &numbers {
            self.launch(*number)?;
        }
        for number in &numbers {
            self.harness()?.wait_ready(*number, START_PATIENCE).await?;
        }
        Ok(String::new())
    }

    /// `kill i1 i2`: SIGKILL.
    pub(super) async fn kill_instances(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        for number in take_instances(case) {
            self.harness()?.kill(number).await?;
        }
        Ok(String::new())
    }

    /// `freeze i1`: SIGSTOP.
    pub(super) async fn freeze_instances(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        for number in take_instances(case) {
            self.harness()?.freeze(number).await?;
        }
        Ok(String::new())
    }

    /// `unfreeze i1`: SIGCONT.
    pub(super) async fn unfreeze_instances(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        for number in take_instances(case) {
            self.harness()?.unfreeze(number).await?;
        }
        Ok(String::new())
    }

    /// `terminate i1`: a planned stop; prints the exit code.
    pub(super) async fn terminate_instance(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let number = take_instance(case)?;
        let status = self.harness()?.terminate(number, START_PATIENCE).await?;
        Ok(format!("exit={}\n", status.code().map_or("none".to_owned(), |code| code.to_string())))
    }

    /// `erase i1`: empties the data folder of an instance that does not run.
    pub(super) fn erase_disk(&mut self, case: &mut TestCase) -> Result<String, ScenarioError> {
        let number = take_instance(case)?;
        if self.harness()?.process(number).is_ok() {
            return Err(ScenarioError::usage("kill the instance before its disk is erased"));
        }
        self.harness()?.erase_data(number)?;
        Ok(String::new())
    }

    /// `cut i1`: cuts the instances off from all others; callers still reach them.
    pub(super) fn cut_instances(&mut self, case: &mut TestCase) -> Result<String, ScenarioError> {
        self.switchboard.cut(&take_instances(case));
        Ok(String::new())
    }

    /// `heal`: lets every peer link work again.
    pub(super) fn heal_links(&mut self) -> Result<String, ScenarioError> {
        self.switchboard.heal();
        Ok(String::new())
    }

    /// `wait i1 STATE [within=SECONDS]`: waits until each instance shows the state.
    ///
    /// The states are `ready`, `unready`, `config=VERSION`, `index=NAME version=VERSION`,
    /// `index=NAME uncovered`, `target=NAME state=STATE`, `leader` (an instance other than those
    /// named leads) and `voters=COUNT`.
    pub(super) async fn wait_state(
        &mut self,
        case: &mut TestCase,
    ) -> Result<String, ScenarioError> {
        let patience = take_patience(case)?;
        let numbers = take_instances(case);
        if case.take_flag("leader")? {
            return self.wait_leader(&numbers, patience).await;
        }
        let (path, what, wanted) = take_condition(case)?;
        for number in numbers {
            self.wait_page(number, path, &what, patience, &wanted).await?;
        }
        Ok(String::new())
    }

    /// Waits until an instance outside `others` says that it leads.
    async fn wait_leader(
        &mut self,
        others: &[usize],
        patience: Duration,
    ) -> Result<String, ScenarioError> {
        let deadline = tokio::time::Instant::now() + patience;
        let count = self.harness()?.instance_count();
        loop {
            for number in (0..count).filter(|number| !others.contains(number)) {
                let page = self.read_page(number, "/v1/operator/status").await?;
                if page["control"]["quorum"]["role"] == "leader" {
                    return Ok(String::new());
                }
            }
            if tokio::time::Instant::now() >= deadline {
                let what = "a leader".to_owned();
                let seen = "none".to_owned();
                return Err(ScenarioError::TimedOut { what, waited: patience, seen });
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
    }
}

/// Names the file with the key of the targets of this run.
fn set_target_key(table: &mut toml::Table, file: &Path) {
    let path = toml::Value::from(file.to_string_lossy().into_owned());
    let keys = toml::Table::from_iter([("target".to_owned(), path)]);
    table.insert("keys".to_owned(), toml::Value::Table(keys));
}

/// Gives a spare instance a disk, so that it can become a control member.
fn add_disk(table: &mut toml::Table, data_dir: &Path) {
    if let Some(instance) = table.get_mut("instance").and_then(toml::Value::as_table_mut) {
        let path = data_dir.to_string_lossy().into_owned();
        instance.insert("data_dir".to_owned(), toml::Value::from(path));
    }
}

/// The state of a page that is waited for.
type PageCondition = Box<dyn Fn(&Value) -> bool>;

/// Reads which state is waited for: the page, its name in failures, and the condition.
fn take_condition(
    case: &mut TestCase,
) -> Result<(&'static str, String, PageCondition), ScenarioError> {
    const STATUS: &str = "/v1/operator/status";
    if case.take_flag("ready")? {
        return Ok(("/v1/ready", "readiness".into(), Box::new(|page| page["ready"] == true)));
    }
    if case.take_flag("unready")? {
        return Ok(("/v1/ready", "a 503".into(), Box::new(|page| page["ready"] == false)));
    }
    if let Some(version) = case.try_take_arg::<u64>("config")? {
        let wanted = move |page: &Value| page["config"]["version"] == version;
        return Ok((STATUS, format!("configuration {version}"), Box::new(wanted)));
    }
    if let Some(index) = case.try_take_arg::<String>("index")? {
        let covered = !case.take_flag("uncovered")?;
        let version: Option<u64> = case.try_take_arg("version")?;
        let epoch: Option<u64> = case.try_take_arg("epoch")?;
        let wanted = move |page: &Value| {
            let rows = page["indexes"].as_array();
            rows.into_iter().flatten().any(|row| {
                row["index"] == index.as_str()
                    && row["covered"] == covered
                    && version.is_none_or(|version| row["version"] == version)
                    && epoch.is_none_or(|epoch| row["partition_epoch"] == epoch)
            })
        };
        return Ok((STATUS, "the index".into(), Box::new(wanted)));
    }
    if let Some(target) = case.try_take_arg::<String>("target")? {
        let state: String = case.take_arg("state")?;
        let wanted = move |page: &Value| {
            let mut rows = page["targets"].as_array().into_iter().flatten();
            let row = rows.find(|row| row["target_id"] == target.as_str());
            match row {
                Some(row) => row["state"] == state.as_str(),
                None => state == "gone" && page["targets"].is_array(),
            }
        };
        return Ok(("/v1/operator/targets", "the target".into(), Box::new(wanted)));
    }
    if let Some(voters) = case.try_take_arg::<usize>("voters")? {
        let wanted = move |page: &Value| {
            let members = page["control"]["quorum"]["members"].as_object();
            let is_voter = |member: &&Value| member["role"] == "voter";
            members.is_some_and(|members| members.values().filter(is_voter).count() == voters)
        };
        return Ok((STATUS, format!("{voters} voters"), Box::new(wanted)));
    }
    Err(ScenarioError::usage("no state to wait for"))
}
