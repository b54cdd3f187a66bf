//! Non-blocking reads with few system calls.

use std::io;

use bytes::{BufMut, BytesMut};
use tokio::{io::Interest, net::TcpStream};

/// Reads the available bytes into the buffer, at least `reserve` of them if there are as many, and at
/// most `most`.
///
/// A read that does not fill the buffer has emptied the socket, and the next bytes wake the task
/// again. The readiness is therefore cleared at once, which saves the read that would only find
/// nothing.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::WouldBlock`] when there are no bytes, and when the connection is
/// broken.
pub(crate) fn read_available(
    stream: &TcpStream,
    buffer: &mut BytesMut,
    reserve: usize,
    most: usize,
) -> io::Result<usize> {
    buffer.reserve(reserve);
    let capacity = (buffer.capacity() - buffer.len()).min(most);
    let length = stream.try_read_buf(&mut buffer.limit(capacity))?;
    if length > 0 && length < capacity {
        let clear = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        // The error is that of the closure, which makes the runtime clear the readiness.
        let _ = stream.try_io(Interest::READABLE, clear);
    }
    Ok(length)
}
