//! Relaying a client's request to a replica, or to several in turn if its route allows retries.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

use super::app::App;
use super::late_runs::LateCall;
use super::quarantine::{LostRun, RequestCheck, RequestContent};
use super::response_body::{read_response, skip_response};
use super::service_times::ResponseKind;
use super::slots::SlotGuard;
use super::stream;
use crate::decide::failures::RunSent;
use crate::decide::load::{CallRequest, TextLength};
use crate::decide::retry_after::DEFAULT_RETRY_AFTER;
use crate::decide::{
    AttemptHistory, AttemptOutcome, AttemptRequest, Class, ReplicaOutcome, RetryPolicy, Route,
    StopDecision, StoppingRequest,
};
use crate::edge::replica::{BodyStream, CallError, ReplicaCall, Reply};
use crate::error::{Kind, Refusal};
use crate::metrics::AttemptEnd;
use crate::{Moment, Name};

/// Time limit of a request that has no deadline and whose route has no timeout.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Percentage of the remaining time that an attempt gets if it may be repeated elsewhere, so
/// that a silent replica leaves time for two more attempts.
const ATTEMPT_TIMEOUT_PERCENT: u32 = 40;
/// Minimum time for such an attempt: ten times the usual work of a plain service.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// A client's request.
#[derive(Debug, Clone)]
pub struct RelayRequest {
    /// The request id.
    pub id: Name,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: Name,
    /// The host.
    pub host: Name,
    /// The client's organisation; none without an API key.
    pub organisation: Option<Name>,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// How long the client waits; none if it did not say.
    pub deadline: Option<Duration>,
    /// The id of the event after which a stream continues.
    pub resume_after: Option<u64>,
}

/// The final response to a client.
#[derive(Debug)]
pub enum RelayResponse {
    /// A replica's complete response.
    Complete {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// The replica's signature of it.
        signature: Option<Name>,
        /// Its body, which the node's memory for calls counts. That of a reward call is empty.
        body: Bytes,
    },
    /// A replica's stream of events, forwarded as it arrives.
    Stream {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// The events.
        body: EventStream,
    },
    /// No replica's response, but a refusal.
    Refused(Refusal),
}

/// The body of a forwarded stream.
pub struct EventStream(pub BodyStream);

impl std::fmt::Debug for EventStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Opened")
    }
}

/// How far a relay goes.
#[derive(Debug, Clone)]
pub(super) struct RelayLimits {
    /// The most attempts that count toward the limit.
    pub attempts: u32,
    /// Whether the request runs again after a replica ran it and failed.
    pub rerun_failed: bool,
    /// The replicas that are tried last.
    pub avoid: Vec<Name>,
    /// Set for a reward call.
    pub reward: Option<RewardCall>,
}

/// What decides on the place of a reward call among those that wait for a slot.
#[derive(Debug, Clone)]
pub(super) struct RewardCall {
    /// The organisation of its job.
    pub organisation: Option<Name>,
    /// When it was first made.
    pub since: Moment,
    /// How long its sender waits for a response before it tries another replica.
    pub patience: Duration,
    /// Whether it goes to the replica with the fewest requests.
    pub apart: bool,
    /// Set while it may run at a replica.
    pub sent: RunSent,
}

/// A final response, and what the attempts met.
pub(super) struct RelayOutcome {
    pub response: RelayResponse,
    /// The number of replicas that ran the request and failed. One that ran out of time does not
    /// count.
    pub failures: u32,
    /// The number of attempts that may have run and brought no response.
    pub unknown: u32,
    /// The replicas that did not answer or failed, in the order of the attempts.
    pub avoid: Vec<Name>,
    /// The run of a reward call that brought no response in time.
    pub late: Option<LateCall>,
    /// The run of a reward call that broke off.
    pub lost: Option<LostRun>,
}

/// A request and the state of its attempts.
pub(super) struct RequestState {
    pub request: RelayRequest,
    pub route: Arc<Route>,
    pub started_at: Moment,
    /// When the client must have a response, or the head of a stream.
    pub response_deadline: Moment,
    /// When the client stops waiting. A stream may last until then, but its head must come by
    /// `response_deadline`.
    pub client_deadline: Moment,
    /// The attempts that count toward the limit.
    pub attempts: u32,
    /// The limit of these attempts.
    pub max_attempts: u32,
    /// All attempts that did not succeed.
    pub tried: u32,
    /// Whether the request runs again after a replica ran it and failed.
    pub rerun_failed: bool,
    /// The replicas that ran the request and failed.
    pub failures: u32,
    /// The attempts that may have run and brought no response.
    pub unknown: u32,
    /// The replicas that are tried last.
    pub avoid: Vec<Name>,
    /// Set for a reward call.
    pub reward: Option<RewardCall>,
    /// Whether the next attempt waits for a slot if all replicas are full. A request that may have
    /// run, or met a replica that is gone, has lost time already and is sent at once.
    pub may_wait: bool,
    /// What is known of the attempts, for the final refusal.
    pub history: AttemptHistory,
    /// The quarantine as it applies to the request.
    pub check: RequestCheck,
}

/// What follows from an attempt.
enum RelayStep {
    /// The client gets this response.
    Done(RelayResponse),
    /// Another attempt is made, if the route and the time allow it.
    Retry,
    /// The client gets a refusal.
    Failed(Refusal),
}

impl App {
    /// Relays a request until there is a final response.
    pub async fn relay(
        self: &Arc<Self>,
        route: &Arc<Route>,
        request: RelayRequest,
    ) -> RelayResponse {
        let limits = RelayLimits {
            attempts: route.max_attempts,
            rerun_failed: true,
            avoid: Vec::new(),
            reward: None,
        };
        self.relay_within(route, request, limits).await.response
    }

    /// Relays a request within limits, and returns what its attempts met as well.
    pub(super) async fn relay_within(
        self: &Arc<Self>,
        route: &Arc<Route>,
        request: RelayRequest,
        limits: RelayLimits,
    ) -> RelayOutcome {
        let mut limit = request.deadline.unwrap_or(DEFAULT_TIMEOUT);
        if let Some(timeout) = route.timeout {
            limit = limit.min(timeout);
        }
        let client_deadline = self.now() + request.deadline.unwrap_or(DEFAULT_TIMEOUT);
        let content = RequestContent {
            service: route.services.first().map(|(s, _)| s.clone()).unwrap_or_default(),
            method: request.method.clone(),
            path: request.path.clone(),
            body: request.body.clone(),
        };
        let check = match &limits.reward {
            Some(_) => RequestCheck::of_reward_call(&self.quarantine, content),
            None => RequestCheck::new(&self.quarantine, content),
        };
        let mut state = RequestState {
            check,
            request,
            route: route.clone(),
            started_at: self.now(),
            response_deadline: self.now() + limit,
            client_deadline,
            attempts: 0,
            max_attempts: limits.attempts,
            tried: 0,
            rerun_failed: limits.rerun_failed,
            failures: 0,
            unknown: 0,
            avoid: limits.avoid,
            reward: limits.reward,
            may_wait: !route.streaming,
            history: AttemptHistory::new(),
        };
        let mut late = None;
        loop {
            let response = match self.attempt(&mut state, &mut late).await {
                RelayStep::Done(response) => response,
                RelayStep::Failed(refusal) => RelayResponse::Refused(state.history.adjust(refusal)),
                RelayStep::Retry => continue,
            };
            match &response {
                RelayResponse::Complete { status, .. } if !status.is_server_error() => {}
                RelayResponse::Stream { .. } => {}
                RelayResponse::Complete { .. } | RelayResponse::Refused(_) => {
                    state.check.notify_peers().await;
                }
            }
            log(self, &state, &response);
            let lost = state.check.take_lost();
            let RequestState { failures, unknown, avoid, .. } = state;
            return RelayOutcome { response, failures, unknown, avoid, late, lost };
        }
    }

    /// Makes one attempt at one replica. That of a reward call is left in `late` if it brings no
    /// response in time.
    async fn attempt(
        self: &Arc<Self>,
        state: &mut RequestState,
        late: &mut Option<LateCall>,
    ) -> RelayStep {
        let left = state.response_deadline.saturating_sub(self.now());
        if left.is_zero() {
            return RelayStep::Failed(refused(Kind::DeadlinePassed, "the deadline has passed"));
        }
        if state.attempts >= state.max_attempts {
            return RelayStep::Failed(refused(Kind::RetriesSpent, "all attempts are used"));
        }
        if let Err(refusal) = state.check.permit(left).await {
            return RelayStep::Failed(refusal);
        }
        let Some(service) = state.route.pick_service(self.draw()).cloned() else {
            return RelayStep::Failed(refused(Kind::NoUpstream, "the route names no service"));
        };
        let decision = self.stop_decision(state, &service);
        if decision == StopDecision::Refuse {
            return RelayStep::Failed(stopping());
        }
        let wish = AttemptRequest {
            service: &service,
            weights: None,
            avoid: &state.avoid,
            length: TextLength::default(),
            allow_full: decision == StopDecision::Send,
            apart: state.reward.as_ref().is_some_and(|reward| reward.apart),
        };
        let asked_at = self.now();
        let taken = if state.may_wait {
            self.wait_for_call_slot(&wish, || state.call_request()).await
        } else {
            let refusal = || match decision {
                StopDecision::Send => refused(Kind::NoUpstream, "no replica accepts work"),
                StopDecision::SendToFree | StopDecision::Refuse => stopping(),
            };
            self.take_slot(&wish).ok_or_else(refusal)
        };
        let mut slot = match taken {
            Ok(slot) => slot,
            Err(refusal) => return RelayStep::Failed(refusal),
        };
        if state.reward.is_none() && self.now() >= state.response_deadline {
            return RelayStep::Failed(refused(Kind::DeadlinePassed, "the deadline has passed"));
        }
        // The node may have begun to stop while the request waited.
        if self.stop_decision(state, &service) == StopDecision::Refuse {
            return RelayStep::Failed(stopping());
        }
        if state.reward.is_some() {
            // No client waits for it: its sender would only make the same call again.
            state.response_deadline += self.now().saturating_sub(asked_at);
        }
        state.attempts += 1;
        state.may_wait = false;
        let usage = self.usage.as_ref();
        let mut metered = usage.map(|u| u.begin(&state.request.organisation)).unwrap_or_default();
        let started_at = self.now();
        let call = state.call(self.now());
        // The wait for a slot does not shorten the time that a replica gets for the work.
        let limit = state.limit(left).min(state.response_deadline.saturating_sub(self.now()));
        state.set_sent(true);
        state.check.run_sent(&service, &slot.target);
        let mut sending = self.replicas.send(&slot.target, call);
        let reply = match tokio::time::timeout(limit, &mut sending).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(failure)) => {
                if failure.not_run() {
                    metered.not_run();
                }
                match failure {
                    CallError::Unsent(_) => state.check.run_unsent(),
                    CallError::NotRun(_) | CallError::WrongInstance => state.check.run_declined(),
                    CallError::Interrupted(_) => {
                        let ran = self.now().saturating_sub(started_at);
                        state.check.broke(&service, &slot.target, ran);
                    }
                }
                return state.failed(self, &mut slot, failure);
            }
            Err(_) => {
                metered.not_run();
                let ran = self.now().saturating_sub(started_at);
                state.check.silent(&service, &slot.target, ran);
                let (service, target) = (service.clone(), slot.target.clone());
                let call = LateCall { service, target, sent_at: started_at, call: sending };
                *late = state.reward.is_some().then_some(call);
                return state.failed(self, &mut slot, CallError::Interrupted("silent".to_owned()));
            }
        };
        self.record_response_head(&slot.target.id, reply.load);
        if state.route.streaming && reply.status.is_success() {
            return RelayStep::Done(self.open_stream(state, &slot, reply));
        }
        let left = limit.saturating_sub(self.now().saturating_sub(started_at));
        let status = reply.status;
        let (headers, signature) = (reply.headers, reply.signature);
        let is_reward = state.reward.is_some();
        let reading = async {
            // Only the signature of the response to a reward call is used.
            if is_reward {
                return skip_response(reply.body).await.map(|()| Bytes::new());
            }
            read_response(&self.memory, &headers, reply.body).await
        };
        let body = match tokio::time::timeout(left, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(reason)) => {
                let ran = self.now().saturating_sub(started_at);
                state.check.broke(&service, &slot.target, ran);
                return state.failed(self, &mut slot, CallError::Interrupted(reason));
            }
            Err(_) => {
                let ran = self.now().saturating_sub(started_at);
                state.check.silent(&service, &slot.target, ran);
                return state.failed(self, &mut slot, CallError::Interrupted("silent".to_owned()));
            }
        };
        let took = self.now().saturating_sub(started_at);
        slot.set_end(ReplicaOutcome::Answered { duration: took, cost: 1 });
        if signature.is_none() {
            state.check.run_declined();
            return state.failed(self, &mut slot, CallError::Interrupted("unsigned".to_owned()));
        }
        let failed = status.is_server_error();
        self.tally.count_attempt(if failed { AttemptEnd::Failed } else { AttemptEnd::Answered });
        if failed {
            state.check.survived(took);
        } else {
            state.check.succeeded();
            let time = self.now().saturating_sub(state.started_at);
            self.service_times.record(&service, ResponseKind::Whole, time);
        }
        if status == StatusCode::INTERNAL_SERVER_ERROR {
            state.failures += 1;
            tracing::info!(
                event = "attempt_failed",
                request = %state.request.id,
                replica = %slot.target.id,
                attempt = state.attempts,
                failures = state.failures,
                failure = %status
            );
        }
        if failed {
            slot.set_end(ReplicaOutcome::Failed);
            state.avoid.push(slot.target.id.clone());
            state.tried += 1;
            if state.rerun_failed && state.may_repeat() && state.attempts < state.max_attempts {
                state.history.record(AttemptOutcome::Unknown);
                return RelayStep::Retry;
            }
        }
        RelayStep::Done(RelayResponse::Complete { status, headers, signature, body })
    }

    /// Decides whether a request is sent to a replica, as far as the stop of this node is concerned.
    /// Reward calls are sent: their jobs are handed over.
    fn stop_decision(&self, state: &RequestState, service: &Name) -> StopDecision {
        let Some(plan) = self.stop_plan.get().filter(|_| state.reward.is_none()) else {
            return StopDecision::Send;
        };
        let streaming = state.route.streaming;
        let kind = if streaming { ResponseKind::Stream } else { ResponseKind::Whole };
        let request = StoppingRequest {
            received_at: state.started_at,
            deadline: state.end_of_response(),
            usual_time: self.service_times.usual(service, kind),
        };
        plan.decide(&request, self.now())
    }

    /// Starts forwarding a replica's stream to the client.
    fn open_stream(
        self: &Arc<Self>,
        state: &mut RequestState,
        slot: &SlotGuard<'_>,
        reply: Reply,
    ) -> RelayResponse {
        let (status, headers) = (reply.status, reply.headers.clone());
        let body = stream::forward(self.clone(), state, slot.target.clone(), reply);
        RelayResponse::Stream { status, headers, body: EventStream(body) }
    }
}

impl RequestState {
    /// Whether the route allows the request to run more than once.
    pub(super) fn may_repeat(&self) -> bool {
        match self.route.retry_policy {
            RetryPolicy::Rerun | RetryPolicy::Resume => true,
            RetryPolicy::Never => false,
        }
    }

    /// When the response has to be complete.
    fn end_of_response(&self) -> Moment {
        if self.route.streaming { self.client_deadline } else { self.response_deadline }
    }

    /// The call to a replica, limited to the time that is left.
    pub(super) fn call(&self, now: Moment) -> ReplicaCall {
        ReplicaCall {
            id: self.request.id.clone(),
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            host: self.request.host.clone(),
            organisation: self.request.organisation.clone(),
            headers: self.request.headers.clone(),
            body: self.request.body.clone(),
            timeout: self.end_of_response().saturating_sub(now),
            last_event: self.request.resume_after,
            priority: None,
        }
    }

    /// Records whether a reward call may run at a replica.
    fn set_sent(&self, sent: bool) {
        if let Some(reward) = &self.reward {
            reward.sent.set(sent);
        }
    }

    /// What decides on its place among the requests that wait for a slot.
    fn call_request(&self) -> CallRequest {
        let (class, organisation, order) = match &self.reward {
            Some(reward) => (Class::Training, &reward.organisation, reward.since),
            None => (Class::Live, &self.request.organisation, self.response_deadline),
        };
        CallRequest {
            organisation: organisation.clone().unwrap_or_else(|| "".into()),
            class,
            priority: self.route.priority,
            order,
            deadline: self.response_deadline,
            avoid: self.avoid.clone(),
            apart: self.reward.as_ref().is_some_and(|reward| reward.apart),
        }
    }

    /// The time limit of one attempt, given the time left for the request.
    fn limit(&self, left: Duration) -> Duration {
        if let Some(reward) = &self.reward {
            return reward.patience.min(left);
        }
        if !self.may_repeat() || self.attempts >= self.route.max_attempts {
            return left;
        }
        (left * ATTEMPT_TIMEOUT_PERCENT / 100).max(MIN_ATTEMPT_TIMEOUT).min(left)
    }

    /// Records a failed attempt and decides whether another may follow.
    fn failed(&mut self, app: &App, slot: &mut SlotGuard<'_>, failure: CallError) -> RelayStep {
        app.tally.count_attempt(match failure {
            CallError::Unsent(_) => AttemptEnd::Unsent,
            CallError::NotRun(_) => AttemptEnd::NotRun,
            CallError::WrongInstance => AttemptEnd::Stranger,
            CallError::Interrupted(_) => AttemptEnd::Broken,
        });
        slot.set_end(match failure {
            CallError::Unsent(_) | CallError::WrongInstance => ReplicaOutcome::Unreachable,
            CallError::NotRun(_) => ReplicaOutcome::Full,
            CallError::Interrupted(_) => ReplicaOutcome::Failed,
        });
        tracing::info!(
            event = "attempt_failed",
            request = %self.request.id,
            replica = %slot.target.id,
            attempt = self.attempts,
            %failure
        );
        let full = matches!(failure, CallError::NotRun(_));
        self.may_wait = !self.route.streaming && full;
        if full && slot.is_call() && self.reward.is_none() {
            // It waits until a replica has room, so that only its deadline counts. The deadline of
            // a reward call moves with its waits; its sender makes it again until the retention.
            self.history.record(AttemptOutcome::Refused);
            self.attempts -= 1;
            return RelayStep::Retry;
        }
        self.avoid.push(slot.target.id.clone());
        self.tried += 1;
        if failure.not_run() {
            self.set_sent(false);
            self.history.record(AttemptOutcome::Refused);
            // The replica did not run the request, so the attempt does not count toward the
            // route's limit, unless too many replicas were tried already.
            if self.tried < 2 * self.route.max_attempts.max(1) {
                self.attempts -= 1;
            }
            return RelayStep::Retry;
        }
        self.history.record(AttemptOutcome::Unknown);
        self.unknown += 1;
        if self.may_repeat() && self.check.may_rerun() {
            return RelayStep::Retry;
        }
        RelayStep::Failed(refused(Kind::OutcomeUnknown, "the attempt was interrupted"))
    }
}

/// A refusal that asks the client to come back soon.
fn refused(kind: Kind, detail: &str) -> Refusal {
    Refusal::new(kind, detail).with_retry_after(DEFAULT_RETRY_AFTER)
}

/// The refusal of a request that would not end before this node does. Other nodes take it at once.
fn stopping() -> Refusal {
    Refusal::new(Kind::Draining, "the node is stopping").with_retry_after(Duration::ZERO)
}

/// Counts and logs a final response.
fn log(app: &App, state: &RequestState, response: &RelayResponse) {
    let (id, attempts) = (&state.request.id, state.attempts);
    app.tally.observe_request(app.now().saturating_sub(state.started_at));
    match response {
        RelayResponse::Complete { status, .. } => {
            tracing::debug!(event = "answered", request = %id, attempts, status = status.as_u16());
        }
        RelayResponse::Stream { .. } => {
            tracing::debug!(event = "stream_opened", request = %id, attempts)
        }
        RelayResponse::Refused(refusal) => {
            app.tally.count_refusal(refusal.kind);
            tracing::info!(
                event = "refused",
                request = %id,
                route = %state.route.name,
                attempts,
                failures = state.failures,
                replicas = ?state.avoid,
                kind = %refusal.kind,
                run = refusal.run().as_str()
            );
        }
    }
}
