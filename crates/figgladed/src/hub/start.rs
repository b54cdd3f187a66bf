//! Starts the control group member in a process with a disk.

use std::{net::SocketAddr, path::PathBuf, rc::Rc, sync::Arc, time::Duration};

use figglade::{
    InstanceId,
    border::{LogStore, LogStoreError},
    controller::{
        group_keeper::{SeedKind, is_founder},
        quorum::{MemberRole, MemberSet, MemberSpec, QuorumSettings, StoredLog},
    },
};
use slog::{Logger, info, warn};
use tokio::{sync::Notify, time::sleep};

use super::node::HubNode;
use crate::{
    clock::ProcessClock,
    control::{ControlError, ControlMember, ELECTION_TIMEOUT, HEARTBEAT_PERIOD, MemberParts},
    log_store::{FileLogStore, StoreLimits},
    peer_link::PeerHandle,
};

/// The time between two checks of the earlier seeds.
const SEED_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The time before another attempt to open the log.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The maximum number of entries in one append message.
const MAX_APPEND_ENTRIES: usize = 256;
/// The maximum number of payload bytes in one append message.
const MAX_APPEND_BYTES: usize = 256 << 10;
/// The size of a log segment, in bytes.
const SEGMENT_BYTES: u64 = 4 << 20;

/// The options of the control group member in a process.
#[derive(Clone)]
pub struct MemberOptions {
    /// The instance.
    pub id: InstanceId,
    /// The address on which it listens for peers.
    pub peer: SocketAddr,
    /// The folder of the log.
    pub folder: PathBuf,
    /// The capacity of the disk, in bytes.
    pub disk_bytes: u64,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// The number of members that may be lost at once.
    pub tolerated_losses: usize,
    /// The addresses on which the seeds listen for peers.
    pub seeds: Vec<SocketAddr>,
    /// The clocks.
    pub clock: ProcessClock,
    /// The links to other processes.
    pub link: PeerHandle,
    /// Notified when a route set or an evacuation is committed.
    pub routes_changed: Arc<Notify>,
    /// The log of the process.
    pub log: Logger,
}

/// Opens the log, decides whether this instance bootstraps the group, and starts the member.
///
/// # Errors
///
/// Fails when the log is damaged or the thread cannot be started.
pub async fn start_member(
    options: MemberOptions,
    node: &Rc<HubNode>,
) -> Result<ControlMember, ControlError> {
    let mut store = open_with_retry(&options).await;
    let is_empty = store.load()? == StoredLog::default();
    let storage = store.storage_id();
    let is_founder = decide_founder(&options, node, is_empty).await;
    let role = MemberRole::Voter;
    let own = MemberSpec { peer: options.peer, storage: Some(storage), role };
    let mut initial = MemberSet::default();
    if is_founder {
        initial.members.insert(options.id.clone(), own);
    }
    info!(options.log, "quorum: the member starts"; "storage" => %storage,
        "empty" => is_empty, "founder" => is_founder);
    node.request_membership(storage);
    let reopen_options = options.clone();
    let routes_changed = Arc::clone(&options.routes_changed);
    ControlMember::start(MemberParts {
        settings: QuorumSettings {
            id: options.id.clone(),
            peer: options.peer,
            storage,
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_period: HEARTBEAT_PERIOD,
            // The clock of a suspended process does not advance, so leases are unsafe. A margin
            // of the whole election time-out disables them: each read asks a majority.
            lease_margin: ELECTION_TIMEOUT,
            max_append_entries: MAX_APPEND_ENTRIES,
            max_append_bytes: MAX_APPEND_BYTES,
        },
        initial,
        store,
        reopen: Some(Box::new(move || open_store(&reopen_options))),
        tolerated_losses: options.tolerated_losses,
        link: Arc::new(options.link.clone()),
        clock: options.clock,
        on_change: Box::new(move || routes_changed.notify_one()),
        record_event: Box::new(|_, _| {}),
        log: options.log.clone(),
    })
}

fn open_store(options: &MemberOptions) -> Result<Box<dyn LogStore>, LogStoreError> {
    let limits = StoreLimits {
        segment_bytes: SEGMENT_BYTES,
        log_bytes: options.disk_bytes / 2,
        snapshot_bytes: options.disk_bytes / 8,
    };
    Ok(Box::new(FileLogStore::open(&options.folder, limits)?))
}

/// Opens the log, retrying until it succeeds: the rest of the hub works meanwhile.
async fn open_with_retry(options: &MemberOptions) -> Box<dyn LogStore> {
    loop {
        match open_store(options) {
            Ok(store) => return store,
            Err(error) => {
                warn!(options.log, "quorum: the log cannot be opened"; "error" => %error);
                sleep(OPEN_RETRY_DELAY).await;
            }
        }
    }
}

/// Decides whether this instance bootstraps the group. Waits until the earlier seeds are known if
/// the decision depends on them, so that exactly one instance bootstraps the group.
async fn decide_founder(options: &MemberOptions, node: &HubNode, has_empty_log: bool) -> bool {
    loop {
        let earlier = node.earlier_seeds(&options.seeds);
        let must_wait = options.is_first_start
            && has_empty_log
            && earlier.as_ref().is_some_and(|seeds| {
                seeds.contains(&SeedKind::Unknown) && !seeds.contains(&SeedKind::WithDisk)
            });
        if !must_wait {
            return is_founder(options.is_first_start, has_empty_log, earlier.as_deref());
        }
        sleep(SEED_POLL_INTERVAL).await;
    }
}
