//! The state of the data path: the route set in force, the services with their targets, and what
//! has been observed of them.

mod evacuation;
mod targets;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use figglade::{
    CoreShare, FileLimit, InstanceId, MemorySize, ServiceName, Timestamp, ZoneName,
    controller::{
        aggregators::AggregatorAddress,
        census::InstanceCensus,
        evacuation::{EvacuationGate, EvacuationSet},
        route_set::{
            CallerLimits, Destination, RepeatRule, RouteSet, RouteSetVersion, RouteSpec, RouteTable,
        },
        service_directory::{ServiceDirectory, TargetRecord},
    },
    filter::{
        access::{RevocationRule, RouteProof},
        answer_buffers::BufferLimit,
        link_limit::LinkLimit,
        scatter::{
            AggregatorPicker, AnswerDelay, BudgetRules, HandoverState, InstanceShare, RouteProfile,
            ServiceState, ZoneCoverage, should_hand_over,
        },
        shutdown::ShutdownPlan,
    },
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use slog::{Logger, info};

use super::{
    drain_inbox::DrainInbox,
    headers::HeaderNames,
    metrics::RelayMetrics,
    overload::OverloadControl,
    pool::{LinkContext, LinkPools},
    request_log::RequestLog,
};
use crate::clock::ProcessClock;

/// The number of connections that a target is assumed to accept while no known route set lists its
/// service.
const DEFAULT_MAX_CONNECTIONS: u32 = 16;

/// The rules of the data path that come from the settings of the instance.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeRules {
    /// The identifier of the instance.
    pub instance: InstanceId,
    /// The availability zone of the instance.
    pub zone: ZoneName,
    /// The address on which the instance listens for peers.
    pub peer: SocketAddr,
    /// The processor time available to the instance.
    pub cores: CoreShare,
    /// The memory that the process may use.
    pub memory: MemorySize,
    /// The file descriptors for sockets, pipes and data files.
    pub files: FileLimit,
    /// The extra attempts allowed per first attempt, summed over all instances.
    pub budget_ratio: f64,
    /// The extra attempts that are always allowed in a window, summed over all instances.
    pub budget_slack: f64,
    /// The length of that window.
    pub budget_window: Duration,
    /// Whether known keys are accepted while no hub proves that they have not been withdrawn.
    pub revocation: RevocationRule,
    /// Whether the instance may have run before. The previous run may have spent extra attempts, so
    /// the slack is granted only after the first window.
    pub may_have_run_before: bool,
}

/// The state of the data path; confined to one thread.
pub struct EdgeState {
    pub(super) clock: ProcessClock,
    pub(super) names: HeaderNames,
    pub(super) rules: EdgeRules,
    pub(super) log: Logger,
    pub(super) request_log: RequestLog,
    pub(super) metrics: Rc<RelayMetrics>,
    pub(super) pools: Rc<LinkPools>,
    pub(super) rng: RefCell<SmallRng>,
    /// The delay of the partial answers of searches that this instance scatters.
    pub(super) answer_delay: AnswerDelay,
    /// The delay of the partial answers of searches that other instances run for this one.
    pub(super) handover_delay: AnswerDelay,
    /// The admission by load.
    pub(super) overload: Rc<OverloadControl>,
    drains: Rc<DrainInbox>,
    routes: RefCell<Option<Rc<RouteTable>>>,
    profiles: RefCell<HashMap<String, Rc<RouteProfile>>>,
    services: RefCell<HashMap<ServiceName, Rc<ServiceState>>>,
    directory: RefCell<ServiceDirectory>,
    /// How far each weighted service of a route is behind its part of the requests.
    balances: RefCell<HashMap<String, Vec<f64>>>,
    /// The zones that have targets for the shards of each search route; computed on demand.
    coverages: RefCell<HashMap<String, Rc<ZoneCoverage>>>,
    aggregators: RefCell<AggregatorPicker>,
    evacuations: RefCell<EvacuationSet>,
    /// Decides whether the evacuated zones are known well enough to serve requests.
    gate: RefCell<EvacuationGate>,
    census: RefCell<InstanceCensus>,
    is_current: Cell<bool>,
    /// The time that the last proof of being current holds for.
    proved_at: Cell<Option<Timestamp>>,
    /// The newest route set that a hub said to know.
    announced_routes: Cell<Option<RouteSetVersion>>,
    /// The planned stop in progress.
    shutdown: Cell<Option<ShutdownPlan>>,
}

impl EdgeState {
    /// Creates the state without routes and targets; `seed` initializes the random generator.
    pub fn new(
        clock: ProcessClock,
        names: HeaderNames,
        rules: EdgeRules,
        log: Logger,
        seed: u64,
    ) -> Self {
        let metrics = Rc::<RelayMetrics>::default();
        let drains = Rc::<DrainInbox>::default();
        let context = LinkContext {
            clock,
            names,
            log: log.clone(),
            drains: Rc::clone(&drains),
            metrics: Rc::clone(&metrics),
            buffer_limit: BufferLimit::new(rules.memory),
            link_limit: LinkLimit::new(rules.memory, rules.files),
            buffered: Rc::default(),
        };
        let picker = AggregatorPicker::new(rules.peer, rules.zone.clone());
        let cores = rules.cores;
        let overload = OverloadControl::new(clock, cores, Rc::clone(&metrics), log.clone());
        Self {
            clock,
            names,
            rules,
            overload: Rc::new(overload),
            answer_delay: AnswerDelay::new(cores),
            handover_delay: AnswerDelay::new(cores),
            request_log: RequestLog::new(log.clone()),
            log,
            metrics,
            drains,
            pools: Rc::new(LinkPools::new(context)),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            routes: RefCell::default(),
            profiles: RefCell::default(),
            services: RefCell::default(),
            directory: RefCell::new(ServiceDirectory::without_services()),
            balances: RefCell::default(),
            coverages: RefCell::default(),
            aggregators: RefCell::new(picker),
            evacuations: RefCell::default(),
            gate: RefCell::default(),
            census: RefCell::default(),
            is_current: Cell::new(false),
            proved_at: Cell::default(),
            announced_routes: Cell::default(),
            shutdown: Cell::new(None),
        }
    }

    /// Begins a planned stop.
    pub fn begin_shutdown(&self, plan: ShutdownPlan) {
        self.shutdown.set(Some(plan));
    }

    /// Returns whether a planned stop has begun.
    pub const fn is_stopping(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Returns whether a request on `route` that arrives at `now` is served; during a planned stop it
    /// may be too late for that.
    pub(super) fn admits(&self, route: &RouteSpec, now: Timestamp, deadline: Timestamp) -> bool {
        let Some(plan) = self.shutdown.get() else { return true };
        let likely_end = match route.repeat {
            RepeatRule::Idempotent => now + self.profile_of(route).upper_latency(),
            // The caller cannot repeat it after an answer that leaves open whether it has run.
            RepeatRule::AtMostOnce => deadline,
        };
        plan.admits(now, likely_end, deadline)
    }

    /// Returns the time by which a request with this deadline is answered.
    pub(super) fn limit_deadline(&self, deadline: Timestamp) -> Timestamp {
        self.shutdown.get().map_or(deadline, |plan| plan.limit_deadline(deadline))
    }

    /// Returns the counters of the data path.
    pub const fn metrics(&self) -> &Rc<RelayMetrics> {
        &self.metrics
    }

    /// Returns the version of the route set in force.
    pub fn route_version(&self) -> Option<RouteSetVersion> {
        self.routes.borrow().as_ref().map(|table| table.set().version)
    }

    /// Returns the directory of known targets.
    pub const fn directory(&self) -> &RefCell<ServiceDirectory> {
        &self.directory
    }

    /// Puts a route set in force unless the present one is at least as new; requests in progress
    /// keep the set that they started with.
    pub fn apply_route_set(&self, set: RouteSet) {
        let held = self.route_version();
        if held.is_some_and(|held| set.version <= held) {
            return;
        }
        info!(self.log, "relay: a route set is in force"; "version" => %set.version,
            "former" => held.map_or_else(|| "none".to_owned(), |held| held.to_string()),
            "routes" => set.routes.len(), "services" => set.services.len());
        let names: HashSet<_> = set.routes.iter().map(|route| route.name.as_str()).collect();
        self.profiles.borrow_mut().retain(|name, _| names.contains(name.as_str()));
        self.balances.borrow_mut().clear();
        self.coverages.borrow_mut().clear();
        self.overload.apply_route_set(&set);
        let customers: HashSet<_> = set.customers.iter().flatten().map(|held| &held.name).collect();
        self.metrics.retain_quotas(|customer| customers.contains(customer));
        let services = set.services.iter().map(|service| service.name.clone()).collect();
        *self.routes.borrow_mut() = Some(Rc::new(RouteTable::new(Arc::new(set))));
        let now = self.clock.now();
        let ended = self.directory.borrow_mut().name_services(services, now);
        self.apply_changes(&ended, now);
        self.remove_moved_replicas();
        self.refresh_limits();
    }

    /// Replaces the list of aggregators; an empty list is ignored.
    pub fn update_aggregators(&self, list: Vec<AggregatorAddress>) {
        if list.is_empty() {
            return;
        }
        info!(self.log, "relay: the aggregators changed"; "aggregators" => format!("{list:?}"));
        self.aggregators.borrow_mut().update_list(list);
        self.refresh_limits();
    }

    /// Returns the picker that holds the known aggregators.
    pub const fn aggregators(&self) -> &RefCell<AggregatorPicker> {
        &self.aggregators
    }

    /// Returns the availability zone of the instance.
    pub const fn zone(&self) -> &ZoneName {
        &self.rules.zone
    }

    /// Returns the memory that the process may use.
    pub const fn memory(&self) -> MemorySize {
        self.rules.memory
    }

    /// Returns the processor time of the instance.
    pub const fn cores(&self) -> CoreShare {
        self.rules.cores
    }

    /// Records how many instances share the targets, and whether the control group has proved that
    /// the local route set is the newest.
    pub fn update_hub_status(&self, instances: usize, is_current: bool) {
        self.set_current(is_current);
        let held = self.instances();
        self.census.borrow_mut().record_count(instances, self.clock.now());
        if self.instances() != held {
            info!(self.log, "relay: the number of instances changed"; "former" => held,
                "instances" => self.instances(), "counted" => instances);
            self.refresh_limits();
        }
    }

    fn set_current(&self, is_current: bool) {
        if self.is_current.replace(is_current) != is_current {
            info!(self.log, "relay: the proof of being current changed"; "current" => is_current);
        }
    }

    /// Records that a hub that reaches the control group knew no newer route set than `announced` at
    /// `at`. This proves the route set in force if it is as new as each announced one.
    pub fn record_route_proof(&self, announced: Option<RouteSetVersion>, at: Timestamp) {
        self.announced_routes.update(|held| held.max(announced));
        if self.route_version() >= self.announced_routes.get() {
            self.proved_at.update(|held| held.max(Some(at)));
        }
    }

    /// Returns how far it is proved that the route set in force is the newest.
    pub(super) fn route_proof(&self, now: Timestamp) -> RouteProof {
        let is_newest = self.route_version() >= self.announced_routes.get();
        let is_current = self.is_current.get() && is_newest;
        RouteProof::new(is_current, self.proved_at.get(), self.rules.revocation, now)
    }

    /// Records that no hub proves any longer that the local route set is the newest.
    pub fn mark_outdated(&self) {
        self.set_current(false);
    }

    /// Returns whether the control group has proved that the local route set is the newest.
    pub const fn is_current(&self) -> bool {
        self.is_current.get()
    }

    /// Closes abandoned and idle connections, and opens those that should be ready before requests
    /// arrive.
    pub fn maintain(&self) {
        let now = self.clock.now();
        self.pools.maintain(now);
        self.overload.record_state();
        self.directory.borrow_mut().purge_gone(now);
        if !self.census.borrow().has_count() {
            return;
        }
        for service in self.routed_services() {
            let replicas = service.replicas.borrow();
            let open = replicas.iter().filter(|held| !held.is_lapsed.get() && held.is_open(now));
            for replica in open {
                self.pools.preconnect(replica, replica.wanted_connections(now));
            }
        }
        self.metrics.record_connections(self.pools.open_count(), self.pools.made.get());
    }

    /// Returns the limits on requests of callers.
    pub fn caller_limits(&self) -> CallerLimits {
        let routes = self.routes.borrow();
        routes.as_ref().map_or_else(CallerLimits::default, |table| table.set().limits)
    }

    /// Returns the route table in force, or `None` as long as this instance may serve no request.
    pub(super) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone().filter(|_| self.knows_evacuations())
    }

    /// Returns the latency profile of a route.
    pub(super) fn profile_of(&self, route: &RouteSpec) -> Rc<RouteProfile> {
        let mut profiles = self.profiles.borrow_mut();
        if let Some(profile) = profiles.get(&route.name) {
            return Rc::clone(profile);
        }
        let profile = Rc::new(RouteProfile::new(route.latency_goal));
        profiles.insert(route.name.clone(), Rc::clone(&profile));
        profile
    }

    /// Returns which zones have targets for the shards of a route.
    pub(super) fn coverage_of(&self, route: &RouteSpec) -> Rc<ZoneCoverage> {
        if let Some(coverage) = self.coverages.borrow().get(&route.name) {
            return Rc::clone(coverage);
        }
        let Destination::Shards(plan) = &route.destination else { return Rc::default() };
        let directory = self.directory.borrow();
        let mut zones: HashMap<&ServiceName, Vec<&ZoneName>> = HashMap::new();
        let evacuations = self.evacuations.borrow();
        let is_open = |record: &&TargetRecord| {
            record.is_usable() && !record.is_lapsed && !evacuations.contains(&record.zone)
        };
        for record in directory.live().filter(is_open) {
            zones.entry(&record.service).or_default().push(&record.zone);
        }
        let of_shard = |service| zones.get(service).cloned().unwrap_or_default();
        let coverage = Rc::new(ZoneCoverage::from_shard_zones(
            self.zone(),
            plan.services.iter().map(of_shard),
        ));
        let held = Rc::clone(&coverage);
        self.coverages.borrow_mut().insert(route.name.clone(), held);
        coverage
    }

    /// Returns whether the targets of the shards of a route accept too few connections for each
    /// instance to keep one.
    pub(super) fn is_connection_limited(&self, route: &RouteSpec) -> bool {
        let Destination::Shards(plan) = &route.destination else { return false };
        let routes = self.routes.borrow();
        let find = |name| routes.as_ref().and_then(|table| table.find_service(name));
        let share = InstanceShare::equal(self.instances());
        plan.services
            .first()
            .and_then(find)
            .is_some_and(|spec| share.is_connection_limited(spec.max_connections))
    }

    /// Returns whether searches of a route are handed over to an aggregator.
    pub(super) fn should_hand_over(&self, route: &RouteSpec, coverage: &ZoneCoverage) -> bool {
        should_hand_over(HandoverState {
            is_aggregator: self.aggregators.borrow().is_aggregator(),
            is_connection_limited: self.is_connection_limited(route),
            is_zone_covered: coverage.covers(self.zone()),
        })
    }

    /// Returns the services that answer a request of the route.
    pub(super) fn services_for(&self, route: &RouteSpec) -> Vec<Rc<ServiceState>> {
        match &route.destination {
            Destination::Service(name) => vec![self.service(name)],
            Destination::Weighted(parts) => {
                let weights: Vec<_> = parts.iter().map(|part| part.weight).collect();
                let part = &parts[self.next_weighted_service(&route.name, &weights)];
                vec![self.service(&part.service)]
            }
            Destination::Shards(plan) => {
                plan.services.iter().map(|name| self.service(name)).collect()
            }
        }
    }

    /// Selects the weighted service that is furthest behind its weight and returns its position.
    /// Each instance starts at a random offset, so that the first requests of many instances do not
    /// all go to the same service.
    fn next_weighted_service(&self, route: &str, weights: &[f64]) -> usize {
        let sum: f64 = weights.iter().sum();
        let mut balances = self.balances.borrow_mut();
        let balance = balances.entry(route.to_owned()).or_insert_with(|| {
            let mut rng = self.rng.borrow_mut();
            weights.iter().map(|weight| weight / sum * rng.random_range(0.0..1.0)).collect()
        });
        for (held, weight) in balance.iter_mut().zip(weights) {
            *held += weight / sum;
        }
        let positions = 0..weights.len();
        let most = positions.max_by(|left, right| balance[*left].total_cmp(&balance[*right]));
        let part = most.unwrap_or(0);
        balance[part] -= 1.0;
        part
    }

    fn service(&self, name: &ServiceName) -> Rc<ServiceState> {
        if let Some(service) = self.services.borrow().get(name) {
            return Rc::clone(service);
        }
        let rules = self.budget_rules(&self.instance_share(name));
        let service = Rc::new(ServiceState::new(name.clone(), rules));
        self.services.borrow_mut().insert(name.clone(), Rc::clone(&service));
        service
    }

    fn instances(&self) -> usize {
        self.census.borrow().instances()
    }

    /// Returns the share of this instance in the connections and extra attempts that all instances
    /// divide for a service.
    fn instance_share(&self, name: &ServiceName) -> InstanceShare {
        let share = InstanceShare::equal(self.instances());
        if !share.is_connection_limited(self.max_connections_of(name)) {
            return share;
        }
        let picker = self.aggregators.borrow();
        let (aggregators, is_aggregator) = (picker.count(), picker.is_aggregator());
        InstanceShare { aggregators, is_aggregator, ..share }
    }

    /// Returns the connections that a target of a service accepts.
    fn max_connections_of(&self, name: &ServiceName) -> u32 {
        let routes = self.routes.borrow();
        let spec = routes.as_ref().and_then(|table| table.find_service(name));
        spec.map_or(DEFAULT_MAX_CONNECTIONS, |spec| spec.max_connections)
    }

    fn budget_rules(&self, share: &InstanceShare) -> BudgetRules {
        let rules = &self.rules;
        let slack_from = if rules.may_have_run_before {
            Timestamp::ZERO + rules.budget_window
        } else {
            Timestamp::ZERO
        };
        let shared =
            BudgetRules::shared(rules.budget_ratio, rules.budget_slack, rules.budget_window, share);
        BudgetRules { slack_from, ..shared }
    }
}
