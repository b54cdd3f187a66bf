//! The committed configuration, its history and the outcomes of earlier changes.

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

/// The maximum number of changes in the history.
pub const MAX_HISTORY_CHANGES: usize = 1_000;
/// The maximum number of changes whose first outcome is remembered to answer resends.
pub const MAX_REMEMBERED_CHANGES: usize = 10_000;
/// The maximum length of the summary of a change, in bytes, without the ellipsis.
const MAX_SUMMARY_BYTES: usize = 240;

/// The outcome of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigOutcome {
    /// The change is committed.
    Committed {
        /// The version that the change created.
        version: ConfigVersion,
    },
    /// The base version of the change was not the latest version.
    Conflict {
        /// The latest version when the change was first applied.
        current: ConfigVersion,
    },
    /// The change id was used before with another document.
    ChangeIdReused {
        /// The change id.
        change_id: ChangeId,
    },
}

/// One committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The version that the change created.
    pub version: ConfigVersion,
    /// The change id given by the operator.
    pub change_id: ChangeId,
    /// The wall time at which an instance accepted the change.
    pub wall: WallTime,
    /// The instance that accepted the change.
    pub instance: InstanceId,
    /// A short description of what changed.
    pub summary: String,
}

/// The first outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RememberedChange {
    /// The digest of the defaults and exceptions.
    digest: [u8; 32],
    /// The outcome.
    outcome: ConfigOutcome,
}

/// The latest configuration, its history and the outcomes of earlier changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct ConfigState {
    /// The latest configuration.
    current: Arc<FleetConfig>,
    /// The latest changes, oldest first.
    history: VecDeque<ConfigChange>,
    /// The first outcome of each remembered change, by change id.
    remembered: BTreeMap<ChangeId, RememberedChange>,
    /// The remembered changes, oldest first.
    order: VecDeque<ChangeId>,
}

impl ConfigState {
    /// Returns the latest configuration.
    pub(super) const fn current(&self) -> &Arc<FleetConfig> {
        &self.current
    }

    /// Returns the latest changes, oldest first.
    pub(super) fn history(&self) -> impl DoubleEndedIterator<Item = &ConfigChange> {
        self.history.iter()
    }

    /// Commits a change, or returns its first outcome if it is a resend.
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

    /// Replaces the configuration if the base version of the change is the latest version.
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
        if self.history.len() == MAX_HISTORY_CHANGES {
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

    /// Remembers the first outcome of a change and evicts the oldest one when the table is full.
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

/// Returns a digest of the defaults and exceptions. The base version is left out, because an
/// operator who lost the answer may read the latest version again before resending.
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

/// Hashes one part prefixed by its length, so that the boundaries of parts are unambiguous.
fn hash_part<T: Serialize>(hasher: &mut blake3::Hasher, part: &T) {
    let bytes = encode_payload(part).unwrap_or_default();
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(&bytes);
}

/// Returns a short description of the defaults and exceptions that differ.
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

/// Describes each default that differs.
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

/// Describes a change of an exception, with the reason of the exception.
fn describe(verb: &str, scope: &FleetScope, reason: &str) -> String {
    format!("exception {scope} {verb} ({reason})")
}
