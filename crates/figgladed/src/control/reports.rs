//! Reports of manifests from announcements to the control group.

use std::{sync::Arc, time::Duration};

use figglade::{
    controller::ledger::{LedgerCommand, ManifestReport},
    wire::Announcement,
};
use slog::warn;

use super::{group::ProposeMode, plane::ControlPlane};

/// How long a report may look for the leader.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long reports of manifests are gathered.
const MANIFEST_PERIOD: Duration = Duration::from_millis(50);
/// The reports that may wait for the leader.
const MAX_WAITING_REPORTS: usize = 65_536;

impl ControlPlane {
    /// Proposes gathered manifest reports until the task is dropped.
    pub async fn run_manifests(self: Arc<Self>) {
        loop {
            self.reported.notified().await;
            tokio::time::sleep(MANIFEST_PERIOD).await;
            let reports = std::mem::take(&mut *self.reports.lock());
            let unrecorded = self.parts.state.manifests().unrecorded(&reports);
            if unrecorded.is_empty() {
                continue;
            }
            let command = LedgerCommand::RecordManifests(unrecorded);
            let group = &self.parts.group;
            let ended = group.propose(&command, ProposeMode::Idempotent, REPORT_TIMEOUT).await;
            match ended {
                Ok(_) => self.renew_now.notify_one(),
                // The next announcement of the target reports again.
                Err(error) => {
                    warn!(self.parts.log, "config: manifests were not recorded"; "error" => %error);
                }
            }
        }
    }

    pub(super) fn report_manifests(&self, announcement: &Announcement) {
        let reports = ManifestReport::from_announcement(announcement);
        let unrecorded = self.parts.state.manifests().unrecorded(&reports);
        if unrecorded.is_empty() {
            return;
        }
        let mut waiting = self.reports.lock();
        if waiting.len() + unrecorded.len() <= MAX_WAITING_REPORTS {
            waiting.extend(unrecorded);
        }
        drop(waiting);
        self.reported.notify_one();
    }
}
