//! One kept connection to a target: one request at a time, and everything else that arrives on it.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use figglade::{
    Timestamp,
    filter::scatter::{AttemptEnd, ReplicaState},
};
use tokio::{net::TcpStream, sync::Notify};

use super::{
    answer::{AttemptReport, AttemptSink, TargetAnswer},
    headers::{AnswerMarks, HeaderNames},
};
use crate::{
    clock::ProcessClock,
    http1::{BodyReader, HttpError, ResponseHead, frame_response},
};

/// The room made for a read, in bytes.
const READ_BYTES: usize = 8_192;
/// The largest head of an answer, in bytes.
const MAX_ANSWER_HEAD: usize = 64 << 10;
/// The largest body of an answer, in bytes: it is held whole before it is relayed.
const MAX_ANSWER_BODY: usize = 16 << 20;
/// How soon after it was made a connection ends whose target accepts no more of them; an answer
/// that is lost takes at least the work of the request.
const TURN_AWAY_TIME: Duration = Duration::from_millis(4);
/// The answers to other requests that are skipped before the connection is given up.
const MAX_FOREIGN: u32 = 2;

/// What a link tells its pool.
pub(super) trait LinkOwner {
    /// The link is free again.
    fn take_back(&self, link: Rc<TargetLink>);

    /// The link is closed.
    fn forget(&self, link: &TargetLink);
}

#[derive(Debug, Default)]
struct LinkState {
    sink: Option<AttemptSink>,
    /// What could not be written yet.
    unsent: Bytes,
    /// The answers to other requests seen so far.
    foreign: u32,
    /// How long the target keeps an unused connection, as it last said.
    keeps_for: Option<Duration>,
}

/// One connection to a target.
#[derive(Debug)]
pub(super) struct TargetLink {
    stream: TcpStream,
    clock: ProcessClock,
    names: HeaderNames,
    state: RefCell<LinkState>,
    wake: Notify,
    is_closed: Cell<bool>,
    /// When it was made.
    pub(super) made_at: Timestamp,
    /// Whether anything was ever read from it.
    pub(super) has_answered: Cell<bool>,
    /// When it became free, or was made.
    pub(super) free_since: Cell<Timestamp>,
    /// From when on it is closed although its request has no answer: nobody waits for it.
    pub(super) abandon_at: Cell<Option<Timestamp>>,
}

/// An answer that is being read.
struct PendingAnswer {
    head: ResponseHead,
    marks: AnswerMarks,
    reader: BodyReader,
}

impl TargetLink {
    pub(super) fn new(
        stream: TcpStream,
        clock: ProcessClock,
        names: HeaderNames,
        now: Timestamp,
    ) -> Self {
        Self {
            stream,
            clock,
            names,
            state: RefCell::default(),
            wake: Notify::new(),
            is_closed: Cell::new(false),
            made_at: now,
            has_answered: Cell::new(false),
            free_since: Cell::new(now),
            abandon_at: Cell::new(None),
        }
    }

    /// Sends a request whose answer goes to `sink`. Returns the sink where the connection turns
    /// out to be closed and no byte was written.
    pub(super) fn send(&self, request: Bytes, sink: AttemptSink) -> Result<(), AttemptSink> {
        if self.is_closed.get() {
            return Err(sink);
        }
        let written = match self.stream.try_write(&request) {
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => 0,
            Err(_) => {
                self.close();
                return Err(sink);
            }
        };
        let mut state = self.state.borrow_mut();
        state.sink = Some(sink);
        self.abandon_at.set(None);
        if written < request.len() {
            state.unsent = request.slice(written..);
            self.wake.notify_one();
        }
        Ok(())
    }

    /// Closes the connection; an open request ends without an answer.
    pub(super) fn close(&self) {
        self.is_closed.set(true);
        self.wake.notify_one();
    }

    pub(super) const fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Returns whether the request on it has waited so long that the connection counts as dead.
    pub(super) fn is_overdue(&self, now: Timestamp) -> bool {
        let state = self.state.borrow();
        state.sink.as_ref().is_some_and(|sink| ReplicaState::is_overdue(&sink.ticket, now))
    }

    /// Returns whether a request is on it.
    pub(super) fn is_busy(&self) -> bool {
        self.state.borrow().sink.is_some()
    }

    /// Returns how long it may stay unused.
    pub(super) fn keeps_for(&self) -> Option<Duration> {
        self.state.borrow().keeps_for
    }

    /// Reads until the connection ends. The last request on it ends as lost.
    pub(super) async fn run(self: Rc<Self>, owner: Rc<dyn LinkOwner>) {
        let end = match self.read_answers(&owner).await {
            AttemptEnd::Lost if self.is_turned_away() => AttemptEnd::TurnedAway,
            end => end,
        };
        self.is_closed.set(true);
        owner.forget(&self);
        let sink = self.state.borrow_mut().sink.take();
        if let Some(sink) = sink {
            self.report(sink, end, None);
        }
    }

    /// Returns whether the target ends the connection as soon as it is made.
    pub(super) fn is_turned_away(&self) -> bool {
        let age = self.clock.now().since(self.made_at);
        !self.has_answered.get() && age < TURN_AWAY_TIME
    }

    /// Reads answers, and returns how an open request ends.
    async fn read_answers(self: &Rc<Self>, owner: &Rc<dyn LinkOwner>) -> AttemptEnd {
        let mut buffer = BytesMut::new();
        let mut pending: Option<PendingAnswer> = None;
        loop {
            let read = match self.read_some(&mut buffer).await {
                Some(read) => read,
                None => return AttemptEnd::Cancelled,
            };
            let is_end = !matches!(read, Ok(length) if length > 0);
            if !is_end {
                self.has_answered.set(true);
            }
            let is_clean_end = matches!(read, Ok(0));
            loop {
                if !self.is_busy() && !buffer.is_empty() {
                    // Nothing was asked for.
                    return AttemptEnd::Lost;
                }
                match self.advance(&mut buffer, &mut pending, is_clean_end) {
                    Ok(Some(answer)) => {
                        if !self.finish(answer, &buffer, is_end, owner) {
                            return AttemptEnd::Lost;
                        }
                    }
                    Ok(None) => break,
                    Err(_) => return AttemptEnd::Lost,
                }
            }
            if is_end {
                return AttemptEnd::Lost;
            }
        }
    }

    /// Waits for bytes, writes what is left of a request meanwhile, and returns nothing where this
    /// side closed the connection.
    async fn read_some(&self, buffer: &mut BytesMut) -> Option<io::Result<usize>> {
        loop {
            if self.is_closed.get() {
                return None;
            }
            let is_writing = !self.state.borrow().unsent.is_empty();
            tokio::select! {
                ready = self.stream.readable() => {
                    if let Err(error) = ready {
                        return Some(Err(error));
                    }
                    buffer.reserve(READ_BYTES);
                    match self.stream.try_read_buf(buffer) {
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                        read => return Some(read),
                    }
                }
                ready = self.stream.writable(), if is_writing => {
                    if let Err(error) = ready.and_then(|()| self.write_rest()) {
                        return Some(Err(error));
                    }
                }
                () = self.wake.notified() => {}
            }
        }
    }

    fn write_rest(&self) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        match self.stream.try_write(&state.unsent) {
            Ok(length) => {
                state.unsent.advance(length);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Reads on in the buffer and returns an answer once it is whole.
    fn advance(
        &self,
        buffer: &mut BytesMut,
        pending: &mut Option<PendingAnswer>,
        is_clean_end: bool,
    ) -> Result<Option<TargetAnswer>, HttpError> {
        if pending.is_none() {
            *pending = self.take_head(buffer)?;
        }
        let Some(held) = pending else { return Ok(None) };
        let mut is_whole = held.reader.feed(buffer)?;
        if !is_whole && is_clean_end {
            held.reader.end()?;
            is_whole = true;
        }
        if !is_whole {
            return Ok(None);
        }
        let whole = pending.take();
        Ok(whole.map(|PendingAnswer { head, marks, reader }| TargetAnswer {
            head,
            marks,
            body: reader.into_body(),
        }))
    }

    /// Takes the next head; interim ones are skipped.
    fn take_head(&self, buffer: &mut BytesMut) -> Result<Option<PendingAnswer>, HttpError> {
        let is_to_head = self.state.borrow().sink.as_ref().is_some_and(|sink| sink.is_head);
        loop {
            let Some(head) = ResponseHead::take(buffer, MAX_ANSWER_HEAD)? else { return Ok(None) };
            if (100..200).contains(&head.status) {
                continue;
            }
            let framing = frame_response(&head, is_to_head)?;
            let reader = BodyReader::start(framing, MAX_ANSWER_BODY)?;
            let marks = self.names.read_answer(&head);
            return Ok(Some(PendingAnswer { head, marks, reader }));
        }
    }

    /// Hands an answer over. Returns whether the connection goes on.
    fn finish(
        self: &Rc<Self>,
        answer: TargetAnswer,
        rest: &BytesMut,
        is_end: bool,
        owner: &Rc<dyn LinkOwner>,
    ) -> bool {
        let mut state = self.state.borrow_mut();
        let expected = state.sink.as_ref().and_then(|sink| sink.request_id.clone());
        let is_foreign = answer.marks.request_id.is_some() && answer.marks.request_id != expected;
        if is_foreign {
            // A late answer to an earlier request; the one that is waited for may still come.
            state.foreign += 1;
            return state.foreign <= MAX_FOREIGN;
        }
        let is_clean = rest.is_empty() && state.unsent.is_empty() && state.foreign == 0 && !is_end;
        let keeps = is_clean && answer.head.keeps_connection();
        state.keeps_for = keep_alive_of(&answer.head);
        let sink = state.sink.take();
        drop(state);
        let Some(sink) = sink else { return false };
        let end = answer.marks.end(sink.is_part);
        self.free_since.set(self.clock.now());
        if keeps {
            self.abandon_at.set(None);
            owner.take_back(Rc::clone(self));
        }
        self.report(sink, end, Some(answer));
        keeps
    }

    fn report(&self, sink: AttemptSink, end: AttemptEnd, answer: Option<TargetAnswer>) {
        sink.replica.finish_attempt(sink.ticket, end, self.clock.now());
        sink.inbox.push(AttemptReport { attempt: sink.attempt, end, answer });
    }
}

/// Returns how long a target keeps an unused connection, as it says.
fn keep_alive_of(head: &ResponseHead) -> Option<Duration> {
    let text = head.headers.text("keep-alive")?;
    let values = text.split(',').filter_map(|part| part.trim().split_once('='));
    let (_, seconds) = values.into_iter().find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
