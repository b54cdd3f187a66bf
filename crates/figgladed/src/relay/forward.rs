//! Execution of one request on the services of its route.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use figglade::{
    CustomerName, Timestamp,
    controller::route_set::{Destination, RepeatRule, RouteSpec},
    filter::{
        intake::response_bytes,
        overload::LoadRank,
        scatter::{
            AttemptEnd, AttemptKind, CutoffTimes, FailureReason, ReplicaState, RouteProfile,
            ScatterAction, ScatterEnd, ScatterRules, ScatterRun, ServiceState,
        },
    },
};
use tokio::time::sleep_until;

use super::{
    answer::{
        AnswerInbox, AttemptReport, AttemptSink, BufferShare, OpenLinks, ShardMerger, TargetAnswer,
    },
    edge::EdgeState,
    handover::{DelegatedPart, HandoverEnd, HandoverReport},
    headers::HeaderNames,
    link::OutgoingRequest,
    pool::{LinkPools, RequestWriter},
    request_log::AttemptRecord,
    search_message::MergedAnswer,
};
use crate::http1::{HttpRequest, LocalFuture, put_field};

/// The fraction of the latency goal for which a first attempt waits for a free connection. After a
/// longer wait its answer would most likely miss the goal.
const CONNECTION_WAIT_FRACTION: f64 = 0.35;
/// How much earlier than the deadline of the request the deadline sent to a target is, so that its
/// answer can still be relayed.
const TARGET_DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// The buffer capacity reserved for the header fields that differ between targets, in bytes.
const TARGET_FIELDS_BYTES: usize = 160;

/// A request with its latency goal and deadline, as it is forwarded to targets or to an aggregator.
#[derive(Clone, Debug)]
pub(super) struct ForwardOrder {
    /// The head without the headers that differ between targets.
    pub(super) head: Bytes,
    pub(super) body: Bytes,
    /// Whether it is a `HEAD`, whose answer has no body.
    pub(super) is_head: bool,
    pub(super) request_id: Option<Bytes>,
    pub(super) arrived: Timestamp,
    /// When a search is answered without the shards that have not answered yet.
    pub(super) goal: Timestamp,
    pub(super) deadline: Timestamp,
    /// Its place among the requests for which capacity may be short.
    pub(super) rank: LoadRank,
}

impl ForwardOrder {
    /// Moves the goal to an earlier time, by what a partial answer takes from the cut-off, so that it
    /// still meets the original goal.
    pub(super) fn with_margin(self, edge: &EdgeState) -> Self {
        let left = self.goal.since(edge.clock.now());
        Self { goal: self.goal - edge.answer_delay.margin(left), ..self }
    }
}

/// Writes the head of a request for targets, without hop-by-hop headers and those that differ
/// between targets. The name of the customer, if there is one, replaces what the caller sent about
/// itself. This holds for route sets without customers too, because callers use keys as soon as the
/// first route set with customers is acknowledged, which this instance may not have yet.
pub(super) fn write_head(
    request: &HttpRequest,
    names: &HeaderNames,
    customer: Option<&CustomerName>,
) -> Bytes {
    let head = &request.head;
    let mut out = BytesMut::with_capacity(512);
    out.put_slice(&head.method);
    out.put_u8(b' ');
    out.put_slice(&head.target);
    out.put_slice(b" HTTP/1.1\r\n");
    let is_replaced = |name: &[u8]| names.is_own(name) || names.is_identity(name);
    for field in &head.headers.0 {
        if !head.headers.is_hop_by_hop_field(field) && !is_replaced(&field.name) {
            put_field(&mut out, &field.name, &field.value);
        }
    }
    if let Some(name) = customer {
        put_field(&mut out, names.customer.as_bytes(), name.as_str().as_bytes());
    }
    let declares_body = head.headers.get("content-length").is_some()
        || head.headers.get("transfer-encoding").is_some();
    if declares_body || !request.body.is_empty() {
        put_field(&mut out, b"Content-Length", request.body.len().to_string().as_bytes());
    }
    out.freeze()
}

/// A request as it is sent to targets.
struct TargetRequest {
    head: Bytes,
    body: Bytes,
    names: HeaderNames,
    deadline: Timestamp,
    repeat: RepeatRule,
}

impl RequestWriter for TargetRequest {
    fn write_request(&self, replica: &ReplicaState, now: Timestamp) -> OutgoingRequest {
        let left = self.deadline.since(now + TARGET_DEADLINE_MARGIN).as_millis().max(1);
        let mut out = BytesMut::with_capacity(TARGET_FIELDS_BYTES);
        put_field(&mut out, self.names.time_left.as_bytes(), left.to_string().as_bytes());
        put_field(
            &mut out,
            self.names.intended_target.as_bytes(),
            replica.spec.id.as_str().as_bytes(),
        );
        out.put_slice(b"\r\n");
        self.head.clone().chain(out.freeze()).chain(self.body.clone())
    }

    fn repeat(&self) -> RepeatRule {
        self.repeat
    }
}

/// The end of a request, with the answers of its targets.
pub(super) struct ForwardEnd {
    pub(super) end: ScatterEnd,
    /// When a search was to be answered without the shards that had not answered.
    pub(super) cutoff: Timestamp,
    /// The merged answers of a search.
    pub(super) merger: Option<ShardMerger>,
    /// The answer of another request.
    pub(super) answer: Option<TargetAnswer>,
    /// The last answer of a target that reported a failure; none of a search.
    pub(super) failure: Option<TargetAnswer>,
    pub(super) attempts: Vec<AttemptRecord>,
    /// The services that no attempt was sent to, and why; empty after a complete answer.
    pub(super) skipped: String,
    /// The time until enough services have a target that takes requests, if the request did not run
    /// because targets asked for a back-off or are ejected.
    pub(super) opens_in: Option<Duration>,
    /// The answer of the instance that some shards were delegated to.
    pub(super) merged: Option<MergedAnswer>,
    /// The course of that delegation, for the log.
    pub(super) handover: String,
}

/// Releases the open attempts of a request when it ends, or immediately when its caller
/// disconnects.
struct CallGuard {
    pools: Rc<LinkPools>,
    inbox: Rc<AnswerInbox>,
    links: Rc<OpenLinks>,
    repeat: RepeatRule,
    deadline: Timestamp,
    is_done: Cell<bool>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.inbox.close();
        self.pools.release(&self.links, self.repeat, self.deadline, !self.is_done.get());
    }
}

/// One request in progress.
pub(super) struct ForwardCall<'a> {
    edge: &'a EdgeState,
    run: ScatterRun,
    profile: Rc<RouteProfile>,
    request_id: Option<Bytes>,
    cutoff: Timestamp,
    is_head: bool,
    writer: Rc<dyn RequestWriter>,
    guard: CallGuard,
    /// Merges the answers of a search; `None` for other requests.
    merger: Option<ShardMerger>,
    answer: Option<TargetAnswer>,
    /// Accounts for the merged answers and the failure.
    share: BufferShare,
    failure: Option<TargetAnswer>,
    attempts: Vec<AttemptRecord>,
    /// The pending answer for the shards delegated to another instance.
    delegated: Option<LocalFuture<'static, HandoverReport>>,
    /// The answer of that instance.
    merged: Option<MergedAnswer>,
    /// The course of that delegation, for the log.
    summary: String,
}

impl<'a> ForwardCall<'a> {
    /// Prepares a request on `route`.
    pub(super) fn new(edge: &'a EdgeState, route: &RouteSpec, order: ForwardOrder) -> Self {
        let services: Vec<Rc<ServiceState>> = edge.services_for(route);
        let min_answers = match &route.destination {
            Destination::Shards(plan) => plan.min_shards(),
            Destination::Service(_) | Destination::Weighted(_) => 1,
        };
        Self::with_services(edge, route, order, services, min_answers)
    }

    /// Prepares a request to some services of `route`, of which `min_answers` must answer.
    pub(super) fn with_services(
        edge: &'a EdgeState,
        route: &RouteSpec,
        order: ForwardOrder,
        services: Vec<Rc<ServiceState>>,
        min_answers: usize,
    ) -> Self {
        let ForwardOrder { head, body, is_head, request_id, arrived, goal, deadline, .. } = order;
        let profile = edge.profile_of(route);
        let merger = match &route.destination {
            Destination::Shards(plan) => Some(ShardMerger::new(plan)),
            Destination::Service(_) | Destination::Weighted(_) => None,
        };
        let rules = ScatterRules {
            repeat: route.repeat,
            max_attempts: route.max_attempts.max(1),
            min_answers,
            times: CutoffTimes { goal, deadline },
            wait_until: (arrived + route.latency_goal.mul_f64(CONNECTION_WAIT_FRACTION))
                .min(deadline),
        };
        let repeat = route.repeat;
        let writer = TargetRequest { head, body, names: edge.names, deadline, repeat };
        let guard = CallGuard {
            pools: Rc::clone(&edge.pools),
            inbox: Rc::default(),
            links: Rc::default(),
            repeat,
            deadline,
            is_done: Cell::new(false),
        };
        Self {
            edge,
            run: ScatterRun::new(rules, services.into_iter(), Rc::clone(&profile)),
            profile,
            request_id,
            cutoff: goal,
            is_head,
            writer: Rc::new(writer),
            guard,
            merger,
            answer: None,
            share: edge.pools.open_share(),
            failure: None,
            attempts: Vec::new(),
            delegated: None,
            merged: None,
            summary: String::new(),
        }
    }

    /// Delegates some shards to another instance.
    pub(super) fn delegate(&mut self, part: DelegatedPart) {
        self.run.delegate(&part.places);
        self.delegated = Some(part.end);
    }

    /// Runs the request to its end.
    pub(super) async fn run(mut self) -> ForwardEnd {
        let started = self.run.start(self.now(), &mut *self.edge.rng.borrow_mut());
        self.send_all(started);
        let end = loop {
            let now = self.now();
            if let Some(end) = self.run.end(now) {
                break end;
            }
            let timer = self.edge.clock.instant_of(self.run.next_timer(now));
            let inbox = Rc::clone(&self.guard.inbox);
            tokio::select! {
                biased;
                () = inbox.arrived.notified() => self.handle_reports(),
                report = wait_delegated(&mut self.delegated) => self.handle_delegate_answer(report),
                () = sleep_until(timer) => {
                    let now = self.now();
                    let due = self.run.handle_timer(now, &mut *self.edge.rng.borrow_mut());
                    self.send_all(due);
                }
            }
        };
        self.guard.is_done.set(true);
        let skipped = match end {
            ScatterEnd::Answered { missing: 0 } => String::new(),
            _ => self.describe_skipped(),
        };
        let opens_in = match end {
            ScatterEnd::Failed(FailureReason::NotRun) => {
                self.run.time_to_open(self.now()).filter(|delay| !delay.is_zero())
            }
            _ => None,
        };
        ForwardEnd {
            cutoff: self.cutoff,
            skipped,
            opens_in,
            end,
            merger: self.merger.take(),
            answer: self.answer.take(),
            failure: self.failure.take(),
            attempts: std::mem::take(&mut self.attempts),
            merged: self.merged.take(),
            handover: std::mem::take(&mut self.summary),
        }
    }

    fn handle_delegate_answer(&mut self, report: HandoverReport) {
        self.delegated = None;
        self.summary = report.summary;
        match report.end {
            Some(HandoverEnd::Answered(merged)) => {
                self.run.handle_delegate_answer(merged.missing);
                self.merged = Some(merged);
            }
            Some(HandoverEnd::Failed(_) | HandoverEnd::Lost) => {
                self.run.handle_delegate_answer(usize::MAX)
            }
            None => {
                let now = self.now();
                let sent = self.run.reclaim_delegated(now, &mut *self.edge.rng.borrow_mut());
                self.send_all(sent);
            }
        }
    }

    fn describe_skipped(&self) -> String {
        let skipped = self.run.skipped(self.now()).map(|(service, is_reached)| {
            let reason = if is_reached { "no free connection" } else { "no reachable target" };
            format!("{service}: {reason}")
        });
        skipped.collect::<Vec<_>>().join("; ")
    }

    fn handle_reports(&mut self) {
        for report in self.guard.inbox.take() {
            self.handle_report(report);
        }
    }

    fn handle_report(&mut self, report: AttemptReport) {
        let now = self.now();
        let AttemptReport { attempt, mut end, answer } = report;
        if end == AttemptEnd::Answered && !self.has_room(answer.as_ref()) {
            // The shard is asked again or is missing from the answer.
            end = AttemptEnd::Failed;
        }
        self.guard.links.remove(attempt);
        self.edge.metrics.count_attempt_end(end);
        if let Some(record) = self.attempts.get_mut(attempt) {
            record.end = Some((end, now));
            if end == AttemptEnd::Answered {
                self.profile.observe(now.since(record.started_at));
            }
        }
        let mut actions = Vec::new();
        let counts = self.run.handle_attempt_end(
            attempt,
            end,
            now,
            &mut *self.edge.rng.borrow_mut(),
            &mut actions,
        );
        match answer {
            Some(answer) if counts => self.keep_answer(answer),
            Some(answer) if end == AttemptEnd::Failed => self.keep_failure(answer),
            _ => {}
        }
        self.send_all(actions);
    }

    /// Returns whether there is room for the answer of a shard beside what all requests hold.
    fn has_room(&self, answer: Option<&TargetAnswer>) -> bool {
        let Some((merger, answer)) = self.merger.as_ref().zip(answer) else { return true };
        self.share.allows(merger.bytes_with(answer))
    }

    fn keep_answer(&mut self, answer: TargetAnswer) {
        match &mut self.merger {
            Some(merger) => {
                merger.add(&answer);
                self.share.hold(merger.held_bytes());
            }
            None => self.answer = Some(answer),
        }
    }

    /// Keeps the failure of a target for the case that no other target answers.
    fn keep_failure(&mut self, answer: TargetAnswer) {
        let bytes = response_bytes(answer.body.len());
        if self.merger.is_none() && self.share.allows(bytes) {
            self.share.hold(bytes);
            self.failure = Some(answer);
        }
    }

    fn send_all(&mut self, actions: Vec<ScatterAction>) {
        for action in actions {
            let ScatterAction::Send { attempt, replica, kind, .. } = action;
            self.send(attempt, replica, kind);
        }
    }

    fn send(&mut self, attempt: usize, replica: Rc<ReplicaState>, kind: AttemptKind) {
        let now = self.now();
        let (typical_latency, stall_timeout) =
            (self.profile.typical_latency(), self.profile.hedge_delay());
        let ticket = replica.begin_attempt(typical_latency, stall_timeout, now);
        self.edge.metrics.count_attempt(kind);
        self.attempts.push(AttemptRecord::new(&replica, kind, now));
        let sink = AttemptSink {
            inbox: Rc::clone(&self.guard.inbox),
            attempt,
            replica,
            ticket,
            request_id: self.request_id.clone(),
            is_part: self.merger.is_some(),
            is_head: self.is_head,
        };
        self.edge.pools.send(&self.writer, &self.guard.links, sink);
    }

    fn now(&self) -> Timestamp {
        self.edge.clock.now()
    }
}

/// Waits for the end of the part that was delegated to another instance; never returns if there is
/// none.
async fn wait_delegated(
    delegated: &mut Option<LocalFuture<'static, HandoverReport>>,
) -> HandoverReport {
    match delegated {
        Some(end) => end.await,
        None => std::future::pending().await,
    }
}
