//! HTTP handlers that answer callers and readiness checks.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use figglade::{
    Timestamp,
    controller::route_set::{
        CallerLimits, CustomerSpec, Destination, RouteSetVersion, RouteSpec, RouteTable,
    },
    filter::{
        access::{AccessDecision, decide_access},
        caller_network::caller_network_time,
        overload::LoadRank,
        scatter::{FailureReason, ScatterEnd},
    },
};
use rand::RngExt;

use super::{
    answer::{TargetAnswer, complete_merge},
    edge::EdgeState,
    forward::{ForwardEnd, ForwardOrder, write_head},
    handover::{HandoverEnd, SearchHandover},
    overload::{AdmittedLoad, LoadClaim, LoadRefusal},
    quota::{QuotaClient, QuotaDecision},
    request_log::{AttemptRecord, RequestRecord},
    search_message::MergedAnswer,
};
use crate::http1::{HttpHandler, HttpRequest, HttpResponse, LocalFuture, text_field};

/// The maximum number of requests served concurrently; further ones are refused immediately.
const MAX_ACTIVE_REQUESTS: usize = 400;
/// The fractions of [`MAX_ACTIVE_REQUESTS`] that routes of each priority may use, so that the most
/// urgent always find capacity; the last fraction holds for all further priorities.
const PRIORITY_SHARES: [f64; 4] = [1.0, 0.9, 0.8, 0.7];
/// The minimum time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The time over which these retries are spread at random.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(200);
/// The minimum time to a retry when the tier has just started and is still receiving routes and
/// targets, which takes about as long.
const MIN_STARTUP_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The time over which these retries are spread at random.
const STARTUP_RETRY_AFTER_SPREAD: Duration = Duration::from_millis(400);
/// The minimum time after which a caller over its quota is asked to retry.
const MIN_QUOTA_RETRY_AFTER: Duration = Duration::from_millis(1);
/// The longest time that a caller is kept waiting if neither it nor its route sets a limit.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// How much earlier than its deadline a caller is answered, so that the answer still arrives in
/// time.
const ANSWER_MARGIN: Duration = Duration::from_millis(8);

/// Answers callers from the state of the data path.
pub struct RelayHandler {
    edge: Rc<EdgeState>,
    handover: Rc<SearchHandover>,
    quota: Rc<QuotaClient>,
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

/// What is known of a request while it is served.
struct RequestContext<'a> {
    request_id: Option<&'a Bytes>,
    arrived: Timestamp,
    /// When a search is answered without the shards that have not answered yet.
    goal: Timestamp,
    deadline: Timestamp,
    version: Option<RouteSetVersion>,
    route: Option<&'a RouteSpec>,
    customer: Option<&'a CustomerSpec>,
    rank: LoadRank,
}

impl<'a> RequestContext<'a> {
    const fn new(request_id: Option<&'a Bytes>, arrived: Timestamp) -> Self {
        Self {
            request_id,
            arrived,
            goal: arrived,
            deadline: arrived,
            version: None,
            route: None,
            customer: None,
            rank: LoadRank::of_priority(0),
        }
    }

    /// Returns the priority of the customer, or else of the route.
    fn priority(&self) -> u32 {
        let own = self.customer.and_then(|customer| customer.priority);
        own.or(self.route.map(|route| route.priority)).unwrap_or_default()
    }
}

/// The end of a request, for the log and the metrics.
struct RequestEnd {
    response: HttpResponse,
    outcome: &'static str,
    missing: usize,
    attempts: Vec<AttemptRecord>,
    skipped: String,
    /// The aggregators that were tried and the result of each.
    handover: String,
    /// Whether the request was certainly sent to no target.
    is_unsent: bool,
}

impl RequestEnd {
    const fn plain(response: HttpResponse, outcome: &'static str) -> Self {
        Self {
            response,
            outcome,
            missing: 0,
            attempts: Vec::new(),
            skipped: String::new(),
            handover: String::new(),
            is_unsent: false,
        }
    }
}

impl RelayHandler {
    /// Builds the handler.
    pub const fn new(
        edge: Rc<EdgeState>,
        handover: Rc<SearchHandover>,
        quota: Rc<QuotaClient>,
    ) -> Self {
        Self { edge, handover, quota, active: Cell::new(0) }
    }

    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        let arrived = self.edge.clock.now();
        let caller = self.edge.names.read_caller(&request.head);
        let mut context = RequestContext::new(caller.request_id.as_ref(), arrived);
        let Some(table) = self.edge.routes() else {
            let response =
                self.refuse_while_starting("the routes or the evacuated zones are not known yet");
            return self.finish(RequestEnd::plain(response, "no_routes"), &context);
        };
        context.version = Some(table.set().version);
        let host = request.head.headers.text("host").unwrap_or_default();
        let path = std::str::from_utf8(request.head.path()).unwrap_or_default();
        let Some(route) = table.find_route(host, path) else {
            return self.finish(self.answer_unrouted(), &context);
        };
        context.route = Some(route);
        let wait = caller.time_left.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        context.deadline = arrived + wait.min(route.timeout).saturating_sub(ANSWER_MARGIN);
        let spent = self.edge.profile_of(route).time_spent_before(wait);
        let network = caller_network_time(route.latency_goal, request.is_first);
        context.goal = (arrived + route.latency_goal) - spent - network;
        let proof = self.edge.route_proof(arrived);
        match decide_access(&table, route, caller.key.as_deref(), proof) {
            AccessDecision::Granted(customer) => context.customer = customer,
            AccessDecision::Denied => return self.finish(self.deny_key(), &context),
            AccessDecision::Unproved => {
                let response = self.refuse("the customers may be outdated");
                return self.finish(RequestEnd::plain(response, "key_while_outdated"), &context);
            }
        }
        if let Some(refusal) = self.refuse_early(route, &context) {
            return self.finish(refusal, &context);
        }
        let work = match self.admit(route, &context) {
            Ok(AdmittedLoad { rank, work }) => {
                context.rank = rank;
                work
            }
            Err(LoadRefusal { text, outcome, retry_after }) => {
                let response = refuse_until(text, retry_after);
                return self.finish(RequestEnd::plain(response, outcome), &context);
            }
        };
        let _active = ActiveCount::start(&self.active);
        let _work = self.edge.overload.start_work(work);
        let end = self.serve_within_quota(request, route, &table, &context).await;
        self.finish(end, &context)
    }

    /// Serves a request if the quota of its customer allows it.
    async fn serve_within_quota(
        &self,
        request: HttpRequest,
        route: &RouteSpec,
        table: &RouteTable,
        context: &RequestContext<'_>,
    ) -> RequestEnd {
        let limited = context.customer.filter(|held| held.quota.is_some() && !route.is_public);
        let Some(customer) = limited else { return self.serve(request, route, context).await };
        match self.quota.take(&customer.name, table.set().version).await {
            QuotaDecision::Admit(token) => {
                let end = self.serve(request, route, context).await;
                if let Some(token) = token.filter(|_| end.is_unsent) {
                    self.quota.give_back(&customer.name, token);
                }
                end
            }
            QuotaDecision::Exhausted(wait) => refuse_over_quota(wait),
            QuotaDecision::Unavailable => {
                let response = self.refuse("no hub answered for the quota of the customer");
                RequestEnd::plain(response, "no_quota_answer")
            }
        }
    }

    /// Refuses a request that certainly cannot be served here now.
    fn refuse_early(&self, route: &RouteSpec, context: &RequestContext<'_>) -> Option<RequestEnd> {
        if !self.edge.admits(route, context.arrived, context.deadline) {
            let reason = "the instance stops before the request would have ended";
            return Some(RequestEnd::plain(self.refuse(reason), "stopping"));
        }
        None
    }

    /// Admits a request, by its load or by the number of requests in progress, or refuses it.
    fn admit(
        &self,
        route: &RouteSpec,
        context: &RequestContext<'_>,
    ) -> Result<AdmittedLoad, LoadRefusal> {
        let priority = context.priority();
        let is_by_load = self.edge.overload.is_in_force();
        // Where requests are admitted by load, their number only bounds the memory.
        if !self.has_capacity(if is_by_load { 0 } else { priority }) {
            return Err(LoadRefusal {
                text: "too many requests are in progress",
                outcome: "overloaded",
                retry_after: self.spread_delay(MIN_RETRY_AFTER, RETRY_AFTER_SPREAD),
            });
        }
        if !is_by_load {
            return Ok(AdmittedLoad {
                rank: LoadRank::of_priority(priority),
                work: Duration::ZERO,
            });
        }
        let now = self.edge.clock.now();
        let claim = LoadClaim {
            priority,
            customer: context.customer.map(|customer| &customer.name),
            goal_left: context.goal.since(now),
            deadline_left: context.deadline.since(now),
        };
        self.edge.admit_by_load(route, &claim)
    }

    /// Hands a request over to an aggregator or forwards it to its targets.
    async fn serve(
        &self,
        request: HttpRequest,
        route: &RouteSpec,
        context: &RequestContext<'_>,
    ) -> RequestEnd {
        let customer = context.customer.map(|customer| &customer.name);
        let arrived = context.arrived;
        let order = ForwardOrder {
            head: write_head(&request, &self.edge.names, customer),
            body: request.body,
            is_head: &request.head.method[..] == b"HEAD",
            request_id: context.request_id.cloned(),
            arrived,
            goal: context.goal,
            deadline: self.edge.limit_deadline(context.deadline),
            rank: context.rank,
        };
        let report = self.handover.hand_over(route, &order).await;
        // Without connections of its own, this instance would ask the targets in vain.
        let overloaded_for =
            report.overloaded_for.filter(|_| self.edge.is_connection_limited(route));
        let mut end = match (report.end, overloaded_for) {
            (Some(end), _) => self.complete_handover(end),
            (None, Some(delay)) => {
                let response = refuse_until("the aggregators are busy", delay);
                let end = RequestEnd::plain(response, "aggregators_overloaded");
                RequestEnd { is_unsent: true, ..end }
            }
            (None, None) => self.complete_forward(route, self.handover.forward(route, order).await),
        };
        if end.handover.is_empty() {
            end.handover = report.summary;
        }
        end
    }

    /// Answers a request that matches no route. Unless the route set is proved to be the newest, a
    /// newer one may hold a matching route, so the caller is asked to retry.
    fn answer_unrouted(&self) -> RequestEnd {
        if self.edge.is_current() {
            RequestEnd::plain(HttpResponse::text(404, "no route matches the request"), "no_route")
        } else {
            let response = self.refuse("the route set may be outdated");
            RequestEnd::plain(response, "no_route_while_outdated")
        }
    }

    /// Answers a request whose key no customer holds, and names the header for the key.
    fn deny_key(&self) -> RequestEnd {
        let response = HttpResponse::text(401, "no customer holds the key of the request")
            .with(text_field("www-authenticate", self.edge.names.caller_key));
        RequestEnd::plain(response, "key_denied")
    }

    fn has_capacity(&self, priority: u32) -> bool {
        let share = PRIORITY_SHARES[(priority as usize).min(PRIORITY_SHARES.len() - 1)];
        (self.active.get() as f64) < MAX_ACTIVE_REQUESTS as f64 * share
    }

    /// Refuses a request that certainly has not run and will not run.
    fn refuse(&self, reason: &'static str) -> HttpResponse {
        self.refuse_for(reason, MIN_RETRY_AFTER, RETRY_AFTER_SPREAD)
    }

    /// Refuses a request that needs routes or targets that this instance does not know yet.
    fn refuse_while_starting(&self, reason: &'static str) -> HttpResponse {
        self.refuse_for(reason, MIN_STARTUP_RETRY_AFTER, STARTUP_RETRY_AFTER_SPREAD)
    }

    fn refuse_for(&self, reason: &'static str, delay: Duration, spread: Duration) -> HttpResponse {
        refuse_until(reason, self.spread_delay(delay, spread))
    }

    fn spread_delay(&self, delay: Duration, spread: Duration) -> Duration {
        let part = self.edge.rng.borrow_mut().random_range(0.0..1.0);
        delay + spread.mul_f64(part)
    }

    fn complete_forward(&self, route: &RouteSpec, forwarded: ForwardEnd) -> RequestEnd {
        let ForwardEnd {
            end,
            cutoff,
            merger,
            answer,
            failure,
            attempts,
            skipped,
            opens_in,
            merged,
            handover,
        } = forwarded;
        let mut completed = match (end, &route.destination) {
            (ScatterEnd::Answered { missing }, Destination::Shards(plan)) => {
                let merged = complete_merge(merger, plan, merged.as_ref(), missing);
                if missing > 0 {
                    self.edge.answer_delay.observe(cutoff, self.edge.clock.now());
                }
                self.complete_search(merged)
            }
            (ScatterEnd::Answered { .. }, _) => match answer {
                Some(answer) => RequestEnd::plain(relay_answer(answer), "answered"),
                None => RequestEnd::plain(HttpResponse::text(502, "no answer"), "unknown"),
            },
            (ScatterEnd::Failed(FailureReason::NotRun), _) if opens_in.is_some() => {
                let delay = opens_in.unwrap_or_default();
                let reason = "too few services have a target that takes requests now";
                let response = self.refuse_for(reason, delay, RETRY_AFTER_SPREAD);
                RequestEnd::plain(response, "no_open_target")
            }
            (ScatterEnd::Failed(reason), destination) => {
                let is_merged = matches!(destination, Destination::Shards(_));
                self.complete_failure(reason, failure.filter(|_| !is_merged))
            }
        };
        let is_not_run = matches!(completed.outcome, "not_run" | "no_open_target");
        completed.is_unsent = is_not_run && attempts.is_empty() && handover.is_empty();
        completed.attempts = attempts;
        completed.skipped = skipped;
        completed.handover = handover;
        completed
    }

    fn complete_failure(&self, reason: FailureReason, failure: Option<TargetAnswer>) -> RequestEnd {
        match (reason, failure) {
            (FailureReason::NotRun, _) => RequestEnd::plain(
                self.refuse_while_starting("no target accepted the request"),
                "not_run",
            ),
            (FailureReason::Failed, Some(answer)) => {
                RequestEnd::plain(relay_answer(answer), "failed")
            }
            (FailureReason::TimedOut, _) => {
                RequestEnd::plain(HttpResponse::text(504, "no answer in time"), "timed_out")
            }
            (FailureReason::Failed | FailureReason::Unknown, _) => {
                RequestEnd::plain(HttpResponse::text(502, "no complete answer"), "unknown")
            }
        }
    }

    /// Completes a search that an aggregator accepted. If the aggregator was lost, it is unknown
    /// whether the search ran.
    fn complete_handover(&self, end: HandoverEnd) -> RequestEnd {
        match end {
            HandoverEnd::Answered(merged) => self.complete_search(merged),
            HandoverEnd::Failed(reason) => self.complete_failure(reason, None),
            HandoverEnd::Lost => self.complete_failure(FailureReason::Unknown, None),
        }
    }

    fn complete_search(&self, merged: MergedAnswer) -> RequestEnd {
        let MergedAnswer { proofs, missing, records } = merged;
        let names = self.edge.names;
        let response = HttpResponse { status: 200, headers: Vec::new(), body: records }
            .with(text_field(names.shard_proofs, proofs))
            .with(text_field(names.missing_shards, missing.to_string()));
        let outcome = if missing == 0 { "complete" } else { "partial" };
        RequestEnd { missing, ..RequestEnd::plain(response, outcome) }
    }

    fn finish(&self, end: RequestEnd, context: &RequestContext<'_>) -> HttpResponse {
        let now = self.edge.clock.now();
        let kind = match context.route.map(|route| &route.destination) {
            Some(Destination::Shards(_)) => "search",
            Some(_) => "forward",
            None => "unrouted",
        };
        let elapsed = now.since(context.arrived);
        self.edge.metrics.count_request(kind, end.outcome, end.missing, elapsed);
        let id = context.request_id.and_then(|id| std::str::from_utf8(id).ok());
        let record = RequestRecord {
            request_id: id.unwrap_or_default(),
            route: context.route,
            version: context.version,
            customer: context.customer.map_or("", |customer| customer.name.as_str()),
            status: end.response.status,
            is_answered: end.response.status < 400,
            outcome: end.outcome,
            missing: end.missing,
            arrived: context.arrived,
            deadline: context.deadline,
            attempts: &end.attempts,
            skipped: &end.skipped,
            handover: &end.handover,
        };
        self.edge.request_log.record(&record, now);
        end.response
    }
}

/// Refuses a request that certainly has not run and will not run, until `after` has passed.
fn refuse_until(reason: &'static str, after: Duration) -> HttpResponse {
    let seconds = format!("{:.3}", after.as_secs_f64());
    HttpResponse::text(503, reason).with(text_field("retry-after", seconds))
}

/// Refuses a request of a customer whose quota is used up for `wait`.
fn refuse_over_quota(wait: Duration) -> RequestEnd {
    let response = HttpResponse::text(429, "the quota of the customer is used up");
    let seconds = format!("{:.3}", wait.max(MIN_QUOTA_RETRY_AFTER).as_secs_f64());
    RequestEnd::plain(response.with(text_field("retry-after", seconds)), "over_quota")
}

impl HttpHandler for RelayHandler {
    fn handle(&self, request: HttpRequest) -> LocalFuture<'_, HttpResponse> {
        Box::pin(self.answer(request))
    }

    fn limits(&self) -> CallerLimits {
        self.edge.caller_limits()
    }
}

/// Relays an answer unchanged, except that hop-by-hop headers are removed.
fn relay_answer(answer: TargetAnswer) -> HttpResponse {
    let TargetAnswer { head, body, .. } = answer;
    let fields = head.headers.0.iter().filter(|field| !head.headers.is_hop_by_hop_field(field));
    HttpResponse { status: head.status, headers: fields.cloned().collect(), body }
}

/// Tells the platform's load balancer whether the instance accepts new connections.
pub struct ReadyHandler {
    edge: Rc<EdgeState>,
}

impl ReadyHandler {
    /// Builds the handler; once a planned stop has begun, the instance is never ready again.
    pub const fn new(edge: Rc<EdgeState>) -> Self {
        Self { edge }
    }
}

impl HttpHandler for ReadyHandler {
    fn handle(&self, _request: HttpRequest) -> LocalFuture<'_, HttpResponse> {
        let response = if self.edge.is_stopping() {
            HttpResponse::text(503, "stopping")
        } else if self.edge.routes().is_none() {
            HttpResponse::text(503, "the routes or the evacuated zones are not known yet")
        } else {
            HttpResponse::text(200, "ready")
        };
        Box::pin(std::future::ready(response))
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }
}
