//! The hub process, which receives the reports of targets and the route sets of operators.

use std::{
    rc::Rc,
    sync::{Arc, OnceLock},
    time::Duration,
};

use figglade::controller::{route_set::RouteCodec, service_directory::TargetCapacity};
use slog::{Logger, error, info};
use tokio::{
    sync::{Notify, mpsc},
    task::spawn_local,
    time::sleep,
};

use super::{
    edge::{MAX_QUEUED_INPUTS, caller_limits, listen, require, serve, serve_metrics, start_links},
    error::ProcessError,
    settings::{ProcessSettings, SettingsReader},
    watch::ProcessWatch,
};
use crate::{
    clock::ProcessClock,
    control::{ControlGroupClient, ControlMember, MemberHandle},
    http1::{HttpHandler, IntakeControl, ServerPhase, ShutdownSignal},
    hub::{
        HubHandler, HubNode, HubParts, HubQuota, MemberOptions, QuotaParts, TargetStore,
        start_member,
    },
    peer_link::{PeerHandle, PeerTransport},
};

/// How long the hub still runs after the request to stop, so that the leadership is handed over and
/// calls complete.
const STOP_DELAY: Duration = Duration::from_millis(400);
/// The time that calls in flight then have to complete.
const CALL_DRAIN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Builds the handler for the calls of targets and operators.
pub type AdminFactory = Box<dyn FnOnce(Rc<HubNode>, Logger) -> Rc<dyn HttpHandler>>;

/// The settings and dependencies of the hub.
pub struct HubProcess {
    /// The settings at the start.
    pub settings: ProcessSettings,
    /// Reads the settings again when they may have changed.
    pub reader: Box<dyn SettingsReader>,
    /// Decodes the route documents of operators.
    pub codec: Rc<dyn RouteCodec>,
    /// Builds the handler for the calls of targets and operators.
    pub admin: AdminFactory,
    /// The log of the process.
    pub log: Logger,
}

/// Runs the hub until a signal stops it. It must run within a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// Fails when it cannot start.
pub async fn run_hub(process: HubProcess) -> Result<(), ProcessError> {
    let HubProcess { settings, reader, codec, admin, log } = process;
    // The signal handlers come first: without them, a reload signal (SIGHUP) ends the process.
    let mut watch = ProcessWatch::start(settings.clone(), log.clone())?;
    let clock = ProcessClock::start();
    info!(log, "process: the hub starts"; "instance" => %settings.id, "zone" => %settings.zone,
        "settings" => format!("{settings:?}"));
    let admin_address = require(settings.admin, "the address for targets and operators")?;
    let limits = caller_limits(&settings);
    let listener = listen(admin_address, &limits, &log)?;
    let (inputs, received) = mpsc::channel(MAX_QUEUED_INPUTS);
    let member = Arc::new(OnceLock::new());
    let (quotas, received_quotas) = mpsc::channel(MAX_QUEUED_INPUTS);
    let handler = HubHandler::new(inputs, Arc::clone(&member), None).with_quotas(quotas);
    let transport = start_links(&settings, handler, clock, &log).await?;
    let own = settings.data.is_some().then(|| Arc::clone(&member));
    // The greetings of other hubs name the other members; a lone hub has none.
    let members = own.iter().map(|_| (settings.id.clone(), settings.peer)).collect();
    let group = ControlGroupClient::with_late_member(
        clock,
        transport.handle(),
        own.map(|member| (settings.id.clone(), member)),
        members,
    );
    let node = Rc::new(HubNode::new(HubParts {
        id: settings.id.clone(),
        peer: settings.peer,
        admin: admin_address,
        zone: settings.zone.clone(),
        zones: settings.zones.clone(),
        has_disk: settings.data.is_some(),
        tolerated_losses: settings.tolerated_losses,
        report_period: settings.report_period,
        capacity: TargetCapacity::new(settings.edge.memory),
        is_first_start: settings.is_first_start,
        clock,
        link: transport.handle(),
        group: Arc::new(group),
        member: Arc::clone(&member),
        codec: Rc::clone(&codec),
        target_store: settings.data.as_ref().map(|data| TargetStore::new(&data.path)),
        log: log.clone(),
    }));
    node.update_seeds(&settings.seeds);
    let parts = QuotaParts {
        id: settings.id.clone(),
        peer: settings.peer,
        run: rand::random::<u64>(),
        rules: settings.quota,
        codec,
        link: transport.handle(),
        member: Arc::clone(&member),
        log: log.clone(),
    };
    let quota = Rc::new(HubQuota::new(parts, Rc::clone(&node)));
    spawn_local(Rc::clone(&quota).run(received_quotas));
    spawn_local(Rc::clone(&quota).confirm_authority());
    let switch = Rc::new(ShutdownSignal::default());
    spawn_local(Rc::clone(&node).run(received));
    let intake = Rc::new(IntakeControl::new(limits, clock, log.clone()));
    serve(listener, admin(Rc::clone(&node), log.clone()), &intake, &switch, &log);
    if let Some(address) = settings.metrics {
        let metrics_node = Rc::clone(&node);
        let render =
            move || metrics_node.render_metrics() + &quota.render_metrics() + &intake.render();
        serve_metrics(address, render, clock, &log);
    }
    let routes_changed = Arc::new(Notify::new());
    spawn_local(broadcast_changes(Rc::clone(&node), Arc::clone(&routes_changed)));
    let running = Rc::new(std::cell::RefCell::new(None));
    if let Some(options) =
        member_options(&settings, clock, transport.handle(), routes_changed, &log)
    {
        spawn_local(run_member(options, Rc::clone(&node), member, Rc::clone(&running)));
    }
    let update = |settings: &ProcessSettings| {
        node.update_seeds(&settings.seeds);
        node.update_zones(settings.zones.clone());
    };
    watch.wait_for_stop(reader.as_ref(), update).await;
    info!(log, "process: the hub stops");
    node.leave();
    sleep(STOP_DELAY).await;
    switch.advance(ServerPhase::Finishing);
    switch.close_when_idle(CALL_DRAIN_TIMEOUT).await;
    stop_parts(transport, &running).await;
    info!(log, "process: the hub stopped");
    Ok(())
}

async fn stop_parts(transport: PeerTransport, running: &std::cell::RefCell<Option<ControlMember>>) {
    let member = running.borrow_mut().take();
    if let Some(member) = member {
        member.close();
    }
    transport.close().await;
}

fn member_options(
    settings: &ProcessSettings,
    clock: ProcessClock,
    link: PeerHandle,
    routes_changed: Arc<Notify>,
    log: &Logger,
) -> Option<MemberOptions> {
    let data = settings.data.as_ref()?;
    Some(MemberOptions {
        id: settings.id.clone(),
        peer: settings.peer,
        folder: data.path.join("quorum"),
        disk_bytes: data.disk_bytes,
        is_first_start: settings.is_first_start,
        tolerated_losses: settings.tolerated_losses,
        seeds: settings.seeds.clone(),
        clock,
        link,
        routes_changed,
        log: log.clone(),
    })
}

async fn run_member(
    options: MemberOptions,
    node: Rc<HubNode>,
    handle: Arc<OnceLock<MemberHandle>>,
    running: Rc<std::cell::RefCell<Option<ControlMember>>>,
) {
    let log = options.log.clone();
    match start_member(options, &node).await {
        Ok(member) => {
            // Cannot fail: the cell is set only here.
            let _ = handle.set(member.handle());
            *running.borrow_mut() = Some(member);
        }
        Err(reason) => error!(log, "quorum: cannot start the member"; "reason" => %reason),
    }
}

async fn broadcast_changes(node: Rc<HubNode>, changed: Arc<Notify>) {
    loop {
        changed.notified().await;
        node.broadcast_changes();
    }
}
