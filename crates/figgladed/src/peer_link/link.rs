//! Sends what waits for one peer: connects, waits after failures, and closes when unused.

use std::{rc::Rc, sync::Arc, time::Duration};

use rand::RngExt as _;
use tokio::time::{sleep, timeout};

use super::{
    connection::LinkConnection, dial::dial_peer, queue::OutboundQueue, table::LinkKey,
    thread::LinkContext, types::NotSentReason,
};

/// The waits after failed connections.
struct BackoffClock {
    first: Duration,
    max: Duration,
    failures: u32,
}

impl BackoffClock {
    /// Returns the next wait: doubled for each failure, then cut by up to a half at random, so
    /// that many instances do not connect to a restarted one at the same time.
    fn next_wait(&mut self, rng: &mut impl rand::Rng) -> Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        doubled.min(self.max).mul_f64(rng.random_range(0.5..1.0))
    }

    /// Starts again from the first wait.
    fn reset(&mut self) {
        self.failures = 0;
    }
}

/// The task of one link.
pub(super) struct PeerLinkTask {
    context: Rc<LinkContext>,
    key: LinkKey,
    queue: Arc<OutboundQueue>,
    backoff: BackoffClock,
    connection: Option<LinkConnection>,
}

impl PeerLinkTask {
    /// Builds the task of a link that is not connected yet.
    pub(super) fn new(context: Rc<LinkContext>, key: LinkKey, queue: Arc<OutboundQueue>) -> Self {
        let backoff = BackoffClock {
            first: context.limits.first_backoff,
            max: context.limits.max_backoff,
            failures: 0,
        };
        Self { context, key, queue, backoff, connection: None }
    }

    /// Runs the link until it is unused or the transport is closed.
    pub(super) async fn run(mut self) {
        loop {
            self.drop_lost_connection().await;
            if !self.queue.is_empty() && self.connection.is_none() {
                self.connect().await;
                continue;
            }
            if let Some(connection) = &self.connection {
                connection.send_waiting(&self.queue);
            }
            if self.is_done() {
                return self.close_connection();
            }
            if self.wait_for_work().await && self.context.table.retire(&self.key) {
                return;
            }
        }
    }

    /// Returns whether the transport is closing and everything was sent and taken.
    fn is_done(&self) -> bool {
        let in_flight = self.connection.as_ref().is_some_and(|held| held.state.is_busy());
        self.context.is_closing() && self.queue.is_empty() && !in_flight
    }

    /// Waits until there is something to do; closes a connection that stayed unused and then
    /// returns true.
    async fn wait_for_work(&mut self) -> bool {
        let limit = self.context.limits.idle_timeout;
        let idle = timeout(limit, self.queue.wake.notified()).await.is_err();
        let unused = self.connection.as_ref().is_none_or(|held| !held.state.is_busy());
        let retires = idle && unused && self.queue.is_empty();
        if retires {
            self.close_connection();
        }
        retires
    }

    /// Connects once; after a failure ends the waiting calls and waits.
    async fn connect(&mut self) {
        match dial_peer(&self.context, self.key.address).await {
            Ok(dialed) => {
                self.context.traffic.connections_made.add(1);
                slog::debug!(self.context.logger, "peer: link to {} is up", self.key.address);
                self.connection = Some(LinkConnection::new(&self.context, &self.queue, dialed));
            }
            Err(error) => {
                self.context.traffic.connections_failed.add(1);
                if self.backoff.failures == 0 {
                    slog::info!(
                        self.context.logger,
                        "peer: no link to {}: {error}",
                        self.key.address
                    );
                }
                self.wait_after_failure().await;
            }
        }
    }

    /// Drops a connection that was lost or took nothing for too long.
    async fn drop_lost_connection(&mut self) {
        let Some(connection) = &self.connection else { return };
        if connection.state.useful.get() {
            self.backoff.reset();
        }
        if !connection.state.lost.get() {
            return;
        }
        let useful = connection.state.useful.get();
        slog::info!(self.context.logger, "peer: link to {} was lost", self.key.address);
        self.close_connection();
        if !useful {
            self.wait_after_failure().await;
        }
    }

    /// Waits before the next connection; calls end at once meanwhile.
    async fn wait_after_failure(&mut self) {
        self.queue.refuse_calls(NotSentReason::Unreachable);
        let wait = self.backoff.next_wait(&mut rand::rng());
        sleep(wait).await;
        self.queue.accept_calls();
    }

    /// Closes the connection.
    fn close_connection(&mut self) {
        if self.connection.take().is_some() {
            self.context.traffic.connections_closed.add(1);
        }
    }
}
