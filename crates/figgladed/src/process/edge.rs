//! The edge process, which serves the requests of callers.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use figglade::{
    Incarnation,
    controller::{
        hub_chooser::HubChooser,
        route_set::{CallerLimits, RouteCodec},
    },
    filter::{intake::IntakeLimits, link_limit::LinkLimit, shutdown::ShutdownPlan},
};
use slog::{Logger, info};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    task::spawn_local,
    time::{interval, sleep_until, timeout},
};

use super::{
    error::ProcessError,
    settings::{ProcessSettings, SettingsReader},
    watch::ProcessWatch,
};
use crate::{
    clock::ProcessClock,
    http1::{
        HttpHandler, HttpRequest, HttpResponse, HttpServer, IntakeControl, LocalFuture,
        ServerPhase, ShutdownSignal,
    },
    hub::{HubFollower, HubHandler},
    peer_link::{PeerLimits, PeerOptions, PeerTransport},
    relay::{
        AggregatorService, EdgeState, HeaderNames, QuotaClient, ReadyHandler, RelayHandler,
        RelayMetrics, SearchHandover,
    },
    sockets,
};

/// The maximum number of messages queued for the thread of the process.
pub(super) const MAX_QUEUED_INPUTS: usize = 1_024;
/// The bytes held for the connections of readiness probes, and for those that read metrics.
const PROBE_BYTES: usize = 1 << 20;
/// The maximum number of connections of readiness probes, and of those that read metrics.
const MAX_PROBE_CONNECTIONS: usize = 32;
/// The bounds on what is held for a listener of the platform itself.
const PROBE_LIMITS: IntakeLimits = IntakeLimits::for_probes(PROBE_BYTES, MAX_PROBE_CONNECTIONS);
/// The descriptors of a process beside its connections to callers, targets and peers: those of probes,
/// listeners, timers, files and the log.
const OTHER_FILES: usize = 2 * MAX_PROBE_CONNECTIONS + 32;
/// The time between two maintenance runs of the connections.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// The time after which a peer that reads nothing or answers no ping is disconnected: a stalled
/// connection must not delay updates for long.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The time-out of the connection set-up with a peer; shorter than the time after which the kernel
/// retransmits a lost SYN.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(600);
/// The maximum delay between two attempts to connect to a peer: instances restart within a second.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// The settings and dependencies of the edge.
pub struct EdgeProcess {
    /// The settings at the start.
    pub settings: ProcessSettings,
    /// Reads the settings again when they may have changed.
    pub reader: Box<dyn SettingsReader>,
    /// Decodes the route documents of operators.
    pub codec: Box<dyn RouteCodec>,
    /// The names of the headers of callers and targets.
    pub names: HeaderNames,
    /// The log of the process.
    pub log: Logger,
}

/// Runs the edge until a signal stops it. It must run within a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// Fails when it cannot start.
pub async fn run_edge(process: EdgeProcess) -> Result<(), ProcessError> {
    let EdgeProcess { settings, reader, codec, names, log } = process;
    // The signal handlers come first: without them, a reload signal (SIGHUP) ends the process.
    let mut watch = ProcessWatch::start(settings.clone(), log.clone())?;
    let clock = ProcessClock::start();
    info!(log, "process: the edge starts"; "instance" => %settings.id, "zone" => %settings.zone,
        "settings" => format!("{settings:?}"));
    let limits = caller_limits(&settings);
    let callers = require(settings.callers, "the address for callers")?;
    let callers = listen(callers, &limits, &log)?;
    let readiness = require(settings.readiness, "the address for readiness")?;
    let readiness = listen(readiness, &PROBE_LIMITS, &log)?;
    let (inputs, received) = mpsc::channel(MAX_QUEUED_INPUTS);
    let (searches, received_searches) = mpsc::channel(MAX_QUEUED_INPUTS);
    let handler = HubHandler::new(inputs, Arc::default(), Some(searches));
    let transport = start_links(&settings, handler, clock, &log).await?;
    let edge =
        EdgeState::new(clock, names, settings.edge.clone(), log.clone(), rand::random::<u64>());
    let edge = Rc::new(edge);
    let follower = Rc::new(HubFollower::new(
        Rc::clone(&edge),
        codec,
        clock,
        transport.handle(),
        HubChooser::new(settings.zone.clone()),
        log.clone(),
    ));
    follower.update_seeds(&settings.seeds);
    let switch = Rc::new(ShutdownSignal::default());
    spawn_local(Rc::clone(&follower).run(received));
    let handover = Rc::new(SearchHandover::new(Rc::clone(&edge), Rc::new(transport.handle())));
    spawn_local(Rc::clone(edge.overload()).run());
    spawn_local(maintain(Rc::clone(&edge), Rc::clone(&handover)));
    let aggregator = Rc::new(AggregatorService::new(Rc::clone(&edge), Rc::clone(&handover)));
    spawn_local(Rc::clone(&aggregator).run(received_searches));
    let intake = Rc::new(IntakeControl::new(limits, clock, log.clone()));
    let quota_follower = Rc::clone(&follower);
    let quota = Rc::new(QuotaClient::new(
        Rc::clone(&edge),
        Rc::new(transport.handle()),
        Box::new(move |is_avoided| quota_follower.choose_for_call(is_avoided)),
    ));
    let relay = Rc::new(RelayHandler::new(Rc::clone(&edge), handover, quota));
    serve(callers, relay, &intake, &switch, &log);
    let probe_switch = Rc::new(ShutdownSignal::default());
    let ready = Rc::new(ReadyHandler::new(Rc::clone(&edge)));
    serve(readiness, ready, &probe_intake(clock, &log), &probe_switch, &log);
    if let Some(address) = settings.metrics {
        let metrics = Rc::clone(edge.metrics());
        let render = move || RelayMetrics::render(&metrics) + &intake.render();
        serve_metrics(address, render, clock, &log);
    }
    let grace = settings.stop_grace;
    watch.wait_for_stop(reader.as_ref(), |settings| follower.update_seeds(&settings.seeds)).await;
    info!(log, "process: the edge stops"; "active" => switch.active());
    let plan = ShutdownPlan::new(clock.now(), grace);
    edge.begin_shutdown(plan);
    finish_requests(&switch, &aggregator, plan, &clock, &log).await;
    info!(log, "process: the edge stopped"; "cut_off" => switch.active());
    transport.close().await;
    Ok(())
}

/// Serves until the load balancer has removed the instance, then closes each connection after its
/// current answer, and waits for the remaining requests.
async fn finish_requests(
    switch: &ShutdownSignal,
    aggregator: &AggregatorService,
    plan: ShutdownPlan,
    clock: &ProcessClock,
    log: &Logger,
) {
    sleep_until(clock.instant_of(plan.drains_at())).await;
    switch.advance(ServerPhase::Draining);
    sleep_until(clock.instant_of(plan.closes_idle_at())).await;
    switch.advance(ServerPhase::Finishing);
    let time_left = plan.exits_at().since(clock.now());
    // No search is accepted any more, so that none begins after this wait.
    let searches_end = timeout(time_left, aggregator.wait_idle());
    if searches_end.await.is_err() {
        info!(log, "process: the edge stops before searches of other instances have ended");
    }
    // The log line of the stop reports how many requests are still in flight.
    switch.close_when_idle(plan.exits_at().since(clock.now())).await;
}

async fn maintain(edge: Rc<EdgeState>, handover: Rc<SearchHandover>) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        edge.maintain();
        handover.refresh_links();
    }
}

/// Starts the links to other processes.
pub(super) async fn start_links(
    settings: &ProcessSettings,
    handler: HubHandler,
    clock: ProcessClock,
    log: &Logger,
) -> Result<PeerTransport, ProcessError> {
    let incarnation = Incarnation::new(clock.wall().as_millis());
    let mut options = PeerOptions::new(settings.peer, settings.id.clone(), incarnation, None);
    let (accepted, made) = divide_peer_files(settings);
    options.limits = PeerLimits {
        max_inbound_connections: accepted,
        max_links: made,
        stall_timeout: STALL_TIMEOUT,
        ping_timeout: STALL_TIMEOUT,
        handshake_timeout: HANDSHAKE_TIMEOUT,
        max_backoff: MAX_BACKOFF,
        ..PeerLimits::default()
    };
    Ok(PeerTransport::start(options, Arc::new(handler), log.clone()).await?)
}

/// Returns how many connections of peers the process accepts, and how many links it makes: half each of
/// the descriptors that callers, targets and files leave.
fn divide_peer_files(settings: &ProcessSettings) -> (usize, usize) {
    let (memory, files) = (settings.edge.memory, settings.edge.files);
    let taken = caller_limits(settings).connections()
        + LinkLimit::new(memory, files).connections()
        + OTHER_FILES;
    let each = (files.get() as usize).saturating_sub(taken) / 2;
    let defaults = PeerLimits::default();
    (each.clamp(1, defaults.max_inbound_connections), each.clamp(1, defaults.max_links))
}

/// Returns the bounds on what the process holds for callers, or a hub for targets and operators.
pub(super) fn caller_limits(settings: &ProcessSettings) -> IntakeLimits {
    let memory = settings.edge.memory;
    IntakeLimits::new(memory, settings.edge.files).with_receive_buffers(memory)
}

/// Builds the accounts of a listener for the platform itself, which callers thus cannot exhaust.
fn probe_intake(clock: ProcessClock, log: &Logger) -> Rc<IntakeControl> {
    Rc::new(IntakeControl::new(PROBE_LIMITS, clock, log.clone()))
}

/// Serves the connections of a listener in the background.
pub(super) fn serve(
    listener: TcpListener,
    handler: Rc<dyn HttpHandler>,
    intake: &Rc<IntakeControl>,
    switch: &Rc<ShutdownSignal>,
    log: &Logger,
) {
    let (intake, switch) = (Rc::clone(intake), Rc::clone(switch));
    let server = HttpServer { listener, handler, intake, switch, log: log.clone() };
    spawn_local(server.run());
}

/// Serves metrics; logs a warning if it cannot listen on their address.
pub(super) fn serve_metrics(
    address: SocketAddr,
    render: impl Fn() -> String + 'static,
    clock: ProcessClock,
    log: &Logger,
) {
    match listen(address, &PROBE_LIMITS, log) {
        Ok(listener) => {
            let handler = Rc::new(MetricsHandler(render));
            serve(listener, handler, &probe_intake(clock, log), &Rc::default(), log);
        }
        // The process can serve requests without metrics.
        Err(error) => slog::warn!(log, "process: cannot serve metrics"; "reason" => %error),
    }
}

struct MetricsHandler<F>(F);

impl<F: Fn() -> String> HttpHandler for MetricsHandler<F> {
    fn handle(&self, _request: HttpRequest) -> LocalFuture<'_, HttpResponse> {
        Box::pin(std::future::ready(HttpResponse::text(200, (self.0)())))
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }
}

/// Listens on an address.
pub(super) fn listen(
    address: SocketAddr,
    limits: &IntakeLimits,
    log: &Logger,
) -> Result<TcpListener, ProcessError> {
    sockets::listen(address, limits, log).map_err(|error| ProcessError::Listen { address, error })
}

/// Returns a value that the program requires, or an error that names the missing setting.
pub(super) fn require<T>(value: Option<T>, key: &'static str) -> Result<T, ProcessError> {
    value.ok_or(ProcessError::Missing { key })
}
