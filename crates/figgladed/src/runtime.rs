//! One running instance: builds its components and stops them in order.

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
const QUORUM_LOG_FOLDER: &str = "quorum";
/// The most entries of one append message.
const MAX_APPEND_ENTRIES: usize = 512;
/// The most payload bytes of one append message.
const MAX_APPEND_BYTES: usize = 512 << 10;
/// The interval at which connections to targets are opened ahead of requests.
const WARM_UP_INTERVAL: Duration = Duration::from_millis(500);
/// How long a stopping instance waits until gossip has announced that it leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval at which a stopping instance checks that.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(20);

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
    /// The metrics could not be set up.
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

/// The components that the start of an instance has built so far.
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
        // Peers identify the sender of a frame by this address, so membership must announce the same
        // one.
        let advertised = builder.settings.listen.advertise_peer;
        let peer = advertised.unwrap_or_else(|| transport.local_address());
        let link = transport.handle();
        let member = builder.start_member(peer, &link)?;
        let handle = member.as_ref().map(ControlMember::handle);
        let group = builder.build_group_client(peer, &link, handle.clone());
        // The HTTP interface does not listen yet: a configured port of 0 is announced as 0.
        let http = builder.settings.listen.http;
        let gossip = builder.build_gossip(peer, http, link.clone());
        handler.connect(Arc::clone(&gossip), handle.clone());
        let plane = builder.build_plane(group, Arc::clone(&gossip), link, handle);
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

    /// Returns the address on which the HTTP interface listens.
    pub fn http_address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Waits until another process runs under the identifier of this instance.
    pub async fn superseded(&self) {
        self.gossip.superseded.notified().await;
    }

    /// Stops the instance: reports not ready, waits for the load balancer to notice, finishes the
    /// requests in flight, transfers the leadership, announces that it leaves and closes.
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
        let deadline = tokio::time::Instant::now() + LEAVE_TIMEOUT;
        while !self.gossip.has_left() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(LEAVE_POLL_INTERVAL).await;
        }
        self.gossip_task.abort();
        if let Some(member) = self.member {
            // Joining the thread blocks until it has synced the writes it began.
            let closed = tokio::task::spawn_blocking(move || member.close()).await;
            if closed.is_err() {
                warn!(self.log, "instance: the control member did not close");
            }
        }
        self.transport.close().await;
        self.timeline.record(EventKind::InstanceStopped, None, "");
        // Blocks until the writer has synced the events it holds.
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

    /// Starts the control member if the instance has a data folder.
    fn start_member(
        &self,
        peer: SocketAddr,
        link: &PeerHandle,
    ) -> Result<Option<ControlMember>, RuntimeError> {
        let Some(folder) = &self.settings.instance.data_dir else { return Ok(None) };
        let store = FileLogStore::open(&folder.join(QUORUM_LOG_FOLDER), StoreLimits::default())?;
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

    /// Returns the configured members of the control group; the address of this instance is the one
    /// that it advertises or listens on.
    fn control_addresses(&self, peer: SocketAddr) -> BTreeMap<InstanceId, SocketAddr> {
        let own = &self.settings.instance.id;
        let members = self.settings.control.members.iter().map(|member| {
            let address = if member.id == *own { peer } else { member.peer };
            (member.id.clone(), address)
        });
        members.collect()
    }

    fn build_group_client(
        &self,
        peer: SocketAddr,
        link: &PeerHandle,
        member: Option<MemberHandle>,
    ) -> Arc<ControlGroupClient> {
        let own = member.map(|member| (self.settings.instance.id.clone(), member));
        let members = self.control_addresses(peer);
        Arc::new(ControlGroupClient::new(self.clock, link.clone(), own, members))
    }

    fn build_gossip(
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

    fn build_plane(
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
        tokio::spawn(warm_up_targets(Arc::downgrade(&tier)));
        let context = Arc::new(ApiContext {
            tier,
            control: Arc::new(Arc::clone(plane)),
            keys: Arc::clone(&self.keys),
            clock: self.clock,
            metrics,
        });
        let limits = self.settings.limits.front_limits();
        info!(self.log, "instance: limits of the HTTP interface"; "limits" => %limits);
        Ok(start_server(self.settings.listen.http, limits, context, &self.log)?)
    }
}

/// Opens connections to targets ahead of requests until the tier is dropped.
async fn warm_up_targets(tier: Weak<QueryTier>) {
    let mut ticks = tokio::time::interval(WARM_UP_INTERVAL);
    loop {
        ticks.tick().await;
        let Some(tier) = tier.upgrade() else { return };
        tier.warm_targets();
    }
}
