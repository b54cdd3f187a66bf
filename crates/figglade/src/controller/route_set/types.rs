//! The types of a route set.

use std::time::Duration;

use crate::{
    RouteSetVersion, ServiceName,
    controller::route_set::{CustomerSpec, RouteSetError},
};

/// Routes, the services that they name, and the limits for callers.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSet {
    /// The version.
    pub version: RouteSetVersion,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The limits for callers.
    pub limits: CallerLimits,
    /// The customers, one of which the key of a request must belong to; `None` where callers need no
    /// key.
    pub customers: Option<Vec<CustomerSpec>>,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// The name of the route in logs.
    pub name: String,
    /// The host of the requests, in lower case.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: RepeatRule,
    /// The maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// The latency within which an answer is most useful to the caller.
    pub latency_goal: Duration,
    /// The priority under overload; 0 is the highest.
    pub priority: u32,
    /// The maximum number of targets that run one request, counted for each shard separately.
    pub max_attempts: u32,
    /// The services that answer.
    pub destination: Destination,
    /// Whether callers need no key although the route set has customers.
    pub is_public: bool,
}

impl RouteSpec {
    /// Returns a digest of the shards of a search and of the rules for its answer, or `None` if the
    /// route is not a search over shards.
    pub fn search_digest(&self) -> Option<u64> {
        let Destination::Shards(plan) = &self.destination else { return None };
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        for service in &plan.services {
            hasher.update(service.as_str().as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(&plan.top_records.to_le_bytes());
        hasher.update(&plan.min_shard_ratio.to_le_bytes());
        hasher.update(&self.max_attempts.to_le_bytes());
        Some(hasher.digest())
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// The request is idempotent and may run several times.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
}

/// The services that answer the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    /// One target of a service.
    Service(ServiceName),
    /// One target of one of several services, chosen in proportion to their weights.
    Weighted(Vec<WeightedService>),
    /// One target of each shard; their records are merged.
    Shards(ShardPlan),
}

/// A service with its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The weight, relative to the sum of the weights of the route.
    pub weight: f64,
}

/// The shards of a search and the rules for merging their records.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardPlan {
    /// The services, one for each shard.
    pub services: Vec<ServiceName>,
    /// The maximum number of records in an answer.
    pub top_records: usize,
    /// The minimum fraction of the shards that an answer needs, from 0 to 1.
    pub min_shard_ratio: f64,
}

impl ShardPlan {
    /// Returns the minimum number of shards that an answer needs.
    pub fn min_shards(&self) -> usize {
        let total = self.services.len();
        let enough = |answered: &usize| *answered as f64 / total as f64 >= self.min_shard_ratio;
        (1..=total).find(enough).unwrap_or(total)
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The name.
    pub name: ServiceName,
    /// The number of connections that one target accepts from all instances together.
    pub max_connections: u32,
}

/// Size and time limits for the connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum time between the first and the last byte of a request head.
    pub header_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits in force before the first route set; they are high enough for any caller.
    fn default() -> Self {
        Self {
            header_bytes: 64 << 10,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Decodes the route set documents of operators.
pub trait RouteCodec {
    /// Decodes a document and checks it.
    ///
    /// # Errors
    ///
    /// Fails if the document cannot be read in full or does not pass [`check_routes`].
    ///
    /// [`check_routes`]: crate::controller::route_set::check_routes
    fn decode_routes(&self, document: &[u8]) -> Result<RouteSet, RouteSetError>;
}
