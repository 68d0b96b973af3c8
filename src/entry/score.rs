//! Requesting the score of a sample whose text is complete.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};

use super::app::App;
use super::owned_jobs::OwnedJob;
use super::relay::{RelayRequest, RelayResponse};
use crate::decide::job::{Score, Scorer};
use crate::{Moment, Name};

/// Timeout of one attempt: ordinary work of a scorer, with room for a full queue.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Base of the delay after a failed attempt: twice this after the first one, doubled with each
/// further one up to sixteen times this value.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(25);
/// The delay between two checks while the scorer's route is missing.
const ROUTE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time for which a sample may wait for its score; its scorer's route may allow more.
const MIN_RETENTION: Duration = Duration::from_secs(40);

/// Calls a scorer until it answers. None once it has failed as often as its route allows, or
/// the retention since `started_at` is over.
pub(super) async fn request_score(
    app: &Arc<App>,
    owned: &OwnedJob,
    item: &Name,
    scorer: &Scorer,
    started_at: Moment,
) -> Option<Score> {
    let job = owned.job.lock().spec.id.clone();
    let mut failed = 0;
    let mut attempts = 0;
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
        match app.relay(&route, scorer_request(scorer)).await {
            RelayResponse::Complete { status, signature: Some(signature), .. }
                if status.is_success() =>
            {
                return Some(signature);
            }
            RelayResponse::Complete { status, failures, .. } => {
                failed += failures;
                let revision = owned.record.lock().revision;
                tracing::info!(event = "score_failed", %job, revision, %item, request = %scorer.id, %status, failed);
            }
            RelayResponse::Stream { .. } => {
                tracing::warn!(event = "score_streamed", %item, request = %scorer.id);
            }
            RelayResponse::Refused(refusal) => {
                let revision = owned.record.lock().revision;
                tracing::info!(event = "score_refused", %job, revision, %item, request = %scorer.id, kind = %refusal.kind, failed);
            }
        }
        if failed >= route.max_attempts {
            tracing::info!(event = "score_given_up", %item, request = %scorer.id, reason = "failed", failed);
            return None;
        }
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
