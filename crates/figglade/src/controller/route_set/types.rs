//! What a route set consists of.

use std::time::Duration;

use crate::{RouteSetVersion, ServiceName, controller::route_set::RouteSetError};

/// Routes, the services that they name, and what callers may send.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSet {
    /// The version.
    pub version: RouteSetVersion,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The limits of callers.
    pub limits: CallerLimits,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Its name in logs.
    pub name: String,
    /// The host that requests name, in lower case.
    pub host: String,
    /// The prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeat: RepeatRule,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub latency_goal: Duration,
    /// The rank under overload; 0 goes first.
    pub priority: u32,
    /// The most targets that one request runs at; for each shard separately.
    pub max_attempts: u32,
    /// Who answers.
    pub destination: Destination,
}

impl RouteSpec {
    /// Returns a digest of the shards of a search and of how it is answered; `None` where the
    /// route leads to one target.
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
    /// Repeating it changes nothing.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
}

/// Who answers the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    /// One target of a service.
    Service(ServiceName),
    /// One target of one of several services, in the proportion of their weights.
    Weighted(Vec<WeightedService>),
    /// One target of each shard, whose records are merged.
    Shards(ShardPlan),
}

/// A service with its part of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight.
    pub weight: f64,
}

/// How the records of the shards are merged.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardPlan {
    /// The services, one for each shard.
    pub services: Vec<ServiceName>,
    /// The records that an answer holds at most.
    pub top_records: usize,
    /// The smallest share of the shards that makes an answer, 0 to 1.
    pub min_shard_ratio: f64,
}

impl ShardPlan {
    /// Returns the fewest shards that make an answer.
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
    /// The connections that one target accepts from all instances together.
    pub max_connections: u32,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest time between the first and the last byte of a head.
    pub header_timeout: Duration,
    /// How long a connection may stay unused.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits before the first route set, which are generous enough for any caller.
    fn default() -> Self {
        Self {
            header_bytes: 64 << 10,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Reads the documents of operators.
pub trait RouteCodec {
    /// Decodes a document and checks it.
    ///
    /// # Errors
    ///
    /// Fails when the document cannot be read in full or breaks a rule of [`check_routes`].
    ///
    /// [`check_routes`]: crate::controller::route_set::check_routes
    fn decode_routes(&self, document: &[u8]) -> Result<RouteSet, RouteSetError>;
}
