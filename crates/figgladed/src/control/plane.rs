//! The control plane of one instance: readiness, renewal, claims and manifests.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use figglade::{
    Incarnation, InstanceId, RequestId,
    controller::{
        event::EventKind,
        fleet::{FleetDefaults, StalePolicy},
        ledger::ManifestReport,
        membership::LeaderHint,
        share::{ShareHolder, ShareTiming},
    },
    filter::routing::TargetRoute,
    wire::{ActionOutcome, AnnounceResponse, Announcement},
};
use parking_lot::Mutex;
use slog::{Logger, info};
use tokio::sync::Notify;

use super::{
    error::ProposeFailure,
    gossip::GossipDriver,
    group::{ControlGroupClient, ProposeMode},
    member::MemberHandle,
    message::{ControlReply, ControlRequest},
    state::ControlState,
};
use crate::{
    api::AnnounceError,
    clock::ProcessClock,
    metrics::PoolGauges,
    peer_link::PeerHandle,
    tier::{ControlView, IndexCatalog},
    timeline::TimelineRecorder,
};

/// The longest interval between renewals.
const MAX_RENEW_INTERVAL: Duration = Duration::from_millis(1_000);
/// The shortest interval between scheduled renewals.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(20);
/// How long one renewal may try to reach the leader.
const RENEW_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The dependencies of a [`ControlPlane`].
pub struct PlaneParts {
    /// The clocks.
    pub clock: ProcessClock,
    /// This instance.
    pub instance: InstanceId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The state received from the control group.
    pub state: Arc<ControlState>,
    /// The client of the control group.
    pub group: Arc<ControlGroupClient>,
    /// The driver of membership and the target directory.
    pub gossip: Arc<GossipDriver>,
    /// Routes and settings for requests.
    pub catalog: Arc<IndexCatalog>,
    /// The control member of this instance, if it has a disk.
    pub member: Option<MemberHandle>,
    /// Limits the connections to an address and returns whether no more than that are open.
    pub limit_connections: Box<dyn Fn(SocketAddr, u32) -> bool + Send + Sync>,
    /// Returns the state of the connections to targets.
    pub read_pool: Box<dyn Fn() -> PoolGauges + Send + Sync>,
    /// The links to other instances.
    pub peer: PeerHandle,
    /// The time line.
    pub timeline: TimelineRecorder,
    /// The log of the process.
    pub log: Logger,
}

/// The control plane of one instance.
pub struct ControlPlane {
    pub(super) parts: PlaneParts,
    stopping: AtomicBool,
    pub(super) claims_abandoned: AtomicBool,
    was_ready: AtomicBool,
    was_stale: AtomicBool,
    pub(super) shares: Mutex<ShareHolder>,
    pub(super) reports: Mutex<Vec<ManifestReport>>,
    pub(super) reports_queued: Notify,
    pub(super) renew_now: Arc<Notify>,
}

impl ControlPlane {
    /// Builds the control plane; `renew_now` wakes the renewal loop before its interval has passed.
    pub fn new(parts: PlaneParts, renew_now: Arc<Notify>) -> Self {
        let shares = ShareHolder::new(
            parts.instance.clone(),
            parts.incarnation,
            ShareTiming::default(),
            parts.clock.now(),
        );
        Self {
            parts,
            shares: Mutex::new(shares),
            stopping: AtomicBool::new(false),
            claims_abandoned: AtomicBool::new(false),
            was_ready: AtomicBool::new(false),
            was_stale: AtomicBool::new(true),
            reports: Mutex::default(),
            reports_queued: Notify::new(),
            renew_now,
        }
    }

    /// Makes the instance not ready for good.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.publish_facts();
    }

    /// Renews the proof of being current until the task is dropped.
    pub async fn run_renewals(self: Arc<Self>) {
        loop {
            self.renew_once().await;
            self.enforce_shares();
            tokio::select! {
                () = tokio::time::sleep(self.time_to_next_renewal()) => {}
                () = self.renew_now.notified() => {}
                () = self.parts.gossip.newer_config.notified() => {}
            }
        }
    }

    /// Returns the time until the next renewal.
    fn time_to_next_renewal(&self) -> Duration {
        let due = self.shares.lock().next_request_at();
        due.since(self.parts.clock.now()).clamp(MIN_RENEW_INTERVAL, MAX_RENEW_INTERVAL)
    }

    async fn renew_once(&self) {
        let sent_at = self.parts.clock.now();
        let share = self.shares.lock().begin_request(sent_at);
        let request = ControlRequest::Renew(self.parts.state.renew_request(share));
        let result = self.parts.group.ask(&request, ProposeMode::Idempotent, RENEW_TIMEOUT).await;
        match result {
            Ok(ControlReply::Renewed(reply)) => {
                let has_more = reply.has_more;
                self.handle_grant(reply.share.clone(), sent_at);
                let change = self.parts.state.apply_renewal(*reply, sent_at);
                if has_more {
                    self.renew_now.notify_one();
                }
                if let Some(version) = change.config {
                    let detail = format!("configuration {version} is in force");
                    info!(self.parts.log, "config: {}", detail);
                    self.parts.timeline.record(EventKind::ConfigInForce, None, detail);
                    self.parts.catalog.refresh_settings();
                }
                if change.manifests {
                    self.parts.gossip.publish_all();
                }
                self.abandon_old_claims();
            }
            Ok(_) => {}
            Err(error) => {
                slog::debug!(self.parts.log, "config: the proof of being current was not renewed";
                    "error" => %error);
            }
        }
        self.publish_facts();
    }

    fn publish_facts(&self) {
        let status = self.parts.member.as_ref().and_then(|member| member.view().status);
        let leader = status.and_then(|status| {
            let instance = status.leader?;
            Some(LeaderHint { term: status.term, instance })
        });
        let reason = self.unready_reason();
        self.parts.gossip.set_facts(leader, reason.is_none());
        self.record_readiness_change(reason);
        self.record_staleness_change();
    }

    /// Records when the instance turns stale or current.
    fn record_staleness_change(&self) {
        let settings = self.parts.state.settings();
        let stale = self.parts.state.is_stale(&settings, self.parts.clock.now());
        if self.was_stale.swap(stale, Ordering::Relaxed) == stale {
            return;
        }
        let kind = if stale { EventKind::StaleEntered } else { EventKind::StaleLeft };
        self.parts.timeline.record(kind, None, "");
    }

    /// Records when the instance turns ready or not ready.
    fn record_readiness_change(&self, reason: Option<String>) {
        let ready = reason.is_none();
        if self.was_ready.swap(ready, Ordering::Relaxed) == ready {
            return;
        }
        let kind = if ready { EventKind::InstanceReady } else { EventKind::InstanceNotReady };
        let detail = reason.unwrap_or_default();
        info!(self.parts.log, "instance: readiness changed"; "ready" => ready, "reason" => &detail);
        self.parts.timeline.record(kind, None, detail);
    }

    /// Applies the announcement of a target and reports its manifests.
    ///
    /// # Errors
    ///
    /// Refuses a lower incarnation and fields out of range.
    pub fn handle_announcement(
        &self,
        announcement: Announcement,
    ) -> Result<AnnounceResponse, AnnounceError> {
        let (_, interval) = self.parts.gossip.announce(announcement.clone())?;
        self.report_manifests(&announcement);
        Ok(AnnounceResponse { announce_again_ms: interval.as_millis() as u64 })
    }

    /// Returns why the load balancer must not send requests to this instance, or `None` if it may.
    pub fn unready_reason(&self) -> Option<String> {
        if self.stopping.load(Ordering::Relaxed) {
            return Some("the instance is stopping".to_owned());
        }
        let failure = self.parts.member.as_ref().and_then(|member| member.view().failure);
        if let Some(failure) = failure {
            return Some(format!("the control member stopped: {failure}"));
        }
        let settings = self.parts.state.settings();
        let now = self.parts.clock.now();
        if self.parts.state.proof_age(now).is_none() {
            return Some("the configuration has not been read yet".to_owned());
        }
        if self.parts.state.is_stale(&settings, now) {
            return Some("the instance cannot prove that it is current".to_owned());
        }
        if !self.shares.lock().holds_share(now) {
            return Some("the instance holds no share of the targets' connections".to_owned());
        }
        if !self.parts.gossip.is_synced() {
            return Some("the target directory is not loaded yet".to_owned());
        }
        None
    }

    fn stale_reason(&self, settings: &FleetDefaults, policy: StalePolicy) -> Option<String> {
        let now = self.parts.clock.now();
        // Before its first proof the instance has not received any configuration.
        if self.parts.state.proof_age(now).is_none() {
            return Some("the configuration has not been read yet".to_owned());
        }
        let stale = self.parts.state.is_stale(settings, now);
        let refused = stale && policy == StalePolicy::Refuse;
        refused.then(|| "the instance cannot prove that it is current".to_owned())
    }
}

impl ControlView for ControlPlane {
    fn refuse_query(&self, settings: &FleetDefaults) -> Option<String> {
        self.stale_reason(settings, settings.stale_query)
    }

    fn refuse_action(&self, settings: &FleetDefaults) -> Option<String> {
        self.stale_reason(settings, settings.stale_action)
    }

    fn is_stale(&self, settings: &FleetDefaults) -> bool {
        self.parts.state.is_stale(settings, self.parts.clock.now())
    }

    fn connection_share(&self, route: &TargetRoute) -> u32 {
        let cap = self.tier_cap(route.connections);
        self.shares.lock().connection_share(&route.target, cap, self.parts.clock.now())
    }

    fn record_event(&self, kind: EventKind, request: Option<RequestId>, detail: String) {
        self.parts.timeline.record(kind, request, detail);
    }
}

impl From<figglade::controller::directory::DirectoryError> for AnnounceError {
    fn from(error: figglade::controller::directory::DirectoryError) -> Self {
        use figglade::controller::directory::DirectoryError;
        match error {
            DirectoryError::StaleIncarnation { current } => Self::StaleIncarnation { current },
            DirectoryError::Invalid { field, reason } => Self::BadField { field, message: reason },
            full @ DirectoryError::Full { .. } => Self::Full { message: full.to_string() },
        }
    }
}

/// Returns the outcome to report for a failed proposal: not run, which allows to send it again under
/// the same identifier, if it never entered the log, else unknown.
pub(super) fn failure_outcome(failure: &ProposeFailure) -> ActionOutcome {
    match failure {
        ProposeFailure::NotProposed { .. } => ActionOutcome::NotRun,
        ProposeFailure::Undecided => ActionOutcome::Unknown,
    }
}
