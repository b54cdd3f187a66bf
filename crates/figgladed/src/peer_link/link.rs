//! The task of one link: connects on demand, sends the queue, backs off after failures, and closes
//! when idle.

use std::{rc::Rc, sync::Arc, time::Duration};

use rand::RngExt as _;
use tokio::time::{sleep, timeout};

use super::{
    connection::LinkConnection, dial::dial_peer, queue::OutboundQueue, table::LinkKey,
    thread::LinkContext, types::NotSentReason,
};

/// Exponential backoff after failed connections.
struct Backoff {
    first: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Returns the next delay: doubled for each failure and capped, then reduced by up to one half
    /// at random, so that many instances do not reconnect to a restarted one at the same time.
    fn next_delay(&mut self, rng: &mut impl rand::Rng) -> Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        doubled.min(self.max).mul_f64(rng.random_range(0.5..1.0))
    }

    /// Resets the backoff to the first delay.
    fn reset(&mut self) {
        self.failures = 0;
    }
}

/// The task of one link.
pub(super) struct PeerLinkTask {
    context: Rc<LinkContext>,
    key: LinkKey,
    queue: Arc<OutboundQueue>,
    backoff: Backoff,
    connection: Option<LinkConnection>,
}

impl PeerLinkTask {
    /// Builds the task of an unconnected link.
    pub(super) fn new(context: Rc<LinkContext>, key: LinkKey, queue: Arc<OutboundQueue>) -> Self {
        let backoff = Backoff {
            first: context.limits.first_backoff,
            max: context.limits.max_backoff,
            failures: 0,
        };
        Self { context, key, queue, backoff, connection: None }
    }

    /// Runs the link until it is idle or the transport is closed.
    pub(super) async fn run(mut self) {
        loop {
            self.drop_lost_connection().await;
            if !self.queue.is_empty() && self.connection.is_none() {
                self.connect().await;
                continue;
            }
            if let Some(connection) = &self.connection {
                connection.send_queued(&self.queue);
            }
            if self.is_done() {
                return self.close_connection();
            }
            if self.wait_for_work().await && self.context.table.remove_idle(&self.key) {
                return;
            }
        }
    }

    /// Returns whether the transport is closing, the queue is empty and nothing is in flight.
    fn is_done(&self) -> bool {
        let in_flight = self.connection.as_ref().is_some_and(|held| held.state.is_busy());
        self.context.is_closing() && self.queue.is_empty() && !in_flight
    }

    /// Waits until there is something to do. When the link stays unused for the idle timeout, closes
    /// the connection and returns true.
    async fn wait_for_work(&mut self) -> bool {
        let limit = self.context.limits.idle_timeout;
        let idle = timeout(limit, self.queue.wake.notified()).await.is_err();
        let unused = self.connection.as_ref().is_none_or(|held| !held.state.is_busy());
        let is_unused = idle && unused && self.queue.is_empty();
        if is_unused {
            self.close_connection();
        }
        is_unused
    }

    /// Connects once; after a failure, fails the queued calls and backs off.
    async fn connect(&mut self) {
        match dial_peer(&self.context, self.key.address).await {
            Ok(dialed) => {
                self.context.traffic.connections_made.add(1);
                slog::debug!(self.context.logger, "peer: connected to {}", self.key.address);
                self.connection = Some(LinkConnection::new(&self.context, &self.queue, dialed));
            }
            Err(error) => {
                self.context.traffic.connections_failed.add(1);
                // The first failure and each doubling of their number, so that a long outage shows
                // in the log without filling it.
                let failures = self.backoff.failures + 1;
                if failures.is_power_of_two() {
                    slog::info!(
                        self.context.logger,
                        "peer: cannot connect to {}: {error}",
                        self.key.address;
                        "failures" => failures
                    );
                }
                self.back_off().await;
            }
        }
    }

    /// Closes a connection that was lost or has stalled; backs off if it never made progress.
    async fn drop_lost_connection(&mut self) {
        let Some(connection) = &self.connection else { return };
        if connection.state.made_progress.get() {
            self.backoff.reset();
        }
        if !connection.state.lost.get() {
            return;
        }
        let made_progress = connection.state.made_progress.get();
        slog::info!(self.context.logger, "peer: link to {} was lost", self.key.address);
        self.close_connection();
        if !made_progress {
            self.back_off().await;
        }
    }

    /// Waits before the next attempt to connect; calls fail immediately in the meantime.
    async fn back_off(&mut self) {
        self.queue.refuse_calls(NotSentReason::Unreachable);
        let delay = self.backoff.next_delay(&mut rand::rng());
        sleep(delay).await;
        self.queue.accept_calls();
    }

    /// Closes the connection, if any, and counts it.
    fn close_connection(&mut self) {
        if self.connection.take().is_some() {
            self.context.traffic.connections_closed.add(1);
        }
    }
}
