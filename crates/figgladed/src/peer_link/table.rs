//! The links of this instance, in a hash table whose shards have separate locks.

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

/// The number of shards of the table.
const SHARD_COUNT: usize = 16;

/// The class of traffic of a link. Short urgent frames have their own links so that they never queue
/// behind bulk frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum LinkLane {
    /// Membership, quorum, control, registry and search frames.
    Urgent,
    /// Directory and event frames.
    Bulk,
}

impl LinkLane {
    /// Returns the lane of a frame kind.
    pub(super) const fn of(kind: FrameKind) -> Self {
        match kind {
            FrameKind::Membership
            | FrameKind::Quorum
            | FrameKind::Control
            | FrameKind::Registry
            | FrameKind::Search
            | FrameKind::Quota => Self::Urgent,
            FrameKind::Directory | FrameKind::Events => Self::Bulk,
        }
    }

    /// Returns the index of the thread that runs the links of the lane.
    const fn thread_index(self) -> usize {
        match self {
            Self::Urgent => 0,
            Self::Bulk => 1,
        }
    }
}

/// The key of one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LinkKey {
    /// The address on which the peer listens.
    pub(super) address: SocketAddr,
    /// The lane of the link.
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
    /// Builds an empty table whose links run on `threads`, one per lane.
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

    /// Queues a frame and counts the frames that are dropped.
    pub(super) fn push_frame(&self, address: SocketAddr, frame: PeerFrame) {
        let key = LinkKey { address, lane: LinkLane::of(frame.kind) };
        let mut shard = self.shard(&key).lock();
        let dropped = match self.open_queue(&mut shard, key) {
            Ok(queue) => queue.push_frame(frame),
            Err(_) => 1,
        };
        self.traffic.frames_dropped.add(dropped);
    }

    /// Queues a call, or fails it when the link cannot be opened.
    pub(super) fn push_call(&self, address: SocketAddr, call: OutboundCall) {
        let key = LinkKey { address, lane: LinkLane::of(call.frame.kind) };
        let mut shard = self.shard(&key).lock();
        match self.open_queue(&mut shard, key) {
            Ok(queue) => queue.push_call(call),
            Err(reason) => call.fail(PeerCallError::NotSent(reason)),
        }
    }

    /// Removes a link unless something is queued; returns whether its task may end.
    pub(super) fn remove_idle(&self, key: &LinkKey) -> bool {
        let mut shard = self.shard(key).lock();
        if shard.get(key).is_some_and(|queue| !queue.is_empty()) {
            return false;
        }
        if shard.remove(key).is_some() {
            self.link_count.fetch_sub(1, Ordering::AcqRel);
        }
        true
    }

    /// Rejects further frames and calls; queued frames are still sent.
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

    /// Returns the queue of a link; a new link is started on its thread.
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
        self.threads[key.lane.thread_index()].try_send(command).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => NotSentReason::Busy,
            mpsc::error::TrySendError::Closed(_) => NotSentReason::Closed,
        })?;
        self.link_count.fetch_add(1, Ordering::AcqRel);
        Ok(Arc::clone(vacant.insert(queue)))
    }
}
