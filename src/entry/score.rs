//! Requesting the score of a sample whose text is complete.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

use super::app::App;
use super::owned_jobs::OwnedJob;
use super::relay::{RelayLimits, RelayRequest, RelayResponse, RewardCall};
use crate::decide::failures::{RequestFailure, RetryDecision};
use crate::decide::job::{Score, Scorer};
use crate::error::Kind;
use crate::{Moment, Name};

/// Timeout of one attempt: ordinary work of a scorer, with room for a full queue.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Base of the delay after a failed attempt: twice this after the first one, doubled with each
/// further one up to sixteen times this value.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(25);
/// The delay between two checks while the scorer's route is missing.
const ROUTE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The delay between two checks of a call that may have failed too often to run again.
const HOLD_INTERVAL: Duration = Duration::from_millis(500);
/// Number of replicas that a call avoids: the last ones that did not answer it.
const MAX_AVOIDED: usize = 2;
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
    let mut attempts = 0;
    let mut avoid: Vec<Name> = Vec::new();
    loop {
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
        let runs = match owned.retry_decision(&scorer.id, route.max_attempts) {
            RetryDecision::Run if owned.has_failed(&scorer.id) => 1,
            RetryDecision::Run => route.max_attempts,
            RetryDecision::Hold => {
                tokio::time::sleep(HOLD_INTERVAL).await;
                continue;
            }
            RetryDecision::GiveUp => {
                tracing::info!(event = "score_given_up", %item, request = %scorer.id, reason = "failed");
                return None;
            }
        };
        owned.failures_stored(&scorer.id).await;
        // The runs of a call that has failed are counted one by one, so the relay repeats none.
        let organisation = owned.job.lock().spec.organisation.clone();
        let reward = RewardCall { organisation, since: first_call };
        let limits = RelayLimits {
            attempts: runs,
            rerun_failed: false,
            avoid: avoid.clone(),
            reward: Some(reward),
        };
        let outcome = app.relay_within(&route, scorer_request(scorer), limits).await;
        let rejected = match outcome.response {
            RelayResponse::Complete { status, signature: Some(signature), .. }
                if status.is_success() =>
            {
                return Some(signature);
            }
            RelayResponse::Complete { status, .. } => {
                tracing::info!(event = "score_failed", %item, request = %scorer.id, %status);
                status == StatusCode::UNPROCESSABLE_ENTITY
            }
            RelayResponse::Stream { .. } => {
                tracing::warn!(event = "score_streamed", %item, request = %scorer.id);
                false
            }
            RelayResponse::Refused(refusal) => {
                tracing::info!(event = "score_refused", %item, request = %scorer.id, kind = %refusal.kind);
                if refusal.kind == Kind::Quarantined {
                    // No response says that the call failed, so it ends with its retention.
                    tokio::time::sleep(HOLD_INTERVAL).await;
                }
                // It has only waited for a slot, and asks for its place in the queue again.
                if refusal.kind == Kind::DeadlineUnreachable {
                    tokio::time::sleep(RETRY_BASE_DELAY).await;
                    continue;
                }
                false
            }
        };
        let failures = [
            (RequestFailure::Unknown, outcome.unknown),
            (RequestFailure::Failed, outcome.failures),
            (RequestFailure::Rejected, u32::from(rejected)),
        ];
        for (failure, count) in failures {
            for _ in 0..count {
                app.record_failure(owned, &scorer.id, failure);
            }
        }
        avoid.clear();
        avoid.extend(outcome.avoid.into_iter().rev().take(MAX_AVOIDED));
        attempts += 1;
        tokio::time::sleep(RETRY_BASE_DELAY * (1 << attempts.min(4))).await;
    }
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
