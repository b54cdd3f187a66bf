//! Crowds of clients that hold connections open.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// How long a client waits for a connection; far longer than a listener with room needs.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// The pause after which a process that read nothing is asked again.
const STALL_PAUSE: Duration = Duration::from_millis(200);
/// The number of such pauses after which it is taken to read no more.
const MAX_STALLS: u32 = 3;

/// Opens connections to a process. One that it refuses is left out: that is one of its defences.
pub fn connect_crowd(to: SocketAddr, count: usize) -> Vec<TcpStream> {
    let connect = |_| {
        let stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    };
    (0..count).filter_map(connect).collect()
}

/// Sends the same bytes on each connection, a piece of each in turn, until the process reads no more.
pub fn send_on_each(streams: &[TcpStream], bytes: &[u8]) {
    let mut sent = vec![0; streams.len()];
    let mut stalls = 0;
    while stalls < MAX_STALLS && sent.iter().any(|sent| *sent < bytes.len()) {
        let mut has_progress = false;
        for (mut stream, sent) in streams.iter().zip(&mut sent) {
            // An error means that the process has closed the connection or reads no more.
            if *sent < bytes.len()
                && let Ok(length) = stream.write(&bytes[*sent..])
            {
                *sent += length;
                has_progress |= length > 0;
            }
        }
        stalls = if has_progress { 0 } else { stalls + 1 };
        if !has_progress {
            thread::sleep(STALL_PAUSE);
        }
    }
}
