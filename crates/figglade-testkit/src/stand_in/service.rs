//! Answers the requests of a stand-in target.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use figglade::{
    AttemptId,
    wire::{ActCall, ActReply, CancelCall, SearchCall, SearchReply, TargetState},
};
use hyper::{Method, Request, Response, body::Incoming};
use serde_json::json;

use super::{
    answer::{AnswerBody, build_answer, plain_answer},
    control::{ControlChange, StandInControl},
    core::{RanAction, StandInCore, count},
    falsify::{falsify_reply, other_attempt},
    refusal::{Refusal, read_body},
    register::RegisterSlice,
    settings::{AnswerFault, ResetPoint},
};

/// The status of a request that was cancelled.
const STATUS_CANCELLED: u16 = 499;

/// How a connection ends without an HTTP answer from the library.
#[derive(Clone, Debug, Display, Error)]
pub(super) enum ServiceEnd {
    /// The connection is reset.
    #[display("connection is reset")]
    Reset,
    /// These bytes are written and the connection is closed.
    #[display("connection ends with {} raw bytes", _0.len())]
    #[error(ignore)]
    Raw(Bytes),
}

/// Why a request handler stopped before its answer.
enum Stop {
    Refused(Refusal),
    Ended(ServiceEnd),
}

impl From<Refusal> for Stop {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Forgets an attempt when its handler ends or is dropped.
struct AttemptGuard<'a> {
    core: &'a StandInCore,
    attempt: AttemptId,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        self.core.forget_attempt(self.attempt);
    }
}

/// Answers the requests of one stand-in target.
#[derive(Debug)]
pub(super) struct StandInService {
    core: Arc<StandInCore>,
    control: StandInControl,
}

impl StandInService {
    /// Creates a service over the shared state.
    pub(super) const fn new(core: Arc<StandInCore>, control: StandInControl) -> Self {
        Self { core, control }
    }

    /// Returns the shared state.
    pub(super) const fn core(&self) -> &Arc<StandInCore> {
        &self.core
    }

    /// Answers one request.
    ///
    /// # Errors
    ///
    /// Fails when a fault ends the connection instead.
    pub(super) async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, ServiceEnd> {
        let result = match (request.method().clone(), request.uri().path()) {
            (Method::POST, "/search") => self.handle_search(request).await,
            (Method::POST, "/act") => self.handle_act(request).await,
            (Method::POST, "/cancel") => self.handle_cancel(request).await,
            (Method::GET, "/health") => Ok(self.answer_health()),
            (Method::GET, "/load") => Ok(self.answer_load()),
            (Method::POST, "/stand-in/control") => self.handle_control(request).await,
            (Method::GET, "/stand-in/state") => Ok(plain_answer(200, &self.core.report_state())),
            (Method::GET, "/stand-in/actions") => Ok(plain_answer(200, &self.core.ran_actions())),
            _ => Err(Refusal::new(404, "not_found", "no such path").into()),
        };
        match result {
            Ok(answer) => Ok(answer),
            Err(Stop::Refused(refusal)) => Ok(refusal.into_answer()),
            Err(Stop::Ended(end)) => Err(end),
        }
    }

    /// Runs one search.
    async fn handle_search(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Stop> {
        let call: SearchCall = read_body(request).await?;
        count(&self.core.counters.searches_received);
        self.stall_if_told().await;
        let fault = self.draw_answer_fault();
        self.reset_if_told(ResetPoint::BeforeRun)?;
        let reply = self.run_within(call.attempt_id, call.deadline_ms, self.search(&call)).await?;
        count(&self.core.counters.searches_finished);
        self.reset_if_told(ResetPoint::AfterRun)?;
        build_answer(&falsify_reply(reply, fault), fault).map_err(Stop::Ended)
    }

    /// Waits for a slot, works and searches.
    async fn search(&self, call: &SearchCall) -> Result<SearchReply, Refusal> {
        self.check_admission()?;
        let slot = self.core.slots.acquire().await.ok_or_else(|| self.refuse_shed())?;
        count(&self.core.counters.searches_started);
        let (slice, documents) = self.find_slice(call)?;
        self.core.work().await;
        let hits = self
            .core
            .register
            .search(&slice, documents, &call.query, call.limit)
            .map_err(|reason| Refusal::new(400, "bad_query", reason))?;
        drop(slot);
        Ok(SearchReply {
            attempt_id: call.attempt_id,
            index: call.index.clone(),
            shard: call.shard,
            version: call.version,
            documents_searched: documents,
            hits,
        })
    }

    /// Finds the records that a search covers and how many of them.
    fn find_slice(&self, call: &SearchCall) -> Result<(RegisterSlice, u64), Refusal> {
        let refuse = || Refusal::new(409, "version_not_held", "this replica is not held");
        let replica = self
            .core
            .find_replica(&call.index, call.shard, Some(call.partition_epoch))
            .ok_or_else(refuse)?;
        let held =
            replica.versions.iter().find(|held| held.version == call.version).ok_or_else(refuse)?;
        let covered = held.documents as f64 * self.core.faults().documents_share;
        let slice = RegisterSlice {
            index: call.index.clone(),
            shard: call.shard,
            shard_count: replica.shard_count,
            version: call.version,
            documents: held.documents,
        };
        Ok((slice, covered as u64))
    }

    /// Runs one action, each time it is sent.
    async fn handle_act(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, Stop> {
        let call: ActCall = read_body(request).await?;
        count(&self.core.counters.actions_received);
        self.stall_if_told().await;
        let fault = self.draw_answer_fault();
        self.reset_if_told(ResetPoint::BeforeRun)?;
        let reply = self.run_within(call.attempt_id, call.deadline_ms, self.act(&call)).await?;
        self.reset_if_told(ResetPoint::AfterRun)?;
        let reply = match fault {
            AnswerFault::WrongAttempt => {
                ActReply { attempt_id: other_attempt(reply.attempt_id), ..reply }
            }
            _ => reply,
        };
        build_answer(&reply, fault).map_err(Stop::Ended)
    }

    /// Waits for a slot, works and records the action.
    async fn act(&self, call: &ActCall) -> Result<ActReply, Refusal> {
        self.check_admission()?;
        let slot = self.core.slots.acquire().await.ok_or_else(|| self.refuse_shed())?;
        if self.core.find_replica(&call.index, call.shard, None).is_none() {
            return Err(Refusal::new(409, "version_not_held", "this shard is not held"));
        }
        let result = json!({ "target": self.core.settings.target_id, "key": call.key });
        self.core.record_action(RanAction {
            request_id: call.request_id,
            attempt_id: call.attempt_id.to_string(),
            index: call.index.clone(),
            shard: call.shard,
            key: call.key.clone(),
            body: serde_json::from_str(call.body.get()).unwrap_or_default(),
            result: result.clone(),
        });
        self.core.work().await;
        drop(slot);
        Ok(ActReply {
            attempt_id: call.attempt_id,
            request_id: call.request_id,
            result: serde_json::value::to_raw_value(&result).unwrap_or_default(),
        })
    }

    /// Runs `work` until its deadline or its cancellation.
    async fn run_within<T>(
        &self,
        attempt: AttemptId,
        deadline_ms: u64,
        work: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        let cancelled = self.core.register_attempt(attempt);
        let _guard = AttemptGuard { core: &self.core, attempt };
        tokio::select! {
            result = work => result,
            Ok(()) = cancelled => {
                count(&self.core.counters.searches_cancelled);
                Err(Refusal::new(STATUS_CANCELLED, "cancelled", "the attempt was cancelled"))
            }
            () = tokio::time::sleep(Duration::from_millis(deadline_ms)) => {
                count(&self.core.counters.expired);
                Err(Refusal::new(504, "deadline", "the deadline passed"))
            }
        }
    }

    /// Stops an attempt.
    async fn handle_cancel(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Stop> {
        let call: CancelCall = read_body(request).await?;
        count(&self.core.counters.cancels_received);
        let known = self.core.cancel_attempt(call.attempt_id);
        Ok(plain_answer(200, &json!({ "cancelled": known })))
    }

    /// Changes the target at run time.
    async fn handle_control(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Stop> {
        let change: ControlChange = read_body(request).await?;
        self.control
            .apply(change)
            .map_err(|error| Refusal::new(400, "bad_control", error.to_string()))?;
        Ok(plain_answer(200, &self.core.report_state()))
    }

    /// Answers whether the target takes work.
    fn answer_health(&self) -> Response<AnswerBody> {
        let state = self.core.state();
        let status = if state == TargetState::Ready { 200 } else { 503 };
        plain_answer(status, &json!({ "state": state }))
    }

    /// Answers the load, or the lie about it.
    fn answer_load(&self) -> Response<AnswerBody> {
        let load = self.core.faults().load_lie.unwrap_or_else(|| self.core.slots.load());
        plain_answer(200, &load)
    }

    /// Refuses work in a state that takes none.
    fn check_admission(&self) -> Result<(), Refusal> {
        if self.core.state() != TargetState::Ready {
            return Err(Refusal::new(503, "draining", "the target takes no new work"));
        }
        if self.core.faults().shed {
            return Err(self.refuse_shed());
        }
        Ok(())
    }

    /// Builds the refusal of a full queue.
    fn refuse_shed(&self) -> Refusal {
        count(&self.core.counters.shed);
        Refusal::new(429, "shed", "every slot is taken and the queue is full")
    }

    /// Never returns while the target stalls.
    async fn stall_if_told(&self) {
        if self.core.faults().stall {
            std::future::pending::<()>().await;
        }
    }

    /// Ends the connection when a reset is due here.
    fn reset_if_told(&self, point: ResetPoint) -> Result<(), Stop> {
        let faults = self.core.faults();
        if faults.reset == point && self.core.draw_share(faults.answer_share) {
            return Err(Stop::Ended(ServiceEnd::Reset));
        }
        Ok(())
    }

    /// Draws the fault of the next answer.
    fn draw_answer_fault(&self) -> AnswerFault {
        let faults = self.core.faults();
        if faults.answer != AnswerFault::None && self.core.draw_share(faults.answer_share) {
            return faults.answer;
        }
        AnswerFault::None
    }
}
