//! Scatters searches that other instances hand over.

use std::{cell::Cell, rc::Rc};

use figglade::{
    controller::route_set::{Destination, RouteSpec, RouteTable},
    filter::{
        answer_buffers::BufferLimit,
        overload::{LoadDecision, LoadRank, LoadRequest, min_answer_time},
        scatter::ScatterEnd,
    },
};
use slog::debug;
use tokio::{
    sync::{Notify, mpsc, oneshot},
    task::spawn_local,
};

use super::{
    answer::complete_merge,
    edge::EdgeState,
    forward::{ForwardCall, ForwardOrder},
    handler::ActiveCount,
    handover::SearchHandover,
    request_log::RequestRecord,
    search_message::{
        DeclineReason, ProbeLoad, SearchMessage, SearchPlan, SearchProbe, SearchReply, SearchRun,
    },
};
use crate::peer_link::PeerSender;

/// The maximum number of searches scattered concurrently for other instances: ten times those in
/// progress on an aggregator at its usual rate. Further searches would wait for its processor and
/// finish sooner on the instance that received them.
const MAX_ACTIVE_SEARCHES: usize = 24;
/// The maximum number where searches are admitted by load; it only bounds the memory.
const MAX_ADMITTED_SEARCHES: usize = 96;

/// A search message from another instance.
#[derive(Debug)]
pub struct SearchInput {
    /// The sender.
    pub from: PeerSender,
    /// The message.
    pub message: SearchMessage,
    /// Receives the answer; closed once the sender no longer waits.
    pub reply: oneshot::Sender<SearchReply>,
}

/// Scatters the searches of other instances.
pub struct AggregatorService {
    edge: Rc<EdgeState>,
    handover: Rc<SearchHandover>,
    active: Cell<usize>,
    /// The bytes of the heads and bodies of the searches in progress.
    held: Cell<usize>,
    limit: BufferLimit,
    ended: Notify,
}

/// Counts the bytes of a search while it is in progress.
struct HeldSearch<'a> {
    held: &'a Cell<usize>,
    bytes: usize,
}

impl<'a> HeldSearch<'a> {
    fn start(held: &'a Cell<usize>, bytes: usize) -> Self {
        held.update(|sum| sum + bytes);
        Self { held, bytes }
    }
}

impl Drop for HeldSearch<'_> {
    fn drop(&mut self) {
        self.held.update(|sum| sum - self.bytes);
    }
}

impl AggregatorService {
    /// Builds the service; it declines searches once a planned stop has begun.
    pub fn new(edge: Rc<EdgeState>, handover: Rc<SearchHandover>) -> Self {
        let limit = BufferLimit::new(edge.memory());
        let (active, held) = (Cell::new(0), Cell::new(0));
        Self { edge, handover, active, held, limit, ended: Notify::new() }
    }

    /// Handles messages until the process ends.
    pub async fn run(self: Rc<Self>, mut inputs: mpsc::Receiver<SearchInput>) {
        while let Some(SearchInput { from, message, reply }) = inputs.recv().await {
            match message {
                // The sender has stopped waiting and will send no search.
                SearchMessage::Probe(_) if reply.is_closed() => {}
                SearchMessage::Probe(probe) => {
                    let answer = match self.answer_probe(probe) {
                        Ok(()) => SearchReply::Ready,
                        Err(reason) => SearchReply::Declined(reason),
                    };
                    // The sender may have stopped waiting.
                    let _ = reply.send(answer);
                }
                SearchMessage::Run(run) => {
                    spawn_local(Rc::clone(&self).serve(from, run, reply));
                }
            }
        }
    }

    /// Waits until no search is in progress.
    pub async fn wait_idle(&self) {
        while self.active.get() > 0 {
            self.ended.notified().await;
        }
    }

    async fn serve(
        self: Rc<Self>,
        from: PeerSender,
        run: SearchRun,
        mut reply: oneshot::Sender<SearchReply>,
    ) {
        let answer = tokio::select! {
            biased;
            // The caller or its instance has disconnected; dropping the call ends its attempts.
            () = reply.closed() => None,
            answer = self.scatter(&from, run) => Some(answer),
        };
        if let Some(answer) = answer {
            // The sender may have stopped waiting.
            let _ = reply.send(answer);
        }
        self.ended.notify_one();
    }

    async fn scatter(&self, from: &PeerSender, run: SearchRun) -> SearchReply {
        let (table, position) = match self.find_route(&run.plan) {
            Ok(found) => found,
            Err(reason) => return SearchReply::Declined(reason),
        };
        let route = &table.set().routes[position];
        let Destination::Shards(plan) = &route.destination else {
            return SearchReply::Declined(DeclineReason::OtherPlan);
        };
        let bytes = run.head.len() + run.body.len();
        if !self.limit.allows(bytes, self.held.get() + bytes) {
            return SearchReply::Declined(DeclineReason::Busy);
        }
        let _held = HeldSearch::start(&self.held, bytes);
        let _active = ActiveCount::start(&self.active);
        let shards = if run.shards.is_empty() { plan.services.len() } else { run.shards.len() };
        let overload = &self.edge.overload;
        let _work = overload.start_work(overload.work_of(shards));
        let arrived = self.edge.clock.now();
        let order = ForwardOrder {
            head: run.head,
            body: run.body,
            is_head: run.is_head,
            request_id: run.request_id,
            arrived,
            goal: arrived + run.goal_left,
            deadline: arrived + run.deadline_left,
            rank: LoadRank::of_priority(route.priority),
        };
        let (request_id, deadline) = (order.request_id.clone(), order.deadline);
        let forwarded = if run.shards.is_empty() {
            self.handover.forward(route, order).await
        } else {
            let all = self.edge.services_for(route);
            let wanted = run.shards.iter().filter_map(|place| all.get(*place as usize).cloned());
            let (services, least) = (wanted.collect(), run.least_answers as usize);
            let order = order.with_margin(&self.edge);
            ForwardCall::with_services(&self.edge, route, order, services, least).run().await
        };
        let (reply, outcome, missing) = match forwarded.end {
            ScatterEnd::Answered { missing } => {
                let merged =
                    complete_merge(forwarded.merger, plan, forwarded.merged.as_ref(), missing);
                if missing > 0 {
                    self.edge.answer_delay.observe(forwarded.cutoff, self.edge.clock.now());
                }
                let outcome = if missing == 0 { "complete" } else { "partial" };
                (SearchReply::Answered(merged), outcome.to_owned(), missing)
            }
            ScatterEnd::Failed(reason) => (SearchReply::Failed(reason), reason.to_string(), 0),
        };
        let now = self.edge.clock.now();
        self.edge.metrics.count_request("aggregated", &outcome, missing, now.since(arrived));
        let id = request_id.as_deref().and_then(|id| std::str::from_utf8(id).ok());
        let record = RequestRecord {
            request_id: id.unwrap_or_default(),
            route: Some(route),
            version: Some(table.set().version),
            customer: "",
            // The instance that handed the search over chooses the status for the caller.
            status: 0,
            is_answered: matches!(reply, SearchReply::Answered(_)),
            outcome: &outcome,
            missing,
            arrived,
            deadline,
            attempts: &forwarded.attempts,
            skipped: &forwarded.skipped,
            handover: &format!("taken from {}; {}", from.id, forwarded.handover),
        };
        self.edge.request_log.record(&record, now);
        reply
    }

    /// Accepts or declines a search that another instance is about to hand over.
    fn answer_probe(&self, probe: SearchProbe) -> Result<(), DeclineReason> {
        let SearchProbe { route, digest, load } = probe;
        let (table, position) = self.find_route(&SearchPlan { route, digest })?;
        match load {
            Some(load) if self.edge.overload.is_in_force() => {
                self.admit_search(&table.set().routes[position], load)
            }
            _ => Ok(()),
        }
    }

    fn admit_search(&self, route: &RouteSpec, load: ProbeLoad) -> Result<(), DeclineReason> {
        let request = LoadRequest {
            priority: load.priority,
            // The instance that received the request counts it for its customer.
            customer: None,
            is_above_usual: load.is_above_usual,
            work: self.edge.overload.work_of(load.shards as usize),
            goal: route.latency_goal,
            goal_left: load.goal_left,
            deadline_left: load.deadline_left,
            min_time: min_answer_time(route.latency_goal),
            typical_time: self.edge.profile_of(route).typical_latency(),
        };
        match self.edge.overload.decide(&request, &mut *self.edge.rng.borrow_mut()) {
            LoadDecision::Admit(_) => Ok(()),
            LoadDecision::Refuse { reason, retry_after } => {
                debug!(self.edge.log, "relay: declined a search of another instance";
                    "route" => &route.name, "reason" => %reason);
                Err(DeclineReason::Overloaded { retry_after })
            }
        }
    }

    /// Returns the route table in force and the position of the plan's route in it, provided that
    /// this instance has the same shards for the route.
    fn find_route(&self, plan: &SearchPlan) -> Result<(Rc<RouteTable>, usize), DeclineReason> {
        if self.edge.is_stopping() {
            return Err(DeclineReason::Stopping);
        }
        let is_admitted_by_load = self.edge.overload.is_in_force();
        let max_active =
            if is_admitted_by_load { MAX_ADMITTED_SEARCHES } else { MAX_ACTIVE_SEARCHES };
        if self.active.get() >= max_active {
            return Err(DeclineReason::Busy);
        }
        let table = self.edge.routes().ok_or(DeclineReason::OtherPlan)?;
        let position = table.find_by_name(&plan.route).ok_or(DeclineReason::OtherPlan)?;
        let is_same = |route: &RouteSpec| route.search_digest() == Some(plan.digest);
        if !is_same(&table.set().routes[position]) {
            return Err(DeclineReason::OtherPlan);
        }
        Ok((table, position))
    }
}
