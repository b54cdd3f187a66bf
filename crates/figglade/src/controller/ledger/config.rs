//! The accepted configuration, its history and the outcomes of earlier changes.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    ChangeId, ConfigVersion, InstanceId, WallTime,
    controller::{
        fleet::{FLEET_KEYS, FleetConfig, FleetDefaults, FleetDocument, FleetScope},
        ledger::ConfigPut,
    },
    peer::encode_payload,
};

/// The changes kept in the history.
pub const MAX_HISTORY: usize = 1_000;
/// The changes whose first outcome is remembered.
pub const MAX_REMEMBERED_CHANGES: usize = 10_000;
/// The longest summary of a change, in bytes.
const MAX_SUMMARY_BYTES: usize = 240;

/// The answer to a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigOutcome {
    /// The change is committed.
    Committed {
        /// The version it made.
        version: ConfigVersion,
    },
    /// The change started from another version than the latest.
    Conflict {
        /// The latest version when the change first arrived.
        current: ConfigVersion,
    },
    /// The name of the change was used with another document.
    ChangeIdReused {
        /// The name.
        change_id: ChangeId,
    },
}

/// One committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The version it made.
    pub version: ConfigVersion,
    /// The name of the change.
    pub change_id: ChangeId,
    /// When an instance took it.
    pub wall: WallTime,
    /// The instance that took it.
    pub instance: InstanceId,
    /// What changed, in short.
    pub summary: String,
}

/// The first outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RememberedChange {
    /// The digest of defaults and exceptions.
    digest: [u8; 32],
    /// The outcome.
    outcome: ConfigOutcome,
}

/// The configuration and its past.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct ConfigBook {
    /// The latest configuration.
    current: Arc<FleetConfig>,
    /// The latest changes, oldest first.
    history: VecDeque<ConfigChange>,
    /// The first outcome of each remembered change.
    remembered: BTreeMap<ChangeId, RememberedChange>,
    /// The remembered changes, oldest first.
    order: VecDeque<ChangeId>,
}

impl ConfigBook {
    /// Returns the latest configuration.
    pub(super) const fn current(&self) -> &Arc<FleetConfig> {
        &self.current
    }

    /// Returns the latest changes, oldest first.
    pub(super) fn history(&self) -> impl DoubleEndedIterator<Item = &ConfigChange> {
        self.history.iter()
    }

    /// Commits a change, or returns its first outcome when it came before.
    pub(super) fn put(&mut self, put: ConfigPut) -> ConfigOutcome {
        let digest = digest_document(&put.document);
        let change_id = put.document.change_id.clone();
        if let Some(first) = self.remembered.get(&change_id) {
            if first.digest == digest {
                return first.outcome.clone();
            }
            return ConfigOutcome::ChangeIdReused { change_id };
        }
        let outcome = self.compare_and_set(put);
        self.remember(change_id, RememberedChange { digest, outcome: outcome.clone() });
        outcome
    }

    /// Replaces the configuration when the change started from the latest.
    fn compare_and_set(&mut self, put: ConfigPut) -> ConfigOutcome {
        let current = self.current.version;
        if put.document.base_version != current {
            return ConfigOutcome::Conflict { current };
        }
        let version = ConfigVersion::new(current.get() + 1);
        let summary = summarize_change(&self.current, &put.document);
        let change = ConfigChange {
            version,
            change_id: put.document.change_id,
            wall: put.wall,
            instance: put.instance,
            summary,
        };
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(change);
        self.current = Arc::new(FleetConfig {
            version,
            defaults: put.document.defaults,
            exceptions: put.document.exceptions,
        });
        ConfigOutcome::Committed { version }
    }

    /// Remembers the first outcome of a change and forgets the oldest beyond the bound.
    fn remember(&mut self, change_id: ChangeId, change: RememberedChange) {
        if self.order.len() == MAX_REMEMBERED_CHANGES
            && let Some(oldest) = self.order.pop_front()
        {
            self.remembered.remove(&oldest);
        }
        self.order.push_back(change_id.clone());
        self.remembered.insert(change_id, change);
    }
}

/// Digests defaults and exceptions. The base version stays out: an operator who lost the answer may
/// read the version anew before resending.
fn digest_document(document: &FleetDocument) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hash_part(&mut hasher, &document.defaults);
    for exception in &document.exceptions {
        hash_part(&mut hasher, &exception.scope);
        let settings: BTreeMap<&String, &Value> = exception.set.iter().collect();
        hash_part(&mut hasher, &settings);
        hash_part(&mut hasher, &exception.reason);
    }
    *hasher.finalize().as_bytes()
}

/// Hashes one part with its length, so that parts cannot run together.
fn hash_part<T: Serialize>(hasher: &mut blake3::Hasher, part: &T) {
    let bytes = encode_payload(part).unwrap_or_default();
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(&bytes);
}

/// Says in short which defaults and exceptions differ.
fn summarize_change(current: &FleetConfig, document: &FleetDocument) -> String {
    let mut parts = changed_defaults(&current.defaults, &document.defaults);
    let added = document.exceptions.iter().filter(|new| !current.exceptions.contains(new));
    parts.extend(added.map(|new| describe("set", &new.scope, &new.reason)));
    let removed = current.exceptions.iter().filter(|old| !document.exceptions.contains(old));
    parts.extend(removed.map(|old| describe("removed", &old.scope, &old.reason)));
    let mut summary = if parts.is_empty() { "no change".to_owned() } else { parts.join("; ") };
    if summary.len() > MAX_SUMMARY_BYTES {
        summary.truncate(summary.floor_char_boundary(MAX_SUMMARY_BYTES));
        summary.push_str("...");
    }
    summary
}

/// Names each default that differs.
fn changed_defaults(old: &FleetDefaults, new: &FleetDefaults) -> Vec<String> {
    let mut changes = Vec::new();
    for key in FLEET_KEYS {
        let (before, after) = (key.value_in(old), key.value_in(new));
        if before != after {
            changes.push(format!("{} {before} -> {after}", key.name));
        }
    }
    changes
}

/// Names an exception and its reason.
fn describe(verb: &str, scope: &FleetScope, reason: &str) -> String {
    format!("exception {scope} {verb} ({reason})")
}
