//! Fleet defaults and exceptions: the settings that operators change at run time.

mod document;
mod keys;
mod scope;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{ConfigVersion, IndexName, InstanceId, TargetId, ZoneName};

pub use self::{
    document::{
        FleetDocument, FleetDraft, FleetError, MAX_DOCUMENT_BYTES, MAX_EXCEPTIONS,
        MAX_REASON_BYTES, parse_document, parse_document_value, parse_draft,
    },
    keys::{FLEET_KEYS, FleetKey, KeyRange},
    scope::{FleetScope, ScopeError},
};

/// How an instance treats requests while it cannot prove that its configuration is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StalePolicy {
    /// Refuses the request.
    Refuse,
    /// Answers and marks the answer as stale.
    AnswerMarked,
}

/// The settings of the whole fleet; an exception overrides some of them within a scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetDefaults {
    /// The maximum deadline a caller may request, in milliseconds.
    pub max_deadline_ms: u64,
    /// The maximum number of hits a caller may request.
    pub max_limit: u32,
    /// The minimum accepted fraction of documents when the caller does not specify one.
    pub min_coverage: f64,
    /// The time reserved from the deadline for sending the answer to the caller, in milliseconds.
    pub answer_margin_ms: u64,
    /// The number of hedges allowed per first attempt.
    pub hedge_budget: f64,
    /// The fraction of shards without an answer below which hedging starts.
    pub hedge_tail: f64,
    /// The minimum delay before a hedge, in milliseconds.
    pub hedge_min_delay_ms: u64,
    /// The number of retries allowed per first attempt.
    pub retry_budget: f64,
    /// The maximum number of attempts for one shard of one request.
    pub max_attempts: u32,
    /// The maximum number of requests that one instance runs at a time.
    pub max_running: u32,
    /// The maximum number of requests that wait for admission on one instance.
    pub max_queued: u32,
    /// The maximum fraction of the targets of an index that may be ejected at a time.
    pub max_ejected: f64,
    /// The time over which a new target reaches full weight, in milliseconds.
    pub cold_start_ms: u64,
    /// The fraction of a target's connections that the tier may use.
    pub connection_share: f64,
    /// The time between announcements of a target, in milliseconds.
    pub announce_period_ms: u64,
    /// The number of announcement periods without an announcement after which a target lapses.
    pub announce_lapse_periods: u32,
    /// The maximum age of the last proof of being current, in milliseconds; beyond it an instance
    /// is stale.
    pub staleness_bound_ms: u64,
    /// How a stale instance treats searches and lookups.
    pub stale_query: StalePolicy,
    /// How a stale instance treats actions.
    pub stale_action: StalePolicy,
    /// The maximum age of a request identifier, in milliseconds; older ones are refused.
    pub claim_window_ms: u64,
    /// The time between becoming not ready and closing at a planned stop, in milliseconds.
    pub drain_wait_ms: u64,
}

impl Default for FleetDefaults {
    fn default() -> Self {
        Self {
            max_deadline_ms: 60_000,
            max_limit: 1_000,
            min_coverage: 0.0,
            answer_margin_ms: 4,
            hedge_budget: 0.02,
            hedge_tail: 0.2,
            hedge_min_delay_ms: 1,
            retry_budget: 0.1,
            max_attempts: 3,
            max_running: 256,
            max_queued: 256,
            max_ejected: 0.3,
            cold_start_ms: 2_000,
            connection_share: 1.0,
            announce_period_ms: 1_000,
            announce_lapse_periods: 3,
            staleness_bound_ms: 5_000,
            stale_query: StalePolicy::AnswerMarked,
            stale_action: StalePolicy::Refuse,
            claim_window_ms: 3_600_000,
            drain_wait_ms: 1_000,
        }
    }
}

/// Settings that override the defaults within a scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetException {
    /// What the exception applies to.
    pub scope: FleetScope,
    /// The overridden keys and their values, validated against [`FLEET_KEYS`].
    pub set: Map<String, Value>,
    /// Why the exception exists.
    pub reason: String,
}

/// An accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// The version; 0 is the built-in configuration.
    pub version: ConfigVersion,
    /// The defaults of the fleet.
    pub defaults: FleetDefaults,
    /// The exceptions.
    pub exceptions: Vec<FleetException>,
}

/// The context for which settings are resolved; parts that do not apply are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResolveScope<'a> {
    /// The index.
    pub index: Option<&'a IndexName>,
    /// The target.
    pub target: Option<&'a TargetId>,
    /// The availability zone.
    pub zone: Option<&'a ZoneName>,
    /// The instance.
    pub instance: Option<&'a InstanceId>,
}

impl ResolveScope<'_> {
    /// Returns whether an exception with `scope` applies.
    fn matches(&self, scope: &FleetScope) -> bool {
        match scope {
            FleetScope::Index(index) => self.index == Some(index),
            FleetScope::Target(target) => self.target == Some(target),
            FleetScope::Zone(zone) => self.zone == Some(zone),
            FleetScope::Instance(instance) => self.instance == Some(instance),
        }
    }
}

impl FleetConfig {
    /// Returns the settings that apply to `scope`. An exception for a target takes precedence over
    /// one for an index, which takes precedence over one for an instance, which takes precedence
    /// over one for an availability zone; keys without an exception take the default.
    pub fn resolve(&self, scope: &ResolveScope<'_>) -> FleetDefaults {
        let mut matching: Vec<&FleetException> =
            self.exceptions.iter().filter(|exception| scope.matches(&exception.scope)).collect();
        // The variants of `FleetScope` are declared in order of increasing precedence.
        matching.sort_by(|left, right| left.scope.cmp(&right.scope));
        let mut settings = self.defaults.clone();
        for exception in matching {
            apply_settings(&mut settings, &exception.set);
        }
        settings
    }
}

/// Applies each key of `set`; keys unknown to this release are ignored.
fn apply_settings(settings: &mut FleetDefaults, set: &Map<String, Value>) {
    for (name, value) in set {
        if let Some(key) = FleetKey::find(name) {
            key.apply(settings, value);
        }
    }
}
