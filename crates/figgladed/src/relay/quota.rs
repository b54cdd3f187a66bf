//! Takes tokens for the requests of customers with a quota from the hubs.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use figglade::{
    CustomerName, Timestamp,
    border::PeerLink,
    controller::{
        quota::{QuotaToken, RefusalCache},
        route_set::RouteSetVersion,
    },
};
use slog::{debug, warn};

use super::{edge::EdgeState, handler::ActiveCount};
use crate::{
    clock::boot_time,
    hub::{QuotaMessage, QuotaReply, TakeRequest, TokenReturn},
    peer_link::PeerHandle,
};

/// The time within which the first hub has to answer: about half of the shortest latency goals, so that
/// another hub can still answer within them.
const FIRST_TIMEOUT: Duration = Duration::from_millis(25);
/// The time within which another hub has to answer; there may be no link to it yet.
const OTHER_TIMEOUT: Duration = Duration::from_millis(60);
/// The number of hubs asked for one request.
const MAX_ASKED_HUBS: usize = 2;
/// The time for which other hubs are asked instead of one that did not answer.
const AVOID_PERIOD: Duration = Duration::from_millis(1_000);
/// The maximum number of requests that wait for answers of hubs; further ones are refused at once.
const MAX_PENDING: usize = 256;

/// A token of a hub.
pub(super) type HubToken = QuotaToken<SocketAddr>;

/// Chooses the hub to ask; the argument tells which hubs to avoid.
pub type HubChoice = Box<dyn Fn(&dyn Fn(&SocketAddr) -> bool) -> Option<SocketAddr>>;

/// What becomes of a request of a customer with a quota.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum QuotaDecision {
    /// It is served; the token is `None` if the customer has no quota any more.
    Admit(Option<HubToken>),
    /// The quota is used up for this time.
    Exhausted(Duration),
    /// No hub could tell.
    Unavailable,
}

/// Takes tokens from the hubs; runs on the thread of the data path.
pub struct QuotaClient {
    edge: Rc<EdgeState>,
    link: Rc<PeerHandle>,
    choose_hub: HubChoice,
    refusals: RefCell<RefusalCache>,
    /// The hubs that did not answer, with the time until which they are avoided.
    avoided: RefCell<HashMap<SocketAddr, Timestamp>>,
    pending: Cell<usize>,
}

impl QuotaClient {
    /// Builds a client without tokens.
    pub fn new(edge: Rc<EdgeState>, link: Rc<PeerHandle>, choose_hub: HubChoice) -> Self {
        Self {
            edge,
            link,
            choose_hub,
            refusals: RefCell::default(),
            avoided: RefCell::default(),
            pending: Cell::new(0),
        }
    }

    /// Takes a token for a request of a customer that has a quota in the route set `routes`.
    pub(super) async fn take(
        &self,
        customer: &CustomerName,
        routes: RouteSetVersion,
    ) -> QuotaDecision {
        let cached = self.refusals.borrow().find(customer, boot_time());
        let decision = if let Some(wait) = cached {
            QuotaDecision::Exhausted(wait)
        } else if self.pending.get() >= MAX_PENDING {
            QuotaDecision::Unavailable
        } else {
            let _pending = ActiveCount::start(&self.pending);
            self.ask(TakeRequest { customer: customer.clone(), routes }).await
        };
        match &decision {
            QuotaDecision::Admit(Some(_)) => self.edge.metrics.count_quota(customer, true),
            QuotaDecision::Exhausted(_) => self.edge.metrics.count_quota(customer, false),
            QuotaDecision::Admit(None) | QuotaDecision::Unavailable => {}
        }
        decision
    }

    /// Returns a token that its request did not use to its hub.
    pub(super) fn give_back(&self, customer: &CustomerName, token: HubToken) {
        let returned = TokenReturn { customer: customer.clone(), stamp: token.stamp };
        match QuotaMessage::Return(returned).to_frame() {
            Ok(frame) => self.link.send(token.hub, frame),
            Err(reason) => {
                warn!(self.edge.log, "quota: cannot encode a message"; "error" => %reason);
            }
        }
    }

    async fn ask(&self, request: TakeRequest) -> QuotaDecision {
        let customer = request.customer.clone();
        let frame = match QuotaMessage::Take(request).to_frame() {
            Ok(frame) => frame,
            Err(reason) => {
                warn!(self.edge.log, "quota: cannot encode a message"; "error" => %reason);
                return QuotaDecision::Unavailable;
            }
        };
        let mut tried = None;
        for number in 0..MAX_ASKED_HUBS {
            let asked = boot_time();
            let Some(hub) = self.find_hub(tried, asked) else { break };
            tried = Some(hub);
            let timeout = if number == 0 { FIRST_TIMEOUT } else { OTHER_TIMEOUT };
            let answer = match self.link.call(hub, frame.clone(), timeout).await {
                Ok(answer) => QuotaReply::from_frame(&answer).map_err(|error| error.to_string()),
                Err(reason) => Err(reason.to_string()),
            };
            let now = boot_time();
            match answer {
                Ok(QuotaReply::Taken { stamp }) => {
                    let token = QuotaToken { hub, stamp, asked };
                    if token.is_valid(now) {
                        return QuotaDecision::Admit(Some(token));
                    }
                }
                Ok(QuotaReply::Exhausted { wait_ms }) => {
                    let wait = Duration::from_millis(u64::from(wait_ms));
                    self.refusals.borrow_mut().record(&customer, wait, now);
                    return QuotaDecision::Exhausted(wait);
                }
                Ok(QuotaReply::Unlimited) => return QuotaDecision::Admit(None),
                Ok(
                    QuotaReply::Unavailable
                    | QuotaReply::Refilled(_)
                    | QuotaReply::NotGranter { .. },
                ) => {}
                Err(reason) => {
                    debug!(self.edge.log, "quota: a hub did not answer"; "hub" => %hub,
                        "reason" => reason);
                    self.avoided.borrow_mut().insert(hub, now + AVOID_PERIOD);
                }
            }
        }
        QuotaDecision::Unavailable
    }

    /// Returns the hub to ask: not the one tried before, and not one that did not answer lately
    /// unless there is no other.
    fn find_hub(&self, tried: Option<SocketAddr>, now: Timestamp) -> Option<SocketAddr> {
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| *until > now);
        let is_tried = |hub: &SocketAddr| tried == Some(*hub);
        let found = (self.choose_hub)(&|hub| is_tried(hub) || avoided.contains_key(hub));
        found.or_else(|| (self.choose_hub)(&is_tried))
    }
}
