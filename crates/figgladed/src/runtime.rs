//! One running instance: it assembles the parts and stops them in order.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};

use derive_more::{Display, Error, From};
use figglade::{
    Incarnation, InstanceId,
    border::{LogStore, LogStoreError},
    controller::{
        event::EventKind,
        membership::MembershipSettings,
        quorum::{MemberRole, MemberSet, MemberSpec, QuorumSettings},
    },
};
use slog::{Logger, info, warn};
use tokio::{sync::Notify, task::JoinHandle};

use crate::{
    api::{ApiContext, ApiError, ApiServer, start_server},
    clock::ProcessClock,
    control::{
        ControlError, ControlGroupClient, ControlMember, ControlPlane, ControlState,
        ELECTION_TIMEOUT, GossipDriver, GossipParts, HEARTBEAT_PERIOD, LEASE_MARGIN, MemberHandle,
        MemberParts, PlaneHandler, PlaneParts,
    },
    log_store::{FileLogStore, StoreLimits},
    metrics::{MetricsError, TierMetrics},
    peer_link::{PeerHandle, PeerLinkError, PeerOptions, PeerTransport},
    settings::{InstanceSettings, LoadedKeys, SettingsError},
    target_client::HttpTargetClient,
    tier::{IndexCatalog, QueryTier, TierParts},
    timeline::{TimelineError, TimelineOptions, TimelineStore},
};

/// The folder of the quorum log within the data folder.
const LOG_FOLDER: &str = "quorum";
/// The most entries of one append message.
const MAX_APPEND_ENTRIES: usize = 512;
/// The most payload bytes of one append message.
const MAX_APPEND_BYTES: usize = 512 << 10;
/// How often connections to targets are opened ahead of requests.
const WARM_PERIOD: Duration = Duration::from_millis(500);
/// How long a stopping instance waits for the news of it to spread.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often that is looked at.
const LEAVE_POLL: Duration = Duration::from_millis(20);

/// The reason an instance could not start.
#[derive(Debug, Display, Error, From)]
pub enum RuntimeError {
    /// A setting or key file cannot be used.
    Settings(SettingsError),
    /// The HTTP interface could not start.
    Api(ApiError),
    /// The peer links could not start.
    Link(PeerLinkError),
    /// The log on disk cannot be used.
    Store(LogStoreError),
    /// The control plane could not start.
    Control(ControlError),
    /// The time line could not be opened.
    Timeline(TimelineError),
    /// The instruments could not be set up.
    Metrics(MetricsError),
}

/// One running instance.
pub struct InstanceRuntime {
    server: ApiServer,
    plane: Arc<ControlPlane>,
    gossip: Arc<GossipDriver>,
    member: Option<ControlMember>,
    transport: PeerTransport,
    state: Arc<ControlState>,
    timeline: TimelineStore,
    gossip_task: JoinHandle<()>,
    renewal_tasks: Vec<JoinHandle<()>>,
    log: Logger,
}

/// What the start of an instance has built so far.
struct InstanceBuilder {
    settings: InstanceSettings,
    clock: ProcessClock,
    incarnation: Incarnation,
    log: Logger,
    state: Arc<ControlState>,
    catalog: Arc<IndexCatalog>,
    client: Arc<HttpTargetClient>,
    timeline: TimelineStore,
    metrics: Arc<TierMetrics>,
    renew_now: Arc<Notify>,
    keys: Arc<LoadedKeys>,
}

impl InstanceRuntime {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Fails when a key file or the log on disk is not usable or an address cannot be bound.
    pub async fn start(settings: InstanceSettings, log: Logger) -> Result<Self, RuntimeError> {
        let builder = InstanceBuilder::new(settings, log)?;
        let handler = Arc::new(PlaneHandler::default());
        let transport = builder.start_transport(Arc::clone(&handler)).await?;
        // Peers know the sender of a frame by this address, so membership must name the same one.
        let advertised = builder.settings.listen.advertise_peer;
        let peer = advertised.unwrap_or_else(|| transport.local_address());
        let link = transport.handle();
        let member = builder.start_member(peer, &link)?;
        let handle = member.as_ref().map(ControlMember::handle);
        let group = builder.make_group(peer, &link, handle.clone());
        // The port of the HTTP interface is known before it listens only where it is not zero.
        let http = builder.settings.listen.http;
        let gossip = builder.make_gossip(peer, http, link.clone());
        handler.connect(Arc::clone(&gossip), handle.clone());
        let plane = builder.make_plane(group, Arc::clone(&gossip), link, handle);
        let server = builder.start_api(&plane)?;
        info!(builder.log, "instance: started"; "http" => %server.local_addr(), "peer" => %peer);
        let gossip_task = tokio::spawn(Arc::clone(&gossip).run());
        let renewal_tasks = vec![
            tokio::spawn(Arc::clone(&plane).run_renewals()),
            tokio::spawn(Arc::clone(&plane).run_manifests()),
        ];
        let InstanceBuilder { state, timeline, log, .. } = builder;
        timeline.record(EventKind::InstanceStarted, None, "");
        Ok(Self {
            server,
            plane,
            gossip,
            member,
            transport,
            state,
            timeline,
            gossip_task,
            renewal_tasks,
            log,
        })
    }

    /// Returns where the HTTP interface listens.
    pub fn http_address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Waits until another process runs under the identifier of this instance.
    pub async fn superseded(&self) {
        self.gossip.superseded.notified().await;
    }

    /// Stops the instance: turns not ready, waits for the balancer, finishes what is in flight,
    /// hands over the leadership, tells the fleet and closes.
    pub async fn close(self) {
        info!(self.log, "instance: stopping");
        self.timeline.record(EventKind::InstanceStopping, None, "");
        self.plane.begin_stop();
        tokio::time::sleep(Duration::from_millis(self.state.settings().drain_wait_ms)).await;
        if let Err(error) = self.server.close().await {
            warn!(self.log, "instance: the HTTP interface did not close"; "error" => error);
        }
        for task in &self.renewal_tasks {
            task.abort();
        }
        self.plane.release_shares().await;
        if let Some(member) = &self.member {
            member.handle().send(crate::control::MemberInput::TransferLeadership);
        }
        self.gossip.begin_leave();
        let give_up = tokio::time::Instant::now() + LEAVE_TIMEOUT;
        while !self.gossip.has_left() && tokio::time::Instant::now() < give_up {
            tokio::time::sleep(LEAVE_POLL).await;
        }
        self.gossip_task.abort();
        if let Some(member) = self.member {
            // The thread syncs what it has begun; joining it blocks only for that long.
            let closed = tokio::task::spawn_blocking(move || member.close()).await;
            if closed.is_err() {
                warn!(self.log, "instance: the control member did not close");
            }
        }
        self.transport.close().await;
        self.timeline.record(EventKind::InstanceStopped, None, "");
        // The writer syncs what it holds; waiting for it blocks only for that long.
        let timeline = self.timeline;
        let _ = tokio::task::spawn_blocking(move || timeline.close()).await;
        info!(self.log, "instance: stopped");
    }
}

impl InstanceBuilder {
    fn new(settings: InstanceSettings, log: Logger) -> Result<Self, RuntimeError> {
        let keys = Arc::new(LoadedKeys::load(&settings)?);
        let clock = ProcessClock::start();
        let zone = settings.instance.availability_zone.clone();
        let state = Arc::new(ControlState::new(settings.instance.id.clone(), zone.clone()));
        let incarnation = Incarnation::new(clock.wall().as_millis());
        let timeline = TimelineOptions {
            instance: settings.instance.id.clone(),
            incarnation,
            max_events: settings.limits.timeline_events,
            data_dir: settings.instance.data_dir.clone(),
            max_file_bytes: settings.limits.timeline_file_bytes,
            wall: Arc::new(move || clock.wall()),
        };
        let timeline = TimelineStore::open(timeline, log.clone())?;
        Ok(Self {
            clock,
            incarnation,
            catalog: Arc::new(IndexCatalog::new(zone, Arc::clone(&state) as _)),
            client: Arc::new(HttpTargetClient::new(settings.limits.max_answer_bytes)),
            timeline,
            metrics: Arc::new(TierMetrics::new()?),
            renew_now: Arc::new(Notify::new()),
            keys,
            state,
            settings,
            log,
        })
    }

    async fn start_transport(
        &self,
        handler: Arc<PlaneHandler>,
    ) -> Result<PeerTransport, RuntimeError> {
        let mut options = PeerOptions::new(
            self.settings.listen.peer,
            self.settings.instance.id.clone(),
            self.incarnation,
            self.keys.peer.clone(),
        );
        options.advertise = self.settings.listen.advertise_peer;
        options.clock = Some(Arc::new(self.timeline.recorder()));
        Ok(PeerTransport::start(options, handler, self.log.clone()).await?)
    }

    /// Starts the control member where the instance has a disk.
    fn start_member(
        &self,
        peer: SocketAddr,
        link: &PeerHandle,
    ) -> Result<Option<ControlMember>, RuntimeError> {
        let Some(folder) = &self.settings.instance.data_dir else { return Ok(None) };
        let store = FileLogStore::open(&folder.join(LOG_FOLDER), StoreLimits::default())?;
        let renew_now = Arc::clone(&self.renew_now);
        let timeline = self.timeline.recorder();
        let parts = MemberParts {
            settings: QuorumSettings {
                id: self.settings.instance.id.clone(),
                peer,
                storage: store.storage_id(),
                election_timeout: ELECTION_TIMEOUT,
                heartbeat_period: HEARTBEAT_PERIOD,
                lease_margin: LEASE_MARGIN,
                max_append_entries: MAX_APPEND_ENTRIES,
                max_append_bytes: MAX_APPEND_BYTES,
            },
            initial: self.initial_members(peer),
            store: Box::new(store),
            reopen: None,
            tolerated_losses: 0,
            link: Arc::new(link.clone()),
            clock: self.clock,
            on_change: Box::new(move || renew_now.notify_one()),
            record_event: Box::new(move |kind, detail| timeline.record(kind, None, detail)),
            log: self.log.clone(),
        };
        Ok(Some(ControlMember::start(parts)?))
    }

    fn initial_members(&self, peer: SocketAddr) -> MemberSet {
        let addresses = self.control_addresses(peer);
        let specs = addresses
            .into_iter()
            .map(|(id, peer)| (id, MemberSpec { peer, storage: None, role: MemberRole::Voter }));
        MemberSet { members: specs.collect() }
    }

    /// Returns the first control group; this instance stands in it where it really listens.
    fn control_addresses(&self, peer: SocketAddr) -> BTreeMap<InstanceId, SocketAddr> {
        let own = &self.settings.instance.id;
        let members = self.settings.control.members.iter().map(|member| {
            let address = if member.id == *own { peer } else { member.peer };
            (member.id.clone(), address)
        });
        members.collect()
    }

    fn make_group(
        &self,
        peer: SocketAddr,
        link: &PeerHandle,
        member: Option<MemberHandle>,
    ) -> Arc<ControlGroupClient> {
        let own = member.map(|member| (self.settings.instance.id.clone(), member));
        let members = self.control_addresses(peer);
        Arc::new(ControlGroupClient::new(self.clock, link.clone(), own, members))
    }

    fn make_gossip(
        &self,
        peer: SocketAddr,
        http: SocketAddr,
        link: PeerHandle,
    ) -> Arc<GossipDriver> {
        let timeline = self.timeline.recorder();
        let client = Arc::clone(&self.client);
        let parts = GossipParts {
            clock: self.clock,
            link: Arc::new(link),
            state: Arc::clone(&self.state),
            catalog: Arc::clone(&self.catalog),
            record_event: Box::new(move |kind, detail| timeline.record(kind, None, detail)),
            forget_target: Box::new(move |address| client.forget_target(address)),
            log: self.log.clone(),
        };
        let settings = MembershipSettings {
            id: self.settings.instance.id.clone(),
            incarnation: self.incarnation,
            peer,
            http,
            availability_zone: self.settings.instance.availability_zone.clone(),
            timing: Default::default(),
        };
        let mut seeds = self.settings.peers.seeds.clone();
        seeds.extend(self.control_addresses(peer).into_values());
        seeds.sort();
        seeds.dedup();
        Arc::new(GossipDriver::new(parts, settings, &seeds))
    }

    fn make_plane(
        &self,
        group: Arc<ControlGroupClient>,
        gossip: Arc<GossipDriver>,
        peer: PeerHandle,
        member: Option<MemberHandle>,
    ) -> Arc<ControlPlane> {
        let client = Arc::clone(&self.client);
        let pool_client = Arc::clone(&self.client);
        let parts = PlaneParts {
            clock: self.clock,
            instance: self.settings.instance.id.clone(),
            incarnation: self.incarnation,
            state: Arc::clone(&self.state),
            group,
            gossip,
            catalog: Arc::clone(&self.catalog),
            member,
            limit_connections: Box::new(move |address, share| {
                client.limit_connections(address, share)
            }),
            read_pool: Box::new(move || pool_client.pool_gauges()),
            peer,
            timeline: self.timeline.recorder(),
            log: self.log.clone(),
        };
        Arc::new(ControlPlane::new(parts, Arc::clone(&self.renew_now)))
    }

    fn start_api(&self, plane: &Arc<ControlPlane>) -> Result<ApiServer, RuntimeError> {
        let metrics = Arc::clone(&self.metrics);
        let parts = TierParts {
            clock: self.clock,
            instance: self.settings.instance.id.clone(),
            incarnation: self.incarnation,
            catalog: Arc::clone(&self.catalog),
            client: Arc::clone(&self.client) as _,
            claims: Arc::clone(plane) as _,
            control: Arc::clone(plane) as _,
            metrics: Arc::clone(&metrics),
            log: self.log.clone(),
        };
        let tier = Arc::new(QueryTier::new(parts, Arc::clone(&self.state) as _));
        tokio::spawn(keep_warm(Arc::downgrade(&tier)));
        let context = Arc::new(ApiContext {
            tier,
            control: Arc::new(Arc::clone(plane)),
            keys: Arc::clone(&self.keys),
            clock: self.clock,
            metrics,
        });
        let limits = &self.settings.limits;
        Ok(start_server(self.settings.listen.http, limits.max_body_bytes, context, &self.log)?)
    }
}

/// Keeps connections to targets warm until the request path is dropped.
async fn keep_warm(tier: Weak<QueryTier>) {
    let mut ticks = tokio::time::interval(WARM_PERIOD);
    loop {
        ticks.tick().await;
        let Some(tier) = tier.upgrade() else { return };
        tier.warm_targets();
    }
}
