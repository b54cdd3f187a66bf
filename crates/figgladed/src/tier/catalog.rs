//! The routes and settings of every index, which each request reads. The map is divided into shards
//! with a lock each.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use figglade::{
    ConfigVersion, IndexName, TargetId, ZoneName,
    controller::fleet::FleetDefaults,
    filter::{
        budget::AttemptBudget,
        fanout::{FanoutContext, FanoutPolicy},
        latency::LatencyTracker,
        picker::{EjectionCounter, LiveTargets, LoadRegistry, ReplicaPicker},
        routing::IndexRoute,
    },
};
use parking_lot::{Mutex, RwLock};

/// The number of shards of the catalog, each under a lock of its own.
const CATALOG_SHARDS: usize = 16;

/// The route and the settings of one index that a request reads.
#[derive(Clone, Debug)]
pub struct IndexView {
    /// The index.
    pub index: IndexName,
    /// The replicas of each of its snapshots.
    pub route: Arc<IndexRoute>,
    /// The settings in force for the index.
    pub settings: Arc<FleetDefaults>,
    /// The budgets and estimates that its requests share.
    pub context: Arc<FanoutContext>,
}

/// The source of the settings of each index.
pub trait SettingsSource: Send + Sync {
    /// Returns the configuration version in force.
    fn version(&self) -> ConfigVersion;

    /// Returns the settings in force for `index`.
    fn settings_of(&self, index: &IndexName) -> FleetDefaults;
}

type CatalogShard = RwLock<HashMap<IndexName, IndexView>>;

/// The catalog of all indexes with their routes and settings.
pub struct IndexCatalog {
    zone: ZoneName,
    shards: Vec<CatalogShard>,
    settings: Arc<dyn SettingsSource>,
    /// The load estimates of every target.
    pub registry: LoadRegistry,
    publishing: Mutex<()>,
}

impl IndexCatalog {
    /// Creates an empty catalog.
    pub fn new(zone: ZoneName, settings: Arc<dyn SettingsSource>) -> Self {
        Self {
            zone,
            shards: (0..CATALOG_SHARDS).map(|_| CatalogShard::default()).collect(),
            settings,
            registry: LoadRegistry::default(),
            publishing: Mutex::default(),
        }
    }

    /// Returns the current view of `index`.
    pub fn view(&self, index: &IndexName) -> Option<IndexView> {
        self.shard_of(index).read().get(index).cloned()
    }

    /// Lists the known indexes in order.
    pub fn indexes(&self) -> Vec<IndexName> {
        let names = |shard: &CatalogShard| shard.read().keys().cloned().collect::<Vec<_>>();
        let mut indexes: Vec<_> = self.shards.iter().flat_map(names).collect();
        indexes.sort();
        indexes
    }

    /// Replaces the route of `index`.
    pub fn publish_route(&self, index: &IndexName, route: IndexRoute) {
        let _guard = self.publishing.lock();
        let settings = self.settings.settings_of(index);
        let known = self.view(index);
        let view = self.make_view(index, Arc::new(route), settings, known);
        self.shard_of(index).write().insert(index.clone(), view);
    }

    /// Applies the configuration in force to every index.
    pub fn refresh_settings(&self) {
        let _guard = self.publishing.lock();
        for index in self.indexes() {
            let Some(known) = self.view(&index) else { continue };
            let settings = self.settings.settings_of(&index);
            let view = self.make_view(&index, Arc::clone(&known.route), settings, Some(known));
            self.shard_of(&index).write().insert(index, view);
        }
    }

    fn make_view(
        &self,
        index: &IndexName,
        route: Arc<IndexRoute>,
        settings: FleetDefaults,
        known: Option<IndexView>,
    ) -> IndexView {
        let targets = list_targets(&route);
        let cold_start = |settings: &FleetDefaults| settings.cold_start_ms;
        // The estimates survive a change of settings. Only a new `cold_start_ms`, which the context
        // holds, starts them afresh.
        let reused =
            known.as_ref().filter(|known| cold_start(&known.settings) == cold_start(&settings));
        let context = match reused {
            Some(known) => Arc::clone(&known.context),
            None => Arc::new(self.make_context(&settings)),
        };
        let settings = match known {
            Some(known) if *known.settings == settings => known.settings,
            _ => Arc::new(settings),
        };
        context.picker.ejections.set_target_count(targets.len() as u32);
        context.picker.live.set(targets);
        IndexView { index: index.clone(), route, settings, context }
    }

    fn make_context(&self, settings: &FleetDefaults) -> FanoutContext {
        FanoutContext {
            picker: ReplicaPicker {
                zone: self.zone.clone(),
                cold_start: Duration::from_millis(settings.cold_start_ms),
                ejections: Arc::new(EjectionCounter::default()),
                live: LiveTargets::default(),
            },
            hedges: AttemptBudget::default(),
            probes: AttemptBudget::default(),
            retries: AttemptBudget::default(),
            latency: LatencyTracker::default(),
        }
    }

    fn shard_of(&self, index: &IndexName) -> &CatalogShard {
        let hash = xxhash_rust::xxh3::xxh3_64(index.as_str().as_bytes());
        &self.shards[(hash % CATALOG_SHARDS as u64) as usize]
    }
}

/// Returns the limits of a fan-out under `settings`.
pub fn fanout_policy(settings: &FleetDefaults) -> FanoutPolicy {
    FanoutPolicy {
        hedge_tail: settings.hedge_tail,
        hedge_budget: settings.hedge_budget,
        hedge_min_delay: Duration::from_millis(settings.hedge_min_delay_ms),
        retry_budget: settings.retry_budget,
        max_attempts: settings.max_attempts,
        max_ejected: settings.max_ejected,
    }
}

fn list_targets(route: &IndexRoute) -> HashSet<TargetId> {
    let replicas = route.snapshots.iter().flat_map(|snapshot| snapshot.replicas.iter().flatten());
    replicas.map(|route| route.target.clone()).collect()
}
