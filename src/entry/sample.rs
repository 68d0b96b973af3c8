//! Making one sample: its text at one replica or several in turn, then its score.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method};

use super::app::App;
use super::homes::Home;
use super::run::{Run, Tried};
use super::score::score;
use crate::Name;
use crate::decide::job::{FinishEffect, ItemSpec, ItemState, JobSpec};
use crate::decide::{Route, SlotRequest};
use crate::edge::replica::ReplicaCall;
use crate::metrics::SampleEnd;

/// The pause after an attempt that brought nothing, doubled up to eight times.
const PAUSE: Duration = Duration::from_millis(25);
/// The pause while no route or service is there.
const ABSENT: Duration = Duration::from_millis(200);
/// Replicas that failed a sample and are avoided; older ones are tried again.
const AVOIDED: usize = 2;
/// The last rank that replicas know.
const LAST: u8 = 9;

/// Makes a sample and hands its result to the job.
pub(super) async fn run(app: &Arc<App>, home: &Home, item: &ItemSpec, index: u64) {
    let state = make(app, home, item, index).await;
    let dead = state == ItemState::Dead;
    home.texts.lock().remove(&item.id);
    let finished = home.job.lock().finish(&item.id, state);
    match finished {
        FinishEffect::Unwanted => return,
        // A trainer takes whole groups: the rest goes with the next write.
        FinishEffect::Sample => {}
        FinishEffect::Group => home.fresh.notify_one(),
    }
    app.tally.sample(if dead { SampleEnd::Dead } else { SampleEnd::Completed });
    let job = home.job.lock().spec.id.clone();
    tracing::info!(event = "sample_made", %job, item = %item.id, dead);
}

async fn make(app: &Arc<App>, home: &Home, item: &ItemSpec, index: u64) -> ItemState {
    let spec = home.job.lock().spec.clone();
    let begun = app.now();
    if !text(app, home, &spec, item, index).await {
        return ItemState::Dead;
    }
    let score = match &item.scorer {
        None => None,
        Some(scorer) => match score(app, &item.id, scorer, begun).await {
            Some(score) => Some(score),
            None => return ItemState::Dead,
        },
    };
    home.text(&item.id, |text| ItemState::Completed {
        output: text.output().to_owned(),
        versions: text.versions(),
        score,
    })
}

/// Makes the text of a sample. False if it can't be made.
async fn text(app: &Arc<App>, home: &Home, spec: &JobSpec, item: &ItemSpec, index: u64) -> bool {
    let begun = app.now();
    let mut failed = 0;
    let mut idle = 0;
    let mut avoid: Vec<Name> = Vec::new();
    loop {
        let Some(routes) = app.routes() else {
            tokio::time::sleep(ABSENT).await;
            continue;
        };
        let Some(route) = routes.find(&spec.host, &spec.path).cloned() else {
            tracing::info!(event = "sample_given_up", item = %item.id, reason = "no_route");
            return false;
        };
        if app.now().saturating_sub(begun) > route.retention {
            tracing::info!(event = "sample_given_up", item = %item.id, reason = "retention");
            return false;
        }
        let Some(service) = route.pick_service(app.draw()).cloned() else {
            tokio::time::sleep(ABSENT).await;
            continue;
        };
        let want = SlotRequest {
            service,
            model: spec.model.clone(),
            min_version: spec.min_version,
            avoid: avoid.clone(),
        };
        let priority = routes.priority(&route, spec.organisation.as_ref());
        let turn = (priority, home.turn, index);
        let Some(mut held) = app.place(turn, want).await else { continue };
        let before = home.text(&item.id, |text| text.last_event());
        let run = Run { app, home, item, spec, route: &route };
        let tried = run.attempt(&mut held, call(&route, priority, spec, item, before)).await;
        let replica = held.target.id.clone();
        drop(held);
        let events = home.text(&item.id, |text| text.last_event());
        match tried {
            Tried::Whole => {
                tracing::debug!(event = "text_whole", item = %item.id, %replica, events);
                return true;
            }
            Tried::Impossible => {
                tracing::info!(event = "sample_given_up", item = %item.id, reason = "impossible");
                return false;
            }
            Tried::Failed => {
                failed += 1;
                tracing::info!(event = "sample_failed", item = %item.id, %replica, failed);
                if failed >= route.max_attempts {
                    return false;
                }
            }
            Tried::Again(end) => {
                tracing::info!(event = "sample_goes_on", item = %item.id, %replica, events, reason = ?end);
            }
        }
        avoid.push(replica);
        if avoid.len() > AVOIDED {
            avoid.remove(0);
        }
        idle = if events > before { 0 } else { idle + 1 };
        if idle > 1 {
            tokio::time::sleep(PAUSE * (1 << (idle - 1).min(3))).await;
        }
    }
}

fn call(route: &Route, priority: u8, spec: &JobSpec, item: &ItemSpec, last: u64) -> ReplicaCall {
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
        timeout: route.retention,
        last_event: (last > 0).then_some(last),
        priority: Some(priority.min(LAST)),
    }
}
