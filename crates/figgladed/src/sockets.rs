//! TCP sockets whose receive buffers are bounded.
//!
//! Bytes that have arrived and were not read count as memory of the process. Without a bound of its own,
//! the kernel keeps up to several megabytes for each connection.

use std::{io, net::SocketAddr};

use figglade::filter::intake::{IntakeLimits, RECEIVE_BUFFER_BYTES};
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// The kernel doubles the size that is set, to allow for its own overhead.
const KERNEL_FACTOR: u32 = 2;

/// Listens on an address; the connections inherit the receive buffer.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub(crate) fn listen(
    address: SocketAddr,
    limits: &IntakeLimits,
    log: &Logger,
) -> io::Result<TcpListener> {
    let socket = new_socket(address)?;
    socket.set_reuseaddr(true)?;
    if let Err(error) = bound_receive_buffer(&socket) {
        warn!(log, "process: cannot bound the receive buffers of connections";
            "address" => %address, "error" => %error);
    }
    socket.bind(address)?;
    socket.listen(limits.backlog())
}

/// Connects to an address.
///
/// # Errors
///
/// Fails when the connection cannot be made.
pub(crate) async fn connect(address: SocketAddr, log: &Logger) -> io::Result<TcpStream> {
    let socket = new_socket(address)?;
    if let Err(error) = bound_receive_buffer(&socket) {
        debug!(log, "process: cannot bound the receive buffer of a connection";
            "address" => %address, "error" => %error);
    }
    socket.connect(address).await
}

fn new_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }
}

fn bound_receive_buffer(socket: &TcpSocket) -> io::Result<()> {
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32 / KERNEL_FACTOR)
}
