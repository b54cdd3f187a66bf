//! The operator interface: status, configuration and control group changes.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use figglade::{
    ConfigVersion, RequestId, WallTime,
    border::BoxFuture,
    controller::{
        directory::TargetEntry,
        event::{EventQuery, HybridStamp},
        fleet::{FleetError, parse_document},
        ledger::{ConfigOutcome, ConfigPut, LedgerCommand, LedgerReply},
        membership::MemberRecord,
        quorum::QuorumStatus,
    },
    wire::{ActionOutcome, AnnounceResponse, Announcement},
};
use http::StatusCode;
use serde_json::{Value, json};

use super::{
    error::ProposeFailure,
    group::ProposeMode,
    message::{ControlReply, ControlRequest, MemberRequest},
    plane::{ControlPlane, failure_outcome},
};
use crate::{
    api::{AnnounceError, ControlApi, OperatorReply},
    metrics::TierMetrics,
};

/// How long a change may try to reach the leader.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the reply to a committed change waits until it is in force at every instance.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval between checks whether the change is in force at every instance.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The most events in one reply.
const MAX_REPLY_EVENTS: usize = 10_000;
/// The most bytes of events in one reply.
const MAX_REPLY_EVENT_BYTES: usize = 4 << 20;

impl ControlApi for Arc<ControlPlane> {
    fn announce(&self, announcement: Announcement) -> Result<AnnounceResponse, AnnounceError> {
        self.handle_announcement(announcement)
    }

    fn unready_reason(&self) -> Option<String> {
        ControlPlane::unready_reason(self)
    }

    fn config(&self) -> BoxFuture<OperatorReply> {
        let plane = Self::clone(self);
        Box::pin(async move { plane.show_config() })
    }

    fn put_config(&self, body: Bytes) -> BoxFuture<OperatorReply> {
        let plane = Self::clone(self);
        Box::pin(async move { plane.change_config(&body).await })
    }

    fn change_member(&self, body: Bytes) -> BoxFuture<OperatorReply> {
        let plane = Self::clone(self);
        Box::pin(async move { plane.change_group(&body).await })
    }

    fn status(&self) -> Value {
        self.show_status()
    }

    fn targets(&self) -> Value {
        let targets: Vec<_> = self.parts.gossip.targets().iter().map(show_target).collect();
        json!({ "targets": targets })
    }

    fn members(&self) -> Value {
        let members: Vec<_> = self.parts.gossip.members().iter().map(show_member).collect();
        let control = self.quorum_status().map(|status| show_quorum(&status));
        json!({ "members": members, "control": control })
    }

    fn refresh_metrics(&self, metrics: &TierMetrics) {
        ControlPlane::refresh_metrics(self, metrics);
    }

    fn events(&self, since_ms: u64, request: Option<RequestId>) -> Value {
        let page = self.parts.timeline.since(&EventQuery {
            since: HybridStamp::first_at(WallTime::from_millis(since_ms)),
            request,
            max_events: MAX_REPLY_EVENTS,
            max_bytes: MAX_REPLY_EVENT_BYTES,
        });
        json!({
            "instance": self.parts.instance, "events": page.events, "truncated": page.truncated,
        })
    }
}

impl ControlPlane {
    fn show_config(&self) -> OperatorReply {
        let config = self.parts.state.config();
        let now = self.parts.clock.now();
        let stale = self.parts.state.is_stale(&self.parts.state.settings(), now);
        let history = self.parts.member.as_ref().map(|member| member.view().history);
        let body = json!({
            "version": config.version,
            "defaults": config.defaults,
            "exceptions": config.exceptions,
            "current": !stale,
            "history": history,
        });
        OperatorReply { status: StatusCode::OK, body }
    }

    async fn change_config(&self, body: &[u8]) -> OperatorReply {
        let document = match parse_document(body) {
            Ok(document) => document,
            Err(error) => return refuse_field(&error),
        };
        let put = ConfigPut {
            document,
            wall: self.parts.clock.wall(),
            instance: self.parts.instance.clone(),
        };
        let command = LedgerCommand::PutConfig(put);
        // The change identifier makes a repeated command idempotent.
        let group = &self.parts.group;
        let result = group.propose(&command, ProposeMode::Idempotent, CHANGE_TIMEOUT).await;
        match result {
            Ok(LedgerReply::Config(ConfigOutcome::Committed { version })) => {
                self.wait_in_force(version).await
            }
            Ok(LedgerReply::Config(ConfigOutcome::Conflict { current })) => refuse_conflict(
                "version_conflict",
                "base_version",
                &format!("base_version is not the latest, which is {current}"),
                Some(current),
            ),
            Ok(LedgerReply::Config(ConfigOutcome::ChangeIdReused { change_id })) => {
                let message = format!("change_id {change_id} was used with another document");
                refuse_conflict("change_id_reused", "change_id", &message, None)
            }
            Ok(_) => refuse_failure(&ProposeFailure::Undecided),
            Err(failure) => refuse_failure(&failure),
        }
    }

    /// Waits until every live instance has `version` in force, at most [`IN_FORCE_TIMEOUT`], and
    /// replies with the number of those that have.
    async fn wait_in_force(&self, version: ConfigVersion) -> OperatorReply {
        let deadline = self.parts.clock.now() + IN_FORCE_TIMEOUT;
        loop {
            let alive = self.parts.gossip.alive();
            let has_version = |record: &&MemberRecord| record.facts.config_version >= version;
            let in_force = alive.iter().filter(has_version).count();
            if in_force >= alive.len() || self.parts.clock.now() >= deadline {
                let body = json!({
                    "version": version, "committed": true,
                    "in_force": in_force, "instances": alive.len(),
                });
                return OperatorReply { status: StatusCode::OK, body };
            }
            tokio::time::sleep(IN_FORCE_POLL_INTERVAL).await;
        }
    }

    async fn change_group(&self, body: &[u8]) -> OperatorReply {
        let request: MemberRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return refuse_member(&error.to_string()),
        };
        let request = ControlRequest::ChangeMember(request);
        let result = self.parts.group.ask(&request, ProposeMode::AtMostOnce, CHANGE_TIMEOUT).await;
        match result {
            Ok(ControlReply::MemberChanged { index }) => {
                let body = json!({ "accepted": true, "index": index });
                OperatorReply { status: StatusCode::OK, body }
            }
            Ok(ControlReply::Refused { reason }) => {
                refuse_conflict("member_change_refused", "change", &reason, None)
            }
            Ok(_) => refuse_failure(&ProposeFailure::Undecided),
            Err(failure) => refuse_failure(&failure),
        }
    }

    pub(super) fn quorum_status(&self) -> Option<QuorumStatus> {
        self.parts.member.as_ref().and_then(|member| member.view().status)
    }

    fn show_status(&self) -> Value {
        let now = self.parts.clock.now();
        let alive = self.parts.gossip.alive();
        let version = self.parts.state.config().version;
        let in_force = alive.iter().filter(|record| record.facts.config_version >= version).count();
        let unready = self.unready_reason();
        let view = self.parts.member.as_ref().map(super::member::MemberHandle::view);
        json!({
            "instance": self.parts.instance,
            "incarnation": self.parts.incarnation,
            "ready": unready.is_none(),
            "unready_reason": unready,
            "config": {
                "version": version,
                "proof_age_ms": self.parts.state.proof_age(now).map(|age| age.as_millis() as u64),
                "in_force": in_force,
                "instances": alive.len(),
            },
            "indexes": self.show_indexes(),
            "targets": self.count_targets(),
            "control": view.as_ref().map(|view| json!({
                "quorum": view.status.as_ref().map(show_quorum),
                "claims": view.claims,
                "failure": view.failure,
            })),
        })
    }

    fn show_indexes(&self) -> Vec<Value> {
        let catalog = &self.parts.catalog;
        let views = catalog.indexes().into_iter().filter_map(|index| {
            let route = catalog.view(&index)?.route;
            Some((index, route))
        });
        let rows = views.map(|(index, route)| match route.pin_snapshot(&[]) {
            None => json!({ "index": index, "covered": false }),
            Some(pinned) => {
                let uncovered: Vec<_> = pinned
                    .replicas
                    .iter()
                    .enumerate()
                    .filter(|(_, replicas)| replicas.is_empty())
                    .map(|(shard, _)| shard)
                    .collect();
                json!({
                    "index": index,
                    "version": pinned.key.version,
                    "partition_epoch": pinned.key.epoch,
                    "shards": pinned.shard_count(),
                    "covered": pinned.is_covered(),
                    "uncovered_shards": uncovered,
                })
            }
        });
        rows.collect()
    }

    fn count_targets(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for entry in self.parts.gossip.targets() {
            *counts.entry(entry.effective_state().to_string()).or_default() += 1;
        }
        counts
    }
}

fn show_target(entry: &TargetEntry) -> Value {
    let announcement = entry.announcement();
    json!({
        "target_id": announcement.target_id,
        "incarnation": announcement.incarnation,
        "address": announcement.address,
        "availability_zone": announcement.availability_zone,
        "state": entry.effective_state(),
        "slots": announcement.slots,
        "connections": announcement.connections,
        "replicas": announcement.replicas,
    })
}

fn show_member(record: &MemberRecord) -> Value {
    json!({
        "id": record.id,
        "incarnation": record.incarnation,
        "state": record.state,
        "peer": record.peer,
        "http": record.http,
        "availability_zone": record.availability_zone,
        "config_version": record.facts.config_version,
        "ready": record.facts.ready,
    })
}

fn show_quorum(status: &QuorumStatus) -> Value {
    json!({
        "role": status.role,
        "term": status.term,
        "leader": status.leader,
        "commit": status.commit,
        "last": status.last,
        "members": status.members.members,
        "progress": status.progress,
        "replaced_storage": status.replaced_storage,
        "pending_change": status.pending_change,
        "is_forgotten": status.is_forgotten,
        "is_bootstrapping": status.is_bootstrapping,
    })
}

fn refuse(status: StatusCode, body: Value) -> OperatorReply {
    OperatorReply { status, body }
}

fn refuse_field(error: &FleetError) -> OperatorReply {
    let body = json!({
        "error_code": "bad_field", "message": error.to_string(), "field": error.field,
        "outcome": ActionOutcome::NotRun,
    });
    refuse(StatusCode::BAD_REQUEST, body)
}

fn refuse_member(message: &str) -> OperatorReply {
    let body = json!({
        "error_code": "bad_field", "message": message, "field": "change",
        "outcome": ActionOutcome::NotRun,
    });
    refuse(StatusCode::BAD_REQUEST, body)
}

fn refuse_conflict(
    code: &str,
    field: &str,
    message: &str,
    current: Option<ConfigVersion>,
) -> OperatorReply {
    let body = json!({
        "error_code": code, "message": message, "field": field,
        "version": current, "committed": false, "outcome": ActionOutcome::NotRun,
    });
    refuse(StatusCode::CONFLICT, body)
}

fn refuse_failure(failure: &ProposeFailure) -> OperatorReply {
    let body = json!({
        "error_code": "unavailable", "message": failure.to_string(),
        "outcome": failure_outcome(failure),
    });
    refuse(StatusCode::SERVICE_UNAVAILABLE, body)
}
