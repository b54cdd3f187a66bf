//! Answers callers.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use figglade::{
    Timestamp,
    controller::route_set::{CallerLimits, Destination, RouteSetVersion, RouteSpec},
    filter::scatter::{FailureReason, ScatterEnd},
};
use rand::RngExt;

use super::{
    answer::{TargetAnswer, merge_answers},
    edge::EdgeState,
    forward::{ForwardEnd, ForwardOrder, write_head},
    handover::{HandoverEnd, SearchHandover},
    request_log::{AttemptNote, RequestNote},
    search_message::MergedAnswer,
};
use crate::http1::{
    HttpHandler, HttpRequest, HttpResponse, LocalFuture, ServerPhase, StopSwitch, text_field,
};

/// The requests served at a time; more are refused at once.
const MAX_ACTIVE: usize = 400;
/// The parts of [`MAX_ACTIVE`] that routes of each rank may fill, so that the most urgent always
/// find room; later ranks share the last part.
const RANK_SHARES: [f64; 4] = [1.0, 0.9, 0.8, 0.7];
/// The shortest time after which a refused caller is asked to return.
const RETURN_AFTER: Duration = Duration::from_millis(100);
/// The time over which returns are spread.
const RETURN_SPREAD: Duration = Duration::from_millis(200);
/// The shortest such time where the tier has just started and learns routes and targets, which
/// takes about as long.
const LEARN_AFTER: Duration = Duration::from_millis(300);
/// The time over which returns are spread then.
const LEARN_SPREAD: Duration = Duration::from_millis(400);
/// The longest a caller is kept waiting where neither it nor its route says.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// The time that an answer needs to the caller and the request needed from it, with a new
/// connection; the instance sees neither.
const TRAVEL_TIME: Duration = Duration::from_millis(14);
/// How much earlier than the deadline of a caller it is answered, so that the answer still arrives.
const ANSWER_MARGIN: Duration = Duration::from_millis(8);

/// Answers callers from the state of the data path.
pub struct RelayHandler {
    edge: Rc<EdgeState>,
    handover: Rc<SearchHandover>,
    active: Cell<usize>,
}

/// Counts a request while it is served.
pub(super) struct ActiveCount<'a>(&'a Cell<usize>);

impl<'a> ActiveCount<'a> {
    pub(super) fn start(count: &'a Cell<usize>) -> Self {
        count.update(|held| held + 1);
        Self(count)
    }
}

impl Drop for ActiveCount<'_> {
    fn drop(&mut self) {
        self.0.update(|held| held - 1);
    }
}

/// The end of a request, for the log and the metrics.
struct RequestEnd {
    response: HttpResponse,
    outcome: &'static str,
    missing: usize,
    attempts: Vec<AttemptNote>,
    unasked: String,
    /// The aggregators asked and what came of it.
    handover: String,
}

impl RequestEnd {
    const fn plain(response: HttpResponse, outcome: &'static str) -> Self {
        Self {
            response,
            outcome,
            missing: 0,
            attempts: Vec::new(),
            unasked: String::new(),
            handover: String::new(),
        }
    }
}

impl RelayHandler {
    /// Builds the handler.
    pub const fn new(edge: Rc<EdgeState>, handover: Rc<SearchHandover>) -> Self {
        Self { edge, handover, active: Cell::new(0) }
    }

    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        let arrived = self.edge.clock.now();
        let caller = self.edge.names.read_caller(&request.head);
        let Some(table) = self.edge.routes() else {
            let end =
                RequestEnd::plain(self.refuse_unlearned("no route set is known yet"), "no_routes");
            return self.finish(end, None, None, caller.request_id.as_ref(), arrived, arrived);
        };
        let host = request.head.headers.text("host").unwrap_or_default();
        let path = std::str::from_utf8(request.head.path()).unwrap_or_default();
        let version = Some(table.set().version);
        let Some(route) = table.find_route(host, path) else {
            let end = self.answer_unrouted();
            return self.finish(end, None, version, caller.request_id.as_ref(), arrived, arrived);
        };
        let wait = caller.time_left.unwrap_or(LONGEST_WAIT);
        let deadline = arrived + wait.min(route.timeout).saturating_sub(ANSWER_MARGIN);
        let id = caller.request_id;
        if !self.has_room(route.priority) {
            let end = RequestEnd::plain(self.refuse("too many requests are served"), "overloaded");
            return self.finish(end, Some(route), version, id.as_ref(), arrived, deadline);
        }
        let _active = ActiveCount::start(&self.active);
        let spent = self.edge.profile_of(route).time_spent_before(wait);
        let order = ForwardOrder {
            head: write_head(&request, &self.edge.names),
            body: request.body,
            is_head: &request.head.method[..] == b"HEAD",
            request_id: id.clone(),
            arrived,
            goal: (arrived + route.latency_goal) - spent - TRAVEL_TIME,
            deadline,
        };
        let report = self.handover.hand_over(route, &order).await;
        let mut end = match report.end {
            Some(end) => self.conclude_handover(end),
            None => self.conclude(route, self.handover.forward(route, order).await),
        };
        if end.handover.is_empty() {
            end.handover = report.steps;
        }
        self.finish(end, Some(route), version, id.as_ref(), arrived, deadline)
    }

    /// Answers a request that no route takes. Without the proof that the route set is the newest,
    /// the route may stand in a newer one.
    fn answer_unrouted(&self) -> RequestEnd {
        if self.edge.is_current() {
            RequestEnd::plain(HttpResponse::text(404, "no route takes the request"), "no_route")
        } else {
            let response = self.refuse("the route set may be outdated");
            RequestEnd::plain(response, "no_route_while_outdated")
        }
    }

    fn has_room(&self, rank: u32) -> bool {
        let share = RANK_SHARES[(rank as usize).min(RANK_SHARES.len() - 1)];
        (self.active.get() as f64) < MAX_ACTIVE as f64 * share
    }

    /// Refuses a request that surely did not run and never will.
    fn refuse(&self, reason: &'static str) -> HttpResponse {
        self.refuse_for(reason, RETURN_AFTER, RETURN_SPREAD)
    }

    /// Refuses a request that needs what this instance has not learned yet.
    fn refuse_unlearned(&self, reason: &'static str) -> HttpResponse {
        self.refuse_for(reason, LEARN_AFTER, LEARN_SPREAD)
    }

    fn refuse_for(&self, reason: &'static str, least: Duration, spread: Duration) -> HttpResponse {
        let part = self.edge.rng.borrow_mut().random_range(0.0..1.0);
        let after = least + spread.mul_f64(part);
        let seconds = format!("{:.3}", after.as_secs_f64());
        HttpResponse::text(503, reason).with(text_field("retry-after", seconds))
    }

    fn conclude(&self, route: &RouteSpec, forwarded: ForwardEnd) -> RequestEnd {
        let ForwardEnd { end, answers, failure, notes, unasked, merged, handover } = forwarded;
        let mut concluded = match (end, &route.destination) {
            (ScatterEnd::Answered { missing }, Destination::Shards(plan)) => {
                self.conclude_search(merge_answers(plan, &answers, merged.as_ref(), missing))
            }
            (ScatterEnd::Answered { .. }, _) => match answers.into_iter().next() {
                Some(answer) => RequestEnd::plain(relay_answer(answer), "answered"),
                None => RequestEnd::plain(HttpResponse::text(502, "no answer"), "unknown"),
            },
            (ScatterEnd::Failed(reason), destination) => {
                let is_merged = matches!(destination, Destination::Shards(_));
                self.conclude_failure(reason, failure.filter(|_| !is_merged))
            }
        };
        concluded.attempts = notes;
        concluded.unasked = unasked;
        concluded.handover = handover;
        concluded
    }

    fn conclude_failure(&self, reason: FailureReason, failure: Option<TargetAnswer>) -> RequestEnd {
        match (reason, failure) {
            (FailureReason::NotRun, _) => {
                RequestEnd::plain(self.refuse_unlearned("no target took the request"), "not_run")
            }
            (FailureReason::Failed, Some(answer)) => {
                RequestEnd::plain(relay_answer(answer), "failed")
            }
            (FailureReason::TimedOut, _) => {
                RequestEnd::plain(HttpResponse::text(504, "no answer in time"), "timed_out")
            }
            (FailureReason::Failed | FailureReason::Unknown, _) => {
                RequestEnd::plain(HttpResponse::text(502, "no whole answer"), "unknown")
            }
        }
    }

    /// Concludes a search that an aggregator took. Whether one that was lost has run is unknown.
    fn conclude_handover(&self, end: HandoverEnd) -> RequestEnd {
        match end {
            HandoverEnd::Answered(merged) => self.conclude_search(merged),
            HandoverEnd::Failed(reason) => self.conclude_failure(reason, None),
            HandoverEnd::Lost => self.conclude_failure(FailureReason::Unknown, None),
        }
    }

    fn conclude_search(&self, merged: MergedAnswer) -> RequestEnd {
        let MergedAnswer { proofs, missing, records } = merged;
        let names = self.edge.names;
        let response = HttpResponse { status: 200, headers: Vec::new(), body: records }
            .with(text_field(names.shard_proofs, proofs))
            .with(text_field(names.missing_shards, missing.to_string()));
        let outcome = if missing == 0 { "complete" } else { "partial" };
        RequestEnd { missing, ..RequestEnd::plain(response, outcome) }
    }

    fn finish(
        &self,
        end: RequestEnd,
        route: Option<&RouteSpec>,
        version: Option<RouteSetVersion>,
        request_id: Option<&Bytes>,
        arrived: Timestamp,
        deadline: Timestamp,
    ) -> HttpResponse {
        let now = self.edge.clock.now();
        let kind = match route.map(|route| &route.destination) {
            Some(Destination::Shards(_)) => "search",
            Some(_) => "forward",
            None => "unrouted",
        };
        let elapsed = now.since(arrived);
        self.edge.metrics.count_request(kind, end.outcome, end.missing, elapsed);
        let id = request_id.and_then(|id| std::str::from_utf8(id).ok()).unwrap_or_default();
        let note = RequestNote {
            request_id: id,
            route,
            version,
            status: end.response.status,
            is_answered: end.response.status < 400,
            outcome: end.outcome,
            missing: end.missing,
            arrived,
            deadline,
            attempts: &end.attempts,
            unasked: &end.unasked,
            handover: &end.handover,
        };
        self.edge.request_log.note(&note, now);
        end.response
    }
}

impl HttpHandler for RelayHandler {
    fn handle(&self, request: HttpRequest) -> LocalFuture<'_, HttpResponse> {
        Box::pin(self.answer(request))
    }

    fn limits(&self) -> CallerLimits {
        self.edge.caller_limits()
    }
}

/// Passes an answer on as it came, without the headers of the connection.
fn relay_answer(answer: TargetAnswer) -> HttpResponse {
    let TargetAnswer { head, body, .. } = answer;
    let fields = head.headers.0.iter().filter(|field| !head.headers.is_hop_field(field));
    HttpResponse { status: head.status, headers: fields.cloned().collect(), body }
}

/// Tells the platform's balancer whether the instance takes new connections.
pub struct ReadyHandler {
    edge: Rc<EdgeState>,
    switch: Rc<StopSwitch>,
    is_stopping: Rc<Cell<bool>>,
}

impl ReadyHandler {
    /// Builds the handler; `is_stopping` turns the instance not ready for good.
    pub const fn new(
        edge: Rc<EdgeState>,
        switch: Rc<StopSwitch>,
        is_stopping: Rc<Cell<bool>>,
    ) -> Self {
        Self { edge, switch, is_stopping }
    }
}

impl HttpHandler for ReadyHandler {
    fn handle(&self, _request: HttpRequest) -> LocalFuture<'_, HttpResponse> {
        let is_serving = self.switch.phase() == ServerPhase::Serving && !self.is_stopping.get();
        let response = if !is_serving {
            HttpResponse::text(503, "stopping")
        } else if self.edge.route_version().is_none() {
            HttpResponse::text(503, "no route set is known yet")
        } else {
            HttpResponse::text(200, "ready")
        };
        Box::pin(std::future::ready(response))
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }
}
