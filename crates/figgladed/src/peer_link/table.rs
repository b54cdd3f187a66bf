//! The links of this instance, in shards that each have their own lock.

use std::{
    collections::{HashMap, hash_map::Entry},
    hash::{BuildHasher, RandomState},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use figglade::peer::{FrameKind, PeerFrame};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::{
    options::PeerLimits,
    queue::{OutboundCall, OutboundQueue, QueueLimits},
    thread::ThreadCommand,
    traffic::TrafficCounters,
    types::{NotSentReason, PeerCallError},
};

/// The shards of the table.
const SHARD_COUNT: usize = 16;

/// Separates short urgent frames from bulk, so that they never queue behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum LinkLane {
    /// Membership, quorum, control, registry and searches.
    Urgent,
    /// Directory and events.
    Bulk,
}

impl LinkLane {
    /// Returns the lane of a kind of frame.
    pub(super) const fn of(kind: FrameKind) -> Self {
        match kind {
            FrameKind::Membership
            | FrameKind::Quorum
            | FrameKind::Control
            | FrameKind::Registry
            | FrameKind::Search => Self::Urgent,
            FrameKind::Directory | FrameKind::Events => Self::Bulk,
        }
    }

    /// Returns the thread that runs the links of the lane.
    const fn thread(self) -> usize {
        match self {
            Self::Urgent => 0,
            Self::Bulk => 1,
        }
    }
}

/// Names one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LinkKey {
    /// Where the peer listens.
    pub(super) address: SocketAddr,
    /// What the link carries.
    pub(super) lane: LinkLane,
}

type LinkShard = Mutex<HashMap<LinkKey, Arc<OutboundQueue>>>;

/// The links of this instance.
pub(super) struct LinkTable {
    shards: [LinkShard; SHARD_COUNT],
    hasher: RandomState,
    link_count: AtomicUsize,
    closed: AtomicBool,
    threads: Vec<mpsc::Sender<ThreadCommand>>,
    max_links: usize,
    queue_limits: QueueLimits,
    traffic: Arc<TrafficCounters>,
}

impl LinkTable {
    /// Builds an empty table whose links run on `threads`, one for each lane.
    pub(super) fn new(
        limits: &PeerLimits,
        threads: Vec<mpsc::Sender<ThreadCommand>>,
        traffic: Arc<TrafficCounters>,
    ) -> Self {
        Self {
            shards: Default::default(),
            hasher: RandomState::new(),
            link_count: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
            threads,
            max_links: limits.max_links,
            queue_limits: QueueLimits {
                frames: limits.max_queued_frames,
                bytes: limits.max_queued_bytes,
                calls: limits.max_calls,
            },
            traffic,
        }
    }

    /// Queues a frame.
    pub(super) fn push_frame(&self, address: SocketAddr, frame: PeerFrame) {
        let key = LinkKey { address, lane: LinkLane::of(frame.kind) };
        let mut shard = self.shard(&key).lock();
        let dropped = match self.open_queue(&mut shard, key) {
            Ok(queue) => queue.push_frame(frame),
            Err(_) => 1,
        };
        self.traffic.frames_dropped.add(dropped);
    }

    /// Queues a call.
    pub(super) fn push_call(&self, address: SocketAddr, call: OutboundCall) {
        let key = LinkKey { address, lane: LinkLane::of(call.frame.kind) };
        let mut shard = self.shard(&key).lock();
        match self.open_queue(&mut shard, key) {
            Ok(queue) => queue.push_call(call),
            Err(reason) => call.fail(PeerCallError::NotSent(reason)),
        }
    }

    /// Forgets a link without work; returns whether its task may end.
    pub(super) fn retire(&self, key: &LinkKey) -> bool {
        let mut shard = self.shard(key).lock();
        if shard.get(key).is_some_and(|queue| !queue.is_empty()) {
            return false;
        }
        if shard.remove(key).is_some() {
            self.link_count.fetch_sub(1, Ordering::AcqRel);
        }
        true
    }

    /// Takes nothing more; frames that wait are still sent.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::Release);
        for shard in &self.shards {
            shard.lock().values().for_each(|queue| queue.close());
        }
    }

    /// Returns the shard of a link.
    fn shard(&self, key: &LinkKey) -> &LinkShard {
        &self.shards[self.hasher.hash_one(key) as usize % SHARD_COUNT]
    }

    /// Returns the queue of a link and starts the link when it is new.
    fn open_queue(
        &self,
        shard: &mut HashMap<LinkKey, Arc<OutboundQueue>>,
        key: LinkKey,
    ) -> Result<Arc<OutboundQueue>, NotSentReason> {
        if self.closed.load(Ordering::Acquire) {
            return Err(NotSentReason::Closed);
        }
        let vacant = match shard.entry(key) {
            Entry::Occupied(occupied) => return Ok(Arc::clone(occupied.get())),
            Entry::Vacant(vacant) => vacant,
        };
        if self.link_count.load(Ordering::Acquire) >= self.max_links {
            return Err(NotSentReason::Busy);
        }
        let queue = Arc::new(OutboundQueue::new(self.queue_limits));
        let command = ThreadCommand::Dial { key, queue: Arc::clone(&queue) };
        self.threads[key.lane.thread()].try_send(command).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => NotSentReason::Busy,
            mpsc::error::TrySendError::Closed(_) => NotSentReason::Closed,
        })?;
        self.link_count.fetch_add(1, Ordering::AcqRel);
        Ok(Arc::clone(vacant.insert(queue)))
    }
}
