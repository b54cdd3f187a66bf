//! Log lines of requests, bounded under load.

use std::{cell::Cell, time::Duration};

use figglade::{
    Timestamp,
    controller::route_set::{RouteSetVersion, RouteSpec},
    filter::scatter::{AttemptEnd, AttemptKind, ReplicaState},
};
use slog::{Logger, info};

/// The lines of one second that are written in full: failures, refusals and partial answers.
const MAX_LINES: u32 = 40;
/// Every how many ordinary answers one is logged.
const SAMPLE_EVERY: u64 = 50;
/// The time for which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// What became of one attempt.
#[derive(Debug)]
pub(super) struct AttemptNote {
    target: String,
    is_local: bool,
    kind: AttemptKind,
    pub(super) began: Timestamp,
    pub(super) end: Option<(AttemptEnd, Timestamp)>,
}

impl AttemptNote {
    pub(super) fn new(replica: &ReplicaState, kind: AttemptKind, now: Timestamp) -> Self {
        let target = replica.spec.id.to_string();
        Self { target, is_local: replica.spec.is_local, kind, began: now, end: None }
    }

    fn describe(&self, arrived: Timestamp) -> String {
        let place = if self.is_local { "local" } else { "remote" };
        let start = self.began.since(arrived).as_millis();
        let end = self.end.map_or_else(
            || "open".to_owned(),
            |(end, at)| format!("{end} after {} ms", at.since(self.began).as_millis()),
        );
        format!("{} at {start} ms to {} ({place}): {end}", self.kind, self.target)
    }
}

/// What became of a request.
pub(super) struct RequestNote<'a> {
    pub(super) request_id: &'a str,
    pub(super) route: Option<&'a RouteSpec>,
    pub(super) version: Option<RouteSetVersion>,
    /// The status that the caller gets; 0 where another instance answers it.
    pub(super) status: u16,
    pub(super) is_answered: bool,
    pub(super) outcome: &'a str,
    pub(super) missing: usize,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) attempts: &'a [AttemptNote],
    pub(super) unasked: &'a str,
    /// The aggregators that were asked, or the instance that handed the request over.
    pub(super) handover: &'a str,
}

/// Writes one line for a request, as far as the bound allows.
pub(super) struct RequestLog {
    log: Logger,
    ordinary: Cell<u64>,
    period_start: Cell<Timestamp>,
    written: Cell<u32>,
    dropped: Cell<u64>,
}

impl RequestLog {
    pub(super) const fn new(log: Logger) -> Self {
        Self {
            log,
            ordinary: Cell::new(0),
            period_start: Cell::new(Timestamp::ZERO),
            written: Cell::new(0),
            dropped: Cell::new(0),
        }
    }

    /// Logs the end of a request: every failure, refusal and partial answer up to the bound, and a
    /// sample of the rest.
    pub(super) fn note(&self, note: &RequestNote<'_>, now: Timestamp) {
        let is_ordinary = note.is_answered && note.missing == 0;
        if is_ordinary {
            let number = self.ordinary.get();
            self.ordinary.set(number + 1);
            if !number.is_multiple_of(SAMPLE_EVERY) {
                return;
            }
        }
        if !self.has_room(now) {
            return;
        }
        let attempts: Vec<_> =
            note.attempts.iter().map(|attempt| attempt.describe(note.arrived)).collect();
        info!(self.log, "relay: a request ended"; "request" => note.request_id,
            "route" => note.route.map_or("", |route| route.name.as_str()),
            "route_set" => note.version.map_or(0, RouteSetVersion::get),
            "status" => note.status, "outcome" => note.outcome, "missing" => note.missing,
            "elapsed_ms" => now.since(note.arrived).as_millis() as u64,
            "left_ms" => note.deadline.since(now).as_millis() as u64,
            "sampled_1_in" => if is_ordinary { SAMPLE_EVERY } else { 1 },
            "attempts" => attempts.join("; "), "unasked" => note.unasked,
            "handover" => note.handover);
    }

    fn has_room(&self, now: Timestamp) -> bool {
        if now.since(self.period_start.get()) >= PERIOD {
            self.period_start.set(now);
            self.written.set(0);
            let dropped = self.dropped.replace(0);
            if dropped > 0 {
                info!(self.log, "relay: lines of requests were left out"; "lines" => dropped);
            }
        }
        if self.written.get() >= MAX_LINES {
            self.dropped.update(|count| count + 1);
            return false;
        }
        self.written.update(|count| count + 1);
        true
    }
}
