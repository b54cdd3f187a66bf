//! Reports the manifests in target announcements to the control group.

use std::{sync::Arc, time::Duration};

use figglade::{
    controller::ledger::{LedgerCommand, ManifestReport},
    wire::Announcement,
};
use slog::warn;

use super::{group::ProposeMode, plane::ControlPlane};

/// How long a report may try to reach the leader.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long manifest reports are collected into one command.
const MANIFEST_BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// The capacity of the queue of manifest reports; reports that find it full are dropped.
const MAX_QUEUED_REPORTS: usize = 65_536;

impl ControlPlane {
    /// Proposes the queued manifest reports in batches until the task is dropped.
    pub async fn run_manifests(self: Arc<Self>) {
        loop {
            self.reports_queued.notified().await;
            tokio::time::sleep(MANIFEST_BATCH_INTERVAL).await;
            let reports = std::mem::take(&mut *self.reports.lock());
            let unrecorded = self.parts.state.manifests().unrecorded(&reports);
            if unrecorded.is_empty() {
                continue;
            }
            let command = LedgerCommand::RecordManifests(unrecorded);
            let group = &self.parts.group;
            let result = group.propose(&command, ProposeMode::Idempotent, REPORT_TIMEOUT).await;
            match result {
                Ok(_) => self.renew_now.notify_one(),
                // The next announcement of each target reports its manifests again.
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
        let mut queued = self.reports.lock();
        if queued.len() + unrecorded.len() <= MAX_QUEUED_REPORTS {
            queued.extend(unrecorded);
        }
        drop(queued);
        self.reports_queued.notify_one();
    }
}
