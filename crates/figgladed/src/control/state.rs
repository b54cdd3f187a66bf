//! This instance's copy of the control group's state.

use std::{sync::Arc, time::Duration};

use figglade::{
    ConfigVersion, IndexName, InstanceId, Timestamp, ZoneName,
    controller::{
        fleet::{FleetConfig, FleetDefaults, ResolveScope},
        ledger::ManifestSet,
        share::ShareRequest,
    },
    filter::routing::{RecordedManifest, SnapshotKey},
};
use parking_lot::RwLock;

use super::message::{RenewReply, RenewRequest};
use crate::tier::SettingsSource;

/// The configuration in force here, the manifests, and the last proof of being current.
pub struct ControlState {
    instance: InstanceId,
    zone: ZoneName,
    held: RwLock<HeldState>,
}

struct HeldState {
    config: Arc<FleetConfig>,
    settings: Arc<FleetDefaults>,
    manifests: Arc<ManifestSet>,
    proved_at: Option<Timestamp>,
}

/// The changes that a renewal returned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RenewalChanges {
    /// The version of the configuration that is newly in force.
    pub config: Option<ConfigVersion>,
    /// Whether the manifests changed.
    pub manifests: bool,
}

impl ControlState {
    /// Starts with the built-in configuration and without a proof of being current.
    pub fn new(instance: InstanceId, zone: ZoneName) -> Self {
        let held = HeldState {
            config: Arc::default(),
            settings: Arc::default(),
            manifests: Arc::default(),
            proved_at: None,
        };
        Self { instance, zone, held: RwLock::new(held) }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<FleetConfig> {
        Arc::clone(&self.held.read().config)
    }

    /// Returns the settings in force for this instance.
    pub fn settings(&self) -> Arc<FleetDefaults> {
        Arc::clone(&self.held.read().settings)
    }

    /// Returns the manifests.
    pub fn manifests(&self) -> Arc<ManifestSet> {
        Arc::clone(&self.held.read().manifests)
    }

    /// Returns the manifests of `index` in the form that routing uses.
    pub fn recorded_manifests(&self, index: &IndexName) -> Vec<RecordedManifest> {
        let manifests = self.manifests();
        let known = manifests.snapshots(index).map(|(epoch, version, manifest)| RecordedManifest {
            key: SnapshotKey { version, epoch },
            documents: manifest.documents.clone(),
        });
        known.collect()
    }

    /// Builds the renewal request for a control member.
    pub fn renew_request(&self, share: ShareRequest) -> RenewRequest {
        let held = self.held.read();
        RenewRequest {
            config_version: held.config.version,
            manifest_revision: held.manifests.revision(),
            share,
        }
    }

    /// Applies the reply to the renewal that was sent at `sent_at`; an older configuration or
    /// manifest revision is ignored.
    pub fn apply_renewal(&self, reply: RenewReply, sent_at: Timestamp) -> RenewalChanges {
        let mut held = self.held.write();
        let mut change = RenewalChanges::default();
        if let Some(config) = reply.config
            && config.version > held.config.version
        {
            change.config = Some(config.version);
            held.settings = Arc::new(self.resolve(&config, None));
            held.config = Arc::new(config);
        }
        if reply.manifests.revision > held.manifests.revision() {
            change.manifests = true;
            Arc::make_mut(&mut held.manifests).apply_updates(&reply.manifests);
        }
        held.proved_at = held.proved_at.max(Some(sent_at));
        change
    }

    /// Returns the age of the last proof of being current, or `None` before the first.
    pub fn proof_age(&self, now: Timestamp) -> Option<Duration> {
        self.held.read().proved_at.map(|proved_at| now.since(proved_at))
    }

    /// Returns whether the last proof is older than the staleness bound of `settings`, or missing.
    pub fn is_stale(&self, settings: &FleetDefaults, now: Timestamp) -> bool {
        let bound = Duration::from_millis(settings.staleness_bound_ms);
        self.proof_age(now).is_none_or(|age| age > bound)
    }

    fn resolve(&self, config: &FleetConfig, index: Option<&IndexName>) -> FleetDefaults {
        config.resolve(&ResolveScope {
            index,
            target: None,
            zone: Some(&self.zone),
            instance: Some(&self.instance),
        })
    }
}

impl SettingsSource for ControlState {
    fn version(&self) -> ConfigVersion {
        self.held.read().config.version
    }

    fn settings_of(&self, index: &IndexName) -> FleetDefaults {
        let config = self.config();
        self.resolve(&config, Some(index))
    }
}
