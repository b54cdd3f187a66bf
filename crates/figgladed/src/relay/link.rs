//! A keep-alive connection to a target. It carries one request at a time, and detects late answers,
//! unrequested bytes and closes by the target.

use std::{
    cell::{Cell, RefCell},
    io::{self, IoSlice},
    rc::Rc,
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut, buf::Chain};
use figglade::{
    Timestamp,
    filter::scatter::{AttemptEnd, ReplicaState},
};
use slog::{debug, info};
use tokio::{net::TcpStream, sync::Notify};

use super::{
    answer::{AttemptReport, AttemptSink, TargetAnswer},
    drain_inbox::DrainNotice,
    headers::{AnswerMetadata, BackoffRequest},
    pool::{LinkContext, LinkPlace},
};
use crate::http1::{BodyReader, HttpError, ResponseHead, frame_response, read_available};

/// The buffer capacity reserved for a read, in bytes.
const READ_BUFFER_BYTES: usize = 8_192;
/// The maximum number of bytes of one read. The bound on incomplete answers is checked after each read,
/// so that this is the most by which each connection exceeds it.
const MAX_READ_BYTES: usize = 64 << 10;
/// The maximum size of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The age below which a close without an answer means that the target accepts no more connections.
/// A connection lost while a request ran is older, as the request itself takes longer.
const TURN_AWAY_MAX_AGE: Duration = Duration::from_millis(4);
/// The number of answers to other requests that are skipped before the connection is closed.
const MAX_FOREIGN_ANSWERS: u32 = 2;

/// A request as it is sent to one target: the head, the header fields that differ between targets, and
/// the body. The targets of a search share the head and the body.
pub(super) type OutgoingRequest = Chain<Chain<Bytes, Bytes>, Bytes>;

/// The number of buffers of an [`OutgoingRequest`].
const REQUEST_BUFFERS: usize = 3;

/// The owner of a link, usually its pool, which is notified when the link is free or closed.
pub(super) trait LinkOwner {
    /// Takes back a link that is free again.
    fn put_back(&self, link: Rc<TargetLink>);

    /// Removes a link that is closed.
    fn remove(&self, link: &TargetLink);
}

#[derive(Debug, Default)]
struct LinkState {
    sink: Option<AttemptSink>,
    /// The part of the request that has not been written yet.
    unsent: Option<OutgoingRequest>,
    /// The number of answers to other requests received so far.
    foreign_answers: u32,
    /// The size of the interim responses (1xx) before the next answer, in bytes.
    interim_bytes: usize,
    /// How long the target keeps an idle connection, according to its last answer.
    idle_timeout: Option<Duration>,
}

/// One connection to a target.
#[derive(Debug)]
pub(super) struct TargetLink {
    stream: TcpStream,
    /// Dropped with the connection.
    _place: LinkPlace,
    context: LinkContext,
    state: RefCell<LinkState>,
    wake: Notify,
    is_closed: Cell<bool>,
    /// The size of the incomplete answer, in bytes.
    buffered: Cell<usize>,
    pub(super) made_at: Timestamp,
    /// Whether any byte has been read from it.
    pub(super) has_received: Cell<bool>,
    /// When it last became free, or was made.
    pub(super) free_since: Cell<Timestamp>,
    /// The time from which it is closed although its request has no answer, because nobody waits
    /// for that answer.
    pub(super) abandon_at: Cell<Option<Timestamp>>,
}

/// An answer that is being read.
struct PendingAnswer {
    head: ResponseHead,
    metadata: AnswerMetadata,
    reader: BodyReader,
}

impl TargetLink {
    /// Takes over a connection that has just been made.
    pub(super) fn new(stream: TcpStream, place: LinkPlace, context: LinkContext) -> Self {
        let now = context.clock.now();
        Self {
            stream,
            _place: place,
            context,
            state: RefCell::default(),
            wake: Notify::new(),
            is_closed: Cell::new(false),
            buffered: Cell::new(0),
            made_at: now,
            has_received: Cell::new(false),
            free_since: Cell::new(now),
            abandon_at: Cell::new(None),
        }
    }

    /// Sends a request whose answer goes to `sink`. Returns the sink if the connection turns out to
    /// be closed and no byte was written.
    pub(super) fn send(
        &self,
        mut request: OutgoingRequest,
        sink: AttemptSink,
    ) -> Result<(), AttemptSink> {
        if self.is_closed.get() {
            return Err(sink);
        }
        if self.write_some(&mut request).is_err() {
            self.close();
            return Err(sink);
        }
        let mut state = self.state.borrow_mut();
        state.sink = Some(sink);
        self.abandon_at.set(None);
        if request.has_remaining() {
            state.unsent = Some(request);
            self.wake.notify_one();
        }
        Ok(())
    }

    /// Writes as much of a request as the kernel takes.
    fn write_some(&self, request: &mut OutgoingRequest) -> io::Result<()> {
        let mut slices = [IoSlice::new(&[]); REQUEST_BUFFERS];
        let count = request.chunks_vectored(&mut slices);
        match self.stream.try_write_vectored(&slices[..count]) {
            Ok(written) => {
                request.advance(written);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Closes the connection; an open request ends without an answer.
    pub(super) fn close(&self) {
        self.is_closed.set(true);
        self.wake.notify_one();
    }

    pub(super) const fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Returns whether the request on it has waited so long that the connection is considered dead.
    pub(super) fn is_overdue(&self, now: Timestamp) -> bool {
        let state = self.state.borrow();
        state.sink.as_ref().is_some_and(|sink| ReplicaState::is_overdue(&sink.ticket, now))
    }

    /// Returns whether a request is open on it.
    pub(super) fn is_busy(&self) -> bool {
        self.state.borrow().sink.is_some()
    }

    /// Returns how long the target keeps it open while idle, if the target has said so.
    pub(super) fn idle_timeout(&self) -> Option<Duration> {
        self.state.borrow().idle_timeout
    }

    /// Reads until the connection ends. A request that is still open then ends as lost, or as
    /// turned away or cancelled.
    pub(super) async fn run(self: Rc<Self>, owner: Rc<dyn LinkOwner>) {
        let end = match self.read_answers(&owner).await {
            AttemptEnd::Lost if self.is_turned_away() => AttemptEnd::TurnedAway,
            end => end,
        };
        self.is_closed.set(true);
        self.record_buffered(0);
        owner.remove(&self);
        let sink = self.state.borrow_mut().sink.take();
        if let Some(sink) = sink {
            self.report(sink, end, None);
        }
    }

    /// Returns whether the connection is so new and unanswered that its end means the target turned
    /// it away.
    pub(super) fn is_turned_away(&self) -> bool {
        let age = self.context.clock.now().since(self.made_at);
        !self.has_received.get() && age < TURN_AWAY_MAX_AGE
    }

    /// Reads answers until the connection ends, and returns how a request that is still open ends.
    async fn read_answers(self: &Rc<Self>, owner: &Rc<dyn LinkOwner>) -> AttemptEnd {
        let mut buffer = BytesMut::new();
        let mut pending: Option<PendingAnswer> = None;
        loop {
            let read = match self.read_bytes(&mut buffer).await {
                Some(read) => read,
                None => return AttemptEnd::Cancelled,
            };
            let is_end = !matches!(read, Ok(length) if length > 0);
            if !is_end {
                self.has_received.set(true);
            }
            let is_clean_end = matches!(read, Ok(0));
            loop {
                if !self.is_busy() && !buffer.is_empty() {
                    // Bytes arrived that belong to no request.
                    return AttemptEnd::Lost;
                }
                match self.parse_answer(&mut buffer, &mut pending, is_clean_end) {
                    Ok(Some(answer)) => {
                        if buffer.is_empty() && answer.body.len() > READ_BUFFER_BYTES {
                            // The rest of the allocation would stay in memory with the connection.
                            buffer = BytesMut::new();
                        }
                        if !self.deliver_answer(answer, &buffer, is_end, owner) {
                            return AttemptEnd::Lost;
                        }
                    }
                    Ok(None) => break,
                    Err(error) => {
                        self.log_unreadable(&error);
                        return AttemptEnd::Lost;
                    }
                }
            }
            let held = pending.as_ref().map_or(0, |answer| answer.reader.held_bytes());
            let own = buffer.len() + held;
            if !self.context.buffer_limit.allows(own, self.record_buffered(own)) {
                self.log_unreadable(&HttpError::BodyTooLarge);
                return AttemptEnd::Lost;
            }
            if is_end {
                return AttemptEnd::Lost;
            }
        }
    }

    /// Records the size of the incomplete answer and returns that of all links.
    fn record_buffered(&self, bytes: usize) -> usize {
        let total = &self.context.buffered;
        total.set(total.get() - self.buffered.replace(bytes) + bytes);
        total.get()
    }

    fn log_unreadable(&self, error: &HttpError) {
        let state = self.state.borrow();
        let target = state.sink.as_ref().map(|sink| &sink.replica.spec.id);
        debug!(self.context.log, "relay: closed a connection whose bytes are no answer";
            "target" => target.map(ToString::to_string), "error" => %error);
    }

    /// Waits for bytes and meanwhile writes the rest of a request. Returns `None` if this side
    /// closed the connection.
    async fn read_bytes(&self, buffer: &mut BytesMut) -> Option<io::Result<usize>> {
        loop {
            if self.is_closed.get() {
                return None;
            }
            let is_writing = self.state.borrow().unsent.is_some();
            tokio::select! {
                ready = self.stream.readable() => {
                    if let Err(error) = ready {
                        return Some(Err(error));
                    }
                    match read_available(&self.stream, buffer, READ_BUFFER_BYTES, MAX_READ_BYTES) {
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                        read => return Some(read),
                    }
                }
                ready = self.stream.writable(), if is_writing => {
                    if let Err(error) = ready.and_then(|()| self.write_unsent()) {
                        return Some(Err(error));
                    }
                }
                () = self.wake.notified() => {}
            }
        }
    }

    fn write_unsent(&self) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        let Some(request) = &mut state.unsent else { return Ok(()) };
        self.write_some(request)?;
        if !request.has_remaining() {
            state.unsent = None;
        }
        Ok(())
    }

    /// Parses more of the buffer and returns an answer once it is complete.
    fn parse_answer(
        &self,
        buffer: &mut BytesMut,
        pending: &mut Option<PendingAnswer>,
        is_clean_end: bool,
    ) -> Result<Option<TargetAnswer>, HttpError> {
        if pending.is_none() {
            *pending = self.parse_head(buffer)?;
        }
        let Some(held) = pending else { return Ok(None) };
        let mut is_whole = held.reader.feed(buffer)?;
        if !is_whole && is_clean_end {
            held.reader.handle_eof()?;
            is_whole = true;
        }
        if !is_whole {
            return Ok(None);
        }
        let whole = pending.take();
        Ok(whole.map(|PendingAnswer { head, metadata, reader }| TargetAnswer {
            head,
            metadata,
            body: reader.into_body(),
        }))
    }

    /// Parses the next head. Heads of interim (1xx) responses are skipped and count towards the
    /// maximum size of the head.
    fn parse_head(&self, buffer: &mut BytesMut) -> Result<Option<PendingAnswer>, HttpError> {
        let is_to_head = self.state.borrow().sink.as_ref().is_some_and(|sink| sink.is_head);
        loop {
            let length = buffer.len();
            let Some(head) = ResponseHead::take(buffer, MAX_HEAD_BYTES)? else { return Ok(None) };
            let mut state = self.state.borrow_mut();
            if head.is_interim()? {
                state.interim_bytes += length - buffer.len();
                if state.interim_bytes > MAX_HEAD_BYTES {
                    return Err(HttpError::HeadTooLarge);
                }
                continue;
            }
            state.interim_bytes = 0;
            drop(state);
            let framing = frame_response(&head, is_to_head)?;
            let reader = BodyReader::start(framing, self.context.buffer_limit.max_answer_bytes())?;
            let metadata = self.context.names.read_answer(&head);
            return Ok(Some(PendingAnswer { head, metadata, reader }));
        }
    }

    /// Delivers an answer to its request. Returns whether the connection stays open.
    fn deliver_answer(
        self: &Rc<Self>,
        answer: TargetAnswer,
        rest: &BytesMut,
        is_end: bool,
        owner: &Rc<dyn LinkOwner>,
    ) -> bool {
        let mut state = self.state.borrow_mut();
        let expected = state.sink.as_ref().and_then(|sink| sink.request_id.clone());
        let is_foreign =
            answer.metadata.request_id.is_some() && answer.metadata.request_id != expected;
        if let Some(sink) = &state.sink {
            self.observe_target(&sink.replica, &answer.metadata, is_foreign);
        }
        if is_foreign {
            // A late answer to an earlier request; the expected one may still follow.
            state.foreign_answers += 1;
            return state.foreign_answers <= MAX_FOREIGN_ANSWERS;
        }
        let is_clean =
            rest.is_empty() && state.unsent.is_none() && state.foreign_answers == 0 && !is_end;
        let keeps_open = is_clean && answer.head.keeps_connection();
        state.idle_timeout = keep_alive_timeout(&answer.head);
        let sink = state.sink.take();
        drop(state);
        let Some(sink) = sink else { return false };
        let end = answer.metadata.end(sink.is_part);
        self.free_since.set(self.context.clock.now());
        if keeps_open {
            self.abandon_at.set(None);
            owner.put_back(Rc::clone(self));
        }
        self.report(sink, end, Some(answer));
        keeps_open
    }

    /// Applies what an answer says of the target itself. A connection ends with its target, so even
    /// an answer to another request is from the start that the connection was made to. How long ago
    /// such an answer asked for a back-off is unknown, so that the back-off is ignored.
    fn observe_target(&self, replica: &ReplicaState, metadata: &AnswerMetadata, is_foreign: bool) {
        if metadata.is_misdirected() {
            return;
        }
        let spec = &replica.spec;
        if metadata.is_leaving && replica.is_usable.replace(false) {
            info!(self.context.log, "relay: a target says that it is leaving";
                "target" => %spec.id, "incarnation" => %spec.incarnation);
            let notice = DrainNotice { target: spec.id.clone(), incarnation: spec.incarnation };
            self.context.drains.push(notice);
        }
        match metadata.backoff {
            BackoffRequest::For(delay) if !is_foreign => {
                if replica.record_backoff(delay, self.context.clock.now()) {
                    self.context.metrics.count_backoff();
                    info!(self.context.log, "relay: a target asks to be sent nothing";
                        "target" => %spec.id, "for_ms" => delay.as_millis() as u64);
                }
            }
            BackoffRequest::Invalid => {
                debug!(self.context.log, "relay: ignored the back-off that a target asks for";
                    "target" => %spec.id);
            }
            BackoffRequest::For(_) | BackoffRequest::None => {}
        }
    }

    fn report(&self, sink: AttemptSink, end: AttemptEnd, answer: Option<TargetAnswer>) {
        sink.replica.finish_attempt(sink.ticket, end, self.context.clock.now());
        sink.inbox.push(AttemptReport { attempt: sink.attempt, end, answer });
    }
}

/// Returns how long a target keeps an idle connection, according to its `Keep-Alive` header.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let text = head.headers.text("keep-alive")?;
    let values = text.split(',').filter_map(|part| part.trim().split_once('='));
    let (_, seconds) = values.into_iter().find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
