//! Announces a stand-in target to instances, again and again.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use figglade::wire::{AnnounceResponse, TargetState};
use tokio::sync::{Mutex, watch};

use super::core::{StandInCore, count};
use crate::client::TestClient;

/// The time to wait after no instance took an announcement.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The time an instance has to answer an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// The shortest and the longest time between announcements, in milliseconds.
const AGAIN_RANGE_MS: (u64, u64) = (10, 60_000);

/// Sends announcements one at a time, so that an older state never follows a newer one.
#[derive(Debug)]
pub(super) struct TargetAnnouncer {
    core: Arc<StandInCore>,
    client: TestClient,
    /// The position of the next instance in the settings.
    next: Mutex<usize>,
}

impl TargetAnnouncer {
    /// Creates an announcer that uses `key` where there is one.
    pub(super) fn new(core: Arc<StandInCore>, key: Option<String>) -> Self {
        let client = TestClient::new().with_timeout(ANNOUNCE_TIMEOUT);
        let client = match key {
            Some(key) => client.with_key(key),
            None => client,
        };
        Self { core, client, next: Mutex::new(0) }
    }

    /// Announces the present state to one instance, trying each at most once.
    ///
    /// Returns the time to the next announcement, or `None` when no instance accepted this one.
    pub(super) async fn announce_once(&self) -> Option<Duration> {
        let mut next = self.next.lock().await;
        let addresses = &self.core.settings.announce_to;
        for _ in 0..addresses.len() {
            let address = addresses[*next % addresses.len()];
            *next = next.wrapping_add(1);
            if let Some(delay) = self.announce_to(address).await {
                count(&self.core.counters.announcements_sent);
                return Some(delay);
            }
        }
        None
    }

    /// Announces the present state to one instance.
    async fn announce_to(&self, address: SocketAddr) -> Option<Duration> {
        let announcement = self.core.announcement();
        let reply = self.client.post(address, "/v1/announce", &announcement).await.ok()?;
        if reply.status != 200 {
            return None;
        }
        let response: AnnounceResponse = reply.json().ok()?;
        let (least, most) = AGAIN_RANGE_MS;
        Some(Duration::from_millis(response.announce_again_ms.clamp(least, most)))
    }

    /// Announces until the target is gone or killed.
    pub(super) async fn run(self: Arc<Self>) {
        let mut changes = self.core.changes.subscribe();
        let mut killed = self.core.killed.subscribe();
        tokio::select! {
            () = self.announce_forever(&mut changes) => {}
            _ = killed.wait_for(|killed| *killed) => {}
        }
    }

    /// Announces periodically and at each change.
    async fn announce_forever(&self, changes: &mut watch::Receiver<u64>) {
        while self.core.state() != TargetState::Gone {
            changes.mark_unchanged();
            let delay = self.announce_once().await.unwrap_or(RETRY_DELAY);
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                _ = changes.changed() => {}
            }
        }
    }
}
