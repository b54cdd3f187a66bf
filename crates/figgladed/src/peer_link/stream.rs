//! Streams that count bytes, bound what an unproved peer may send, and stop reading from a peer
//! that does not read.

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

/// The most bytes read from a peer before it proved a key.
const MAX_UNPROVED_BYTES: usize = 8 << 10;

/// The reading half that the RPC system takes.
pub(super) type StreamReader = Compat<GuardedReader<BufReader<ReadHalf<MeteredStream>>>>;

/// The writing half that the RPC system takes.
pub(super) type StreamWriter = Compat<GuardedWriter<BufWriter<WriteHalf<MeteredStream>>>>;

/// Splits a connection into the halves that the RPC system takes.
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

/// What the two halves of a connection and its owner know together.
pub(super) struct StreamGuard {
    /// Whether the peer proved a key; until then little is read.
    proved: Cell<bool>,
    unproved_bytes: Cell<usize>,
    /// Whether reading stops while the peer takes nothing or too many calls run.
    holds_reads: bool,
    max_calls: usize,
    calls: Cell<usize>,
    blocked_since: Cell<Option<Instant>>,
    last_read: Cell<Instant>,
    waker: RefCell<Option<Waker>>,
}

impl StreamGuard {
    /// Builds the guard of a connection that this side made; its answers are always read.
    pub(super) fn for_dialer() -> Rc<Self> {
        Rc::new(Self::new(true, false, usize::MAX))
    }

    /// Builds the guard of a connection that was accepted.
    pub(super) fn for_acceptor(max_calls: usize) -> Rc<Self> {
        Rc::new(Self::new(false, true, max_calls))
    }

    /// Builds a guard.
    fn new(proved: bool, holds_reads: bool, max_calls: usize) -> Self {
        Self {
            proved: Cell::new(proved),
            unproved_bytes: Cell::new(0),
            holds_reads,
            max_calls,
            calls: Cell::new(0),
            blocked_since: Cell::new(None),
            last_read: Cell::new(Instant::now()),
            waker: RefCell::new(None),
        }
    }

    /// Records that the peer proved a key.
    pub(super) fn set_proved(&self) {
        self.proved.set(true);
    }

    /// Returns whether the peer proved a key.
    pub(super) fn is_proved(&self) -> bool {
        self.proved.get()
    }

    /// Counts a call that starts.
    pub(super) fn begin_call(&self) {
        self.calls.set(self.calls.get() + 1);
    }

    /// Counts a call that ended.
    pub(super) fn end_call(&self) {
        self.calls.set(self.calls.get() - 1);
        self.wake_reader();
    }

    /// Returns whether the peer has taken nothing for at least `limit`.
    pub(super) fn is_stalled(&self, now: Instant, limit: Duration) -> bool {
        self.blocked_since.get().is_some_and(|since| now.duration_since(since) >= limit)
    }

    /// Returns whether nothing was read for at least `limit` and no call runs.
    pub(super) fn is_idle(&self, now: Instant, limit: Duration) -> bool {
        self.calls.get() == 0 && now.duration_since(self.last_read.get()) >= limit
    }

    /// Returns whether reading must wait.
    fn is_held(&self) -> bool {
        self.holds_reads
            && (self.calls.get() >= self.max_calls || self.blocked_since.get().is_some())
    }

    /// Lets a waiting reader look again.
    fn wake_reader(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Accounts for bytes that were read.
    fn record_read(&self, length: usize) -> io::Result<()> {
        self.last_read.set(Instant::now());
        if self.proved.get() {
            return Ok(());
        }
        let total = self.unproved_bytes.get() + length;
        self.unproved_bytes.set(total);
        if total > MAX_UNPROVED_BYTES {
            return Err(io::Error::other("too many bytes before the proof"));
        }
        Ok(())
    }

    /// Accounts for a write that did or did not make progress.
    fn record_write(&self, progressed: bool) {
        if progressed {
            self.blocked_since.set(None);
            self.wake_reader();
        } else if self.blocked_since.get().is_none() {
            self.blocked_since.set(Some(Instant::now()));
        }
    }
}

/// Reads only while the guard allows it.
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
        if self.guard.is_held() {
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

/// Tells the guard whether the peer takes what is written.
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
