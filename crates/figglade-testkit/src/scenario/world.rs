//! What the commands of one scenario act on.

use std::{collections::HashMap, path::PathBuf, time::Duration};

use figglade::{RequestId, TargetId};
use serde_json::Value;
use tokio::time::Instant;

use super::{
    ScenarioError, background::BackgroundLoad, links::PeerSwitchboard, targets::ScenarioIndex,
};
use crate::{
    client::{TestClient, TestReply},
    harness::ProcessHarness,
    stand_in::{RanAction, StandIn},
};

/// The time between two looks at a state that is waited for.
const POLL_PERIOD: Duration = Duration::from_millis(25);

/// How many lines of each log a failure shows.
const SHOWN_LOG_LINES: usize = 12;

/// The processes, targets and requests of one scenario.
pub(super) struct ScenarioWorld {
    pub(super) program: PathBuf,
    pub(super) harness: Option<ProcessHarness>,
    pub(super) switchboard: PeerSwitchboard,
    pub(super) targets: HashMap<TargetId, StandIn>,
    pub(super) indexes: HashMap<String, ScenarioIndex>,
    /// What targets that ended had run.
    pub(super) ran_before: Vec<RanAction>,
    /// The identifiers of the actions, by the names that the scenario uses.
    pub(super) requests: HashMap<String, RequestId>,
    pub(super) load: Option<BackgroundLoad>,
    pub(super) client: TestClient,
}

impl ScenarioWorld {
    pub(super) fn new(program: PathBuf) -> Self {
        Self {
            program,
            harness: None,
            switchboard: PeerSwitchboard::default(),
            targets: HashMap::new(),
            indexes: HashMap::new(),
            ran_before: Vec::new(),
            requests: HashMap::new(),
            load: None,
            client: TestClient::new().with_timeout(Duration::from_secs(15)),
        }
    }

    /// Returns the running instances.
    pub(super) fn harness(&mut self) -> Result<&mut ProcessHarness, ScenarioError> {
        self.harness.as_mut().ok_or_else(|| ScenarioError::usage("start the instances first"))
    }

    /// Returns where an instance listens for callers, targets and operators.
    pub(super) fn http(&mut self, number: usize) -> Result<std::net::SocketAddr, ScenarioError> {
        let harness = self.harness()?;
        match number < harness.instance_count() {
            true => Ok(harness.http_address(number)),
            false => Err(ScenarioError::usage(format!("there is no instance i{}", number + 1))),
        }
    }

    /// Reads one page of an instance; any failure reads as `null`.
    pub(super) async fn read_page(
        &mut self,
        number: usize,
        path: &str,
    ) -> Result<Value, ScenarioError> {
        let address = self.http(number)?;
        let client = self.client.clone().with_timeout(Duration::from_secs(2));
        let reply = client.get(address, path).await;
        Ok(reply.map(|reply: TestReply| reply.json().unwrap_or_default()).unwrap_or_default())
    }

    /// Looks at a page of an instance until it shows what is wanted.
    pub(super) async fn wait_page(
        &mut self,
        number: usize,
        path: &str,
        what: &str,
        patience: Duration,
        wanted: impl Fn(&Value) -> bool,
    ) -> Result<Value, ScenarioError> {
        let deadline = Instant::now() + patience;
        loop {
            let page = self.read_page(number, path).await?;
            if wanted(&page) {
                return Ok(page);
            }
            if Instant::now() >= deadline {
                let what = format!("{what} at i{}", number + 1);
                return Err(ScenarioError::TimedOut {
                    what,
                    waited: patience,
                    seen: page.to_string(),
                });
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Returns the end of the log of each instance.
    pub(super) fn recent_logs(&self) -> String {
        let Some(harness) = &self.harness else { return String::new() };
        let mut text = String::new();
        for number in 0..harness.instance_count() {
            let log = harness.log(number);
            let lines: Vec<&str> = log.lines().collect();
            let from = lines.len().saturating_sub(SHOWN_LOG_LINES);
            text.push_str(&format!("--- i{}\n{}\n", number + 1, lines[from..].join("\n")));
        }
        text
    }

    /// Ends every process and target.
    pub(super) async fn close(mut self) {
        if let Some(load) = self.load.take() {
            load.stop().await;
        }
        if let Some(harness) = self.harness.take() {
            harness.close().await;
        }
        for target in self.targets.into_values() {
            target.close().await;
        }
        self.switchboard.close().await;
    }
}
