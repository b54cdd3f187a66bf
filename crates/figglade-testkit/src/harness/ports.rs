//! Finds free ports for processes that are told their port beforehand.

use std::{
    net::{Ipv4Addr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

/// The first port that is handed out; the range ends below the ports of outgoing connections.
const FIRST_PORT: u32 = 10_000;

/// The number of ports in the range.
const PORT_COUNT: u32 = 20_000;

/// The ports between the starting points of two processes.
const PORTS_PER_PROCESS: u32 = 97;

/// The ports tried so far by this process.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback port that nothing listens at, a different one at each call.
///
/// Processes start at different places of the range, so that tests side by side rarely meet.
pub fn take_free_port() -> Option<u16> {
    let start = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in 0..PORT_COUNT {
        let offset = start.wrapping_add(TRIED.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset).ok()?;
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            return Some(port);
        }
    }
    None
}
