//! One attempt at a text at one replica.

use std::time::Duration;

use futures_util::StreamExt;
use http::StatusCode;

use super::app::App;
use super::owned_jobs::OwnedJob;
use super::slots::SlotGuard;
use crate::Moment;
use crate::decide::job::{Event, EventReader, Fault, ItemSpec, Spec};
use crate::decide::{Ended, Route};
use crate::edge::replica::{Call, Failure, Reply};
use crate::metrics::AttemptEnd;

/// How long the head of an answer may take. A place was free, so only the prompt is read
/// before it: some milliseconds. A load of weights takes 0.9 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the next event may take: 35 ms usually, four times that at a slow replica.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Events of one run after which its pace is judged, each time anew: fewer say more of the
/// load of weights or of a prompt than of the replica.
const PACE_EVENTS: u64 = 6;

/// What an attempt is made of.
#[derive(Clone, Copy)]
pub(super) struct TextAttempt<'a> {
    pub app: &'a App,
    pub owned: &'a OwnedJob,
    pub item: &'a ItemSpec,
    pub spec: &'a Spec,
    pub route: &'a Route,
}

/// How one attempt at a text ended.
pub(super) enum AttemptResult {
    /// The text is whole.
    Whole,
    /// The replica ran it and failed.
    Failed,
    /// It can never be made.
    Impossible,
    /// It goes on elsewhere, for this reason.
    Again(AttemptEnd),
}

/// How the reading of one replica's events ended.
enum ReadEnd {
    /// The text is whole.
    Whole,
    /// It broke off.
    Broken,
    /// No event came in time.
    Silent,
    /// Another replica would be faster.
    Slow,
}

impl TextAttempt<'_> {
    /// Makes the attempt, and counts its end.
    pub(super) async fn attempt(self, held: &mut SlotGuard<'_>, call: Call) -> AttemptResult {
        let tried = self.execute(held, call).await;
        self.app.tally.sample_attempt(match tried {
            AttemptResult::Whole => AttemptEnd::Answered,
            AttemptResult::Failed | AttemptResult::Impossible => AttemptEnd::Failed,
            AttemptResult::Again(end) => end,
        });
        tried
    }

    async fn execute(self, held: &mut SlotGuard<'_>, call: Call) -> AttemptResult {
        let begun = self.app.now();
        let sending = self.app.replicas.send(&held.target, call);
        let reply = match tokio::time::timeout(HEAD_TIMEOUT, sending).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(failure)) => return self.failed_before_answer(held, &failure),
            Err(_) => {
                held.set_end(Ended::Failed);
                return AttemptResult::Again(AttemptEnd::Broken);
            }
        };
        self.app.record_response_head(&held.target.id, reply.load);
        match reply.status {
            StatusCode::UNPROCESSABLE_ENTITY => return AttemptResult::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => return AttemptResult::Failed,
            status if !status.is_success() || reply.signature.is_none() => {
                held.set_end(Ended::Failed);
                return AttemptResult::Again(AttemptEnd::Broken);
            }
            _ => {}
        }
        let before = self.last_event();
        let read = self.read(held, reply).await;
        let took = self.app.now().saturating_sub(begun);
        let cost = self.last_event().saturating_sub(before).max(1) as u32;
        let answered = Ended::Answered { took, cost };
        match read {
            Ok(ReadEnd::Whole) => {
                held.set_end(answered);
                AttemptResult::Whole
            }
            Ok(ReadEnd::Slow) => {
                held.set_end(answered);
                AttemptResult::Again(AttemptEnd::Slow)
            }
            Ok(ReadEnd::Broken) => {
                held.set_end(Ended::Failed);
                AttemptResult::Again(AttemptEnd::Broken)
            }
            Ok(ReadEnd::Silent) => {
                held.set_end(Ended::Failed);
                AttemptResult::Again(AttemptEnd::Broken)
            }
            Err(Fault::Version(version)) if version < self.spec.oldest => {
                // The event was not taken: what came before it stays.
                self.note_older_version(held, version);
                AttemptResult::Again(AttemptEnd::Fault)
            }
            Err(fault) => {
                let replica = &held.target.id;
                tracing::info!(event = "text_begun_anew", item = %self.item.id, %replica, %fault);
                self.owned.with_text(&self.item.id, |text| text.restart());
                AttemptResult::Again(AttemptEnd::Fault)
            }
        }
    }

    fn failed_before_answer(self, held: &mut SlotGuard<'_>, failure: &Failure) -> AttemptResult {
        let (ended, end) = match failure {
            Failure::Unsent(_) => (Ended::Unreachable, AttemptEnd::Unsent),
            Failure::NotRun(_) if self.spec.model.is_some() => (Ended::Loading, AttemptEnd::NotRun),
            Failure::NotRun(_) => (Ended::Full, AttemptEnd::NotRun),
            Failure::Stranger => (Ended::Unreachable, AttemptEnd::Stranger),
            Failure::Broken(_) => (Ended::Failed, AttemptEnd::Broken),
        };
        held.set_end(ended);
        tracing::debug!(event = "attempt_failed", item = %self.item.id, %failure);
        AttemptResult::Again(end)
    }

    fn last_event(self) -> u64 {
        self.owned.with_text(&self.item.id, |text| text.last())
    }

    /// Reads events into the text.
    async fn read(self, held: &SlotGuard<'_>, reply: Reply) -> Result<ReadEnd, Fault> {
        let mut reader = EventReader::new(self.app.replicas.version_field());
        let mut body = reply.body;
        self.owned.with_text(&self.item.id, |text| text.at(reply.version));
        let mut seen = None;
        let mut mark: Option<(Moment, u64)> = None;
        loop {
            let piece = match tokio::time::timeout(EVENT_TIMEOUT, body.next()).await {
                Err(_) => return Ok(ReadEnd::Silent),
                Ok(Some(Err(_))) => return Ok(ReadEnd::Broken),
                Ok(None) if reader.unfinished() || self.last_event() == 0 => {
                    return Ok(ReadEnd::Broken);
                }
                Ok(None) => return Ok(ReadEnd::Whole),
                Ok(Some(Ok(bytes))) => bytes,
            };
            let version = self.add_events(&reader.push(&piece)?)?;
            if version.is_some() && seen != version {
                seen = version;
                self.note_version(held, version);
            }
            let last = self.last_event();
            let now = self.app.now();
            let (since, from) = *mark.get_or_insert((now, last));
            let events = last - from;
            if events >= PACE_EVENTS {
                mark = Some((now, last));
                let beat = now.saturating_sub(since).as_secs_f64() / events as f64;
                if self.note_pace(held, beat) {
                    return Ok(ReadEnd::Slow);
                }
            }
        }
    }

    /// Adds events to the text and returns the version that made the last.
    fn add_events(self, events: &[Event]) -> Result<Option<u64>, Fault> {
        self.owned.with_text(&self.item.id, |text| {
            for event in events {
                let known = text.versions();
                let fits = |v| !self.route.one_version || known.iter().all(|k| *k == v);
                text.push(event, |v| v >= self.spec.oldest && fits(v))?;
            }
            Ok(text.current().filter(|_| !events.is_empty()))
        })
    }

    /// A replica was seen to have a version.
    fn note_version(self, held: &SlotGuard<'_>, version: Option<u64>) {
        if let (Some(model), Some(version)) = (&self.spec.model, version) {
            self.app.slots.fleet.lock().seen(&held.target, model, version);
        }
    }

    /// A replica was seen to have an older version than its work asks for. A load that came
    /// meanwhile shows in its next entry.
    fn note_older_version(self, held: &SlotGuard<'_>, version: u64) {
        if let Some(model) = &self.spec.model {
            let replica = &held.target.id;
            tracing::info!(event = "replica_older", %replica, %model, version);
            self.app.slots.fleet.lock().shown(&held.target, model, version);
        }
    }

    /// Takes note of the time that an event took of late. True if the run is better moved.
    fn note_pace(self, held: &SlotGuard<'_>, beat: f64) -> bool {
        let now = self.app.now();
        let weights = self.spec.model.as_deref().map(|model| (model, self.spec.oldest));
        let mut fleet = self.app.slots.fleet.lock();
        fleet.beat(&held.target.id, beat, now);
        fleet.faster(&held.target.id, weights, beat, now)
    }
}
