//! Making one sample: its text at one replica or several in turn, then its score.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};

use super::app::App;
use super::homes::Home;
use super::relay::{Ask, Given};
use super::slots::{Held, Want};
use crate::Name;
use crate::decide::job::{EventReader, Fault, ItemSpec, Scorer, State, Text};
use crate::decide::{Ended, Route};
use crate::edge::replica::{Call, Failure, Reply};

/// How long the head of an answer may take. A place was free, so only the prompt is read
/// before it: some milliseconds. A load of weights takes 0.9 s.
const HEAD: Duration = Duration::from_millis(1_500);
/// How long the next event may take: 35 ms usually, four times that at a slow replica.
const GAP: Duration = Duration::from_millis(1_200);
/// The pause after an attempt that did not run, doubled up to eight times.
const PAUSE: Duration = Duration::from_millis(25);
/// How long a scorer may take for one try.
const SCORE: Duration = Duration::from_millis(3_000);
/// The last rank that replicas know.
const LAST: u8 = 9;
/// Replicas that failed a sample and are avoided; older ones are tried again.
const AVOIDED: usize = 2;

/// Events of one run after which its pace is judged: fewer say more of the load of weights
/// or of a prompt than of the replica.
const JUDGED: u64 = 6;

/// How one attempt at a text ended.
enum Tried {
    /// The text is whole.
    Whole,
    /// The replica ran it and failed.
    Failed,
    /// It can never be made.
    Impossible,
    /// It goes on elsewhere.
    Again,
}

/// Makes a sample and hands its result to the job.
pub(super) async fn run(app: &Arc<App>, home: &Home, item: &ItemSpec, index: u64) {
    let state = make(app, home, item, index).await;
    let dead = state == State::Dead;
    if home.job.lock().finish(&item.id, state) {
        tracing::info!(event = "sample_made", item = %item.id, dead);
        home.fresh.notify_one();
    }
}

async fn make(app: &Arc<App>, home: &Home, item: &ItemSpec, index: u64) -> State {
    let spec = home.job.lock().spec.clone();
    let begun = app.now();
    let mut text = Text::default();
    let mut failed = 0;
    let mut idle = 0;
    let mut avoid: Vec<Name> = Vec::new();
    loop {
        let Some(routes) = app.routes() else { return State::Dead };
        let Some(route) = routes.find(&spec.host, &spec.path).cloned() else {
            tracing::info!(event = "sample_given_up", item = %item.id, reason = "no_route");
            return State::Dead;
        };
        if app.now().saturating_sub(begun) > route.retention {
            tracing::info!(event = "sample_given_up", item = %item.id, reason = "retention");
            return State::Dead;
        }
        let Some(service) = route.service(app.draw()).cloned() else { return State::Dead };
        let want =
            Want { service, model: spec.model.clone(), least: spec.oldest, avoid: avoid.clone() };
        let turn = (route.priority, home.age, index);
        let Some(mut held) = app.place(turn, want).await else { return State::Dead };
        let before = text.last();
        let call = call(&route, &spec.host, item, &text);
        let tried =
            attempt(app, &mut held, call, &spec.model, spec.oldest, &route, &mut text).await;
        let replica = held.target.id.clone();
        drop(held);
        match tried {
            Tried::Whole => {
                tracing::debug!(event = "text_whole", item = %item.id, %replica, events = text.last());
                break;
            }
            Tried::Impossible => return State::Dead,
            Tried::Failed => {
                failed += 1;
                tracing::info!(event = "sample_failed", item = %item.id, %replica, failed);
                if failed >= route.attempts {
                    return State::Dead;
                }
            }
            Tried::Again => {
                tracing::info!(event = "sample_goes_on", item = %item.id, %replica, events = text.last());
            }
        }
        avoid.push(replica);
        if avoid.len() > AVOIDED {
            avoid.remove(0);
        }
        idle = if text.last() > before { 0 } else { idle + 1 };
        if idle > 1 {
            tokio::time::sleep(PAUSE * (1 << (idle - 1).min(3))).await;
        }
    }
    let score = match &item.scorer {
        None => None,
        Some(scorer) => match score(app, scorer, begun).await {
            Some(score) => Some(score),
            None => return State::Dead,
        },
    };
    State::Completed { output: text.output().to_owned(), versions: text.versions(), score }
}

fn call(route: &Route, host: &Name, item: &ItemSpec, text: &Text) -> Call {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::try_from(&**name), HeaderValue::try_from(&**value))
        {
            headers.append(name, value);
        }
    }
    Call {
        id: item.id.clone(),
        method: Method::POST,
        path: item.path.clone(),
        host: host.clone(),
        headers,
        body: item.body.clone(),
        limit: route.retention,
        after: (text.last() > 0).then(|| text.last()),
        rank: Some(route.priority.min(LAST)),
    }
}

async fn attempt(
    app: &App,
    held: &mut Held<'_>,
    call: Call,
    model: &Option<Name>,
    oldest: u64,
    route: &Route,
    text: &mut Text,
) -> Tried {
    let begun = app.now();
    let before = text.last();
    let sent = tokio::time::timeout(HEAD, app.replicas.send(&held.target, call)).await;
    let reply = match sent {
        Ok(Ok(reply)) => reply,
        Ok(Err(failure)) => {
            held.ended(match failure {
                Failure::Unsent(_) => Ended::Unreachable,
                Failure::NotRun(_) if model.is_some() => Ended::Loading,
                Failure::NotRun(_) => Ended::Full,
                Failure::Stranger => Ended::Unreachable,
                Failure::Broken(_) => Ended::Failed,
            });
            tracing::debug!(event = "attempt_failed", replica = %held.target.id, %failure);
            return Tried::Again;
        }
        Err(_) => {
            held.ended(Ended::Failed);
            return Tried::Again;
        }
    };
    if let Some(load) = reply.load {
        app.slots.fleet.lock().load(&held.target.id, load, app.now());
    }
    match reply.status {
        StatusCode::UNPROCESSABLE_ENTITY => return Tried::Impossible,
        status if !status.is_success() || reply.signature.is_none() => return Tried::Failed,
        _ => {}
    }
    let fault = read(app, held, reply, model, oldest, route, text).await;
    let took = app.now().saturating_sub(begun);
    let cost = (text.last().saturating_sub(before)).max(1) as u32;
    match fault {
        Ok(Read::Whole) => {
            held.ended(Ended::Answered { took, cost });
            Tried::Whole
        }
        Ok(Read::Slow) => {
            held.ended(Ended::Answered { took, cost });
            Tried::Again
        }
        Ok(Read::Broken) => {
            held.ended(Ended::Failed);
            Tried::Again
        }
        Err(fault) => {
            tracing::info!(event = "text_begun_anew", replica = %held.target.id, %fault);
            *text = Text::default();
            Tried::Again
        }
    }
}

/// How the reading of one replica's events ended.
enum Read {
    /// The text is whole.
    Whole,
    /// It broke off.
    Broken,
    /// Another replica would be faster.
    Slow,
}

/// Reads events into the text.
async fn read(
    app: &App,
    held: &Held<'_>,
    reply: Reply,
    model: &Option<Name>,
    oldest: u64,
    route: &Route,
    text: &mut Text,
) -> Result<Read, Fault> {
    let mut reader = EventReader::new(app.replicas.version_field());
    let mut body = reply.body;
    text.at(reply.version);
    let mut seen = None;
    let mut first: Option<(crate::Moment, u64)> = None;
    loop {
        let piece = match tokio::time::timeout(GAP, body.next()).await {
            Err(_) | Ok(Some(Err(_))) => return Ok(Read::Broken),
            Ok(None) if reader.unfinished() || text.last() == 0 => return Ok(Read::Broken),
            Ok(None) => return Ok(Read::Whole),
            Ok(Some(Ok(bytes))) => bytes,
        };
        for event in reader.push(&piece)? {
            let known = text.versions();
            text.push(&event, |v| {
                v >= oldest && (!route.one_version || known.iter().all(|k| *k == v))
            })?;
        }
        let newest = text.versions().last().copied();
        if let (Some(model), Some(version)) = (model, newest)
            && seen != newest
        {
            seen = newest;
            app.slots.fleet.lock().seen(&held.target.id, model, version);
        }
        let (since, from) = *first.get_or_insert_with(|| (app.now(), text.last()));
        let events = text.last() - from;
        if events >= JUDGED && events.is_multiple_of(JUDGED) {
            let pace = app.now().saturating_sub(since).as_secs_f64() / events as f64;
            let weights = model.as_deref().map(|model| (model, oldest));
            if app.slots.fleet.lock().faster(&held.target.id, weights, pace, app.now()) {
                return Ok(Read::Slow);
            }
        }
    }
}

/// Asks a scorer until it answers; none once it has failed as often as its route allows.
async fn score(app: &Arc<App>, scorer: &Scorer, begun: crate::Moment) -> Option<Name> {
    let mut failed = 0;
    let mut idle = 0;
    loop {
        let routes = app.routes()?;
        let route = routes.find(&scorer.host, &scorer.path)?.clone();
        let ask = Ask {
            id: scorer.id.clone(),
            method: Method::POST,
            path: scorer.path.clone(),
            host: scorer.host.clone(),
            headers: HeaderMap::new(),
            body: Bytes::clone(&scorer.body),
            deadline: Some(SCORE),
            after: None,
            patient: true,
        };
        match app.relay(&route, ask).await {
            Given::Whole { status, signature: Some(signature), .. } if status.is_success() => {
                return Some(signature);
            }
            Given::Whole { failures, .. } => failed += failures.max(1),
            Given::Stream { .. } => return None,
            Given::Refused(refusal) => {
                tracing::info!(event = "score_refused", request = %scorer.id, kind = %refusal.kind);
            }
        }
        if failed >= route.attempts
            || app.now().saturating_sub(begun) > route.retention.max(SCORE * 8)
        {
            tracing::info!(event = "score_given_up", request = %scorer.id, failed);
            return None;
        }
        idle += 1;
        tokio::time::sleep(PAUSE * (1 << idle.min(4))).await;
    }
}
