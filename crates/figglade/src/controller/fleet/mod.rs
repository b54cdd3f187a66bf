//! Fleet defaults and exceptions: what operators change at run time.

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

/// What an instance does with a kind of request when it cannot prove that it is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StalePolicy {
    /// Refuses the request.
    Refuse,
    /// Answers and marks the answer as stale.
    AnswerMarked,
}

/// Settings of the whole fleet; an exception replaces some of them within a scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetDefaults {
    /// The longest deadline a caller may ask for, in milliseconds.
    pub max_deadline_ms: u64,
    /// The largest limit of hits a caller may ask for.
    pub max_limit: u32,
    /// The smallest accepted fraction of documents where the caller names none.
    pub min_coverage: f64,
    /// The time kept back from the deadline for the way to the caller, in milliseconds.
    pub answer_margin_ms: u64,
    /// Hedges allowed per first attempt.
    pub hedge_budget: f64,
    /// The share of shards still open below which hedging starts.
    pub hedge_tail: f64,
    /// The shortest wait before a hedge, in milliseconds.
    pub hedge_min_delay_ms: u64,
    /// Retries allowed per first attempt.
    pub retry_budget: f64,
    /// The most attempts for one shard of one request.
    pub max_attempts: u32,
    /// The most requests one instance runs at a time.
    pub max_running: u32,
    /// The most requests that wait for admission at one instance.
    pub max_queued: u32,
    /// The share of the targets of an index that may be ejected at a time.
    pub max_ejected: f64,
    /// The time over which a new target reaches full weight, in milliseconds.
    pub cold_start_ms: u64,
    /// The share of a target's connections that the tier may use.
    pub connection_share: f64,
    /// The time between announcements of a target, in milliseconds.
    pub announce_period_ms: u64,
    /// The announcement periods after which a silent target lapses.
    pub announce_lapse_periods: u32,
    /// The age of the last proof of being current beyond which an instance is stale, in milliseconds.
    pub staleness_bound_ms: u64,
    /// What a stale instance does with searches and lookups.
    pub stale_query: StalePolicy,
    /// What a stale instance does with actions.
    pub stale_action: StalePolicy,
    /// The age beyond which a request identifier is refused, in milliseconds.
    pub claim_window_ms: u64,
    /// The time between turning not ready and closing at a planned stop, in milliseconds.
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

/// Settings that replace the defaults within a scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetException {
    /// What the exception applies to.
    pub scope: FleetScope,
    /// The keys replaced and their values, checked against [`FLEET_KEYS`].
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

/// What a decision is about; the scopes that it does not concern are `None`.
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
    /// Returns whether an exception of `scope` applies.
    fn is_within(&self, scope: &FleetScope) -> bool {
        match scope {
            FleetScope::Index(index) => self.index == Some(index),
            FleetScope::Target(target) => self.target == Some(target),
            FleetScope::Zone(zone) => self.zone == Some(zone),
            FleetScope::Instance(instance) => self.instance == Some(instance),
        }
    }
}

impl FleetConfig {
    /// Returns the settings for what `scope` names. An exception of a target goes before one of an
    /// index, which goes before one of an instance, which goes before one of an availability zone;
    /// keys without an exception take the default.
    pub fn resolve(&self, scope: &ResolveScope<'_>) -> FleetDefaults {
        let mut matching: Vec<&FleetException> =
            self.exceptions.iter().filter(|exception| scope.is_within(&exception.scope)).collect();
        // The variants of `FleetScope` stand in rising precedence.
        matching.sort_by(|left, right| left.scope.cmp(&right.scope));
        let mut settings = self.defaults.clone();
        for exception in matching {
            apply_settings(&mut settings, &exception.set);
        }
        settings
    }
}

/// Sets each key of `set`; a key that this release does not know has no effect.
fn apply_settings(settings: &mut FleetDefaults, set: &Map<String, Value>) {
    for (name, value) in set {
        if let Some(key) = FleetKey::find(name) {
            key.apply(settings, value);
        }
    }
}
