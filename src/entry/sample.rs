//! Making one sample: generating its text at one or more replicas, then requesting its score.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method};

use super::app::App;
use super::attempt::{AttemptResult, TextAttempt};
use super::late_runs::{LateCall, LateEnd, LateRuns};
use super::owned_jobs::OwnedJob;
use super::score::request_score;
use crate::Name;
use crate::decide::SlotRequest;
use crate::decide::failures::{RequestFailure, RetryDecision};
use crate::decide::job::{FinishEffect, ItemSpec, ItemState, JobSpec};
use crate::decide::load::TextLength;
use crate::decide::quarantine::CrashDelay;
use crate::edge::replica::ReplicaCall;
use crate::metrics::{AttemptEnd, SampleEnd};

/// Base of the delay after attempts that brought no events: twice this after the second one in a
/// row, doubled with each further one up to eight times this value.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(25);
/// The delay between two checks while the route's service is missing.
const ROUTE_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The delay between two checks of a text that may have failed too often to run again.
const HOLD_INTERVAL: Duration = Duration::from_millis(500);
/// Number of replicas that a sample avoids: the last ones that did not finish it.
const MAX_AVOIDED: usize = 2;
/// Largest priority value, that is the lowest priority, that replicas accept.
const MAX_PRIORITY: u8 = 9;

/// Makes a sample and adds its result to the job.
pub(super) async fn make_sample(app: &Arc<App>, owned: &OwnedJob, item: &ItemSpec, index: u64) {
    let state = make(app, owned, item, index).await;
    let dead = state == ItemState::Dead;
    owned.texts.lock().remove(&item.id);
    let finished = owned.job.lock().finish(&item.id, state);
    app.slots.finish_sample(owned.step, index);
    match finished {
        FinishEffect::Unwanted => return,
        // Another owner would run a sample again whose end is not written.
        FinishEffect::Sample if dead => owned.sample_ended.notify_one(),
        // Trainers take whole groups, so the result of an incomplete group goes with the next
        // regular write.
        FinishEffect::Sample => {}
        FinishEffect::Group => owned.sample_ended.notify_one(),
    }
    app.tally.count_sample(if dead { SampleEnd::Dead } else { SampleEnd::Completed });
    let job = owned.job.lock().spec.id.clone();
    tracing::info!(event = "sample_finished", %job, item = %item.id, dead);
}

/// Generates the text and requests its score. The sample is dead if either fails for good.
async fn make(app: &Arc<App>, owned: &OwnedJob, item: &ItemSpec, index: u64) -> ItemState {
    owned.wait_for_failures().await;
    let spec = owned.job.lock().spec.clone();
    let started_at = app.now();
    if !make_text(app, owned, &spec, item, index).await {
        return ItemState::Dead;
    }
    let score = match &item.scorer {
        None => None,
        Some(scorer) => match request_score(app, owned, &item.id, scorer, started_at).await {
            Some(score) => Some(score),
            None => return ItemState::Dead,
        },
    };
    owned.with_text(&item.id, |text| ItemState::Completed {
        output: text.output().to_owned(),
        versions: text.versions(),
        score,
    })
}

/// Generates the text of a sample. False if it can't be generated, or not within the retention
/// and the number of failures that its route allows.
async fn make_text(
    app: &Arc<App>,
    owned: &OwnedJob,
    spec: &JobSpec,
    item: &ItemSpec,
    index: u64,
) -> bool {
    let started_at = app.now();
    let mut idle_attempts = 0;
    let mut avoid: Vec<Name> = Vec::new();
    let mut delay = Duration::ZERO;
    let mut late = LateRuns::default();
    let mut crashes = CrashDelay::default();
    loop {
        while let Some(end) = late.next_within(Duration::ZERO).await {
            settle_late(app, owned, &item.id, end, &mut crashes);
        }
        let routes = app.routes_since(spec.routes_version).await;
        let Some(route) = routes.find(&spec.host, &spec.path).cloned() else {
            let (version, accepted) = (routes.version, spec.routes_version);
            tracing::info!(event = "sample_given_up", item = %item.id, reason = "no_route", version, accepted);
            return false;
        };
        if app.now().saturating_sub(started_at) > route.retention {
            tracing::info!(event = "sample_given_up", item = %item.id, reason = "retention");
            return false;
        }
        match app.retry_decision(owned, &item.id, route.max_attempts, late.len()).await {
            RetryDecision::Run => {}
            RetryDecision::Await | RetryDecision::Hold => {
                if let Some(end) = late.next_within(HOLD_INTERVAL).await {
                    settle_late(app, owned, &item.id, end, &mut crashes);
                }
                continue;
            }
            RetryDecision::GiveUp => {
                tracing::info!(event = "sample_given_up", item = %item.id, reason = "failed");
                return false;
            }
        }
        owned.reserve_run(&item.id, std::mem::take(&mut delay)).await;
        let Some(service) = route.pick_service(app.draw()).cloned() else {
            tokio::time::sleep(ROUTE_POLL_INTERVAL).await;
            continue;
        };
        let want = SlotRequest {
            service: service.clone(),
            model: spec.model.clone(),
            min_version: spec.min_version,
            avoid: avoid.clone(),
            length: TextLength {
                hint: item.length_hint,
                events: owned.with_text(&item.id, |text| text.last_event()),
            },
            apart: crashes.runs_apart(),
        };
        let priority = routes.sample_priority(&want.service).unwrap_or(route.priority);
        let queued = app.wait_for_slot(owned.step, index, want);
        let Some(mut slot) = queued.await else { continue };
        let sent_at = app.now();
        let before = owned.with_text(&item.id, |text| text.last_event());
        let run = TextAttempt { app, owned, item, spec, route: &route };
        let left = route.retention.saturating_sub(app.now().saturating_sub(started_at));
        owned.begin_run(&item.id).set(true);
        let result = run.attempt(&mut slot, call(left, priority, spec, item, before)).await;
        let ran = app.now().saturating_sub(sent_at);
        let target = slot.target.clone();
        let replica = target.id.clone();
        let lost = app.quarantine.lost_run(&service, &target, ran);
        drop(slot);
        let events = owned.with_text(&item.id, |text| text.last_event());
        let (job, revision) = (&spec.id, owned.record.lock().revision);
        match result {
            AttemptResult::Complete => {
                owned.failures.lock().remove(&item.id);
                let length = TextLength { hint: item.length_hint, events };
                app.slots.fleet.lock().record_text(&service, length);
                tracing::debug!(event = "text_completed", item = %item.id, %replica, events);
                return true;
            }
            AttemptResult::Impossible => {
                app.end_run(owned, &item.id, Some(RequestFailure::Rejected));
                tracing::info!(event = "sample_given_up", item = %item.id, reason = "impossible");
                return false;
            }
            AttemptResult::Failed => {
                app.end_run(owned, &item.id, Some(RequestFailure::Failed));
            }
            AttemptResult::OtherResponse => {
                app.end_run(owned, &item.id, None);
                tracing::info!(event = "sample_continued", %job, revision, item = %item.id, %replica, events, reason = "other_response");
            }
            AttemptResult::Silent(sent) => {
                app.end_run(owned, &item.id, Some(RequestFailure::Unknown));
                let call = LateCall { service, target, sent_at, call: sent };
                late.add_for_status(app, call);
                tracing::info!(event = "sample_continued", %job, revision, item = %item.id, %replica, events, reason = "silent");
            }
            AttemptResult::Continue(end) => {
                let broken = end == AttemptEnd::Broken;
                let mut failure = None;
                if broken && events > before {
                    app.quarantine.look_for_crash(lost);
                } else if broken && app.quarantine.has_crashed(&lost).await {
                    // Such a run can't have failed.
                    crashes.record();
                } else if broken {
                    failure = Some(RequestFailure::Unknown);
                }
                app.end_run(owned, &item.id, failure);
                tracing::info!(event = "sample_continued", %job, revision, item = %item.id, %replica, events, reason = ?end);
            }
        }
        avoid.push(replica);
        if avoid.len() > MAX_AVOIDED {
            avoid.remove(0);
        }
        idle_attempts = if events > before { 0 } else { idle_attempts + 1 };
        if idle_attempts > 1 {
            let paced = owned.retry_delay(&item.id);
            delay = (RETRY_BASE_DELAY * (1 << (idle_attempts - 1).min(3))).max(paced);
        }
        delay = delay.max(crashes.delay());
    }
}

/// Records the end of a late run.
fn settle_late(
    app: &App,
    owned: &OwnedJob,
    request: &Name,
    end: LateEnd,
    crashes: &mut CrashDelay,
) {
    tracing::info!(event = "late_answer", %request, ?end);
    match end {
        LateEnd::Failed(failure) => app.settle_run(owned, request, Some(failure)),
        LateEnd::Succeeded(_) | LateEnd::NotRun => app.settle_run(owned, request, None),
        LateEnd::Crashed => {
            crashes.record();
            app.settle_run(owned, request, None);
        }
        LateEnd::Lost => {}
    }
}

/// The request for a sample's text, from after event `last` on, within `left`.
fn call(left: Duration, priority: u8, spec: &JobSpec, item: &ItemSpec, last: u64) -> ReplicaCall {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::try_from(&**name), HeaderValue::try_from(&**value))
        {
            headers.append(name, value);
        }
    }
    ReplicaCall {
        id: item.id.clone(),
        method: Method::POST,
        path: item.path.clone(),
        host: spec.host.clone(),
        organisation: spec.organisation.clone(),
        headers,
        body: item.body.clone(),
        timeout: left,
        last_event: (last > 0).then_some(last),
        priority: Some(priority.min(MAX_PRIORITY)),
    }
}
