//! Measures what a process holds: its resident memory, the bytes that have arrived for it and that it
//! has not read, and its open descriptors.

use std::{
    collections::HashSet,
    fs,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// The time between two samples.
const SAMPLE_PERIOD: Duration = Duration::from_millis(5);
/// The states in which a socket without an owner has not been accepted yet: established, and closed by
/// the other side.
const OPEN_STATES: [&str; 2] = ["01", "08"];
/// The state of a listening socket.
const LISTEN_STATE: &str = "0A";

/// What a process held at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldSample {
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Bytes that arrived and were not read, also on connections that were not accepted.
    pub unread: u64,
    /// Open file descriptors.
    pub files: usize,
}

impl HeldSample {
    /// Returns the memory that counts towards the limit of the process, in bytes.
    pub fn memory(&self) -> u64 {
        self.resident + self.unread
    }

    /// Takes a sample of a process; `None` if it has exited.
    pub fn take(process: u32) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib: u64 = line.trim().split(' ').next()?.parse().ok()?;
        let mut sockets = HashSet::new();
        let mut files = 0;
        for entry in fs::read_dir(format!("/proc/{process}/fd")).ok()?.flatten() {
            files += 1;
            // A descriptor may be closed between the listing and this call.
            let Ok(link) = fs::read_link(entry.path()) else { continue };
            let link = link.to_string_lossy().into_owned();
            let inode = link.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']'));
            sockets.extend(inode.map(str::to_owned));
        }
        Some(Self { resident: kib << 10, unread: unread_bytes(&sockets), files })
    }
}

/// Returns the unread bytes on the IPv4 sockets of a process and on connections to its listeners that were
/// not accepted yet.
fn unread_bytes(sockets: &HashSet<String>) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").expect("the table of TCP sockets");
    // Fields: slot, local address, remote address, state, queues as `tx:rx`, and the inode as tenth.
    let rows: Vec<Vec<&str>> =
        table.lines().skip(1).map(|line| line.split_whitespace().collect()).collect();
    let listeners: HashSet<&str> = rows
        .iter()
        .filter(|row| row[3] == LISTEN_STATE && sockets.contains(row[9]))
        .map(|row| row[1])
        .collect();
    let is_held = |row: &&Vec<&str>| match row[9] {
        _ if row[3] == LISTEN_STATE => false,
        "0" => OPEN_STATES.contains(&row[3]) && listeners.contains(row[1]),
        inode => sockets.contains(inode),
    };
    let queued = |row: &Vec<&str>| {
        let (_, received) = row[4].split_once(':')?;
        u64::from_str_radix(received, 16).ok()
    };
    rows.iter().filter(is_held).filter_map(queued).sum()
}

/// Samples a process in the background.
#[derive(Debug)]
pub struct HeldMeter {
    process: u32,
    peaks: Arc<Mutex<(HeldSample, usize)>>,
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl HeldMeter {
    /// Starts to sample a process.
    pub fn start(process: u32) -> Self {
        let peaks = Arc::<Mutex<(HeldSample, usize)>>::default();
        let is_stopped = Arc::<AtomicBool>::default();
        let (held, stopped) = (Arc::clone(&peaks), Arc::clone(&is_stopped));
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                record(&held, HeldSample::take(process));
                thread::sleep(SAMPLE_PERIOD);
            }
        });
        Self { process, peaks, is_stopped, thread: Some(thread) }
    }

    /// Takes one more sample, and returns the sample with the most memory and the most descriptors of
    /// any sample.
    ///
    /// # Panics
    ///
    /// Panics when a former sample has panicked.
    pub fn peaks(&self) -> (HeldSample, usize) {
        record(&self.peaks, HeldSample::take(self.process));
        *self.peaks.lock().expect("no sample has failed")
    }
}

fn record(peaks: &Mutex<(HeldSample, usize)>, sample: Option<HeldSample>) {
    let Some(sample) = sample else { return };
    let mut peaks = peaks.lock().expect("no sample has failed");
    if sample.memory() > peaks.0.memory() {
        peaks.0 = sample;
    }
    peaks.1 = peaks.1.max(sample.files);
}

impl Drop for HeldMeter {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            // A failed sample has already been reported by its panic message.
            let _ = thread.join();
        }
    }
}
