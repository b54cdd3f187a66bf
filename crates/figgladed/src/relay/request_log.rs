//! Log lines of requests, limited in rate under load.

use std::{cell::Cell, time::Duration};

use figglade::{
    Timestamp,
    controller::route_set::{RouteSetVersion, RouteSpec},
    filter::scatter::{AttemptEnd, AttemptKind, ReplicaState},
};
use slog::{Logger, info};

/// The maximum number of lines written in one period: for failures, refusals, partial answers and
/// sampled complete ones.
const MAX_LINES_PER_PERIOD: u32 = 40;
/// One in this many complete answers is logged.
const SAMPLE_INTERVAL: u64 = 50;
/// The period over which lines are counted.
const LINE_PERIOD: Duration = Duration::from_secs(1);

/// The course of one attempt, for the log.
#[derive(Debug)]
pub(super) struct AttemptRecord {
    target: String,
    is_local: bool,
    kind: AttemptKind,
    pub(super) started_at: Timestamp,
    pub(super) end: Option<(AttemptEnd, Timestamp)>,
}

impl AttemptRecord {
    pub(super) fn new(replica: &ReplicaState, kind: AttemptKind, now: Timestamp) -> Self {
        let target = replica.spec.id.to_string();
        Self { target, is_local: replica.spec.is_local, kind, started_at: now, end: None }
    }

    fn describe(&self, arrived: Timestamp) -> String {
        let place = if self.is_local { "local" } else { "remote" };
        let start = self.started_at.since(arrived).as_millis();
        let end = self.end.map_or_else(
            || "open".to_owned(),
            |(end, at)| format!("{end} after {} ms", at.since(self.started_at).as_millis()),
        );
        format!("{} at {start} ms to {} ({place}): {end}", self.kind, self.target)
    }
}

/// The course of one request, for the log.
pub(super) struct RequestRecord<'a> {
    pub(super) request_id: &'a str,
    pub(super) route: Option<&'a RouteSpec>,
    pub(super) version: Option<RouteSetVersion>,
    /// The name of the customer, or nothing without one.
    pub(super) customer: &'a str,
    /// The status that the caller gets; 0 if another instance answers the caller.
    pub(super) status: u16,
    pub(super) is_answered: bool,
    pub(super) outcome: &'a str,
    pub(super) missing: usize,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) attempts: &'a [AttemptRecord],
    pub(super) skipped: &'a str,
    /// The aggregators that were tried, or the instance that handed the request over.
    pub(super) handover: &'a str,
}

/// Writes one line per request, within the limit of lines per period.
pub(super) struct RequestLog {
    log: Logger,
    complete_answers: Cell<u64>,
    period_start: Cell<Timestamp>,
    written: Cell<u32>,
    dropped: Cell<u64>,
}

impl RequestLog {
    pub(super) const fn new(log: Logger) -> Self {
        Self {
            log,
            complete_answers: Cell::new(0),
            period_start: Cell::new(Timestamp::ZERO),
            written: Cell::new(0),
            dropped: Cell::new(0),
        }
    }

    /// Logs the end of a request: every failure, refusal and partial answer, and a sample of the
    /// complete answers, up to the limit.
    pub(super) fn record(&self, request: &RequestRecord<'_>, now: Timestamp) {
        let is_complete = request.is_answered && request.missing == 0;
        if is_complete {
            let number = self.complete_answers.get();
            self.complete_answers.set(number + 1);
            if !number.is_multiple_of(SAMPLE_INTERVAL) {
                return;
            }
        }
        if !self.allow_line(now) {
            return;
        }
        let attempts: Vec<_> =
            request.attempts.iter().map(|attempt| attempt.describe(request.arrived)).collect();
        info!(self.log, "relay: a request ended"; "request" => request.request_id,
            "route" => request.route.map_or("", |route| route.name.as_str()),
            "route_set" => request.version.map_or(0, RouteSetVersion::get),
            "customer" => request.customer,
            "status" => request.status, "outcome" => request.outcome, "missing" => request.missing,
            "elapsed_ms" => now.since(request.arrived).as_millis() as u64,
            "left_ms" => request.deadline.since(now).as_millis() as u64,
            "sampled_1_in" => if is_complete { SAMPLE_INTERVAL } else { 1 },
            "attempts" => attempts.join("; "), "unasked" => request.skipped,
            "handover" => request.handover);
    }

    fn allow_line(&self, now: Timestamp) -> bool {
        if now.since(self.period_start.get()) >= LINE_PERIOD {
            self.period_start.set(now);
            self.written.set(0);
            let dropped = self.dropped.replace(0);
            if dropped > 0 {
                info!(self.log, "relay: lines of requests were left out"; "lines" => dropped);
            }
        }
        if self.written.get() >= MAX_LINES_PER_PERIOD {
            self.dropped.update(|count| count + 1);
            return false;
        }
        self.written.update(|count| count + 1);
        true
    }
}
