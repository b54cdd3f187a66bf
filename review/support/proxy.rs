//! A proxy that holds up what a connection sends before it passes it on.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use super::{pause, record::Record};

/// Starts a proxy to `to` on `ip` that passes each call on after `delay_ms`, also if its sender has
/// closed the connection meanwhile, and records the answer. Returns its address.
pub fn start_slow(ip: &str, to: SocketAddr, delay_ms: u64, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let record = record.clone();
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let record = record.clone();
            thread::spawn(move || pass_on(stream, to, delay_ms, &record));
        }
    });
    address
}

fn pass_on(mut from: TcpStream, to: SocketAddr, delay_ms: u64, record: &Record) {
    let mut bytes = vec![0; 65_536];
    // A call of these stand-ins is written at once and fits into one read.
    let Ok(length) = from.read(&mut bytes) else { return };
    pause(delay_ms);
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    if stream.write_all(&bytes[..length]).is_err() {
        return;
    }
    let call = first_line(&bytes[..length]);
    let length = stream.read(&mut bytes).unwrap_or(0);
    record.line(&format!("held up for {delay_ms} ms: {call}: {}", first_line(&bytes[..length])));
    // The sender has given up unless the delay is short.
    let _ = from.write_all(&bytes[..length]);
}

fn first_line(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).lines().next().unwrap_or_default().to_owned()
}
