//! The score of a finished text.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};

use super::app::App;
use super::relay::{Ask, Given};
use crate::decide::job::{Score, Scorer};
use crate::{Moment, Name};

/// How long a scorer may take for one try: plain work, with room for a full queue.
const TRY: Duration = Duration::from_millis(3_000);
/// The pause after a try that brought nothing, doubled up to sixteen times.
const PAUSE: Duration = Duration::from_millis(25);
/// The pause while the scorer's route is not there.
const ABSENT: Duration = Duration::from_millis(200);
/// How long a text without a score is kept, where its scorer's route says less.
const KEPT: Duration = Duration::from_secs(40);

/// Asks a scorer until it answers; none once it has failed as often as its route allows, or
/// the sample's time since `begun` is over.
pub(super) async fn score(
    app: &Arc<App>,
    item: &Name,
    scorer: &Scorer,
    begun: Moment,
) -> Option<Score> {
    let mut failed = 0;
    let mut idle = 0;
    loop {
        let routes = app.routes();
        let route = routes.and_then(|r| r.find(&scorer.host, &scorer.path).cloned());
        let kept = route.as_ref().map_or(KEPT, |r| r.retention.max(KEPT));
        if app.now().saturating_sub(begun) > kept {
            tracing::info!(event = "score_given_up", %item, request = %scorer.id, reason = "retention");
            return None;
        }
        let Some(route) = route else {
            tokio::time::sleep(ABSENT).await;
            continue;
        };
        match app.relay(&route, ask(scorer)).await {
            Given::Whole { status, signature: Some(signature), .. } if status.is_success() => {
                return Some(signature);
            }
            Given::Whole { status, failures, .. } => {
                failed += failures;
                tracing::info!(event = "score_not_given", %item, request = %scorer.id, %status, failed);
            }
            Given::Stream { .. } => {
                tracing::warn!(event = "score_streamed", %item, request = %scorer.id);
            }
            Given::Refused(refusal) => {
                tracing::info!(event = "score_refused", %item, request = %scorer.id, kind = %refusal.kind);
            }
        }
        if failed >= route.max_attempts {
            tracing::info!(event = "score_given_up", %item, request = %scorer.id, reason = "failed", failed);
            return None;
        }
        idle += 1;
        tokio::time::sleep(PAUSE * (1 << idle.min(4))).await;
    }
}

fn ask(scorer: &Scorer) -> Ask {
    Ask {
        id: Name::clone(&scorer.id),
        method: Method::POST,
        path: scorer.path.clone(),
        host: scorer.host.clone(),
        organisation: None,
        headers: HeaderMap::new(),
        body: Bytes::clone(&scorer.body),
        deadline: Some(TRY),
        after: None,
    }
}
