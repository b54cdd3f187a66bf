//! The slots of a stand-in target and the bounded queue in front of them.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use figglade::wire::LoadReport;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Runs at most a fixed number of requests at a time.
#[derive(Debug)]
pub(super) struct SlotPool {
    semaphore: Arc<Semaphore>,
    slots: u32,
    queue_limit: u32,
    waiting: Arc<AtomicU32>,
    running: Arc<AtomicU32>,
    max_running: AtomicU32,
}

/// Counts one request for as long as it lives.
#[derive(Debug)]
struct CountGuard(Arc<AtomicU32>);

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Holds one slot until it is dropped.
#[derive(Debug)]
pub(super) struct SlotGuard {
    _running: CountGuard,
    _permit: OwnedSemaphorePermit,
}

impl SlotPool {
    /// Creates a pool of `slots` slots with room for `queue_limit` waiting requests.
    pub(super) fn new(slots: u32, queue_limit: u32) -> Self {
        Self {
            semaphore: Arc::new(Semaphore::new(slots as usize)),
            slots,
            queue_limit,
            waiting: Arc::default(),
            running: Arc::default(),
            max_running: AtomicU32::new(0),
        }
    }

    /// Waits for a slot; returns `None` when the queue is full.
    pub(super) async fn acquire(&self) -> Option<SlotGuard> {
        let semaphore = Arc::clone(&self.semaphore);
        let permit = match Arc::clone(&semaphore).try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => self.wait_for_permit(semaphore).await?,
        };
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_running.fetch_max(running, Ordering::SeqCst);
        Some(SlotGuard { _running: CountGuard(Arc::clone(&self.running)), _permit: permit })
    }

    /// Waits in the queue.
    async fn wait_for_permit(&self, semaphore: Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        let ahead = self.waiting.fetch_add(1, Ordering::SeqCst);
        let _waiting = CountGuard(Arc::clone(&self.waiting));
        if ahead >= self.queue_limit {
            return None;
        }
        semaphore.acquire_owned().await.ok()
    }

    /// Returns the true load.
    pub(super) fn load(&self) -> LoadReport {
        LoadReport {
            in_flight: self.running.load(Ordering::SeqCst),
            slots: self.slots,
            queue: self.waiting.load(Ordering::SeqCst),
        }
    }

    /// Returns the most requests that ran at a time.
    pub(super) fn max_running(&self) -> u32 {
        self.max_running.load(Ordering::SeqCst)
    }
}
