//! Reads and changes the control group.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    time::{Duration, Instant},
};

use figglade::controller::quorum::QuorumRole;
use hyper::{Method, StatusCode};
use serde_json::Value;

use super::ControlError;
use crate::{
    args::ConnectOptions,
    client::{Call, ClientError, OperatorClient},
    reply::{MembersReply, QuorumView},
};

/// The HTTP path of the control group members.
const MEMBERS_PATH: &str = "/v1/operator/members";
/// The interval at which the group is polled.
const POLL_PERIOD: Duration = Duration::from_millis(300);
/// The status after a change was accepted into the log.
const ACCEPTED: &str = "the change was accepted";
/// Parts of the messages of transient refusals, after which the change is retried. The last three
/// contradict the state of the group that was read: that state was outdated and is read again.
const TRANSIENT_REFUSALS: &[&str] = &[
    "has not caught up",
    "has not reported its storage",
    "is not committed yet",
    "has not committed an entry of its term",
    "leadership is being transferred",
    "does not lead",
    "too few voters",
    "is already a member",
    "is already a voter",
    "is not a member",
];

/// Reads and changes the control group for one command.
#[derive(Debug)]
pub(super) struct GroupClient {
    client: OperatorClient,
    deadline: Instant,
    timeout: Duration,
    /// The progress lines printed so far.
    shown: RefCell<BTreeSet<String>>,
}

impl GroupClient {
    /// Builds a client whose changes fail after `deadline`; `timeout` is reported in the error.
    pub(super) fn new(
        connect: &ConnectOptions,
        deadline: Instant,
        timeout: Duration,
    ) -> Result<Self, ClientError> {
        let client = OperatorClient::new(connect)?;
        Ok(Self { client, deadline, timeout, shown: RefCell::default() })
    }

    /// Reads the group from its leader, or from another control member if no leader answers.
    pub(super) async fn read(&self) -> Result<QuorumView, ControlError> {
        let members: MembersReply = self.client.get(MEMBERS_PATH).await?.decode()?;
        let mut best = members.control.clone();
        if let Some(view) = best.take_if(|view| view.role == QuorumRole::Leader) {
            return Ok(view);
        }
        for member in members.live() {
            let Ok(reply) = self.client.send(member.http, &Call::get(MEMBERS_PATH)).await else {
                continue;
            };
            let Some(view) = reply.decode::<MembersReply>()?.control else { continue };
            // A partitioned member may still report itself as the leader of an earlier term.
            let rank = |view: &QuorumView| (view.role == QuorumRole::Leader, view.term);
            if best.as_ref().is_none_or(|best| rank(&view) > rank(best)) {
                best = Some(view);
            }
        }
        best.ok_or(ControlError::NoControlMember)
    }

    /// Sends a change until `is_done` holds for the group. The group is read again before every
    /// resend, so that a change that took effect despite an unknown outcome is not repeated.
    pub(super) async fn change_until(
        &self,
        body: &Value,
        is_done: impl Fn(&QuorumView) -> Result<bool, ControlError>,
    ) -> Result<(), ControlError> {
        let call = Call::with_body(Method::POST, MEMBERS_PATH, body);
        loop {
            let last = match self.read().await {
                Ok(view) if is_done(&view)? && view.pending_change.is_none() => return Ok(()),
                Ok(view) if is_done(&view)? => "the change is not committed yet".to_owned(),
                Ok(view) => {
                    self.show_progress(&view, body);
                    self.send_change(&call).await?
                }
                Err(ControlError::Client(error)) if error.may_succeed_elsewhere() => {
                    error.to_string()
                }
                Err(error @ ControlError::NoControlMember) => error.to_string(),
                Err(error) => return Err(error),
            };
            if last != ACCEPTED {
                self.show_once(format!("waiting: {last}"));
            }
            if Instant::now() >= self.deadline {
                let waited_ms = self.timeout.as_millis();
                return Err(ControlError::TimedOut { waited_ms, last });
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Sends a change once. Returns the status if it was accepted or may succeed later.
    async fn send_change(&self, call: &Call) -> Result<String, ControlError> {
        let mut last = ClientError::NoAddress;
        for &address in self.client.addresses() {
            match self.client.send(address, call).await {
                Ok(_) => return Ok(ACCEPTED.to_owned()),
                // Nothing was sent, so another instance can be tried safely.
                Err(error @ ClientError::NotConnected { .. }) => last = error,
                Err(error) if is_transient(&error) => return Ok(error.to_string()),
                Err(error) => return Err(error.into()),
            }
        }
        Ok(last.to_string())
    }

    /// Prints how much of the log the member to be promoted holds.
    fn show_progress(&self, view: &QuorumView, body: &Value) {
        if body.get("change").and_then(Value::as_str) != Some("promote") {
            return;
        }
        let Some(id) = body.get("id").and_then(Value::as_str) else { return };
        let held = view.progress.iter().find(|(member, _)| member.as_str() == id);
        let Some((_, held)) = held else { return };
        self.show_once(format!("{id} holds {held} of {} entries", view.commit));
    }

    /// Prints a progress line unless it was printed before.
    fn show_once(&self, line: String) {
        if self.shown.borrow_mut().insert(line.clone()) {
            eprintln!("{line}");
        }
    }
}

/// Returns whether the same change may succeed when it is retried.
fn is_transient(error: &ClientError) -> bool {
    match error.refusal() {
        Some(refusal) if refusal.status == StatusCode::CONFLICT => {
            TRANSIENT_REFUSALS.iter().any(|words| refusal.message.contains(words))
        }
        _ => error.may_succeed_elsewhere(),
    }
}
