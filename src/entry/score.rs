//! Requesting the score of a sample whose text is complete.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

use super::app::App;
use super::late_runs::{LateEnd, LateRuns};
use super::owned_jobs::OwnedJob;
use super::relay::{RelayLimits, RelayOutcome, RelayRequest, RelayResponse, RewardCall};
use crate::decide::failures::{RequestFailure, RetryDecision};
use crate::decide::job::{Score, Scorer};
use crate::decide::quarantine::CrashDelay;
use crate::error::Kind;
use crate::{Moment, Name};

/// Timeout of one attempt: ordinary work of a scorer, with room for a full queue.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long the first run of a call is waited for before another replica is tried. It stays open,
/// so that a slow scorer costs one more run and no answer.
const FIRST_PATIENCE: Duration = Duration::from_millis(1_200);
/// The part of that for each further run while earlier ones are open.
const PATIENCE_PERCENT: u32 = 60;
/// Base of the delay after an attempt that did not run: twice this after the first one, doubled with
/// each further one up to sixteen times this value.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(25);
/// The delay between two checks while the scorer's route is missing.
const ROUTE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The delay between two checks of a call that may have failed too often to run again.
const HOLD_INTERVAL: Duration = Duration::from_millis(500);
/// Number of replicas that a call avoids: the last ones that did not answer it.
const MAX_AVOIDED: usize = 6;
/// Minimum time for which a sample may wait for its score; its scorer's route may allow more.
const MIN_RETENTION: Duration = Duration::from_secs(40);

/// Calls a scorer until it answers. None once the call has failed as often as its route allows, or
/// the retention since `started_at` is over.
pub(super) async fn request_score(
    app: &Arc<App>,
    owned: &OwnedJob,
    item: &Name,
    scorer: &Scorer,
    started_at: Moment,
) -> Option<Score> {
    let first_call = app.now();
    let mut delay = Duration::ZERO;
    let mut attempts = 0;
    let mut avoid: Vec<Name> = Vec::new();
    let mut late = LateRuns::default();
    let mut crashes = CrashDelay::default();
    loop {
        while let Some(end) = late.next_within(Duration::ZERO).await {
            if let Some(score) = settle_late(app, owned, &scorer.id, end, &mut crashes) {
                return Some(score);
            }
        }
        let routes = app.routes();
        let route = routes.and_then(|r| r.find(&scorer.host, &scorer.path).cloned());
        let retention = route.as_ref().map_or(MIN_RETENTION, |r| r.retention.max(MIN_RETENTION));
        if app.now().saturating_sub(started_at) > retention {
            tracing::info!(event = "score_given_up", %item, request = %scorer.id, reason = "retention");
            return None;
        }
        let Some(route) = route else {
            tokio::time::sleep(ROUTE_POLL_INTERVAL).await;
            continue;
        };
        match app.retry_decision(owned, &scorer.id, route.max_attempts, late.len()).await {
            RetryDecision::Run => {}
            RetryDecision::Await | RetryDecision::Hold => {
                if let Some(end) = late.next_within(HOLD_INTERVAL).await
                    && let Some(score) = settle_late(app, owned, &scorer.id, end, &mut crashes)
                {
                    return Some(score);
                }
                continue;
            }
            RetryDecision::GiveUp => {
                tracing::info!(event = "score_given_up", %item, request = %scorer.id, reason = "failed");
                return None;
            }
        }
        owned.reserve_run(&scorer.id, std::mem::take(&mut delay)).await;
        let organisation = owned.job.lock().spec.organisation.clone();
        let sent = owned.begin_run(&scorer.id);
        // The runs are counted one by one, so the relay repeats none.
        let limits = RelayLimits {
            attempts: 1,
            rerun_failed: false,
            avoid: avoid.clone(),
            reward: Some(RewardCall {
                organisation,
                since: first_call,
                patience: patience(late.len()),
                apart: crashes.runs_apart(),
                sent,
            }),
        };
        let outcome = app.relay_within(&route, scorer_request(scorer), limits).await;
        let end = match call_end(item, scorer, &outcome) {
            CallEnd::Scored(score) => {
                owned.failures.lock().remove(&scorer.id);
                return Some(score);
            }
            // It has only waited for a slot, and asks for its place in the queue again.
            CallEnd::Queued => {
                delay = RETRY_BASE_DELAY;
                continue;
            }
            CallEnd::NotRun => None,
            CallEnd::Failed(failure) => Some(failure),
        };
        let crashed = match &outcome.lost {
            Some(run) => app.quarantine.has_crashed(run).await,
            None => false,
        };
        if crashed {
            crashes.record();
        }
        // Such a run can't have failed.
        let end = end.filter(|_| !crashed);
        app.end_run(owned, &scorer.id, end);
        avoid.clear();
        avoid.extend(outcome.avoid.into_iter().rev().take(MAX_AVOIDED));
        if let Some(call) = outcome.late {
            late.add(app, call);
        }
        attempts += 1;
        delay = owned.retry_delay(&scorer.id).max(crashes.delay());
        if end.is_none() {
            delay = delay.max(RETRY_BASE_DELAY * (1 << attempts.min(4)));
        }
    }
}

/// How long a run is waited for while this many others are open.
fn patience(open_runs: usize) -> Duration {
    (0..open_runs).fold(FIRST_PATIENCE, |time, _| time * PATIENCE_PERCENT / 100)
}

/// How a relay of a call ended.
enum CallEnd {
    /// With the score.
    Scored(Score),
    /// Without a slot in time.
    Queued,
    /// No replica ran it.
    NotRun,
    /// A replica ran it, or may have.
    Failed(RequestFailure),
}

/// Classifies the outcome of a relay of a call.
fn call_end(item: &Name, scorer: &Scorer, outcome: &RelayOutcome) -> CallEnd {
    let request = &scorer.id;
    match &outcome.response {
        RelayResponse::Complete { status, signature: Some(signature), .. }
            if status.is_success() =>
        {
            return CallEnd::Scored(signature.clone());
        }
        RelayResponse::Complete { status, .. } => {
            tracing::info!(event = "score_failed", %item, %request, %status);
            if *status == StatusCode::UNPROCESSABLE_ENTITY {
                return CallEnd::Failed(RequestFailure::Rejected);
            }
        }
        RelayResponse::Stream { .. } => {
            tracing::warn!(event = "score_streamed", %item, %request);
        }
        RelayResponse::Refused(refusal) => {
            tracing::info!(event = "score_refused", %item, %request, kind = %refusal.kind);
            if refusal.kind == Kind::DeadlineUnreachable {
                return CallEnd::Queued;
            }
        }
    }
    if outcome.failures > 0 {
        CallEnd::Failed(RequestFailure::Failed)
    } else if outcome.unknown > 0 {
        CallEnd::Failed(RequestFailure::Unknown)
    } else {
        CallEnd::NotRun
    }
}

/// Records the end of a late run, and returns the score if it brought one.
fn settle_late(
    app: &App,
    owned: &OwnedJob,
    request: &Name,
    end: LateEnd,
    crashes: &mut CrashDelay,
) -> Option<Score> {
    tracing::info!(event = "late_answer", %request, ?end);
    match end {
        LateEnd::Succeeded(Some(score)) => {
            owned.failures.lock().remove(request);
            return Some(score);
        }
        LateEnd::Failed(failure) => app.settle_run(owned, request, Some(failure)),
        LateEnd::NotRun => app.settle_run(owned, request, None),
        LateEnd::Crashed => {
            crashes.record();
            app.settle_run(owned, request, None);
        }
        LateEnd::Succeeded(None) | LateEnd::Lost => {}
    }
    None
}

/// The request to a scorer.
fn scorer_request(scorer: &Scorer) -> RelayRequest {
    RelayRequest {
        id: Name::clone(&scorer.id),
        method: Method::POST,
        path: scorer.path.clone(),
        host: scorer.host.clone(),
        organisation: None,
        headers: HeaderMap::new(),
        body: Bytes::clone(&scorer.body),
        deadline: Some(ATTEMPT_TIMEOUT),
        resume_after: None,
    }
}
