//! Streams that count bytes, limit what an unauthenticated peer may send, and apply backpressure to
//! a peer that does not read.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll, Waker},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, BufReader, BufWriter, ReadBuf, ReadHalf, WriteHalf},
    net::TcpStream,
    time::Instant,
};
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};

use super::traffic::TrafficCounters;

/// The maximum number of bytes read from a peer before it authenticates.
const MAX_UNAUTHENTICATED_BYTES: usize = 8 << 10;

/// The read half passed to the RPC system.
pub(super) type StreamReader = Compat<GuardedReader<BufReader<ReadHalf<MeteredStream>>>>;

/// The write half passed to the RPC system.
pub(super) type StreamWriter = Compat<GuardedWriter<BufWriter<WriteHalf<MeteredStream>>>>;

/// Splits a connection into the read and write halves for the RPC system.
pub(super) fn split_stream(
    stream: TcpStream,
    traffic: Arc<TrafficCounters>,
    guard: &Rc<StreamGuard>,
) -> (StreamReader, StreamWriter) {
    let (reader, writer) = tokio::io::split(MeteredStream { stream, traffic });
    let reader = GuardedReader { inner: BufReader::new(reader), guard: Rc::clone(guard) };
    let writer = GuardedWriter { inner: BufWriter::new(writer), guard: Rc::clone(guard) };
    (reader.compat(), writer.compat_write())
}

/// Counts the bytes of a connection.
pub(super) struct MeteredStream {
    stream: TcpStream,
    traffic: Arc<TrafficCounters>,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.traffic.bytes_in.add((buffer.filled().len() - before) as u64);
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            self.traffic.bytes_out.add(written as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The state that the two halves of a connection share with its owner.
pub(super) struct StreamGuard {
    /// Whether the peer has authenticated; until then at most [`MAX_UNAUTHENTICATED_BYTES`] are read.
    is_authenticated: Cell<bool>,
    unauthenticated_bytes: Cell<usize>,
    /// Whether reading pauses while writes are blocked or too many calls run.
    pauses_reads: bool,
    max_calls: usize,
    calls: Cell<usize>,
    write_blocked_since: Cell<Option<Instant>>,
    last_read: Cell<Instant>,
    waker: RefCell<Option<Waker>>,
}

impl StreamGuard {
    /// Builds the guard of an outgoing connection, on which reading never pauses.
    pub(super) fn for_dialer() -> Rc<Self> {
        Rc::new(Self::new(true, false, usize::MAX))
    }

    /// Builds the guard of an accepted connection.
    pub(super) fn for_acceptor(max_calls: usize) -> Rc<Self> {
        Rc::new(Self::new(false, true, max_calls))
    }

    fn new(is_authenticated: bool, pauses_reads: bool, max_calls: usize) -> Self {
        Self {
            is_authenticated: Cell::new(is_authenticated),
            unauthenticated_bytes: Cell::new(0),
            pauses_reads,
            max_calls,
            calls: Cell::new(0),
            write_blocked_since: Cell::new(None),
            last_read: Cell::new(Instant::now()),
            waker: RefCell::new(None),
        }
    }

    /// Records that the peer has authenticated.
    pub(super) fn set_authenticated(&self) {
        self.is_authenticated.set(true);
    }

    /// Returns whether the peer has authenticated.
    pub(super) fn is_authenticated(&self) -> bool {
        self.is_authenticated.get()
    }

    /// Counts a call that begins.
    pub(super) fn begin_call(&self) {
        self.calls.set(self.calls.get() + 1);
    }

    /// Counts a call that ended and resumes a paused reader.
    pub(super) fn finish_call(&self) {
        self.calls.set(self.calls.get() - 1);
        self.wake_reader();
    }

    /// Returns whether writes have been blocked for at least `limit`.
    pub(super) fn is_stalled(&self, now: Instant, limit: Duration) -> bool {
        self.write_blocked_since.get().is_some_and(|since| now.duration_since(since) >= limit)
    }

    /// Returns whether nothing was read for at least `limit` and no call runs.
    pub(super) fn is_idle(&self, now: Instant, limit: Duration) -> bool {
        self.calls.get() == 0 && now.duration_since(self.last_read.get()) >= limit
    }

    /// Returns whether reading must pause.
    fn is_read_paused(&self) -> bool {
        self.pauses_reads
            && (self.calls.get() >= self.max_calls || self.write_blocked_since.get().is_some())
    }

    /// Wakes a paused reader, which then checks the guard again.
    fn wake_reader(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Records that bytes were read; fails when an unauthenticated peer sends too many.
    fn record_read(&self, length: usize) -> io::Result<()> {
        self.last_read.set(Instant::now());
        if self.is_authenticated.get() {
            return Ok(());
        }
        let total = self.unauthenticated_bytes.get() + length;
        self.unauthenticated_bytes.set(total);
        if total > MAX_UNAUTHENTICATED_BYTES {
            return Err(io::Error::other("too many bytes before authentication"));
        }
        Ok(())
    }

    /// Records whether a write made progress, and resumes a paused reader if it did.
    fn record_write(&self, progressed: bool) {
        if progressed {
            self.write_blocked_since.set(None);
            self.wake_reader();
        } else if self.write_blocked_since.get().is_none() {
            self.write_blocked_since.set(Some(Instant::now()));
        }
    }
}

/// A reader that pauses while the guard requires it.
pub(super) struct GuardedReader<R> {
    inner: R,
    guard: Rc<StreamGuard>,
}

impl<R: AsyncRead + Unpin> AsyncRead for GuardedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.guard.is_read_paused() {
            *self.guard.waker.borrow_mut() = Some(context.waker().clone());
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let length = buffer.filled().len() - before;
        match polled {
            Poll::Ready(Ok(())) => Poll::Ready(self.guard.record_read(length)),
            other => other,
        }
    }
}

/// A writer that reports to the guard whether writes make progress.
pub(super) struct GuardedWriter<W> {
    inner: W,
    guard: Rc<StreamGuard>,
}

impl<W: AsyncWrite + Unpin> AsyncWrite for GuardedWriter<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.guard.record_write(polled.is_ready());
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_flush(context);
        self.guard.record_write(polled.is_ready());
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
