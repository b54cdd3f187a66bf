//! The control plane of one instance: readiness, renewal, claims and manifests.

use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use figglade::{
    Incarnation, InstanceId, RequestId, Timestamp,
    border::{
        ActionRecord, BodyDigest, BoxFuture, ClaimDecision, ClaimError, ClaimRequest, ClaimStore,
    },
    controller::{
        event::EventKind,
        fleet::{FleetDefaults, StalePolicy},
        ledger::{
            ClaimAbandon, ClaimFinish, ClaimRefusal, ClaimReply, FinishReply, LedgerCommand,
            LedgerReply, ManifestReport,
        },
        membership::LeaderHint,
        share::{LeasePhase, ShareGrant, ShareHolder, ShareTiming},
    },
    filter::routing::TargetRoute,
    peer::{FrameKind, PeerFrame, decode_payload, encode_payload},
    wire::{ActionOutcome, AnnounceResponse, Announcement},
};
use parking_lot::Mutex;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

use super::{
    error::ProposeFailure,
    gossip::GossipDriver,
    group::{ControlGroup, ProposeMode, ask_member},
    member::{MemberHandle, MemberInput},
    message::{ControlReply, ControlRequest},
    state::ControlState,
};
use crate::{
    api::AnnounceError,
    clock::ProcessClock,
    metrics::PoolGauges,
    peer_link::{CallRefusal, PeerHandle, PeerHandler, PeerSender},
    tier::{ControlView, IndexBoard},
    timeline::TimelineRecorder,
};

/// The time between renewals.
const RENEW_PERIOD: Duration = Duration::from_millis(1_000);
/// The shortest time between renewals.
const MIN_RENEW_PERIOD: Duration = Duration::from_millis(20);
/// How long one renewal may look for the leader.
const RENEW_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a stopping instance may look for the leader to give its lease back.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a claim may look for the leader.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the outcome of an action may look for the leader.
const FINISH_TIMEOUT: Duration = Duration::from_secs(30);
/// How long reports of manifests are gathered.
const MANIFEST_PERIOD: Duration = Duration::from_millis(50);
/// The reports that may wait for the leader.
const MAX_WAITING_REPORTS: usize = 65_536;

/// The parts of the control plane.
pub struct PlaneParts {
    /// The clocks.
    pub clock: ProcessClock,
    /// This instance.
    pub instance: InstanceId,
    /// The start of this process.
    pub incarnation: Incarnation,
    /// What the control group said.
    pub state: Arc<ControlState>,
    /// The way to the control group.
    pub group: Arc<ControlGroup>,
    /// Membership and the directory.
    pub gossip: Arc<GossipDriver>,
    /// Routes and settings for requests.
    pub board: Arc<IndexBoard>,
    /// The member at this instance, if it has a disk.
    pub member: Option<MemberHandle>,
    /// Bounds the connections to an address and returns whether no more are open.
    pub limit_connections: Box<dyn Fn(SocketAddr, u32) -> bool + Send + Sync>,
    /// Reads the connections to targets.
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
    abandoned: AtomicBool,
    was_ready: AtomicBool,
    was_stale: AtomicBool,
    shares: Mutex<ShareHolder>,
    reports: Mutex<Vec<ManifestReport>>,
    reported: Notify,
    renew_now: Arc<Notify>,
}

impl ControlPlane {
    /// Assembles the control plane; `renew_now` wakes the renewal before its time.
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
            abandoned: AtomicBool::new(false),
            was_ready: AtomicBool::new(false),
            was_stale: AtomicBool::new(true),
            reports: Mutex::default(),
            reported: Notify::new(),
            renew_now,
        }
    }

    /// Turns the instance not ready for good.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.tell_fleet();
    }

    /// Closes every connection to targets and gives the lease on shares back, so that others can
    /// use them at once.
    pub async fn release_shares(&self) {
        self.parts.gossip.visit_caps(|_, address, _| {
            // Requests are over by now; what is still open is idle.
            (self.parts.limit_connections)(address, 0);
        });
        let share = self.shares.lock().begin_release();
        let request = ControlRequest::Renew(self.parts.state.renew_request(share));
        let asked = self.parts.group.ask(&request, ProposeMode::Idempotent, RELEASE_TIMEOUT).await;
        if let Err(error) = asked {
            warn!(self.parts.log, "config: the lease on shares runs out by itself";
                "error" => %error);
        }
    }

    /// Renews the proof of being current until the task is dropped.
    pub async fn run_renewals(self: Arc<Self>) {
        loop {
            self.renew_once().await;
            self.keep_shares();
            tokio::select! {
                () = tokio::time::sleep(self.renew_wait()) => {}
                () = self.renew_now.notified() => {}
                () = self.parts.gossip.config_heard.notified() => {}
            }
        }
    }

    /// Returns the time until the next renewal.
    fn renew_wait(&self) -> Duration {
        let due = self.shares.lock().next_request_at();
        due.since(self.parts.clock.now()).clamp(MIN_RENEW_PERIOD, RENEW_PERIOD)
    }

    async fn renew_once(&self) {
        let sent_at = self.parts.clock.now();
        let share = self.shares.lock().begin_request(sent_at);
        let request = ControlRequest::Renew(self.parts.state.renew_request(share));
        let asked = self.parts.group.ask(&request, ProposeMode::Idempotent, RENEW_TIMEOUT).await;
        match asked {
            Ok(ControlReply::Renewed(reply)) => {
                let has_more = reply.has_more;
                self.take_grant(reply.share.clone(), sent_at);
                let change = self.parts.state.take_renewal(*reply, sent_at);
                if has_more {
                    self.renew_now.notify_one();
                }
                if let Some(version) = change.config {
                    let detail = format!("configuration {version} is in force");
                    info!(self.parts.log, "config: {}", detail);
                    self.parts.timeline.record(EventKind::ConfigInForce, None, detail);
                    self.parts.board.refresh_settings();
                }
                if change.manifests {
                    self.parts.gossip.publish_all();
                }
                self.abandon_old_claims();
            }
            Ok(_) => {}
            Err(error) => {
                slog::debug!(self.parts.log, "config: no proof of being current";
                    "error" => %error);
            }
        }
        self.tell_fleet();
    }

    fn take_grant(&self, grant: ShareGrant, sent_at: Timestamp) {
        let now = self.parts.clock.now();
        let mut shares = self.shares.lock();
        let before = shares.usable_epoch();
        shares.handle_grant(grant, sent_at, now);
        let usable = shares.usable_epoch();
        drop(shares);
        if usable != before {
            let epoch = usable.map_or("none".to_owned(), |epoch| epoch.to_string());
            let detail = format!("shares of holder epoch {epoch} are in use");
            self.parts.timeline.record(EventKind::ShareChanged, None, detail);
        }
    }

    /// Closes connections above the shares and confirms the epoch that is kept to.
    fn keep_shares(&self) {
        let now = self.parts.clock.now();
        let shares = self.shares.lock();
        let phase = shares.lease_phase(now);
        let mut kept = true;
        self.parts.gossip.visit_caps(|target, address, cap| {
            let limit = match phase {
                LeasePhase::Held => shares.connection_share(target, self.tier_cap(cap), now),
                LeasePhase::Closing | LeasePhase::Expired => {
                    shares.open_limit(target, self.tier_cap(cap), now)
                }
            };
            kept &= (self.parts.limit_connections)(address, limit);
        });
        let unconfirmed = shares.unconfirmed_epoch();
        drop(shares);
        if let Some(epoch) = unconfirmed.filter(|_| kept) {
            self.shares.lock().confirm_epoch(epoch, now);
            self.renew_now.notify_one();
        }
    }

    /// Returns the connections of a cap that the tier may use.
    fn tier_cap(&self, cap: u32) -> u32 {
        let share = self.parts.state.settings().connection_share;
        ((f64::from(cap) * share).floor() as u32).max(1)
    }

    /// Ends the claims that an earlier start of this instance left open, once.
    fn abandon_old_claims(&self) {
        if self.abandoned.swap(true, Ordering::Relaxed) {
            return;
        }
        let command = LedgerCommand::AbandonClaims(ClaimAbandon {
            instance: self.parts.instance.clone(),
            before_incarnation: self.parts.incarnation,
            wall: self.parts.clock.wall(),
        });
        let group = Arc::clone(&self.parts.group);
        let log = self.parts.log.clone();
        tokio::spawn(async move {
            let ended = group.propose(&command, ProposeMode::Idempotent, FINISH_TIMEOUT).await;
            if let Err(error) = ended {
                warn!(log, "claims: open claims of an earlier start remain"; "error" => %error);
            }
        });
    }

    fn tell_fleet(&self) {
        let status = self.parts.member.as_ref().and_then(|member| member.view().status);
        let leader = status.and_then(|status| {
            let instance = status.leader?;
            Some(LeaderHint { term: status.term, instance })
        });
        let reason = self.unready_reason();
        self.parts.gossip.set_facts(leader, reason.is_none());
        self.note_readiness(reason);
        self.note_staleness();
    }

    /// Records when the instance turns stale or current.
    fn note_staleness(&self) {
        let settings = self.parts.state.settings();
        let stale = self.parts.state.is_stale(&settings, self.parts.clock.now());
        if self.was_stale.swap(stale, Ordering::Relaxed) == stale {
            return;
        }
        let kind = if stale { EventKind::StaleEntered } else { EventKind::StaleLeft };
        self.parts.timeline.record(kind, None, "");
    }

    /// Records when the instance turns ready or not ready.
    fn note_readiness(&self, reason: Option<String>) {
        let ready = reason.is_none();
        if self.was_ready.swap(ready, Ordering::Relaxed) == ready {
            return;
        }
        let kind = if ready { EventKind::InstanceReady } else { EventKind::InstanceNotReady };
        let detail = reason.unwrap_or_default();
        info!(self.parts.log, "instance: readiness changed"; "ready" => ready, "reason" => &detail);
        self.parts.timeline.record(kind, None, detail);
    }

    /// Proposes gathered manifest reports until the task is dropped.
    pub async fn run_manifests(self: Arc<Self>) {
        loop {
            self.reported.notified().await;
            tokio::time::sleep(MANIFEST_PERIOD).await;
            let reports = std::mem::take(&mut *self.reports.lock());
            let unrecorded = self.parts.state.manifests().unrecorded(&reports);
            if unrecorded.is_empty() {
                continue;
            }
            let command = LedgerCommand::RecordManifests(unrecorded);
            let group = &self.parts.group;
            let ended = group.propose(&command, ProposeMode::Idempotent, CLAIM_TIMEOUT).await;
            match ended {
                Ok(_) => self.renew_now.notify_one(),
                // The next announcement of the target reports again.
                Err(error) => {
                    warn!(self.parts.log, "config: manifests were not recorded"; "error" => %error);
                }
            }
        }
    }

    fn report_manifests(&self, announcement: &Announcement) {
        let reports = ManifestReport::from_announcement(announcement);
        let unrecorded = self.parts.state.manifests().unrecorded(&reports);
        if unrecorded.is_empty() {
            return;
        }
        let mut waiting = self.reports.lock();
        if waiting.len() + unrecorded.len() <= MAX_WAITING_REPORTS {
            waiting.extend(unrecorded);
        }
        drop(waiting);
        self.reported.notify_one();
    }

    /// Takes the announcement of a target.
    ///
    /// # Errors
    ///
    /// Refuses a lower incarnation and fields out of range.
    pub fn take_announcement(
        &self,
        announcement: Announcement,
    ) -> Result<AnnounceResponse, AnnounceError> {
        let (_, interval) = self.parts.gossip.announce(announcement.clone())?;
        self.report_manifests(&announcement);
        Ok(AnnounceResponse { announce_again_ms: interval.as_millis() as u64 })
    }

    /// Returns why the balancer must send no requests here, or `None`.
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
        // Before its first proof an instance knows no configuration at all.
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

    fn note(&self, kind: EventKind, request: Option<RequestId>, detail: String) {
        self.parts.timeline.record(kind, request, detail);
    }
}

impl ClaimStore for ControlPlane {
    fn begin_claim(&self, claim: ClaimRequest) -> BoxFuture<Result<ClaimDecision, ClaimError>> {
        let group = Arc::clone(&self.parts.group);
        Box::pin(async move {
            let command = LedgerCommand::BeginClaim(claim);
            // The nonce of the claim makes a second copy harmless.
            let reply = group.propose(&command, ProposeMode::Idempotent, CLAIM_TIMEOUT).await?;
            match reply {
                LedgerReply::Claim(ClaimReply::Decided(decision)) => Ok(decision),
                _ => Err(ClaimError::NotProposed),
            }
        })
    }

    fn finish_claim(
        &self,
        request: RequestId,
        digest: BodyDigest,
        record: ActionRecord,
    ) -> BoxFuture<Result<(), ClaimError>> {
        let group = Arc::clone(&self.parts.group);
        let wanted = record.outcome;
        let command = LedgerCommand::FinishClaim(ClaimFinish {
            request,
            digest,
            record,
            instance: self.parts.instance.clone(),
            incarnation: self.parts.incarnation,
            wall: self.parts.clock.wall(),
        });
        Box::pin(async move {
            let reply = group.propose(&command, ProposeMode::Idempotent, FINISH_TIMEOUT).await?;
            match reply {
                LedgerReply::Finish(FinishReply::Recorded) => Ok(()),
                LedgerReply::Finish(FinishReply::EndedBefore(known)) => {
                    // A resend of the same end is recorded; another end stands instead of this one.
                    let same = known.outcome == wanted && wanted != ActionOutcome::Unknown;
                    if same { Ok(()) } else { Err(ClaimError::Undecided) }
                }
                _ => Err(ClaimError::Undecided),
            }
        })
    }

    fn refuse_claim(
        &self,
        request: RequestId,
        digest: BodyDigest,
        reason: String,
    ) -> BoxFuture<Result<(), ClaimError>> {
        let group = Arc::clone(&self.parts.group);
        let wall = self.parts.clock.wall();
        let command = LedgerCommand::RefuseClaim(ClaimRefusal { request, digest, reason, wall });
        Box::pin(async move {
            let reply = group.propose(&command, ProposeMode::Idempotent, FINISH_TIMEOUT).await?;
            match reply {
                LedgerReply::Finish(FinishReply::Recorded) => Ok(()),
                _ => Err(ClaimError::Undecided),
            }
        })
    }
}

/// What the frames of other instances reach.
struct HandlerParts {
    gossip: Arc<GossipDriver>,
    /// The member at this instance, if it has a disk.
    member: Option<MemberHandle>,
}

/// Takes the frames of other instances; drops them until it is connected.
#[derive(Default)]
pub struct PlaneHandler {
    parts: OnceLock<HandlerParts>,
}

impl PeerHandler for PlaneHandler {
    fn handle_frame(&self, from: PeerSender, frame: PeerFrame) {
        let Some(parts) = self.parts.get() else { return };
        match frame.kind {
            FrameKind::Membership => parts.gossip.take_membership(from.address, &frame.payload),
            FrameKind::Directory => parts.gossip.take_directory(from.address, &frame.payload),
            FrameKind::Quorum => parts.take_quorum(from, &frame),
            FrameKind::Control | FrameKind::Events => {}
        }
    }

    fn handle_call(
        &self,
        _from: PeerSender,
        frame: PeerFrame,
    ) -> BoxFuture<Result<PeerFrame, CallRefusal>> {
        let member = self.parts.get().and_then(|parts| parts.member.clone());
        Box::pin(async move {
            if frame.kind != FrameKind::Control {
                return Err(CallRefusal::UnknownKind);
            }
            let refuse = |reason: String| CallRefusal::Refused { reason };
            let Some(member) = member else {
                return Err(refuse("the instance has no disk".to_owned()));
            };
            let request: ControlRequest =
                decode_payload(&frame.payload).map_err(|error| refuse(error.to_string()))?;
            let reply = ask_member(&member, request).await;
            let payload = encode_payload(&reply).map_err(|error| refuse(error.to_string()))?;
            Ok(PeerFrame { kind: FrameKind::Control, payload })
        })
    }
}

impl PlaneHandler {
    /// Connects the handler to the parts that frames reach.
    pub fn connect(&self, gossip: Arc<GossipDriver>, member: Option<MemberHandle>) {
        // A second call would change nothing: frames go where the first call sent them.
        let _ = self.parts.set(HandlerParts { gossip, member });
    }
}

impl HandlerParts {
    fn take_quorum(&self, from: PeerSender, frame: &PeerFrame) {
        let Some(member) = &self.member else { return };
        if let Ok(message) = decode_payload(&frame.payload) {
            // The log repeats what is lost here.
            member.send(MemberInput::Message { from: from.id, message });
        }
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

/// Returns whether a failed proposal may be sent again under the same name.
pub(super) fn failure_outcome(failure: &ProposeFailure) -> ActionOutcome {
    match failure {
        ProposeFailure::NotProposed { .. } => ActionOutcome::NotRun,
        ProposeFailure::Undecided => ActionOutcome::Unknown,
    }
}
