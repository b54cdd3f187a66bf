//! Changes a stand-in target at run time.

use std::{sync::Arc, time::Duration};

use figglade::wire::{AnnouncedReplica, TargetState};
use serde::{Deserialize, Serialize};

use super::{
    announcer::TargetAnnouncer,
    core::{RanAction, StandInCore, StandInState},
    settings::{SettingsError, StandInFaults},
};

/// The time between two looks at the work that a draining target still has.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// A change of a stand-in target; fields that are left out change nothing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlChange {
    /// Replaces the faults; faults that are left out are switched off.
    pub faults: Option<StandInFaults>,
    /// Replaces the replicas, for version flips and repartitioning, and announces them.
    pub replicas: Option<Vec<AnnouncedReplica>>,
    /// Starts a drain.
    pub drain: bool,
    /// Drops the listener and every connection.
    pub kill: bool,
}

/// Changes a stand-in target at run time.
#[derive(Clone, Debug)]
pub struct StandInControl {
    core: Arc<StandInCore>,
    announcer: Arc<TargetAnnouncer>,
}

impl StandInControl {
    /// Creates the control of a target.
    pub(super) const fn new(core: Arc<StandInCore>, announcer: Arc<TargetAnnouncer>) -> Self {
        Self { core, announcer }
    }

    /// Returns the faults that are switched on.
    pub fn faults(&self) -> StandInFaults {
        self.core.faults()
    }

    /// Replaces the faults.
    ///
    /// # Errors
    ///
    /// Fails when a share or factor is out of range; nothing changes then.
    pub fn set_faults(&self, faults: StandInFaults) -> Result<(), SettingsError> {
        faults.check()?;
        self.core.set_faults(faults);
        Ok(())
    }

    /// Returns the replicas held.
    pub fn replicas(&self) -> Vec<AnnouncedReplica> {
        self.core.replicas()
    }

    /// Replaces the replicas and announces them at once.
    pub fn set_replicas(&self, replicas: Vec<AnnouncedReplica>) {
        self.core.set_replicas(replicas);
    }

    /// Returns the counters.
    pub fn state(&self) -> StandInState {
        self.core.report_state()
    }

    /// Returns the actions that ran, in order.
    pub fn ran_actions(&self) -> Vec<RanAction> {
        self.core.ran_actions()
    }

    /// Drops the listener and every connection at once.
    pub fn kill(&self) {
        self.core.killed.send_replace(true);
    }

    /// Announces the drain, refuses new work, finishes the rest and announces that it is gone.
    pub async fn drain(&self) {
        self.core.advance_state(TargetState::Draining);
        self.announcer.announce_once().await;
        while self.has_work() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        self.core.advance_state(TargetState::Gone);
        self.announcer.announce_once().await;
    }

    /// Returns whether requests run or wait.
    fn has_work(&self) -> bool {
        let load = self.core.slots.load();
        load.in_flight + load.queue > 0
    }

    /// Applies a change; a drain goes on in the background.
    ///
    /// # Errors
    ///
    /// Fails when a value is out of range; nothing changes then.
    pub fn apply(&self, change: ControlChange) -> Result<(), SettingsError> {
        if let Some(faults) = change.faults {
            self.set_faults(faults)?;
        }
        if let Some(replicas) = change.replicas {
            self.set_replicas(replicas);
        }
        if change.drain {
            let control = self.clone();
            tokio::spawn(async move { control.drain().await });
        }
        if change.kill {
            self.kill();
        }
        Ok(())
    }
}
