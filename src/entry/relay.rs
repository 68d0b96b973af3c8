//! One client's request at one replica, or at several in turn where it may be repeated.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

use super::app::App;
use super::slots::Held;
use super::stream;
use crate::decide::retry_after::DEFAULT_RETRY_AFTER;
use crate::decide::{AttemptRequest, History, Outcome, ReplicaOutcome, RetryPolicy, Route};
use crate::edge::http::collect_pieces;
use crate::edge::replica::{BodyStream, CallError, ReplicaCall, Reply};
use crate::error::{Kind, Refusal};
use crate::metrics::AttemptEnd;
use crate::{Moment, Name};

/// How long a request without a deadline or a route's bound may take.
const LONGEST: Duration = Duration::from_secs(30);
/// An attempt that may be made again elsewhere is given up after this part of the time that
/// is left, in percent: a silent replica leaves time for two more.
const PART: u32 = 40;
/// It is given at least this: ten times the usual work of a plain service.
const LEAST: Duration = Duration::from_millis(250);

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Its id.
    pub id: Name,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: Name,
    /// The host.
    pub host: Name,
    /// The organisation that asks; none without a key.
    pub organisation: Option<Name>,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// How long the client waits.
    pub deadline: Option<Duration>,
    /// The event after which a stream goes on.
    pub after: Option<u64>,
}

/// The final answer.
#[derive(Debug)]
pub enum Given {
    /// A replica's whole answer.
    Whole {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// Its signature.
        signature: Option<Name>,
        /// Its body.
        body: Bytes,
        /// Replicas that ran it and failed. One whose time was over has not.
        failures: u32,
    },
    /// A replica's stream, as it comes.
    Stream {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// The events.
        body: Opened,
    },
    /// None.
    Refused(Refusal),
}

/// The body of a stream that is passed on.
pub struct Opened(pub BodyStream);

impl std::fmt::Debug for Opened {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Opened")
    }
}

/// The state of a request between its attempts.
pub(super) struct Course {
    pub ask: Ask,
    pub route: Arc<Route>,
    pub begun: Moment,
    pub ends: Moment,
    /// When its client leaves: a stream may last until then, though its head may not.
    pub leaves: Moment,
    pub made: u32,
    pub failures: u32,
    pub avoid: Vec<Name>,
    pub history: History,
}

/// What an attempt came to.
enum Came {
    Given(Given),
    /// Another attempt may be made.
    Next,
    /// None may.
    Over(Refusal),
}

impl App {
    /// Takes a request to its final answer.
    pub async fn relay(self: &Arc<Self>, route: &Arc<Route>, ask: Ask) -> Given {
        let mut limit = ask.deadline.unwrap_or(LONGEST);
        if let Some(timeout) = route.timeout {
            limit = limit.min(timeout);
        }
        let leaves = self.now() + ask.deadline.unwrap_or(LONGEST);
        let mut course = Course {
            ask,
            route: route.clone(),
            begun: self.now(),
            ends: self.now() + limit,
            leaves,
            made: 0,
            failures: 0,
            avoid: Vec::new(),
            history: History::new(),
        };
        loop {
            let given = match self.attempt(&mut course).await {
                Came::Given(given) => given,
                Came::Over(refusal) => Given::Refused(course.history.judge(refusal)),
                Came::Next => continue,
            };
            log(self, &course, &given);
            return given;
        }
    }

    async fn attempt(self: &Arc<Self>, course: &mut Course) -> Came {
        let left = course.ends.saturating_sub(self.now());
        if left.is_zero() {
            return Came::Over(refused(Kind::DeadlinePassed, "no time is left"));
        }
        if course.made >= course.route.max_attempts {
            return Came::Over(refused(Kind::RetriesSpent, "no attempt is left"));
        }
        let Some(service) = course.route.pick_service(self.draw()).cloned() else {
            return Came::Over(refused(Kind::NoUpstream, "the route names no service"));
        };
        let wish = AttemptRequest {
            service: &service,
            weights: None,
            avoid: &course.avoid,
            allow_full: true,
        };
        let Some(mut held) = self.take(&wish) else {
            return Came::Over(refused(Kind::NoUpstream, "no replica takes work"));
        };
        course.made += 1;
        let usage = self.usage.as_ref();
        let mut metered = usage.map(|u| u.begin(&course.ask.organisation)).unwrap_or_default();
        let began = self.now();
        let call = course.call(self.now());
        let limit = course.limit(left);
        let sending = self.replicas.send(&held.target, call);
        let reply = match tokio::time::timeout(limit, sending).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(failure)) => {
                if failure.not_run() {
                    metered.not_run();
                }
                return course.failed(self, &mut held, failure);
            }
            Err(_) => {
                metered.not_run();
                return course.failed(self, &mut held, CallError::Interrupted("silent".to_owned()));
            }
        };
        self.heard(&held.target.id, reply.load);
        if course.route.streaming && reply.status.is_success() {
            return Came::Given(self.open_stream(course, &held, reply));
        }
        let left = limit.saturating_sub(self.now().saturating_sub(began));
        let status = reply.status;
        let (headers, signature) = (reply.headers, reply.signature);
        let body = match tokio::time::timeout(left, collect_pieces(reply.body)).await {
            Ok(Ok(body)) => body,
            Ok(Err(reason)) => {
                return course.failed(self, &mut held, CallError::Interrupted(reason));
            }
            Err(_) => {
                return course.failed(self, &mut held, CallError::Interrupted("silent".to_owned()));
            }
        };
        let took = self.now().saturating_sub(began);
        held.ended(ReplicaOutcome::Answered { duration: took, cost: 1 });
        if signature.is_none() {
            return course.failed(self, &mut held, CallError::Interrupted("unsigned".to_owned()));
        }
        let failed = status.is_server_error();
        self.tally.attempt(if failed { AttemptEnd::Failed } else { AttemptEnd::Answered });
        if status == StatusCode::INTERNAL_SERVER_ERROR {
            course.failures += 1;
        }
        if failed {
            held.ended(ReplicaOutcome::Failed);
            if course.may_repeat() && course.made < course.route.max_attempts {
                course.history.note(Outcome::Unknown);
                course.avoid.push(held.target.id.clone());
                return Came::Next;
            }
        }
        let failures = course.failures;
        Came::Given(Given::Whole { status, headers, signature, body, failures })
    }

    fn open_stream(self: &Arc<Self>, course: &mut Course, held: &Held<'_>, reply: Reply) -> Given {
        let (status, headers) = (reply.status, reply.headers.clone());
        let body = stream::forward(self.clone(), course, held.target.clone(), reply);
        Given::Stream { status, headers, body: Opened(body) }
    }
}

impl Course {
    pub(super) fn may_repeat(&self) -> bool {
        match self.route.retry_policy {
            RetryPolicy::Rerun | RetryPolicy::Resume => true,
            RetryPolicy::Never => false,
        }
    }

    pub(super) fn call(&self, now: Moment) -> ReplicaCall {
        let ends = if self.route.streaming { self.leaves } else { self.ends };
        ReplicaCall {
            id: self.ask.id.clone(),
            method: self.ask.method.clone(),
            path: self.ask.path.clone(),
            host: self.ask.host.clone(),
            organisation: self.ask.organisation.clone(),
            headers: self.ask.headers.clone(),
            body: self.ask.body.clone(),
            timeout: ends.saturating_sub(now),
            last_event: self.ask.after,
            priority: None,
        }
    }

    /// How long one attempt may take.
    fn limit(&self, left: Duration) -> Duration {
        if !self.may_repeat() || self.made >= self.route.max_attempts {
            return left;
        }
        (left * PART / 100).max(LEAST).min(left)
    }

    fn failed(&mut self, app: &App, held: &mut Held<'_>, failure: CallError) -> Came {
        app.tally.attempt(match failure {
            CallError::Unsent(_) => AttemptEnd::Unsent,
            CallError::NotRun(_) => AttemptEnd::NotRun,
            CallError::WrongInstance => AttemptEnd::Stranger,
            CallError::Interrupted(_) => AttemptEnd::Broken,
        });
        held.ended(match failure {
            CallError::Unsent(_) | CallError::WrongInstance => ReplicaOutcome::Unreachable,
            CallError::NotRun(_) => ReplicaOutcome::Full,
            CallError::Interrupted(_) => ReplicaOutcome::Failed,
        });
        tracing::info!(
            event = "attempt_failed",
            request = %self.ask.id,
            replica = %held.target.id,
            attempt = self.made,
            %failure
        );
        self.avoid.push(held.target.id.clone());
        if failure.not_run() {
            self.history.note(Outcome::Refused);
            // It ran nowhere, so it does not count among the replicas that it may run on.
            if self.avoid.len() < 2 * self.route.max_attempts.max(1) as usize {
                self.made -= 1;
            }
            return Came::Next;
        }
        self.history.note(Outcome::Unknown);
        if self.may_repeat() {
            return Came::Next;
        }
        Came::Over(refused(Kind::OutcomeUnknown, "the attempt broke off"))
    }
}

fn refused(kind: Kind, detail: &str) -> Refusal {
    Refusal::new(kind, detail).after(DEFAULT_RETRY_AFTER)
}

fn log(app: &App, course: &Course, given: &Given) {
    let (id, attempts) = (&course.ask.id, course.made);
    app.tally.answered(app.now().saturating_sub(course.begun));
    match given {
        Given::Whole { status, .. } => {
            tracing::debug!(event = "answered", request = %id, attempts, status = status.as_u16());
        }
        Given::Stream { .. } => tracing::debug!(event = "stream_opened", request = %id, attempts),
        Given::Refused(refusal) => {
            app.tally.refused(refusal.kind);
            tracing::info!(
                event = "refused",
                request = %id,
                route = %course.route.name,
                attempts,
                replicas = ?course.avoid,
                kind = %refusal.kind,
                run = refusal.run().as_str()
            );
        }
    }
}
