//! Hands searches over to aggregators.

use std::{fmt::Write, net::SocketAddr, rc::Rc, time::Duration};

use derive_more::{Display, Error};
use figglade::{
    Timestamp,
    controller::route_set::{Destination, RouteSpec},
    filter::scatter::FailureReason,
    peer::CodecError,
};
use slog::debug;
use tokio::{task::spawn_local, time::sleep_until};

use super::{
    edge::EdgeState,
    forward::{ForwardCall, ForwardEnd, ForwardOrder},
    search_message::{
        DeclineReason, MergedAnswer, SearchMessage, SearchPlan, SearchReply, SearchRun,
    },
};
use crate::{
    http1::LocalFuture,
    peer_link::{PeerCallError, PeerHandle},
};

/// The aggregators that are asked before an instance scatters a search itself.
const MAX_ASKED: usize = 2;
/// The part of the time to the latency goal that an aggregator has to say that it takes a search:
/// after two that do not, most of the time is left for the search.
const PROBE_SHARE: f64 = 0.2;
/// The least time for that: a busy aggregator on a tenth of a core answers within it.
const MIN_PROBE_TIME: Duration = Duration::from_millis(10);
/// The longest time for that.
const MAX_PROBE_TIME: Duration = Duration::from_millis(40);
/// How long after the latency goal an aggregator is first asked whether it is still there.
const CHECK_DELAY: Duration = Duration::from_millis(60);
/// The time between two such questions.
const CHECK_PERIOD: Duration = Duration::from_millis(300);
/// The time to answer one.
const CHECK_TIME: Duration = Duration::from_millis(150);
/// How long a link to an aggregator may stay unused before it is tried, so that it is ready when a
/// search comes; well below the time after which unused links are closed.
const REFRESH_PERIOD: Duration = Duration::from_secs(10);
/// The time of such a try: connecting takes longer than asking.
const REFRESH_TIME: Duration = Duration::from_millis(500);

/// The reason an aggregator gave no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum HandoverError {
    /// The message cannot be encoded.
    #[display("not encoded: {_0}")]
    Encode(#[error(source)] CodecError),
    /// The link brought no answer.
    #[display("{_0}")]
    Link(#[error(source)] PeerCallError),
    /// The answer cannot be read.
    #[display("answer: {_0}")]
    Decode(#[error(source)] CodecError),
}

impl HandoverError {
    /// Returns whether the aggregator surely did not see the message.
    pub const fn is_surely_not_delivered(&self) -> bool {
        match self {
            Self::Encode(_) => true,
            Self::Link(error) => error.is_surely_not_delivered(),
            Self::Decode(_) => false,
        }
    }
}

/// Reaches aggregators.
pub trait AggregatorLink {
    /// Sends a message and waits at most `timeout` for the answer. Dropping the future takes the
    /// message back or cancels what it started.
    fn ask<'a>(
        &'a self,
        to: SocketAddr,
        message: &'a SearchMessage,
        timeout: Duration,
    ) -> LocalFuture<'a, Result<SearchReply, HandoverError>>;
}

impl AggregatorLink for PeerHandle {
    fn ask<'a>(
        &'a self,
        to: SocketAddr,
        message: &'a SearchMessage,
        timeout: Duration,
    ) -> LocalFuture<'a, Result<SearchReply, HandoverError>> {
        Box::pin(async move {
            let frame = message.to_frame().map_err(HandoverError::Encode)?;
            let answer = self.call(to, frame, timeout).await.map_err(HandoverError::Link)?;
            SearchReply::from_frame(&answer).map_err(HandoverError::Decode)
        })
    }
}

/// The reason an aggregator takes no search now.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
enum ProbeFailure {
    /// It says so.
    #[display("{_0}")]
    Declined(DeclineReason),
    /// It reaches too few targets; nothing was sent to any.
    #[display("not_run")]
    NotRun,
    /// It did not answer in time, or not as it should.
    #[display("{_0}")]
    Silent(String),
}

/// How a search ended that was handed over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum HandoverEnd {
    /// The aggregator answered it.
    Answered(MergedAnswer),
    /// The aggregator found no answer.
    Failed(FailureReason),
    /// The aggregator fell silent; the search may have run.
    Lost,
}

/// What became of the handover of one search, for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct HandoverReport {
    pub(super) end: Option<HandoverEnd>,
    /// The aggregators asked and what came of it.
    pub(super) steps: String,
}

/// The part of a search that an aggregator is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SearchPart {
    /// The positions of its shards; all where there are none.
    shards: Vec<u32>,
    /// The fewest of them that make an answer once the goal has passed.
    least_answers: usize,
}

/// The part of a search that is left to an aggregator of another zone.
pub(super) struct OutsidePart {
    /// The positions of its shards.
    pub(super) places: Vec<usize>,
    /// Ends with what became of it; without an end, nothing ran there.
    pub(super) end: LocalFuture<'static, HandoverReport>,
}

/// Hands searches over.
#[derive(Clone)]
pub struct SearchHandover {
    edge: Rc<EdgeState>,
    link: Rc<dyn AggregatorLink>,
}

impl SearchHandover {
    /// Builds the handover.
    pub fn new(edge: Rc<EdgeState>, link: Rc<dyn AggregatorLink>) -> Self {
        Self { edge, link }
    }

    /// Hands a search over where an aggregator serves it better and takes it. Without an end, this
    /// instance has to scatter it; nothing has run then.
    pub(super) async fn hand_over(
        &self,
        route: &RouteSpec,
        order: &ForwardOrder,
    ) -> HandoverReport {
        let mut report = HandoverReport::default();
        let Some(digest) = route.search_digest() else { return report };
        let coverage = self.edge.coverage_of(route);
        if !self.edge.hands_over(route, &coverage) {
            return report;
        }
        let plan = SearchPlan { route: route.name.clone(), digest };
        let Destination::Shards(shards) = &route.destination else { return report };
        let part = SearchPart { shards: Vec::new(), least_answers: shards.min_shards() };
        let mut tried = Vec::new();
        while tried.len() < MAX_ASKED {
            let now = self.edge.clock.now();
            let peer = {
                let picker = self.edge.aggregators().borrow();
                picker.choose(&coverage, &tried, now, &mut *self.edge.rng.borrow_mut())
            };
            let Some(peer) = peer else { break };
            tried.push(peer);
            let end = self.ask_one(peer, &plan, &part, order).await;
            report.add(peer, &end, self.edge.clock.now().since(now));
            if let Ok(end) = end {
                report.end = Some(end);
                return report;
            }
        }
        report
    }

    /// Sends a request to its targets from here, but for the shards that another zone serves better.
    pub(super) async fn forward(&self, route: &RouteSpec, order: ForwardOrder) -> ForwardEnd {
        let outside = self.split_off(route, &order);
        let mut call = ForwardCall::new(&self.edge, route, order);
        if let Some(part) = outside {
            call.leave_outside(part);
        }
        call.run().await
    }

    /// Leaves the shards without a target in the own zone to an aggregator of a zone that has some:
    /// one merged answer crosses then, instead of all parts.
    fn split_off(&self, route: &RouteSpec, order: &ForwardOrder) -> Option<OutsidePart> {
        let digest = route.search_digest()?;
        let Destination::Shards(shards) = &route.destination else { return None };
        let coverage = self.edge.coverage_of(route);
        if coverage.remote.is_empty() {
            return None;
        }
        let now = self.edge.clock.now();
        let (peer, places) = {
            let picker = self.edge.aggregators().borrow();
            let chosen = picker.choose_remote(&coverage, now, &mut *self.edge.rng.borrow_mut())?;
            (chosen.peer, coverage.remote_shards_in(&chosen.zone).to_vec())
        };
        let near = shards.services.len() - places.len();
        let part = SearchPart {
            shards: places.iter().map(|place| *place as u32).collect(),
            least_answers: shards.min_shards().saturating_sub(near),
        };
        let plan = SearchPlan { route: route.name.clone(), digest };
        let (handover, order) = (self.clone(), order.clone());
        let end = Box::pin(async move {
            let mut report = HandoverReport::default();
            let end = handover.ask_one(peer, &plan, &part, &order).await;
            report.add(peer, &end, handover.edge.clock.now().since(now));
            report.end = end.ok();
            report
        });
        Some(OutsidePart { places, end })
    }

    /// Hands a search, or a part of one, to one aggregator. An error says that nothing ran there.
    async fn ask_one(
        &self,
        peer: SocketAddr,
        plan: &SearchPlan,
        part: &SearchPart,
        order: &ForwardOrder,
    ) -> Result<HandoverEnd, ProbeFailure> {
        let goal_left = order.goal.since(self.edge.clock.now());
        let patience = goal_left.mul_f64(PROBE_SHARE).clamp(MIN_PROBE_TIME, MAX_PROBE_TIME);
        let end = match self.probe(peer, plan.clone(), patience).await {
            Ok(round_trip) => self.run(peer, plan, part, order, round_trip).await,
            Err(failure) => Err(failure),
        };
        self.edge.metrics.count_handover(end.as_ref().map_or("not_taken", HandoverEnd::name));
        end
    }

    /// Keeps the links to the aggregators that are used ready.
    pub fn refresh_links(&self) {
        let Some(table) = self.edge.routes() else { return };
        let search = table.set().routes.iter().find_map(|route| {
            let plan = SearchPlan { route: route.name.clone(), digest: route.search_digest()? };
            Some((route, plan))
        });
        let Some((route, plan)) = search else { return };
        let coverage = self.edge.coverage_of(route);
        let hands_over = self.edge.hands_over(route, &coverage);
        let now = self.edge.clock.now();
        let due = {
            let mut picker = self.edge.aggregators().borrow_mut();
            picker.take_due_probes(&coverage, hands_over, REFRESH_PERIOD, now)
        };
        for peer in due {
            let (handover, plan) = (self.clone(), plan.clone());
            spawn_local(async move {
                // A failure is noted at the aggregator.
                let _ = handover.probe(peer, plan, REFRESH_TIME).await;
            });
        }
    }

    /// Asks an aggregator whether it takes a search, and returns how long that took.
    async fn probe(
        &self,
        peer: SocketAddr,
        plan: SearchPlan,
        patience: Duration,
    ) -> Result<Duration, ProbeFailure> {
        let began = self.edge.clock.now();
        let asked = self.link.ask(peer, &SearchMessage::Probe(plan), patience).await;
        let now = self.edge.clock.now();
        let mut picker = self.edge.aggregators().borrow_mut();
        let failure = match asked {
            Ok(SearchReply::Ready) => {
                let round_trip = now.since(began);
                picker.record_answer(peer, round_trip, now);
                return Ok(round_trip);
            }
            // It takes other searches.
            Ok(SearchReply::Declined(DeclineReason::OtherPlan)) => {
                return Err(ProbeFailure::Declined(DeclineReason::OtherPlan));
            }
            Ok(SearchReply::Declined(reason)) => ProbeFailure::Declined(reason),
            Ok(_) => ProbeFailure::Silent("it answered another question".to_owned()),
            Err(error) => ProbeFailure::Silent(error.to_string()),
        };
        picker.record_failure(peer, now);
        debug!(self.edge.log, "relay: an aggregator takes no search";
            "aggregator" => %peer, "reason" => %failure);
        Err(failure)
    }

    /// Hands a search to an aggregator that takes it. An error says that it did not run there.
    async fn run(
        &self,
        peer: SocketAddr,
        plan: &SearchPlan,
        part: &SearchPart,
        order: &ForwardOrder,
        round_trip: Duration,
    ) -> Result<HandoverEnd, ProbeFailure> {
        let now = self.edge.clock.now();
        let left = |end: Timestamp| end.since(now).saturating_sub(round_trip);
        let run = SearchRun {
            plan: plan.clone(),
            shards: part.shards.clone(),
            least_answers: part.least_answers as u32,
            request_id: order.request_id.clone(),
            head: order.head.clone(),
            body: order.body.clone(),
            is_head: order.is_head,
            goal_left: left(order.goal),
            deadline_left: left(order.deadline),
        };
        let message = SearchMessage::Run(run);
        let mut asked = self.link.ask(peer, &message, order.deadline.since(now));
        let mut check_at = order.goal.max(now) + CHECK_DELAY;
        let asked = loop {
            tokio::select! {
                biased;
                answer = &mut asked => break answer,
                () = sleep_until(self.edge.clock.instant_of(check_at)) => {
                    // A machine that lost its power or is cut off closes no connection.
                    let is_there = self.probe(peer, plan.clone(), CHECK_TIME);
                    tokio::select! {
                        biased;
                        answer = &mut asked => break answer,
                        checked = is_there => {
                            if let Err(ProbeFailure::Silent(_)) = checked {
                                return Ok(HandoverEnd::Lost);
                            }
                        }
                    }
                    check_at = self.edge.clock.now() + CHECK_PERIOD;
                }
            }
        };
        match asked {
            Ok(SearchReply::Answered(merged)) => Ok(HandoverEnd::Answered(merged)),
            Ok(SearchReply::Failed(FailureReason::NotRun)) => Err(ProbeFailure::NotRun),
            Ok(SearchReply::Failed(reason)) => Ok(HandoverEnd::Failed(reason)),
            Ok(SearchReply::Declined(reason)) => Err(ProbeFailure::Declined(reason)),
            Ok(SearchReply::Ready) => Ok(HandoverEnd::Lost),
            Err(error) if error.is_surely_not_delivered() => {
                self.note_failure(peer);
                Err(ProbeFailure::Silent(error.to_string()))
            }
            Err(error) => {
                debug!(self.edge.log, "relay: an aggregator was lost";
                    "aggregator" => %peer, "error" => %error);
                self.note_failure(peer);
                Ok(HandoverEnd::Lost)
            }
        }
    }

    fn note_failure(&self, peer: SocketAddr) {
        self.edge.aggregators().borrow_mut().record_failure(peer, self.edge.clock.now());
    }
}

impl HandoverEnd {
    /// Returns the name in logs and metrics.
    const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::Lost => "lost",
        }
    }
}

impl HandoverReport {
    fn add(
        &mut self,
        peer: SocketAddr,
        end: &Result<HandoverEnd, ProbeFailure>,
        elapsed: Duration,
    ) {
        if !self.steps.is_empty() {
            self.steps.push_str("; ");
        }
        // Writing to a string does not fail.
        let _ = match end {
            Ok(end) => write!(self.steps, "{peer}: {}", end.name()),
            Err(failure) => write!(self.steps, "{peer}: {failure}"),
        };
        let _ = write!(self.steps, " after {} ms", elapsed.as_millis());
    }
}
