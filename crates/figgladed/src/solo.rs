//! The control plane of a single instance, kept in memory.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use figglade::{
    ConfigVersion, IndexName, RequestId, TargetId,
    border::{
        ActionRecord, BodyDigest, BoxFuture, ClaimDecision, ClaimError, ClaimRequest, ClaimStore,
    },
    controller::{event::EventKind, fleet::FleetDefaults},
    filter::routing::{LiveTarget, TargetRoute, build_route},
    wire::{AnnounceResponse, Announcement, TargetState},
};
use http::StatusCode;
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::{
    api::{AnnounceError, ControlApi, OperatorReply},
    clock::ProcessClock,
    tier::{ControlView, IndexBoard, SettingsSource},
};

/// Settings that never change.
#[derive(Debug, Default)]
pub struct SoloSettings;

impl SettingsSource for SoloSettings {
    fn version(&self) -> ConfigVersion {
        ConfigVersion::default()
    }

    fn settings_of(&self, _index: &IndexName) -> FleetDefaults {
        FleetDefaults::default()
    }
}

/// One claim held in memory.
struct SoloClaim {
    digest: BodyDigest,
    record: Option<ActionRecord>,
}

/// The control plane of a single instance.
pub struct SoloControl {
    clock: ProcessClock,
    board: Arc<IndexBoard>,
    targets: Mutex<HashMap<TargetId, LiveTarget>>,
    claims: Mutex<HashMap<RequestId, SoloClaim>>,
}

impl SoloControl {
    /// Starts without targets.
    pub fn new(clock: ProcessClock, board: Arc<IndexBoard>) -> Self {
        Self { clock, board, targets: Mutex::default(), claims: Mutex::default() }
    }

    fn publish(&self, indexes: Vec<IndexName>) {
        let targets: Vec<_> = self.targets.lock().values().cloned().collect();
        for index in indexes {
            let route = build_route(&index, &targets, &[], &self.board.registry);
            self.board.publish_route(&index, route);
        }
    }
}

impl ControlApi for SoloControl {
    fn announce(&self, announcement: Announcement) -> Result<AnnounceResponse, AnnounceError> {
        let mut indexes: Vec<_> =
            announcement.replicas.iter().map(|replica| replica.index.clone()).collect();
        indexes.sort();
        indexes.dedup();
        let ready_since = self.clock.now();
        let target = announcement.target_id.clone();
        let live = LiveTarget { announcement: Arc::new(announcement), ready_since };
        self.targets.lock().insert(target, live);
        self.publish(indexes);
        let announce_again_ms = FleetDefaults::default().announce_period_ms;
        Ok(AnnounceResponse { announce_again_ms })
    }

    fn unready_reason(&self) -> Option<String> {
        None
    }

    fn config(&self) -> BoxFuture<OperatorReply> {
        Box::pin(async { unsupported() })
    }

    fn put_config(&self, _body: Bytes) -> BoxFuture<OperatorReply> {
        Box::pin(async { unsupported() })
    }

    fn change_member(&self, _body: Bytes) -> BoxFuture<OperatorReply> {
        Box::pin(async { unsupported() })
    }

    fn status(&self) -> Value {
        json!({ "indexes": self.board.indexes() })
    }

    fn targets(&self) -> Value {
        let targets = self.targets.lock();
        let ready = |live: &&LiveTarget| live.announcement.state == TargetState::Ready;
        let ready: Vec<_> =
            targets.values().filter(ready).map(|live| &live.announcement.target_id).collect();
        json!({ "ready": ready })
    }

    fn members(&self) -> Value {
        json!({ "members": [] })
    }

    fn events(&self, _since_ms: u64, _request: Option<RequestId>) -> Value {
        json!({ "events": [] })
    }
}

fn unsupported() -> OperatorReply {
    let body = json!({ "message": "a single instance in memory keeps no configuration" });
    OperatorReply { status: StatusCode::SERVICE_UNAVAILABLE, body }
}

impl ControlView for SoloControl {
    fn refuse_query(&self, _settings: &FleetDefaults) -> Option<String> {
        None
    }

    fn refuse_action(&self, _settings: &FleetDefaults) -> Option<String> {
        None
    }

    fn is_stale(&self, _settings: &FleetDefaults) -> bool {
        false
    }

    fn connection_share(&self, route: &TargetRoute) -> u32 {
        route.connections
    }

    fn note(&self, _kind: EventKind, _request: Option<RequestId>, _detail: String) {}
}

impl ClaimStore for SoloControl {
    fn begin_claim(&self, claim: ClaimRequest) -> BoxFuture<Result<ClaimDecision, ClaimError>> {
        let mut claims = self.claims.lock();
        let decision = match claims.get(&claim.request) {
            Some(known) if known.digest != claim.digest => ClaimDecision::BodyMismatch,
            Some(known) => match &known.record {
                Some(record) => ClaimDecision::Recorded(record.clone()),
                None => ClaimDecision::InProgress,
            },
            None => {
                let held = SoloClaim { digest: claim.digest, record: None };
                claims.insert(claim.request, held);
                ClaimDecision::Granted
            }
        };
        Box::pin(async move { Ok(decision) })
    }

    fn finish_claim(
        &self,
        request: RequestId,
        digest: BodyDigest,
        record: ActionRecord,
    ) -> BoxFuture<Result<(), ClaimError>> {
        let ended = SoloClaim { digest, record: Some(record) };
        self.claims.lock().insert(request, ended);
        Box::pin(async { Ok(()) })
    }
}
