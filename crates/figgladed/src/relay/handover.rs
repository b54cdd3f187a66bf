//! Hands searches over to aggregators.

use std::{fmt::Write, net::SocketAddr, rc::Rc, time::Duration};

use derive_more::{Display, Error};
use figglade::{
    controller::route_set::{Destination, RouteSpec},
    filter::scatter::{FailureReason, should_delegate},
    peer::CodecError,
};
use slog::debug;
use tokio::{task::spawn_local, time::sleep_until};

use super::{
    edge::EdgeState,
    forward::{ForwardCall, ForwardEnd, ForwardOrder},
    search_message::{
        DeclineReason, MergedAnswer, ProbeLoad, SearchMessage, SearchPlan, SearchProbe,
        SearchReply, SearchRun,
    },
};
use crate::{
    http1::LocalFuture,
    peer_link::{PeerCallError, PeerHandle},
};

/// The number of aggregators tried before an instance scatters a search itself.
const MAX_TRIED_AGGREGATORS: usize = 2;
/// The fraction of the time left to the latency goal within which an aggregator has to accept a
/// search. After two that do not, most of the time is still left for the search.
const PROBE_TIME_FRACTION: f64 = 0.2;
/// The lower bound of that time; an aggregator on a tenth of a core answers within it unless its queue
/// is longer than that.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(10);
/// The upper bound of that time.
const MAX_PROBE_TIMEOUT: Duration = Duration::from_millis(40);
/// How long after the latency goal an aggregator is first probed to find out whether it is still
/// reachable.
const CHECK_DELAY: Duration = Duration::from_millis(60);
/// The time between two such probes.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// The timeout of such a probe.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a link to an aggregator may stay idle before it is probed, so that it is connected when
/// a search arrives; well below the time after which idle links are closed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// The timeout of such a probe, which may have to connect first; this takes longer than a probe on
/// an open link.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(500);

/// The reason an aggregator gave no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum HandoverError {
    /// The message cannot be encoded.
    #[display("message cannot be encoded: {_0}")]
    Encode(#[error(source)] CodecError),
    /// The peer link returned no answer.
    #[display("{_0}")]
    Link(#[error(source)] PeerCallError),
    /// The answer cannot be decoded.
    #[display("answer cannot be decoded: {_0}")]
    Decode(#[error(source)] CodecError),
}

impl HandoverError {
    /// Returns whether the aggregator certainly did not receive the message.
    pub const fn is_known_undelivered(&self) -> bool {
        match self {
            Self::Encode(_) => true,
            Self::Link(error) => error.is_known_undelivered(),
            Self::Decode(_) => false,
        }
    }
}

/// Sends messages to aggregators.
pub trait AggregatorLink {
    /// Sends a message and waits at most `timeout` for the answer. Dropping the future withdraws
    /// the message if it is unsent, and otherwise cancels the search that it started.
    fn request<'a>(
        &'a self,
        to: SocketAddr,
        message: &'a SearchMessage,
        timeout: Duration,
    ) -> LocalFuture<'a, Result<SearchReply, HandoverError>>;
}

impl AggregatorLink for PeerHandle {
    fn request<'a>(
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

/// The reason an aggregator did not accept a search.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
enum ProbeFailure {
    /// It declined.
    #[display("{_0}")]
    Declined(DeclineReason),
    /// It reaches too few targets and sent nothing to any of them.
    #[display("not_run")]
    NotRun,
    /// It gave no valid answer in time.
    #[display("{_0}")]
    NoAnswer(String),
}

/// The end of a search that was handed over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum HandoverEnd {
    /// The aggregator answered it.
    Answered(MergedAnswer),
    /// The aggregator reported a failure.
    Failed(FailureReason),
    /// The aggregator stopped answering; the search may have run.
    Lost,
}

/// The result of handing one search over, with a summary for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct HandoverReport {
    pub(super) end: Option<HandoverEnd>,
    /// The time until one of the aggregators that were tried has room, if one declined because it is
    /// busy and none accepted.
    pub(super) overloaded_for: Option<Duration>,
    /// The aggregators that were tried and the result of each.
    pub(super) summary: String,
}

/// The part of a search that an aggregator is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SearchPart {
    /// The positions of its shards; an empty list means all.
    shards: Vec<u32>,
    /// The number of its shards.
    count: usize,
    /// The minimum number of these shards that make a partial answer once the goal has passed.
    min_answers: usize,
}

/// The part of a search that is delegated to an aggregator of another zone.
pub(super) struct DelegatedPart {
    /// The positions of its shards.
    pub(super) places: Vec<usize>,
    /// Resolves to the result; a report without an end means that nothing ran there.
    pub(super) end: LocalFuture<'static, HandoverReport>,
}

/// Hands searches over to aggregators.
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

    /// Hands a search over if an aggregator serves it better and accepts it. A report without an
    /// end means that nothing has run and this instance has to scatter the search itself.
    pub(super) async fn hand_over(
        &self,
        route: &RouteSpec,
        order: &ForwardOrder,
    ) -> HandoverReport {
        let mut report = HandoverReport::default();
        let Some(digest) = route.search_digest() else { return report };
        let coverage = self.edge.coverage_of(route);
        if !self.edge.should_hand_over(route, &coverage) {
            return report;
        }
        let plan = SearchPlan { route: route.name.clone(), digest };
        let Destination::Shards(shards) = &route.destination else { return report };
        let part = SearchPart {
            shards: Vec::new(),
            count: shards.services.len(),
            min_answers: shards.min_shards(),
        };
        let (mut tried, mut delays) = (Vec::new(), Vec::new());
        while tried.len() < MAX_TRIED_AGGREGATORS {
            let now = self.edge.clock.now();
            let peer = {
                let picker = self.edge.aggregators().borrow();
                picker.choose(&coverage, &tried, now, &mut *self.edge.rng.borrow_mut())
            };
            let Some(peer) = peer else { break };
            tried.push(peer);
            let end = self.hand_over_to(peer, &plan, &part, order).await;
            report.add(peer, &end, self.edge.clock.now().since(now));
            match end {
                Ok(end) => {
                    report.end = Some(end);
                    return report;
                }
                Err(ProbeFailure::Declined(DeclineReason::Overloaded { retry_after })) => {
                    delays.push(retry_after);
                }
                Err(_) => {}
            }
        }
        report.overloaded_for = delays.into_iter().min();
        report
    }

    /// Sends a request to its targets from this instance, except for shards that are delegated to
    /// an aggregator of another zone.
    pub(super) async fn forward(&self, route: &RouteSpec, order: ForwardOrder) -> ForwardEnd {
        let order = order.with_margin(&self.edge);
        let delegated = self.delegate_remote_shards(route, &order);
        let mut call = ForwardCall::new(&self.edge, route, order);
        if let Some(part) = delegated {
            call.delegate(part);
        }
        call.run().await
    }

    /// Delegates shards without a target in the local zone to an aggregator of a zone that has
    /// some. One merged answer then crosses the zones instead of one answer per shard.
    fn delegate_remote_shards(
        &self,
        route: &RouteSpec,
        order: &ForwardOrder,
    ) -> Option<DelegatedPart> {
        let digest = route.search_digest()?;
        let Destination::Shards(shards) = &route.destination else { return None };
        let coverage = self.edge.coverage_of(route);
        if coverage.remote.is_empty() {
            return None;
        }
        let now = self.edge.clock.now();
        if !should_delegate(order.goal.since(now)) {
            return None;
        }
        let (peer, places) = {
            let picker = self.edge.aggregators().borrow();
            let chosen = picker.choose_remote(&coverage, now, &mut *self.edge.rng.borrow_mut())?;
            (chosen.peer, coverage.remote_shards_in(&chosen.zone).to_vec())
        };
        let local = shards.services.len() - places.len();
        let part = SearchPart {
            shards: places.iter().map(|place| *place as u32).collect(),
            count: places.len(),
            min_answers: shards.min_shards().saturating_sub(local),
        };
        let plan = SearchPlan { route: route.name.clone(), digest };
        let (handover, order) = (self.clone(), order.clone());
        let end = Box::pin(async move {
            let mut report = HandoverReport::default();
            let end = handover.hand_over_to(peer, &plan, &part, &order).await;
            report.add(peer, &end, handover.edge.clock.now().since(now));
            report.end = end.ok();
            report
        });
        Some(DelegatedPart { places, end })
    }

    /// Probes one aggregator and hands it a search or a part of one. An error means that nothing
    /// ran there.
    async fn hand_over_to(
        &self,
        peer: SocketAddr,
        plan: &SearchPlan,
        part: &SearchPart,
        order: &ForwardOrder,
    ) -> Result<HandoverEnd, ProbeFailure> {
        let now = self.edge.clock.now();
        let goal_left = order.goal.since(now);
        let load = self.edge.overload.is_in_force().then(|| ProbeLoad {
            priority: order.rank.priority,
            is_above_usual: order.rank.is_above_usual,
            shards: part.count as u32,
            goal_left,
            deadline_left: order.deadline.since(now),
        });
        let timeout =
            goal_left.mul_f64(PROBE_TIME_FRACTION).clamp(MIN_PROBE_TIMEOUT, MAX_PROBE_TIMEOUT);
        let end = match self.probe(peer, SearchProbe::new(plan, load), timeout).await {
            Ok(round_trip) => self.run(peer, plan, part, order, round_trip).await,
            Err(failure) => Err(failure),
        };
        self.edge.metrics.count_handover(end.as_ref().map_or("not_taken", HandoverEnd::name));
        end
    }

    /// Probes the aggregators in use whose links have been idle, so that the links stay connected.
    pub fn refresh_links(&self) {
        let Some(table) = self.edge.routes() else { return };
        let search = table.set().routes.iter().find_map(|route| {
            let plan = SearchPlan { route: route.name.clone(), digest: route.search_digest()? };
            Some((route, plan))
        });
        let Some((route, plan)) = search else { return };
        let coverage = self.edge.coverage_of(route);
        let should_hand_over = self.edge.should_hand_over(route, &coverage);
        let now = self.edge.clock.now();
        let due = {
            let mut picker = self.edge.aggregators().borrow_mut();
            picker.take_due_probes(&coverage, should_hand_over, REFRESH_INTERVAL, now)
        };
        for peer in due {
            let (handover, probe) = (self.clone(), SearchProbe::new(&plan, None));
            spawn_local(async move {
                // `probe` has recorded a failure in the aggregator picker.
                let _ = handover.probe(peer, probe, REFRESH_TIMEOUT).await;
            });
        }
    }

    /// Asks an aggregator whether it accepts a search, and returns the round-trip time.
    async fn probe(
        &self,
        peer: SocketAddr,
        probe: SearchProbe,
        timeout: Duration,
    ) -> Result<Duration, ProbeFailure> {
        let started_at = self.edge.clock.now();
        let reply = self.link.request(peer, &SearchMessage::Probe(probe), timeout).await;
        let now = self.edge.clock.now();
        let mut picker = self.edge.aggregators().borrow_mut();
        let failure = match reply {
            Ok(SearchReply::Ready) => {
                let round_trip = now.since(started_at);
                picker.record_answer(peer, round_trip, now);
                return Ok(round_trip);
            }
            // Not recorded as a failure: the aggregator may accept searches of other plans, or those
            // that take precedence.
            Ok(SearchReply::Declined(
                reason @ (DeclineReason::OtherPlan | DeclineReason::Overloaded { .. }),
            )) => {
                return Err(ProbeFailure::Declined(reason));
            }
            Ok(SearchReply::Declined(reason)) => ProbeFailure::Declined(reason),
            Ok(_) => ProbeFailure::NoAnswer("unexpected reply".to_owned()),
            Err(error) => ProbeFailure::NoAnswer(error.to_string()),
        };
        picker.record_failure(peer, now);
        debug!(self.edge.log, "relay: an aggregator did not accept a search";
            "aggregator" => %peer, "reason" => %failure);
        Err(failure)
    }

    /// Hands a search to an aggregator that accepted a probe. An error means that the search did
    /// not run there.
    async fn run(
        &self,
        peer: SocketAddr,
        plan: &SearchPlan,
        part: &SearchPart,
        order: &ForwardOrder,
        round_trip: Duration,
    ) -> Result<HandoverEnd, ProbeFailure> {
        let now = self.edge.clock.now();
        let goal_left = order.goal.since(now);
        let margin = self.edge.handover_delay.margin(goal_left).max(round_trip);
        let goal_left = goal_left.saturating_sub(margin);
        let run = SearchRun {
            plan: plan.clone(),
            shards: part.shards.clone(),
            least_answers: part.min_answers as u32,
            request_id: order.request_id.clone(),
            head: order.head.clone(),
            body: order.body.clone(),
            is_head: order.is_head,
            goal_left,
            deadline_left: order.deadline.since(now).saturating_sub(round_trip),
        };
        let message = SearchMessage::Run(run);
        let mut pending = self.link.request(peer, &message, order.deadline.since(now));
        let mut check_at = order.goal.max(now) + CHECK_DELAY;
        let reply = loop {
            tokio::select! {
                biased;
                answer = &mut pending => break answer,
                () = sleep_until(self.edge.clock.instant_of(check_at)) => {
                    // A machine that lost power or its network closes no connection, so only a
                    // probe shows that it is gone.
                    let check = self.probe(peer, SearchProbe::new(plan, None), CHECK_TIMEOUT);
                    tokio::select! {
                        biased;
                        answer = &mut pending => break answer,
                        probed = check => {
                            if let Err(ProbeFailure::NoAnswer(_)) = probed {
                                return Ok(HandoverEnd::Lost);
                            }
                        }
                    }
                    check_at = self.edge.clock.now() + CHECK_INTERVAL;
                }
            }
        };
        match reply {
            Ok(SearchReply::Answered(merged)) => {
                if merged.missing > 0 {
                    self.edge.handover_delay.observe(now + goal_left, self.edge.clock.now());
                }
                Ok(HandoverEnd::Answered(merged))
            }
            Ok(SearchReply::Failed(FailureReason::NotRun)) => Err(ProbeFailure::NotRun),
            Ok(SearchReply::Failed(reason)) => Ok(HandoverEnd::Failed(reason)),
            Ok(SearchReply::Declined(reason)) => Err(ProbeFailure::Declined(reason)),
            Ok(SearchReply::Ready) => Ok(HandoverEnd::Lost),
            Err(error) if error.is_known_undelivered() => {
                self.record_failure(peer);
                Err(ProbeFailure::NoAnswer(error.to_string()))
            }
            Err(error) => {
                debug!(self.edge.log, "relay: an aggregator was lost during a search";
                    "aggregator" => %peer, "error" => %error);
                self.record_failure(peer);
                Ok(HandoverEnd::Lost)
            }
        }
    }

    fn record_failure(&self, peer: SocketAddr) {
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
        if !self.summary.is_empty() {
            self.summary.push_str("; ");
        }
        // Writing to a string does not fail.
        let _ = match end {
            Ok(end) => write!(self.summary, "{peer}: {}", end.name()),
            Err(failure) => write!(self.summary, "{peer}: {failure}"),
        };
        let _ = write!(self.summary, " after {} ms", elapsed.as_millis());
    }
}
